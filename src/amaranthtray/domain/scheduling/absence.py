"""Tasks of lasting steps that are away, and reports of what ends their runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from ..ids import HostId
from ..jobs.model import TaskName
from ..jobs.task import RunOutcome


class AbsenceCause(StrEnum):
    """Why a task is not known to be at work.

    Attributes:
        NO_RUN: It has no run.
        ORDERED: Its run is placed or ordered, and its host has not reported it yet.
        STOPPING: Its run is to be stopped.
        UNCONFIRMED: Its run was ordered by another conductor or to an earlier
            incarnation of the host, which has not reported since.
        NOT_WORKING: Its host reports the run as not at work yet, or as paced.
        HOST_LEAVING: Its host is about to leave, so that it will be away soon.
        HOST_SILENT: The last call to its host got no response.
        REPORT_OUTDATED: The last report of its host is too old.
    """

    NO_RUN = "no_run"
    ORDERED = "ordered"
    STOPPING = "stopping"
    UNCONFIRMED = "unconfirmed"
    NOT_WORKING = "not_working"
    HOST_LEAVING = "host_leaving"
    HOST_SILENT = "host_silent"
    REPORT_OUTDATED = "report_outdated"


class AbsentTask(NamedTuple):
    """A task that is not known to be at work.

    Attributes:
        number: Number of the task within its step.
        cause: Why it is not known to be at work.
        host: Host of its run; None without one.
        report_age_ms: Time since that host's last report; None without one.
    """

    number: int
    cause: AbsenceCause
    host: HostId | None = None
    report_age_ms: int | None = None


class StopReason(StrEnum):
    """Why a run of a lasting task is stopped while its job goes on.

    Attributes:
        EMPTIED: Its host is emptied for maintenance or a move to another pool.
        LEAVING: Its host is about to leave.
        EVACUATED: Its zone is evacuated.
        NO_REPLY: A try to start it had no reply.
        UNRECORDED: Its host reports it, and the record of the job does not have it.
        GANG_BROKEN: Another member of its gang has no run.
    """

    EMPTIED = "emptied"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    NO_REPLY = "no_reply"
    UNRECORDED = "unrecorded"
    GANG_BROKEN = "gang_broken"


@dataclass(frozen=True, slots=True)
class StopUnconfirmed:
    """A voluntary stop waited too long, or its only try got no reply.

    Attributes:
        host: Host of the run.
        name: Task of the run.
        number: Run number.
        replied_ms: Steady-clock time at which the link gave up.
        was_sent: Whether the host may have received the order, or may receive it later.
    """

    host: HostId
    name: TaskName
    number: int
    replied_ms: int
    was_sent: bool


@dataclass(frozen=True, slots=True)
class LastingRunStopped:
    """Reports the order to stop a run of a lasting task whose job goes on.

    Attributes:
        host: Host of the run.
        name: Task of the run.
        number: Run number.
        reason: Why it is stopped.
        may_miss: Tasks of the step that may be away through the scheduler's orders.
        absent: Other tasks of the step that are away.
        oldest_report_ms: Highest age of the reports that show the others at work.
    """

    host: HostId
    name: TaskName
    number: int
    reason: StopReason
    may_miss: int
    absent: tuple[AbsentTask, ...]
    oldest_report_ms: int


@dataclass(frozen=True, slots=True)
class LastingRunEnded:
    """Reports the end of a run of a lasting task, as its host has listed it.

    Attributes:
        host: Host of the run.
        name: Task of the run.
        number: Run number.
        outcome: How it ended.
        was_stopped: Whether its stop was ordered.
    """

    host: HostId
    name: TaskName
    number: int
    outcome: RunOutcome
    was_stopped: bool


LastingRunReport: TypeAlias = LastingRunStopped | LastingRunEnded
