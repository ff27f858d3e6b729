"""Names of the platform's API occur only in its adapter, ``amaranthtray.platform``."""

from __future__ import annotations

import re
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src" / "amaranthtray"
ADAPTER = SOURCE / "platform"
MAX_ADAPTER_LINES = 1_500

# Deadline-Ms is not listed: it is also a header of the product's own interface.
WIRE_NAMES = (
    "requestedMemoryMb",
    "estimatedMs",
    "antiAffinity",
    "anti_affinity",
    "longRunning",
    "long_running",
    "mayMiss",
    "targetLatencyMs",
    "slowdownFactor",
    "maxAttempts",
    "enforceCapacity",
    "enforce_capacity",
    "apiKeys",
    "untilMs",
    "fencingToken",
    "clockMs",
    "remainingMs",
    "coldRemainingMs",
    "repeatCount",
    "startAtMs",
    "validMs",
    "decideMs",
    "durationS",
    "nextPageToken",
    "setKeys",
    "precondition",
    "hasMore",
    "currentRev",
    "staleOk",
    "Expected-Instance",
    "Lease-Holder",
    "Fencing-Token",
    "bindAddresses",
    "nodeName",
    "kv-",
    "run-start",
    "run-stop",
    "machine-move",
    "machine-upkeep",
    "op/config",
    "op/wave",
    "status/wave",
    "servers/",
    "readyz",
    "AMARANTHTRAY_NODE_FILE",
)
WIRE_NAME = re.compile("|".join(map(re.escape, WIRE_NAMES)))
ADAPTER_IMPORT = re.compile(
    r"^\s*(?:from|import)\s+(?:\.+|amaranthtray\.)platform\b", re.M
)

ADAPTER_NAME = re.compile(r"[\"']amaranthtray\.platform\b")
DOCUMENT_CHECK = "cli/config_documents.py"
"""Decodes the operator's document as entries do, to check it before it is sent."""


def test_platform_names_occur_only_in_the_adapter() -> None:
    uses = [
        f"{path.relative_to(SOURCE)}: {found}"
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents
        for found in sorted(set(WIRE_NAME.findall(path.read_text(encoding="utf-8"))))
    ]
    assert not uses


def test_only_the_check_of_its_documents_imports_the_adapter() -> None:
    importers = [
        path.relative_to(SOURCE).as_posix()
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents and ADAPTER_IMPORT.search(path.read_text())
    ]
    assert importers == [DOCUMENT_CHECK]


def test_no_module_loads_the_adapter_by_name() -> None:
    """Guards against a dependency on the adapter that import statements don't show."""
    assert not [
        str(path.relative_to(SOURCE))
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents and ADAPTER_NAME.search(path.read_text())
    ]


def test_the_adapter_is_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < MAX_ADAPTER_LINES


def test_most_listed_names_occur_in_the_adapter_or_settings() -> None:
    text = "".join(path.read_text() for path in ADAPTER.glob("*.py"))
    template = Path(__file__).parents[2] / "deploy" / "settings.toml.template"
    known = text + template.read_text()
    known_names = [name for name in WIRE_NAMES if name in known]
    assert len(known_names) >= len(WIRE_NAMES) // 2
