"""Teams' caps over all pools: each pool holds a portion and never starts beyond it.

The portions of one team lie in one stored row, which pools change by
compare-and-swap, so that their sum stays within the cap. A lowered cap makes the sum
too large for a while; until the portions have shrunk no pool starts for the team.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from ..ids import PoolName, TeamName
from ..jobs.model import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from ..jobs.catalog import Catalog

UNLIMITED = 1 << 60

SLAB_SHARE = 4
"""All pools together claim this part of a cap beyond their need, so that they claim
seldom. What they hold in vain is missing where a gang or a large task waits."""

SHRINK_EVERY_MS = 2_000
"""Time between looks whether a portion is larger than its pool needs."""

RECLAIM_MS = 100
"""Time between claims for a team whose cap is spent."""

PortionRow: TypeAlias = "dict[PoolName, Resources]"
"""The portions of one team by pool."""


@dataclass(frozen=True, slots=True)
class ClaimPortion:
    """Change the pool's portion of a team's cap.

    Attributes:
        team: The team.
        used: What runs, which the portion can't be below.
        want: What the portion is to be; the row may have less to give.
        cap: The team's cap.
    """

    team: TeamName
    used: Resources
    want: Resources
    cap: Resources


@dataclass(frozen=True, slots=True)
class PortionsRead:
    """A team's row as it was just read or written."""

    team: TeamName
    row: Mapping[PoolName, Resources]


def limits_of(cap: Resources) -> Resources:
    """Returns a cap with the amounts that have no limit made very large."""
    return Resources(*(amount or UNLIMITED for amount in cap))


def claim(row: PortionRow, pool: PoolName, asked: ClaimPortion) -> PortionRow:
    """Returns the row with the portion that can be given."""
    others = total({name: each for name, each in row.items() if name != pool})
    left = limits_of(asked.cap).minus(others)
    portion = Resources(
        *(
            max(used, min(want, room))
            for used, want, room in zip(asked.used, asked.want, left, strict=True)
        )
    )
    return {**row, pool: portion}


def total(row: Mapping[PoolName, Resources]) -> Resources:
    """Returns the sum of a row's portions."""
    result = NO_RESOURCES
    for portion in row.values():
        result = result.plus(portion)
    return result


@dataclass(slots=True)
class CapBook:
    """What one pool knows of the caps.

    Attributes:
        pool: The pool.
        used: What each team has running here.
        rows: Rows as last read.
        asked_ms: When a claim was last made, by team.
        wanted: Needs that found no room since the last claims, by team.
    """

    pool: PoolName
    used: dict[TeamName, Resources] = field(default_factory=dict)
    rows: dict[TeamName, Mapping[PoolName, Resources]] = field(default_factory=dict)
    asked_ms: dict[TeamName, int] = field(default_factory=dict)
    wanted: dict[TeamName, Resources] = field(default_factory=dict)

    def add(self, team: TeamName, need: Resources) -> None:
        """Takes a run that may be somewhere."""
        self.used[team] = self.used.get(team, NO_RESOURCES).plus(need)

    def remove(self, team: TeamName, need: Resources) -> None:
        """Takes the end of a run."""
        self.used[team] = self.used.get(team, NO_RESOURCES).minus(need)

    def count_that_fits(
        self,
        catalog: Catalog,
        team: TeamName,
        need: Resources,
        count: int,
        *,
        is_gang: bool = False,
    ) -> int:
        """Returns how many more tasks the team may start here now.

        Args:
            catalog: Configuration in force.
            team: The team.
            need: What each task counts for.
            count: Number of tasks that wait.
            is_gang: Whether they start all together or not at all.
        """
        cap = self._cap(catalog, team)
        if cap is None:
            return count
        row = self.rows.get(team, {})
        is_over = not total(row).fits(limits_of(cap))
        portion = row.get(self.pool, NO_RESOURCES)
        left = portion.minus(self.used.get(team, NO_RESOURCES))
        fitting = 0 if is_over else _times(need, left, count)
        if fitting < count:
            if is_gang:
                fitting = 0
            lacking = need.times(count - fitting)
            self.wanted[team] = self.wanted.get(team, NO_RESOURCES).plus(lacking)
        return fitting

    def claims(self, catalog: Catalog, now_ms: int) -> list[ClaimPortion]:
        """Returns the claims that are due."""
        claims = []
        for team in {*self.wanted, *self.rows}:
            cap = self._cap(catalog, team)
            if cap is None:
                continue
            since_ms = now_ms - self.asked_ms.get(team, now_ms - SHRINK_EVERY_MS)
            slab = _slab(catalog, cap)
            want = self._want(team, cap, slab)
            due_ms = SHRINK_EVERY_MS if want is None else RECLAIM_MS
            if since_ms < due_ms:
                continue
            used = self.used.get(team, NO_RESOURCES)
            asked = self._shrunk(team, slab) if want is None else want
            if asked is not None:
                self.asked_ms[team] = now_ms
                self._lower(team, asked)
                claims.append(ClaimPortion(team, used, asked, cap))
        self.wanted.clear()
        return claims

    def take_catalog(self, old: Catalog, new: Catalog) -> None:
        """Forgets rows of lowered caps: what others hold of them has to be read."""
        for team in list(self.rows):
            before, after = self._cap(old, team), self._cap(new, team)
            if after is None:
                continue
            if before is None or not limits_of(before).fits(limits_of(after)):
                del self.rows[team]

    def _lower(self, team: TeamName, asked: Resources) -> None:
        """Goes by the smaller portion at once: the reply to a claim may be lost."""
        row = self.rows.get(team, {})
        portion = row.get(self.pool, NO_RESOURCES)
        least = Resources(*map(min, portion, asked))
        self.rows[team] = {**row, self.pool: least}

    def _want(
        self, team: TeamName, cap: Resources, slab: Resources
    ) -> Resources | None:
        """Returns a larger portion, or a smaller one where the sum is too large."""
        used, row = self.used.get(team, NO_RESOURCES), self.rows.get(team, {})
        if team in self.wanted:
            return used.plus(self.wanted[team]).plus(slab)
        portion = row.get(self.pool, NO_RESOURCES)
        is_over = not total(row).fits(limits_of(cap))
        return used if is_over and portion != used else None

    def _shrunk(self, team: TeamName, slab: Resources) -> Resources | None:
        """Returns a portion without what the pool has not needed lately."""
        used = self.used.get(team, NO_RESOURCES)
        portion = self.rows.get(team, {}).get(self.pool, NO_RESOURCES)
        if not any(used):
            return NO_RESOURCES if any(portion) else None
        enough = used.plus(slab)
        return None if portion.fits(enough.plus(slab)) else enough

    def _cap(self, catalog: Catalog, team: TeamName) -> Resources | None:
        known = catalog.teams.get(team)
        return known.cap if known is not None and any(known.cap) else None


def _slab(catalog: Catalog, cap: Resources) -> Resources:
    pools = sum(not pool.is_standby for pool in catalog.pools.values())
    return Resources(*(amount // (SLAB_SHARE * max(pools, 1)) for amount in cap))


def _times(need: Resources, left: Resources, count: int) -> int:
    """Returns how often ``need`` fits into ``left``, at most ``count`` times."""
    fitting = [room // each for each, room in zip(need, left, strict=True) if each]
    return max(0, min([count, *fitting]))
