"""The in-memory store for the tasks of an entry, and a log that is kept."""

from __future__ import annotations

from amaranthtray.jobs.event_log import EventLog
from amaranthtray.store.faults import Fault, PlannedFault
from amaranthtray.store.memory import ClientName, MemoryPlatform
from amaranthtray.store.memory_transactions import MemoryTransactions

CLIENT = ClientName("entry")


class StoreSite:
    """A store on a manual clock; faults are planned by step."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.store = MemoryTransactions(self.platform, CLIENT, waits=False)
        self.log = EventLog({}, write=lambda data: None)

    def plan_faults(self, step: str, *faults: Fault) -> None:
        """Plans faults of the next calls of a step."""
        plans = [PlannedFault(fault, step=step) for fault in faults]
        self.platform.plan(CLIENT, *plans)
