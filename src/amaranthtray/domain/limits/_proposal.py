"""Computes the change that a zone proposes to a team's row, without side effects."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..ids import Revision, ZoneId
from .ledger import Portion, TeamRow
from .split import fair_split

DEMAND_STEPS = 16
"""A published demand is rounded up to a multiple of the limit divided by this."""

HEADROOM_DIVISOR = 8
"""A zone acquires its need plus the need divided by this."""


@dataclass(frozen=True, slots=True)
class TeamView:
    """One team as a zone's steward sees it.

    Attributes:
        zone: The zone.
        epoch: Epoch of the zone's steward.
        limit: Upper limit in the configuration that the steward has in force.
        revision: Revision of that configuration.
        need: Units that the team's work in the zone could use.
        max_running: Maximum number of tasks that the team can be running in the zone.
        quota: Maximum number of permanent units of the zone.
        reserve: Units that the zone keeps even without need for them.
        silent: Other zones that have missed several renewals of their records.
        is_shrink_overdue: Whether the zones have held more than the limit for longer
            than ``EscrowTiming.overdue_ms``.
        is_rotation_due: Whether the rotation may advance.
    """

    zone: ZoneId
    epoch: int
    limit: int
    revision: Revision
    need: int
    max_running: int
    quota: int
    reserve: int
    silent: frozenset[ZoneId] = frozenset()
    is_shrink_overdue: bool = False
    is_rotation_due: bool = False


@dataclass(frozen=True, slots=True)
class Proposal:
    """A zone's next action for one team.

    Attributes:
        row: The row to write; equal to the current one if nothing changes.
        target: Units that the zone's entries may hold from now on.
    """

    row: TeamRow
    target: int


def propose(row: TeamRow, view: TeamView) -> Proposal:
    """Returns the next row and target.

    Args:
        row: The team's current row without the leased units of fenced epochs.
        view: The zone's state and what it knows about the others.
    """
    is_idle = not view.need and not view.max_running and not view.reserve
    if is_idle and view.zone not in row.portions:
        return Proposal(row, 0)
    if view.revision > row.revision:
        row = replace(row, limit=view.limit, revision=view.revision)
    own = row.portions.get(view.zone, Portion(view.epoch, basis=row.limit))
    demands = _demands(row, view)
    allocations = fair_split(row.limit, demands, rotation=row.rotation)
    target = _target(row, own, demands, allocations, view)
    units = target if target >= own.units else max(target, view.max_running)
    units = min(units, max(own.units, target))
    if allocations[view.zone] == 0 < min(view.need, row.limit) and view.is_rotation_due:
        row = replace(row, rotation=row.rotation + 1)
    demand = _published_demand(row, own, units, allocations, view)
    return Proposal(_with_units(row, own, units, target, demand, view), target)


def scaled_units(portion: Portion, limit: int) -> int:
    """Returns the units, scaled down if ``limit`` is below the portion's basis."""
    if limit >= portion.basis:
        return portion.units
    return portion.units * limit // portion.basis


def _demands(row: TeamRow, view: TeamView) -> dict[ZoneId, int]:
    demands = {
        zone: portion.units if zone in view.silent else portion.demand
        for zone, portion in row.portions.items()
    }
    demands[view.zone] = min(view.need, row.limit)
    return demands


def _target(
    row: TeamRow,
    own: Portion,
    demands: dict[ZoneId, int],
    allocations: dict[ZoneId, int],
    view: TeamView,
) -> int:
    free = row.limit - row.held()
    if free < 0:
        return _target_over_limit(row, own, free, view)
    allocation = allocations[view.zone]
    is_contended = sum(demands.values()) > row.limit
    useful = allocation if is_contended else _with_headroom(view)
    if useful > own.units:
        is_short = view.need > own.units or own.units < view.reserve
        return min(useful, own.units + free) if is_short else own.units
    if _shortfall_elsewhere(row, demands, allocations, view) > free:
        return allocation if is_contended else max(view.need, view.reserve)
    return own.units


def _target_over_limit(row: TeamRow, own: Portion, free: int, view: TeamView) -> int:
    """Returns this zone's target while the zones hold more than a lowered limit.

    A zone that is unreachable keeps its units; once the shrinking is overdue, the
    other zones give up more to compensate for it.
    """
    scaled = scaled_units(own, row.limit)
    if not view.is_shrink_overdue:
        return scaled
    return max(0, min(scaled, own.units + free))


def _with_headroom(view: TeamView) -> int:
    headroom = -(-view.need // HEADROOM_DIVISOR)
    return max(view.need + headroom, view.reserve)


def _shortfall_elsewhere(
    row: TeamRow,
    demands: dict[ZoneId, int],
    allocations: dict[ZoneId, int],
    view: TeamView,
) -> int:
    """Returns the units that the other zones lack to reach their fair allocation."""
    return sum(
        max(0, allocations[zone] - row.portions[zone].units)
        for zone in demands
        if zone != view.zone and zone not in view.silent
    )


def _published_demand(
    row: TeamRow,
    own: Portion,
    units: int,
    allocations: dict[ZoneId, int],
    view: TeamView,
) -> int:
    """Returns the demand to publish.

    It follows the need only where that affects an allocation: it rises only while
    some zone is short of units, and falls only while another zone is short or this
    zone returns units.
    """
    step = max(1, row.limit // DEMAND_STEPS)
    demand = min(row.limit, -(-view.need // step) * step)
    is_short = view.need > units
    is_short_elsewhere = any(
        allocations[zone] > portion.units
        for zone, portion in row.portions.items()
        if zone != view.zone and zone not in view.silent
    )
    if demand > own.demand and not (is_short or is_short_elsewhere):
        return own.demand
    if demand < own.demand and not (is_short_elsewhere or units < own.units):
        return own.demand
    return demand


def _with_units(
    row: TeamRow, own: Portion, units: int, target: int, demand: int, view: TeamView
) -> TeamRow:
    permanent = min(units, view.quota)
    if units == own.units:
        permanent = min(own.permanent, units)
    basis = _basis(own, units, target, row.limit)
    portion = Portion(view.epoch, permanent, units - permanent, demand, basis)
    return row.with_portion(view.zone, portion)


def _basis(own: Portion, units: int, target: int, limit: int) -> int:
    """Returns a basis with which ``scaled_units`` reduces ``units`` to ``target``."""
    if limit >= own.basis or units <= target:
        return limit
    return units * limit // target if target else units * limit + 1
