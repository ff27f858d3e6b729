"""What callers and hosts see, checked against the promises while the soak runs."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from amaranthtray.domain.invariants.jobs import JobPromiseChecker

if TYPE_CHECKING:
    from amaranthtray.domain.ids import HostId
    from amaranthtray.domain.jobs.model import JobId, JobSpec, TaskName
    from amaranthtray.domain.jobs.task import RunOutcome

LEAVING_LIMIT_S = 2.0
CANCELLATION_LIMIT_S = 3.0


class Observer:
    """Collects observations from all threads, in the order in which they happen.

    Attributes:
        lock: Held while an observation is made and recorded.
        accepted: Paths of the jobs that a caller was told are accepted.
        cancelled: Jobs whose cancellation was acknowledged.
        starts: Number of starts.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.accepted: dict[JobId, str] = {}
        self.cancelled: set[JobId] = set()
        self.starts = 0
        self._gangs: dict[tuple[JobId, int, int], list[float]] = {}
        self._checker = JobPromiseChecker()
        self._broken: list[str] = []
        self._begun_s = time.monotonic()

    @property
    def broken(self) -> list[str]:
        """Returns the broken promises."""
        with self.lock:
            return [*self._checker.broken, *self._broken]

    def report(self, what: str) -> None:
        """Records a broken promise that another check has found."""
        with self.lock:
            self._broken.append(f"{time.monotonic() - self._begun_s:.3f} s: {what}")

    def record_sent(self, spec: JobSpec) -> None:
        """Records that a caller has begun to hand a job in."""
        with self.lock:
            self._checker.record_accepted(spec)

    def record_accepted(self, job: JobId, path: str) -> None:
        with self.lock:
            self.accepted[job] = path

    def open_jobs(self) -> dict[JobId, str]:
        """Returns the accepted jobs that nobody has cancelled, with their paths."""
        with self.lock:
            return {
                job: path
                for job, path in self.accepted.items()
                if job not in self.cancelled
            }

    def record_cancelled(self, job: JobId) -> None:
        """Records an acknowledged cancellation; starts must end within a time limit."""
        with self.lock:
            self.cancelled.add(job)
        forbid = threading.Timer(CANCELLATION_LIMIT_S, self._forbid_starts, (job,))
        forbid.daemon = True
        forbid.start()

    def _forbid_starts(self, job: JobId) -> None:
        with self.lock:
            self._checker.record_cancelled(job)

    def record_start(
        self, name: TaskName, number: int, host: HostId, *, leaving_s: float | None
    ) -> None:
        """Records a start.

        Args:
            name: Task.
            number: Run number.
            host: Host.
            leaving_s: Time since the host's report of leaving; None if there is none,
                or if the host carries the order out late.
        """
        with self.lock:
            self.starts += 1
            self._checker.record_start(name, number, host)
        if leaving_s is not None and leaving_s > LEAVING_LIMIT_S:
            late_ms = int((leaving_s - LEAVING_LIMIT_S) * 1_000)
            self.report(
                f"{name} run {number} on {host}, {late_ms} ms too late to start"
            )

    def record_gang_member(self, name: TaskName, number: int) -> None:
        """Records that a member of a gang is present, in the run of that number."""
        with self.lock:
            members = self._gangs.setdefault((name.job, name.step, number), [])
            members.append(time.monotonic())

    def gang_begun_s(self, name: TaskName, number: int, size: int) -> float | None:
        """Returns when the last member of a gang came; None before that."""
        with self.lock:
            members = self._gangs.get((name.job, name.step, number), [])
            return max(members) if len(members) >= size else None

    def record_end(self, name: TaskName, number: int, host: HostId) -> None:
        with self.lock:
            self._checker.record_end(name, number, host)

    def record_done(self, name: TaskName) -> None:
        with self.lock:
            self._checker.record_done(name)

    def record_acknowledged(self, name: TaskName, how: RunOutcome) -> None:
        with self.lock:
            self._checker.record_acknowledged_end(name, how)

    def record_completed(self, job: JobId) -> None:
        """Records that a caller was told that a job is completed."""
        with self.lock:
            self._checker.check_completed(job)
