"""Fixture of a running entry with one backend server, both on loopback."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from amaranthtray.demo.one_entry import OneEntry
from amaranthtray.standins.backend import BackendStandIn
from raw_http import RunningEntry

if TYPE_CHECKING:
    from collections.abc import Iterator

READ_TIMEOUT_MS = 400


@pytest.fixture(scope="module")
def running() -> Iterator[RunningEntry]:
    backend = BackendStandIn("h1")
    backend.start()
    one_entry = OneEntry(backend.port, read_timeout_ms=READ_TIMEOUT_MS)
    one_entry.start()
    yield RunningEntry(one_entry, backend)
    one_entry.stop()
    backend.stop()
