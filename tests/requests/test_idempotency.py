"""Message histories of one idempotency table; none may run work twice."""

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
    ClaimCreated,
    ClaimEnded,
    ClaimFound,
    ClaimOutcomeUnknown,
    ClaimResult,
    ClaimUnavailable,
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
QUEUE_FULL = NotRun(NotRunReason.QUEUE_FULL)
ID_SPENT = Unknown(UnknownReason.ID_SPENT)
HOME_GONE = Unknown(UnknownReason.HOME_GONE)
STORE_UNAVAILABLE = Unknown(
    UnknownReason.STORE_UNAVAILABLE, "the id could not be claimed", CFG.store_retry_ms
)
HOUR_MS = 3_600_000


def home(entry: int, incarnation: int = 1) -> Home:
    return Home(ZoneId("z1"), EntryId(f"e{entry}"), Incarnation(f"i{incarnation}"))


HERE, THERE = home(1), home(2)


def op(number: int) -> OperationId:
    return OperationId(f"e1/i1/{number}")


def submitted(
    caller: int, request_id: RequestId = CHOSEN, *, submission: int = 1
) -> Submitted:
    deadline_ms = Millis(60_000)
    ref = CallerRef(caller)
    return Submitted(RED, request_id, False, "body", ref, deadline_ms, submission)


def forwarded_submission(
    caller: int, request_id: RequestId = CHOSEN, *, incarnation: int = 1
) -> Submitted:
    return replace(
        submitted(caller, request_id), addressed_to=Incarnation(f"i{incarnation}")
    )


def claim_ended(number: int, result: ClaimResult) -> ClaimEnded:
    return ClaimEnded(KEY, op(number), result)


def claim_held(by: Home, op_id: str) -> ClaimFound:
    return ClaimFound(Claim(by, OperationId(op_id)))


def reply(outcome: Outcome, *callers: int, key: RequestKey = KEY) -> Reply:
    return Reply(key, tuple(CallerRef(caller) for caller in callers), outcome)


def create_claim(number: int) -> CreateClaim:
    return CreateClaim(KEY, Claim(HERE, op(number)))


START = StartWork(KEY)
OTHER_ISSUED = IssuedId(THERE, 7).to_request_id()
OLD_ISSUED = IssuedId(home(1, incarnation=0), 7).to_request_id()
NEVER_ISSUED = IssuedId(HERE, 99).to_request_id()
READ = ReadClaim(KEY, op(1))
REFUSED_ONCE = [
    (0, submitted(1), [create_claim(1)]),
    (1, claim_ended(1, ClaimCreated()), [START]),
    (2, WorkEnded(KEY, QUEUE_FULL), [reply(QUEUE_FULL, 1)]),
]

History = list[tuple[int, IdempotencyMessage, list[IdempotencyEffect]]]
HISTORIES: dict[str, History] = {
    "a created claim runs once and its answer is kept for copies": [
        (0, submitted(1), [create_claim(1)]),
        (1, submitted(2), []),
        (2, claim_ended(1, ClaimCreated()), [START]),
        (3, claim_ended(1, ClaimCreated()), []),
        (4, submitted(3), []),
        (5, WorkEnded(KEY, ANSWER), [reply(ANSWER, 1, 2, 3)]),
        (6, WorkEnded(KEY, ANSWER), []),
        (7, submitted(4), [reply(ANSWER, 4)]),
        (8, AnswerEvicted(KEY), []),
        (9, submitted(5), [reply(ID_SPENT, 5)]),
    ],
    "a request whose id another entry claimed is forwarded there": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, claim_held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
        (2, submitted(2), []),
        (3, ForwardEnded(KEY, ANSWER), [reply(ANSWER, 1, 2)]),
    ],
    "a later submission does not share the refusal of an earlier forwarded one": [
        (
            0,
            submitted(1, OTHER_ISSUED),
            [Forward(RequestKey(RED, OTHER_ISSUED), THERE, 1)],
        ),
        (1, submitted(2, OTHER_ISSUED, submission=2), []),
        (
            2,
            ForwardEnded(RequestKey(RED, OTHER_ISSUED), QUEUE_FULL),
            [
                reply(QUEUE_FULL, 1, key=RequestKey(RED, OTHER_ISSUED)),
                Forward(RequestKey(RED, OTHER_ISSUED), THERE, 2),
            ],
        ),
    ],
    "a home that can't be reached gives unknown": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, claim_held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
        (2, ForwardEnded(KEY, HOME_GONE), [reply(HOME_GONE, 1)]),
    ],
    "a claim of an earlier incarnation of this entry is not used": [
        (0, submitted(1), [create_claim(1)]),
        (
            1,
            claim_ended(1, claim_held(home(1, incarnation=0), "e1/i0/1")),
            [reply(HOME_GONE, 1)],
        ),
    ],
    "a claim of this incarnation without a record is not used": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, claim_held(HERE, "e1/i1/0")), [reply(ID_SPENT, 1)]),
    ],
    "a lost reply is resolved by reading the claim": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimOutcomeUnknown()), [READ]),
        (2, claim_ended(1, claim_held(HERE, op(1))), [START]),
    ],
    "the reply is lost and another entry has the claim": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimOutcomeUnknown()), [READ]),
        (2, claim_ended(1, claim_held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
    ],
    "a create that takes effect after its caller got a reply is used by a copy": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimOutcomeUnknown()), [READ]),
        (2, claim_ended(1, ClaimAbsent()), [reply(STORE_UNAVAILABLE, 1)]),
        (3, submitted(2), [create_claim(2)]),
        (4, claim_ended(2, claim_held(HERE, op(1))), [START]),
    ],
    "the id was claimed elsewhere while the store was unavailable here": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimUnavailable()), [reply(STORE_UNAVAILABLE, 1)]),
        (2, submitted(2), [create_claim(2)]),
        (3, claim_ended(2, claim_held(THERE, "e2/i1/1")), [Forward(KEY, THERE, 1)]),
    ],
    "replies are lost repeatedly": [
        (0, submitted(1), [create_claim(1)]),
        *[(1, claim_ended(1, ClaimOutcomeUnknown()), [READ])] * CFG.max_claim_reads,
        (2, claim_ended(1, ClaimOutcomeUnknown()), [reply(STORE_UNAVAILABLE, 1)]),
    ],
    "the store is unavailable": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimUnavailable()), [reply(STORE_UNAVAILABLE, 1)]),
    ],
    "the result of the claim arrives after the claim timeout": [
        (0, submitted(1), [create_claim(1)]),
        (
            CFG.claim_timeout_ms + 1,
            claim_ended(1, ClaimCreated()),
            [reply(STORE_UNAVAILABLE, 1)],
        ),
    ],
    "the result of an older claim is ignored": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimUnavailable()), [reply(STORE_UNAVAILABLE, 1)]),
        (2, submitted(2, submission=2), [create_claim(2)]),
        (3, claim_ended(1, ClaimCreated()), []),
    ],
    "a refusal is final for its submission": [
        *REFUSED_ONCE,
        (3, submitted(2), [reply(QUEUE_FULL, 2)]),
        (4, submitted(3, submission=2), [START]),
        (5, WorkEnded(KEY, ANSWER), [reply(ANSWER, 3)]),
        (6, submitted(4, submission=3), [reply(ANSWER, 4)]),
    ],
    "a submission that joined another is refused with it": [
        (0, submitted(1), [create_claim(1)]),
        (1, submitted(2, submission=3), []),
        (2, claim_ended(1, ClaimCreated()), [START]),
        (3, WorkEnded(KEY, QUEUE_FULL), [reply(QUEUE_FULL, 1, 2)]),
        (4, submitted(3, submission=2), [reply(QUEUE_FULL, 3)]),
    ],
    "a claim about to expire is not used again": [
        *REFUSED_ONCE,
        (5 * HOUR_MS, submitted(2), [reply(QUEUE_FULL, 2)]),
        (5 * HOUR_MS, submitted(3, submission=2), [START]),
        (9 * HOUR_MS, WorkEnded(KEY, QUEUE_FULL), [reply(QUEUE_FULL, 3)]),
        (18 * HOUR_MS, submitted(4, submission=3), [reply(ID_SPENT, 4)]),
    ],
    "a copy reaches a home whose record has expired": [
        *REFUSED_ONCE,
        (11 * HOUR_MS, ExpireRecords(), []),
        (11 * HOUR_MS, forwarded_submission(2), [reply(ID_SPENT, 2)]),
    ],
    "a copy is forwarded to an earlier incarnation": [
        (0, forwarded_submission(1, incarnation=0), [reply(HOME_GONE, 1)]),
    ],
    "a copy is forwarded while the home is still claiming": [
        (0, submitted(1), [create_claim(1)]),
        (1, forwarded_submission(2), []),
        (2, claim_ended(1, ClaimCreated()), [START]),
        (3, WorkEnded(KEY, ANSWER), [reply(ANSWER, 1, 2)]),
    ],
    "an issued id of another entry": [
        (
            0,
            submitted(1, OTHER_ISSUED),
            [Forward(RequestKey(RED, OTHER_ISSUED), THERE, 1)],
        ),
    ],
    "an issued id forwarded to the wrong entry": [
        (
            0,
            forwarded_submission(1, OTHER_ISSUED),
            [reply(HOME_GONE, 1, key=RequestKey(RED, OTHER_ISSUED))],
        ),
    ],
    "an issued id of an earlier incarnation": [
        (
            0,
            submitted(1, OLD_ISSUED),
            [reply(HOME_GONE, 1, key=RequestKey(RED, OLD_ISSUED))],
        ),
    ],
    "the caller cancels before the claim is created": [
        (0, submitted(1), [create_claim(1)]),
        (1, CancelRequested(KEY), []),
        (
            2,
            claim_ended(1, ClaimCreated()),
            [reply(NotRun(NotRunReason.CANCELLED), 1)],
        ),
    ],
    "the caller cancels and another entry has the claim": [
        (0, submitted(1), [create_claim(1)]),
        (1, CancelRequested(KEY), []),
        (
            2,
            claim_ended(1, claim_held(THERE, "e2/i1/1")),
            [Forward(KEY, THERE, 1), ForwardCancel(KEY, THERE)],
        ),
    ],
    "unrepeatable work continues when its caller leaves": [
        (0, submitted(1), [create_claim(1)]),
        (1, claim_ended(1, ClaimCreated()), [START]),
        (2, CallerLeft(KEY, CallerRef(1)), []),
        (3, submitted(2), []),
        (4, WorkEnded(KEY, ANSWER), [reply(ANSWER, 2)]),
    ],
    "repeatable work is joined in flight and not claimed": [
        (0, replace(submitted(1), repeatable=True), [START]),
        (1, replace(submitted(2), repeatable=True), []),
        (2, CallerLeft(KEY, CallerRef(1)), []),
        (3, CallerLeft(KEY, CallerRef(2)), [CancelWork(KEY)]),
        (4, WorkEnded(KEY, Unknown(UnknownReason.CANCELLED)), []),
        (5, replace(submitted(3), repeatable=True), [START]),
    ],
}


@pytest.mark.parametrize("name", HISTORIES)
def test_history(name: str) -> None:
    table = IdempotencyTable(HERE, CFG)
    for now, message, expected in HISTORIES[name]:
        assert table.handle(message, Millis(now)) == expected


def test_issued_id_runs_once_and_is_spent_after_its_ttl() -> None:
    table = IdempotencyTable(HERE, CFG)
    used, unused = table.issue(RED, Millis(0)), table.issue(RED, Millis(0))
    key = RequestKey(RED, used)
    assert table.handle(submitted(1, used), Millis(1)) == [StartWork(key)]
    assert table.handle(submitted(2, used), Millis(2)) == []
    done = table.handle(WorkEnded(key, ANSWER), Millis(3))
    assert done == [reply(ANSWER, 1, 2, key=key)]
    late = Millis(CFG.issued_id_ttl_ms)
    spent = reply(ID_SPENT, 3, key=RequestKey(RED, unused))
    assert table.handle(submitted(3, unused), late) == [spent]
    assert table.handle(submitted(4, used), late) == [reply(ANSWER, 4, key=key)]


@pytest.mark.parametrize(
    "invalid",
    [
        submitted(9, NEVER_ISSUED),
        submitted(9, RequestId("a1~nonsense")),
        submitted(9, RequestId("")),
        replace(submitted(9), fingerprint="other"),
        replace(submitted(9, RequestId("far")), deadline_ms=Millis(13 * HOUR_MS)),
    ],
)
def test_invalid_submission_is_rejected(invalid: Submitted) -> None:
    table = IdempotencyTable(HERE, CFG)
    table.handle(submitted(1), Millis(0))
    (effect,) = table.handle(invalid, Millis(1))
    assert isinstance(effect, Reject)
    assert effect.caller == 9


def test_number_of_kept_records_is_bounded() -> None:
    table = IdempotencyTable(HERE, IdempotencySettings(max_kept_records=10))
    for _ in range(1_000):
        table.issue(RED, Millis(0))
    assert len(table) == 10
