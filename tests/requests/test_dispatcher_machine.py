"""RequestDispatcher under host failures, lost messages, pauses and cancellations."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from amaranthtray.bench._requests_faults import QUIESCENCE_MS, FaultSchedule
from amaranthtray.bench._requests_simulation import Fault
from amaranthtray.domain.requests.model import WorkClass

SEEDS = 150
STEPS = 25


class DeskMachine(RuleBasedStateMachine):
    """Callers, one entry and its hosts; Hypothesis chooses the faults."""

    @initialize(seed=st.integers(0, 2**16), control_loss=st.sampled_from([0.0, 1.0]))
    def begin(self, seed: int, control_loss: float) -> None:
        self.schedule = FaultSchedule(seed)
        self.simulation = self.schedule.simulation
        self.simulation.control_loss = control_loss
        self.faults: list[Fault] = []
        self.simulation.draw_fault = self._next_fault

    def _next_fault(self) -> Fault:
        return self.faults.pop(0) if self.faults else Fault.NONE

    @rule(faults=st.lists(st.sampled_from(Fault), max_size=4))
    def plan_faults(self, faults: list[Fault]) -> None:
        self.faults = faults

    @rule(
        repeatable=st.booleans(),
        work_class=st.sampled_from(WorkClass),
        timeout_ms=st.sampled_from([1, 300, 5_000, 60_000]),
    )
    def submit(self, repeatable: bool, work_class: WorkClass, timeout_ms: int) -> None:
        self.schedule.submit(
            repeatable=repeatable, work_class=work_class, timeout_ms=timeout_ms
        )

    @rule(index=st.integers(0, 50))
    def cancel(self, index: int) -> None:
        self.schedule.cancel(index)

    @rule(index=st.integers(0, 19))
    def inject_fault(self, index: int) -> None:
        self.schedule.inject_fault(index)

    @rule(ms=st.sampled_from([1, 20, 900, 16_000, 30_000]))
    def pass_time(self, ms: int) -> None:
        self.simulation.run_until(self.simulation.now + ms)

    @invariant()
    def invariants_hold(self) -> None:
        if hasattr(self, "schedule"):
            assert self.schedule.watchdog.violations == []

    def teardown(self) -> None:
        """Lets all work end; each request has one outcome and no slot is held."""
        if not hasattr(self, "schedule"):
            return
        self.simulation.run_until(self.simulation.now + QUIESCENCE_MS)
        result = self.schedule.result()
        assert not result.violation_counts
        assert result.without_outcome == 0
        assert result.leaked == 0


TestDeskMachine = DeskMachine.TestCase


@pytest.mark.parametrize("first", range(0, SEEDS, 50))
def test_seeded_fault_schedules_keep_every_promise(first: int) -> None:
    for seed in range(first, first + 50):
        result = FaultSchedule(seed).run(STEPS)
        assert not result.violation_counts, seed
        assert (result.without_outcome, result.leaked) == (0, 0), seed
