"""Pauses, clock steps, lost replies, outages: no act under an old term lands."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthtray.domain.duties import DutySettings
from amaranthtray.store.memory import ClientName, Fault, PlannedFault
from duties.duty_site import LEDGER, DutySite

ENTRIES = st.sampled_from(["e0", "e1", "e2"])
TTL_MS = DutySettings().ttl_ms


class DutyMachine(RuleBasedStateMachine):
    """Every step of every entry may be delayed across any amount of time.

    Each entry's clock may run up to a tenth fast or slow, which the margin covers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.site = DutySite()
        self.site.clock_rates = {"e0": 0.9, "e1": 1.0, "e2": 1.1}
        self.runs = 0
        self.stepped_back: set[str] = set()

    @rule(entry=ENTRIES)
    def settle(self, entry: str) -> None:
        self.site.settle(self.site.candidates[entry])

    @rule(entry=ENTRIES, steps=st.integers(1, 8))
    def progress(self, entry: str, steps: int) -> None:
        """Goes some steps and is paused wherever that leads."""
        one = self.site.candidates[entry]
        self.site.tick(one)
        for _ in range(steps):
            (self.site.reply if one.replies else self.site.call)(one)

    @rule(passed_ms=st.sampled_from([TTL_MS, 30_000]), entry=ENTRIES)
    def succeed(self, passed_ms: int, entry: str) -> None:
        """Another entry takes the duty after all leases have lapsed."""
        self.site.now_ms += passed_ms
        self.site.settle(self.site.candidates[entry])
        self.site.act(self.site.candidates[entry])

    @rule(entry=ENTRIES)
    def act(self, entry: str) -> None:
        self.site.act(self.site.candidates[entry])

    @rule(entry=ENTRIES, other=ENTRIES, passed_ms=st.sampled_from([TTL_MS, 30_000]))
    def act_while_paused(self, entry: str, other: str, passed_ms: int) -> None:
        """The pause falls between the check of the term and the write."""
        paused = self.site.candidates[entry]
        term = paused.runner.term()
        if term is None or paused.believed is None or entry == other:
            return
        self.site.now_ms += passed_ms
        self.site.settle(self.site.candidates[other])
        self.site.act(self.site.candidates[other])
        before = self.site.platform.read(LEDGER)
        paused.ledger._current_term = lambda: term
        paused.ledger.write(paused.believed, b"late")
        paused.ledger._current_term = paused.runner.term
        after = self.site.platform.read(LEDGER)
        if before is not None and after is not None and before != after:
            self.site.note_effect(term)
        paused.believed = None

    @rule(passed_ms=st.sampled_from([1, 400, 2_000, TTL_MS - 1, TTL_MS, 30_000]))
    def advance(self, passed_ms: int) -> None:
        self.site.now_ms += passed_ms

    @rule(
        entry=ENTRIES,
        fault=st.sampled_from([*Fault, "cut", "outage"]),
        step=st.sampled_from(["create", "compare_and_swap", "renew_lease", "get"]),
    )
    def trouble(self, entry: str, fault: Fault | str, step: str) -> None:
        match fault:
            case Fault():
                self.site.platform.plan(entry, PlannedFault(fault, step))
            case "cut":
                self.site.platform.disconnected_clients.add(ClientName(entry))
            case _:
                self.site.platform.is_down = True

    @rule()
    def heal(self) -> None:
        self.site.platform.is_down = False
        self.site.platform.disconnected_clients.clear()
        self.site.platform.apply_delayed_writes()

    @rule(entry=ENTRIES, step_ms=st.sampled_from([-5_000, -1, 5_000]))
    def step_clock(self, entry: str, step_ms: int) -> None:
        """A step back over a pause cannot be seen; the fenced writes still hold."""
        steps = self.site.clock_steps_ms
        steps[entry] = steps.get(entry, 0) + step_ms
        if step_ms < 0:
            self.stepped_back.add(entry)

    @rule(entry=ENTRIES)
    def replace(self, entry: str) -> None:
        self.runs += 1
        self.site.candidates[entry] = self.site.start(entry, self.runs)

    @invariant()
    def one_holder(self) -> None:
        holders = set(self.site.holders()) - self.stepped_back
        assert len(holders) <= 1, holders

    @invariant()
    def no_old_term_takes_effect(self) -> None:
        assert not self.site.violations


TestDutyMachine = DutyMachine.TestCase
