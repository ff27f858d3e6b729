"""Requests for placement advice, and the hosts that it allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .advice import AdviceFailed, AdviceReceived, RequestAdvice
from .advice_queue import Purpose
from .placement import acceptable_count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.job import Job
    from ..jobs.model import StepKey
    from ._state import SchedulerState
    from .host import Host
    from .messages import Effect


def apply_advice(
    state: SchedulerState, message: AdviceReceived | AdviceFailed
) -> list[Effect]:
    """Applies the outcome of a request; returns the next request if one is due."""
    match message:
        case AdviceReceived(step):
            state.advice_queue.handle_answer(step)
            if step.job in state.active:
                state.advice.handle_advice(message)
        case AdviceFailed(step):
            state.advice_queue.handle_failure(step, state.now_ms)
    return [*state.advice_queue.take_next(state.now_ms)]


def want_advice(
    state: SchedulerState,
    job: Job,
    key: StepKey,
    hosts: Iterable[Host],
    purpose: Purpose = Purpose.START,
) -> None:
    """Lists a request for advice on more hosts if the queue has a placement policy.

    A gang is asked for also where no host has room, as hosts are kept for it only once
    the policy is known to allow them.
    """
    queue = state.advice_queue
    if not (state.needs_advice(job) and queue.accepts(key, purpose, state.now_ms)):
        return
    step = job.spec.steps[key.step]
    unknown = state.advice.unknown_hosts(key, step, hosts, state.now_ms)
    if not unknown:
        return
    if not (step.is_gang or acceptable_count(step, key, unknown[0])):
        purpose = Purpose.PREPARE
    ids = tuple(host.info.id for host in unknown)
    queue.add(RequestAdvice(key, ids), purpose)


def allowed_hosts(
    state: SchedulerState, job: Job, key: StepKey, hosts: Iterable[Host]
) -> Iterable[Host]:
    """Returns the hosts that the placement policy allows, or all without a policy."""
    if not state.needs_advice(job):
        return hosts
    return (
        host
        for host in hosts
        if state.advice.ticket(key, host.info.id, state.now_ms) is not None
    )
