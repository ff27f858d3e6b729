"""Runs recorded traces through the decisions again and names the first difference."""

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
from .judge import Judge
from .trace import (
    STEP,
    Header,
    StatedOutcomes,
    Step,
    effect_to_dict,
    from_line,
    message_from_dict,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..domain.serving import ServingMessage

EXIT_SAME = 0
EXIT_DIFFERENT = 1
EXIT_FAULTY = 2


@dataclass(frozen=True, slots=True)
class Difference:
    """The first place at which a replay differs from its trace.

    Attributes:
        where: File and line.
        cause: What differs.
        message: The message that was taken, or none for stated outcomes.
    """

    where: str
    cause: str
    message: dict[str, Any] | None
    expected: object
    found: object

    def __str__(self) -> str:
        lines = [f"{self.where}: {self.cause}"]
        if self.message is not None:
            lines.append(f"  message:  {_json(self.message)}")
        lines.append(f"  expected: {_json(self.expected)}")
        lines.append(f"  found:    {_json(self.found)}")
        return "\n".join(lines)


@dataclass(frozen=True, slots=True)
class Same:
    """The replay equals its trace.

    Attributes:
        steps: Messages replayed.
        outcomes: What came out of them.
        is_stated: Whether the trace states its outcomes; one that was cut does not.
    """

    steps: int
    outcomes: StatedOutcomes
    is_stated: bool


def run_files(paths: Sequence[str]) -> int:
    """Replays traces and prints a verdict for each.

    Returns:
        0 if all are the same, 1 if one differs, 2 if one is faulty.
    """
    worst = EXIT_SAME
    for path in paths:
        try:
            found = replay(path)
        except ProblemError as exc:
            click.echo(f"error: {exc.problem}", err=True)
            worst = EXIT_FAULTY
            continue
        if isinstance(found, Difference):
            click.echo(str(found))
            worst = max(worst, EXIT_DIFFERENT)
        else:
            click.echo(_summary(path, found))
    return worst


def replay(path: str) -> Same | Difference:
    """Replays one trace.

    Raises:
        ProblemError: The file is faulty; the problem names line and remedy.
    """
    lines = _lines(path)
    _, header = next(lines, (path, None))
    if not isinstance(header, Header):
        raise _faulty(f"{path}:1", "the first line is no header")
    run = _Run(header)
    stated = False
    for where, line in lines:
        if stated or isinstance(line, Header):
            raise _faulty(where, "a line follows where the trace should have ended")
        if isinstance(line, StatedOutcomes):
            stated = True
            difference = run.compare_outcomes(line, where)
        else:
            difference = run.take(line, where)
        if difference is not None:
            return difference
    return Same(run.steps, run.judge.outcomes(), stated)


class _Run:
    """A fresh ``Serving`` and where the trace stands."""

    def __init__(self, header: Header) -> None:
        parts = ServingContext(
            EntryId(header.entry),
            Incarnation(header.incarnation),
            ZoneId(header.zone),
            random.Random(header.seed),
        )
        self.serving = Serving(parts, header.settings)
        self.judge = Judge()
        self.steps = 0
        self._at_ms: int | None = None

    def take(self, step: Step, where: str) -> Difference | None:
        if self._at_ms is not None and step.at_ms < self._at_ms:
            raise _faulty(where, f"at_ms goes back from {self._at_ms} to {step.at_ms}")
        self._at_ms = step.at_ms
        read = message_from_dict(step.message, where=where)
        if isinstance(read, Failure):
            raise ProblemError(read.failure())
        message: ServingMessage = read.unwrap()
        self.steps += 1
        try:
            effects = self.serving.handle(message, Millis(step.at_ms))
        except Exception as exc:
            cause = f"the decisions raised at {step.at_ms} ms"
            found = f"{type(exc).__name__}: {exc}"
            return Difference(where, cause, step.message, step.effects, found)
        self.judge.observe(message, effects, step.at_ms)
        found_effects = [_plain(effect_to_dict(effect)) for effect in effects]
        return _compare(step, found_effects, where)

    def compare_outcomes(self, stated: StatedOutcomes, where: str) -> Difference | None:
        found = self.judge.outcomes()
        if found == stated:
            return None
        cause = "; ".join(["stated outcomes do not hold", *self.judge.broken()])
        expected = msgspec.to_builtins(stated)
        return Difference(where, cause, None, expected, msgspec.to_builtins(found))


def _compare(step: Step, found: list[dict[str, Any]], where: str) -> Difference | None:
    """Returns the first effect that differs."""
    for index in range(max(len(step.effects), len(found))):
        expected_one = step.effects[index] if index < len(step.effects) else None
        found_one = found[index] if index < len(found) else None
        if expected_one != found_one:
            what = _cause(expected_one, found_one)
            cause = f"effect {index + 1} at {step.at_ms} ms {what}"
            return Difference(where, cause, step.message, expected_one, found_one)
    return None


def _cause(expected: dict[str, Any] | None, found: dict[str, Any] | None) -> str:
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


def _lines(path: str) -> Iterator[tuple[str, Header | Step | StatedOutcomes]]:
    try:
        with Path(path).open("rb") as file:
            for number, text in enumerate(file, start=1):
                where = f"{path}:{number}"
                read = from_line(text, where=where)
                if isinstance(read, Failure):
                    raise ProblemError(read.failure())
                yield where, read.unwrap()
    except OSError as exc:
        raise _faulty(path, str(exc), fix="name a readable trace") from exc


def _faulty(
    where: str, what: str, *, fix: str = "record the trace again"
) -> ProblemError:
    return ProblemError(Problem(STEP, where, what, where, fix))


def _plain(data: dict[str, Any]) -> dict[str, Any]:
    """Returns what a reader of the trace would get back."""
    plain: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(data))
    return plain


def _json(data: object) -> str:
    return msgspec.json.encode(data).decode()


def _summary(path: str, same: Same) -> str:
    out = same.outcomes
    counts = f"answered={out.answered} not_run={out.not_run} unknown={out.unknown}"
    ending = "" if same.is_stated else " (cut: no outcomes are stated)"
    kept = ",".join(out.promises)
    return f"{path}: same over {same.steps} messages, {counts} kept={kept}{ending}"
