"""What a zone wants to change in a team's row; a pure function of what it sees."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..ids import Revision, ZoneId
from .ledger import Portion, TeamRow
from .split import fair_split

WANT_STEPS = 16
"""A published want is rounded up to this part of the limit."""

HEADROOM_PARTS = 8
"""Units taken beyond the need, as a part of the need."""


@dataclass(frozen=True, slots=True)
class Situation:
    """A zone's view of one team.

    Attributes:
        zone: The zone.
        epoch: Its epoch.
        limit: Upper limit of its configuration.
        revision: That configuration's revision.
        need: Units that the team's work in the zone could use.
        charged: Most tasks that the team can be running in the zone.
        quota: Most units that the zone holds firm.
        reserve: Units that the zone keeps although it has no use for them.
        silent: Zones whose records have not been renewed for long.
        is_overdue: Whether more than the limit has been held for a while.
        is_turn_due: Whether the turn may pass on.
    """

    zone: ZoneId
    epoch: int
    limit: int
    revision: Revision
    need: int
    charged: int
    quota: int
    reserve: int
    silent: frozenset[ZoneId] = frozenset()
    is_overdue: bool = False
    is_turn_due: bool = False


@dataclass(frozen=True, slots=True)
class Proposal:
    """What a zone is going to do about one team.

    Attributes:
        row: The row to write; equal to the one seen if there is nothing to do.
        target: Units that the zone's entries may hold from now on.
    """

    row: TeamRow
    target: int


def propose(row: TeamRow, now: Situation) -> Proposal:
    """Returns the next row and target; ``row`` is without void units."""
    is_idle = not now.need and not now.charged and not now.reserve
    if is_idle and now.zone not in row.portions:
        return Proposal(row, 0)
    if now.revision > row.revision:
        row = replace(row, limit=now.limit, revision=now.revision)
    mine = row.portions.get(now.zone, Portion(now.epoch, basis=row.limit))
    wants = _wants(row, now)
    parts = fair_split(row.limit, wants, turn=row.turn)
    target = _target(row, mine, wants, parts, now)
    units = target if target >= mine.units else max(target, now.charged)
    units = min(units, max(mine.units, target))
    if parts[now.zone] == 0 < min(now.need, row.limit) and now.is_turn_due:
        row = replace(row, turn=row.turn + 1)
    want = _published_want(row, mine, units, parts, now)
    return Proposal(_with_units(row, mine, units, target, want, now), target)


def scaled_units(portion: Portion, limit: int) -> int:
    """Returns the units that fit ``limit`` if it is below the portion's basis."""
    if limit >= portion.basis:
        return portion.units
    return portion.units * limit // portion.basis


def _wants(row: TeamRow, now: Situation) -> dict[ZoneId, int]:
    wants = {
        zone: portion.units if zone in now.silent else portion.want
        for zone, portion in row.portions.items()
    }
    wants[now.zone] = min(now.need, row.limit)
    return wants


def _target(
    row: TeamRow,
    mine: Portion,
    wants: dict[ZoneId, int],
    parts: dict[ZoneId, int],
    now: Situation,
) -> int:
    free = row.limit - row.held()
    if free < 0:
        return _over_limit(row, mine, free, now)
    part = parts[now.zone]
    is_contended = sum(wants.values()) > row.limit
    useful = part if is_contended else _with_headroom(now)
    if useful > mine.units:
        is_short = now.need > mine.units or mine.units < now.reserve
        return min(useful, mine.units + free) if is_short else mine.units
    if _others_lack(row, wants, parts, now) > free:
        return part if is_contended else max(now.need, now.reserve)
    return mine.units


def _over_limit(row: TeamRow, mine: Portion, free: int, now: Situation) -> int:
    """Returns this zone's part of a limit that was lowered.

    Zones that cannot be reached keep theirs; after a while the others make up for it.
    """
    fitting = scaled_units(mine, row.limit)
    if not now.is_overdue:
        return fitting
    return max(0, min(fitting, mine.units + free))


def _with_headroom(now: Situation) -> int:
    headroom = -(-now.need // HEADROOM_PARTS)
    return max(now.need + headroom, now.reserve)


def _others_lack(
    row: TeamRow,
    wants: dict[ZoneId, int],
    parts: dict[ZoneId, int],
    now: Situation,
) -> int:
    """Returns the units that other zones could use and do not hold."""
    return sum(
        max(0, parts[zone] - row.portions[zone].units)
        for zone in wants
        if zone != now.zone and zone not in now.silent
    )


def _published_want(
    row: TeamRow,
    mine: Portion,
    units: int,
    parts: dict[ZoneId, int],
    now: Situation,
) -> int:
    """Returns the want to publish; it follows the need only where it matters."""
    step = max(1, row.limit // WANT_STEPS)
    want = min(row.limit, -(-now.need // step) * step)
    is_short = now.need > units
    is_asked = any(
        parts[zone] > portion.units
        for zone, portion in row.portions.items()
        if zone != now.zone and zone not in now.silent
    )
    if want > mine.want and not (is_short or is_asked):
        return mine.want
    if want < mine.want and not (is_asked or units < mine.units):
        return mine.want
    return want


def _with_units(
    row: TeamRow, mine: Portion, units: int, target: int, want: int, now: Situation
) -> TeamRow:
    firm = min(units, now.quota)
    if units == mine.units:
        firm = min(mine.firm, units)
    basis = _basis(mine, units, target, row.limit)
    portion = Portion(now.epoch, firm, units - firm, want, basis)
    return row.with_portion(now.zone, portion)


def _basis(mine: Portion, units: int, target: int, limit: int) -> int:
    """Returns the basis that still scales ``units`` down to ``target``."""
    if limit >= mine.basis or units <= target:
        return limit
    return units * limit // target if target else units * limit + 1
