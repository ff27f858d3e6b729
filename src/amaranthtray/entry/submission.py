"""Parses and validates the header fields of a submitted request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..domain.errors import Problem
from ..domain.requests.ids import parse_request_id
from ..domain.requests.model import Needs, WorkClass

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..settings.model import RequestSettings

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
WORK_CLASS = "Work-Class"
REPEATABLE = "Repeatable"
SUBMISSION = "Submission"
NEEDS_CORES = "Needs-Cores"
NEEDS_MEMORY_MB = "Needs-Memory-Mb"
NEEDS_ACCELERATORS = "Needs-Accelerators"
PREFER = "Prefer"
RESPOND_ASYNC = "respond-async"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

MAX_NEED = 1_000_000_000
MAX_SUBMISSION = 1_000_000
_STEP = "submit"
_PEER = "caller"
_BOOLEAN_VALUES = {"true": True, "false": False}


@dataclass(frozen=True, slots=True)
class Submission:
    """The validated header fields of a submitted request.

    Attributes:
        request_id: Id that the caller chose; None if the entry is to issue one.
        deadline_ms: Maximum time until the answer, from the acceptance.
        respond_async: Whether to reply before the request has run; the caller reads
            the answer back later.
        number: Number of the submission, which the caller increments to submit
            again after a not-run outcome.
    """

    request_id: str | None
    deadline_ms: int
    work_class: WorkClass
    repeatable: bool
    needs: Needs
    content_type: str
    respond_async: bool
    number: int = 1


def parse_submission(
    headers: Mapping[str, str], cfg: RequestSettings
) -> Result[Submission, Problem]:
    """Parses the header fields of a submission.

    Args:
        headers: HTTP header fields.
        cfg: Default and maximum deadline.

    Returns:
        The submission, or the problem with the first invalid field.
    """
    try:
        return Success(_parse(headers, cfg))
    except _FieldError as exc:
        return Failure(Problem(_STEP, _PEER, exc.what, exc.field, exc.fix))


class _FieldError(Exception):
    """A header field is invalid."""

    def __init__(self, field: str, what: str, fix: str) -> None:
        super().__init__(what)
        self.field = field
        self.what = what
        self.fix = fix


def _parse(headers: Mapping[str, str], cfg: RequestSettings) -> Submission:
    return Submission(
        request_id=_parse_id(headers),
        deadline_ms=_parse_deadline(headers, cfg),
        work_class=_parse_work_class(headers),
        repeatable=_parse_boolean(headers, REPEATABLE),
        needs=_parse_needs(headers),
        content_type=headers.get("Content-Type") or DEFAULT_CONTENT_TYPE,
        respond_async=RESPOND_ASYNC in headers.get(PREFER, "").lower(),
        number=_parse_integer(headers, SUBMISSION, 1, 1, MAX_SUBMISSION),
    )


def _parse_id(headers: Mapping[str, str]) -> str | None:
    text = headers.get(REQUEST_ID)
    if text is None:
        return None
    parsed = parse_request_id(text, peer=_PEER)
    if isinstance(parsed, Failure):
        problem = parsed.failure()
        raise _FieldError(REQUEST_ID, problem.what, problem.fix)
    return text


def _parse_deadline(headers: Mapping[str, str], cfg: RequestSettings) -> int:
    maximum = cfg.max_deadline_ms
    return _parse_integer(headers, DEADLINE_MS, cfg.default_deadline_ms, 1, maximum)


def _parse_work_class(headers: Mapping[str, str]) -> WorkClass:
    text = headers.get(WORK_CLASS, WorkClass.URGENT.value)
    try:
        return WorkClass(text)
    except ValueError:
        fix = "send urgent or patient"
        raise _FieldError(WORK_CLASS, f"unknown class {text!r}", fix) from None


def _parse_needs(headers: Mapping[str, str]) -> Needs:
    default = Needs()
    return Needs(
        cores=_parse_integer(headers, NEEDS_CORES, default.cores, 0, MAX_NEED),
        memory_mb=_parse_integer(
            headers, NEEDS_MEMORY_MB, default.memory_mb, 0, MAX_NEED
        ),
        accelerators=_parse_integer(
            headers, NEEDS_ACCELERATORS, default.accelerators, 0, MAX_NEED
        ),
    )


def _parse_integer(
    headers: Mapping[str, str], field: str, default: int, minimum: int, maximum: int
) -> int:
    text = headers.get(field)
    if text is None:
        return default
    fix = f"send a whole number from {minimum} to {maximum}"
    if not (text.isascii() and text.isdecimal() and len(text) <= len(str(maximum))):
        raise _FieldError(field, f"{text[:40]!r} is no such number", fix)
    number = int(text)
    if not minimum <= number <= maximum:
        raise _FieldError(field, f"{number} is out of range", fix)
    return number


def _parse_boolean(headers: Mapping[str, str], field: str) -> bool:
    text = headers.get(field, "false").lower()
    if text not in _BOOLEAN_VALUES:
        raise _FieldError(field, f"{text[:40]!r} is neither", "send true or false")
    return _BOOLEAN_VALUES[text]
