"""Reads a scenario file; every fault is named with its line and remedy."""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from returns.result import Failure, Result, Success

from ..domain.errors import Problem, ProblemError
from ..settings import TomlDocument, read_text
from .model import ACTIONS, CLAIMS, Action, Claim, Document

if TYPE_CHECKING:
    from ..settings.toml_document import KeyPath

STEP = "read-scenario"

ModelT = TypeVar("ModelT")


@dataclass(frozen=True, slots=True)
class Placed(Generic[ModelT]):
    """A model and where it stands.

    Attributes:
        kind: What ``do`` or ``that`` names.
        where: File, line and key.
        at_ms: When it takes place; the end for outcomes.
    """

    kind: str
    where: str
    value: ModelT
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that can be run."""

    name: str
    document: Document
    steps: tuple[Placed[Action], ...]
    outcomes: tuple[Placed[Claim], ...]


def load(path: str) -> Result[Scenario, Problem]:
    """Reads a scenario file."""
    return read_text(path, step=STEP).bind(lambda text: loads(text, path))


def loads(text: str, name: str = "scenario") -> Result[Scenario, Problem]:
    """Reads a scenario; ``name`` is the file named in problems."""
    document = TomlDocument(text, name, STEP)
    return (
        document.parse()
        .bind(lambda data: document.convert(data, Document))
        .bind(lambda found: _scenario(found, document))
    )


class _Within(Mapping["KeyPath", str]):
    """Places of a table's keys, for a document that holds just this table."""

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


def _scenario(found: Document, document: TomlDocument) -> Result[Scenario, Problem]:
    try:
        steps = tuple(
            _read(document, ("step", index), table, "do", ACTIONS)
            for index, table in enumerate(found.step)
        )
        outcomes = tuple(
            _read(document, ("outcome", index), table, "that", CLAIMS)
            for index, table in enumerate(found.outcome)
        )
        if not outcomes:
            fix = "state at least one [[outcome]]"
            raise _faulty(document, (), "no outcome is stated", fix)
        _check_order(steps, document, found.site.until_ms)
    except ProblemError as exc:
        return Failure(exc.problem)
    return Success(Scenario(document.name, found, steps, outcomes))


def _read(
    document: TomlDocument,
    path: KeyPath,
    table: Mapping[str, Any],
    tag: str,
    models: Mapping[str, type[ModelT]],
) -> Placed[ModelT]:
    """Returns one table as the model that its tag names.

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
        raise _faulty(document, (*path, tag), f"unknown {tag} {kind!r}", fix)
    if not isinstance(at_ms, int) or isinstance(at_ms, bool) or at_ms < 0:
        fix = "give milliseconds from the start"
        raise _faulty(document, (*path, "at_ms"), f"at_ms is {at_ms!r}", fix)
    part = TomlDocument("", document.name, STEP, _Within(document, path))
    read = part.convert(fields, model)
    if isinstance(read, Failure):
        raise ProblemError(read.failure())
    return Placed(str(kind), document.where(path), read.unwrap(), at_ms)


def _check_order(
    steps: tuple[Placed[Action], ...], document: TomlDocument, until_ms: int
) -> None:
    last_ms = 0
    for index, step in enumerate(steps):
        if step.at_ms >= until_ms:
            path = ("step", index, "at_ms")
            what = f"{step.at_ms} ms is after the end at {until_ms} ms"
            raise _faulty(document, path, what, "raise until_ms of [site]")
        if step.at_ms < last_ms:
            path = ("step", index, "at_ms")
            what = f"{step.at_ms} ms comes after {last_ms} ms"
            raise _faulty(document, path, what, "list steps in the order of time")
        last_ms = step.at_ms


def _faulty(document: TomlDocument, path: KeyPath, what: str, fix: str) -> ProblemError:
    return ProblemError(Problem(STEP, document.name, what, document.where(path), fix))
