"""Derives outcomes and checks promises from the trace of one entry."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..domain.ids import Millis
from ..domain.invariants import (
    AnswerGiven,
    HostBack,
    HostLeaving,
    RefusedNotRun,
    TaskStarted,
    Watchdog,
)
from ..domain.inventory import HostState
from ..domain.requests.messages import (
    AttemptEnded,
    Finish,
    NothingSent,
    RefusedByHost,
    StartAttempt,
    WholeAnswer,
)
from ..domain.requests.model import Answered, NotRun, Unknown
from ..domain.serving import HostsListed
from .trace import StatedOutcomes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..domain.ids import AttemptId, HostId
    from ..domain.inventory import Host
    from ..domain.serving import ServingEffect, ServingMessage

CHECKED_PROMISES = ("AnswersMatch", "AtMostOnce", "LeavingGetsNothing", "NotRunIsTrue")
"""Promises that the trace of one entry can show; others need the whole fleet."""

_OUTCOMES = {Answered: "answered", NotRun: "not_run", Unknown: "unknown"}


class TraceChecker:
    """Checks promises over the messages and effects of one entry, in order.

    An attempt counts as run unless its result says that it was not, because the
    trace cannot show what the backend server did.
    """

    def __init__(self) -> None:
        self._watchdog = Watchdog()
        self._finished: Counter[str] = Counter()
        self._started: dict[AttemptId, tuple[Millis, StartAttempt]] = {}
        self._complete_answers: set[AttemptId] = set()
        self._leaving: set[HostId] = set()

    def observe(
        self, message: ServingMessage, effects: Sequence[ServingEffect], at_ms: int
    ) -> None:
        """Processes a message and the effects that it had."""
        match message:
            case AttemptEnded():
                self._handle_attempt_end(message, at_ms)
            case HostsListed(by_pool=by_pool):
                for hosts in by_pool.values():
                    self._handle_hosts(hosts, at_ms)
        for effect in effects:
            self._handle_effect(effect, at_ms)

    def outcomes(self) -> StatedOutcomes:
        """Returns the outcomes and the promises kept so far."""
        broken = {item.promise for item in self._watchdog.violations}
        return StatedOutcomes(
            answered=self._finished["answered"],
            not_run=self._finished["not_run"],
            unknown=self._finished["unknown"],
            promises=[name for name in CHECKED_PROMISES if name not in broken],
        )

    def violation_texts(self) -> list[str]:
        """Returns a text for each violation of a promise."""
        violations = self._watchdog.violations
        return [f"{item.promise}: {item.detail}" for item in violations]

    def _handle_hosts(self, hosts: Sequence[Host], at_ms: int) -> None:
        for host in hosts:
            is_leaving = host.state is HostState.LEAVING
            if is_leaving and host.host_id not in self._leaving:
                self._leaving.add(host.host_id)
                self._watchdog.observe(HostLeaving(at_ms, host.host_id))
            elif not is_leaving and host.host_id in self._leaving:
                self._leaving.discard(host.host_id)
                self._watchdog.observe(HostBack(at_ms, host.host_id))

    def _handle_effect(self, effect: ServingEffect, at_ms: int) -> None:
        match effect:
            case StartAttempt(attempt_id=attempt_id):
                self._started[attempt_id] = (Millis(at_ms), effect)
            case Finish(request=request, outcome=outcome):
                self._finished[_OUTCOMES[type(outcome)]] += 1
                match outcome:
                    case NotRun():
                        self._watchdog.observe(RefusedNotRun(at_ms, request.request_id))
                    case Answered(attempt_id=attempt_id):
                        self._observe_answer(effect, attempt_id, at_ms)

    def _observe_answer(
        self, finish: Finish, attempt_id: AttemptId, at_ms: int
    ) -> None:
        request_id = finish.request.request_id
        attempt = self._started.get(attempt_id)
        answers = attempt[1].request.request_id if attempt else request_id
        is_whole = attempt_id in self._complete_answers
        self._watchdog.observe(AnswerGiven(at_ms, request_id, answers, is_whole))

    def _handle_attempt_end(self, ended: AttemptEnded, at_ms: int) -> None:
        found = self._started.get(ended.attempt_id)
        if found is None or isinstance(ended.result, NothingSent | RefusedByHost):
            return
        if isinstance(ended.result, WholeAnswer):
            self._complete_answers.add(ended.attempt_id)
        started_ms, attempt = found
        request = attempt.request
        self._watchdog.observe(
            TaskStarted(
                started_ms,
                request.request_id,
                request.team,
                attempt.attempt_id,
                attempt.host,
                request.repeatable,
            )
        )
