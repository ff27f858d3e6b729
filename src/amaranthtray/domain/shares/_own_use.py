"""Slot time that one entry's tasks have used."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class OwnUse:
    """One team's use of one pool from this entry.

    A task counts while it runs: its time so far is estimated from the mean start
    time of the running tasks and replaced by the measured time at its end.

    Attributes:
        running: Tasks that run now.
        finished_ms: Measured slot time of the tasks that are over.
        starts_ms: Sum of the start times of the running tasks.
        reported_ms: Highest sum reported so far.
        changed_ms: When the reported sum last grew.
    """

    running: int = 0
    finished_ms: int = 0
    starts_ms: float = 0.0
    reported_ms: int = 0
    changed_ms: int = 0

    def start(self, now_ms: int) -> None:
        """Records the start of a task."""
        self.running += 1
        self.starts_ms += now_ms

    def end(self, slot_ms: int) -> None:
        """Records the end of a task that held its slot for ``slot_ms``."""
        if self.running:
            self.starts_ms -= self.starts_ms / self.running
            self.running -= 1
        self.finished_ms += max(0, slot_ms)

    def total_ms(self, now_ms: int) -> int:
        """Returns the sum to report at ``now_ms``; it never falls."""
        open_ms = max(0.0, self.running * now_ms - self.starts_ms)
        total = self.finished_ms + round(open_ms)
        if total > self.reported_ms:
            self.reported_ms = total
            self.changed_ms = now_ms
        return self.reported_ms
