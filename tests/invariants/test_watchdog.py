"""Each checker reports histories that break its promise, and no others."""

from __future__ import annotations

import pytest

from amaranthtray.domain.ids import (
    AttemptId,
    EntryId,
    HostId,
    Incarnation,
    KeyId,
    PoolName,
    QueueName,
    RequestId,
    Revision,
    TeamName,
)
from amaranthtray.domain.invariants import (
    AnswerGiven,
    BudgetSet,
    ConfigApplied,
    ConfigCommitted,
    HostBack,
    HostLeaving,
    HostOut,
    HostPlaced,
    KeyAccepted,
    KeyWithdrawn,
    LimitSet,
    Observation,
    OutCause,
    ReachChanged,
    RefusedNotRun,
    RequestAccepted,
    RequestCut,
    TaskEnded,
    TaskStarted,
    Watchdog,
)

RED = TeamName("red")
ENTRY = EntryId("e1")
HOST = HostId("h1")
KEY = KeyId("k1")
WEB = PoolName("web")


def started(
    at_ms: int, request: str, attempt: str, *, repeatable: bool = True
) -> TaskStarted:
    return TaskStarted(
        at_ms, RequestId(request), RED, AttemptId(attempt), HOST, repeatable
    )


def accepted(key_team: str | None, *, is_open: bool = False) -> RequestAccepted:
    owner = TeamName(key_team) if key_team else None
    return RequestAccepted(0, RequestId("q"), QueueName("b"), is_open, owner, RED)


def out(host: str, cause: OutCause) -> HostOut:
    return HostOut(0, WEB, HostId(host), cause)


def applied(at_ms: int, revision: int, run: str = "i1") -> ConfigApplied:
    return ConfigApplied(at_ms, ENTRY, Incarnation(run), Revision(revision))


BROKEN_HISTORIES: list[tuple[str, list[Observation]]] = [
    ("LimitsHold", [LimitSet(0, RED, 1), started(1, "a", "1"), started(2, "b", "2")]),
    (
        "LimitsHold",
        [
            LimitSet(0, RED, 5),
            LimitSet(10, RED, 1),
            started(20, "a", "1"),
            started(4_000, "b", "2"),
        ],
    ),
    (
        "AtMostOnce",
        [
            started(1, "a", "1", repeatable=False),
            started(2, "a", "2", repeatable=False),
        ],
    ),
    ("AnswersMatch", [AnswerGiven(1, RequestId("a"), RequestId("b"), True)]),
    ("AnswersMatch", [AnswerGiven(1, RequestId("a"), RequestId("a"), False)]),
    ("NotRunIsTrue", [started(1, "a", "1"), RefusedNotRun(2, RequestId("a"))]),
    ("NotRunIsTrue", [RefusedNotRun(1, RequestId("a")), started(2, "a", "1")]),
    ("WorkIsKeyed", [accepted(None)]),
    ("WorkIsKeyed", [accepted("blue")]),
    ("NothingCutByShutdown", [RequestCut(1, ENTRY, RequestId("a"))]),
    (
        "BudgetsHold",
        [
            BudgetSet(0, WEB, 1),
            out("h1", OutCause.FAILED),
            out("h2", OutCause.MAINTENANCE),
        ],
    ),
    ("OnePoolAHost", [HostPlaced(0, HOST, ())]),
    ("OnePoolAHost", [HostPlaced(0, HOST, (WEB, PoolName("spare")))]),
    ("LeavingGetsNothing", [HostLeaving(0, HOST), started(3_001, "a", "1")]),
    ("KeysEnd", [KeyWithdrawn(0, KEY), KeyAccepted(3_001, KEY, ENTRY)]),
    ("InForceInTime", [ConfigCommitted(0, Revision(1)), applied(3_001, 1)]),
    ("InForceInTime", [applied(1, 7)]),
    (
        "NeverReverts",
        [
            ConfigCommitted(0, Revision(1)),
            ConfigCommitted(0, Revision(2)),
            applied(1, 2),
            applied(2, 1),
        ],
    ),
]

KEPT_HISTORIES: list[list[Observation]] = [
    [
        LimitSet(0, RED, 1),
        started(1, "a", "1"),
        TaskEnded(2, AttemptId("1")),
        started(3, "b", "2"),
    ],
    [started(1, "a", "1", repeatable=False), started(1, "a", "1", repeatable=False)],
    [accepted(None, is_open=True)],
    [BudgetSet(0, WEB, 1), out("h1", OutCause.FAILED), out("h2", OutCause.FAILED)],
    [
        BudgetSet(0, WEB, 1),
        out("h1", OutCause.MOVING),
        HostBack(1, HostId("h1")),
        out("h2", OutCause.MOVING),
    ],
    [HostLeaving(0, HOST), started(3_000, "a", "1")],
    [
        KeyWithdrawn(0, KEY),
        ReachChanged(0, ENTRY, False),
        KeyAccepted(9_000, KEY, ENTRY),
    ],
    [ConfigCommitted(0, Revision(1)), applied(1, 1), applied(2, 1, "i2")],
]


@pytest.mark.parametrize(("promise", "history"), BROKEN_HISTORIES)
def test_broken_promise_is_reported(promise: str, history: list[Observation]) -> None:
    watchdog = Watchdog()
    for observation in history[:-1]:
        assert watchdog.observe(observation) == []
    assert [item.promise for item in watchdog.observe(history[-1])] == [promise]


@pytest.mark.parametrize("history", KEPT_HISTORIES)
def test_kept_promise_is_not_reported(history: list[Observation]) -> None:
    watchdog = Watchdog()
    for observation in history:
        watchdog.observe(observation)
    assert watchdog.violations == []
