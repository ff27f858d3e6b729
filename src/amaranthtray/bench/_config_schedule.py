"""Entries that write to one configuration log concurrently, one step at a time.

The state machine test lets Hypothesis choose the steps; the benchmark chooses them
with a seeded random source.
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
class EntryRun:
    """One run of an entry.

    Attributes:
        stale_cfg: Earlier state, to commit on as a writer does after a pause.
        unresolved: Operations whose outcome is unknown, with the team they put.
    """

    name: str
    run_number: int
    log: ConfigLog
    log_watcher: ConfigLogWatcher
    follower: ConfigFollower
    stale_cfg: Configuration
    unresolved: list[tuple[OperationId, TeamName]] = field(default_factory=list)


class ConfigSchedule:
    """The entries, the store, and an observer that sees every write in order.

    The clock does not advance; ``measure_latency`` measures propagation times.
    """

    def __init__(self, entries: int = 3) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.watchdog = Watchdog()
        self.committed_records: dict[Revision, Record] = {}
        self.acknowledged: dict[OperationId, Revision] = {}
        self.refused: set[OperationId] = set()
        self.old_records: list[Record] = []
        self.old_snapshots: list[Configuration] = []
        self._observer = self.platform.client("observer")
        self._observed = 0
        self._operation_count = 0
        self.runs = [self.start(f"e{number}", 0) for number in range(entries)]

    def start(
        self, name: str, run_number: int, cfg: Configuration | None = None
    ) -> EntryRun:
        """Starts an entry whose only state is the configuration of a peer, if any."""
        store = self.platform.client(name)
        log = ConfigLog(
            store, entry=EntryId(name), rules=RULES, kept_records=KEPT_RECORDS
        )
        follower = ConfigFollower(cfg)
        entry_run = EntryRun(
            name, run_number, log, ConfigLogWatcher(log, store), follower, follower.cfg
        )
        self._record_applied(entry_run)
        return entry_run

    def restart(self, index: int, *, source: int | None) -> None:
        """Replaces an entry; the new run may start with the configuration of a peer."""
        old = self.runs[index]
        cfg = None if source is None else self.runs[source].follower.cfg
        self.runs[index] = self.start(old.name, old.run_number + 1, cfg)

    def commit(
        self, index: int, *, team: int, is_stale: bool, is_checked: bool
    ) -> None:
        """Commits a change on the current state of the entry, or on its stale state."""
        entry_run = self.runs[index]
        cfg = entry_run.stale_cfg if is_stale else entry_run.follower.cfg
        self._operation_count += 1
        op_id = OperationId(f"{entry_run.name}-{self._operation_count}")
        self._commit(
            entry_run, cfg, op_id, TeamName(TEAMS[team]), is_checked=is_checked
        )

    def repeat(self, index: int) -> None:
        """Repeats the oldest operation whose outcome is unknown to the entry."""
        entry_run = self.runs[index]
        if entry_run.unresolved:
            op_id, team = entry_run.unresolved.pop(0)
            cfg = entry_run.follower.cfg
            self._commit(
                entry_run, cfg, op_id, team, is_checked=False, is_repetition=True
            )

    def poll(self, index: int) -> None:
        """Reads updates of the log from the store."""
        entry_run = self.runs[index]
        updates = entry_run.log_watcher.poll(timeout_ms=0).value_or(None)
        if updates is None:
            return
        if updates.snapshot is not None:
            self._offer(entry_run, snapshot=updates.snapshot)
        self._offer(entry_run, *updates.records)

    def compact(self, index: int) -> None:
        """Writes a snapshot and deletes the records that it covers."""
        entry_run = self.runs[index]
        entry_run.log.compact(entry_run.follower.cfg)

    def gossip(self, index: int, source: int) -> None:
        """Applies the updates that a peer has and the entry lacks."""
        after = self.runs[index].follower.cfg.revision
        missing = self.runs[source].follower.updates_since(after)
        if missing.snapshot is not None:
            self._offer(self.runs[index], snapshot=missing.snapshot)
        self._offer(self.runs[index], *missing.records)

    def receive_old_messages(self, index: int, pick: int) -> None:
        """Offers old records and an old snapshot again, out of order."""
        entry_run = self.runs[index]
        if self.old_records:
            start = pick % len(self.old_records)
            self._offer(entry_run, *reversed(self.old_records[start : start + 4]))
        if self.old_snapshots:
            chosen = self.old_snapshots[pick % len(self.old_snapshots)]
            self._offer(entry_run, snapshot=chosen)

    def save_stale_state(self, index: int) -> None:
        """Saves the current state, to commit on later like a writer after a pause."""
        self.runs[index].stale_cfg = self.runs[index].follower.cfg

    def plan_fault(self, index: int, fault: Fault, step: str) -> None:
        """Plans a fault of one of the next store calls of an entry."""
        self.platform.plan(self.runs[index].name, PlannedFault(fault, step))

    def disconnect(self, index: int) -> None:
        """Disconnects an entry from the store."""
        self.platform.disconnected_clients.add(ClientName(self.runs[index].name))

    def heal(self) -> None:
        """Reconnects all entries and applies the delayed writes."""
        self.platform.disconnected_clients.clear()
        self.platform.apply_delayed_writes()

    def check(self) -> list[str]:
        """Returns descriptions of all violations so far."""
        self._observe()
        violations = [violation.detail for violation in self.watchdog.violations]
        violations += [
            violation
            for entry_run in self.runs
            for violation in self._check_run(entry_run)
        ]
        ops = Counter(record.op_id for record in self.committed_records.values())
        violations += [
            f"{op} is in the log {n} times" for op, n in ops.items() if n > 1
        ]
        for op_id, revision in self.acknowledged.items():
            if (
                revision not in self.committed_records
                or self.committed_records[revision].op_id != op_id
            ):
                violations.append(
                    f"{op_id} was acknowledged at {revision} but is not there"
                )
        violations += [
            f"{op} was refused but is there" for op in self.refused & ops.keys()
        ]
        return violations

    def finish(self) -> list[str]:
        """Ends all faults, lets all entries catch up and returns the violations."""
        self.heal()
        self.platform.clear_faults()
        for index, entry_run in enumerate(self.runs):
            entry_run.log_watcher.reset()
            self.poll(index)
        violations = self.check()
        last = max(self.committed_records, default=Revision(0))
        return violations + [
            f"{entry_run.name} ended at {entry_run.follower.cfg.revision} of {last}"
            for entry_run in self.runs
            if entry_run.follower.cfg.revision != last
        ]

    def _commit(
        self,
        entry_run: EntryRun,
        cfg: Configuration,
        op_id: OperationId,
        team: TeamName,
        *,
        is_checked: bool,
        is_repetition: bool = False,
    ) -> None:
        """Commits; a failed repetition does not show how the first attempt ended."""
        outcome = entry_run.log.commit(
            cfg,
            [PutTeam(Team(team, share=self._operation_count))],
            op_id=op_id,
            operator=entry_run.name,
            expected=cfg.revision if is_checked else None,
        )
        self._observe()
        if isinstance(outcome, Success):
            committed = outcome.unwrap()
            self.acknowledged[op_id] = committed.revision
            self._offer(entry_run, *committed.records)
            self._offer(entry_run, snapshot=committed.cfg)
        elif is_repetition or isinstance(outcome.failure(), EffectUnknown):
            entry_run.unresolved.append((op_id, team))
        else:
            self.refused.add(op_id)

    def _offer(
        self,
        entry_run: EntryRun,
        *records: Record,
        snapshot: Configuration | None = None,
    ) -> None:
        update = entry_run.follower.offer_records(records)
        if snapshot is not None:
            self.old_snapshots.append(snapshot)
            adopted = entry_run.follower.offer_snapshot(snapshot)
            update = ConfigUpdate(
                update.records + adopted.records, update.adopted or adopted.adopted
            )
        self.old_records.extend(update.records)
        if update.has_changed:
            self._record_applied(entry_run)

    def _record_applied(self, entry_run: EntryRun) -> None:
        revision = entry_run.follower.cfg.revision
        if revision:
            self._observe()
            incarnation = Incarnation(f"{entry_run.name}/{entry_run.run_number}")
            entry = EntryId(entry_run.name)
            self.watchdog.observe(
                ConfigApplied(self.now_ms, entry, incarnation, revision)
            )

    def _observe(self) -> None:
        """Reads new writes; the first record of a revision is the committed one."""
        watched = self._observer.watch(
            LOG_PREFIX, after_version=self._observed, timeout_ms=0
        ).unwrap()
        self._observed = watched.at_version
        for event in watched.events:
            record = decode_record(event.value) if event.value else None
            if (
                record is not None
                and record.revision == len(self.committed_records) + 1
            ):
                self.committed_records[record.revision] = record
                observation = ConfigCommitted(self.now_ms, record.revision)
                self.watchdog.observe(observation)

    def _check_run(self, entry_run: EntryRun) -> list[str]:
        return [
            f"{entry_run.name} has {op_id} at {revision}"
            for op_id, revision in entry_run.follower.cfg.recent_ops
            if revision not in self.committed_records
            or self.committed_records[revision].op_id != op_id
        ]


def run_schedule(seed: int, *, steps: int = 30) -> tuple[list[str], int]:
    """Runs one schedule; returns the violations and the number of records written."""
    rng = random.Random(seed)
    schedule = ConfigSchedule()
    for _ in range(steps):
        _step(schedule, rng)
    return schedule.finish(), len(schedule.committed_records)


def _step(schedule: ConfigSchedule, rng: random.Random) -> None:
    index = rng.randrange(len(schedule.runs))
    source = rng.randrange(len(schedule.runs))
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
