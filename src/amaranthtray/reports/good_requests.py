"""Classifies outcomes as good or bad for the service-level objective."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

if TYPE_CHECKING:
    from ..domain.requests.model import Outcome

CAUSED_BY_CALLER = frozenset(
    {
        NotRunReason.BAD_KEY,
        NotRunReason.QUEUE_UNKNOWN,
        NotRunReason.QUEUE_FORBIDDEN,
        NotRunReason.CAN_NEVER_RUN,
        NotRunReason.CANCELLED,
    }
)
"""Refusals that a better service could not have avoided; they are not counted."""


def is_good(outcome: Outcome, *, in_time: bool) -> bool | None:
    """Returns whether the request was served well, or None if it does not count.

    Args:
        outcome: Final outcome of the request.
        in_time: Whether the caller got the outcome before the deadline.
    """
    match outcome:
        case Answered():
            return in_time
        case NotRun(reason):
            return None if reason in CAUSED_BY_CALLER else False
        case Unknown(reason):
            return None if reason is UnknownReason.CANCELLED else False
