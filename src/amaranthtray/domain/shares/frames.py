"""Usage sums as entries and zones exchange them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..ids import Incarnation, Millis, PoolName, TeamName


@dataclass(frozen=True, slots=True)
class UsageFrame:
    """Slot time used since the source started, per pool and team.

    Sums only grow within a source, so a lost, late or repeated frame does no harm.
    A relay of many sources sends slots in place of sums: they are smaller and, at a
    longer period, fresher.

    Attributes:
        source: One run of an entry, or of a zone's relay.
        at_ms: When it was made, on the source's monotonic clock.
        sums: Slot milliseconds by pool and team; sums that have not changed for
            long are left out.
        waiting: Teams of each pool that wait for a slot; not those at their limit.
        slots: Slots in use when the frame was made, by pool and team.
    """

    source: Incarnation
    at_ms: Millis
    sums: dict[PoolName, dict[TeamName, int]] = field(default_factory=dict)
    waiting: dict[PoolName, tuple[TeamName, ...]] = field(default_factory=dict)
    slots: dict[PoolName, dict[TeamName, int]] = field(default_factory=dict)
