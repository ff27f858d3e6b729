"""Replies of the administration interface."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from ..domain.errors import Problem
from ..store.contract import CallsSpent, EffectUnknown

if TYPE_CHECKING:
    from ..domain.configuration.log import ChangeConflict
    from ..store.contract import StoreFailure

OK = 200
CONFLICT = 409
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
UNPROCESSABLE = 422
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class AdminReply:
    """Status and JSON payload of a reply."""

    status: int
    payload: dict[str, Any]


def ok(payload: dict[str, Any]) -> AdminReply:
    """Returns a successful reply."""
    return AdminReply(OK, payload)


def problem(details: Problem, *, status: int = UNPROCESSABLE) -> AdminReply:
    """Returns a reply that says what is wrong, where, and how to correct it."""
    return AdminReply(status, {"type": "problem", **asdict(details)})


def conflict(refusal: ChangeConflict) -> AdminReply:
    """Returns a reply that names the conflicting change, which was committed first."""
    payload = {
        "type": "conflict",
        "object": refusal.obj,
        "revision": int(refusal.conflicting_revision),
        "operator": refusal.operator,
    }
    return AdminReply(CONFLICT, payload)


def store_failure(failure: StoreFailure) -> AdminReply:
    """Returns a reply that says why the store did not commit a change."""
    what = f"the platform's store failed: {type(failure).__name__}"
    if isinstance(failure, EffectUnknown):
        what = "the store's reply was lost and the change could not be settled"
    fix = "repeat the command with the same operation id"
    if isinstance(failure, CallsSpent):
        fix = f"repeat it after {failure.retry_after_ms} ms"
    details = Problem(failure.step, failure.peer, what, "configuration log", fix)
    return problem(details, status=UNAVAILABLE)
