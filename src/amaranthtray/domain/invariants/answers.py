"""Promises about answers, refusals, keys on work and graceful shutdown."""

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

    def observe(self, seen: Observation) -> str | None:
        """Returns a mixed or cut answer, if this observation shows one."""
        if not isinstance(seen, AnswerGiven):
            return None
        if seen.answers != seen.request_id:
            return f"request {seen.request_id} got the answer of {seen.answers}"
        if not seen.is_whole:
            return f"request {seen.request_id} got a cut answer as whole"
        return None


class NotRunIsTrue:
    """A refusal that says "not run" is true, before and after it is given."""

    def __init__(self) -> None:
        self._ran: set[RequestId] = set()
        self._refused: set[RequestId] = set()

    def observe(self, seen: Observation) -> str | None:
        """Returns a false refusal, if this observation shows one."""
        match seen:
            case TaskStarted():
                self._ran.add(seen.request_id)
                if seen.request_id in self._refused:
                    return f"request {seen.request_id} ran after a not-run refusal"
            case RefusedNotRun():
                self._refused.add(seen.request_id)
                if seen.request_id in self._ran:
                    return f"request {seen.request_id} was refused as not run but ran"
        return None


class WorkIsKeyed:
    """Outside open queues, work is taken only for the team whose key came with it."""

    def observe(self, seen: Observation) -> str | None:
        """Returns work taken for another team, if this observation shows it."""
        if not isinstance(seen, RequestAccepted) or seen.queue_is_open:
            return None
        if seen.key_team is None:
            return f"request {seen.request_id} was taken without a key"
        if seen.key_team != seen.charged_team:
            return (
                f"request {seen.request_id} of {seen.key_team}"
                f" was charged to {seen.charged_team}"
            )
        return None


class NothingCutByShutdown:
    """A graceful shutdown cuts off no request in flight."""

    def observe(self, seen: Observation) -> str | None:
        """Returns a request that was cut, if this observation shows one."""
        if not isinstance(seen, RequestCut):
            return None
        return f"request {seen.request_id} was cut by the shutdown of {seen.entry}"
