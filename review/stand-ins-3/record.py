"""What was sent, answered and run; written to ``record.txt``."""

from __future__ import annotations

import threading
import time
from pathlib import Path
from typing import NamedTuple


class Start(NamedTuple):
    """A task that a worker has begun on an order."""

    at_s: float
    worker: str
    service: str
    task: str
    run: int


class End(NamedTuple):
    """An end of a run."""

    at_s: float
    worker: str
    task: str
    run: int
    how: str


class Record:
    """Collects the events of one play; times count from its begin."""

    def __init__(self, path: Path) -> None:
        self.starts: list[Start] = []
        self.ends: list[End] = []
        self._begun_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        return time.monotonic() - self._begun_s

    def note(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} s  {text}\n")
            self._file.flush()

    def started(self, worker: str, service: str, task: str, run: int) -> None:
        with self._lock:
            self.starts.append(Start(self.now_s(), worker, service, task, run))
        self.note(f"worker {worker} of {service} starts task {task}, run {run}")

    def ended(self, worker: str, task: str, run: int, how: str) -> None:
        with self._lock:
            self.ends.append(End(self.now_s(), worker, task, run, how))
        self.note(f"worker {worker}: task {task}, run {run} ends: {how}")

    def ends_of(self, job: str, how: str) -> list[End]:
        """Returns the ends of a job's runs that ended in one way."""
        with self._lock:
            return [
                end
                for end in self.ends
                if end.task.startswith(f"{job}.") and end.how == how
            ]

    def starts_of(self, job: str) -> list[Start]:
        """Returns the starts of a job's tasks."""
        with self._lock:
            return [each for each in self.starts if each.task.startswith(f"{job}.")]
