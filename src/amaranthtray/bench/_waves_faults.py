"""Seeded schedules of faults over a small fleet that runs a wave and moves."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..domain.configuration import (
    SPARE_POOL,
    Budget,
    Configuration,
    Pool,
    Wave,
    WaveAction,
    WaveState,
)
from ..domain.ids import HostId, PoolName, RackId, RegionId, WaveName, ZoneId
from ..domain.invariants import OutCause
from ..domain.inventory import Host, HostState
from ..domain.waves import ConductorSettings
from ._waves_fleet import Durations
from ._waves_simulation import SimulationSettings, WavesSimulation

if TYPE_CHECKING:
    from collections.abc import Callable

    from ._waves_simulation import Holder

WAVE = WaveName("patch")
POOLS = (PoolName("web"), PoolName("db"))
POOL_LABEL = "pool"
HOSTS = 8
ZONES = 3
HOSTS_PER_RACK = 4
FAULTS = 8
FAULTS_END_MS = 70_000
CHECK_MS = 10_000
HEALED_MS = 1_500_000
FAULTY = SimulationSettings(
    view_ms=(10, 2_000),
    tick_ms=10_000,
    lease_ms=12_000,
    lost_reply=0.06,
    late_write=0.06,
    late_order=0.06,
    doubled_report=0.1,
)
CONDUCTING = ConductorSettings(
    defer_drain_ms=40_000,
    overdue_ms=60_000,
    remove_missing_after_ms=60_000,
    reissue_ms=15_000,
)


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """What a schedule showed.

    Attributes:
        seed: Its seed.
        broken: Promises that were broken.
        missed: Hosts that the wave did not reach although all was healed.
        reboots: Reboots carried out.
        moves: Hosts moved.
        terms: Holders that there were.
    """

    seed: int
    violations: tuple[str, ...]
    unreached_hosts: tuple[HostId, ...]
    reboots: int
    moves: int
    terms: int


def small_fleet(rng: random.Random) -> tuple[Configuration, list[Host]]:
    """Returns two pools and a spare pool over three zones, with a wave for all."""
    hosts = [_host(number, rng) for number in range(HOSTS)]
    pools = {
        name: Pool(name, f"{POOL_LABEL}={name}", budget=_budget(rng))
        for name in (*POOLS, SPARE_POOL)
    }
    action = rng.choice([WaveAction.REBOOT, WaveAction.REBOOT, WaveAction.DRAIN])
    cfg = Configuration(
        pools=pools,
        placement={host.host_id: PoolName(host.labels[POOL_LABEL]) for host in hosts},
        waves={WAVE: Wave(WAVE, "", action)},
    )
    return cfg, hosts


def _host(number: int, rng: random.Random) -> Host:
    zone = f"z{number % ZONES}"
    return Host(
        host_id=HostId(f"h{number}"),
        zone=ZoneId(zone),
        rack=RackId(f"{zone}-{number // ZONES // HOSTS_PER_RACK}"),
        region=RegionId("r1"),
        labels={POOL_LABEL: rng.choice([*POOLS, POOLS[0], SPARE_POOL])},
    )


def _budget(rng: random.Random) -> Budget:
    return Budget(rng.randint(1, 3), rng.randint(1, 2), rng.randint(1, 2))


class FaultSchedule:
    """One seeded run: faults for a while, then all is healed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        cfg, hosts = small_fleet(self.rng)
        durations = {host.host_id: self._durations() for host in hosts}
        self.simulation = WavesSimulation(
            cfg,
            hosts,
            durations,
            rng=self.rng,
            settings=FAULTY,
            conducting=CONDUCTING,
        )
        self.fleet = self.simulation.fleet
        self.known = {host.host_id: host for host in hosts}

    def _durations(self) -> Durations:
        drain_ms = int(self.rng.lognormvariate(9.0, 1.0))
        reboot_ms = int(self.rng.lognormvariate(9.3, 0.5))
        never_back = self.rng.random() < 0.02
        return Durations(drain_ms, None if never_back else reboot_ms)

    def run(self) -> ScheduleResult:
        """Runs the schedule and returns what it showed."""
        faults = self.faults()
        for _ in range(FAULTS):
            at_ms = self.rng.randrange(FAULTS_END_MS)
            self.simulation.clock.after(at_ms, self.rng.choice(faults))
        self.simulation.clock.run(FAULTS_END_MS)
        return self.finish()

    def faults(self) -> tuple[Callable[[], None], ...]:
        """Returns the faults; failing hosts are twice as likely as others."""
        return (
            self.pause_holder,
            self.kill_holder,
            self.rival_holder,
            self.cut_store,
            self.fail_host,
            self.fail_host,
            self.lose_host,
            self.change_budget,
            self.steer_wave,
            self.relabel,
            self.step_clock,
        )

    def finish(self) -> ScheduleResult:
        """Heals all, lets the wave end, and returns what the schedule showed."""
        self.heal()
        self.simulation.clock.run_until(
            lambda: not self._missed(),
            end_ms=self.simulation.now_ms + HEALED_MS,
            step_ms=CHECK_MS,
        )
        return ScheduleResult(
            seed=self.seed,
            violations=tuple(self.fleet.violations()),
            unreached_hosts=tuple(sorted(self._missed())),
            reboots=self.fleet.reboots.total(),
            moves=self.fleet.moves,
            terms=sum(len(holders) for holders in self.simulation.holders.values()),
        )

    def _missed(self) -> set[HostId]:
        never_back = {
            name for name, host in self.fleet.hosts.items() if host.reboot_ms is None
        }
        if never_back:
            return set()
        return set(self.fleet.hosts) - self.fleet.done(WAVE)

    def heal(self) -> None:
        """Ends the outage, lists all hosts again and lets the wave run."""
        self.simulation.store_away_until_ms = 0
        self.fleet.listed = dict(self.known)
        waves = self.fleet.cfg.waves
        running = replace(waves[WAVE], state=WaveState.RUNNING)
        self.fleet.change(replace(self.fleet.cfg, waves={WAVE: running}))

    def pause_holder(self) -> None:
        """Pauses a holder, often past the end of its lease."""
        self.simulation.pause(self._holder(), self.rng.randint(1_000, 40_000))

    def kill_holder(self) -> None:
        """Ends a holder at once."""
        self._holder().is_dead = True

    def rival_holder(self) -> None:
        """Gives the duty to another while the holder believes it has it."""
        self.simulation.appoint(self._holder().pool)

    def cut_store(self) -> None:
        """Takes the store away for a while."""
        end_ms = self.simulation.now_ms + self.rng.randint(1_000, 40_000)
        self.simulation.store_away_until_ms = end_ms

    def fail_host(self) -> None:
        """Fails, ejects or silences a host, or several of a rack."""
        first = self._host()
        cause = self.rng.choice([OutCause.FAILED, OutCause.EJECTED, OutCause.UNKNOWN])
        rack = self.known[first].rack
        for host, listed in self.known.items():
            if host == first or (listed.rack == rack and self.rng.random() < 0.3):
                self.fleet.fail(host, cause, self.rng.randint(2_000, 40_000))

    def lose_host(self) -> None:
        """Makes the platform's list lack a host or call it leaving, for a while."""
        host = self._host()
        leaving = replace(self.known[host], state=HostState.LEAVING)
        self.fleet.listed[host] = leaving
        if self.rng.random() < 0.5:
            del self.fleet.listed[host]
        self.fleet.list_again()
        self.simulation.clock.after(
            self.rng.randint(1_000, 120_000), lambda: self.find(host)
        )

    def find(self, host: HostId) -> None:
        """Lists a host as live again."""
        self.fleet.listed[host] = self.known[host]
        self.fleet.list_again()

    def change_budget(self) -> None:
        """Gives a pool another budget."""
        cfg, name = self.fleet.cfg, self.rng.choice(list(self.fleet.cfg.pools))
        pool = replace(cfg.pools[name], budget=_budget(self.rng))
        self.fleet.change(replace(cfg, pools={**cfg.pools, name: pool}))

    def steer_wave(self) -> None:
        """Pauses, resumes or aborts the wave."""
        cfg = self.fleet.cfg
        wave = replace(cfg.waves[WAVE], state=self.rng.choice(list(WaveState)))
        self.fleet.change(replace(cfg, waves={WAVE: wave}))

    def relabel(self) -> None:
        """Lets an operator put a host into another pool."""
        cfg, host = self.fleet.cfg, self._host()
        labels = {POOL_LABEL: self.rng.choice([*POOLS, "none"])}
        host_labels = {**cfg.host_labels, host: labels}
        self.fleet.change(replace(cfg, host_labels=host_labels))

    def step_clock(self) -> None:
        """Steps the wall clock of a holder."""
        self._holder().wall_shift_ms += self.rng.randint(-120_000, 120_000)

    def _holder(self) -> Holder:
        holders = self.rng.choice(list(self.simulation.holders.values()))
        return holders[-1]

    def _host(self) -> HostId:
        return self.rng.choice(list(self.fleet.hosts))
