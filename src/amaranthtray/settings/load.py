"""Reads settings: TOML text, then environment overrides, then validation."""

from __future__ import annotations

import difflib
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from ..domain.errors import Problem
from . import _environment
from ._locate import line_of
from .model import Settings, sections

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

STEP = "load-settings"
SECRET_VARIABLE = "AMARANTHTRAY_PEER_SECRET"
MIN_SECRET_BYTES = 16

_LOCATION = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.DOTALL)
_LINE = re.compile(r"at line (\d+)")


@dataclass(frozen=True, slots=True)
class _Source:
    """Where settings came from, so that problems can name the place."""

    name: str
    text: str
    overridden: frozenset[tuple[str, ...]]

    def where(self, path: tuple[str, ...]) -> str:
        """Returns the variable or the file, line and key that set ``path``."""
        if path in self.overridden:
            return _environment.variable(path)
        line = line_of(self.text, path)
        return f"{self.name}:{line} {'.'.join(path)}".rstrip()


def load(path: str | Path, env: Mapping[str, str]) -> Result[Settings, Problem]:
    """Reads the settings file at ``path`` with the overrides in ``env``."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fix = "name a readable file in UTF-8"
        return Failure(Problem(STEP, str(path), str(exc), str(path), fix))
    return loads(text, env, name=str(path))


def loads(
    text: str, env: Mapping[str, str], *, name: str = "settings"
) -> Result[Settings, Problem]:
    """Reads settings from TOML text; ``name`` is the file named in problems."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return Failure(_syntax_problem(exc, name))
    for path, raw in _environment.overrides(env).items():
        problem = _override(data, path, raw)
        if problem:
            return Failure(problem)
    source = _Source(name, text, frozenset(_environment.overrides(env)))
    problem = next(_unknown(data, Settings, (), source), None)
    if problem:
        return Failure(problem)
    try:
        return Success(msgspec.convert(data, Settings))
    except msgspec.ValidationError as exc:
        return Failure(_value_problem(exc, source))


def peer_secret(settings: Settings, env: Mapping[str, str]) -> Result[bytes, Problem]:
    """Returns the secret shared by all entries; the environment goes first."""
    given = env.get(SECRET_VARIABLE, "")
    where = SECRET_VARIABLE if given else "[peers] secret_file"
    fix = f"put at least {MIN_SECRET_BYTES} random bytes there"
    try:
        file = settings.peers.secret_file
        secret = given.encode() if given else Path(file).read_bytes().strip()
    except OSError as exc:
        return Failure(Problem("read-secret", file, str(exc), where, fix))
    if len(secret) < MIN_SECRET_BYTES:
        return Failure(Problem("read-secret", where, "secret too short", where, fix))
    return Success(secret)


def _syntax_problem(exc: tomllib.TOMLDecodeError, name: str) -> Problem:
    found = _LINE.search(str(exc))
    where = f"{name}:{found[1]}" if found else name
    return Problem(STEP, name, str(exc), where, "write valid TOML 1.0")


def _override(data: dict[str, Any], path: tuple[str, ...], raw: str) -> Problem | None:
    name = _environment.variable(path)
    fix = f"set {name} to a value of the setting's type, or unset it"
    try:
        _environment.apply(data, path, raw)
    except (msgspec.ValidationError, AttributeError, TypeError) as exc:
        return Problem(STEP, "environment", str(exc), name, fix)
    return None


def _unknown(
    data: object,
    model: type[msgspec.Struct],
    path: tuple[str, ...],
    source: _Source,
) -> Iterator[Problem]:
    """Yields a problem for each key that the model does not know."""
    if not isinstance(data, dict):
        return
    known = [item.name for item in msgspec.structs.fields(model)]
    nested = sections(model)
    for key, value in data.items():
        here = (*path, key)
        if key not in known:
            yield _unknown_problem(here, known, source)
        elif key in nested:
            yield from _unknown(value, nested[key], here, source)


def _unknown_problem(
    path: tuple[str, ...], known: list[str], source: _Source
) -> Problem:
    key = path[-1]
    nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
    names = ", ".join(sorted(known))
    fix = f"did you mean {nearest[0]!r}?" if nearest else f"known names: {names}"
    what = f"unknown key {key!r}"
    return Problem(STEP, source.name, what, source.where(path), fix)


def _value_problem(exc: msgspec.ValidationError, source: _Source) -> Problem:
    found = _LOCATION.match(str(exc))
    what = found["what"] if found else str(exc)
    dotted = (found and found["path"]) or ""
    path = tuple(re.findall(r"[A-Za-z_][A-Za-z0-9_]*", dotted))
    fix = "give a value that fits what is said"
    return Problem(STEP, source.name, what, source.where(path), fix)
