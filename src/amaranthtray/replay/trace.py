"""Schema of recorded traces: JSON Lines with a header, steps and stated outcomes."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from ..domain.errors import Problem, ProblemError
from ..domain.ids import AttemptId
from ..domain.requests.messages import (
    AnswerCut,
    AttemptEnded,
    BrokeAfterSend,
    Cancel,
    Checkpointed,
    CheckpointTask,
    Finish,
    NothingSent,
    RefusedByHost,
    RenewLeases,
    SlotsFreed,
    StartAttempt,
    StopTask,
    Submit,
    Tick,
    TimedOut,
    WholeAnswer,
)
from ..domain.requests.model import Answered, NotRun, Unknown
from ..domain.serving import (
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    HostsReported,
    LeaveBegun,
    SendHostNews,
    SendReport,
    SendUsage,
    ServingSettings,
    SourceEnded,
    TermFollowed,
    UsageArrived,
    ZoneShared,
)
from ..domain.tagged import TaggedUnion

if TYPE_CHECKING:
    from ..domain.requests.model import Request
    from ..domain.serving import ServingEffect, ServingMessage

SCHEMA = 1
"""Raised with each change that an older version could not replay."""

STEP = "read-trace"
LINE_FIELD = "line"

MESSAGES = TaggedUnion(
    "serving message",
    AttemptEnded,
    Cancel,
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    HostsReported,
    LeaveBegun,
    SlotsFreed,
    SourceEnded,
    Submit,
    TermFollowed,
    Tick,
    UsageArrived,
    ZoneShared,
)
RESULTS = TaggedUnion(
    "attempt result",
    AnswerCut,
    BrokeAfterSend,
    Checkpointed,
    NothingSent,
    RefusedByHost,
    TimedOut,
    WholeAnswer,
)
OUTCOMES = TaggedUnion("outcome", Answered, NotRun, Unknown)
EFFECTS = TaggedUnion(
    "serving effect",
    CheckpointTask,
    Finish,
    RenewLeases,
    SendHostNews,
    SendReport,
    SendUsage,
    StartAttempt,
    StopTask,
)


class Header(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="header",
    tag_field=LINE_FIELD,
    forbid_unknown_fields=True,
):
    """First line: what a fresh ``Serving`` needs to decide in the same way.

    Attributes:
        seed: Seed of the random source that the entry's ``Serving`` was given.
    """

    schema: int
    entry: str
    incarnation: str
    zone: str
    seed: int
    settings: ServingSettings


class Step(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="step",
    tag_field=LINE_FIELD,
    forbid_unknown_fields=True,
):
    """One message that was taken and what the decisions returned."""

    at_ms: int
    message: dict[str, Any]
    effects: list[dict[str, Any]]


class StatedOutcomes(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="outcomes",
    tag_field=LINE_FIELD,
    forbid_unknown_fields=True,
):
    """Last line of a whole trace: what must have come out of it.

    Attributes:
        answered: Requests that were answered whole.
        not_run: Requests that were refused as not run.
        unknown: Requests of which nobody can say whether they ran.
        promises: Promises, by checker, that hold as far as a trace shows.
    """

    answered: int
    not_run: int
    unknown: int
    promises: list[str]


Line: TypeAlias = Header | Step | StatedOutcomes


class _Ended(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of ``AttemptEnded`` but for its result, which has a tag of its own."""

    attempt_id: str
    free_slots: int | None = None


_LINES: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)


def to_line(line: Line) -> str:
    """Returns a line as JSON text with its newline."""
    return msgspec.json.encode(line).decode() + "\n"


def from_line(text: str | bytes, *, where: str) -> Result[Line, Problem]:
    """Returns the line that JSON text holds; ``where`` is named in problems."""
    fix = f"record the trace again with schema {SCHEMA}"
    try:
        line = _LINES.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(Problem(STEP, where, str(exc), where, fix))
    if isinstance(line, Header) and line.schema != SCHEMA:
        what = f"schema {line.schema} is not {SCHEMA}"
        return Failure(Problem(STEP, where, what, where, fix))
    return Success(line)


def message_to_dict(message: ServingMessage) -> dict[str, Any]:
    """Returns a message as a tagged dictionary."""
    fields = MESSAGES.to_dict(message)
    if isinstance(message, AttemptEnded):
        fields["result"] = RESULTS.to_dict(message.result)
    return fields


def message_from_dict(
    data: dict[str, Any], *, where: str
) -> Result[ServingMessage, Problem]:
    """Returns the message that a tagged dictionary describes."""
    try:
        message: ServingMessage
        if data.get("type") == AttemptEnded.__name__:
            message = _attempt_ended(data, where)
        else:
            message = MESSAGES.from_dict(data, step=STEP, peer=where)
    except ProblemError as exc:
        problem = exc.problem
        place = f"{where} {problem.where}"
        return Failure(Problem(STEP, where, problem.what, place, problem.fix))
    return Success(message)


def effect_to_dict(effect: ServingEffect) -> dict[str, Any]:
    """Returns an effect in short: requests by id, usage sums as a checksum."""
    match effect:
        case StartAttempt(request=request):
            fields = EFFECTS.to_dict(effect)
            fields["request"] = _name(request)
        case Finish(request=request, outcome=outcome):
            fields = {"type": Finish.__name__, "request": _name(request)}
            fields["outcome"] = OUTCOMES.to_dict(outcome)
        case SendUsage(frame=frame):
            checksum = zlib.crc32(msgspec.json.encode(frame, order="sorted"))
            fields = {"type": SendUsage.__name__, "crc32": checksum}
        case _:
            fields = EFFECTS.to_dict(effect)
    return fields


def _name(request: Request) -> str:
    return f"{request.team}/{request.request_id}"


def _attempt_ended(data: dict[str, Any], where: str) -> AttemptEnded:
    result = RESULTS.from_dict(data.get("result"), step=STEP, peer=where)
    rest = {key: val for key, val in data.items() if key not in ("type", "result")}
    try:
        ended = msgspec.convert(rest, _Ended)
    except msgspec.ValidationError as exc:
        fix = "send the field with the type named"
        raise ProblemError(Problem(STEP, where, str(exc), "AttemptEnded", fix)) from exc
    return AttemptEnded(AttemptId(ended.attempt_id), result, ended.free_slots)
