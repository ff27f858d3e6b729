"""Refuses at once what would wait too long or can never run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .model import NotRun, NotRunReason, WorkClass

if TYPE_CHECKING:
    from ..ids import Millis
    from ._state import DeskState, PoolQueue
    from .model import Request


def refusal(state: DeskState, req: Request, now_ms: Millis) -> NotRun | None:
    """Returns why a request is refused before it joins a line, if it is."""
    if req.deadline_ms <= now_ms:
        return NotRun(NotRunReason.DEADLINE_TOO_CLOSE, "the deadline has passed")
    if not state.book.has_hosts(req.pool):
        return state.no_host(f"pool {req.pool} has no usable host")
    if not state.book.can_ever_run(req.pool, req.needs):
        return _can_never_run(req)
    queue = state.pool(req.pool)
    line = queue.line(req.work_class)
    wait_ms = implied_wait_ms(state, queue, req.work_class)
    bound_ms = state.cfg.max_wait_ms(req.work_class)
    if wait_ms > bound_ms or line.size >= state.cfg.max_waiting:
        detail = f"implied wait {int(wait_ms)} ms, {line.size} requests wait"
        retry_after_ms = state.retry_after_ms(wait_ms - bound_ms)
        return NotRun(NotRunReason.QUEUE_FULL, detail, retry_after_ms)
    return _beyond_limit(state, queue, req, now_ms) or _too_close(
        state, queue, req, wait_ms, now_ms
    )


def _beyond_limit(
    state: DeskState, queue: PoolQueue, req: Request, now_ms: Millis
) -> NotRun | None:
    """Refuses what waits for a unit of its team's limit until it is too late.

    While no unit is held nothing is refused, since the first may be on its way.
    """
    units = state.units[req.team]
    if queue.recheck_ms.get(req.team, -1) < now_ms or not units:
        return None
    times = queue.times(req.work_class)
    ahead = queue.line(req.work_class).waiting(req.team) + 1
    wait_ms = times.implied_wait_ms(ahead, units)
    late_ms = wait_ms + times.mean_ms - (req.deadline_ms - now_ms)
    if late_ms <= 0:
        return None
    detail = f"implied wait {int(wait_ms)} ms for a unit of the team's limit"
    retry_after_ms = state.retry_after_ms(late_ms)
    return NotRun(NotRunReason.LIMIT_REACHED, detail, retry_after_ms)


def implied_wait_ms(state: DeskState, queue: PoolQueue, work_class: WorkClass) -> float:
    """Returns how long a request that joins the line now would wait.

    For urgent work only slots in this entry's hands count: those that it holds and
    those open to it. Patient work has time to win its fair part.
    """
    available_slots = state.book.available_slots(queue.name)
    if work_class is WorkClass.URGENT:
        movable = len(queue.preemptable) + len(queue.making_room) + available_slots
        ahead = queue.urgent.size + 1 - movable
        slots = queue.urgent_running + movable
        return queue.urgent_times.implied_wait_ms(ahead, slots)
    ahead = queue.patient.size + 1 - available_slots
    fair = int(state.book.fair_slots(queue.name)) - queue.urgent_running
    slots = max(queue.patient_running + available_slots, fair)
    return queue.patient_times.implied_wait_ms(ahead, slots)


def _too_close(
    state: DeskState, queue: PoolQueue, req: Request, wait_ms: float, now_ms: Millis
) -> NotRun | None:
    mean_ms = queue.times(req.work_class).mean_ms
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
