"""Strict conversion of TOML text into a model; problems name the line at fault.

Used for all TOML files written by people: settings, fleet files, scenarios.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from msgspec import inspect
from returns.result import Failure, Result, Success

from ..domain.errors import Problem
from ._key_lines import KeyPath as KeyPath
from ._key_lines import find_line

if TYPE_CHECKING:
    from collections.abc import Iterator

ModelT = TypeVar("ModelT")

NEAREST_NAME_CUTOFF = 0.5

_LOCATION = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.DOTALL)
_PATH_PART = re.compile(r"\[(\d+)\]|([A-Za-z_][A-Za-z0-9_-]*)")
_LINE = re.compile(r"at line (\d+)")


@dataclass(frozen=True, slots=True)
class TomlDocument:
    """TOML text with the origin that problems name.

    Attributes:
        text: The whole document.
        name: File named in problems.
        step: Operation named in problems.
        origins: Names of the sources of values set outside the text, by key path.
    """

    text: str
    name: str
    step: str
    origins: Mapping[KeyPath, str] = field(default_factory=dict)

    def parse(self) -> Result[dict[str, Any], Problem]:
        """Parses the document into builtin types."""
        try:
            return Success(tomllib.loads(self.text))
        except tomllib.TOMLDecodeError as exc:
            found = _LINE.search(str(exc))
            where = f"{self.name}:{found[1]}" if found else self.name
            fix = "write valid TOML 1.0"
            return Failure(Problem(self.step, self.name, str(exc), where, fix))

    def convert(
        self, data: Mapping[str, Any], model: type[ModelT]
    ) -> Result[ModelT, Problem]:
        """Converts ``data`` to ``model``; unknown keys are refused at any depth."""
        unknown_key = next(_unknown_keys(data, inspect.type_info(model), ()), None)
        if unknown_key:
            return Failure(self._unknown_problem(*unknown_key))
        try:
            return Success(msgspec.convert(data, model))
        except msgspec.ValidationError as exc:
            return Failure(self._value_problem(exc))

    def where(self, path: KeyPath) -> str:
        """Returns the source of ``path``: file, line and key, or its origin."""
        if path in self.origins:
            return self.origins[path]
        line = find_line(self.text, path)
        dotted = ".".join(str(part) for part in path)
        return f"{self.name}:{line} {dotted}".rstrip()

    def _unknown_problem(self, path: KeyPath, known: list[str]) -> Problem:
        key = str(path[-1])
        nearest = difflib.get_close_matches(key, known, n=1, cutoff=NEAREST_NAME_CUTOFF)
        names = ", ".join(sorted(known))
        fix = f"did you mean {nearest[0]!r}?" if nearest else f"known names: {names}"
        what = f"unknown key {key!r}"
        return Problem(self.step, self.name, what, self.where(path), fix)

    def _value_problem(self, exc: msgspec.ValidationError) -> Problem:
        found = _LOCATION.match(str(exc))
        what = found["what"] if found else str(exc)
        dotted = (found and found["path"]) or ""
        path = tuple(
            int(index) if index else name for index, name in _PATH_PART.findall(dotted)
        )
        fix = "give a value that meets this requirement"
        return Problem(self.step, self.name, what, self.where(path), fix)


def _unknown_keys(
    data: object, kind: inspect.Type, path: KeyPath
) -> Iterator[tuple[KeyPath, list[str]]]:
    """Yields the path of each unknown key, with the known names at that place."""
    match kind:
        case inspect.StructType() | inspect.DataclassType():
            yield from _unknown_struct_keys(data, kind, path)
        case inspect.ListType() | inspect.VarTupleType() if isinstance(data, list):
            for index, value in enumerate(data):
                yield from _unknown_keys(value, kind.item_type, (*path, index))
        case inspect.DictType() if isinstance(data, dict):
            for key, value in data.items():
                yield from _unknown_keys(value, kind.value_type, (*path, key))
        case inspect.UnionType():
            for option in kind.types:
                yield from _unknown_keys(data, option, path)


def _unknown_struct_keys(
    data: object, kind: inspect.StructType | inspect.DataclassType, path: KeyPath
) -> Iterator[tuple[KeyPath, list[str]]]:
    if not isinstance(data, dict):
        return
    fields = {item.encode_name: item.type for item in kind.fields}
    tag = getattr(kind, "tag_field", None)
    for key, value in data.items():
        if key in fields:
            yield from _unknown_keys(value, fields[key], (*path, key))
        elif key != tag:
            yield (*path, key), list(fields)
