"""Caps on the running tasks of a team over all pools.

Each pool holds a portion of the cap and never starts tasks beyond it. The portions of
one team are in one stored row, which pools change by compare-and-swap, so that their
sum stays within the cap. A lowered cap leaves the sum too large for a while; no pool
starts tasks of the team until the portions have shrunk.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from ..ids import PoolName, TeamName
from ..jobs.model import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from ..jobs.catalog import Catalog
    from ..jobs.model import StepSpec

UNLIMITED = 1 << 60

UNLIMITED_ROOM = Resources(UNLIMITED, UNLIMITED, UNLIMITED)

SLACK_DIVISOR = 4
"""All pools together claim up to the cap divided by this beyond their need, so that
claims are rare. More slack could leave too little for a gang or a large task."""

SHRINK_CHECK_MS = 2_000
"""Time between checks whether a portion is larger than its pool needs."""

CLAIM_RETRY_MS = 100
"""Time between claims for a team whose cap is exhausted."""

HOLD_MS = 1_000
"""Time for which a pool collects a portion that is too small to start anything with.
Without a limit, two pools that collect parts of one cap could wait for each other."""

REST_MS = 1_000
"""Time after that in which the pool takes a portion only if it can start something."""

SLACK_KEPT_MS = 4_000
"""Time after the last start of a team's tasks for which the pool keeps slack."""

PortionRow: TypeAlias = "dict[PoolName, Resources]"
"""The portions of one team by pool."""


@dataclass(frozen=True, slots=True)
class ClaimPortion:
    """Requests a change of the pool's portion of a team's cap.

    Attributes:
        team: Team whose cap is claimed.
        used: Resources in use, the lower bound of the portion.
        want: Requested portion; less is granted if the cap leaves less.
        cap: The team's cap.
        least: Portion below which only ``used`` is taken.
        number: Number of the claim; it grows with each claim of the pool.
    """

    team: TeamName
    used: Resources
    want: Resources
    cap: Resources
    least: Resources = NO_RESOURCES
    number: int = 0


@dataclass(frozen=True, slots=True)
class PortionsRead:
    """The portions of a team's cap were read or written.

    Attributes:
        team: The team.
        row: Its portions.
        number: Number of the claim; 0 if the pool made none yet.
    """

    team: TeamName
    row: Mapping[PoolName, Resources]
    number: int = 0


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """A claim had no certain result; the portions may have changed."""

    team: TeamName
    number: int


def upper_bounds(cap: Resources) -> Resources:
    """Returns a cap in which amounts without a limit are very large."""
    return Resources(*(amount or UNLIMITED for amount in cap))


def claim(row: PortionRow, pool: PoolName, request: ClaimPortion) -> PortionRow:
    """Returns the row with the largest portion that the claim can get."""
    others = total({name: each for name, each in row.items() if name != pool})
    left = upper_bounds(request.cap).minus(others)
    portion = Resources(
        *(
            max(used, min(want, room))
            for used, want, room in zip(request.used, request.want, left, strict=True)
        )
    )
    return {**row, pool: portion if request.least.fits(portion) else request.used}


def total(row: Mapping[PoolName, Resources]) -> Resources:
    """Returns the sum of a row's portions."""
    result = NO_RESOURCES
    for portion in row.values():
        result = result.plus(portion)
    return result


@dataclass(slots=True)
class CapTracker:
    """The portions of caps that one pool holds, uses and lacks.

    Attributes:
        pool: Name of the pool.
        used: Resources that each team uses in the pool.
        rows: Rows as last read, with claims that shrink a portion already applied.
        claimed_ms: Steady-clock time of the last claim, by team.
        room: Free resources of the hosts; a larger portion can't be used.
        host_count: Number of hosts that accept runs.
        unmet: Needs that exceeded the portion since the last claims, by team.
        too_large: Least of the needs that found no room in the portion while nothing
            else did, since the last claims, by team.
        usable: Teams of which something fitted since the last claims.
        held_ms: Steady-clock time since which a portion is too small to start
            anything, by team.
        resting_until_ms: Steady-clock time until which such a portion is not collected
            again, by team.
        grown: Teams of which tasks were started since the last claims.
        grown_ms: Steady-clock time of the claims after the last start, by team.
        open_claims: Number of the last claim, by team, until it has a reply.
        last_number: Number of the last claim.
        unread: Teams whose stored row may differ from the known one: their cap was
            lowered or introduced, or a claim has had no reply.
    """

    pool: PoolName
    used: dict[TeamName, Resources] = field(default_factory=dict)
    rows: dict[TeamName, Mapping[PoolName, Resources]] = field(default_factory=dict)
    claimed_ms: dict[TeamName, int] = field(default_factory=dict)
    room: Resources = UNLIMITED_ROOM
    host_count: int = UNLIMITED
    unmet: dict[TeamName, Resources] = field(default_factory=dict)
    too_large: dict[TeamName, Resources] = field(default_factory=dict)
    usable: set[TeamName] = field(default_factory=set)
    held_ms: dict[TeamName, int] = field(default_factory=dict)
    resting_until_ms: dict[TeamName, int] = field(default_factory=dict)
    grown: set[TeamName] = field(default_factory=set)
    grown_ms: dict[TeamName, int] = field(default_factory=dict)
    open_claims: dict[TeamName, int] = field(default_factory=dict)
    last_number: int = 0
    unread: set[TeamName] = field(default_factory=set)

    def add(self, team: TeamName, need: Resources) -> None:
        """Adds the resources of a run that may be on a host."""
        self.used[team] = self.used.get(team, NO_RESOURCES).plus(need)
        self.grown.add(team)

    def remove(self, team: TeamName, need: Resources) -> None:
        """Releases the resources of a run that has ended."""
        self.used[team] = self.used.get(team, NO_RESOURCES).minus(need)

    def apply_reply(self, reply: PortionsRead | ClaimFailed) -> None:
        """Takes over the result of a claim, or the row that a new conductor has read.

        A claim is open until its reply; that of an earlier one is ignored, as the later
        one may yet return what it shows.
        """
        team = reply.team
        if reply.number != self.open_claims.get(team, reply.number):
            return
        self.open_claims.pop(team, None)
        if isinstance(reply, PortionsRead):
            self.rows[team] = reply.row
            self.unread.discard(team)

    def apply_room(self, rooms: Sequence[Resources]) -> None:
        """Takes over the free resources of each host that accepts runs."""
        self.host_count = len(rooms)
        self.room = NO_RESOURCES
        for room in rooms:
            self.room = self.room.plus(Resources(*(max(each, 0) for each in room)))

    def count_that_fits(
        self,
        catalog: Catalog,
        team: TeamName,
        need: Resources,
        count: int,
        *,
        is_gang: bool = False,
        max_per_host: int = 0,
    ) -> int:
        """Returns how many more tasks the team may start in the pool now.

        Args:
            catalog: Configuration in force.
            team: Team that owns the tasks.
            need: Resources that each task needs.
            count: Number of waiting tasks.
            is_gang: Whether the tasks start all together or not at all.
            max_per_host: Tasks of the step that may share a host; 0 without a limit.
        """
        cap = self._cap(catalog, team)
        if cap is None:
            return count
        row = self.rows.get(team, {})
        is_exceeded = not total(row).fits(upper_bounds(cap))
        portion = row.get(self.pool, NO_RESOURCES)
        left = portion.minus(self.used.get(team, NO_RESOURCES))
        fitting = 0 if is_exceeded else _count_fitting(need, left, count)
        if fitting < count:
            if is_gang:
                fitting = 0
            placeable = _count_fitting(need, self.room, count)
            if max_per_host:
                placeable = min(placeable, max_per_host * self.host_count)
            if placeable > fitting and (placeable == count or not is_gang):
                self._record_unmet(team, need, placeable, fitting, is_gang=is_gang)
        if fitting:
            self.usable.add(team)
        return fitting

    def may_ever_fit(self, catalog: Catalog, team: TeamName, step: StepSpec) -> bool:
        """Returns whether all tasks of a step may run at once within the team's cap."""
        cap = self._cap(catalog, team)
        return cap is None or step.need.times(step.count).fits(upper_bounds(cap))

    def _record_unmet(
        self,
        team: TeamName,
        need: Resources,
        placeable: int,
        fitting: int,
        *,
        is_gang: bool,
    ) -> None:
        """Records what a step lacks in the portion, up to the room of the hosts.

        Args:
            team: Team that owns the tasks.
            need: Resources that each task needs.
            placeable: Number of waiting tasks that the hosts have room for.
            fitting: Number of them that the portion has room for.
            is_gang: Whether the tasks start all together or not at all.
        """
        lacking = need.times(placeable - fitting)
        unmet = self.unmet.get(team, NO_RESOURCES).plus(lacking)
        self.unmet[team] = Resources(*map(min, unmet, self.room))
        if not fitting:
            whole = need.times(placeable) if is_gang else need
            self.too_large[team] = min(whole, self.too_large.get(team, whole))

    def claims(self, catalog: Catalog, now_ms: int) -> list[ClaimPortion]:
        """Returns the claims that are due; each is repeated until it has a reply."""
        claims = []
        for team in {*self.unmet, *self.rows, *self.unread}:
            cap = self._cap(catalog, team)
            if cap is None:
                continue
            since_ms = now_ms - self.claimed_ms.get(team, now_ms - SHRINK_CHECK_MS)
            self._record_growth(team, now_ms)
            slack = _slack(catalog, cap)
            if now_ms - self.grown_ms.get(team, now_ms) >= SLACK_KEPT_MS:
                slack = NO_RESOURCES
            urgent = self._urgent_portion(team, cap, slack)
            is_urgent = urgent is not None and team not in self.open_claims
            if since_ms < (CLAIM_RETRY_MS if is_urgent else SHRINK_CHECK_MS):
                continue
            used = self.used.get(team, NO_RESOURCES)
            portion = self._shrunk_portion(team, slack) if urgent is None else urgent
            if portion is None and team in self.unread:
                portion = self._sufficient_portion(team, slack)
            if portion is not None:
                self.claimed_ms[team] = now_ms
                self.unread.add(team)
                least = self._least_portion(team, now_ms)
                self._shrink_row(team, portion)
                self.last_number += 1
                number = self.open_claims[team] = self.last_number
                claims.append(ClaimPortion(team, used, portion, cap, least, number))
        self.unmet.clear()
        self.too_large.clear()
        self.usable.clear()
        return claims

    def _record_growth(self, team: TeamName, now_ms: int) -> None:
        if team in self.grown:
            self.grown.remove(team)
            self.grown_ms[team] = now_ms

    def _least_portion(self, team: TeamName, now_ms: int) -> Resources:
        """Returns the least portion to take; a smaller one is collected for a time."""
        need = self.too_large.get(team)
        if need is None or team in self.usable:
            self.held_ms.pop(team, None)
            return NO_RESOURCES
        used = self.used.get(team, NO_RESOURCES)
        portion = self.rows.get(team, {}).get(self.pool, NO_RESOURCES)
        if portion.fits(used):
            self.held_ms.pop(team, None)
        elif now_ms - self.held_ms.setdefault(team, now_ms) >= HOLD_MS:
            self.resting_until_ms[team] = now_ms + REST_MS
        is_resting = now_ms < self.resting_until_ms.get(team, now_ms)
        return used.plus(need) if is_resting else NO_RESOURCES

    def apply_catalog(self, old: Catalog, new: Catalog) -> None:
        """Removes rows of lowered caps: all pools' portions must be read again.

        That holds also for a pool with nothing more to start, as others may use only
        what it returns.
        """
        for team in {*self.rows, *self.used}:
            before, after = self._cap(old, team), self._cap(new, team)
            if after is None:
                continue
            if before is None or not upper_bounds(before).fits(upper_bounds(after)):
                self.rows.pop(team, None)
                self.claimed_ms.pop(team, None)
                self.unread.add(team)

    def _shrink_row(self, team: TeamName, claimed: Resources) -> None:
        """Applies a smaller portion at once, as the reply to a claim may be lost."""
        row = self.rows.get(team, {})
        portion = row.get(self.pool, NO_RESOURCES)
        least = Resources(*map(min, portion, claimed))
        self.rows[team] = {**row, self.pool: least}

    def _urgent_portion(
        self, team: TeamName, cap: Resources, slack: Resources
    ) -> Resources | None:
        """Returns a larger portion for unmet needs, or a smaller one above the cap."""
        used, row = self.used.get(team, NO_RESOURCES), self.rows.get(team, {})
        if team in self.unmet:
            return used.plus(self.unmet[team]).plus(slack)
        portion = row.get(self.pool, NO_RESOURCES)
        is_exceeded = not total(row).fits(upper_bounds(cap))
        return used if is_exceeded and portion != used else None

    def _shrunk_portion(self, team: TeamName, slack: Resources) -> Resources | None:
        """Returns a smaller portion if the pool holds more than its use and slack."""
        portion = self.rows.get(team, {}).get(self.pool, NO_RESOURCES)
        enough = self._sufficient_portion(team, slack)
        if not any(enough):
            return NO_RESOURCES if any(portion) else None
        return None if portion.fits(enough.plus(slack)) else enough

    def _sufficient_portion(self, team: TeamName, slack: Resources) -> Resources:
        """Returns what the pool uses, and slack if it uses anything."""
        used = self.used.get(team, NO_RESOURCES)
        return used.plus(slack) if any(used) else NO_RESOURCES

    def _cap(self, catalog: Catalog, team: TeamName) -> Resources | None:
        owner = catalog.teams.get(team)
        return owner.cap if owner is not None and any(owner.cap) else None


def _slack(catalog: Catalog, cap: Resources) -> Resources:
    """Returns how much of a cap one pool may hold beyond its use."""
    pools = sum(not pool.is_standby for pool in catalog.pools.values())
    return Resources(*(amount // (SLACK_DIVISOR * max(pools, 1)) for amount in cap))


def _count_fitting(need: Resources, left: Resources, count: int) -> int:
    """Returns how often ``need`` fits into ``left``, at most ``count`` times."""
    fitting = [room // each for each, room in zip(need, left, strict=True) if each]
    return max(0, min([count, *fitting]))
