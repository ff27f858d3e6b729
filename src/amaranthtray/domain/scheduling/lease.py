"""The lease of a host's runs, with safe bounds on the host's clock."""

from __future__ import annotations

import math

SLOWEST_CLOCK_RATE = 0.98
"""Lowest rate of a host's steady clock, relative to this clock."""


class HostLease:
    """The lease of all runs on one host, measured on the host's clock.

    Args:
        lease_ms: Lease duration that each call requests.
        max_lease_ms: Longest lease that a host grants.
        earlier_leases_until_ms: Steady-clock time at which leases granted by earlier
            terms have expired, for a host that was never reached.

    Attributes:
        max_lease_ms: Longest lease that a host grants.
    """

    def __init__(
        self, *, lease_ms: int, max_lease_ms: int, earlier_leases_until_ms: int
    ) -> None:
        self._lease_ms = lease_ms
        self.max_lease_ms = max_lease_ms
        self._earlier_leases_until_ms = earlier_leases_until_ms
        self._clock_ms: int | None = None
        self._read_ms = 0
        self._until_ms = 0
        self._born = 0
        self._is_silent = False

    def record_no_answer(self) -> None:
        """Records that a call got no response, and stops extending the lease.

        Further extensions might or might not arrive, and would postpone the time at
        which all runs have certainly ended for as long as they are sent.
        """
        self._is_silent = True

    def next_expiry_ms(self, now_ms: int) -> int | None:
        """Returns the lease end to request in a call made now; None without contact."""
        if self._is_silent:
            return None
        earliest_ms = self.earliest_clock_ms(now_ms)
        if earliest_ms is None:
            return None
        until_ms = earliest_ms + self._lease_ms
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def record_answer(self, clock_ms: int, born: int, received_ms: int) -> None:
        """Records the host's clock and incarnation from a response."""
        self._is_silent = False
        if self._clock_ms is None or born != self._born:
            # An order to an earlier incarnation, also one of an earlier term, may have
            # been carried out late: its end is far ahead on the new clock.
            self._until_ms = clock_ms + self.max_lease_ms
            self._born = born
            self._clock_ms, self._read_ms = clock_ms, received_ms
            return
        earliest_ms = self.earliest_clock_ms(received_ms)
        if earliest_ms is None or clock_ms >= earliest_ms:
            self._clock_ms, self._read_ms = clock_ms, received_ms

    def earliest_clock_ms(self, now_ms: int) -> int | None:
        """Returns the lowest value that the host's clock can have, if it was read."""
        if self._clock_ms is None:
            return None
        return self._clock_ms + int((now_ms - self._read_ms) * SLOWEST_CLOCK_RATE)

    def expires_by_ms(self) -> int:
        """Returns the steady-clock time from which on the lease has expired."""
        if self._clock_ms is None:
            return self._earlier_leases_until_ms
        left_ms = self._until_ms + 1 - self._clock_ms
        return self._read_ms + math.ceil(left_ms / SLOWEST_CLOCK_RATE)

    def is_expired(self, now_ms: int) -> bool:
        """Returns whether all runs under the lease have certainly ended."""
        earliest_ms = self.earliest_clock_ms(now_ms)
        if earliest_ms is None:
            return now_ms >= self._earlier_leases_until_ms
        return earliest_ms > self._until_ms
