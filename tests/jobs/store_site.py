"""An in-memory store for the tasks of an entry, a silent log, and work of a duty."""

from __future__ import annotations

from dataclasses import dataclass

from amaranthtray.jobs.event_log import EventLog
from amaranthtray.store.faults import Fault, PlannedFault
from amaranthtray.store.memory import ClientName, MemoryPlatform
from amaranthtray.store.memory_transactions import MemoryTransactions

CLIENT = ClientName("entry")


class StoreSite:
    """A store on a manual clock, with faults planned by call."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.store = MemoryTransactions(self.platform, CLIENT, blocking_watch=False)
        self.log = EventLog({}, write=lambda data: None)

    def plan_faults(self, step: str, *faults: Fault) -> None:
        """Plans faults for the next calls of one kind, such as ``commit``."""
        plans = [PlannedFault(fault, step=step) for fault in faults]
        self.platform.plan(CLIENT, *plans)


@dataclass
class DutyWork:
    """Work that counts how often it is stopped and told of gaps in its term."""

    is_over: bool = False
    stops: int = 0
    gaps: int = 0

    def stop(self) -> None:
        self.stops += 1

    def resume(self) -> None:
        self.gaps += 1
