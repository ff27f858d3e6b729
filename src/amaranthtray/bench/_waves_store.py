"""A stand-in for the ledgers in the platform's store, with an observer on it."""

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
    """Ledgers by pool, as bytes with versions.

    Attributes:
        watchdog: Takes what the observer sees.
        on_change: Called with the old and the new ledger after each write.
        faults: Bounds per zone or rack that a write broke.
        writes: Writes that took effect.
        largest: Bytes of the largest ledger written.
    """

    watchdog: Watchdog
    on_change: Callable[[OutageLedger, OutageLedger], None]
    values: dict[PoolName, tuple[int, bytes]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    writes: int = 0
    largest: int = 0

    def read(self, pool: PoolName) -> tuple[OutageLedger | None, int]:
        """Returns a pool's ledger and its version, 0 if there is none."""
        found = self.values.get(pool)
        if found is None:
            return None, 0
        return decode(found[1], pool=pool).unwrap(), found[0]

    def swap(
        self,
        effect: CasLedger,
        known_out: Mapping[HostId, OutCause],
        budget: Budget,
        now_ms: int,
    ) -> bool:
        """Writes the ledger if the version fits; returns whether it did.

        Args:
            effect: The write.
            known_out: Hosts that the writer knew to be out by themselves when it
                sent the write; the observer counts them whatever the ledger says.
            budget: Bounds that the writer went by.
            now_ms: Time.
        """
        pool = effect.ledger.pool
        before, version = self.read(pool)
        if version != effect.version:
            return False
        value = encode(effect.ledger)
        self.values[pool] = (version + 1, value)
        self.writes += 1
        self.largest = max(self.largest, len(value))
        old = before if before is not None else OutageLedger(pool)
        self.on_change(old, effect.ledger)
        self._check(old, effect.ledger, known_out, budget, now_ms)
        return True

    def _check(
        self,
        old: OutageLedger,
        new: OutageLedger,
        known_out: Mapping[HostId, OutCause],
        budget: Budget,
        now_ms: int,
    ) -> None:
        for host, cause in known_out.items():
            self.watchdog.observe(HostOut(now_ms, new.pool, host, cause))
        ours = [out for out in new.counted_hosts() if out.cause.is_voluntary]
        zones = Counter(out.location.zone for out in ours)
        racks = Counter(out.location.rack for out in ours)
        for out in new.out.values():
            place = out.location
            before = old.out.get(place.host)
            if before is not None and before.cause is out.cause:
                continue
            self.watchdog.observe(HostOut(now_ms, new.pool, place.host, out.cause))
            if not out.cause.is_voluntary:
                continue
            if zones[place.zone] > budget.max_out_per_zone:
                self.faults.append(f"{new.pool}: zone {place.zone} over its bound")
            if racks[place.rack] > budget.max_out_per_rack:
                self.faults.append(f"{new.pool}: rack {place.rack} over its bound")
