"""Seeded fault schedules of a small fleet with a wave and host moves."""

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
from ._waves_fleet import HostDurations
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
FAULTS_PER_RUN = 8
FAULTS_END_MS = 70_000
CHECK_MS = 10_000
RECOVERY_MS = 1_500_000
SIMULATION_SETTINGS = SimulationSettings(
    view_ms=(10, 2_000),
    tick_ms=10_000,
    lease_ms=12_000,
    lost_reply_probability=0.06,
    late_write_probability=0.06,
    late_order_probability=0.06,
    duplicate_report_probability=0.1,
)
CONDUCTOR_SETTINGS = ConductorSettings(
    defer_drain_ms=40_000,
    overdue_ms=60_000,
    remove_missing_after_ms=60_000,
    reissue_ms=15_000,
)


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Result of one schedule.

    Attributes:
        seed: Seed of the schedule.
        violations: Violations of promises and checks.
        unreached_hosts: Hosts that the wave did not reach after all faults had ended.
        reboots: Number of reboots.
        moves: Number of hosts moved.
        terms: Number of holders, each with its own term.
    """

    seed: int
    violations: tuple[str, ...]
    unreached_hosts: tuple[HostId, ...]
    reboots: int
    moves: int
    terms: int


def small_fleet(rng: random.Random) -> tuple[Configuration, list[Host]]:
    """Returns two pools and a spare pool over three zones, and a wave of all hosts."""
    hosts = [_make_host(number, rng) for number in range(HOSTS)]
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


def _make_host(number: int, rng: random.Random) -> Host:
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
    """A run with random faults, and then without faults until the wave has ended."""

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
            settings=SIMULATION_SETTINGS,
            conductor_settings=CONDUCTOR_SETTINGS,
        )
        self.fleet = self.simulation.fleet
        self.all_hosts = {host.host_id: host for host in hosts}

    def _durations(self) -> HostDurations:
        drain_ms = int(self.rng.lognormvariate(9.0, 1.0))
        reboot_ms = int(self.rng.lognormvariate(9.3, 0.5))
        never_back = self.rng.random() < 0.02
        return HostDurations(drain_ms, None if never_back else reboot_ms)

    def run(self) -> ScheduleResult:
        """Runs the schedule and returns its result."""
        faults = self.faults()
        for _ in range(FAULTS_PER_RUN):
            at_ms = self.rng.randrange(FAULTS_END_MS)
            self.simulation.clock.after(at_ms, self.rng.choice(faults))
        self.simulation.clock.run(FAULTS_END_MS)
        return self.finish()

    def faults(self) -> tuple[Callable[[], None], ...]:
        """Returns the faults; a failing host is twice as likely as any other."""
        return (
            self.pause_holder,
            self.kill_holder,
            self.add_competing_holder,
            self.disconnect_store,
            self.fail_host,
            self.fail_host,
            self.unlist_host,
            self.change_budget,
            self.change_wave_state,
            self.relabel_host,
            self.step_wall_clock,
        )

    def finish(self) -> ScheduleResult:
        """Ends all faults, waits for the wave to end, and returns the result."""
        self.end_faults()
        self.simulation.clock.run_until(
            lambda: not self._unreached_hosts(),
            end_ms=self.simulation.now_ms + RECOVERY_MS,
            step_ms=CHECK_MS,
        )
        return ScheduleResult(
            seed=self.seed,
            violations=tuple(self.fleet.violations()),
            unreached_hosts=tuple(sorted(self._unreached_hosts())),
            reboots=self.fleet.reboots.total(),
            moves=self.fleet.moves,
            terms=sum(len(holders) for holders in self.simulation.holders.values()),
        )

    def _unreached_hosts(self) -> set[HostId]:
        never_back = {
            name for name, host in self.fleet.hosts.items() if host.reboot_ms is None
        }
        if never_back:
            return set()
        return set(self.fleet.hosts) - self.fleet.done(WAVE)

    def end_faults(self) -> None:
        """Ends the store outage, lists all hosts again and resumes the wave."""
        self.simulation.store_unavailable_until_ms = 0
        self.fleet.listed_hosts = dict(self.all_hosts)
        waves = self.fleet.cfg.waves
        running = replace(waves[WAVE], state=WaveState.RUNNING)
        self.fleet.commit(replace(self.fleet.cfg, waves={WAVE: running}))

    def pause_holder(self) -> None:
        """Pauses a holder, often past the expiry of its lease."""
        self.simulation.pause(self._random_holder(), self.rng.randint(1_000, 40_000))

    def kill_holder(self) -> None:
        """Ends a holder without notice."""
        self._random_holder().is_dead = True

    def add_competing_holder(self) -> None:
        """Grants the duty to another holder while the first believes it holds it."""
        self.simulation.start_holder(self._random_holder().pool)

    def disconnect_store(self) -> None:
        """Makes the store unavailable for a while."""
        end_ms = self.simulation.now_ms + self.rng.randint(1_000, 40_000)
        self.simulation.store_unavailable_until_ms = end_ms

    def fail_host(self) -> None:
        """Makes a host failed, ejected or unreachable, or several of its rack."""
        failing_host = self._random_host()
        cause = self.rng.choice([OutCause.FAILED, OutCause.EJECTED, OutCause.UNKNOWN])
        rack = self.all_hosts[failing_host].rack
        for host, described in self.all_hosts.items():
            if host == failing_host or (
                described.rack == rack and self.rng.random() < 0.3
            ):
                self.fleet.fail(host, cause, self.rng.randint(2_000, 40_000))

    def unlist_host(self) -> None:
        """Unlists a host, or lists it as leaving, for a while."""
        host = self._random_host()
        leaving = replace(self.all_hosts[host], state=HostState.LEAVING)
        self.fleet.listed_hosts[host] = leaving
        if self.rng.random() < 0.5:
            del self.fleet.listed_hosts[host]
        self.fleet.publish_views()
        self.simulation.clock.after(
            self.rng.randint(1_000, 120_000), lambda: self.list_host(host)
        )

    def list_host(self, host: HostId) -> None:
        """Lists a host as live again."""
        self.fleet.listed_hosts[host] = self.all_hosts[host]
        self.fleet.publish_views()

    def change_budget(self) -> None:
        """Changes the budget of a pool."""
        cfg, name = self.fleet.cfg, self.rng.choice(list(self.fleet.cfg.pools))
        pool = replace(cfg.pools[name], budget=_budget(self.rng))
        self.fleet.commit(replace(cfg, pools={**cfg.pools, name: pool}))

    def change_wave_state(self) -> None:
        """Pauses, resumes or aborts the wave."""
        cfg = self.fleet.cfg
        wave = replace(cfg.waves[WAVE], state=self.rng.choice(list(WaveState)))
        self.fleet.commit(replace(cfg, waves={WAVE: wave}))

    def relabel_host(self) -> None:
        """Changes the pool label of a host, as an operator does."""
        cfg, host = self.fleet.cfg, self._random_host()
        labels = {POOL_LABEL: self.rng.choice([*POOLS, "none"])}
        host_labels = {**cfg.host_labels, host: labels}
        self.fleet.commit(replace(cfg, host_labels=host_labels))

    def step_wall_clock(self) -> None:
        """Steps the wall clock of a holder by up to two minutes."""
        self._random_holder().wall_clock_offset_ms += self.rng.randint(
            -120_000, 120_000
        )

    def _random_holder(self) -> Holder:
        holders = self.rng.choice(list(self.simulation.holders.values()))
        return holders[-1]

    def _random_host(self) -> HostId:
        return self.rng.choice(list(self.fleet.hosts))
