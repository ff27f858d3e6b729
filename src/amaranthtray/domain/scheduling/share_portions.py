"""Portions of a team's weight by which the pools meter its submissions.

The load that this addresses: a team submits several times its weight to the queues of
several pools. Each pool alone sees a rate that its whole weight covers.

The pools exchange the team's rates in one stored row. A pool knows the rates of the
others as they were some seconds ago, and a team may have left a pool since. Therefore
a portion is smaller than the weight only if the jobs behind these rates are more than
the weight covers in the whole time in which they were submitted. A team that keeps to
its weight can't be limited by old rates then, however quickly it changes pools.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

import msgspec

from ..ids import PoolName, TeamName
from ..jobs.model import NO_TEAM
from .shares import WINDOW_S, Portion, weight_of

if TYPE_CHECKING:
    from ..jobs.catalog import Catalog
    from ..jobs.model import JobSpec

WINDOW_MS = WINDOW_S * 1_000

SLOT_MS = 250
"""Submissions are counted by slots of this time; the window is shorter by up to it."""

BURST_S = 1
"""Weight of this time that a team may submit at once before it counts as above its
weight; it also covers clocks of entries that differ by less."""

ITEM_LIFETIME_MS = 10_000
"""Age from which a pool's rate in a row, or a row as it was read, no longer counts."""

RENEW_MS = 4_000
"""Age from which a pool renews its rate although it has not changed, so that a failed
renewal can be repeated before the rate no longer counts."""

CLAIM_EVERY_MS = 1_000
"""Shortest time between two claims, or writes, of a pool for one team."""

REVIEW_EVERY_MS = 250
"""Time between reviews of all teams."""

LOG_EVERY_MS = 5_000
"""Shortest time between two reports of one team's portion."""

NOTABLE_CHANGE = 0.25
"""Relative change from which a rate is written and a portion is reported."""

MAX_ROW_BYTES = 4_000


class ShareItem(NamedTuple):
    """The rate at which a team submits to one pool.

    Attributes:
        rate: Jobs per second over the window before ``measured_ms``.
        measured_ms: Wall-clock time at which the rate was measured.
    """

    rate: float
    measured_ms: int


ShareRow: TypeAlias = "dict[PoolName, ShareItem]"
"""The rates of one team by pool."""


@dataclass(frozen=True, slots=True)
class ClaimShare:
    """Requests a team's row, and a change of the pool's rate in it where that is due.

    Attributes:
        team: The team.
        rate: Jobs per second that the pool receives from it.
        measured_ms: Wall-clock time of that rate.
        pools: Pools in the configuration; the rates of others are removed.
    """

    team: TeamName
    rate: float
    measured_ms: int
    pools: frozenset[PoolName]


@dataclass(frozen=True, slots=True)
class ShareRowsRead:
    """Rows of some teams were read or written."""

    rows: Mapping[TeamName, Mapping[PoolName, ShareItem]]


@dataclass(frozen=True, slots=True)
class SharePortionChanged:
    """Reports a pool's portion of a team's weight, all in jobs per second.

    Attributes:
        team: The team.
        rate: Rate at which it submits to the pool.
        portion: Rate that counts as within its share there.
        weight: The team's weight.
        row_age_ms: Time since the row of the portion was read; None without a row.
    """

    team: TeamName
    rate: float
    portion: float
    weight: int
    row_age_ms: int | None


class _ReadRow(NamedTuple):
    """A row and the steady-clock time at which it was read."""

    row: Mapping[PoolName, ShareItem]
    read_ms: int


@dataclass(slots=True)
class _Arrivals:
    """Number of a team's jobs by slot of the steady clock."""

    slots: dict[int, int] = field(default_factory=dict)

    def add(self, at_ms: int) -> None:
        slot = at_ms // SLOT_MS
        self.slots[slot] = self.slots.get(slot, 0) + 1

    def rate(self, now_ms: int) -> float:
        """Returns the jobs per second of the window; forgets earlier ones."""
        last_old = (now_ms - WINDOW_MS) // SLOT_MS
        for slot in [slot for slot in self.slots if slot <= last_old]:
            del self.slots[slot]
        return sum(self.slots.values()) / WINDOW_S


def claim_share(
    row: Mapping[PoolName, ShareItem], pool: PoolName, request: ClaimShare, wall_ms: int
) -> ShareRow | None:
    """Returns the row with the pool's new rate; None if no write is due.

    Args:
        row: The row as it is stored.
        pool: Pool that claims.
        request: The claim.
        wall_ms: Wall-clock time.
    """
    if not 0 <= wall_ms - request.measured_ms <= ITEM_LIFETIME_MS:
        return None
    if not _is_write_due(row.get(pool), request.rate, wall_ms):
        return None
    # Times slightly ahead are kept: the clocks of entries differ.
    kept = {
        name: item
        for name, item in row.items()
        if name in request.pools and abs(wall_ms - item.measured_ms) <= ITEM_LIFETIME_MS
    }
    kept[pool] = ShareItem(request.rate, request.measured_ms)
    while len(encode_row(kept)) > MAX_ROW_BYTES:
        del kept[min(kept, key=lambda name: kept[name].rate)]
    return None if kept == row else kept


def encode_row(row: Mapping[PoolName, ShareItem]) -> bytes:
    """Returns the stored form of a row."""
    return msgspec.json.encode(row)


def decode_row(data: bytes) -> ShareRow:
    """Returns the row of a stored form.

    Raises:
        msgspec.MsgspecError: The data is not a row.
    """
    rows = msgspec.json.decode(data, type=dict[str, ShareItem])
    return {PoolName(pool): item for pool, item in rows.items()}


def is_above_weight(
    weight: int, own_rate: float, others: list[tuple[int, float]]
) -> bool:
    """Returns whether a team has certainly submitted more than its weight.

    The jobs behind the rates up to some age were all submitted within the window and
    that age, so that the weight of this time covers them if the team keeps to it.

    Args:
        weight: Jobs per second to which the team is entitled.
        own_rate: Jobs per second that the pool itself has received.
        others: Age in ms and rate of each other pool.
    """
    submitted = own_rate * WINDOW_S
    if submitted > weight * (WINDOW_S + BURST_S):
        return True
    for age_ms, rate in sorted(others):
        submitted += rate * WINDOW_S
        if submitted > weight * (WINDOW_S + BURST_S + age_ms / 1_000):
            return True
    return False


class _View(NamedTuple):
    """What a pool knows of one team now.

    Attributes:
        weight: The team's weight.
        own: Jobs per second that the pool receives.
        others: Age in ms and rate of the other pools; None if no row was read lately.
        item: The pool's own rate in that row.
    """

    weight: int
    own: float
    others: list[tuple[int, float]] | None
    item: ShareItem | None

    @property
    def total(self) -> float:
        """Returns the jobs per second that all pools receive, as far as is known."""
        return self.own + sum(rate for _, rate in self.others or ())

    @property
    def portion(self) -> Portion:
        """Returns the pool's portion: the weight, or its part by the rates."""
        weight, others = self.weight, self.others
        if others is None or not is_above_weight(weight, self.own, others):
            return Portion(weight, WINDOW_S * weight)
        part = self.own / self.total
        span_s = WINDOW_S + max((age_ms for age_ms, _ in others), default=0) / 1_000
        left = weight * (WINDOW_S + span_s) - self.total * WINDOW_S
        return Portion(weight * part, max(left, 0.0) * part)


@dataclass(slots=True)
class SharePortions:
    """The rates that one pool receives, and the rows of rates that it has read.

    Attributes:
        pool: Name of the pool.
    """

    pool: PoolName
    _rows: dict[TeamName, _ReadRow] = field(default_factory=dict)
    _arrivals: dict[TeamName, _Arrivals] = field(default_factory=dict)
    _claimed_ms: dict[TeamName, int] = field(default_factory=dict)
    _reported: dict[TeamName, tuple[float, int]] = field(default_factory=dict)
    _reviewed_ms: int | None = None

    def apply_rows(self, message: ShareRowsRead, now_ms: int) -> None:
        """Takes over rows that were read now."""
        for team, row in message.rows.items():
            self._rows[team] = _ReadRow(row, now_ms)

    def record_submission(
        self, spec: JobSpec, catalog: Catalog, now_ms: int, wall_ms: int
    ) -> Portion | None:
        """Counts a new job; returns its team's portion, None if it has no team.

        Jobs count by the time of their acceptance: a new conductor, or one that could
        not read the store for a while, finds the jobs of a longer time at once.

        Args:
            spec: The job.
            catalog: Configuration in force.
            now_ms: Steady-clock time.
            wall_ms: Wall-clock time.
        """
        if spec.team == NO_TEAM or spec.team not in catalog.teams:
            return None
        age_ms = max(wall_ms - spec.accepted_ms, 0)
        self._arrivals.setdefault(spec.team, _Arrivals()).add(now_ms - age_ms)
        return self.portion(spec.team, catalog, now_ms, wall_ms)

    def portion(
        self, team: TeamName, catalog: Catalog, now_ms: int, wall_ms: int
    ) -> Portion:
        """Returns the pool's portion of a team's weight.

        That is the weight as long as the team is not certainly above it, or if no row
        was read lately; else the part of the weight that is proportional to the rates.
        """
        return self._view(team, catalog, now_ms, wall_ms).portion

    def review(
        self, catalog: Catalog, now_ms: int, wall_ms: int
    ) -> list[ClaimShare | SharePortionChanged]:
        """Returns the claims that are due, and the changes of portions to log."""
        last_ms, pools = self._reviewed_ms, frozenset(catalog.pools)
        if last_ms is not None and now_ms - last_ms < REVIEW_EVERY_MS:
            return []
        self._reviewed_ms = now_ms
        effects: list[ClaimShare | SharePortionChanged] = []
        for team in list(self._arrivals):
            if team not in catalog.teams:
                del self._arrivals[team]
                continue
            view = self._view(team, catalog, now_ms, wall_ms)
            if not view.own:
                del self._arrivals[team]
                continue
            least = view.weight / (2 * _count_pools(catalog))
            claimed_ms = self._claimed_ms.get(team, now_ms - CLAIM_EVERY_MS)
            is_open = view.own > least and now_ms - claimed_ms >= CLAIM_EVERY_MS
            if is_open and _is_claim_due(view, wall_ms):
                self._claimed_ms[team] = now_ms
                effects.append(ClaimShare(team, view.own, wall_ms, pools))
            effects += self._changes(team, view, now_ms)
        return effects

    def _view(
        self, team: TeamName, catalog: Catalog, now_ms: int, wall_ms: int
    ) -> _View:
        weight, arrivals = weight_of(catalog, team), self._arrivals.get(team)
        own, read = arrivals.rate(now_ms) if arrivals else 0.0, self._rows.get(team)
        # The steady clock bounds the age of a row also after a step of the wall clock.
        if read is None or now_ms - read.read_ms > ITEM_LIFETIME_MS:
            return _View(weight, own, None, None)
        others = [
            (wall_ms - item.measured_ms, item.rate)
            for pool, item in read.row.items()
            if pool != self.pool
            and pool in catalog.pools
            and 0 <= wall_ms - item.measured_ms <= ITEM_LIFETIME_MS
        ]
        return _View(weight, own, others, read.row.get(self.pool))

    def _changes(
        self, team: TeamName, view: _View, now_ms: int
    ) -> list[SharePortionChanged]:
        """Returns the report of a portion that has changed by enough."""
        unreported = (float(view.weight), now_ms - LOG_EVERY_MS)
        last, at_ms = self._reported.get(team, unreported)
        portion = view.portion.rate
        if now_ms - at_ms < LOG_EVERY_MS or not _is_notable(last, portion):
            return []
        self._reported[team] = portion, now_ms
        row_age_ms = None if view.others is None else now_ms - self._rows[team].read_ms
        return [SharePortionChanged(team, view.own, portion, view.weight, row_age_ms)]


def _is_claim_due(view: _View, wall_ms: int) -> bool:
    """Returns whether a pool's rate is to be written, or other rates to be read.

    Other rates are read once a second only for a team that seems to be above its
    weight; a flood changes the pool's own rate, so that others are read with it.
    """
    if view.others is None or _is_write_due(view.item, view.own, wall_ms):
        return True
    return view.total > view.weight


def _is_write_due(item: ShareItem | None, rate: float, wall_ms: int) -> bool:
    """Returns whether a pool's rate has to be written over its item in the row."""
    age_ms = wall_ms - item.measured_ms if item else -1
    if item is None or not 0 <= age_ms <= ITEM_LIFETIME_MS:
        return True
    if age_ms < CLAIM_EVERY_MS:
        return False
    return age_ms >= RENEW_MS or _is_notable(item.rate, rate)


def _is_notable(old: float, new: float) -> bool:
    return abs(new - old) > NOTABLE_CHANGE * old


def _count_pools(catalog: Catalog) -> int:
    """Returns the number of pools that can receive jobs."""
    return max(sum(not pool.is_standby for pool in catalog.pools.values()), 1)
