"""Finds the line of a TOML key, which ``tomllib`` does not report."""

from __future__ import annotations

import re

_TABLE = re.compile(r"^\s*\[+\s*([^\]#]+?)\s*\]+")
_KEY = re.compile(r"^\s*([A-Za-z0-9_.\"'-]+?)\s*=")


def line_of(text: str, path: tuple[str, ...]) -> int:
    """Returns the 1-based line where ``path`` is set, or its table's, or 1."""
    table: tuple[str, ...] = ()
    best_line = 1
    best_depth = 0
    for number, line in enumerate(text.splitlines(), start=1):
        header = _TABLE.match(line)
        if header:
            table = _split(header[1])
            found = table
        else:
            key = _KEY.match(line)
            if not key:
                continue
            found = table + _split(key[1])
        depth = len(found)
        if depth > best_depth and path[:depth] == found:
            best_line, best_depth = number, depth
    return best_line


def _split(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))
