"""The burn report as builtin types for JSON."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from .burn import BurnReport

INFINITE = "infinite"
"""JSON has no infinity, and null already means that there is no data."""


def to_json_data(report: BurnReport) -> Any:
    """Returns the report as dictionaries, lists, numbers and strings."""
    return _replace_infinities(msgspec.to_builtins(report))


def _replace_infinities(value: Any) -> Any:
    match value:
        case dict():
            return {key: _replace_infinities(item) for key, item in value.items()}
        case list() | tuple():
            return [_replace_infinities(item) for item in value]
        case float() if math.isinf(value):
            return INFINITE if value > 0 else f"-{INFINITE}"
        case _:
            return value
