"""Cost of the control plane to an entry, in virtual time with encoded frames."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.configuration.changes import PutTeam
from ..domain.configuration.model import Team
from ..domain.ids import TeamName
from ._virtual_fleet import VirtualFleet

if TYPE_CHECKING:
    from ..domain.configuration.model import Configuration
    from ._virtual_fleet import VirtualEntry

SETTLE_MS = 45_000
MEASURED_MS = 60_000
MS_PER_S = 1_000
CHANGES_PER_DAY = 1_800
DAY_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Costs of the busiest entry (stewards or others) and calls of the whole fleet.

    Attributes:
        bytes_per_s: Bytes sent and received, with the headers of all layers.
        frames_per_s: Frames sent and received.
        busy_ms_per_s: Time spent on decisions and the codec.
        calls_per_s: Calls of the whole fleet to the platform, without watches.
    """

    bytes_per_s: float
    frames_per_s: float
    busy_ms_per_s: float
    calls_per_s: float


def measure_cost(
    zones: dict[str, int],
    *,
    cfg: Configuration | None = None,
    of_stewards: bool = True,
) -> ControlCost:
    """Runs a fleet at the rate of changes that is expected in two years.

    Args:
        zones: Entries of each availability zone.
        cfg: Initial configuration of every entry.
        of_stewards: Whether to measure stewards or the other entries.
    """
    fleet = VirtualFleet(zones, cfg=cfg)
    fleet.run(SETTLE_MS)
    entries = [
        entry for entry in fleet.entries.values() if _is_steward(entry) == of_stewards
    ]
    before = [
        (entry, entry.bytes_total, entry.frames, entry.busy_s) for entry in entries
    ]
    calls = fleet.platform_call_count()
    changes = max(1, MEASURED_MS * CHANGES_PER_DAY // DAY_MS)
    first = min(fleet.entries)
    for number in range(changes):
        fleet.commit(first, PutTeam(Team(TeamName(f"t{number}"))))
        fleet.run(MEASURED_MS // changes)
    seconds = MEASURED_MS / MS_PER_S
    return ControlCost(
        max(entry.bytes_total - sent for entry, sent, _, _ in before) / seconds,
        max(entry.frames - frames for entry, _, frames, _ in before) / seconds,
        max(entry.busy_s - busy for entry, _, _, busy in before) * MS_PER_S / seconds,
        (fleet.platform_call_count() - calls) / seconds,
    )


def _is_steward(entry: VirtualEntry) -> bool:
    return bool(entry.control.members.steward_term)
