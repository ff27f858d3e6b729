"""What a caller sends, checked at the border."""

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
_BOOLEANS = {"true": True, "false": False}


@dataclass(frozen=True, slots=True)
class Submission:
    """The checked head of a submitted request.

    Attributes:
        request_id: Chosen by the caller; none lets the entry issue one.
        deadline_ms: Time that the answer may take.
        respond_async: Whether to reply at once and let the answer be read back.
        number: Grows when the caller asks again after a not-run outcome.
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
    head: Mapping[str, str], cfg: RequestSettings
) -> Result[Submission, Problem]:
    """Checks each field of a submission's head.

    Args:
        head: HTTP header fields.
        cfg: Deadlines allowed.

    Returns:
        The submission, or the first field that is wrong.
    """
    try:
        return Success(_parse(head, cfg))
    except _FieldError as exc:
        return Failure(Problem(_STEP, _PEER, exc.what, exc.field, exc.fix))


class _FieldError(Exception):
    def __init__(self, field: str, what: str, fix: str) -> None:
        super().__init__(what)
        self.field = field
        self.what = what
        self.fix = fix


def _parse(head: Mapping[str, str], cfg: RequestSettings) -> Submission:
    return Submission(
        request_id=_request_id(head),
        deadline_ms=_deadline(head, cfg),
        work_class=_work_class(head),
        repeatable=_boolean(head, REPEATABLE),
        needs=_needs(head),
        content_type=head.get("Content-Type") or DEFAULT_CONTENT_TYPE,
        respond_async=RESPOND_ASYNC in head.get(PREFER, "").lower(),
        number=_number(head, SUBMISSION, 1, 1, MAX_SUBMISSION),
    )


def _request_id(head: Mapping[str, str]) -> str | None:
    text = head.get(REQUEST_ID)
    if text is None:
        return None
    parsed = parse_request_id(text, peer=_PEER)
    if isinstance(parsed, Failure):
        problem = parsed.failure()
        raise _FieldError(REQUEST_ID, problem.what, problem.fix)
    return text


def _deadline(head: Mapping[str, str], cfg: RequestSettings) -> int:
    highest = cfg.max_deadline_ms
    return _number(head, DEADLINE_MS, cfg.default_deadline_ms, 1, highest)


def _work_class(head: Mapping[str, str]) -> WorkClass:
    text = head.get(WORK_CLASS, WorkClass.URGENT.value)
    try:
        return WorkClass(text)
    except ValueError:
        fix = "send urgent or patient"
        raise _FieldError(WORK_CLASS, f"unknown class {text!r}", fix) from None


def _needs(head: Mapping[str, str]) -> Needs:
    default = Needs()
    return Needs(
        cores=_number(head, NEEDS_CORES, default.cores, 0, MAX_NEED),
        memory_mb=_number(head, NEEDS_MEMORY_MB, default.memory_mb, 0, MAX_NEED),
        accelerators=_number(
            head, NEEDS_ACCELERATORS, default.accelerators, 0, MAX_NEED
        ),
    )


def _number(
    head: Mapping[str, str], field: str, default: int, lowest: int, highest: int
) -> int:
    text = head.get(field)
    if text is None:
        return default
    fix = f"send a whole number from {lowest} to {highest}"
    if not (text.isascii() and text.isdecimal() and len(text) <= len(str(highest))):
        raise _FieldError(field, f"{text[:40]!r} is no such number", fix)
    number = int(text)
    if not lowest <= number <= highest:
        raise _FieldError(field, f"{number} is out of range", fix)
    return number


def _boolean(head: Mapping[str, str], field: str) -> bool:
    text = head.get(field, "false").lower()
    if text not in _BOOLEANS:
        raise _FieldError(field, f"{text[:40]!r} is neither", "send true or false")
    return _BOOLEANS[text]
