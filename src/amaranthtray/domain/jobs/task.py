"""One task of a job: its runs, its attempts and its end."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum

from ..ids import HostId


class RunOutcome(StrEnum):
    """How a run ended, as its host tells."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunPhase(Enum):
    """How far a run has come, as its conductor knows.

    Attributes:
        RESERVED: Placed; the record that says so is not stored yet.
        STARTING: The order was sent and is not answered.
        RUNNING: The host runs it.
        STOPPING: It is to end; the host may still run it.
        UNSURE: Ordered by an earlier conductor; the host was not asked yet.
    """

    RESERVED = 1
    STARTING = 2
    RUNNING = 3
    STOPPING = 4
    UNCONFIRMED = 5


@dataclass(slots=True)
class Run:
    """One run of a task that may be on a host.

    Attributes:
        number: Numbers the starts of the task.
        host: Where it was placed.
        host_born: Wall time at which that run of the host began.
        phase: How far it has come.
        confirmed_ms: Steady time from which a list of the host that lacks the run
            proves that it is not there.
        saved: Newest checkpoint that the host reported.
        percent: Share of its work that it does.
        load: Tail of response times in ms for a serving task, else cpu in use.
        pace: Share of its speed that it was last ordered to work at, in percent.
        paced_ms: Steady time of that order, if there was one.
        progress_ms: Steady time at which its share of work last grew.
        started_ms: Steady time of its placement.
    """

    number: int
    host: HostId
    host_born: int
    phase: RunPhase
    confirmed_ms: int | None = None
    checkpoint: str = ""
    percent: int = 0
    load: int = 0
    pace: int = 100
    paced_ms: int | None = None
    progress_ms: int | None = None
    started_ms: int = 0


@dataclass(slots=True)
class Task:
    """What is known of one task.

    Attributes:
        last_run: Highest run number that may have been used.
        failures: Runs that ended as failed.
        failed_run: The last run counted in ``failures``.
        is_done: Whether a run has ended as done.
        checkpoint: Where the next run goes on from; empty for the beginning.
        runs: Runs that may be on a host.
        not_before_ms: Steady time before which it is not started again.
    """

    last_run: int = 0
    failures: int = 0
    failed_run: int = 0
    is_done: bool = False
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    not_before_ms: int = 0

    @property
    def is_waiting(self) -> bool:
        """Returns whether it is to be started and runs nowhere."""
        return not self.is_done and not self.runs

    def run_on(self, host: HostId, number: int) -> Run | None:
        """Returns the run of that number on that host, if it may be there."""
        for run in self.runs:
            if run.number == number and run.host == host:
                return run
        return None
