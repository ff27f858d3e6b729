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


def problem(found: Problem, *, status: int = UNPROCESSABLE) -> AdminReply:
    """Returns a reply that says what is wrong, where, and how to correct it."""
    return AdminReply(status, {"type": "problem", **asdict(found)})


def conflict(found: ChangeConflict) -> AdminReply:
    """Returns a reply that names the conflicting change, which was committed first."""
    payload = {
        "type": "conflict",
        "object": found.obj,
        "revision": int(found.conflicting_revision),
        "operator": found.operator,
    }
    return AdminReply(CONFLICT, payload)


def store_failure(found: StoreFailure) -> AdminReply:
    """Returns a reply that says why the store did not commit a change."""
    what = f"the platform's store failed: {type(found).__name__}"
    if isinstance(found, EffectUnknown):
        what = "the store's reply was lost and the change could not be settled"
    fix = "repeat the command with the same operation id"
    if isinstance(found, CallsSpent):
        fix = f"repeat it after {found.retry_after_ms} ms"
    failure = Problem(found.step, found.peer, what, "configuration log", fix)
    return problem(failure, status=UNAVAILABLE)
