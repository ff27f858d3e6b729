"""Finds the line of a TOML key, which ``tomllib`` does not report."""

from __future__ import annotations

import re
from typing import TypeAlias

KeyPath: TypeAlias = tuple[str | int, ...]
"""Keys and, for arrays of tables, 0-based positions."""

_ARRAY = re.compile(r"^\s*\[\[\s*(.+?)\s*\]\]")
_TABLE = re.compile(r"^\s*\[\s*(.+?)\s*\]")
_KEY = re.compile(r"^\s*([A-Za-z0-9_.\"'-]+?)\s*=")


def line_of(text: str, path: KeyPath) -> int:
    """Returns the 1-based line where ``path`` is set, or its table's, or 1."""
    table: KeyPath = ()
    counts: dict[tuple[str, ...], int] = {}
    found: KeyPath
    best_line = 1
    best_depth = 0
    for number, line in enumerate(text.splitlines(), start=1):
        if array := _ARRAY.match(line):
            name = _split(array[1])
            counts[name] = counts.get(name, -1) + 1
            found = table = (*name, counts[name])
        elif header := _TABLE.match(line):
            found = table = _split(header[1])
        elif key := _KEY.match(line):
            found = table + _split(key[1])
        else:
            continue
        depth = len(found)
        if found[: len(path)] == path:
            return number
        if depth > best_depth and path[:depth] == found:
            best_line, best_depth = number, depth
    return best_line


def _split(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))
