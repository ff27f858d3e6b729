"""Finds the lines of TOML keys, which ``tomllib`` does not report."""

from __future__ import annotations

import re
from typing import TypeAlias

KeyPath: TypeAlias = tuple[str | int, ...]
"""Keys from the top level down, with 0-based indexes into arrays of tables."""

_ARRAY_HEADER = re.compile(r"^\s*\[\[\s*(.+?)\s*\]\]")
_TABLE_HEADER = re.compile(r"^\s*\[\s*(.+?)\s*\]")
_KEY = re.compile(r"^\s*([A-Za-z0-9_.\"'-]+?)\s*=")


def find_line(text: str, path: KeyPath) -> int:
    """Returns the 1-based line of ``path``, else of its innermost table, else 1."""
    table: KeyPath = ()
    counts: dict[tuple[str, ...], int] = {}
    found: KeyPath
    best_line = 1
    best_depth = 0
    for number, line in enumerate(text.splitlines(), start=1):
        if array := _ARRAY_HEADER.match(line):
            name = _split_key(array[1])
            counts[name] = counts.get(name, -1) + 1
            found = table = (*name, counts[name])
        elif header := _TABLE_HEADER.match(line):
            found = table = _split_key(header[1])
        elif key := _KEY.match(line):
            found = table + _split_key(key[1])
        else:
            continue
        depth = len(found)
        if found[: len(path)] == path:
            return number
        if depth > best_depth and path[:depth] == found:
            best_line, best_depth = number, depth
    return best_line


def _split_key(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))
