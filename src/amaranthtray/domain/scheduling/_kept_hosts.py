"""Selects the hosts that may be kept for tasks: those that can certainly run there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._advice_requests import want_advice
from ._quarantine import has_suspects
from .placement import may_ever_fit, tasks_that_fit

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..ids import HostId, RackId
    from ..jobs.job import Job
    from ..jobs.model import StepKey, StepSpec
    from ._state import SchedulerState
    from .host import Host


def hosts_to_keep(
    state: SchedulerState, job: Job, key: StepKey, hosts: Sequence[Host]
) -> set[HostId]:
    """Returns hosts that get no other runs now, so that a gang can start there.

    Hosts are kept only where the whole gang can certainly run: the policy is known to
    allow them, and neither label, capacity, limit per host nor the team's cap is in the
    way. A gang under which a host crashed gets none, as it is placed by other rules.

    Args:
        state: State of the scheduler.
        job: Job of the gang.
        key: Its step, after its placement.
        hosts: Hosts that may be shared.
    """
    step, kept = job.spec.steps[key.step], state.gang_hosts
    if (
        not state.unplaced.is_overdue(key, step, state.now_ms)
        or not kept.may_keep(key, state.now_ms)
        or has_suspects(job, key, list(range(step.count)))
        or not state.caps.may_ever_fit(state.catalog, job.spec.team, step)
    ):
        return set()
    want_advice(state, job, key, hosts)
    chosen = _sufficient_hosts(step, _known_to_be_allowed(state, job, key, hosts))
    if chosen:
        kept.record_kept(key, chosen, state.now_ms)
    return chosen


def suitable_hosts(
    state: SchedulerState, job: Job, key: StepKey, hosts: Iterable[Host]
) -> set[HostId]:
    """Returns the hosts on which a task of a step can certainly run, if empty."""
    step = job.spec.steps[key.step]
    allowed = _known_to_be_allowed(state, job, key, hosts)
    return {host.info.id for host in allowed if may_ever_fit(step, host)}


def _known_to_be_allowed(
    state: SchedulerState, job: Job, key: StepKey, hosts: Iterable[Host]
) -> Iterable[Host]:
    """Returns the hosts that the policy is known to allow, or all without a policy."""
    if not state.needs_advice(job):
        return hosts
    return (host for host in hosts if state.advice.is_allowed(key, host.info.id))


def _sufficient_hosts(step: StepSpec, hosts: Iterable[Host]) -> set[HostId]:
    """Returns hosts that fit a gang once their runs have ended; none if that can't be.

    Lasting tasks don't end. A gang that prefers one rack gets hosts of one if possible.
    """
    suitable = [host for host in hosts if may_ever_fit(step, host)]
    fits: dict[HostId, int] = {}
    for host in suitable:
        room = host.info.capacity.minus(host.used_by_lasting)
        fits[host.info.id] = tasks_that_fit(step, room)
    groups: list[list[Host]] = [suitable]
    if step.is_same_rack:
        by_rack: dict[RackId, list[Host]] = {}
        for host in suitable:
            by_rack.setdefault(host.info.rack, []).append(host)
        groups = [*(by_rack[rack] for rack in sorted(by_rack)), suitable]
    for group in groups:
        chosen: set[HostId] = set()
        placed = 0
        for host in sorted(group, key=lambda each: (-fits[each.info.id], each.info.id)):
            if placed >= step.count:
                break
            chosen.add(host.info.id)
            placed += fits[host.info.id]
        if placed >= step.count:
            return chosen
    return set()
