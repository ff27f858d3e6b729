"""Duties under pauses, clock steps, lost replies and store outages.

No write under an old term may take effect once a newer one was used.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthtray.domain.duties import DutySettings
from amaranthtray.store.memory import ClientName, Fault, PlannedFault
from duties.duty_site import LEDGER, DutySite

ENTRIES = st.sampled_from(["e0", "e1", "e2"])
TTL_MS = DutySettings().ttl_ms


class DutyMachine(RuleBasedStateMachine):
    """Delays any step of any entry by any time.

    The entries' clocks run up to a tenth fast or slow, which the margin must cover.
    """

    def __init__(self) -> None:
        super().__init__()
        self.site = DutySite()
        self.site.clock_rates = {"e0": 0.9, "e1": 1.0, "e2": 1.1}
        self.runs = 0
        self.stepped_back: set[str] = set()

    @rule(entry=ENTRIES)
    def run_until_idle(self, entry: str) -> None:
        self.site.run_until_idle(self.site.candidates[entry])

    @rule(entry=ENTRIES, steps=st.integers(1, 8))
    def run_steps(self, entry: str, steps: int) -> None:
        """Makes some calls or handles replies, then pauses the entry."""
        candidate = self.site.candidates[entry]
        self.site.tick(candidate)
        for _ in range(steps):
            (self.site.reply if candidate.replies else self.site.call)(candidate)

    @rule(passed_ms=st.sampled_from([TTL_MS, 30_000]), entry=ENTRIES)
    def take_over_after_expiry(self, passed_ms: int, entry: str) -> None:
        """Lets an entry acquire the duty after all leases have expired."""
        self.site.now_ms += passed_ms
        self.site.run_until_idle(self.site.candidates[entry])
        self.site.write_ledger(self.site.candidates[entry])

    @rule(entry=ENTRIES)
    def write_ledger(self, entry: str) -> None:
        self.site.write_ledger(self.site.candidates[entry])

    @rule(entry=ENTRIES, other=ENTRIES, passed_ms=st.sampled_from([TTL_MS, 30_000]))
    def pause_before_write(self, entry: str, other: str, passed_ms: int) -> None:
        """Pauses the holder between its check of the term and its write."""
        paused = self.site.candidates[entry]
        term = paused.runner.term()
        if term is None or paused.known_value is None or entry == other:
            return
        self.site.now_ms += passed_ms
        self.site.run_until_idle(self.site.candidates[other])
        self.site.write_ledger(self.site.candidates[other])
        before = self.site.platform.read(LEDGER)
        paused.ledger._current_term = lambda: term
        paused.ledger.write(paused.known_value, b"late")
        paused.ledger._current_term = paused.runner.term
        after = self.site.platform.read(LEDGER)
        if before is not None and after is not None and before != after:
            self.site.record_effect(term)
        paused.known_value = None

    @rule(passed_ms=st.sampled_from([1, 400, 2_000, TTL_MS - 1, TTL_MS, 30_000]))
    def advance_time(self, passed_ms: int) -> None:
        self.site.now_ms += passed_ms

    @rule(
        entry=ENTRIES,
        fault=st.sampled_from([*Fault, "cut", "outage"]),
        step=st.sampled_from(["create", "compare_and_swap", "renew_lease", "get"]),
    )
    def inject_fault(self, entry: str, fault: Fault | str, step: str) -> None:
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
        """Steps a clock; a step back during a pause is not noticed.

        The holder may then act too long, but its fenced writes must still fail.
        """
        steps = self.site.clock_steps_ms
        steps[entry] = steps.get(entry, 0) + step_ms
        if step_ms < 0:
            self.stepped_back.add(entry)

    @rule(entry=ENTRIES)
    def restart(self, entry: str) -> None:
        self.runs += 1
        self.site.candidates[entry] = self.site.start(entry, self.runs)

    @invariant()
    def at_most_one_holder(self) -> None:
        holders = set(self.site.holders()) - self.stepped_back
        assert len(holders) <= 1, holders

    @invariant()
    def no_write_under_an_old_term_takes_effect(self) -> None:
        assert not self.site.violations


TestDutyMachine = DutyMachine.TestCase
