"""What is surely known of a host's clock and of the lease that it grants."""

from __future__ import annotations

SLOWEST_CLOCK_RATE = 0.98
"""A host's steady clock may be this slow."""


class HostLease:
    """The lease of all that runs on one host, counted on the host's clock.

    Args:
        lease_ms: Length asked for with each call.
        max_lease_ms: Longest lease that a host grants.
        earlier_leases_until_ms: Steady time at which leases granted by earlier terms have
            surely run out, for a host that was never reached.
    """

    def __init__(
        self, *, lease_ms: int, max_lease_ms: int, earlier_leases_until_ms: int
    ) -> None:
        self._lease_ms = lease_ms
        self._max_lease_ms = max_lease_ms
        self._unknown_until_ms = earlier_leases_until_ms
        self._clock_ms: int | None = None
        self._read_ms = 0
        self._until_ms = 0
        self._born = 0
        self._is_silent = False

    def record_no_answer(self) -> None:
        """Takes that a call got no answer; the lease is left to run out.

        Calls that may or may not arrive would put off the time at which all there
        has surely ended, for as long as they are made.
        """
        self._is_silent = True

    def next_expiry_ms(self, now_ms: int) -> int | None:
        """Returns the end to ask for in a call made now; none without contact."""
        if self._is_silent:
            return None
        earliest_ms = self.earliest_clock_ms(now_ms)
        if earliest_ms is None:
            return None
        until_ms = earliest_ms + self._lease_ms
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def record_answer(self, clock_ms: int, born: int, received_ms: int) -> None:
        """Takes the host's clock from an answer."""
        self._is_silent = False
        if self._clock_ms is None or born != self._born:
            # Earlier terms may have granted as much as this one does; an order to
            # an earlier life names a time that is far ahead on the new clock.
            is_reborn = self._clock_ms is not None
            lease_ms = self._max_lease_ms if is_reborn else self._lease_ms
            self._until_ms = clock_ms + lease_ms
            self._born = born
            self._clock_ms, self._read_ms = clock_ms, received_ms
            return
        earliest_ms = self.earliest_clock_ms(received_ms)
        if earliest_ms is None or clock_ms >= earliest_ms:
            self._clock_ms, self._read_ms = clock_ms, received_ms

    def earliest_clock_ms(self, now_ms: int) -> int | None:
        """Returns the lowest value that the host's clock can have now."""
        if self._clock_ms is None:
            return None
        return self._clock_ms + int((now_ms - self._read_ms) * SLOWEST_CLOCK_RATE)

    def is_expired(self, now_ms: int) -> bool:
        """Returns whether all that ran there under leases has surely ended."""
        earliest_ms = self.earliest_clock_ms(now_ms)
        if earliest_ms is None:
            return now_ms >= self._unknown_until_ms
        return earliest_ms > self._until_ms
