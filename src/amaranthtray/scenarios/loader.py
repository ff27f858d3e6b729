"""Loads a scenario file; each error names its line and a fix."""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from returns.result import Failure, Result, Success

from ..domain.errors import Problem, ProblemError
from ..settings import TomlDocument, read_text
from .model import ACTIONS, EXPECTATIONS, Action, Document, Expectation

if TYPE_CHECKING:
    from ..settings.toml_document import KeyPath

STEP = "read-scenario"

ModelT = TypeVar("ModelT")


@dataclass(frozen=True, slots=True)
class Located(Generic[ModelT]):
    """A step or an outcome with its place in the file.

    Attributes:
        kind: Value of ``do`` or ``that``.
        where: File, line and key of the table.
        at_ms: Time of a step; 0 for an outcome.
    """

    kind: str
    where: str
    value: ModelT
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A validated scenario."""

    name: str
    document: Document
    steps: tuple[Located[Action], ...]
    outcomes: tuple[Located[Expectation], ...]


def load(path: str) -> Result[Scenario, Problem]:
    """Loads a scenario from a file."""
    return read_text(path, step=STEP).bind(lambda text: loads(text, path))


def loads(text: str, name: str = "scenario") -> Result[Scenario, Problem]:
    """Loads a scenario from text; ``name`` is the file name in problems."""
    document = TomlDocument(text, name, STEP)
    return (
        document.parse()
        .bind(lambda data: document.convert(data, Document))
        .bind(lambda found: _to_scenario(found, document))
    )


class _SubtablePlaces(Mapping["KeyPath", str]):
    """Places of a table's keys, for a document that is only this table."""

    def __init__(self, document: TomlDocument, prefix: KeyPath) -> None:
        self._document = document
        self._prefix = prefix

    def __contains__(self, path: object) -> bool:
        return isinstance(path, tuple)

    def __getitem__(self, path: KeyPath) -> str:
        return self._document.where((*self._prefix, *path))

    def __iter__(self) -> Iterator[KeyPath]:
        return iter(())

    def __len__(self) -> int:
        return 0


def _to_scenario(found: Document, document: TomlDocument) -> Result[Scenario, Problem]:
    try:
        steps = tuple(
            _read_table(document, ("step", index), table, "do", ACTIONS)
            for index, table in enumerate(found.step)
        )
        outcomes = tuple(
            _read_table(document, ("outcome", index), table, "that", EXPECTATIONS)
            for index, table in enumerate(found.outcome)
        )
        if not outcomes:
            fix = "state at least one [[outcome]]"
            raise _file_error(document, (), "no outcome is stated", fix)
        _check_order(steps, document, found.site.until_ms)
    except ProblemError as exc:
        return Failure(exc.problem)
    return Success(Scenario(document.name, found, steps, outcomes))


def _read_table(
    document: TomlDocument,
    path: KeyPath,
    table: Mapping[str, Any],
    tag: str,
    models: Mapping[str, type[ModelT]],
) -> Located[ModelT]:
    """Converts a table to the model that its tag names.

    Raises:
        ProblemError: The tag is unknown, or the table does not fit the model.
    """
    fields = dict(table)
    kind = fields.pop(tag, None)
    at_ms = fields.pop("at_ms", None) if tag == "do" else 0
    model = models.get(kind) if isinstance(kind, str) else None
    if model is None:
        near = difflib.get_close_matches(str(kind), models, n=1)
        known = ", ".join(sorted(models))
        fix = f"did you mean {near[0]!r}?" if near else f"known names: {known}"
        raise _file_error(document, (*path, tag), f"unknown {tag} {kind!r}", fix)
    if not isinstance(at_ms, int) or isinstance(at_ms, bool) or at_ms < 0:
        fix = "give milliseconds from the start"
        raise _file_error(document, (*path, "at_ms"), f"at_ms is {at_ms!r}", fix)
    part = TomlDocument("", document.name, STEP, _SubtablePlaces(document, path))
    read = part.convert(fields, model)
    if isinstance(read, Failure):
        raise ProblemError(read.failure())
    return Located(str(kind), document.where(path), read.unwrap(), at_ms)


def _check_order(
    steps: tuple[Located[Action], ...], document: TomlDocument, until_ms: int
) -> None:
    last_ms = 0
    for index, step in enumerate(steps):
        if step.at_ms >= until_ms:
            path = ("step", index, "at_ms")
            what = f"{step.at_ms} ms is after the end at {until_ms} ms"
            raise _file_error(document, path, what, "raise until_ms of [site]")
        if step.at_ms < last_ms:
            path = ("step", index, "at_ms")
            what = f"{step.at_ms} ms comes after {last_ms} ms"
            raise _file_error(document, path, what, "list the steps in order of time")
        last_ms = step.at_ms


def _file_error(
    document: TomlDocument, path: KeyPath, what: str, fix: str
) -> ProblemError:
    return ProblemError(Problem(STEP, document.name, what, document.where(path), fix))
