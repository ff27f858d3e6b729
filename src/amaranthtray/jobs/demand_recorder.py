"""Keeps the demand of pools for the next holder of the fleet duty, and logs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.ids import PoolName
from ..domain.upkeep.demand import DemandHistory, Peak, recent_peaks
from ..domain.upkeep.expectations import Expectations, PeakNear
from ..store.contract import Put
from . import keys
from .clock import steady_ms, wall_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..domain.ids import Term
    from ..domain.upkeep.demand import ExpectedPeak, PeakOutcome
    from ..domain.upkeep.expectations import DemandReport
    from ..store.contract import Versioned
    from .context import JobEntryContext

STORE_EVERY_MS = 5_000
"""Shortest time between writes; a holder that is killed loses at most as much."""

MAX_POOL_BYTES = 1_000
MAX_BYTES = 64_000

Snapshot = dict[PoolName, tuple[Peak, ...]]


def encode_peaks(peaks: Snapshot, offset_ms: int) -> bytes:
    """Returns recorded peaks in their stored form, with wall-clock times.

    Pools whose last peak is oldest are left out where all would take too many bytes.

    Args:
        peaks: Recorded peaks of each pool, with steady-clock times.
        offset_ms: Wall-clock time less steady-clock time.
    """
    rows: dict[PoolName, msgspec.Raw] = {}
    size = len(b"{}")
    for pool in sorted(peaks, key=lambda pool: (-peaks[pool][-1].start_ms, pool)):
        moved = [
            peak._replace(start_ms=peak.start_ms + offset_ms) for peak in peaks[pool]
        ]
        row = msgspec.json.encode(moved)
        bytes_of_pool = len(msgspec.json.encode(pool)) + len(row) + len(b":,")
        if bytes_of_pool <= MAX_POOL_BYTES and size + bytes_of_pool <= MAX_BYTES:
            rows[pool] = msgspec.Raw(row)
            size += bytes_of_pool
    return msgspec.json.encode(rows)


def decode_peaks(data: bytes, offset_ms: int, now_ms: int) -> Snapshot:
    """Returns stored peaks that are neither old nor in the future.

    Args:
        data: Stored form of the peaks.
        offset_ms: Wall-clock time less steady-clock time.
        now_ms: Steady-clock time.

    Raises:
        msgspec.MsgspecError: ``data`` is not a record of peaks.
    """
    stored = msgspec.json.decode(data, type=dict[PoolName, list[Peak]])
    return {
        pool: tuple(
            recent_peaks(
                (each._replace(start_ms=each.start_ms - offset_ms) for each in peaks),
                now_ms,
            )
        )
        for pool, peaks in stored.items()
    }


class DemandRecorder:
    """Expected peaks of all pools under one term of the fleet duty.

    Args:
        term: Term of the holder.
        context: Objects that all tasks of the entry share.
        is_conducted: Returns whether a pool may have a conductor.
    """

    def __init__(
        self,
        term: Term,
        context: JobEntryContext,
        is_conducted: Callable[[PoolName], bool],
    ) -> None:
        self.expectations = Expectations()
        self._term = term
        self._context = context
        self._is_conducted = is_conducted
        self._old_reports: dict[PoolName, int] = {}
        self._stored: Snapshot = {}
        self._tried_ms: int | None = None

    def load(self) -> bool:
        """Reads the peaks that earlier holders recorded; returns whether it could.

        They must not be able to write any more.
        """
        read = self._context.store.get(keys.DEMAND_KEY)
        if not isinstance(read, Success):
            self._event("demand-not-read", why=repr(read.failure()))
            return False
        stored = read.unwrap()
        try:
            now_ms = steady_ms()
            peaks = (
                decode_peaks(stored.value, wall_ms() - now_ms, now_ms) if stored else {}
            )
        except msgspec.MsgspecError as exc:
            self._event("demand-unreadable", why=str(exc))
            peaks = {}
        histories = {pool: DemandHistory(each) for pool, each in peaks.items() if each}
        self.expectations.histories = histories
        self._stored = peaks
        return True

    def follow_reports(self, reports: Iterable[Versioned]) -> None:
        """Finds the pools whose reports are not up to date, or no longer count.

        The report of a conductor that is gone stays in the store. It is not up to date
        until the next conductor has written one.

        Args:
            reports: Stored reports of all pools.
        """
        unreported = set()
        for item in reports:
            pool = keys.pool_of_report(item.key)
            if not self._is_conducted(pool):
                self._old_reports[pool] = item.version
            if self._old_reports.get(pool) == item.version:
                unreported.add(pool)
            else:
                self._old_reports.pop(pool, None)
        catalog = self._context.catalog()
        if catalog is not None:
            self.expectations.keep_pools(catalog.pools)
        self.expectations.unreported = frozenset(unreported)

    def record(self, reports: Iterable[DemandReport]) -> None:
        """Logs and counts what the forecast led to.

        Args:
            reports: Reports of one round.
        """
        for pool, report in reports:
            if isinstance(report, PeakNear):
                self._event(
                    "demand-expected",
                    pool=pool,
                    needed=report.needed,
                    machines=report.machines,
                    have=report.have,
                    **_fields(report.peak),
                )
            else:
                self._record_outcome(pool, report)

    def store(self, commit: Callable[[tuple[Put, ...]], bool]) -> None:
        """Stores the peaks if they changed and the last try is long enough ago.

        Args:
            commit: Writes under the term; returns whether that succeeded.
        """
        now_ms = steady_ms()
        if self._tried_ms is not None and now_ms - self._tried_ms < STORE_EVERY_MS:
            return
        histories = self.expectations.histories
        peaks = {pool: each.peaks for pool, each in histories.items() if each.peaks}
        if peaks == self._stored:
            return
        self._tried_ms = now_ms
        if commit((Put(keys.DEMAND_KEY, encode_peaks(peaks, wall_ms() - now_ms)),)):
            self._stored = peaks

    def _record_outcome(self, pool: PoolName, outcome: PeakOutcome) -> None:
        kind = "missed" if outcome.misses else "as_expected"
        self._context.metrics.count("demand_peaks", kind)
        if outcome.misses:
            self._event(
                "demand-missed",
                pool=pool,
                misses=outcome.misses,
                is_discarded=outcome.is_discarded,
                **_fields(outcome.peak),
            )

    def _event(self, event: str, **fields: object) -> None:
        self._context.log.event(event, term=self._term, **fields)


def _fields(peak: ExpectedPeak) -> dict[str, object]:
    """Returns the fields of an expected peak for the log, with wall-clock times."""
    return {
        "start_ms": peak.start_ms + wall_ms() - steady_ms(),
        "in_ms": peak.start_ms - steady_ms(),
        "period_ms": peak.period_ms,
        "uncertainty_ms": peak.uncertainty_ms,
        "starts": peak.starts,
    }
