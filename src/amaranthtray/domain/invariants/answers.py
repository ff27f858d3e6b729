"""Promises about answers, refusals, keys of requests and graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .observations import (
    AnswerGiven,
    RefusedNotRun,
    RequestAccepted,
    RequestCut,
    TaskStarted,
)

if TYPE_CHECKING:
    from ..ids import RequestId
    from .observations import Observation


class AnswersMatch:
    """Each caller receives the whole answer to its own request."""

    def observe(self, event: Observation) -> str | None:
        """Returns a wrong or truncated answer that this reveals, or None."""
        if not isinstance(event, AnswerGiven):
            return None
        if event.answers != event.request_id:
            return f"request {event.request_id} received the answer to {event.answers}"
        if not event.is_whole:
            return f"request {event.request_id} received a truncated answer as complete"
        return None


class NotRunIsTrue:
    """A request refused as "not run" did not run before, and never runs after."""

    def __init__(self) -> None:
        self._ran: set[RequestId] = set()
        self._refused: set[RequestId] = set()

    def observe(self, event: Observation) -> str | None:
        """Returns a false refusal that this observation reveals, or None."""
        match event:
            case TaskStarted():
                self._ran.add(event.request_id)
                if event.request_id in self._refused:
                    return f"request {event.request_id} ran after a not-run refusal"
            case RefusedNotRun():
                self._refused.add(event.request_id)
                if event.request_id in self._ran:
                    return f"request {event.request_id} was refused as not run but ran"
        return None


class WorkIsKeyed:
    """Outside open queues, work is accepted only for the team of its key."""

    def observe(self, event: Observation) -> str | None:
        """Returns work without a key or for another team, or None."""
        if not isinstance(event, RequestAccepted) or event.queue_is_open:
            return None
        if event.key_team is None:
            return f"request {event.request_id} was accepted without a key"
        if event.key_team != event.charged_team:
            return (
                f"request {event.request_id} of {event.key_team}"
                f" was charged to {event.charged_team}"
            )
        return None


class NothingCutByShutdown:
    """A graceful shutdown cuts off no request in flight."""

    def observe(self, event: Observation) -> str | None:
        """Returns a cut-off request that this observation reveals, or None."""
        if not isinstance(event, RequestCut):
            return None
        return f"request {event.request_id} was cut by the shutdown of {event.entry}"
