"""Durations that several tasks must agree on."""

from __future__ import annotations

LEASE_MS = 5_000
"""Lease of runs on hosts; longer than a change of conductor takes."""

RENEWAL_GRACE_MS = 3_000
"""How long a conductor that can't renew its duty still renews the leases of runs.

Runs survive an unavailable store for this time plus the lease. A new conductor waits
as long before it gives up a host that it can't reach.
"""

LATE_RENEWAL_MS = RENEWAL_GRACE_MS - 500
"""A duty is given up shortly before its conductor ends, so that no duty
is held without a conductor."""

WATCHES_PER_LIMIT = 5
"""Watches within a time limit for starts. What a watch shows is as old as the call when
it answers, so that it gets as old as two watches before the next one has answered."""

WATCH_MS = 2_000
"""Longest wait of a watch. A connection may die without a reset, which only this
timeout detects; until then its reader sees no changes."""
