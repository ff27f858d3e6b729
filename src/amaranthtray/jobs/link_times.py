"""Times and tries of the calls to one host."""

from __future__ import annotations

POLL_WAIT_MS = 2_000
"""Longest wait that a host accepts; it saves calls while no run ends."""

MAX_STORING_WAIT_MS = 400
"""Longest wait for reported ends to be stored before the host is polled again."""

SILENT_RETRY_MS = 250
"""Pause between calls to a host that does not answer, from the second one on."""

MAX_START_TRIES = 3
"""Tries of a start order; a host that is up answers at least one of them."""

MAX_VOLUNTARY_WAIT_MS = 500
"""Longest wait of a voluntary stop behind others to its host; the tasks of its step
that were at work may be away by then."""

STOP_RETRY_MS = 150
"""Pause between tries of a stop order."""
