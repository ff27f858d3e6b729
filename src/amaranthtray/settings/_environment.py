"""Environment variables that override single settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, get_origin

import msgspec

from .model import Settings, sections

if TYPE_CHECKING:
    from collections.abc import Mapping

PREFIX = "AMARANTHTRAY_"
SEPARATOR = "__"


def overrides(env: Mapping[str, str]) -> dict[tuple[str, ...], str]:
    """Returns the raw value of each override in ``env``, by lower-case path."""
    found = {}
    for name, value in sorted(env.items()):
        if name.startswith(PREFIX) and SEPARATOR in name:
            path = name.removeprefix(PREFIX).lower().split(SEPARATOR)
            found[tuple(path)] = value
    return found


def variable_name(path: tuple[str, ...]) -> str:
    """Returns the name of the environment variable that overrides ``path``."""
    return PREFIX + SEPARATOR.join(path).upper()


def set_override(data: dict[str, Any], path: tuple[str, ...], raw: str) -> None:
    """Sets ``path`` in ``data`` to an override; lists are split at commas.

    Raises:
        msgspec.ValidationError: The text does not fit the type of the setting.
    """
    table = data
    for name in path[:-1]:
        table = table.setdefault(name, {})
    table[path[-1]] = _convert(path, raw)


def _convert(path: tuple[str, ...], raw: str) -> Any:
    """Returns the typed value, or the text itself if the setting does not exist."""
    model: type[msgspec.Struct] | None = Settings
    for name in path[:-1]:
        model = sections(model).get(name) if model else None
    if model is None:
        return raw
    kinds = {item.name: item.type for item in msgspec.structs.fields(model)}
    kind = kinds.get(path[-1])
    if kind is None:
        return raw
    if get_origin(getattr(kind, "__origin__", kind)) is list:
        return [part.strip() for part in raw.split(",") if part.strip()]
    value = msgspec.convert(raw, kind, strict=False)
    return msgspec.to_builtins(value)
