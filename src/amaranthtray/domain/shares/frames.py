"""Usage reports that entries and zones exchange."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..ids import Incarnation, Millis, PoolName, TeamName


@dataclass(frozen=True, slots=True)
class UsageFrame:
    """Slot time used since the source started, per pool and team.

    The sums of a source only grow, so a lost, late or repeated frame does no harm.
    An aggregator of many sources sends slots instead of sums: they are smaller and,
    at a longer period, fresher.

    Attributes:
        source: One incarnation of an entry, or of a zone's aggregator.
        at_ms: Time of the frame on the source's monotonic clock.
        sums: Slot milliseconds by pool and team, without those that have not
            changed for long.
        waiting: Teams of each pool that wait for a slot and are not at their limit.
        slots: Slots in use when the frame was made, by pool and team.
    """

    source: Incarnation
    at_ms: Millis
    sums: dict[PoolName, dict[TeamName, int]] = field(default_factory=dict)
    waiting: dict[PoolName, tuple[TeamName, ...]] = field(default_factory=dict)
    slots: dict[PoolName, dict[TeamName, int]] = field(default_factory=dict)
