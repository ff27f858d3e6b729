"""Test bed of entries that compete for one duty, run step by step."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from returns.result import Success

from amaranthtray.domain.duties import DutyHolder
from amaranthtray.domain.duties.messages import DutyCall, DutyReply
from amaranthtray.domain.duties.names import DutyName
from amaranthtray.domain.ids import EntryId, Incarnation, Term
from amaranthtray.store.duties import DutyRunner
from amaranthtray.store.fenced import FencedKey, FencedValue
from amaranthtray.store.memory import MemoryPlatform
from amaranthtray.store.read_back import ReadBackStore

LEDGER = "ledger"


@dataclass
class Candidate:
    """One incarnation of an entry, with its pending calls and replies."""

    name: str
    runner: DutyRunner
    ledger: FencedKey
    calls: deque[DutyCall]
    replies: deque[DutyReply]
    known_value: FencedValue | None = None
    known_value_term: Term | None = None


class DutySite:
    """A store, a reference clock and entries whose clocks may deviate from it."""

    def __init__(self, entries: int = 3) -> None:
        self.now_ms = 0
        self.clock_steps_ms: dict[str, int] = {}
        self.clock_rates: dict[str, float] = {}
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.candidates = {f"e{n}": self.start(f"e{n}", 0) for n in range(entries)}
        self.highest_effective_term = 0
        self.violations: list[str] = []

    def start(self, name: str, run: int) -> Candidate:
        holder = DutyHolder(
            EntryId(name), Incarnation(f"i{run}"), rng=random.Random(run)
        )
        holder.is_wanted = True
        store = self.platform.client(name)
        runner = DutyRunner(
            DutyName("steward/z1"),
            holder,
            store=store,
            clock=lambda: self.clock(name),
        )
        ledger = FencedKey(
            ReadBackStore(store),
            LEDGER,
            writer=f"{name}/{run}",
            current_term=runner.term,
        )
        return Candidate(name, runner, ledger, deque(), deque())

    def clock(self, name: str) -> int:
        passed = self.now_ms * self.clock_rates.get(name, 1.0)
        return round(passed) + self.clock_steps_ms.get(name, 0)

    def tick(self, candidate: Candidate) -> None:
        candidate.calls.extend(candidate.runner.holder.tick(self.clock(candidate.name)))

    def call(self, candidate: Candidate) -> None:
        """Makes the next call in the store; its reply stays pending."""
        if candidate.calls:
            candidate.replies.append(candidate.runner.call(candidate.calls.popleft()))

    def reply(self, candidate: Candidate) -> None:
        if candidate.replies:
            reply = candidate.replies.popleft()
            candidate.calls.extend(
                candidate.runner.holder.handle(reply, self.clock(candidate.name))
            )

    def run_until_idle(self, candidate: Candidate) -> None:
        """Makes all calls that are due and handles their replies."""
        self.tick(candidate)
        while candidate.calls or candidate.replies:
            self.call(candidate)
            self.reply(candidate)

    def write_ledger(self, candidate: Candidate) -> None:
        """Takes the ledger over under a new term, or writes it under the known one."""
        term = candidate.runner.term()
        if term is None:
            return
        if candidate.known_value is None or candidate.known_value_term != term:
            outcome = candidate.ledger.take_over()
        else:
            outcome = candidate.ledger.write(candidate.known_value, f"{term}".encode())
        candidate.known_value = outcome.value_or(None)
        candidate.known_value_term = term
        if isinstance(outcome, Success):
            self.record_effect(outcome.unwrap().term)

    def record_effect(self, term: int) -> None:
        if term < self.highest_effective_term:
            self.violations.append(f"term {term} after {self.highest_effective_term}")
        self.highest_effective_term = max(term, self.highest_effective_term)

    def holders(self) -> list[str]:
        return [
            candidate.name
            for candidate in self.candidates.values()
            if candidate.runner.term() is not None
        ]
