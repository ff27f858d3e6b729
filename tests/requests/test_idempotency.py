"""Histories of one idempotency table; none may run work twice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from amaranthtray.domain.ids import (
    AttemptId,
    EntryId,
    HostId,
    Incarnation,
    Millis,
    OperationId,
    RequestId,
    TeamName,
    ZoneId,
)
from amaranthtray.domain.requests.idempotency import (
    IdempotencySettings,
    IdempotencyTable,
)
from amaranthtray.domain.requests.idempotency_messages import (
    AnswerEvicted,
    CallerLeft,
    CallerRef,
    CancelRequested,
    CancelWork,
    Claim,
    ClaimAbsent,
    ClaimEnded,
    ClaimHeld,
    ClaimOutcomeUnknown,
    ClaimResult,
    ClaimUnavailable,
    ClaimWon,
    CreateClaim,
    ExpireRecords,
    Forward,
    ForwardCancel,
    ForwardEnded,
    IdempotencyEffect,
    IdempotencyMessage,
    ReadClaim,
    Reject,
    Reply,
    StartWork,
    Submitted,
    WorkEnded,
)
from amaranthtray.domain.requests.ids import Home, IssuedId
from amaranthtray.domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from amaranthtray.domain.requests.tracked_request import RequestKey

RED = TeamName("red")
CHOSEN = RequestId("booking-1")
KEY = RequestKey(RED, CHOSEN)
CFG = IdempotencySettings(outcome_ttl_ms=10 * 3_600_000)
ANSWER = Answered(AttemptId("a-1"), HostId("h1"))
FULL = NotRun(NotRunReason.QUEUE_FULL)
SPENT = Unknown(UnknownReason.ID_SPENT)
GONE = Unknown(UnknownReason.HOME_GONE)
AWAY = Unknown(
    UnknownReason.STORE_UNAVAILABLE, "the id could not be claimed", CFG.store_retry_ms
)
HOUR_MS = 3_600_000


def home(entry: int, run: int = 1) -> Home:
    return Home(ZoneId("z1"), EntryId(f"e{entry}"), Incarnation(f"i{run}"))


HERE, THERE = home(1), home(2)


def op(number: int) -> OperationId:
    return OperationId(f"e1/i1/{number}")


def ask(
    caller: int, request_id: RequestId = CHOSEN, *, submission: int = 1
) -> Submitted:
    deadline_ms = Millis(60_000)
    ref = CallerRef(caller)
    return Submitted(RED, request_id, False, "body", ref, deadline_ms, submission)


def forwarded(
    caller: int, request_id: RequestId = CHOSEN, *, run: int = 1
) -> Submitted:
    return replace(ask(caller, request_id), addressed_to=Incarnation(f"i{run}"))


def ended(number: int, result: ClaimResult) -> ClaimEnded:
    return ClaimEnded(KEY, op(number), result)


def held(by: Home, op_id: str) -> ClaimHeld:
    return ClaimHeld(Claim(by, OperationId(op_id)))


def reply(outcome: Outcome, *callers: int, key: RequestKey = KEY) -> Reply:
    return Reply(key, tuple(CallerRef(caller) for caller in callers), outcome)


def want(number: int) -> CreateClaim:
    return CreateClaim(KEY, Claim(HERE, op(number)))


RUN = StartWork(KEY)
OTHER = IssuedId(THERE, 7).to_request_id()
OLD = IssuedId(home(1, run=0), 7).to_request_id()
NEVER = IssuedId(HERE, 99).to_request_id()
READ = ReadClaim(KEY, op(1))
REFUSED_ONCE = [
    (0, ask(1), [want(1)]),
    (1, ended(1, ClaimWon()), [RUN]),
    (2, WorkEnded(KEY, FULL), [reply(FULL, 1)]),
]

History = list[tuple[int, IdempotencyMessage, list[IdempotencyEffect]]]
HISTORIES: dict[str, History] = {
    "a won claim runs once and its answer is kept for copies": [
        (0, ask(1), [want(1)]),
        (1, ask(2), []),
        (2, ended(1, ClaimWon()), [RUN]),
        (3, ended(1, ClaimWon()), []),
        (4, ask(3), []),
        (5, WorkEnded(KEY, ANSWER), [reply(ANSWER, 1, 2, 3)]),
        (6, WorkEnded(KEY, ANSWER), []),
        (7, ask(4), [reply(ANSWER, 4)]),
        (8, AnswerEvicted(KEY), []),
        (9, ask(5), [reply(SPENT, 5)]),
    ],
    "a lost race is forwarded to the winner": [
        (0, ask(1), [want(1)]),
        (1, ended(1, held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
        (2, ask(2), []),
        (3, ForwardEnded(KEY, ANSWER), [reply(ANSWER, 1, 2)]),
    ],
    "a later submission does not share the refusal of one forwarded before": [
        (0, ask(1, OTHER), [Forward(RequestKey(RED, OTHER), THERE, 1)]),
        (1, ask(2, OTHER, submission=2), []),
        (
            2,
            ForwardEnded(RequestKey(RED, OTHER), FULL),
            [
                reply(FULL, 1, key=RequestKey(RED, OTHER)),
                Forward(RequestKey(RED, OTHER), THERE, 2),
            ],
        ),
    ],
    "a home that can't be reached gives unknown": [
        (0, ask(1), [want(1)]),
        (1, ended(1, held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
        (2, ForwardEnded(KEY, GONE), [reply(GONE, 1)]),
    ],
    "a claim of an earlier run of this entry is not used": [
        (0, ask(1), [want(1)]),
        (1, ended(1, held(home(1, run=0), "e1/i0/1")), [reply(GONE, 1)]),
    ],
    "a claim of this run that it forgot is not used": [
        (0, ask(1), [want(1)]),
        (1, ended(1, held(HERE, "e1/i1/0")), [reply(SPENT, 1)]),
    ],
    "a lost reply is settled by reading back": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimOutcomeUnknown()), [READ]),
        (2, ended(1, held(HERE, op(1))), [RUN]),
    ],
    "a lost reply and a lost race": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimOutcomeUnknown()), [READ]),
        (2, ended(1, held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
    ],
    "a create that arrives after its caller was told is met by the next copy": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimOutcomeUnknown()), [READ]),
        (2, ended(1, ClaimAbsent()), [reply(AWAY, 1)]),
        (3, ask(2), [want(2)]),
        (4, ended(2, held(HERE, op(1))), [RUN]),
    ],
    "the id was claimed elsewhere while the store was away from here": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimUnavailable()), [reply(AWAY, 1)]),
        (2, ask(2), [want(2)]),
        (3, ended(2, held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
    ],
    "replies lost again and again": [
        (0, ask(1), [want(1)]),
        *[(1, ended(1, ClaimOutcomeUnknown()), [READ])] * CFG.max_claim_reads,
        (2, ended(1, ClaimOutcomeUnknown()), [reply(AWAY, 1)]),
    ],
    "the store is away": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimUnavailable()), [reply(AWAY, 1)]),
    ],
    "a pause between the claim and its result": [
        (0, ask(1), [want(1)]),
        (CFG.claim_timeout_ms + 1, ended(1, ClaimWon()), [reply(AWAY, 1)]),
    ],
    "the result of an older claim is ignored": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimUnavailable()), [reply(AWAY, 1)]),
        (2, ask(2, submission=2), [want(2)]),
        (3, ended(1, ClaimWon()), []),
    ],
    "a refusal is final for its submission": [
        *REFUSED_ONCE,
        (3, ask(2), [reply(FULL, 2)]),
        (4, ask(3, submission=2), [RUN]),
        (5, WorkEnded(KEY, ANSWER), [reply(ANSWER, 3)]),
        (6, ask(4, submission=3), [reply(ANSWER, 4)]),
    ],
    "a joined submission is refused with the first": [
        (0, ask(1), [want(1)]),
        (1, ask(2, submission=3), []),
        (2, ended(1, ClaimWon()), [RUN]),
        (3, WorkEnded(KEY, FULL), [reply(FULL, 1, 2)]),
        (4, ask(3, submission=2), [reply(FULL, 3)]),
    ],
    "a claim about to lapse is not used again": [
        *REFUSED_ONCE,
        (5 * HOUR_MS, ask(2), [reply(FULL, 2)]),
        (5 * HOUR_MS, ask(3, submission=2), [RUN]),
        (9 * HOUR_MS, WorkEnded(KEY, FULL), [reply(FULL, 3)]),
        (18 * HOUR_MS, ask(4, submission=3), [reply(SPENT, 4)]),
    ],
    "a copy reaches a home that forgot": [
        *REFUSED_ONCE,
        (11 * HOUR_MS, ExpireRecords(), []),
        (11 * HOUR_MS, forwarded(2), [reply(SPENT, 2)]),
    ],
    "a copy is forwarded to an earlier run": [
        (0, forwarded(1, run=0), [reply(GONE, 1)]),
    ],
    "a copy is forwarded while the home still claims": [
        (0, ask(1), [want(1)]),
        (1, forwarded(2), []),
        (2, ended(1, ClaimWon()), [RUN]),
        (3, WorkEnded(KEY, ANSWER), [reply(ANSWER, 1, 2)]),
    ],
    "an issued id of another entry": [
        (0, ask(1, OTHER), [Forward(RequestKey(RED, OTHER), THERE, 1)]),
    ],
    "an issued id forwarded to the wrong entry": [
        (0, forwarded(1, OTHER), [reply(GONE, 1, key=RequestKey(RED, OTHER))]),
    ],
    "an issued id of an earlier run": [
        (0, ask(1, OLD), [reply(GONE, 1, key=RequestKey(RED, OLD))]),
    ],
    "the caller cancels before the claim is won": [
        (0, ask(1), [want(1)]),
        (1, CancelRequested(KEY), []),
        (
            2,
            ended(1, ClaimWon()),
            [reply(NotRun(NotRunReason.CANCELLED), 1)],
        ),
    ],
    "the caller cancels and the claim is another's": [
        (0, ask(1), [want(1)]),
        (1, CancelRequested(KEY), []),
        (
            2,
            ended(1, held(THERE, "e2/i1/1")),
            [Forward(KEY, THERE, 1), ForwardCancel(KEY, THERE)],
        ),
    ],
    "unrepeatable work goes on when its caller leaves": [
        (0, ask(1), [want(1)]),
        (1, ended(1, ClaimWon()), [RUN]),
        (2, CallerLeft(KEY, CallerRef(1)), []),
        (3, ask(2), []),
        (4, WorkEnded(KEY, ANSWER), [reply(ANSWER, 2)]),
    ],
    "repeatable work is joined in flight and claimed nowhere": [
        (0, replace(ask(1), repeatable=True), [RUN]),
        (1, replace(ask(2), repeatable=True), []),
        (2, CallerLeft(KEY, CallerRef(1)), []),
        (3, CallerLeft(KEY, CallerRef(2)), [CancelWork(KEY)]),
        (4, WorkEnded(KEY, Unknown(UnknownReason.CANCELLED)), []),
        (5, replace(ask(3), repeatable=True), [RUN]),
    ],
}


@pytest.mark.parametrize("name", HISTORIES)
def test_history(name: str) -> None:
    table = IdempotencyTable(HERE, CFG)
    for now, message, expected in HISTORIES[name]:
        assert table.handle(message, Millis(now)) == expected


def test_issued_id_runs_once_and_is_spent_after_its_time() -> None:
    table = IdempotencyTable(HERE, CFG)
    used, unused = table.issue(RED, Millis(0)), table.issue(RED, Millis(0))
    key = RequestKey(RED, used)
    assert table.handle(ask(1, used), Millis(1)) == [StartWork(key)]
    assert table.handle(ask(2, used), Millis(2)) == []
    done = table.handle(WorkEnded(key, ANSWER), Millis(3))
    assert done == [reply(ANSWER, 1, 2, key=key)]
    late = Millis(CFG.issued_id_ttl_ms)
    spent = reply(SPENT, 3, key=RequestKey(RED, unused))
    assert table.handle(ask(3, unused), late) == [spent]
    assert table.handle(ask(4, used), late) == [reply(ANSWER, 4, key=key)]


@pytest.mark.parametrize(
    "refused",
    [
        ask(9, NEVER),
        ask(9, RequestId("a1~nonsense")),
        ask(9, RequestId("")),
        replace(ask(9), fingerprint="other"),
        replace(ask(9, RequestId("far")), deadline_ms=Millis(13 * HOUR_MS)),
    ],
)
def test_what_can_not_be_taken_is_rejected(refused: Submitted) -> None:
    table = IdempotencyTable(HERE, CFG)
    table.handle(ask(1), Millis(0))
    (effect,) = table.handle(refused, Millis(1))
    assert isinstance(effect, Reject)
    assert effect.caller == 9


def test_kept_records_are_bounded() -> None:
    table = IdempotencyTable(HERE, IdempotencySettings(max_kept_records=10))
    for _ in range(1_000):
        table.issue(RED, Millis(0))
    assert len(table) == 10
