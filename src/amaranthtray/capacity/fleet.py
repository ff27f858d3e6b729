"""Measures what placement, ledgers and conductors cost as the fleet grows."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from ..bench._waves_sites import (
    HOUR_MS,
    Site,
    draw_durations,
    site_config,
    site_hosts,
)
from ..bench._waves_world import World, WorldSettings
from ..domain.budgets import (
    HostLocation,
    OutageLedger,
    OutageStage,
    OutCause,
    OutHost,
    WaveRecord,
    encode,
)
from ..domain.configuration import Budget
from ..domain.ids import (
    HostId,
    Millis,
    OperationId,
    PoolName,
    RackId,
    Term,
    WaveName,
    ZoneId,
)
from ..domain.placement import pool_views
from ..domain.waves import (
    Conductor,
    DutyGained,
    HealthListed,
    LedgerRead,
    LedgerSwapped,
    Tick,
    ViewChanged,
)
from .slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HOSTS_IN_TWO_YEARS = 4_300
POOLS_IN_TWO_YEARS = 39
CHANGES_PER_S = 1_800 / 86_400
TICKS_PER_S = 1.0
OUT_SHARE = 0.03
WAVES_A_YEAR = 8
POOL_SIZES = (25, 50, 110)
POOL_COUNTS = (10, 20, 39)
BUDGET = Budget(3, 1, 1)
ROUNDS = 5
MS_PER_S = 1_000


def slopes() -> Iterator[Slope]:
    """Yields the slopes of this mechanism."""
    yield Slope(
        Role.STORE,
        Resource.STATE,
        "hosts",
        "budget ledgers, a year of waves",
        tuple(Sample(hosts, _ledger_bytes(hosts)) for hosts in (500, 1_500, 4_300)),
        HOSTS_IN_TWO_YEARS,
    )
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "hosts",
        "placement of all hosts after each change, 39 pools",
        tuple(_placement_cost(POOLS_IN_TWO_YEARS, size) for size in POOL_SIZES),
        HOSTS_IN_TWO_YEARS,
    )
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "pools",
        "conductors' ticks, all pools on one entry",
        tuple(Sample(pools, pools * _tick_cost()) for pools in POOL_COUNTS),
        POOLS_IN_TWO_YEARS,
    )
    yield Slope(
        Role.STORE,
        Resource.MESSAGES,
        "pools",
        "ledger writes of a wave in all pools",
        tuple(_wave_writes(pools) for pools in (3, 6, 12)),
        POOLS_IN_TWO_YEARS,
    )


def _ledger_bytes(hosts: int) -> int:
    names = [HostId(f"zone-{n % 17:02}-host-{n:05}") for n in range(hosts)]
    out = {
        name: OutHost(
            HostLocation(name, ZoneId(f"zone-{n % 17:02}"), RackId(f"rack-{n // 4}")),
            OutCause.MAINTENANCE,
            OutageStage.DRAINING,
            1_800_000_000_000,
            Term(1_000),
            OperationId(f"pool-{n % POOLS_IN_TWO_YEARS:02}-1000-100"),
            WaveName("week-1"),
        )
        for n, name in enumerate(names[: int(hosts * OUT_SHARE)])
    }
    log = WaveRecord(done=frozenset(names), took_ms=1)
    waves = {WaveName(f"week-{n}"): log for n in range(WAVES_A_YEAR)}
    ledger = OutageLedger(PoolName("pool-00"), out=out, waves=waves)
    return len(encode(ledger))


def _placement_cost(pools: int, pool_size: int) -> Sample:
    site = Site("synthetic", zones=17, pools=pools, pool_size=pool_size, budget=BUDGET)
    hosts = site_hosts(site)
    cfg = site_config(site, hosts)
    took_ms = _least_ms(lambda: pool_views(cfg, hosts))
    return Sample(len(hosts), took_ms * CHANGES_PER_S)


def _tick_cost() -> float:
    """Returns processor milliseconds per second of one conductor at rest."""
    site = Site("synthetic", zones=17, pools=1, pool_size=110, budget=BUDGET)
    hosts = site_hosts(site)
    cfg = replace(site_config(site, hosts), waves={})
    (pool,) = cfg.pools
    view = pool_views(cfg, hosts)[pool]
    state, clock = Conductor(pool), Millis(0)
    lease = Millis(HOUR_MS)
    for message in (DutyGained(Term(1), lease), ViewChanged(view), HealthListed()):
        state, _ = state.step(message, now_ms=clock, wall_ms=0)
    for is_read in (True, False):
        if state.call is None:
            raise AssertionError("the conductor made no store call")
        op_id = state.call.op_id
        answer = LedgerRead(op_id, None, 0) if is_read else LedgerSwapped(op_id, 1)
        state, _ = state.step(answer, now_ms=clock, wall_ms=0)
    return _least_ms(lambda: state.step(Tick(), now_ms=clock, wall_ms=0)) * TICKS_PER_S


def _wave_writes(pools: int) -> Sample:
    site = Site("synthetic", zones=17, pools=pools, pool_size=20, budget=BUDGET)
    rng = random.Random(pools)
    hosts = site_hosts(site)
    settings = WorldSettings(lease_ms=60_000, tick_ms=30_000)
    world = World(
        site_config(site, hosts),
        hosts,
        draw_durations(hosts, rng),
        rng=rng,
        settings=settings,
    )
    wave = next(iter(world.fleet.cfg.waves))
    world.clock.run_until(
        lambda: len(world.fleet.done(wave)) == len(hosts),
        end_ms=24 * HOUR_MS,
        step_ms=10_000,
    )
    return Sample(pools, world.fleet.store.writes / (world.now_ms / MS_PER_S))


def _least_ms(act: Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        begin = time.process_time()
        act()
        best = min(best, time.process_time() - begin)
    return best * MS_PER_S
