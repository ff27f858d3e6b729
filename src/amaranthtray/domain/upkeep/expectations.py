"""Machines that pools get before an expected peak.

Load that it addresses: pools that peak in turn. Only machines that no pool needs are
held for a peak, so that a wrong expectation makes no job late.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from ..ids import PoolName
from .demand import DemandHistory, ExpectedPeak, PeakOutcome
from .model import MachineName

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from .balance import Balance
    from .moves import PoolLoad

HELD_DIVISOR = 3
"""At most this part of all machines is held for expected peaks at a time."""


@dataclass(frozen=True, slots=True)
class PeakNear:
    """Machines are held from now on for an expected peak.

    Attributes:
        peak: The expected peak.
        needed: Machines for the expected need.
        machines: Machines that the pool counts as needing within the limit.
        have: Machines that it has.
    """

    peak: ExpectedPeak
    needed: int
    machines: int
    have: int


DemandReport: TypeAlias = tuple[PoolName, PeakNear | PeakOutcome]
"""A pool, and what its forecast led to."""


@dataclass(slots=True)
class Expectations:
    """Histories of the pools, and the machines held for their next peaks.

    Attributes:
        histories: Recorded peaks of each pool.
        unreported: Pools whose last report is no longer kept up to date.
        held: Machines that are held for expected peaks.
    """

    histories: dict[PoolName, DemandHistory] = field(default_factory=dict)
    unreported: frozenset[PoolName] = frozenset()
    held: int = 0
    _announced_ms: dict[PoolName, int] = field(default_factory=dict)
    _leaving: set[MachineName] = field(default_factory=set)

    def keep_pools(self, pools: Collection[PoolName]) -> None:
        """Drops the histories of pools that are no longer configured."""
        for pool in [pool for pool in self.histories if pool not in pools]:
            del self.histories[pool]
            self._announced_ms.pop(pool, None)

    def record(
        self, loads: Mapping[PoolName, PoolLoad], now_ms: int
    ) -> list[DemandReport]:
        """Records the pools' needs; returns what became of expected peaks.

        Args:
            loads: Reported load of each pool.
            now_ms: Steady-clock time.
        """
        reports: list[DemandReport] = []
        for pool, load in loads.items():
            history = self.histories.setdefault(pool, DemandHistory())
            if pool in self.unreported:
                history.interrupt()
                continue
            outcome = history.record(load.need, load.host, now_ms)
            if outcome is not None:
                reports.append((pool, outcome))
        return reports

    def hold(
        self,
        balances: Mapping[PoolName, Balance],
        machines: int,
        lead_ms: int,
        now_ms: int,
    ) -> list[DemandReport]:
        """Adds machines for peaks that are near to the balances, the nearest first.

        Args:
            balances: Machines of each pool, with its next expected peak.
            machines: Number of all machines.
            lead_ms: Time that a move takes.
            now_ms: Steady-clock time.
        """
        reports: list[DemandReport] = []
        near = [
            (balance.peak.start_ms, pool, balance.peak, balance)
            for pool, balance in balances.items()
            if balance.peak is not None
            and now_ms >= balance.peak.start_ms - balance.peak.uncertainty_ms - lead_ms
        ]
        left = machines // HELD_DIVISOR
        self.held = 0
        for start_ms, pool, peak, balance in sorted(near, key=lambda each: each[:2]):
            more = min(max(balance.peak_machines - balance.used, 0), left)
            left -= more
            balance.expected = balance.used + more if more else 0
            self.held += min(max(balance.have - balance.used, 0), more)
            if self._announced_ms.get(pool) != start_ms:
                self._announced_ms[pool] = start_ms
                counted = max(balance.used, balance.expected)
                report = PeakNear(peak, balance.peak_machines, counted, balance.have)
                reports.append((pool, report))
        return reports

    def withdraw(self, leaving: dict[MachineName, PoolName]) -> frozenset[MachineName]:
        """Withdraws machines that leave for an expected peak, and returns them.

        Each round selects them anew, as a pool with a shortage may need them now, or
        the peak may have been missed.

        Args:
            leaving: Machines that are being emptied, with their target pool.
        """
        withdrawn = frozenset(self._leaving & leaving.keys())
        for name in withdrawn:
            del leaving[name]
        self._leaving.clear()
        return withdrawn

    def record_leaving(self, name: MachineName) -> None:
        """Records that a machine is being emptied for an expected peak."""
        self._leaving.add(name)
