"""Measures placement, outage ledgers and conductors as the fleet grows."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from ..bench._waves_simulation import SimulationSettings, WavesSimulation
from ..bench._waves_sites import (
    HOUR_MS,
    Site,
    draw_durations,
    site_config,
    site_hosts,
)
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
SHARE_OF_HOSTS_OUT = 0.03
WAVES_PER_YEAR = 8
POOL_SIZES = (25, 50, 110)
POOL_COUNTS = (10, 20, 39)
BUDGET = Budget(3, 1, 1)
ROUNDS = 5
MS_PER_S = 1_000


def slopes() -> Iterator[Slope]:
    """Yields the slopes of placement, outage ledgers and conductors."""
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
        tuple(_placement_sample(POOLS_IN_TWO_YEARS, size) for size in POOL_SIZES),
        HOSTS_IN_TWO_YEARS,
    )
    yield Slope(
        Role.CONDUCTOR,
        Resource.PROCESSOR,
        "pools",
        "conductors' ticks, all pools on one entry",
        tuple(Sample(pools, pools * _tick_ms_per_s()) for pools in POOL_COUNTS),
        POOLS_IN_TWO_YEARS,
    )
    yield Slope(
        Role.STORE,
        Resource.MESSAGES,
        "pools",
        "ledger writes of a wave in all pools",
        tuple(_wave_write_sample(pools) for pools in (3, 6, 12)),
        POOLS_IN_TWO_YEARS,
    )


def _ledger_bytes(hosts: int) -> int:
    host_ids = [
        HostId(f"zone-{number % 17:02}-host-{number:05}") for number in range(hosts)
    ]
    out_hosts = {
        host_id: OutHost(
            HostLocation(
                host_id, ZoneId(f"zone-{number % 17:02}"), RackId(f"rack-{number // 4}")
            ),
            OutCause.MAINTENANCE,
            OutageStage.DRAINING,
            1_800_000_000_000,
            Term(1_000),
            OperationId(f"pool-{number % POOLS_IN_TWO_YEARS:02}-1000-100"),
            WaveName("week-1"),
        )
        for number, host_id in enumerate(host_ids[: int(hosts * SHARE_OF_HOSTS_OUT)])
    }
    record = WaveRecord(done=frozenset(host_ids), took_ms=1)
    waves = {WaveName(f"week-{number}"): record for number in range(WAVES_PER_YEAR)}
    ledger = OutageLedger(PoolName("pool-00"), out=out_hosts, waves=waves)
    return len(encode(ledger))


def _placement_sample(pools: int, pool_size: int) -> Sample:
    site = Site("synthetic", zones=17, pools=pools, pool_size=pool_size, budget=BUDGET)
    hosts = site_hosts(site)
    cfg = site_config(site, hosts)
    took_ms = _shortest_ms(lambda: pool_views(cfg, hosts))
    return Sample(len(hosts), took_ms * CHANGES_PER_S)


def _tick_ms_per_s() -> float:
    """Returns the processor time of an idle conductor, in milliseconds per second."""
    site = Site("synthetic", zones=17, pools=1, pool_size=110, budget=BUDGET)
    hosts = site_hosts(site)
    cfg = replace(site_config(site, hosts), waves={})
    (pool,) = cfg.pools
    view = pool_views(cfg, hosts)[pool]
    conductor, now = Conductor(pool), Millis(0)
    lease_end = Millis(HOUR_MS)
    for message in (DutyGained(Term(1), lease_end), ViewChanged(view), HealthListed()):
        conductor, _ = conductor.step(message, now_ms=now, wall_ms=0)
    for is_read in (True, False):
        if conductor.call is None:
            raise AssertionError("the conductor made no store call")
        op_id = conductor.call.op_id
        reply = LedgerRead(op_id, None, 0) if is_read else LedgerSwapped(op_id, 1)
        conductor, _ = conductor.step(reply, now_ms=now, wall_ms=0)
    return (
        _shortest_ms(lambda: conductor.step(Tick(), now_ms=now, wall_ms=0))
        * TICKS_PER_S
    )


def _wave_write_sample(pools: int) -> Sample:
    site = Site("synthetic", zones=17, pools=pools, pool_size=20, budget=BUDGET)
    rng = random.Random(pools)
    hosts = site_hosts(site)
    settings = SimulationSettings(lease_ms=60_000, tick_ms=30_000)
    simulation = WavesSimulation(
        site_config(site, hosts),
        hosts,
        draw_durations(hosts, rng),
        rng=rng,
        settings=settings,
    )
    wave = next(iter(simulation.fleet.cfg.waves))
    simulation.clock.run_until(
        lambda: len(simulation.fleet.done(wave)) == len(hosts),
        end_ms=24 * HOUR_MS,
        step_ms=10_000,
    )
    return Sample(pools, simulation.fleet.store.writes / (simulation.now_ms / MS_PER_S))


def _shortest_ms(action: Callable[[], object]) -> float:
    shortest_s = float("inf")
    for _ in range(ROUNDS):
        start_s = time.process_time()
        action()
        shortest_s = min(shortest_s, time.process_time() - start_s)
    return shortest_s * MS_PER_S
