"""Replays recorded traces through ``Serving`` and reports the first difference."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
from returns.result import Failure

from ..domain.errors import Problem, ProblemError
from ..domain.ids import EntryId, Incarnation, Millis, ZoneId
from ..domain.serving import Serving, ServingContext
from .trace import (
    STEP,
    Header,
    StatedOutcomes,
    Step,
    effect_to_dict,
    from_line,
    message_from_dict,
)
from .trace_checker import TraceChecker

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..domain.serving import ServingMessage

EXIT_MATCH = 0
EXIT_MISMATCH = 1
EXIT_INVALID = 2


@dataclass(frozen=True, slots=True)
class ReplayMismatch:
    """The first difference between a replay and its trace.

    Attributes:
        where: File and line number.
        cause: What differs.
        message: The message that was handled, or None if stated outcomes differ.
        expected: Recorded value.
        found: Value of the replay.
    """

    where: str
    cause: str
    message: dict[str, Any] | None
    expected: object
    found: object

    def __str__(self) -> str:
        lines = [f"{self.where}: {self.cause}"]
        if self.message is not None:
            lines.append(f"  message:  {_to_json(self.message)}")
        lines.append(f"  expected: {_to_json(self.expected)}")
        lines.append(f"  found:    {_to_json(self.found)}")
        return "\n".join(lines)


@dataclass(frozen=True, slots=True)
class ReplayMatch:
    """A replay that equals its trace.

    Attributes:
        steps: Number of messages replayed.
        outcomes: Outcomes of the replay.
        is_stated: Whether the trace states its outcomes; a truncated trace does not.
    """

    steps: int
    outcomes: StatedOutcomes
    is_stated: bool


def run_files(paths: Sequence[str]) -> int:
    """Replays traces and prints the result of each.

    Returns:
        0 if all match, 1 if one differs, 2 if a file is invalid.
    """
    exit_code = EXIT_MATCH
    for path in paths:
        try:
            found = replay(path)
        except ProblemError as exc:
            click.echo(f"error: {exc.problem}", err=True)
            exit_code = EXIT_INVALID
            continue
        if isinstance(found, ReplayMismatch):
            click.echo(str(found))
            exit_code = max(exit_code, EXIT_MISMATCH)
        else:
            click.echo(_summary(path, found))
    return exit_code


def replay(path: str) -> ReplayMatch | ReplayMismatch:
    """Replays one trace.

    Raises:
        ProblemError: The file is invalid; the problem names the line and a fix.
    """
    lines = _read_lines(path)
    _, header = next(lines, (path, None))
    if not isinstance(header, Header):
        raise _invalid_trace(f"{path}:1", "the first line is not a header")
    replayer = _Replayer(header)
    stated = False
    for where, line in lines:
        if stated or isinstance(line, Header):
            raise _invalid_trace(
                where, "a line follows where the trace should have ended"
            )
        if isinstance(line, StatedOutcomes):
            stated = True
            mismatch = replayer.compare_outcomes(line, where)
        else:
            mismatch = replayer.replay_step(line, where)
        if mismatch is not None:
            return mismatch
    return ReplayMatch(replayer.steps, replayer.checker.outcomes(), stated)


class _Replayer:
    """Feeds the steps of a trace to a new ``Serving``."""

    def __init__(self, header: Header) -> None:
        context = ServingContext(
            EntryId(header.entry),
            Incarnation(header.incarnation),
            ZoneId(header.zone),
            random.Random(header.seed),
        )
        self.serving = Serving(context, header.settings)
        self.checker = TraceChecker()
        self.steps = 0
        self._at_ms: int | None = None

    def replay_step(self, step: Step, where: str) -> ReplayMismatch | None:
        if self._at_ms is not None and step.at_ms < self._at_ms:
            raise _invalid_trace(
                where, f"at_ms goes back from {self._at_ms} to {step.at_ms}"
            )
        self._at_ms = step.at_ms
        decoded = message_from_dict(step.message, where=where)
        if isinstance(decoded, Failure):
            raise ProblemError(decoded.failure())
        message: ServingMessage = decoded.unwrap()
        self.steps += 1
        try:
            effects = self.serving.handle(message, Millis(step.at_ms))
        except Exception as exc:
            cause = f"the replay raised an exception at {step.at_ms} ms"
            found = f"{type(exc).__name__}: {exc}"
            return ReplayMismatch(where, cause, step.message, step.effects, found)
        self.checker.observe(message, effects, step.at_ms)
        found_effects = [_json_round_trip(effect_to_dict(effect)) for effect in effects]
        return _compare_effects(step, found_effects, where)

    def compare_outcomes(
        self, stated: StatedOutcomes, where: str
    ) -> ReplayMismatch | None:
        found = self.checker.outcomes()
        if found == stated:
            return None
        cause = "; ".join(
            ["stated outcomes do not hold", *self.checker.violation_texts()]
        )
        expected = msgspec.to_builtins(stated)
        return ReplayMismatch(where, cause, None, expected, msgspec.to_builtins(found))


def _compare_effects(
    step: Step, found: list[dict[str, Any]], where: str
) -> ReplayMismatch | None:
    """Returns the first effect that differs."""
    for index in range(max(len(step.effects), len(found))):
        expected_one = step.effects[index] if index < len(step.effects) else None
        found_one = found[index] if index < len(found) else None
        if expected_one != found_one:
            what = _describe_difference(expected_one, found_one)
            cause = f"effect {index + 1} at {step.at_ms} ms {what}"
            return ReplayMismatch(where, cause, step.message, expected_one, found_one)
    return None


def _describe_difference(
    expected: dict[str, Any] | None, found: dict[str, Any] | None
) -> str:
    if expected is None:
        return "was not recorded"
    if found is None:
        return "is missing"
    if expected.get("type") != found.get("type"):
        return "is of another type"
    names = sorted(
        name for name in {*expected, *found} if expected.get(name) != found.get(name)
    )
    return f"differs in {', '.join(names)}"


def _read_lines(path: str) -> Iterator[tuple[str, Header | Step | StatedOutcomes]]:
    try:
        with Path(path).open("rb") as file:
            for number, text in enumerate(file, start=1):
                where = f"{path}:{number}"
                decoded = from_line(text, where=where)
                if isinstance(decoded, Failure):
                    raise ProblemError(decoded.failure())
                yield where, decoded.unwrap()
    except OSError as exc:
        raise _invalid_trace(path, str(exc), fix="name a readable trace") from exc


def _invalid_trace(
    where: str, what: str, *, fix: str = "record the trace again"
) -> ProblemError:
    return ProblemError(Problem(STEP, where, what, where, fix))


def _json_round_trip(data: dict[str, Any]) -> dict[str, Any]:
    """Returns ``data`` as it would be read back from a trace."""
    plain: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(data))
    return plain


def _to_json(data: object) -> str:
    return msgspec.json.encode(data).decode()


def _summary(path: str, result: ReplayMatch) -> str:
    out = result.outcomes
    counts = f"answered={out.answered} not_run={out.not_run} unknown={out.unknown}"
    ending = "" if result.is_stated else " (cut: no outcomes are stated)"
    kept = ",".join(out.promises)
    return f"{path}: same over {result.steps} messages, {counts} kept={kept}{ending}"
