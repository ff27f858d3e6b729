"""Stand-in of the service that knows which workers a queue's policy allows."""

from __future__ import annotations

import secrets
import threading
import time
from typing import TYPE_CHECKING

from wire import Call, Reply, Server

if TYPE_CHECKING:
    from record import Record

DECIDE_S = 0.02
PER_ITEM_S = 0.002


class Adviser:
    """Allows all workers, with a ticket each, for the jobs of queues with advice.

    Attributes:
        jobs: Jobs whose starts have to carry a ticket.
        valid_s: Time for which a ticket is valid.
        calls: Number of the calls so far.
    """

    def __init__(self, record: Record, valid_s: float = 3.0) -> None:
        self.jobs: set[str] = set()
        self.valid_s, self.calls = valid_s, 0
        self._record = record
        self._tickets: dict[tuple[str, str], tuple[str, float]] = {}
        self._lock = threading.Lock()
        self.server = Server(self._handle)

    def accepts(self, task: str, worker: str, ticket: str) -> bool:
        """Returns whether a start may run: it needs no ticket, or has a valid one."""
        step = task.rpartition(".")[0]
        if step.partition(".")[0] not in self.jobs:
            return True
        with self._lock:
            known, until_s = self._tickets.get((step, worker), ("", 0.0))
        return bool(known) and known == ticket and time.monotonic() < until_s

    def _handle(self, call: Call) -> Reply:
        if call.path != "/v1/advise":
            return Reply(400)
        step, workers = call.body["step"], call.body["workers"]
        with self._lock:
            # One call at a time.
            time.sleep(DECIDE_S + PER_ITEM_S * len(workers))
            until_s = time.monotonic() + self.valid_s
            rows = [[worker, secrets.token_hex(5)] for worker in workers]
            for worker, ticket in rows:
                self._tickets[step, worker] = ticket, until_s
            self.calls += 1
        self._record.note(f"adviser: {step} for {len(workers)} workers")
        return Reply(200, {"allowed": rows, "validMs": int(self.valid_s * 1_000)})
