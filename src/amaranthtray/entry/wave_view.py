"""The state of maintenance waves that operators can read."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from returns.result import Failure

from ..domain.budgets import OutageLedger
from ..domain.placement import pool_views
from ..domain.waves import combine_progress, wave_progress
from .conducting.conductor_runner import wall_clock_ms
from .conducting.ledgers import list_ledgers

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ..domain.configuration import Configuration
    from ..domain.ids import PoolName, WaveName
    from ..domain.placement import PoolView
    from ..domain.waves import WaveProgress
    from ..store.contract import Store
    from .context import EntryContext

UNKNOWN = "unknown"


class WaveView:
    """Reads the progress of waves from the ledgers in the store.

    Args:
        context: Objects that all tasks of the entry share.
        store: The platform's store.
    """

    def __init__(self, context: EntryContext, store: Store) -> None:
        self._context = context
        self._store = store

    def all(self) -> dict[str, Any]:
        """Returns all waves by name."""
        cfg = self._context.view.current
        return {"waves": [self._describe(cfg, name) for name in sorted(cfg.waves)]}

    def wave(self, name: WaveName) -> dict[str, Any] | None:
        """Returns a wave; None if no wave has that name."""
        cfg = self._context.view.current
        return self._describe(cfg, name) if name in cfg.waves else None

    def _describe(self, cfg: Configuration, name: WaveName) -> dict[str, Any]:
        wave = cfg.waves[name]
        described = {"wave": name, "state": wave.state, "action": wave.action}
        ledgers = list_ledgers(self._store)
        if isinstance(ledgers, Failure):
            reason = "the platform's store gave no answer"
            return {**described, "progress": UNKNOWN, "progress_unknown": reason}
        per_pool = list(self._progress_by_pool(cfg, name, ledgers.unwrap()))
        if not per_pool:
            return {**described, "progress": "no host matches the selector"}
        total = combine_progress(per_pool)
        end = UNKNOWN if total.end_ms is None else total.end_ms
        progress = {**asdict(total), "end_ms": end, "is_complete": total.is_complete}
        return {
            **described,
            **progress,
            "per_pool": [asdict(pool_progress) for pool_progress in per_pool],
        }

    def _progress_by_pool(
        self,
        cfg: Configuration,
        name: WaveName,
        ledgers: Mapping[PoolName, OutageLedger],
    ) -> Iterator[WaveProgress]:
        done = {
            pool: {wave: log.done for wave, log in ledger.waves.items()}
            for pool, ledger in ledgers.items()
        }
        views = pool_views(cfg, self._context.hosts.hosts(), done=done)
        for pool, view in views.items():
            ledger = ledgers.get(pool, OutageLedger(pool))
            if _has_hosts_of(ledger, view, name):
                yield wave_progress(ledger, view, name, wall_ms=wall_clock_ms())


def _has_hosts_of(ledger: OutageLedger, view: PoolView, name: WaveName) -> bool:
    has_hosts = bool(view.waves[name].hosts or ledger.wave_record(name).done)
    return has_hosts or any(out.wave == name for out in ledger.out.values())
