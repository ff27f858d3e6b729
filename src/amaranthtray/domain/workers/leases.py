"""Leases of running tasks: which to renew and when an expiry is certain."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from .settings import LeaseSettings

if TYPE_CHECKING:
    from ..ids import AttemptId, HostId


class Renewal(NamedTuple):
    """One call that renews leases of one host."""

    host: HostId
    attempt_ids: tuple[AttemptId, ...]


class LeaseTracker:
    """Tracks the leases by host and renews those of a host in one batch.

    The expiry of a lease is certain, on this entry's monotonic clock, ``ttl_ms`` and
    ``margin_ms`` after the last moment at which a start or renewal could have reached
    the host.
    """

    def __init__(self, cfg: LeaseSettings | None = None) -> None:
        self._cfg = cfg or LeaseSettings()
        self._started: dict[HostId, dict[AttemptId, int]] = {}
        self._renewed_ms: dict[HostId, int] = {}
        self._due: list[tuple[int, HostId]] = []
        self._expiries: list[tuple[int, AttemptId]] = []

    @property
    def ttl_ms(self) -> int:
        """Returns the time to live that the start and each renewal grant."""
        return self._cfg.ttl_ms

    def start(self, attempt_id: AttemptId, host: HostId, now_ms: int) -> None:
        """Adds the lease of a task that is about to start."""
        leases = self._started.get(host)
        if leases is None:
            leases = self._started[host] = {}
            heappush(self._due, (now_ms + self._cfg.renew_every_ms, host))
        leases[attempt_id] = now_ms

    def end(self, attempt_id: AttemptId, host: HostId) -> None:
        """Removes the lease of a task that is known to be over."""
        leases = self._started.get(host)
        if leases is not None:
            leases.pop(attempt_id, None)

    def abandon(self, attempt_id: AttemptId, host: HostId, now_ms: int) -> int:
        """Stops renewing a lease and returns when its expiry is certain.

        Args:
            attempt_id: The attempt, whose connection to the host is closed.
            host: Host on which it may still run.
            now_ms: Current time, not before the connection was closed.
        """
        self.end(attempt_id, host)
        last_arrival_ms = now_ms
        if host in self._renewed_ms:
            last_arrival_ms = max(now_ms, self._renewed_ms[host] + self._cfg.call_ms)
        expiry_ms = last_arrival_ms + self._cfg.ttl_ms + self._cfg.margin_ms
        heappush(self._expiries, (expiry_ms, attempt_id))
        return expiry_ms

    def pop_due(self, now_ms: int) -> list[Renewal]:
        """Removes and returns the renewals to send now, one per host."""
        renewals = []
        while self._due and self._due[0][0] <= now_ms:
            _, host = heappop(self._due)
            renewal = self._renewal_of(host, now_ms)
            if renewal is not None and renewal.attempt_ids:
                renewals.append(renewal)
        return renewals

    def pop_expired(self, now_ms: int) -> list[AttemptId]:
        """Removes and returns abandoned attempts whose expiry is certain."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            expired.append(heappop(self._expiries)[1])
        return expired

    def next_due_ms(self) -> int | None:
        """Returns when the next renewal is due or the next expiry is certain."""
        times = [heap[0][0] for heap in (self._due, self._expiries) if heap]
        return min(times, default=None)

    def _renewal_of(self, host: HostId, now_ms: int) -> Renewal | None:
        leases = self._started.get(host)
        if not leases:
            self._started.pop(host, None)
            self._renewed_ms.pop(host, None)
            return None
        started_by_ms = now_ms - self._cfg.renew_every_ms // 2
        renewable = tuple(
            attempt_id
            for attempt_id, started_ms in leases.items()
            if started_ms <= started_by_ms
        )
        if renewable:
            self._renewed_ms[host] = now_ms
        heappush(self._due, (now_ms + self._cfg.renew_every_ms, host))
        return Renewal(host, renewable)
