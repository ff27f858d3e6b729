"""Reads settings: TOML text, then environment overrides, then validation."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from ..domain.errors import Problem
from . import _environment
from .model import Settings
from .toml_document import TomlDocument

if TYPE_CHECKING:
    from collections.abc import Mapping

STEP = "load-settings"
SECRET_VARIABLE = "AMARANTHTRAY_PEER_SECRET"
MIN_SECRET_BYTES = 16


def load(path: str | Path, env: Mapping[str, str]) -> Result[Settings, Problem]:
    """Reads the settings file at ``path`` with the overrides in ``env``."""
    return read_text(path, step=STEP).bind(
        lambda text: loads(text, env, name=str(path))
    )


def loads(
    text: str, env: Mapping[str, str], *, name: str = "settings"
) -> Result[Settings, Problem]:
    """Reads settings from TOML text; ``name`` is the file name in problems."""
    overrides = _environment.overrides(env)
    origins: dict[tuple[str | int, ...], str] = {
        path: _environment.variable_name(path) for path in overrides
    }
    document = TomlDocument(text, name, STEP, origins)
    return (
        document.parse()
        .bind(lambda data: _apply_overrides(data, overrides))
        .bind(lambda data: document.convert(data, Settings))
    )


def read_text(path: str | Path, *, step: str) -> Result[str, Problem]:
    """Reads a UTF-8 text file; ``step`` is the operation named in problems."""
    try:
        return Success(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        fix = "name a readable file in UTF-8"
        return Failure(Problem(step, str(path), str(exc), str(path), fix))


def peer_secret(settings: Settings, env: Mapping[str, str]) -> Result[bytes, Problem]:
    """Returns the secret shared by all entries; the environment takes precedence."""
    value = env.get(SECRET_VARIABLE, "")
    where = SECRET_VARIABLE if value else "[peers] secret_file"
    fix = f"put at least {MIN_SECRET_BYTES} random bytes there"
    try:
        file = settings.peers.secret_file
        secret = value.encode() if value else Path(file).read_bytes().strip()
    except OSError as exc:
        return Failure(Problem("read-secret", file, str(exc), where, fix))
    if len(secret) < MIN_SECRET_BYTES:
        return Failure(Problem("read-secret", where, "secret too short", where, fix))
    return Success(secret)


def _apply_overrides(
    data: dict[str, Any], overrides: Mapping[tuple[str, ...], str]
) -> Result[dict[str, Any], Problem]:
    for path, raw in overrides.items():
        try:
            _environment.set_override(data, path, raw)
        except (msgspec.ValidationError, AttributeError, TypeError) as exc:
            name = _environment.variable_name(path)
            fix = f"set {name} to a value of the setting's type, or unset it"
            return Failure(Problem(STEP, "environment", str(exc), name, fix))
    return Success(data)
