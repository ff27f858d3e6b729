"""Times that several tasks must agree on."""

from __future__ import annotations

LEASE_MS = 5_000
"""Lease of runs on hosts; outlives the change of a conductor."""

RENEWAL_GRACE_MS = 3_000
"""A conductor that can't renew its duty keeps runs alive this long.

With the lease this is what runs survive of a store that is away. A new conductor
waits as long before it gives up on a host that it can't reach.
"""

LATE_RENEWAL_MS = RENEWAL_GRACE_MS - 500
"""A duty is given up before its conductor ends, so that none is held for nothing."""

WATCH_MS = 2_000
"""Wait of a watch. A connection may go silent without a reset, and only the end of the
wait shows it; until then its reader sees nothing of what changes."""
