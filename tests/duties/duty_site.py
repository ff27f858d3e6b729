"""Entries that compete for one duty, one step at a time."""

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
    """One run of an entry, with what it has under way."""

    name: str
    runner: DutyRunner
    ledger: FencedKey
    calls: deque[DutyCall]
    replies: deque[DutyReply]
    believed: FencedValue | None = None
    believed_term: Term | None = None


class DutySite:
    """A store, a true clock, and entries whose clocks may run differently."""

    def __init__(self, entries: int = 3) -> None:
        self.now_ms = 0
        self.clock_steps_ms: dict[str, int] = {}
        self.clock_rates: dict[str, float] = {}
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.candidates = {f"e{n}": self.start(f"e{n}", 0) for n in range(entries)}
        self.highest_effective = 0
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

    def tick(self, one: Candidate) -> None:
        one.calls.extend(one.runner.holder.tick(self.clock(one.name)))

    def call(self, one: Candidate) -> None:
        """The call reaches the store; its reply is under way."""
        if one.calls:
            one.replies.append(one.runner.call(one.calls.popleft()))

    def reply(self, one: Candidate) -> None:
        if one.replies:
            reply = one.replies.popleft()
            one.calls.extend(one.runner.holder.handle(reply, self.clock(one.name)))

    def settle(self, one: Candidate) -> None:
        """Does all that is due, as an entry does that is not paused."""
        self.tick(one)
        while one.calls or one.replies:
            self.call(one)
            self.reply(one)

    def act(self, one: Candidate) -> None:
        """Takes over under a new term, or writes under the known one."""
        term = one.runner.term()
        if term is None:
            return
        if one.believed is None or one.believed_term != term:
            outcome = one.ledger.take_over()
        else:
            outcome = one.ledger.write(one.believed, f"{term}".encode())
        one.believed = outcome.value_or(None)
        one.believed_term = term
        if isinstance(outcome, Success):
            self.note_effect(outcome.unwrap().term)

    def note_effect(self, term: int) -> None:
        if term < self.highest_effective:
            self.violations.append(f"term {term} after {self.highest_effective}")
        self.highest_effective = max(term, self.highest_effective)

    def holders(self) -> list[str]:
        return [
            one.name
            for one in self.candidates.values()
            if one.runner.term() is not None
        ]
