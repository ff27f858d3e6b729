"""Admission control: refuses requests that would wait too long or cannot run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .model import NotRun, NotRunReason, WorkClass

if TYPE_CHECKING:
    from ..ids import Millis
    from ._state import DispatcherState, PoolQueues
    from .model import Request


def admission_refusal(
    state: DispatcherState, req: Request, now_ms: Millis
) -> NotRun | None:
    """Returns the refusal of a request at submission, or None if it is admitted."""
    if req.deadline_ms <= now_ms:
        return NotRun(NotRunReason.DEADLINE_TOO_CLOSE, "the deadline has passed")
    if not state.workers.has_hosts(req.pool):
        return state.no_host_refusal(f"pool {req.pool} has no usable host")
    if not state.workers.can_ever_run(req.pool, req.needs):
        return _can_never_run(req)
    queues = state.pool(req.pool)
    wait_queue = queues.wait_queue(req.work_class)
    wait_ms = implied_wait_ms(state, queues, req.work_class)
    bound_ms = state.cfg.max_wait_ms(req.work_class)
    if wait_ms > bound_ms or wait_queue.size >= state.cfg.max_waiting:
        detail = f"implied wait {int(wait_ms)} ms, {wait_queue.size} requests wait"
        retry_after_ms = state.retry_after_ms(wait_ms - bound_ms)
        return NotRun(NotRunReason.QUEUE_FULL, detail, retry_after_ms)
    return _limit_refusal(state, queues, req, now_ms) or _deadline_refusal(
        state, queues, req, wait_ms, now_ms
    )


def _limit_refusal(
    state: DispatcherState, queues: PoolQueues, req: Request, now_ms: Millis
) -> NotRun | None:
    """Refuses a request that would wait too long for a unit of its team's limit.

    Nothing is refused while the team uses no unit: the first may be on its way.
    """
    team_units = state.team_units[req.team]
    if queues.recheck_ms.get(req.team, -1) < now_ms or not team_units:
        return None
    times = queues.times(req.work_class)
    ahead = queues.wait_queue(req.work_class).waiting(req.team) + 1
    wait_ms = times.implied_wait_ms(ahead, team_units)
    late_ms = wait_ms + times.mean_ms - (req.deadline_ms - now_ms)
    if late_ms <= 0:
        return None
    detail = f"implied wait {int(wait_ms)} ms for a unit of the team's limit"
    retry_after_ms = state.retry_after_ms(late_ms)
    return NotRun(NotRunReason.LIMIT_REACHED, detail, retry_after_ms)


def implied_wait_ms(
    state: DispatcherState, queues: PoolQueues, work_class: WorkClass
) -> float:
    """Returns the expected wait of a request that is queued now.

    For urgent requests only the slots that this entry holds or may use now count.
    Patient requests have time to get the entry's fair share of the slots.
    """
    available_slots = state.workers.available_slots(queues.name)
    if work_class is WorkClass.URGENT:
        usable_slots = (
            len(queues.preemptable) + len(queues.checkpointing) + available_slots
        )
        ahead = queues.urgent.size + 1 - usable_slots
        slots = queues.urgent_running + usable_slots
        return queues.urgent_times.implied_wait_ms(ahead, slots)
    ahead = queues.patient.size + 1 - available_slots
    own_fair_slots = int(state.workers.fair_slots(queues.name)) - queues.urgent_running
    slots = max(queues.patient_running + available_slots, own_fair_slots)
    return queues.patient_times.implied_wait_ms(ahead, slots)


def _deadline_refusal(
    state: DispatcherState,
    queues: PoolQueues,
    req: Request,
    wait_ms: float,
    now_ms: Millis,
) -> NotRun | None:
    mean_ms = queues.times(req.work_class).mean_ms
    left_ms = req.deadline_ms - now_ms
    late_ms = wait_ms + mean_ms - left_ms
    if wait_ms <= 0 or late_ms <= 0:
        return None
    detail = f"implied wait {int(wait_ms)} ms, mean slot time {int(mean_ms)} ms"
    can_ever_make_it = mean_ms <= left_ms
    retry_after_ms = state.retry_after_ms(late_ms) if can_ever_make_it else None
    return NotRun(NotRunReason.DEADLINE_TOO_CLOSE, detail, retry_after_ms)


def _can_never_run(req: Request) -> NotRun:
    needs = req.needs
    detail = (
        f"no host of pool {req.pool} has {needs.cores} cores,"
        f" {needs.memory_mb} MB and {needs.accelerators} accelerators"
    )
    return NotRun(NotRunReason.CAN_NEVER_RUN, detail)
