"""Configuration and peers: reverts, propagation time and cost of the control plane."""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.configuration.changes import PutTeam
from ..domain.configuration.model import Team
from ..domain.ids import TeamName
from ..peers.sync import SyncSettings
from ._config_schedule import run_schedule
from ._control_cost import MS_PER_S, SETTLE_MS, measure_cost
from ._peer_link import frame_cost_s
from ._virtual_fleet import VirtualFleet
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

SCHEDULES = 7_000
SITES = {
    "kominar": {"z1": 3, "z2": 3, "z3": 3},
    "crannog": {"z1": 2, "z2": 2, "z3": 2, "z4": 2},
}
LOSS = 0.3
CHANGES = 60


@dataclass(frozen=True, slots=True)
class Latency:
    """Time until changes are in force at all entries, and the traffic meanwhile.

    Attributes:
        worst_s: Time of the slowest change; infinite if one did not reach all entries.
        median_s: Median time of a change.
        bytes_per_s: Bytes sent and received by the busiest entry.
    """

    worst_s: float
    median_s: float
    bytes_per_s: float


def figures() -> Iterator[Figure]:
    """Yields the figures of this group."""
    yield from _schedules()
    yield from _latency()
    frame_s = frame_cost_s()
    for site, zones in SITES.items():
        yield from _cost(site, zones, frame_s)


def _schedules() -> Iterator[Figure]:
    """Counts schedules with violations; each counts once, as a revert if it had one."""
    reverted, misplaced = 0, 0
    for seed in range(SCHEDULES):
        violations, _ = run_schedule(seed)
        is_revert = any("went from revision" in violation for violation in violations)
        reverted += is_revert
        misplaced += bool(violations) and not is_revert
    yield Figure("control.reverts", reverted, "schedules", "== 0")
    yield Figure("control.lost_or_doubled_commits", misplaced, "schedules", "== 0")


def _latency() -> Iterator[Figure]:
    """Compares pushed records with polling only, for the same changes."""
    pushed = measure_latency(loss=LOSS, pushes=True)
    polled = measure_latency(loss=LOSS, pushes=False)
    yield Figure(
        "control.in_force_worst", pushed.worst_s, "s", "<= 3.0", polled.worst_s
    )
    yield Figure(
        "control.in_force_median", pushed.median_s, "s", "<= 3.0", polled.median_s
    )
    yield Figure(
        "control.in_force_bytes",
        pushed.bytes_per_s,
        "bytes/s",
        "<= 9000",
        polled.bytes_per_s,
    )


def measure_latency(*, loss: float, pushes: bool, seed: int = 7) -> Latency:
    """Commits a change a second at random entries while records are lost."""
    rng = random.Random(seed)
    sync = SyncSettings(pushes=pushes)
    fleet = VirtualFleet(SITES["kominar"], seed=seed, loss=loss, sync=sync)
    fleet.run(SETTLE_MS)
    before = {key: entry.bytes_total for key, entry in fleet.entries.items()}
    revisions = []
    for number in range(CHANGES):
        name = rng.choice(sorted(fleet.entries))
        change = PutTeam(Team(TeamName(f"t{number % 6}"), share=number + 1))
        revisions.append(fleet.commit(name, change))
        fleet.run(rng.choice([400, 1_000, 1_600]))
    measured_ms = fleet.now_ms - SETTLE_MS
    fleet.run(5 * MS_PER_S)
    times = [
        fleet.propagation_ms(revision) if revision else None for revision in revisions
    ]
    known = [at / MS_PER_S if at is not None else float("inf") for at in times]
    busiest = max(fleet.entries[key].bytes_total - at for key, at in before.items())
    return Latency(
        max(known), statistics.median(known), busiest * MS_PER_S / measured_ms
    )


def _cost(site: str, zones: dict[str, int], frame_s: float) -> Iterator[Figure]:
    """Measures the busiest entry of a site, which is a steward."""
    cost = measure_cost(zones)
    link_ms = cost.frames_per_s / 2 * frame_s * MS_PER_S
    share = 100 * (cost.busy_ms_per_s + link_ms) / MS_PER_S
    yield Figure(f"control.bytes_{site}", cost.bytes_per_s, "bytes/s", "<= 9000")
    yield Figure(f"control.processor_{site}", share, "% of a core", "<= 1.3")
    calls = cost.calls_per_s
    yield Figure(f"control.platform_calls_{site}", calls, "calls/s", "<= 300")
