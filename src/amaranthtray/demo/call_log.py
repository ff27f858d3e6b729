"""Counts what callers got against what backend servers ran."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..domain.ids import AttemptId, HostId, RequestId, TeamName
from ..domain.invariants import (
    AnswerGiven,
    RefusedNotRun,
    TaskEnded,
    TaskStarted,
    Watchdog,
)
from ..entry.replies import OutcomeName
from .callers import Call, CallResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..standins.backend import BackendStandIn

MS_PER_S = 1_000


@dataclass(slots=True)
class CallLog:
    """Everything that callers sent and got."""

    sent: list[Call] = field(default_factory=list)
    results: list[CallResult] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def note_sent(self, call: Call) -> None:
        """Counts a call."""
        with self._lock:
            self.sent.append(call)

    def note_result(self, result: CallResult) -> None:
        """Counts what a caller got."""
        with self._lock:
            self.results.append(result)

    def summary(self, servers: Iterable[BackendStandIn]) -> Summary:
        """Compares what callers got with what the backend servers ran."""
        outcomes = Counter(result.outcome for result in self.results)
        watchdog = self._watch(list(servers))
        return Summary(
            sent=len(self.sent),
            answered=outcomes[OutcomeName.ANSWERED],
            not_run=outcomes[OutcomeName.NOT_RUN],
            unknown=outcomes[OutcomeName.UNKNOWN],
            lost=len(self.sent) - len(self.results),
            doubled=_count(watchdog, "AtMostOnce"),
            mixed=_count(watchdog, "AnswersMatch"),
            false_not_run=_count(watchdog, "NotRunIsTrue"),
        )

    def _watch(self, servers: list[BackendStandIn]) -> Watchdog:
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
    """The last line of the demo."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    mixed: int
    false_not_run: int

    @property
    def is_good(self) -> bool:
        """Returns whether every caller got what it was owed."""
        return not (self.lost or self.doubled or self.mixed or self.false_not_run)

    def __str__(self) -> str:
        return (
            f"demo: sent={self.sent} answered={self.answered}"
            f" not_run={self.not_run} unknown={self.unknown}"
            f" lost={self.lost} doubled={self.doubled}"
        )


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


def _count(watchdog: Watchdog, promise: str) -> int:
    return sum(item.promise == promise for item in watchdog.violations)
