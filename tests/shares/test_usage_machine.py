"""State machine test of the exchange of usage sums over a faulty network."""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from amaranthtray.domain.ids import Incarnation, Millis, PoolName, TeamName
from amaranthtray.domain.shares import FairShares, UsageAggregator, UsageFrame

POOL = PoolName("web")
TEAMS = (TeamName("red"), TeamName("blue"), TeamName("green"))


class UsageMachine(RuleBasedStateMachine):
    """One entry sends frames, which are lost, repeated and reordered in transit."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = Millis(0)
        self.sender = FairShares(Incarnation("sender"))
        self.receiver = FairShares(Incarnation("receiver"))
        self.aggregator = UsageAggregator(Incarnation("relay"))
        self.running: list[tuple[TeamName, int]] = []
        self.used_ms: dict[TeamName, int] = dict.fromkeys(TEAMS, 0)
        self.frames: list[UsageFrame] = []
        self.sums: dict[TeamName, int] = {}
        self.delivered = -1

    @rule(duration_ms=st.integers(1, 3_000))
    def pass_time(self, duration_ms: int) -> None:
        self.now_ms = Millis(self.now_ms + duration_ms)

    @rule(team=st.sampled_from(TEAMS))
    def start(self, team: TeamName) -> None:
        self.sender.record_start(POOL, team, self.now_ms)
        self.running.append((team, self.now_ms))

    @precondition(lambda self: self.running)
    @rule(pick=st.integers(0, 99))
    def end(self, pick: int) -> None:
        team, began_ms = self.running.pop(pick % len(self.running))
        self.sender.pick(POOL, [team], self.now_ms)
        self.sender.record_end(POOL, team, self.now_ms - began_ms)
        self.used_ms[team] += self.now_ms - began_ms

    @rule()
    def send(self) -> None:
        frame = self.sender.frame({POOL: TEAMS}, self.now_ms)
        for team, total in frame.sums.get(POOL, {}).items():
            assert total >= self.sums.get(team, 0)
            assert total == self.used_ms[team] + self._running_ms(team)
            self.sums[team] = total
        running = [team for team, _ in self.running]
        assert frame.slots.get(POOL, {}) == Counter(running)
        if not self.frames or frame.at_ms > self.frames[-1].at_ms:
            self.frames.append(frame)

    @precondition(lambda self: self.frames)
    @rule(pick=st.integers(0, 99))
    def deliver(self, pick: int) -> None:
        frame = self.frames[pick % len(self.frames)]
        self.receiver.merge(frame, self.now_ms)
        self.aggregator.merge(frame, self.now_ms)
        self.delivered = max(self.delivered, frame.at_ms)
        newest = next(item for item in self.frames if item.at_ms == self.delivered)
        assert self.aggregator.frame(self.now_ms).slots in ({}, newest.slots)

    @rule(waiting=st.sets(st.sampled_from(TEAMS)))
    def pick(self, waiting: set[TeamName]) -> None:
        chosen = self.receiver.pick(POOL, waiting, self.now_ms)
        assert (chosen in waiting) if waiting else chosen is None

    def _running_ms(self, team: TeamName) -> int:
        return sum(self.now_ms - began for item, began in self.running if item == team)

    @invariant()
    def slots_elsewhere_are_never_negative(self) -> None:
        for team in TEAMS:
            assert self.receiver._remote.slots(POOL, team) >= 0


TestUsageMachine = UsageMachine.TestCase
