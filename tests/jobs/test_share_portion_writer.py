"""Pools exchange the rates of teams through rows of a store that fails."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from amaranthtray.domain.ids import PoolName, TeamName
from amaranthtray.domain.scheduling.share_portions import (
    ClaimShare,
    ShareItem,
    SharePortionChanged,
    ShareRow,
    ShareRowsRead,
    decode_row,
    encode_row,
)
from amaranthtray.domain.scheduling.team_service import TeamEnds, WorstTeams
from amaranthtray.jobs import clock, keys
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.share_log import GAUGE_LIFETIME_MS, ShareLog
from amaranthtray.jobs.share_portion_writer import MAX_TRIES, SharePortionWriter
from amaranthtray.store.faults import Fault
from amaranthtray.store.memory_transactions import MemoryTransactions
from jobs.store_site import StoreSite
from jobs.test_run_time_store import Log

RED, A, B = TeamName("red"), PoolName("a"), PoolName("b")


class Site(StoreSite):
    """A writer of pool A, and what it posts, counts and logs."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        self.posted: list[Any] = []
        self.metrics, self.lines = MetricsRegistry(), Log()
        monkeypatch.setattr(clock, "wall_ms", lambda: self.now_ms)
        context: Any = SimpleNamespace(
            store=self.store, log=self.lines, metrics=self.metrics
        )
        self.writer = SharePortionWriter(A, context, self.posted.append, lambda: True)

    def exchange(self, rate: float) -> bool:
        """Claims a rate, as the writer's thread does."""
        pools = frozenset((A, B))
        return self.writer.exchange(ClaimShare(RED, rate, self.now_ms, pools))

    def stored(self) -> ShareRow:
        """Returns the row of the store."""
        item = self.platform.read(keys.shares_key(RED))
        return decode_row(item.value) if item else {}

    def write_as_other(self, rate: float) -> None:
        """Changes the row as the writer of pool B does."""
        item = self.platform.read(keys.shares_key(RED))
        row = self.stored() | {B: ShareItem(rate, self.now_ms)}
        other = MemoryTransactions(self.platform, "other", blocking_watch=False)
        other.compare_and_swap(
            keys.shares_key(RED), encode_row(row), version=item.version if item else 0
        ).unwrap()


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    return Site(monkeypatch)


def test_a_new_conductor_reads_all_rows(site: Site) -> None:
    site.write_as_other(7.0)
    site.writer.load()
    assert site.posted == [ShareRowsRead({RED: {B: ShareItem(7.0, 0)}})]


@pytest.mark.parametrize("step", ["get", "compare_and_swap"])
def test_a_store_that_is_away_changes_nothing(site: Site, step: str) -> None:
    """Guards against a row that counts as read although the store did not answer."""
    site.plan_faults(step, Fault.ERROR)
    assert site.exchange(5.0)
    assert (site.posted, site.stored()) == ([], {})
    assert [event for event, _ in site.lines.lines] == ["share-not-exchanged"]
    site.plan_faults("list", Fault.ERROR)
    site.writer.load()
    assert not site.posted


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LATE_EFFECT])
def test_after_a_lost_reply_the_row_is_read_again(site: Site, fault: Fault) -> None:
    """Guards against a delayed write that removes what was written since."""
    site.plan_faults("compare_and_swap", fault)
    assert site.exchange(5.0)
    assert not site.posted
    site.now_ms += 1_500
    site.write_as_other(3.0)
    assert site.exchange(8.0)
    site.platform.apply_delayed_writes()
    assert site.stored() == {A: ShareItem(8.0, 1_500), B: ShareItem(3.0, 1_500)}
    assert site.metrics.totals("share_writes") == {"unknown": 1, "written": 1}


def test_of_two_writers_of_one_row_the_loser_reads_again(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost rate, and against endless tries while others write."""
    read, rates = site.store.get, iter([1.0, 2.0])

    def get_before_another_write(key: str) -> object:
        found = read(key)
        for rate in rates:
            site.write_as_other(rate)
            break
        return found

    monkeypatch.setattr(site.store, "get", get_before_another_write)
    assert [site.exchange(5.0) for _ in range(3)] == [False, False, True]
    assert site.stored() == {A: ShareItem(5.0, 0), B: ShareItem(2.0, 0)}
    rates = iter([float(number) for number in range(20)])
    site.now_ms += 2_000
    site.writer.claim(ClaimShare(RED, 9.0, site.now_ms, frozenset((A, B))))
    site.writer.start()
    site.writer.stop()
    site.writer._thread.join(5)
    assert site.metrics.totals("share_writes") == {
        "conflict": 2 + MAX_TRIES,
        "written": 1,
    }


def test_an_unreadable_row_is_written_anew(site: Site) -> None:
    site.store.create(keys.shares_key(RED), b"{").unwrap()
    assert site.exchange(5.0)
    assert site.stored() == {A: ShareItem(5.0, 0)}


def test_reports_have_lines_and_the_gauge_forgets_old_ones() -> None:
    log = Log()
    reports: Any = ShareLog(A, 1, log)  # type: ignore[arg-type]
    reports.record(SharePortionChanged(RED, 25.0, 5.04, 20, 250), 0)
    reports.record(WorstTeams((TeamEnds(RED, 10, 4),), 3), 0)
    assert [event for event, _ in log.lines] == ["share-portion", "worst-teams"]
    assert log.lines[0][1]["portion"] == 5.04
    assert reports.worst_share(GAUGE_LIFETIME_MS) == 0.4
    assert reports.worst_share(GAUGE_LIFETIME_MS + 1) is None
