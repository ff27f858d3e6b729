"""Worker leases of running tasks: what to renew and when a lapse is certain."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from .settings import LeaseSettings

if TYPE_CHECKING:
    from ..ids import AttemptId, HostId


class Renewal(NamedTuple):
    """Leases of one host that are due for renewal."""

    host: HostId
    attempt_ids: tuple[AttemptId, ...]


class LeaseTracker:
    """Leases by host, renewed in one batch a host.

    A lapse is certain only on this entry's monotonic clock: ``ttl_ms`` after the
    last moment at which a start or renewal could have reached the host.
    """

    def __init__(self, cfg: LeaseSettings | None = None) -> None:
        self._cfg = cfg or LeaseSettings()
        self._started: dict[HostId, dict[AttemptId, int]] = {}
        self._renewed_ms: dict[HostId, int] = {}
        self._due: list[tuple[int, HostId]] = []
        self._lapses: list[tuple[int, AttemptId]] = []

    @property
    def ttl_ms(self) -> int:
        """Time to live granted at the start and at each renewal."""
        return self._cfg.ttl_ms

    def start(self, attempt_id: AttemptId, host: HostId, now_ms: int) -> None:
        """Records a task about to start."""
        held = self._started.get(host)
        if held is None:
            held = self._started[host] = {}
            heappush(self._due, (now_ms + self._cfg.renew_every_ms, host))
        held[attempt_id] = now_ms

    def end(self, attempt_id: AttemptId, host: HostId) -> None:
        """Forgets a task that is known to be over."""
        held = self._started.get(host)
        if held is not None:
            held.pop(attempt_id, None)

    def abandon(self, attempt_id: AttemptId, host: HostId, now_ms: int) -> int:
        """Stops renewing and returns when the lapse is certain.

        Args:
            attempt_id: The attempt, whose connection is closed.
            host: Where it may run.
            now_ms: Now, which is not before the connection was closed.
        """
        self.end(attempt_id, host)
        last_reach_ms = now_ms
        if host in self._renewed_ms:
            last_reach_ms = max(now_ms, self._renewed_ms[host] + self._cfg.call_ms)
        lapse_ms = last_reach_ms + self._cfg.ttl_ms + self._cfg.margin_ms
        heappush(self._lapses, (lapse_ms, attempt_id))
        return lapse_ms

    def pop_due(self, now_ms: int) -> list[Renewal]:
        """Returns the renewals to send now, one a host."""
        renewals = []
        while self._due and self._due[0][0] <= now_ms:
            _, host = heappop(self._due)
            renewal = self._renew(host, now_ms)
            if renewal is not None and renewal.attempt_ids:
                renewals.append(renewal)
        return renewals

    def pop_expired(self, now_ms: int) -> list[AttemptId]:
        """Removes and returns abandoned attempts whose lapse is certain."""
        over = []
        while self._lapses and self._lapses[0][0] <= now_ms:
            over.append(heappop(self._lapses)[1])
        return over

    def next_due_ms(self) -> int | None:
        """Returns when a renewal is due or a lapse becomes certain."""
        times = [heap[0][0] for heap in (self._due, self._lapses) if heap]
        return min(times, default=None)

    def _renew(self, host: HostId, now_ms: int) -> Renewal | None:
        held = self._started.get(host)
        if not held:
            self._started.pop(host, None)
            self._renewed_ms.pop(host, None)
            return None
        young_ms = now_ms - self._cfg.renew_every_ms // 2
        old = tuple(key for key, started_ms in held.items() if started_ms <= young_ms)
        if old:
            self._renewed_ms[host] = now_ms
        heappush(self._due, (now_ms + self._cfg.renew_every_ms, host))
        return Renewal(host, old)
