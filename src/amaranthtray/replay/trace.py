"""Format of recorded traces: JSON Lines of a header, steps and stated outcomes."""

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

SCHEMA_VERSION = 1
"""Incremented with each change that an older version cannot replay."""

STEP = "read-trace"
LINE_TAG_FIELD = "line"

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
    tag_field=LINE_TAG_FIELD,
    forbid_unknown_fields=True,
):
    """First line of a trace: all that a new ``Serving`` needs to decide identically.

    Attributes:
        seed: Seed of the random source of the entry's ``Serving``.
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
    tag_field=LINE_TAG_FIELD,
    forbid_unknown_fields=True,
):
    """A message that was handled and the effects that it had."""

    at_ms: int
    message: dict[str, Any]
    effects: list[dict[str, Any]]


class StatedOutcomes(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="outcomes",
    tag_field=LINE_TAG_FIELD,
    forbid_unknown_fields=True,
):
    """Last line of a complete trace: the outcomes that a replay must reproduce.

    Attributes:
        answered: Requests with a complete answer.
        not_run: Requests refused as not run.
        unknown: Requests of which it is unknown whether they ran.
        promises: Checkers of the promises that hold as far as the trace shows.
    """

    answered: int
    not_run: int
    unknown: int
    promises: list[str]


TraceLine: TypeAlias = Header | Step | StatedOutcomes


class _AttemptEndedFields(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of ``AttemptEnded`` without its result, which is a tagged union."""

    attempt_id: str
    free_slots: int | None = None


_LINES: msgspec.json.Decoder[TraceLine] = msgspec.json.Decoder(TraceLine)


def to_line(line: TraceLine) -> str:
    """Encodes a line as JSON with a trailing newline."""
    return msgspec.json.encode(line).decode() + "\n"


def from_line(text: str | bytes, *, where: str) -> Result[TraceLine, Problem]:
    """Decodes a line from JSON; ``where`` is the place named in problems."""
    fix = f"record the trace again with schema {SCHEMA_VERSION}"
    try:
        line = _LINES.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(Problem(STEP, where, str(exc), where, fix))
    if isinstance(line, Header) and line.schema != SCHEMA_VERSION:
        what = f"schema {line.schema} is not {SCHEMA_VERSION}"
        return Failure(Problem(STEP, where, what, where, fix))
    return Success(line)


def message_to_dict(message: ServingMessage) -> dict[str, Any]:
    """Encodes a message as a tagged dictionary."""
    fields = MESSAGES.to_dict(message)
    if isinstance(message, AttemptEnded):
        fields["result"] = RESULTS.to_dict(message.result)
    return fields


def message_from_dict(
    data: dict[str, Any], *, where: str
) -> Result[ServingMessage, Problem]:
    """Decodes a message from a tagged dictionary."""
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
    """Encodes an effect; requests are shortened to ids, usage sums to a checksum."""
    match effect:
        case StartAttempt(request=request):
            fields = EFFECTS.to_dict(effect)
            fields["request"] = _request_name(request)
        case Finish(request=request, outcome=outcome):
            fields = {"type": Finish.__name__, "request": _request_name(request)}
            fields["outcome"] = OUTCOMES.to_dict(outcome)
        case SendUsage(frame=frame):
            checksum = zlib.crc32(msgspec.json.encode(frame, order="sorted"))
            fields = {"type": SendUsage.__name__, "crc32": checksum}
        case _:
            fields = EFFECTS.to_dict(effect)
    return fields


def _request_name(request: Request) -> str:
    return f"{request.team}/{request.request_id}"


def _attempt_ended(data: dict[str, Any], where: str) -> AttemptEnded:
    result = RESULTS.from_dict(data.get("result"), step=STEP, peer=where)
    rest = {key: val for key, val in data.items() if key not in ("type", "result")}
    try:
        ended = msgspec.convert(rest, _AttemptEndedFields)
    except msgspec.ValidationError as exc:
        fix = "send the field with the type named"
        raise ProblemError(Problem(STEP, where, str(exc), "AttemptEnded", fix)) from exc
    return AttemptEnded(AttemptId(ended.attempt_id), result, ended.free_slots)
