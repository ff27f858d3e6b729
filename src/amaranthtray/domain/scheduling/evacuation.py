"""Evacuation of zones: what a scheduler knows of it, its message and its effects."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..ids import HostId, ZoneId
from ..jobs.model import StepKey, TaskName


class RunKind(StrEnum):
    """What an evacuation does with a run.

    Attributes:
        CHECKPOINTING: It is stopped and resumes elsewhere from its checkpoint.
        LASTING: It is moved within the step's ``may_miss``.
        GANG: It is moved together with all members of its gang.
        OTHER: It is left to end.
    """

    CHECKPOINTING = "checkpointing"
    LASTING = "lasting"
    GANG = "gang"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class ZonesEvacuated:
    """The complete set of zones in which nothing may be started."""

    zones: frozenset[ZoneId]


@dataclass(frozen=True, slots=True)
class StartWithheld:
    """A start was dropped before it was ordered, as the zone of a host is evacuated.

    Attributes:
        host: Host on which the run was placed; of a gang, any host can be the cause.
        name: Task of the run.
        number: Run number.
    """

    host: HostId
    name: TaskName
    number: int


@dataclass(frozen=True, slots=True)
class RunsMoved:
    """Runs of one step are being stopped to start again outside their zone.

    Attributes:
        zone: The evacuated zone; of several, the one of the step's first run.
        kind: Kind of the runs.
        tasks: Tasks of the runs.
        waited_ms: Time since this conductor learned of the request.
    """

    zone: ZoneId
    kind: RunKind
    tasks: tuple[TaskName, ...]
    waited_ms: int


@dataclass(frozen=True, slots=True)
class EvacuationProgress:
    """Runs that remain in an evacuated zone.

    Attributes:
        zone: The zone.
        remaining: Number of runs that may be on its hosts, by kind.
        moving: Tasks of all zones that were stopped and have no new run yet.
        age_ms: Time since this conductor learned of the request.
    """

    zone: ZoneId
    remaining: Mapping[RunKind, int]
    moving: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class EvacuationHosts:
    """The pool has lost its last host outside the evacuated zones, or has one again."""

    has_hosts: bool


class MovingRun(NamedTuple):
    """A run that was stopped so that its task starts elsewhere.

    Attributes:
        number: Run number.
        since_ms: Time of the stop.
        target: Host outside the zones that had room for the task.
    """

    number: int
    since_ms: int
    target: HostId


@dataclass(slots=True)
class EvacuationState:
    """What a scheduler knows of evacuations; times are of the steady clock.

    Attributes:
        zones: Zones that are evacuated.
        since_ms: Time at which the scheduler learned of each of these.
        ended_ms: Time at which the evacuation of each other zone ended, while its
            hosts are loaded in steps.
        moving: Tasks whose run was stopped, until they run elsewhere.
        tried_ms: Time of the last attempt to move runs of a step.
        checked_ms: Time of the last check of the runs.
        reported_ms: Time of the last report of progress.
        lacks_hosts: Whether the pool has no host outside the zones.
    """

    zones: frozenset[ZoneId] = frozenset()
    since_ms: dict[ZoneId, int] = field(default_factory=dict)
    ended_ms: dict[ZoneId, int] = field(default_factory=dict)
    moving: dict[TaskName, MovingRun] = field(default_factory=dict)
    tried_ms: dict[StepKey, int] = field(default_factory=dict)
    checked_ms: int | None = None
    reported_ms: int | None = None
    lacks_hosts: bool = False
