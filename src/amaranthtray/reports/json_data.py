"""The burn report as builtin types for JSON."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from .burn import BurnReport

INFINITE = "infinite"
"""JSON has no infinity, and null already means that there is no data."""


def to_plain(report: BurnReport) -> Any:
    """Returns the report as maps, lists, numbers and strings."""
    return _plain(msgspec.to_builtins(report))


def _plain(value: Any) -> Any:
    match value:
        case dict():
            return {key: _plain(item) for key, item in value.items()}
        case list() | tuple():
            return [_plain(item) for item in value]
        case float() if math.isinf(value):
            return INFINITE if value > 0 else f"-{INFINITE}"
        case _:
            return value
