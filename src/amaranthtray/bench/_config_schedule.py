"""Entries that race on one configuration log, one step at a time.

State machines choose the steps by search and the bench chooses them by seed.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.configuration.changes import PutTeam
from ..domain.configuration.follower import ConfigFollower, ConfigUpdate
from ..domain.configuration.log import Rules
from ..domain.configuration.model import Configuration, Team
from ..domain.ids import EntryId, Incarnation, OperationId, Revision, TeamName
from ..domain.invariants import ConfigApplied, ConfigCommitted, Watchdog
from ..store.config_keys import LOG_PREFIX, decode_record
from ..store.config_log import ConfigLog, ConfigLogWatcher
from ..store.contract import EffectUnknown
from ..store.memory import ClientName, Fault, MemoryPlatform, PlannedFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.configuration.changes import Record

KEPT_RECORDS = 4
RULES = Rules(selector=lambda _: None, pools=lambda *_: None)
TEAMS = ("red", "blue", "green")
FAULTED_STEPS = ("create", "get", "list", "compare_and_swap", "delete", "watch")


@dataclass
class Racer:
    """One run of an entry."""

    name: str
    run: int
    log: ConfigLog
    feed: ConfigLogWatcher
    follower: ConfigFollower
    stale: Configuration
    unsettled: list[tuple[OperationId, TeamName]] = field(default_factory=list)


class ConfigSchedule:
    """The entries, the store, and an observer that sees every write in order.

    Time stands still: how soon a change is in force is measured elsewhere.
    """

    def __init__(self, entries: int = 3) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.watchdog = Watchdog()
        self.truth: dict[Revision, Record] = {}
        self.acknowledged: dict[OperationId, Revision] = {}
        self.refused: set[OperationId] = set()
        self.old_records: list[Record] = []
        self.old_snapshots: list[Configuration] = []
        self._observer = self.platform.client("observer")
        self._observed = 0
        self._ops = 0
        self.racers = [self.start(f"e{number}", 0) for number in range(entries)]

    def start(self, name: str, run: int, cfg: Configuration | None = None) -> Racer:
        """Starts an entry without any state but what a peer gave it."""
        store = self.platform.client(name)
        log = ConfigLog(
            store, entry=EntryId(name), rules=RULES, kept_records=KEPT_RECORDS
        )
        follower = ConfigFollower(cfg)
        racer = Racer(
            name, run, log, ConfigLogWatcher(log, store), follower, follower.cfg
        )
        self._note_applied(racer)
        return racer

    def restart(self, index: int, *, source: int | None) -> None:
        """Replaces an entry; the new run may begin with a peer's configuration."""
        old = self.racers[index]
        cfg = None if source is None else self.racers[source].follower.cfg
        self.racers[index] = self.start(old.name, old.run + 1, cfg)

    def commit(
        self, index: int, *, team: int, is_stale: bool, is_checked: bool
    ) -> None:
        """Commits a change, on what the entry has or on what it had long ago."""
        racer = self.racers[index]
        cfg = racer.stale if is_stale else racer.follower.cfg
        self._ops += 1
        op_id = OperationId(f"{racer.name}-{self._ops}")
        self._commit(racer, cfg, op_id, TeamName(TEAMS[team]), is_checked=is_checked)

    def repeat(self, index: int) -> None:
        """Repeats an operation whose outcome the entry does not know."""
        racer = self.racers[index]
        if racer.unsettled:
            op_id, team = racer.unsettled.pop(0)
            cfg = racer.follower.cfg
            self._commit(racer, cfg, op_id, team, is_checked=False, is_repetition=True)

    def poll(self, index: int) -> None:
        """Reads news from the store."""
        racer = self.racers[index]
        news = racer.feed.poll(timeout_ms=0).value_or(None)
        if news is None:
            return
        if news.snapshot is not None:
            self._offer(racer, snapshot=news.snapshot)
        self._offer(racer, *news.records)

    def compact(self, index: int) -> None:
        """Writes the snapshot and deletes covered records."""
        racer = self.racers[index]
        racer.log.compact(racer.follower.cfg)

    def gossip(self, index: int, source: int) -> None:
        """Takes what a peer sends."""
        after = self.racers[index].follower.cfg.revision
        missing = self.racers[source].follower.updates_since(after)
        if missing.snapshot is not None:
            self._offer(self.racers[index], snapshot=missing.snapshot)
        self._offer(self.racers[index], *missing.records)

    def receive_old_messages(self, index: int, pick: int) -> None:
        """Takes messages that were sent long ago, out of order and twice."""
        racer = self.racers[index]
        if self.old_records:
            start = pick % len(self.old_records)
            self._offer(racer, *reversed(self.old_records[start : start + 4]))
        if self.old_snapshots:
            chosen = self.old_snapshots[pick % len(self.old_snapshots)]
            self._offer(racer, snapshot=chosen)

    def save_stale_state(self, index: int) -> None:
        """Remembers the state that a paused writer will wake up with."""
        self.racers[index].stale = self.racers[index].follower.cfg

    def plan_fault(self, index: int, fault: Fault, step: str) -> None:
        """Plans a fault of one of the entry's next calls."""
        self.platform.plan(self.racers[index].name, PlannedFault(fault, step))

    def disconnect(self, index: int) -> None:
        """Cuts an entry off from the store."""
        self.platform.disconnected_clients.add(ClientName(self.racers[index].name))

    def heal(self) -> None:
        """Ends all cuts and lets writes arrive that were under way."""
        self.platform.disconnected_clients.clear()
        self.platform.apply_delayed_writes()

    def check(self) -> list[str]:
        """Returns what is wrong now."""
        self._observe()
        wrong = [violation.detail for violation in self.watchdog.violations]
        wrong += [one for racer in self.racers for one in self._check_racer(racer)]
        ops = Counter(record.op_id for record in self.truth.values())
        wrong += [f"{op} is in the log {n} times" for op, n in ops.items() if n > 1]
        for op_id, revision in self.acknowledged.items():
            if revision not in self.truth or self.truth[revision].op_id != op_id:
                wrong.append(f"{op_id} was acknowledged at {revision} but is not there")
        wrong += [f"{op} was refused but is there" for op in self.refused & ops.keys()]
        return wrong

    def finish(self) -> list[str]:
        """Heals everything, lets all catch up and returns what is wrong."""
        self.heal()
        self.platform.clear_faults()
        for index, racer in enumerate(self.racers):
            racer.feed.reset()
            self.poll(index)
        wrong = self.check()
        last = max(self.truth, default=Revision(0))
        return wrong + [
            f"{racer.name} ended at {racer.follower.cfg.revision} of {last}"
            for racer in self.racers
            if racer.follower.cfg.revision != last
        ]

    def _commit(
        self,
        racer: Racer,
        cfg: Configuration,
        op_id: OperationId,
        team: TeamName,
        *,
        is_checked: bool,
        is_repetition: bool = False,
    ) -> None:
        """Commits; a failed repetition says nothing of the attempt before it."""
        outcome = racer.log.commit(
            cfg,
            [PutTeam(Team(team, share=self._ops))],
            op_id=op_id,
            operator=racer.name,
            expected=cfg.revision if is_checked else None,
        )
        self._observe()
        if isinstance(outcome, Success):
            committed = outcome.unwrap()
            self.acknowledged[op_id] = committed.revision
            self._offer(racer, *committed.records)
            self._offer(racer, snapshot=committed.cfg)
        elif is_repetition or isinstance(outcome.failure(), EffectUnknown):
            racer.unsettled.append((op_id, team))
        else:
            self.refused.add(op_id)

    def _offer(
        self, racer: Racer, *records: Record, snapshot: Configuration | None = None
    ) -> None:
        in_force = racer.follower.offer_records(records)
        if snapshot is not None:
            self.old_snapshots.append(snapshot)
            adopted = racer.follower.offer_snapshot(snapshot)
            in_force = ConfigUpdate(
                in_force.records + adopted.records, in_force.adopted or adopted.adopted
            )
        self.old_records.extend(in_force.records)
        if in_force.has_changed:
            self._note_applied(racer)

    def _note_applied(self, racer: Racer) -> None:
        revision = racer.follower.cfg.revision
        if revision:
            self._observe()
            run = Incarnation(f"{racer.name}/{racer.run}")
            entry = EntryId(racer.name)
            self.watchdog.observe(ConfigApplied(self.now_ms, entry, run, revision))

    def _observe(self) -> None:
        """Sees each write; the first record after the last one is the log's."""
        watched = self._observer.watch(
            LOG_PREFIX, after_version=self._observed, timeout_ms=0
        ).unwrap()
        self._observed = watched.at_version
        for event in watched.events:
            record = decode_record(event.value) if event.value else None
            if record is not None and record.revision == len(self.truth) + 1:
                self.truth[record.revision] = record
                seen = ConfigCommitted(self.now_ms, record.revision)
                self.watchdog.observe(seen)

    def _check_racer(self, racer: Racer) -> list[str]:
        return [
            f"{racer.name} has {op_id} at {revision}"
            for op_id, revision in racer.follower.cfg.recent_ops
            if revision not in self.truth or self.truth[revision].op_id != op_id
        ]


def run_schedule(seed: int, *, steps: int = 30) -> tuple[list[str], int]:
    """Runs one schedule; returns what went wrong and how many records it wrote."""
    rng = random.Random(seed)
    schedule = ConfigSchedule()
    for _ in range(steps):
        _step(schedule, rng)
    return schedule.finish(), len(schedule.truth)


def _step(schedule: ConfigSchedule, rng: random.Random) -> None:
    index = rng.randrange(len(schedule.racers))
    source = rng.randrange(len(schedule.racers))
    steps: list[Callable[[], None]] = [
        lambda: schedule.commit(
            index,
            team=rng.randrange(len(TEAMS)),
            is_stale=rng.random() < 0.4,
            is_checked=rng.random() < 0.3,
        ),
        lambda: schedule.repeat(index),
        lambda: schedule.poll(index),
        lambda: schedule.compact(index),
        lambda: schedule.gossip(index, source),
        lambda: schedule.receive_old_messages(index, rng.randrange(1_000)),
        lambda: schedule.save_stale_state(index),
        lambda: schedule.plan_fault(
            index, rng.choice(list(Fault)), rng.choice(FAULTED_STEPS)
        ),
        lambda: schedule.disconnect(index),
        schedule.heal,
        lambda: schedule.restart(index, source=rng.choice([None, source])),
    ]
    weights = [10, 2, 3, 3, 3, 2, 1, 4, 1, 2, 1]
    rng.choices(steps, weights)[0]()
