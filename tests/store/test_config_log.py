"""Commits to the log: concurrent writers, lost replies, compaction during a pause."""

from __future__ import annotations

import pytest
from returns.result import Failure, Result, Success

import builders
from amaranthtray.domain.configuration import Change, Configuration, PutTeam, RemoveTeam
from amaranthtray.domain.configuration.follower import ConfigFollower
from amaranthtray.domain.configuration.log import ChangeConflict
from amaranthtray.domain.errors import Problem
from amaranthtray.domain.ids import EntryId, OperationId, Revision, TeamName
from amaranthtray.store.config_keys import SNAPSHOT_KEY, record_key
from amaranthtray.store.config_log import (
    COMPACT_AFTER_RECORDS,
    KEPT_RECORDS,
    CommitFailure,
    Committed,
    ConfigLog,
    ConfigLogWatcher,
)
from amaranthtray.store.contract import EffectUnknown, Unavailable
from amaranthtray.store.memory import Fault, MemoryPlatform, PlannedFault

PUT_RED = PutTeam(builders.team("red"))


class ConfigLogSite:
    """An in-memory store and one client of the log for each entry."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.platform = MemoryPlatform(lambda: self.now_ms)

    def log(self, entry: str = "e1") -> ConfigLog:
        store = self.platform.client(entry)
        return ConfigLog(store, entry=EntryId(entry), rules=builders.rules())

    def commit(
        self,
        cfg: Configuration,
        change: Change = PUT_RED,
        *,
        entry: str = "e1",
        op: str = "op",
        expected: int | None = None,
    ) -> Result[Committed, CommitFailure]:
        return self.log(entry).commit(
            cfg,
            [change],
            op_id=OperationId(op),
            operator=entry,
            expected=None if expected is None else Revision(expected),
        )

    def fill(self, records: int, cfg: Configuration | None = None) -> Configuration:
        state = cfg or Configuration()
        for number in range(records):
            change = PutTeam(builders.team(f"t{number}"))
            op = f"fill-{state.revision + 1}"
            state = self.commit(state, change, op=op).unwrap().cfg
        return state

    def stored(self) -> Configuration:
        return self.log().load().unwrap().cfg


def test_a_stale_writer_commits_after_the_latest_record() -> None:
    site = ConfigLogSite()
    site.fill(3)

    committed = site.commit(Configuration(), entry="e2").unwrap()

    assert committed.revision == 4
    assert committed.cfg == site.stored()


def test_one_of_two_conflicting_operators_gets_a_conflict() -> None:
    site = ConfigLogSite()
    base = site.fill(1)
    site.commit(base, entry="e1", op="a", expected=1).unwrap()

    conflict = site.commit(base, entry="e2", op="b", expected=1).failure()

    assert conflict == ChangeConflict("propose", "e2", "team/red", Revision(2), "e1")
    assert site.stored().revision == 2


def test_a_refusal_on_a_stale_state_is_checked_on_a_fresh_one() -> None:
    site = ConfigLogSite()
    site.commit(Configuration()).unwrap()

    removed = site.commit(Configuration(), RemoveTeam(TeamName("red")), op="r")

    assert isinstance(removed, Success)
    again = site.commit(Configuration(), RemoveTeam(TeamName("red")), op="s")
    assert isinstance(again.failure(), Problem)


@pytest.mark.parametrize(
    "fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE_EFFECT]
)
def test_a_lost_reply_is_resolved_and_commits_once(fault: Fault) -> None:
    site = ConfigLogSite()
    site.platform.plan("e1", PlannedFault(fault, "create"))

    assert site.commit(Configuration()).unwrap().revision == 1
    site.platform.apply_delayed_writes()
    assert site.commit(Configuration()).unwrap().revision == 1
    assert site.stored().revision == 1


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LATE_EFFECT])
def test_a_commit_with_unknown_outcome_is_resolved_by_a_retry(
    fault: Fault,
) -> None:
    site = ConfigLogSite()
    site.platform.plan(
        "e1", PlannedFault(fault, "create"), PlannedFault(Fault.ERROR, "get")
    )

    assert isinstance(site.commit(Configuration()).failure(), EffectUnknown)
    site.platform.apply_delayed_writes()
    assert site.commit(Configuration()).unwrap().revision == 1
    assert site.stored().revision == 1


def test_an_unknown_create_stays_unknown_when_its_retry_fails() -> None:
    site = ConfigLogSite()
    site.platform.plan(
        "e1",
        PlannedFault(Fault.LATE_EFFECT, "create"),
        PlannedFault(Fault.ERROR, "create"),
    )

    assert isinstance(site.commit(Configuration()).failure(), EffectUnknown)


def test_a_commit_without_effect_is_reported_as_unavailable() -> None:
    site = ConfigLogSite()
    site.platform.plan("e1", PlannedFault(Fault.ERROR, "create"))

    assert isinstance(site.commit(Configuration()).failure(), Unavailable)


def test_a_writer_paused_during_a_compaction_does_not_fork_the_log() -> None:
    site = ConfigLogSite()
    stale = site.fill(2)
    now = site.fill(KEPT_RECORDS + 10, stale)
    site.log("e2").compact(now).unwrap()
    assert site.platform.read(record_key(Revision(3))) is None

    committed = site.commit(stale, op="late").unwrap()

    assert committed.revision == now.revision + 1
    assert site.platform.read(record_key(Revision(3))) is None
    assert site.stored() == committed.cfg


def test_a_commit_found_only_in_the_snapshot_is_recognized() -> None:
    site = ConfigLogSite()
    site.platform.plan(
        "e1",
        PlannedFault(Fault.LOST_REPLY, "create"),
        PlannedFault(Fault.ERROR, "get"),
    )
    assert isinstance(site.commit(Configuration()).failure(), EffectUnknown)
    now = site.fill(KEPT_RECORDS + 10, site.stored())
    site.log("e2").compact(now).unwrap()

    assert site.commit(Configuration()).unwrap().revision == 1
    assert site.stored().revision == now.revision


def test_an_unverified_record_below_the_snapshot_changes_nothing() -> None:
    site = ConfigLogSite()
    stale = site.fill(2)
    now = site.fill(KEPT_RECORDS + 10, stale)
    site.log("e2").compact(now).unwrap()
    site.platform.plan("e1", PlannedFault(Fault.ERROR, "get"))

    assert isinstance(site.commit(stale, op="late").failure(), EffectUnknown)
    assert site.stored() == now
    committed = site.commit(stale, op="late").unwrap()
    assert committed.revision == now.revision + 1


def test_compaction_keeps_a_tail_and_never_moves_the_snapshot_back() -> None:
    site = ConfigLogSite()
    half = site.fill(100)
    full = site.fill(100, half)

    assert site.log().compact(full).unwrap()
    assert not site.log("e2").compact(half).unwrap()
    assert site.log().read_snapshot().unwrap()[0] == full
    for _ in range(3):
        site.log().compact(full).unwrap()

    loaded = site.log().load().unwrap()
    assert loaded.cfg == full
    assert loaded.log_length == KEPT_RECORDS
    assert not loaded.has_gap


def test_a_wiped_store_shows_as_a_gap_and_is_repaired_by_a_compaction() -> None:
    site = ConfigLogSite()
    cfg = site.fill(5)
    site.platform.wipe()
    cfg = site.commit(cfg, op="after").unwrap().cfg

    assert site.log().load().unwrap().has_gap
    site.log().compact(cfg).unwrap()
    assert site.stored() == cfg


def test_reading_stops_before_an_unreadable_record() -> None:
    site = ConfigLogSite()
    cfg = site.fill(2)
    site.platform.client("x").create(record_key(Revision(3)), b"{}")

    loaded = site.log().load().unwrap()

    assert loaded.cfg == cfg
    assert loaded.has_gap
    assert isinstance(site.commit(cfg).failure(), Unavailable)


def test_a_log_watcher_continues_after_compacted_events() -> None:
    site = ConfigLogSite()
    follower = ConfigFollower()
    watcher = ConfigLogWatcher(site.log(), site.platform.client("e1"))

    def poll() -> None:
        updates = watcher.poll(timeout_ms=0).unwrap()
        if updates.snapshot is not None:
            follower.offer_snapshot(updates.snapshot)
        follower.offer_records(updates.records)

    poll()
    cfg = site.fill(3)
    poll()
    assert follower.cfg == cfg
    cfg = site.fill(COMPACT_AFTER_RECORDS, cfg)
    site.platform.compact_events()
    poll()
    poll()
    assert follower.cfg == cfg
    assert watcher.compaction_due
    site.log().compact(cfg)
    poll()
    assert follower.cfg == cfg


def test_a_malformed_snapshot_is_a_failure_and_never_an_empty_configuration() -> None:
    site = ConfigLogSite()
    site.platform.client("x").create(SNAPSHOT_KEY, b"garbage")

    assert isinstance(site.commit(Configuration()), Failure)
    assert isinstance(site.log().compact(Configuration()), Failure)
    assert isinstance(site.log().load(), Failure)
