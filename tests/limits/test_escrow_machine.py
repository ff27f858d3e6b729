"""State machine test of the limit escrow under faults: no limit is ever exceeded."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from amaranthtray.bench._limits_parts import EntryProcess, FaultProbabilities
from amaranthtray.bench._limits_simulation import LimitsSimulation
from amaranthtray.domain.ids import TeamName
from amaranthtray.domain.invariants import Watchdog

TEAMS = (TeamName("red"), TeamName("blue"))
LIMITS = st.sampled_from((0, 1, 2, 3, 5, 8, 20))
PICK = st.integers(0, 5)


class EscrowMachine(RuleBasedStateMachine):
    """Drives zones, entries, store, hosts and clocks; each fault is a rule."""

    @initialize(
        seed=st.integers(0, 2**16),
        zones=st.integers(1, 3),
        entries=st.integers(1, 3),
        red=LIMITS,
        blue=LIMITS,
    )
    def begin(self, seed: int, zones: int, entries: int, red: int, blue: int) -> None:
        self.watchdog = Watchdog()
        self.world = LimitsSimulation(
            random.Random(seed),
            self._observe,
            zones=zones,
            entries=entries,
            limits={TEAMS[0]: red, TEAMS[1]: blue},
            faults=FaultProbabilities(),
        )

    def _observe(self, seen: object) -> None:
        broken = self.watchdog.observe(seen)  # type: ignore[arg-type]
        assert not broken, broken

    def _process(self, pick: int) -> EntryProcess | None:
        processes = self.world.processes
        return processes[pick % len(processes)] if processes else None

    @rule(steps=st.integers(1, 12), step_ms=st.integers(30, 150))
    def pass_time(self, steps: int, step_ms: int) -> None:
        for _ in range(steps):
            self.world.step(step_ms)

    @rule(pick=PICK, team=st.sampled_from(TEAMS), count=st.integers(1, 10))
    def demand(self, pick: int, team: TeamName, count: int) -> None:
        process = self._process(pick)
        if process is not None:
            process.backlog[team] += count

    @rule(pick=PICK, after_ms=st.one_of(st.none(), st.integers(0, 2_000)))
    def crash(self, pick: int, after_ms: int | None) -> None:
        process = self._process(pick)
        if process is not None:
            self.world.crash(process, replace_after_ms=after_ms)

    @rule(zone=PICK, name=st.integers(0, 9))
    def add_entry(self, zone: int, name: int) -> None:
        at = self.world.zones[zone % len(self.world.zones)]
        if len(self.world.processes) < 8:
            self.world.start_process(at, f"{at}-new{name}")

    @rule(pick=PICK, duration_ms=st.integers(50, 6_000))
    def pause(self, pick: int, duration_ms: int) -> None:
        process = self._process(pick)
        if process is not None:
            self.world.pause(process, duration_ms)

    @rule(zone=PICK)
    def cut_zone(self, zone: int) -> None:
        self.world.zones_without_store.add(
            self.world.zones[zone % len(self.world.zones)]
        )

    @rule(pick=PICK)
    def cut_entry(self, pick: int) -> None:
        process = self._process(pick)
        if process is not None:
            process.is_cut_off = True

    @precondition(lambda self: not self.world.is_store_down)
    @rule()
    def stop_store(self) -> None:
        self.world.is_store_down = True

    @rule()
    def heal(self) -> None:
        self.world.heal()

    @rule(team=st.sampled_from(TEAMS), limit=LIMITS)
    def set_limit(self, team: TeamName, limit: int) -> None:
        self.world.set_limit(team, limit)


TestEscrowMachine = EscrowMachine.TestCase
