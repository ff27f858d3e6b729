"""Hosts that are kept for gangs which find no room, for a limited time.

The load that this addresses: each gap that an ended run leaves is taken by a small task
at once, so that a gang never finds all its room at the same time. While hosts are kept
others wait, so that this must not go on for a gang that doesn't start after all.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..jobs.model import StepKey

if TYPE_CHECKING:
    from ..ids import HostId

KEEP_MS = 5_000
"""Time for which hosts are kept for a gang at first; doubles with each time that the
gang did not start, as the runs on its hosts may take longer."""

MAX_KEEP_MS = 20_000

OWN_REST_FACTOR = 2
"""A gang that did not start rests longer than the pool by this factor, so that hosts
can be kept for others that wait behind it."""


class HostsKept(NamedTuple):
    """Reports that hosts are kept for a gang from now on.

    Attributes:
        step: The step.
        hosts: The hosts.
        limit_ms: Longest time for which they are kept.
    """

    step: StepKey
    hosts: tuple[HostId, ...]
    limit_ms: int


class HostsReleased(NamedTuple):
    """Reports that no hosts are kept for a gang any more.

    Attributes:
        step: The step.
        held_ms: Time since they were kept first.
        reason: ``started``, ``gone`` where the gang waits no longer for another reason,
            or ``expired``, after which others go first for the same time.
    """

    step: StepKey
    held_ms: int
    reason: str


GangHostsReport: TypeAlias = HostsKept | HostsReleased


@dataclass(slots=True)
class _Wait:
    """A gang for which hosts were kept.

    Attributes:
        since_ms: Steady-clock time since which they are kept; None while it rests.
        rests_until_ms: Steady-clock time before which none are kept for it.
        expiries: How often it did not start in time.
    """

    since_ms: int | None = None
    rests_until_ms: int = 0
    expiries: int = 0

    @property
    def limit_ms(self) -> int:
        """Returns the longest time for which hosts are kept now."""
        return min(KEEP_MS << min(self.expiries, 8), MAX_KEEP_MS)


@dataclass(slots=True)
class GangHosts:
    """For which gangs hosts may be kept, and since when they are.

    Attributes:
        reports: Reports to return with the next plan.
    """

    reports: list[GangHostsReport] = field(default_factory=list)
    _waits: dict[StepKey, _Wait] = field(default_factory=dict)
    _others_until_ms: int = 0

    def may_keep(self, key: StepKey, now_ms: int) -> bool:
        """Returns whether hosts may be kept for a gang; ends that at its limit.

        The time counts from the first host on, also while its hosts don't suffice.
        """
        wait = self._waits.get(key)
        if wait is not None and wait.since_ms is not None:
            held_ms = now_ms - wait.since_ms
            if held_ms >= wait.limit_ms:
                self.reports.append(HostsReleased(key, held_ms, "expired"))
                rest_until_ms = now_ms + wait.limit_ms
                self._others_until_ms = max(self._others_until_ms, rest_until_ms)
                wait.rests_until_ms = now_ms + OWN_REST_FACTOR * wait.limit_ms
                wait.since_ms = None
                wait.expiries += 1
        is_resting = wait is not None and now_ms < wait.rests_until_ms
        return not is_resting and now_ms >= self._others_until_ms

    def record_kept(self, key: StepKey, hosts: set[HostId], now_ms: int) -> None:
        """Records that the current plan keeps hosts for a gang."""
        wait = self._waits.setdefault(key, _Wait())
        if wait.since_ms is None:
            wait.since_ms = now_ms
            self.reports.append(HostsKept(key, tuple(sorted(hosts)), wait.limit_ms))

    def record_start(self, key: StepKey, now_ms: int) -> None:
        """Records that a gang was placed."""
        self._forget(key, now_ms, "started")

    def retain(self, keys: set[StepKey], now_ms: int) -> None:
        """Forgets all gangs except ``keys``, which still wait."""
        for key in [key for key in self._waits if key not in keys]:
            self._forget(key, now_ms, "gone")

    def take_reports(self) -> list[GangHostsReport]:
        """Returns the reports since the last call."""
        reports, self.reports = self.reports, []
        return reports

    def _forget(self, key: StepKey, now_ms: int, reason: str) -> None:
        wait = self._waits.pop(key, None)
        if wait is not None and wait.since_ms is not None:
            held_ms = now_ms - wait.since_ms
            self.reports.append(HostsReleased(key, held_ms, reason))
