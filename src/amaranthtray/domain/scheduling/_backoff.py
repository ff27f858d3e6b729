"""Delays further starts on a host, or of a task, after a start that did not succeed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import StepKey
from .messages import StartOutcome, StartReplied

if TYPE_CHECKING:
    from ._state import SchedulerState
    from .host import Host

FULL_BACKOFF_MS = 500
"""Time without new runs for a host that refused a run for lack of resources."""

UNHEALTHY_BACKOFF_MS = 1_000
"""Time without new runs for a host that reported itself as unhealthy."""

WITHHELD_BACKOFF_MS = 200
"""Time without new runs for a host that a start was not sent to; the conductor learns
the reason within that time, or tries again."""


def delay_starts(state: SchedulerState, host: Host, reply: StartReplied) -> None:
    """Delays new runs on the host, or the task, according to the reply to a start."""
    match reply.outcome:
        case StartOutcome.NO_ROOM:
            host.avoid_until_ms = state.now_ms + FULL_BACKOFF_MS
        case StartOutcome.UNHEALTHY:
            host.avoid_until_ms = state.now_ms + UNHEALTHY_BACKOFF_MS
        case StartOutcome.WITHHELD:
            host.avoid_until_ms = state.now_ms + WITHHELD_BACKOFF_MS
        case StartOutcome.REFUSED | StartOutcome.NO_TICKET:
            state.advice.remove_ticket(StepKey(*reply.name[:3]), reply.host)
            job = state.jobs[reply.name.job]
            if reply.outcome is StartOutcome.NO_TICKET:
                job.needs_ticket |= not state.queues.is_configured(job.spec.queue)
            task = job.task(reply.name)
            if task is not None:
                task.not_before_ms = state.now_ms + FULL_BACKOFF_MS
