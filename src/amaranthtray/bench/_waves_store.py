"""A stand-in for the platform's store of outage ledgers, with checks of writes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..domain.budgets import OutageLedger, decode, encode
from ..domain.ids import PoolName
from ..domain.invariants import HostOut, OutCause, Watchdog

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..domain.configuration import Budget
    from ..domain.ids import HostId
    from ..domain.waves import CasLedger


@dataclass(slots=True)
class LedgerStore:
    """Encoded outage ledgers of the pools, with their versions.

    Attributes:
        watchdog: Receives the hosts that each write takes out.
        on_change: Called with the old and the new ledger after each write.
        values: Version and encoded ledger of each pool.
        budget_violations: Writes that exceeded the budget of a zone or rack.
        writes: Writes that took effect.
        largest_bytes: Size of the largest ledger written, in bytes.
    """

    watchdog: Watchdog
    on_change: Callable[[OutageLedger, OutageLedger], None]
    values: dict[PoolName, tuple[int, bytes]] = field(default_factory=dict)
    budget_violations: list[str] = field(default_factory=list)
    writes: int = 0
    largest_bytes: int = 0

    def read(self, pool: PoolName) -> tuple[OutageLedger | None, int]:
        """Returns a pool's ledger and its version, or None and 0 without a ledger."""
        entry = self.values.get(pool)
        if entry is None:
            return None, 0
        return decode(entry[1], pool=pool).unwrap(), entry[0]

    def compare_and_swap(
        self,
        effect: CasLedger,
        known_outages: Mapping[HostId, OutCause],
        budget: Budget,
        now_ms: int,
    ) -> bool:
        """Writes the ledger if the version is current; returns whether it was written.

        Args:
            effect: The write.
            known_outages: Hosts that the writer knew to be out involuntarily when it
                sent the write; the watchdog counts them whatever the ledger says.
            budget: Budget that the writer applied.
            now_ms: Time of the write.
        """
        pool = effect.ledger.pool
        before, version = self.read(pool)
        if version != effect.version:
            return False
        value = encode(effect.ledger)
        self.values[pool] = (version + 1, value)
        self.writes += 1
        self.largest_bytes = max(self.largest_bytes, len(value))
        old = before if before is not None else OutageLedger(pool)
        self.on_change(old, effect.ledger)
        self._observe_and_check(old, effect.ledger, known_outages, budget, now_ms)
        return True

    def _observe_and_check(
        self,
        old: OutageLedger,
        new: OutageLedger,
        known_outages: Mapping[HostId, OutCause],
        budget: Budget,
        now_ms: int,
    ) -> None:
        for host, cause in known_outages.items():
            self.watchdog.observe(HostOut(now_ms, new.pool, host, cause))
        voluntary = [out for out in new.counted_hosts() if out.cause.is_voluntary]
        zones = Counter(out.location.zone for out in voluntary)
        racks = Counter(out.location.rack for out in voluntary)
        for out in new.out.values():
            location = out.location
            before = old.out.get(location.host)
            if before is not None and before.cause is out.cause:
                continue
            self.watchdog.observe(HostOut(now_ms, new.pool, location.host, out.cause))
            if not out.cause.is_voluntary:
                continue
            if zones[location.zone] > budget.max_out_per_zone:
                self.budget_violations.append(
                    f"{new.pool}: zone {location.zone} over its bound"
                )
            if racks[location.rack] > budget.max_out_per_rack:
                self.budget_violations.append(
                    f"{new.pool}: rack {location.rack} over its bound"
                )
