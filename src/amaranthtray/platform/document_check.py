"""Reads the operator's document from a file, with the lines of its objects."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from ..domain.errors import Problem
from .documents import decode_configuration

if TYPE_CHECKING:
    from ..domain.jobs.catalog import Catalog

SECTIONS = {"queue": "routes", "pool": "services", "team": "tenants"}
KEYS = {
    "path_prefix": "prefix",
    "host_header": "host",
    "pool": "service",
    "slowdown_factor": "slowdownFactor",
    "target_ms": "targetLatencyMs",
    "timeout_ms": "timeoutMs",
    "max_attempts": "maxAttempts",
    "is_open": "public",
    "needs_advice": "advice",
    "is_standby": "standby",
    "enforces_capacity": "enforceCapacity",
}
"""Names in the document of the fields whose names differ in the product."""

_ITEM = re.compile(r"`\$\.(\w+)\[(\d+)\]")
_BYTE = re.compile(r"\(byte (\d+)\)")
_STRING_OR_BRACE = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]')


class OperatorDocument:
    """The operator's document and the places of its objects in the file.

    Args:
        catalog: The decoded document.
        text: The text of the file.
    """

    def __init__(self, catalog: Catalog, text: str) -> None:
        self.catalog = catalog
        self._text = text

    def locate(self, kind: str, name: str, key: str) -> str:
        """Returns the line and key of a field; empty if the object is not there."""
        section = SECTIONS.get(kind, kind)
        key = KEYS.get(key, key)
        quoted = re.escape(name)
        for start, end in _items(self._text, section):
            item = self._text[start:end]
            if not re.search(rf'"name"\s*:\s*"{quoted}"', item):
                continue
            field = re.search(rf'"{key or "name"}"\s*:', item)
            offset = start + (field.start() if field else 0)
            return f"{_line(self._text, offset)} {section}.{name}.{key}".rstrip(".")
        return ""


def read_document(text: str, file: str) -> Result[OperatorDocument, Problem]:
    """Decodes the document as entries do; ``file`` is the name in problems."""
    try:
        catalog = decode_configuration(text.encode(), 0)
    except msgspec.MsgspecError as exc:
        where = f"{file}:{_error_line(text, str(exc))}"
        fix = "correct the value that is named"
        return Failure(Problem("check", file, str(exc), where, fix))
    return Success(OperatorDocument(catalog, text))


def _error_line(text: str, error: str) -> int:
    """Returns the line of a decoding error; that of the item if there is a path."""
    if byte := _BYTE.search(error):
        return text.encode()[: int(byte[1])].count(b"\n") + 1
    if path := _ITEM.search(error):
        items = _items(text, path[1])
        return _line(text, items[int(path[2])][0]) if items else 1
    return 1


def _line(text: str, offset: int) -> int:
    return text.count("\n", 0, offset) + 1


def _items(text: str, section: str) -> list[tuple[int, int]]:
    """Returns where each object in the array of a section begins and ends."""
    found = re.search(rf'"{section}"\s*:\s*\[', text)
    depth, begin, items = 0, 0, []
    for token in _STRING_OR_BRACE.finditer(text, found.end() if found else len(text)):
        if token[0] in "[{":
            depth += 1
            begin = token.start() if depth == 1 else begin
        elif token[0] in "]}":
            depth -= 1
            if depth < 0:
                break
            if depth == 0:
                items.append((begin, token.end()))
    return items
