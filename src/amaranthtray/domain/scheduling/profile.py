"""When resources of a host are expected to be free.

The load that this addresses: small tasks leave gaps that no large task can use. The
expected ends of a host's runs show when its gaps become large enough.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..jobs.model import Resources
from .placement import is_far, tasks_that_fit
from .run_times import declared_left_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import HostId
    from ..jobs.model import StepKey, StepSpec
    from ._state import SchedulerState
    from .host import Host, PlacedRun

UNKNOWN_RUN_MS = 2_500.0
"""Expected remaining time of a run without an estimate."""

OVERRUN_SHARE = 0.25
"""A run that has outlasted its estimate is expected to take this share of the time that
it has taken so far: estimates are often short by a multiple."""


class Freed(NamedTuple):
    """Resources that are free from a time on, until more are freed.

    Attributes:
        at_ms: Steady-clock time.
        room: Free resources.
    """

    at_ms: float
    room: Resources


class RoomFor(NamedTuple):
    """Number of tasks that a host can hold from a time on."""

    at_ms: float
    host: HostId
    tasks: int


def profile_of(state: SchedulerState, host: Host) -> list[Freed]:
    """Returns the free resources of a host, now and after each expected end.

    Lasting runs don't end. Expected ends that have passed are moved into the future.
    """
    ends: list[tuple[float, Resources]] = []
    now_ms = state.now_ms
    for placed in host.placed_runs():
        if not placed.step.is_lasting:
            left_ms = expected_rest_ms(state, host, placed)
            ends.append((now_ms + left_ms, placed.step.reserved))
    ends.sort()
    cpu, memory_mb, gpu = host.free
    profile = [Freed(now_ms, host.free)]
    for at_ms, freed in ends:
        cpu, memory_mb, gpu = cpu + freed[0], memory_mb + freed[1], gpu + freed[2]
        profile.append(Freed(at_ms, Resources(cpu, memory_mb, gpu)))
    return profile


def expected_rest_ms(state: SchedulerState, host: Host, placed: PlacedRun) -> float:
    """Returns the expected time in ms until a run ends; above zero."""
    name, step, run = placed
    run_times, now_ms = state.run_times, state.now_ms
    if run_times.is_learning:
        spec = state.jobs[name.job].spec
        left_ms = run_times.remaining(spec, name.step, run, now_ms).expected_ms
    else:
        left_ms = declared_left_ms(step, run, now_ms)
    if state.policy.weigh_remote_hosts and is_far(step, host):
        # Expected run times are those of runs near their data.
        spec = state.jobs[name.job].spec
        whole_ms = run_times.of_step(spec, name.step).expected_ms
        passed_ms = state.now_ms - (run.started_ms or state.now_ms)
        left_ms = max(left_ms, state.policy.remote_factor * whole_ms - passed_ms)
    return left_ms if left_ms > 0 else _overrun_ms(state, run.started_ms)


def room_at(profile: Sequence[Freed], at_ms: float) -> Resources:
    """Returns the resources that are expected to be free at a time."""
    room = profile[0].room
    for freed in profile:
        if freed.at_ms > at_ms:
            break
        room = freed.room
    return room


def rooms_for(
    step: StepSpec, key: StepKey, host: Host, profile: Sequence[Freed]
) -> list[RoomFor]:
    """Returns from when on a host can hold how many more tasks of a step."""
    rooms: list[RoomFor] = []
    count = 0
    most = step.count
    if step.max_per_host:
        most = max(step.max_per_host - host.task_count(key), 0)
    for freed in profile:
        fitting = min(tasks_that_fit(step, freed.room), most)
        if fitting > count:
            count = fitting
            rooms.append(RoomFor(freed.at_ms, host.info.id, count))
            if count >= step.count:
                break
    return rooms


def _overrun_ms(state: SchedulerState, started_ms: int | None) -> float:
    """Returns the expected remaining time of a run that has outlasted its estimate."""
    if started_ms is None or started_ms >= state.now_ms:
        return UNKNOWN_RUN_MS
    return min(OVERRUN_SHARE * (state.now_ms - started_ms), UNKNOWN_RUN_MS)
