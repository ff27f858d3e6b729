"""Concurrent writers, lost replies, stale peers, compaction and restarts on one log."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthtray.bench._config_schedule import (
    FAULTED_STEPS,
    TEAMS,
    ConfigSchedule,
    run_schedule,
)
from amaranthtray.store.memory import Fault

INDEX = st.integers(0, 2)


class ConfigLogMachine(RuleBasedStateMachine):
    """No record is lost, duplicated or forked, and no entry's revision decreases."""

    def __init__(self) -> None:
        super().__init__()
        self.schedule = ConfigSchedule()

    @rule(
        index=INDEX,
        team=st.integers(0, len(TEAMS) - 1),
        is_stale=st.booleans(),
        is_checked=st.booleans(),
    )
    def commit(self, index: int, team: int, is_stale: bool, is_checked: bool) -> None:
        self.schedule.commit(index, team=team, is_stale=is_stale, is_checked=is_checked)

    @rule(index=INDEX)
    def repeat(self, index: int) -> None:
        self.schedule.repeat(index)

    @rule(index=INDEX)
    def poll(self, index: int) -> None:
        self.schedule.poll(index)

    @rule(index=INDEX)
    def compact(self, index: int) -> None:
        self.schedule.compact(index)

    @rule(index=INDEX, source=INDEX)
    def gossip(self, index: int, source: int) -> None:
        self.schedule.gossip(index, source)

    @rule(index=INDEX, pick=st.integers(0, 200))
    def receive_old_messages(self, index: int, pick: int) -> None:
        self.schedule.receive_old_messages(index, pick)

    @rule(index=INDEX)
    def save_stale_state(self, index: int) -> None:
        self.schedule.save_stale_state(index)

    @rule(
        index=INDEX,
        fault=st.sampled_from(list(Fault)),
        step=st.sampled_from(FAULTED_STEPS),
    )
    def inject_fault(self, index: int, fault: Fault, step: str) -> None:
        self.schedule.plan_fault(index, fault, step)

    @rule(index=INDEX)
    def disconnect(self, index: int) -> None:
        self.schedule.disconnect(index)

    @rule()
    def heal(self) -> None:
        self.schedule.heal()

    @rule(index=INDEX, source=st.none() | INDEX)
    def restart(self, index: int, source: int | None) -> None:
        self.schedule.restart(index, source=source)

    @invariant()
    def no_invariant_is_violated(self) -> None:
        assert self.schedule.check() == []

    def teardown(self) -> None:
        assert self.schedule.finish() == []


TestConfigLogMachine = ConfigLogMachine.TestCase


def test_seeded_schedules_write_records_and_violate_no_invariant() -> None:
    outcomes = [run_schedule(seed) for seed in range(200)]

    assert [violations for violations, _ in outcomes if violations] == []
    assert sum(records for _, records in outcomes) > 1_000
