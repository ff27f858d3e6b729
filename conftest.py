"""Passes over tests that ``KNOWN-RED.txt`` lists; pytest prints those that fail.

Only an entry with a line ``raises`` is passed over, and only for that error: any other
failure of the test still fails the run.
"""

from __future__ import annotations

import importlib
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def known_red(text: str) -> dict[str, dict[str, str]]:
    """Returns the fields of the entries that have ``raises``, by test id."""
    entries = [
        dict(line.split(": ", 1) for line in block.splitlines())
        for block in text.strip().split("\n\n")
    ]
    return {entry["test"]: entry for entry in entries if "raises" in entry}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures with their one error."""
    entries = known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            module, _, name = entry["raises"].rpartition(".")
            error = getattr(importlib.import_module(module), name)
            reason = f"KNOWN-RED.txt: {entry['seen']}"
            item.add_marker(
                pytest.mark.xfail(raises=error, strict=False, reason=reason)
            )
