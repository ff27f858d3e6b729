"""The promises to users, implemented as checkers over observations.

State machine tests, scenarios and replays pass their observations to the same
``Watchdog``.
"""

from __future__ import annotations

from .observations import (
    AnswerGiven,
    BudgetSet,
    ConfigApplied,
    ConfigCommitted,
    EntryStopping,
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
)
from .watchdog import Violation, Watchdog

__all__ = [
    "AnswerGiven",
    "BudgetSet",
    "ConfigApplied",
    "ConfigCommitted",
    "EntryStopping",
    "HostBack",
    "HostLeaving",
    "HostOut",
    "HostPlaced",
    "KeyAccepted",
    "KeyWithdrawn",
    "LimitSet",
    "Observation",
    "OutCause",
    "ReachChanged",
    "RefusedNotRun",
    "RequestAccepted",
    "RequestCut",
    "TaskEnded",
    "TaskStarted",
    "Violation",
    "Watchdog",
]
