"""Machines of the pools, and which pool needs another one most."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .demand import ExpectedPeak

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import PoolName
    from .model import Machine


@dataclass(slots=True)
class Balance:
    """Machines of a pool, and how many it can use.

    Attributes:
        have: Machines that it has.
        needed: Machines for work that can end in time.
        late: Machines for other work.
        retained: Machines that it keeps for future load.
        expected: Machines for its expected peak from now on; 0 if none is near.
        peak: Its next expected peak.
        peak_machines: Machines for that peak.
    """

    have: int
    needed: int
    late: int
    retained: int
    expected: int = 0
    peak: ExpectedPeak | None = None
    peak_machines: int = 0

    @property
    def used(self) -> int:
        """Returns how many machines it needs for all of its work and its reserve."""
        return max(self.needed + self.late, self.retained)

    @property
    def shortage(self) -> int:
        """Returns how many machines its timely work lacks."""
        return self.needed - self.have

    @property
    def lacking(self) -> int:
        """Returns how many machines it lacks for all of its work and its reserve."""
        return self.used - self.have

    @property
    def wanted(self) -> int:
        """Returns how many machines it lacks, also for its expected peak."""
        return max(self.needed + self.late, self.retained, self.expected) - self.have

    @property
    def lacks_for_peak(self) -> bool:
        """Returns whether it lacks machines for its expected peak."""
        return self.expected > self.have

    def may_lend(self, borrower: Balance) -> bool:
        """Returns whether a surplus machine may leave for another pool's peak.

        It may not if the pool expects a peak of its own, beyond its machines, before
        the time in which the other peak is expected ends.
        """
        own, other = self.peak, borrower.peak
        if own is None or other is None:
            return True
        is_later = own.start_ms - own.uncertainty_ms > other.until_ms
        return is_later or self.have > self.peak_machines


def neediest(
    balances: Mapping[PoolName, Balance],
    machine: Machine,
    kinds: Mapping[PoolName, set[str]],
) -> PoolName | None:
    """Returns the pool that needs a machine most.

    A shortage precedes retention. Both precede an expected peak, which precedes late
    work, as that is worth little.
    """
    pools = [
        pool
        for pool, balance in balances.items()
        if balance.wanted > 0 and machine.kind in kinds.get(pool, {machine.kind})
    ]
    has_peak = any(balances[pool].lacks_for_peak for pool in pools)

    def priority(pool: PoolName) -> tuple[int, bool, int, int]:
        balance = balances[pool]
        is_reserve = balance.retained > balance.have or balance.lacks_for_peak
        return (
            max(balance.shortage, 0),
            has_peak and is_reserve,
            max(balance.lacking, 0),
            balance.wanted,
        )

    return max(pools, key=priority, default=None)
