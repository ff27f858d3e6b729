"""Log of the calls of the demo, and its comparison with the tasks that ran."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..domain.ids import AttemptId, HostId, RequestId, TeamName
from ..domain.invariants import (
    AnswerGiven,
    RefusedNotRun,
    TaskEnded,
    TaskStarted,
    Watchdog,
)
from ..domain.requests.model import UnknownReason
from ..entry.replies import OutcomeName, RefusalBody
from .callers import Call, CallResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..standins.backend import BackendStandIn

MS_PER_S = 1_000
BROKEN_CONNECTION = {UnknownReason.CONNECTION_BROKE, UnknownReason.ANSWER_CUT}


@dataclass(slots=True)
class CallLog:
    """Stores the calls that callers sent and the results that they received."""

    sent: list[Call] = field(default_factory=list)
    results: list[CallResult] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_sent(self, call: Call) -> None:
        """Stores a call that is sent."""
        with self._lock:
            self.sent.append(call)

    def record_result(self, result: CallResult) -> None:
        """Stores the result of a call."""
        with self._lock:
            self.results.append(result)

    def summary(self, servers: Iterable[BackendStandIn]) -> Summary:
        """Checks the results against the tasks that the backend servers ran."""
        outcomes = Counter(result.outcome for result in self.results)
        servers = list(servers)
        watchdog = self._check_invariants(servers)
        return Summary(
            sent=len(self.sent),
            answered=outcomes[OutcomeName.ANSWERED],
            not_run=outcomes[OutcomeName.NOT_RUN],
            unknown=outcomes[OutcomeName.UNKNOWN],
            unexplained=self._count_unexplained(servers),
            lost=len(self.sent) - len(self.results),
            doubled=_count_violations(watchdog, "AtMostOnce"),
            mismatched=_count_violations(watchdog, "AnswersMatch"),
            false_not_run=_count_violations(watchdog, "NotRunIsTrue"),
        )

    def _count_unexplained(self, servers: list[BackendStandIn]) -> int:
        """Counts unknown outcomes that no stopped backend server accounts for."""
        has_stopped = any(server.is_stopped for server in servers)
        ran_elsewhere = {
            run.request_id
            for server in servers
            if not server.is_stopped
            for run in server.runs
        }
        unknown = [res for res in self.results if res.outcome == OutcomeName.UNKNOWN]
        return sum(
            not (has_stopped and _may_be_unknown(res))
            or res.call.request_id in ran_elsewhere
            for res in unknown
        )

    def _check_invariants(self, servers: list[BackendStandIn]) -> Watchdog:
        watchdog = Watchdog()
        repeatable = {call.request_id: call.repeatable for call in self.sent}
        for server in servers:
            for run in server.runs:
                at_ms = int(run.started_s * MS_PER_S)
                request_id = RequestId(run.request_id)
                started = TaskStarted(
                    at_ms,
                    request_id,
                    TeamName(run.team),
                    AttemptId(run.attempt_id),
                    HostId(server.host_id),
                    repeatable.get(run.request_id, False),
                )
                watchdog.observe(started)
                watchdog.observe(TaskEnded(at_ms, AttemptId(run.attempt_id)))
        for result in self.results:
            _observe_result(watchdog, result)
        return watchdog


@dataclass(frozen=True, slots=True)
class Summary:
    """Totals of a demo; as text, its last line.

    Attributes:
        sent: Calls that were sent.
        answered: Calls with an answer.
        not_run: Calls refused with the promise that they did not run.
        unknown: Calls whose outcome is unknown.
        unexplained: Calls among them other than unrepeatable work whose connection to
            a stopped backend server broke; only such work is not sent again.
        lost: Calls without a result.
        doubled: Unrepeatable requests that ran more than once.
        mismatched: Answers to another request, or truncated answers.
        false_not_run: Calls reported as not run that did run.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    unexplained: int
    lost: int
    doubled: int
    mismatched: int
    false_not_run: int

    @property
    def is_good(self) -> bool:
        """Returns whether every call has a correct result."""
        return not (
            self.unexplained
            or self.lost
            or self.doubled
            or self.mismatched
            or self.false_not_run
        )

    def __str__(self) -> str:
        return (
            f"demo: sent={self.sent} answered={self.answered}"
            f" not_run={self.not_run} unknown={self.unknown}"
            f" lost={self.lost} doubled={self.doubled}"
        )


def _may_be_unknown(result: CallResult) -> bool:
    """Returns whether the stop of a backend server can leave the outcome unknown."""
    if result.call.repeatable:
        return False
    try:
        refusal = msgspec.json.decode(result.body, type=RefusalBody)
    except msgspec.DecodeError:
        return False
    return refusal.reason in BROKEN_CONNECTION


def _observe_result(watchdog: Watchdog, result: CallResult) -> None:
    request_id = RequestId(result.call.request_id)
    if result.outcome == OutcomeName.ANSWERED:
        answers, _, body = result.body.partition(b"|")
        seen = AnswerGiven(
            0, request_id, RequestId(answers.decode()), body == result.call.body
        )
        watchdog.observe(seen)
    elif result.outcome == OutcomeName.NOT_RUN:
        watchdog.observe(RefusedNotRun(0, request_id))


def _count_violations(watchdog: Watchdog, promise: str) -> int:
    return sum(item.promise == promise for item in watchdog.violations)
