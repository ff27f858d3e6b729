"""The platform's names stand in its adapter only."""

from __future__ import annotations

import re
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src" / "amaranthtray"
ADAPTER = SOURCE / "platform"
MAX_ADAPTER_LINES = 1_500

# The product's own interface has had a header Deadline-Ms from the start, so that
# name is not one of the platform alone.
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
NAMES = re.compile("|".join(map(re.escape, WIRE_NAMES)))
IMPORT = re.compile(r"^\s*(?:from|import)\s+(?:\.+|amaranthtray\.)platform\b", re.M)


def test_no_name_of_the_platform_stands_outside_its_adapter() -> None:
    faults = [
        f"{path.relative_to(SOURCE)}: {found}"
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents
        for found in sorted(set(NAMES.findall(path.read_text(encoding="utf-8"))))
    ]
    assert not faults


def test_nothing_imports_the_adapter() -> None:
    importers = [
        str(path.relative_to(SOURCE))
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents and IMPORT.search(path.read_text())
    ]
    assert not importers


def test_the_adapter_is_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < MAX_ADAPTER_LINES


def test_each_name_of_the_list_is_one_of_the_platform() -> None:
    text = "".join(path.read_text() for path in ADAPTER.glob("*.py"))
    template = Path(__file__).parents[2] / "deploy" / "settings.toml.template"
    known = text + template.read_text()
    camel = [name for name in WIRE_NAMES if name in known]
    assert len(camel) >= len(WIRE_NAMES) // 2
