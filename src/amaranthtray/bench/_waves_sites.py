"""The users' sites, and waves over them in virtual time."""

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
from ._waves_fleet import Durations
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
        name: Its name, as figures have it.
        zones: Availability zones.
        pools: Pools, the spare pool among them.
        pool_size: Hosts of each pool.
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
class RollOut:
    """A wave over a site.

    Attributes:
        took_ms: Time until the last host was maintained.
        bound_ms: Least time that the budget allows for the same durations.
        out_ms: Host-milliseconds out.
        done: Hosts maintained.
        broken: Promises broken.
        writes: Writes of ledgers.
    """

    took_ms: int
    bound_ms: int
    out_ms: int
    done: int
    violations: int
    writes: int


def site_hosts(site: Site) -> list[Host]:
    """Returns the hosts; each pool is spread evenly over the zones."""
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
    """Returns the configuration with a wave over the hosts of a selector."""
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
) -> dict[HostId, Durations]:
    """Returns lognormal drain and reboot times."""
    return {
        host.host_id: Durations(
            int(DRAIN_MEDIAN_MS * scale * rng.lognormvariate(0, DRAIN_SIGMA)),
            int(REBOOT_MEDIAN_MS * scale * rng.lognormvariate(0, REBOOT_SIGMA)),
        )
        for host in hosts
    }


def least_ms(
    site: Site, hosts: Iterable[Host], durations: dict[HostId, Durations]
) -> int:
    """Returns the least time that any plan within the budgets needs.

    No plan can beat the work of a pool over its budget, the work of one zone or rack
    of it over theirs, or its longest host.
    """
    bound = 0.0
    by_pool: dict[str, list[Host]] = defaultdict(list)
    for host in hosts:
        by_pool[host.labels[POOL_LABEL]].append(host)
    for members in by_pool.values():
        took = [_took(durations[host.host_id]) for host in members]
        zones: dict[str, int] = defaultdict(int)
        racks: dict[str, int] = defaultdict(int)
        for host, work_ms in zip(members, took, strict=True):
            zones[host.zone] += work_ms
            racks[host.rack] += work_ms
        bound = max(
            bound,
            sum(took) / site.budget.max_out,
            max(zones.values()) / site.budget.max_out_per_zone,
            max(racks.values()) / site.budget.max_out_per_rack,
            max(took),
        )
    return int(bound)


def _took(durations: Durations) -> int:
    return durations.drain_ms + (durations.reboot_ms or 0)


def roll_out(site: Site, seed: int, *, failures: int = 0) -> RollOut:
    """Runs a wave of reboots over the whole site.

    Args:
        site: The site.
        seed: Seed of the durations and faults.
        failures: Hosts that fail during the wave and come back after a while.
    """
    rng = random.Random(seed)
    hosts = site_hosts(site)
    durations = draw_durations(hosts, rng)
    settings = SimulationSettings(lease_ms=MINUTE_MS, tick_ms=MINUTE_MS // 2)
    cfg = site_config(site, hosts)
    simulation = WavesSimulation(cfg, hosts, durations, rng=rng, settings=settings)
    for _ in range(failures):
        failing = rng.choice(hosts).host_id
        length_ms = rng.randint(MINUTE_MS, 15 * MINUTE_MS)
        simulation.clock.after(
            rng.randrange(20 * MINUTE_MS),
            lambda failing=failing, length_ms=length_ms: simulation.fleet.fail(  # type: ignore[misc]
                failing, OutCause.FAILED, length_ms
            ),
        )
    return _finish(simulation, site, hosts, durations)


def _finish(
    simulation: WavesSimulation,
    site: Site,
    hosts: list[Host],
    durations: dict[HostId, Durations],
    *,
    end_ms: int = WEEK_MS,
) -> RollOut:
    fleet, wanted = simulation.fleet, len(hosts)
    simulation.clock.run_until(
        lambda: len(fleet.done(WAVE)) == wanted, end_ms=end_ms, step_ms=CHECK_MS
    )
    return RollOut(
        took_ms=simulation.now_ms,
        bound_ms=least_ms(site, hosts, durations),
        out_ms=fleet.out_ms,
        done=len(fleet.done(WAVE)),
        violations=len(fleet.violations()),
        writes=fleet.store.writes,
    )


def one_at_a_time(site: Site) -> Site:
    """Returns the site with a budget of one host for each pool."""
    return replace(site, budget=ONE_AT_A_TIME)


def relabel(site: Site, seed: int, *, changed: int) -> tuple[int, int]:
    """Moves some hosts by their labels; returns moves made and hosts in place."""
    rng = random.Random(seed)
    hosts = site_hosts(site)
    durations = draw_durations(hosts, rng)
    cfg = replace(site_config(site, hosts), waves={})
    simulation = WavesSimulation(cfg, hosts, durations, rng=rng)
    chosen = rng.sample(hosts, changed)
    targets = {
        host.host_id: rng.choice(
            [name for name in cfg.pools if name != cfg.pool_of(host.host_id)]
        )
        for host in chosen
    }
    others = {host.host_id: {"note": "kept"} for host in hosts if host not in chosen}
    moved = {host: {POOL_LABEL: str(target)} for host, target in targets.items()}
    simulation.clock.run(MINUTE_MS)
    simulation.fleet.change(
        replace(simulation.fleet.cfg, host_labels={**others, **moved})
    )
    simulation.clock.run(5 * HOUR_MS)
    placed = sum(
        simulation.fleet.cfg.pool_of(host) == to for host, to in targets.items()
    )
    return simulation.fleet.moves, placed


def weekly_share() -> RollOut:
    """Runs one week's share of a 7-week cycle at the two-year size."""
    site = Site("two_years", zones=17, pools=39, pool_size=110, budget=Budget(3, 1, 1))
    rng = random.Random(7)
    hosts = [
        replace(host, labels={**host.labels, WEEK_LABEL: str(number % 7)})
        for number, host in enumerate(site_hosts(site))
    ]
    share = [host for host in hosts if host.labels[WEEK_LABEL] == "0"]
    durations = draw_durations(hosts, rng, scale=12.0)
    cfg = site_config(site, hosts, wave=f"{WEEK_LABEL}=0")
    settings = SimulationSettings(lease_ms=10 * MINUTE_MS, tick_ms=5 * MINUTE_MS)
    simulation = WavesSimulation(cfg, hosts, durations, rng=rng, settings=settings)
    wanted = {host.host_id: durations[host.host_id] for host in share}
    return _finish(simulation, site, share, wanted)
