"""Conductors under faults: competing holders, pauses, lost replies, outages."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from amaranthtray.bench._waves_faults import FaultSchedule

SEEDS = range(400)
FAULT_KINDS = len(FaultSchedule(0).faults())


class ConductorMachine(RuleBasedStateMachine):
    """Injects faults in any order; all work must complete once they have ended."""

    def __init__(self) -> None:
        super().__init__()
        self.schedule = FaultSchedule(0)

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.schedule = FaultSchedule(seed)

    @rule(kind=st.integers(0, FAULT_KINDS - 1), wait_ms=st.integers(0, 15_000))
    def inject_fault(self, kind: int, wait_ms: int) -> None:
        self.schedule.faults()[kind]()
        clock = self.schedule.simulation.clock
        clock.run(clock.now_ms + wait_ms)

    @invariant()
    def no_invariant_is_violated(self) -> None:
        assert not self.schedule.fleet.violations()

    def teardown(self) -> None:
        result = self.schedule.finish()
        assert not result.violations
        assert not result.unreached_hosts


TestConductorMachine = ConductorMachine.TestCase


@pytest.mark.parametrize("first", range(0, len(SEEDS), 100))
def test_seeded_schedules_violate_no_invariant_and_reach_every_host(first: int) -> None:
    results = [FaultSchedule(seed).run() for seed in SEEDS[first : first + 100]]
    assert [
        result for result in results if result.violations or result.unreached_hosts
    ] == []
    assert sum(result.reboots for result in results) > 300
    assert sum(result.moves for result in results) > 20
