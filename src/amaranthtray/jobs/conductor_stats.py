"""How much a conductor did, and how long its writes and orders took, for the log."""

from __future__ import annotations

import threading
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..domain.scheduling.messages import StartReplied, StoreJobs
    from ..domain.scheduling.orders import StartRun

SUMMARY_INTERVAL_MS = 1_000

REPLY_WAIT_MS = 30_000
"""Orders without a reply for this long are forgotten: their runs were stopped."""


@dataclass(slots=True)
class _Sums:
    """Counts since the last summary; times are in milliseconds."""

    plans: int = 0
    messages: int = 0
    batches: int = 0
    records: int = 0
    record_bytes: int = 0
    storing_ms: int = 0
    longest_storing_ms: int = 0
    orders: int = 0
    starts: int = 0
    starting_ms: int = 0
    longest_starting_ms: int = 0


class ConductorStats:
    """Sums up a conductor's rounds, batches and starts; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sums = _Sums()
        self._ordered_ms: dict[tuple[object, int], int] = {}
        self._summed_ms = 0

    def record_round(self, messages: int) -> None:
        """Counts a plan and the messages that were handled before it."""
        with self._lock:
            self._sums.plans += 1
            self._sums.messages += messages

    def record_batch(self, batch: StoreJobs, took_ms: int) -> None:
        """Counts a batch of records that was written."""
        with self._lock:
            sums = self._sums
            sums.batches += 1
            sums.records += len(batch.records)
            sums.record_bytes += sum(len(record) for _, record in batch.records)
            sums.storing_ms += took_ms
            sums.longest_storing_ms = max(sums.longest_storing_ms, took_ms)

    def record_order(self, order: StartRun, now_ms: int) -> None:
        """Counts an ordered start, until its reply."""
        with self._lock:
            self._sums.orders += 1
            self._ordered_ms[order.name, order.number] = now_ms

    def record_reply(self, reply: StartReplied) -> None:
        """Counts the reply to a start and the time since its order."""
        with self._lock:
            ordered_ms = self._ordered_ms.pop((reply.name, reply.number), None)
            if ordered_ms is not None:
                took_ms = reply.replied_ms - ordered_ms
                sums = self._sums
                sums.starts += 1
                sums.starting_ms += took_ms
                sums.longest_starting_ms = max(sums.longest_starting_ms, took_ms)

    def take_summary(self, now_ms: int) -> dict[str, int] | None:
        """Returns the sums of the last second and resets them; None before it is over.

        A second in which no run was ordered and no record stored is left out.
        """
        if now_ms - self._summed_ms < SUMMARY_INTERVAL_MS:
            return None
        with self._lock:
            self._summed_ms = now_ms
            sums, self._sums = self._sums, _Sums()
            self._ordered_ms = {
                order: ordered_ms
                for order, ordered_ms in self._ordered_ms.items()
                if now_ms - ordered_ms < REPLY_WAIT_MS
            }
        return asdict(sums) if sums.orders or sums.records else None
