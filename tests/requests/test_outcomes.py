"""Plays each row of docs/design/outcomes.md against the desk."""

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
"""Longer than any backoff, shorter than a deadline."""

LONG_LINE = DispatcherSettings(urgent_max_wait_ms=1_000, first_urgent_service_ms=500)
NO_RETRY = DispatcherSettings(max_retries=0)


class _NoUnits(Unlimited):
    """Limits of a team that holds no unit."""

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        return False


@dataclass(frozen=True)
class CancelNow:
    """The caller cancels."""


@dataclass(frozen=True)
class PassDeadline:
    """Time passes to the deadline."""


@dataclass(frozen=True)
class LateResult:
    """The first attempt's result comes late."""

    result: AttemptResult


@dataclass(frozen=True)
class Lapse:
    """Time passes until nothing is held any more."""


@dataclass(frozen=True)
class Repeat:
    """Every attempt ends with this result until the request has an outcome."""

    result: AttemptResult


Step: TypeAlias = AttemptResult | CancelNow | PassDeadline | LateResult | Lapse | Repeat


@dataclass(frozen=True)
class Case:
    """What happens to one request.

    Attributes:
        steps: After the submission, in order.
        queue: Requests that hold or wait for the only slot before it.
    """

    steps: tuple[Step, ...] = ()
    cfg: DispatcherSettings = LONG_LINE
    hosts: int = 4
    slots: int = 1
    queue: int = 0
    needs: Needs = field(default_factory=Needs)
    deadline_ms: int = DEADLINE_MS
    limited: bool = False


BROKE = BrokeAfterSend()
CASES = {
    "late-submit": Case(deadline_ms=0),
    "no-host": Case(hosts=0),
    "misfit": Case(needs=Needs(cores=10_000)),
    "full-line": Case(hosts=1, queue=4),
    "long-line": Case(hosts=1, queue=1, deadline_ms=900),
    "cancel-waiting": Case((CancelNow(),), hosts=1, queue=1),
    "deadline-waiting": Case((PassDeadline(),), hosts=1, queue=1),
    "deadline-limit": Case((PassDeadline(),), limited=True),
    "paused": Case((NothingSent(is_host_fault=False),)),
    "connect": Case((NothingSent(),)),
    "connect-all": Case((Repeat(NothingSent()),)),
    "full-host": Case((RefusedByHost(),)),
    "leaving-host": Case((RefusedByHost(is_leaving=True),)),
    "refused-deadline": Case((Repeat(RefusedByHost()),)),
    "refused-cancel": Case((RefusedByHost(),) * 4 + (CancelNow(),)),
    "broke-sending": Case((BROKE,)),
    "broke-sending-spent": Case((BROKE,), cfg=NO_RETRY),
    "broke-waiting": Case((BROKE,)),
    "cut": Case((AnswerCut(),)),
    "cut-spent": Case((AnswerCut(),), cfg=NO_RETRY),
    "timeout": Case((TimedOut(),)),
    "timeout-spent": Case((TimedOut(),), cfg=NO_RETRY),
    "error": Case((WholeAnswer(is_error=True),)),
    "error-spent": Case((WholeAnswer(is_error=True),), cfg=NO_RETRY),
    "error-everywhere": Case((Repeat(WholeAnswer(is_error=True)),)),
    "answer": Case((WholeAnswer(),)),
    "broke-then-refused": Case((BROKE, Repeat(RefusedByHost()))),
    "broke-then-unsent": Case((BROKE, Repeat(NothingSent())), slots=2),
    "broke-then-cancel": Case((BROKE, CancelNow())),
    "cancel-running": Case((CancelNow(),)),
    "deadline-running": Case((PassDeadline(),)),
    "checkpointed": Case((Checkpointed(),)),
    "checkpointed-deadline": Case((Checkpointed(), Repeat(RefusedByHost()))),
    "late-answer": Case((CancelNow(), LateResult(WholeAnswer()))),
    "late-unsent": Case((CancelNow(), LateResult(NothingSent()))),
    "late-break": Case((CancelNow(), LateResult(BROKE))),
    "lapsed": Case((CancelNow(), Lapse())),
}


def _rows() -> dict[str, list[str]]:
    lines = [line for line in TABLE.read_text().splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return {row[0]: row[1:] for row in cells if row[0] != "Row"}


ROWS = _rows()


class _Play:
    """One request on a desk, its attempts and what was decided last."""

    def __init__(self, case: Case, *, repeatable: bool) -> None:
        hosts = tuple(host(n, slots=case.slots) for n in range(case.hosts))
        limits = _NoUnits() if case.limited else None
        self.now = 0
        self.ended = 0
        self.request_dispatcher: RequestDispatcher = request_dispatcher(
            hosts=hosts, cfg=case.cfg, limits=limits
        )
        self.outcomes: list[Outcome] = []
        self.started: list[StartAttempt] = []
        for number in range(case.queue):
            ahead = request(100 + number, work_class=WorkClass.URGENT)
            self.request_dispatcher.handle(Submit(ahead), Millis(0))
        self.request = replace(
            request(1, repeatable=repeatable, needs=case.needs),
            deadline_ms=Millis(case.deadline_ms),
        )
        self.take(self.request_dispatcher.handle(Submit(self.request), Millis(0)))

    def take(self, effects: list[DispatcherEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Finish) and effect.request is self.request:
                self.outcomes.append(effect.outcome)
            if isinstance(effect, StartAttempt) and effect.request is self.request:
                self.started.append(effect)

    def end(self, attempt: StartAttempt, result: AttemptResult) -> None:
        self.now += 1
        self.ended = self.started.index(attempt) + 1
        ended = AttemptEnded(attempt.attempt_id, result)
        self.take(self.request_dispatcher.handle(ended, Millis(self.now)))

    def tick_until(self, until_ms: int) -> None:
        while (
            wake := self.request_dispatcher.next_wake_ms()
        ) is not None and wake <= until_ms:
            self.now = max(self.now, wake)
            self.take(self.request_dispatcher.handle(Tick(), Millis(self.now)))
        self.now = max(self.now, until_ms)

    def step(self, step: Step) -> None:
        match step:
            case CancelNow():
                cancel = Cancel(self.request.team, self.request.request_id)
                self.take(self.request_dispatcher.handle(cancel, Millis(self.now)))
            case PassDeadline():
                self.tick_until(self.request.deadline_ms)
            case LateResult(result=result):
                self.end(self.started[0], result)
            case Lapse():
                self.tick_until(100_000)
            case Repeat(result=result):
                self._repeat(result)
            case _:
                self.end(self.started[-1], step)

    def _repeat(self, result: AttemptResult) -> None:
        while not self.outcomes:
            while self.ended < len(self.started) and not self.outcomes:
                self.end(self.started[self.ended], result)
            wake = self.request_dispatcher.next_wake_ms()
            assert wake is not None
            self.tick_until(max(wake, self.now))


def _name(outcome: Outcome) -> str:
    match outcome:
        case Answered():
            return "answered"
        case NotRun(reason=reason):
            return f"not_run({reason})"
        case Unknown(reason=unknown):
            return f"unknown({unknown})"


def _verdict(play: _Play) -> str:
    if play.outcomes:
        return _name(play.outcomes[0])
    if len(play.started) > 1:
        is_same_host = play.started[-1].host == play.started[0].host
        return "requeued" if play.started[-1].resumes or is_same_host else "moved"
    play.tick_until(play.now + PAUSE_MS)
    return "retried" if len(play.started) > 1 else "nothing"


def test_every_row_is_played() -> None:
    assert list(ROWS) == list(CASES)


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("row", CASES)
def test_row_of_the_outcome_table(row: str, repeatable: bool) -> None:
    _, unrepeatable_cell, repeatable_cell, slot_cell = ROWS[row]
    expected = repeatable_cell if repeatable else unrepeatable_cell
    play = _Play(CASES[row], repeatable=repeatable)
    for step in CASES[row].steps:
        if not (play.outcomes and isinstance(step, AttemptResult)):
            play.step(step)
    slots = play.request_dispatcher.running(play.request.pool)
    assert _verdict(play) == expected
    assert len(play.outcomes) <= 1
    if slot_cell != "none":
        running = 1 if expected in {"moved", "requeued"} else 0
        assert (slots > running) == (slot_cell == "held")
    if expected in {"moved", "retried"}:
        assert play.started[1].host != play.started[0].host
    if not repeatable and slot_cell == "held":
        assert len(play.started) == 1
