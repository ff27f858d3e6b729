"""Builds the HTTP replies to callers.

Answers of backend servers are passed on byte for byte; refusals have a JSON body.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

if TYPE_CHECKING:
    from ..backend.client import BackendAnswer
    from ..domain.errors import Problem
    from .request_runner import RequestResult

MS_PER_S = 1_000
JSON_TYPE = "application/json"
REQUEST_ID = "Request-Id"
OUTCOME = "Outcome"

_NOT_RUN_STATUS = {
    NotRunReason.BAD_KEY: 401,
    NotRunReason.QUEUE_FORBIDDEN: 403,
    NotRunReason.QUEUE_UNKNOWN: 404,
    NotRunReason.CANCELLED: 409,
    NotRunReason.CAN_NEVER_RUN: 422,
    NotRunReason.LIMIT_REACHED: 429,
    NotRunReason.QUEUE_FULL: 429,
    NotRunReason.DEADLINE_TOO_CLOSE: 504,
}
_UNKNOWN_STATUS = {
    UnknownReason.DEADLINE_PASSED: 504,
    UnknownReason.CANCELLED: 409,
    UnknownReason.ID_SPENT: 409,
    UnknownReason.STORE_UNAVAILABLE: 503,
    UnknownReason.NOT_LOOKED_UP: 503,
}
_DEFAULT_NOT_RUN_STATUS = 503
_DEFAULT_UNKNOWN_STATUS = 502


class OutcomeName:
    """Values of the ``Outcome`` header and of ``RefusalBody.outcome``."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of every refusal."""

    outcome: str
    reason: str
    detail: str
    request_id: str | None
    retry_after_ms: int | None


class AcceptedBody(msgspec.Struct, frozen=True):
    """Body of a reply that is not final."""

    request_id: str
    state: str


class IdsBody(msgspec.Struct, frozen=True):
    """Body of a reply with issued ids."""

    ids: tuple[str, ...]


class ProblemBody(msgspec.Struct, frozen=True):
    """Body of a reply to malformed input; such input is never run."""

    what: str
    where: str
    fix: str
    outcome: str = OutcomeName.NOT_RUN
    reason: str = "malformed"


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply, independent of the HTTP server."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


def answered(request_id: str, answer: BackendAnswer) -> Reply:
    """Returns the backend server's answer unchanged."""
    headers = {
        REQUEST_ID: request_id,
        OUTCOME: OutcomeName.ANSWERED,
        "Content-Type": answer.content_type,
    }
    return Reply(answer.status, answer.body, headers)


def final(request_id: str, result: RequestResult) -> Reply:
    """Returns the reply for a final outcome."""
    match result.outcome:
        case Answered() if result.answer is not None:
            return answered(request_id, result.answer)
        case NotRun() as outcome:
            return not_run(outcome, request_id)
        case Unknown() as outcome:
            return unknown(outcome, request_id)
    raise ValueError("an answered outcome comes with its answer")


def not_run(outcome: NotRun, request_id: str | None = None) -> Reply:
    """Returns the refusal of a request that did not run."""
    status = _NOT_RUN_STATUS.get(outcome.reason, _DEFAULT_NOT_RUN_STATUS)
    body = RefusalBody(
        OutcomeName.NOT_RUN,
        outcome.reason.value,
        outcome.detail,
        request_id,
        outcome.retry_after_ms,
    )
    return _refusal_reply(status, body)


def unknown(outcome: Unknown, request_id: str) -> Reply:
    """Returns the reply to a request that may have run."""
    status = _UNKNOWN_STATUS.get(outcome.reason, _DEFAULT_UNKNOWN_STATUS)
    body = RefusalBody(
        OutcomeName.UNKNOWN,
        outcome.reason.value,
        outcome.detail,
        request_id,
        outcome.retry_after_ms,
    )
    return _refusal_reply(status, body)


def accepted(request_id: str, state: str) -> Reply:
    """Returns the reply to a request that has no outcome yet."""
    body = AcceptedBody(request_id, state)
    headers = {
        "Content-Type": JSON_TYPE,
        OUTCOME: OutcomeName.ACCEPTED,
        REQUEST_ID: request_id,
        "Location": f"/v1/requests/{request_id}",
    }
    return Reply(202, msgspec.json.encode(body), headers)


def ids(request_ids: list[str]) -> Reply:
    """Returns the reply to a caller who asked for request ids."""
    body = msgspec.json.encode(IdsBody(tuple(request_ids)))
    return Reply(200, body, {"Content-Type": JSON_TYPE})


def not_found(request_id: str) -> Reply:
    """Returns the reply to a read or cancel of a request that this entry lacks."""
    body = RefusalBody(
        OutcomeName.UNKNOWN, "not_held_here", "ask its entry", request_id, None
    )
    return _refusal_reply(404, body)


def malformed(problem: Problem, *, status: int = 400) -> Reply:
    """Returns the reply to malformed input."""
    body = ProblemBody(problem.what, problem.where, problem.fix)
    headers = {"Content-Type": JSON_TYPE, OUTCOME: OutcomeName.NOT_RUN}
    return Reply(status, msgspec.json.encode(body), headers)


def _refusal_reply(status: int, body: RefusalBody) -> Reply:
    headers = {"Content-Type": JSON_TYPE, OUTCOME: body.outcome}
    if body.request_id is not None:
        headers[REQUEST_ID] = body.request_id
    if body.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-body.retry_after_ms // MS_PER_S))
    return Reply(status, msgspec.json.encode(body), headers)
