"""A task of a job: its runs, its failures and its completion."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple

from ..ids import HostId


class RunOutcome(StrEnum):
    """How a run ended, as its host reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunPhase(Enum):
    """Phase of a run as its conductor knows it.

    Attributes:
        RESERVED: Placed on a host; the record of the run is not stored yet.
        STARTING: The start order was sent and has no reply yet.
        RUNNING: The host has started the run.
        STOPPING: The run is to be stopped; it may still be executing.
        UNCONFIRMED: Ordered earlier, by another conductor or before the host restarted;
            the host has not reported since.
        UNANSWERED: A try to start it had no reply; the host's next report shows whether
            it is running.
    """

    RESERVED = 1
    STARTING = 2
    RUNNING = 3
    STOPPING = 4
    UNCONFIRMED = 5
    UNANSWERED = 6


class HostCrash(NamedTuple):
    """A host that crashed, as far as is known, while it had a run of a task.

    Attributes:
        host: The host.
        born: Wall-clock time at which the crashed incarnation started.
        machine: Machine of the host; empty if it is unknown.
    """

    host: HostId
    born: int
    machine: str = ""


@dataclass(slots=True)
class Run:
    """One run of a task that may be on a host.

    Attributes:
        number: Run number, which grows with each start of the task.
        host: Host on which the run was placed.
        host_born: Wall-clock time at which the host's incarnation started.
        phase: Phase of the run.
        confirmed_ms: Steady-clock time at which the host had confirmed the start or
            stop; a report requested later that lacks the run proves its absence.
        checkpoint: Newest checkpoint that the host reported.
        percent: Completed part of its work; 100 for a lasting task that is working.
        load: Tail latency in ms of a serving task, else CPU in use.
        pace: Last ordered speed, in percent of full speed.
        paced_ms: Steady-clock time of that order; None if there was none.
        progress_ms: Steady-clock time at which ``percent`` last changed.
        percent_ms: Time that it took for a percent when ``percent`` last rose; None
            before.
        first_report_ms: Steady-clock time of the first report of the run; None before.
        first_percent: Completed part of its work in that report.
        is_resumed: Whether it resumed from a checkpoint.
        started_ms: Steady-clock time of the placement; None if an earlier conductor
            placed it.
        is_moved: Whether it is stopped to resume elsewhere, or gets a copy there.
        prior_crashes: Crashes of the task's hosts that were known at the placement.
        stop_tried_ms: Steady-clock time of a stop without a reply, until a later report
            shows that the run goes on; None if there was none.
        has_survived: Whether it does not crash its host: it has worked for long enough,
            or has been stopped there before.
        unanswered_ms: Steady-clock time by which the last try to start it that had no
            reply was sent; None if each was answered. Of a run of an earlier conductor
            that isn't known, so it is the time at which its record was read.
        is_awaited: Whether the end of its host's lease has left open if it may start.
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
    percent_ms: float | None = None
    first_report_ms: int | None = None
    first_percent: int = 0
    is_resumed: bool = False
    started_ms: int | None = None
    is_moved: bool = False
    prior_crashes: int = 0
    stop_tried_ms: int | None = None
    has_survived: bool = False
    unanswered_ms: int | None = None
    is_awaited: bool = False


@dataclass(slots=True)
class Task:
    """Progress of one task.

    Attributes:
        last_run: Highest run number that may have been used.
        failures: Number of failed runs; those of a gang count at its first member.
        failed_runs: Numbers of the runs counted in ``failures``; of those that a former
            release counted only the last one is known.
        is_done: Whether a run has ended as done.
        checkpoint: Checkpoint from which the next run resumes; empty for a fresh start.
        runs: Runs that may be on a host.
        not_before_ms: Steady-clock time before which it is not started again.
        crashes: Hosts that crashed under its runs.
        is_given_up: Whether it is not started again because it crashes its hosts.
        stalls: Runs that were stopped since they showed no progress.
        isolation_wanted_ms: Steady-clock time since which it waits for a host of its
            own; None if it does not.
    """

    last_run: int = 0
    failures: int = 0
    failed_runs: set[int] = field(default_factory=set)
    is_done: bool = False
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    not_before_ms: int = 0
    crashes: list[HostCrash] = field(default_factory=list)
    is_given_up: bool = False
    stalls: int = 0
    isolation_wanted_ms: int | None = None

    @property
    def is_waiting(self) -> bool:
        """Returns whether the task has no run and needs one."""
        return not self.is_done and not self.runs and not self.is_given_up

    @property
    def crashed_machines(self) -> set[str]:
        """Returns the machines that crashed, or their hosts if these are unknown."""
        return {crash.machine or crash.host for crash in self.crashes}

    def count_failure(self, number: int, *, is_first_end: bool) -> bool:
        """Counts a failed run unless it is counted; returns whether it was counted.

        Args:
            number: Number of the run.
            is_first_end: Whether its end was certainly not applied before.
        """
        if number in self.failed_runs:
            return False
        are_known = len(self.failed_runs) == self.failures
        if not (are_known or is_first_end) and number < max(self.failed_runs):
            return False
        self.failed_runs.add(number)
        self.failures += 1
        return True

    def run_on(self, host: HostId, number: int) -> Run | None:
        """Returns the run with the given number on a host, if it may be there."""
        for run in self.runs:
            if run.number == number and run.host == host:
                return run
        return None
