"""Messages and effects of learned run times, and of the decisions based on them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..ids import HostId
from ..jobs.model import TaskName


class KeySummary(NamedTuple):
    """What was learned for one key, for the log.

    Attributes:
        key: Image or queue.
        samples: Number of ended runs, after forgetting.
        factor: Geometric mean of actual to declared run time.
        spread: Standard deviation of the logarithm of actual to predicted run time.
        declared_error: Root mean square of the logarithm of actual to declared time.
        uses_declared: Whether declarations count, as they are about as good.
    """

    key: str
    samples: int
    factor: float
    spread: float
    declared_error: float
    uses_declared: bool


class RunTimeError(NamedTuple):
    """Errors of the run time that was declared and of the one that was expected.

    Attributes:
        declared_ms: Absolute error of the declaration.
        expected_ms: Absolute error of the estimate just before the end.
    """

    declared_ms: int
    expected_ms: int


class RunTimeReport:
    """A report to log or count; each subclass is an effect."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class RunTimesRead:
    """The run times that the last conductor stored; empty if it stored none."""

    data: bytes


@dataclass(frozen=True, slots=True)
class RunTimesLearned(RunTimeReport):
    """Reports what has been learned, whenever that is stored."""

    keys: tuple[KeySummary, ...]


@dataclass(frozen=True, slots=True)
class RunTimeErrors(RunTimeReport):
    """Reports the errors of run times of the runs that ended since the last plan."""

    errors: tuple[RunTimeError, ...]


@dataclass(frozen=True, slots=True)
class RunTimesUnreadable(RunTimeReport):
    """Reports that stored run times can't be decoded, so that all are learned anew."""

    why: str


@dataclass(frozen=True, slots=True)
class HostSlow(RunTimeReport):
    """Reports a change in what is known of a host's speed.

    Attributes:
        host: The host.
        slowness: Time of its runs as a multiple of the expected one.
        steps: Number of steps whose runs show it.
        until_ms: Steady-clock time until which it is avoided; 0 if it is not any more.
        slow_hosts: Number of slow hosts of the pool after the change.
    """

    host: HostId
    slowness: float
    steps: int
    until_ms: int
    slow_hosts: int


@dataclass(frozen=True, slots=True)
class RunMoved(RunTimeReport):
    """Reports a run that is stopped to resume elsewhere, or that gets a copy there.

    Attributes:
        name: Task of the run.
        number: Run number.
        host: Host of the run.
        kind: ``moved`` if the run is stopped, ``copied`` if it goes on beside a copy.
        remaining_ms: Expected time until the run would end.
        elsewhere_ms: Expected time until a run elsewhere ends, with the cost of moving.
        report_age_ms: Age of the host's last report.
    """

    name: TaskName
    number: int
    host: HostId
    kind: str
    remaining_ms: int
    elsewhere_ms: int
    report_age_ms: int


@dataclass(frozen=True, slots=True)
class RunStalled(RunTimeReport):
    """Reports a run that is stopped, as it has shown no progress for too long.

    Attributes:
        name: Task of the run.
        number: Run number.
        host: Its host.
        percent: Completed part of its work, as last reported.
        still_ms: Time from its last change to the host's last report.
        limit_ms: Time for which it might show no change.
        stalls: Runs of the task that were stopped so, this one included.
    """

    name: TaskName
    number: int
    host: HostId
    percent: int
    still_ms: int
    limit_ms: int
    stalls: int
