"""Checks RequestDispatcher against each row of docs/design/outcomes.md."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, TypeAlias

import pytest

from amaranthtray.domain.ids import Millis, TeamName
from amaranthtray.domain.requests.messages import (
    AnswerCut,
    AttemptEnded,
    AttemptResult,
    BrokeAfterSend,
    Cancel,
    Checkpointed,
    DispatcherEffect,
    Finish,
    NothingSent,
    RefusedByHost,
    StartAttempt,
    Submit,
    Tick,
    TimedOut,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import (
    Answered,
    Needs,
    NotRun,
    Outcome,
    Unknown,
    WorkClass,
)
from amaranthtray.domain.requests.ports import Unlimited
from amaranthtray.domain.requests.settings import DispatcherSettings
from builders import host, request, request_dispatcher

if TYPE_CHECKING:
    from amaranthtray.domain.requests.dispatcher import RequestDispatcher

TABLE = Path(__file__).parents[2] / "docs" / "design" / "outcomes.md"
DEADLINE_MS = 10_000
PAUSE_MS = 2_000
"""Longer than any backoff and shorter than ``DEADLINE_MS``."""

SHORT_QUEUE = DispatcherSettings(urgent_max_wait_ms=1_000, first_urgent_service_ms=500)
NO_RETRY = DispatcherSettings(max_retries=0)


class _NoUnits(Unlimited):
    """Limits under which no unit is ever free."""

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        return False


@dataclass(frozen=True)
class CancelNow:
    """The caller cancels."""


@dataclass(frozen=True)
class PassDeadline:
    """Time passes until the deadline."""


@dataclass(frozen=True)
class LateResult:
    """The result of the first attempt arrives after it was abandoned."""

    result: AttemptResult


@dataclass(frozen=True)
class LeaseExpiry:
    """Time passes until all leases have expired."""


@dataclass(frozen=True)
class RepeatResult:
    """Every attempt ends with this result until the request has an outcome."""

    result: AttemptResult


Step: TypeAlias = (
    AttemptResult | CancelNow | PassDeadline | LateResult | LeaseExpiry | RepeatResult
)


@dataclass(frozen=True)
class Case:
    """One request and what happens to it.

    Attributes:
        steps: What happens after the submission, in order.
        requests_ahead: Number of earlier requests that hold or wait for a slot.
        is_at_limit: Whether its team has no free unit.
    """

    steps: tuple[Step, ...] = ()
    cfg: DispatcherSettings = SHORT_QUEUE
    hosts: int = 4
    slots: int = 1
    requests_ahead: int = 0
    needs: Needs = field(default_factory=Needs)
    deadline_ms: int = DEADLINE_MS
    is_at_limit: bool = False


BROKEN = BrokeAfterSend()
CASES = {
    "late-submit": Case(deadline_ms=0),
    "no-host": Case(hosts=0),
    "misfit": Case(needs=Needs(cores=10_000)),
    "full-line": Case(hosts=1, requests_ahead=4),
    "long-line": Case(hosts=1, requests_ahead=1, deadline_ms=900),
    "cancel-waiting": Case((CancelNow(),), hosts=1, requests_ahead=1),
    "deadline-waiting": Case((PassDeadline(),), hosts=1, requests_ahead=1),
    "deadline-limit": Case((PassDeadline(),), is_at_limit=True),
    "paused": Case((NothingSent(is_host_fault=False),)),
    "connect": Case((NothingSent(),)),
    "connect-all": Case((RepeatResult(NothingSent()),)),
    "full-host": Case((RefusedByHost(),)),
    "leaving-host": Case((RefusedByHost(is_leaving=True),)),
    "refused-deadline": Case((RepeatResult(RefusedByHost()),)),
    "refused-cancel": Case((RefusedByHost(),) * 4 + (CancelNow(),)),
    "broke-sending": Case((BROKEN,)),
    "broke-sending-spent": Case((BROKEN,), cfg=NO_RETRY),
    "broke-waiting": Case((BROKEN,)),
    "cut": Case((AnswerCut(),)),
    "cut-spent": Case((AnswerCut(),), cfg=NO_RETRY),
    "timeout": Case((TimedOut(),)),
    "timeout-spent": Case((TimedOut(),), cfg=NO_RETRY),
    "error": Case((WholeAnswer(is_error=True),)),
    "error-spent": Case((WholeAnswer(is_error=True),), cfg=NO_RETRY),
    "error-everywhere": Case((RepeatResult(WholeAnswer(is_error=True)),)),
    "answer": Case((WholeAnswer(),)),
    "broke-then-refused": Case((BROKEN, RepeatResult(RefusedByHost()))),
    "broke-then-unsent": Case((BROKEN, RepeatResult(NothingSent())), slots=2),
    "broke-then-cancel": Case((BROKEN, CancelNow())),
    "cancel-running": Case((CancelNow(),)),
    "deadline-running": Case((PassDeadline(),)),
    "checkpointed": Case((Checkpointed(),)),
    "checkpointed-deadline": Case((Checkpointed(), RepeatResult(RefusedByHost()))),
    "late-answer": Case((CancelNow(), LateResult(WholeAnswer()))),
    "late-unsent": Case((CancelNow(), LateResult(NothingSent()))),
    "late-break": Case((CancelNow(), LateResult(BROKEN))),
    "lapsed": Case((CancelNow(), LeaseExpiry())),
}


def _rows() -> dict[str, list[str]]:
    lines = [line for line in TABLE.read_text().splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return {row[0]: row[1:] for row in cells if row[0] != "Row"}


ROWS = _rows()


class _CaseRun:
    """Runs a case and records the attempts and outcomes of its request."""

    def __init__(self, case: Case, *, repeatable: bool) -> None:
        hosts = tuple(host(n, slots=case.slots) for n in range(case.hosts))
        limits = _NoUnits() if case.is_at_limit else None
        self.now = 0
        self.ended = 0
        self.dispatcher: RequestDispatcher = request_dispatcher(
            hosts=hosts, cfg=case.cfg, limits=limits
        )
        self.outcomes: list[Outcome] = []
        self.started: list[StartAttempt] = []
        for number in range(case.requests_ahead):
            ahead = request(100 + number, work_class=WorkClass.URGENT)
            self.dispatcher.handle(Submit(ahead), Millis(0))
        self.request = replace(
            request(1, repeatable=repeatable, needs=case.needs),
            deadline_ms=Millis(case.deadline_ms),
        )
        self.apply_effects(self.dispatcher.handle(Submit(self.request), Millis(0)))

    def apply_effects(self, effects: list[DispatcherEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Finish) and effect.request is self.request:
                self.outcomes.append(effect.outcome)
            if isinstance(effect, StartAttempt) and effect.request is self.request:
                self.started.append(effect)

    def end_attempt(self, attempt: StartAttempt, result: AttemptResult) -> None:
        self.now += 1
        self.ended = self.started.index(attempt) + 1
        ended = AttemptEnded(attempt.attempt_id, result)
        self.apply_effects(self.dispatcher.handle(ended, Millis(self.now)))

    def tick_until(self, until_ms: int) -> None:
        while (wake := self.dispatcher.next_wake_ms()) is not None and wake <= until_ms:
            self.now = max(self.now, wake)
            self.apply_effects(self.dispatcher.handle(Tick(), Millis(self.now)))
        self.now = max(self.now, until_ms)

    def apply_step(self, step: Step) -> None:
        match step:
            case CancelNow():
                cancel = Cancel(self.request.team, self.request.request_id)
                self.apply_effects(self.dispatcher.handle(cancel, Millis(self.now)))
            case PassDeadline():
                self.tick_until(self.request.deadline_ms)
            case LateResult(result=result):
                self.end_attempt(self.started[0], result)
            case LeaseExpiry():
                self.tick_until(100_000)
            case RepeatResult(result=result):
                self._repeat_result(result)
            case _:
                self.end_attempt(self.started[-1], step)

    def _repeat_result(self, result: AttemptResult) -> None:
        while not self.outcomes:
            while self.ended < len(self.started) and not self.outcomes:
                self.end_attempt(self.started[self.ended], result)
            wake = self.dispatcher.next_wake_ms()
            assert wake is not None
            self.tick_until(max(wake, self.now))


def _outcome_name(outcome: Outcome) -> str:
    match outcome:
        case Answered():
            return "answered"
        case NotRun(reason=reason):
            return f"not_run({reason})"
        case Unknown(reason=unknown):
            return f"unknown({unknown})"


def _observed_result(case_run: _CaseRun) -> str:
    if case_run.outcomes:
        return _outcome_name(case_run.outcomes[0])
    if len(case_run.started) > 1:
        is_same_host = case_run.started[-1].host == case_run.started[0].host
        return "requeued" if case_run.started[-1].resumes or is_same_host else "moved"
    case_run.tick_until(case_run.now + PAUSE_MS)
    return "retried" if len(case_run.started) > 1 else "nothing"


def test_every_row_has_a_case() -> None:
    assert list(ROWS) == list(CASES)


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("row", CASES)
def test_row_of_the_outcome_table(row: str, repeatable: bool) -> None:
    _, unrepeatable_cell, repeatable_cell, slot_cell = ROWS[row]
    expected = repeatable_cell if repeatable else unrepeatable_cell
    case_run = _CaseRun(CASES[row], repeatable=repeatable)
    for step in CASES[row].steps:
        if not (case_run.outcomes and isinstance(step, AttemptResult)):
            case_run.apply_step(step)
    slots = case_run.dispatcher.running(case_run.request.pool)
    assert _observed_result(case_run) == expected
    assert len(case_run.outcomes) <= 1
    if slot_cell != "none":
        running = 1 if expected in {"moved", "requeued"} else 0
        assert (slots > running) == (slot_cell == "held")
    if expected in {"moved", "retried"}:
        assert case_run.started[1].host != case_run.started[0].host
    if not repeatable and slot_cell == "held":
        assert len(case_run.started) == 1
