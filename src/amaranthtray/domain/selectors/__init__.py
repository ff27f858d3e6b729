"""Label selectors: which hosts a pool, queue or wave selects."""

from __future__ import annotations

from .canonical import to_text
from .model import (
    All,
    Any,
    Everything,
    Exists,
    In,
    Not,
    Nothing,
    Selector,
    all_of,
    any_of,
    matches,
    negate,
    one_of,
)
from .parsing import parse, parse_for_pool

__all__ = [
    "All",
    "Any",
    "Everything",
    "Exists",
    "In",
    "Not",
    "Nothing",
    "Selector",
    "all_of",
    "any_of",
    "matches",
    "negate",
    "one_of",
    "parse",
    "parse_for_pool",
    "to_text",
]
