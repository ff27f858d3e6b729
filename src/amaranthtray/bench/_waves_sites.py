"""The users' sites, and simulated waves and moves of their hosts."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..domain.configuration import (
    SPARE_POOL,
    Budget,
    Configuration,
    Pool,
    Wave,
    WaveAction,
)
from ..domain.ids import HostId, PoolName, RackId, RegionId, WaveName, ZoneId
from ..domain.invariants import OutCause
from ..domain.inventory import Host
from ._waves_fleet import HostDurations
from ._waves_simulation import SimulationSettings, WavesSimulation

if TYPE_CHECKING:
    from collections.abc import Iterable

WAVE = WaveName("patch")
POOL_LABEL = "pool"
WEEK_LABEL = "week"
HOSTS_PER_RACK = 4
MINUTE_MS = 60_000
CHECK_MS = 4_000
HOUR_MS = 60 * MINUTE_MS
WEEK_MS = 7 * 24 * HOUR_MS
DRAIN_MEDIAN_MS = 3 * MINUTE_MS
DRAIN_SIGMA = 0.5
REBOOT_MEDIAN_MS = 4 * MINUTE_MS
REBOOT_SIGMA = 0.3
ONE_AT_A_TIME = Budget(1, 1, 1)


@dataclass(frozen=True, slots=True)
class Site:
    """Sizes of a site.

    Attributes:
        name: Name of the site, as in the names of figures.
        zones: Number of availability zones.
        pools: Number of pools, with the spare pool.
        pool_size: Number of hosts of each pool.
        budget: Budget of each pool.
    """

    name: str
    zones: int
    pools: int
    pool_size: int
    budget: Budget


KOMINAR = Site("kominar", zones=3, pools=5, pool_size=6, budget=Budget(2, 1, 1))
CRANNOG = Site("crannog", zones=4, pools=5, pool_size=8, budget=Budget(2, 1, 1))
SITES = (KOMINAR, CRANNOG)


@dataclass(frozen=True, slots=True)
class WaveResult:
    """The result of a wave over a site.

    Attributes:
        duration_ms: Time until the wave had finished its last host.
        lower_bound_ms: Least time within the budget for the same host durations.
        outage_host_ms: Sum of the durations of all ended outages.
        done: Number of hosts that the wave has finished.
        violations: Number of violations.
        writes: Number of ledger writes.
    """

    duration_ms: int
    lower_bound_ms: int
    outage_host_ms: int
    done: int
    violations: int
    writes: int


def site_hosts(site: Site) -> list[Host]:
    """Returns the hosts of a site; each pool is spread evenly over the zones."""
    hosts = []
    in_zone: dict[int, int] = defaultdict(int)
    for number in range(site.pools * site.pool_size):
        pool = number // site.pool_size
        zone = (number + pool) % site.zones
        rack = in_zone[zone] // HOSTS_PER_RACK
        in_zone[zone] += 1
        hosts.append(
            Host(
                host_id=HostId(f"z{zone}-h{number}"),
                zone=ZoneId(f"z{zone}"),
                rack=RackId(f"z{zone}-r{rack}"),
                region=RegionId("r1"),
                labels={POOL_LABEL: pool_name(pool)},
            )
        )
    return hosts


def pool_name(number: int) -> PoolName:
    """Returns the name of a pool; the first one is the spare pool."""
    return SPARE_POOL if number == 0 else PoolName(f"pool-{number:02}")


def site_config(site: Site, hosts: Iterable[Host], *, wave: str = "") -> Configuration:
    """Returns the configuration of a site with a wave over a selector's hosts."""
    names = [pool_name(number) for number in range(site.pools)]
    return Configuration(
        pools={
            name: Pool(name, f"{POOL_LABEL}={name}", budget=site.budget)
            for name in names
        },
        placement={host.host_id: PoolName(host.labels[POOL_LABEL]) for host in hosts},
        waves={WAVE: Wave(WAVE, wave, WaveAction.REBOOT)},
    )


def draw_durations(
    hosts: Iterable[Host], rng: random.Random, *, scale: float = 1.0
) -> dict[HostId, HostDurations]:
    """Returns drain and reboot times with a lognormal distribution."""
    return {
        host.host_id: HostDurations(
            int(DRAIN_MEDIAN_MS * scale * rng.lognormvariate(0, DRAIN_SIGMA)),
            int(REBOOT_MEDIAN_MS * scale * rng.lognormvariate(0, REBOOT_SIGMA)),
        )
        for host in hosts
    }


def least_duration_ms(
    site: Site, hosts: Iterable[Host], durations: dict[HostId, HostDurations]
) -> int:
    """Returns the least time that any plan within the budgets needs.

    No plan is shorter than the work of a pool divided by its budget, the work of a
    zone or rack of the pool divided by the budget of it, or the longest work of a host.
    """
    least_ms = 0.0
    by_pool: dict[str, list[Host]] = defaultdict(list)
    for host in hosts:
        by_pool[host.labels[POOL_LABEL]].append(host)
    for members in by_pool.values():
        work_ms = [_work_ms(durations[host.host_id]) for host in members]
        zones: dict[str, int] = defaultdict(int)
        racks: dict[str, int] = defaultdict(int)
        for host, work in zip(members, work_ms, strict=True):
            zones[host.zone] += work
            racks[host.rack] += work
        least_ms = max(
            least_ms,
            sum(work_ms) / site.budget.max_out,
            max(zones.values()) / site.budget.max_out_per_zone,
            max(racks.values()) / site.budget.max_out_per_rack,
            max(work_ms),
        )
    return int(least_ms)


def _work_ms(durations: HostDurations) -> int:
    return durations.drain_ms + (durations.reboot_ms or 0)


def run_wave(site: Site, seed: int, *, failing_hosts: int = 0) -> WaveResult:
    """Runs a wave of reboots over the whole site.

    Args:
        site: The site.
        seed: Seed of the durations and failures.
        failing_hosts: Hosts that fail during the wave and recover after a while.
    """
    rng = random.Random(seed)
    hosts = site_hosts(site)
    durations = draw_durations(hosts, rng)
    settings = SimulationSettings(lease_ms=MINUTE_MS, tick_ms=MINUTE_MS // 2)
    cfg = site_config(site, hosts)
    simulation = WavesSimulation(cfg, hosts, durations, rng=rng, settings=settings)
    for _ in range(failing_hosts):
        host = rng.choice(hosts).host_id
        outage_ms = rng.randint(MINUTE_MS, 15 * MINUTE_MS)
        simulation.clock.after(
            rng.randrange(20 * MINUTE_MS),
            lambda host=host, outage_ms=outage_ms: simulation.fleet.fail(  # type: ignore[misc]
                host, OutCause.FAILED, outage_ms
            ),
        )
    return _finish(simulation, site, hosts, durations)


def _finish(
    simulation: WavesSimulation,
    site: Site,
    hosts: list[Host],
    durations: dict[HostId, HostDurations],
    *,
    end_ms: int = WEEK_MS,
) -> WaveResult:
    fleet, expected = simulation.fleet, len(hosts)
    simulation.clock.run_until(
        lambda: len(fleet.done(WAVE)) == expected, end_ms=end_ms, step_ms=CHECK_MS
    )
    return WaveResult(
        duration_ms=simulation.now_ms,
        lower_bound_ms=least_duration_ms(site, hosts, durations),
        outage_host_ms=fleet.outage_host_ms,
        done=len(fleet.done(WAVE)),
        violations=len(fleet.violations()),
        writes=fleet.store.writes,
    )


def with_budget_of_one(site: Site) -> Site:
    """Returns the site with a budget of one host for each pool."""
    return replace(site, budget=ONE_AT_A_TIME)


def run_relabelling(site: Site, seed: int, *, changed: int) -> tuple[int, int]:
    """Relabels some hosts; returns the moves made and the hosts in their new pools."""
    rng = random.Random(seed)
    hosts = site_hosts(site)
    durations = draw_durations(hosts, rng)
    cfg = replace(site_config(site, hosts), waves={})
    simulation = WavesSimulation(cfg, hosts, durations, rng=rng)
    relabelled = rng.sample(hosts, changed)
    targets = {
        host.host_id: rng.choice(
            [name for name in cfg.pools if name != cfg.pool_of(host.host_id)]
        )
        for host in relabelled
    }
    others = {
        host.host_id: {"note": "kept"} for host in hosts if host not in relabelled
    }
    moved = {host: {POOL_LABEL: str(target)} for host, target in targets.items()}
    simulation.clock.run(MINUTE_MS)
    simulation.fleet.commit(
        replace(simulation.fleet.cfg, host_labels={**others, **moved})
    )
    simulation.clock.run(5 * HOUR_MS)
    hosts_in_place = sum(
        simulation.fleet.cfg.pool_of(host) == to for host, to in targets.items()
    )
    return simulation.fleet.moves, hosts_in_place


def run_weekly_share() -> WaveResult:
    """Runs one week of a 7-week maintenance cycle at the two-year size."""
    site = Site("two_years", zones=17, pools=39, pool_size=110, budget=Budget(3, 1, 1))
    rng = random.Random(7)
    hosts = [
        replace(host, labels={**host.labels, WEEK_LABEL: str(number % 7)})
        for number, host in enumerate(site_hosts(site))
    ]
    hosts_of_week = [host for host in hosts if host.labels[WEEK_LABEL] == "0"]
    durations = draw_durations(hosts, rng, scale=12.0)
    cfg = site_config(site, hosts, wave=f"{WEEK_LABEL}=0")
    settings = SimulationSettings(lease_ms=10 * MINUTE_MS, tick_ms=5 * MINUTE_MS)
    simulation = WavesSimulation(cfg, hosts, durations, rng=rng, settings=settings)
    expected = {host.host_id: durations[host.host_id] for host in hosts_of_week}
    return _finish(simulation, site, hosts_of_week, expected)
