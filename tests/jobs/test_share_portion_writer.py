"""Pools exchange the rates of teams through rows of a store that fails."""

from __future__ import annotations

from dataclasses import asdict
from types import SimpleNamespace
from typing import Any

import pytest

from amaranthtray.domain.ids import PoolName, TeamName, Term
from amaranthtray.domain.scheduling import share_portions as sp
from amaranthtray.domain.scheduling.team_service import TeamEnds, WorstTeams
from amaranthtray.jobs import clock, keys
from amaranthtray.jobs.call_turns import CallTurns
from amaranthtray.jobs.conductor_log import ConductorLog
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.pool_conductor import PoolConductor, _policy
from amaranthtray.jobs.share_log import GAUGE_LIFETIME_MS, ShareLog
from amaranthtray.jobs.share_portion_writer import MAX_TRIES, SharePortionWriter
from amaranthtray.settings.job_entry import SchedulingSection, StoreSection
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite
from jobs.test_run_time_store import Log

RED, A, B = TeamName("red"), PoolName("a"), PoolName("b")
KEY, POOLS = keys.shares_key(RED), frozenset((A, B))


class Site(StoreSite):
    """A writer of pool A, and what it posts, counts and logs."""

    def __init__(self) -> None:
        super().__init__()
        self.posted: list[Any] = []
        self.metrics, self.lines = MetricsRegistry(), Log()
        self.context: Any = SimpleNamespace(
            store=self.store, log=self.lines, metrics=self.metrics
        )
        self.writer = SharePortionWriter(
            A, self.context, self.posted.append, lambda: True
        )

    def exchange(self, rate: float) -> bool:
        """Claims a rate, as the writer's thread does."""
        return self.writer.exchange(sp.ClaimShare(RED, rate, self.now_ms, POOLS))

    def stored(self) -> sp.ShareRow:
        """Returns the row of the store."""
        return sp.decode_row(self.platform.read(KEY).value)

    def write_as_other(self, rate: float) -> None:
        """Changes the row as the writer of pool B does."""
        item = self.platform.read(KEY)
        row = self.stored() if item else {}
        row[B] = sp.ShareItem(rate, self.now_ms)
        version = item.version if item else 0
        self.platform.write(KEY, sp.encode_row(row), version, None, "").unwrap()


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    site = Site()
    monkeypatch.setattr(clock, "wall_ms", lambda: site.now_ms)
    return site


@pytest.mark.parametrize("step", ["get", "compare_and_swap", "list"])
def test_a_store_that_is_away_changes_nothing(site: Site, step: str) -> None:
    """Guards against a row that counts as read although the store did not answer."""
    site.platform.write(KEY, b"{}", 0, None, "").unwrap()
    site.plan_faults(step, Fault.ERROR)
    site.writer.load() if step == "list" else site.exchange(5.0)
    assert (site.posted, site.stored()) == ([], {})
    assert len(site.lines.lines) == 1


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
    assert site.stored() == {A: sp.ShareItem(8.0, 1_500), B: sp.ShareItem(3.0, 1_500)}
    assert site.metrics.totals("share_writes") == {"unknown": 1, "written": 1}


def test_of_two_writers_of_one_row_the_loser_reads_again(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost rate, and against endless tries while others write."""
    read, rates = site.store.get, [1.0, 2.0]

    def get_before_another_write(key: str) -> object:
        found = read(key)
        if rates:
            site.write_as_other(rates.pop())
        return found

    monkeypatch.setattr(site.store, "get", get_before_another_write)
    assert [site.exchange(5.0) for _ in range(3)] == [False, False, True]
    assert site.stored() == {A: sp.ShareItem(5.0, 0), B: sp.ShareItem(1.0, 0)}
    rates += range(20)
    site.now_ms += 2_000
    site.writer.claim(sp.ClaimShare(RED, 9.0, site.now_ms, POOLS))
    site.writer.start()
    site.writer.stop()
    site.writer._thread.join(5)
    conflicts = 2 + MAX_TRIES
    assert site.metrics.totals("share_writes") == {"conflict": conflicts, "written": 1}


def test_an_unreadable_row_is_written_anew(site: Site) -> None:
    site.platform.write(KEY, b"{", 0, None, "").unwrap()
    assert site.exchange(5.0)
    assert site.stored() == {A: sp.ShareItem(5.0, 0)}


def test_reports_have_lines_and_the_gauge_forgets_old_ones() -> None:
    log: Any = Log()
    reports = ShareLog(ConductorLog(A, Term(1), log, MetricsRegistry()))
    reports.record(sp.SharePortionChanged(RED, 25.0, 5.04, 20, 250), 0)
    reports.record(WorstTeams((TeamEnds(RED, 10, 4),), 3), 0)
    assert [event for event, _ in log.lines] == ["share-portion", "worst-teams"]
    assert reports.worst_share(GAUGE_LIFETIME_MS) == 0.4
    assert reports.worst_share(GAUGE_LIFETIME_MS + 1) is None


@pytest.mark.parametrize("is_on", [True, False])
def test_only_with_the_switch_a_new_conductor_reads_rows(
    site: Site, *, is_on: bool
) -> None:
    """Guards against store calls of a switch that is off."""
    site.write_as_other(7.0)
    context, section = site.context, SchedulingSection(share_over_pools=is_on)
    hosts = SimpleNamespace(max_lease_ms=9_000)
    jobs = SimpleNamespace(cancellation_limit_ms=3_000)
    store = StoreSection(address="127.0.0.1:1")
    context.settings = SimpleNamespace(
        hosts=hosts, jobs=jobs, scheduling=section, store=store
    )
    context.evacuations = SimpleNamespace(subscribe=lambda pool, post: True)
    context.platform = SimpleNamespace(adviser=lambda: None)
    context.advice_turns = CallTurns()
    context.catalog = lambda: None
    conductor = PoolConductor(A, Term(1), lambda: Term(1), context)
    conductor._conduct()
    conductor.stop()
    conductor._share_portions.stop()
    if is_on:
        conductor._share_portions._thread.join(5)
    row = sp.ShareRowsRead({RED: {B: sp.ShareItem(7.0, 0)}})
    assert (row in conductor._receive()) == is_on
    assert _policy(section).share_over_pools == is_on


def test_each_switch_of_the_settings_reaches_the_scheduler() -> None:
    """Guards against a switch or factor that has no effect."""
    fields = dict.fromkeys(SchedulingSection.__struct_fields__, True)
    fields |= {"remote_factor": 3}
    policy = asdict(_policy(SchedulingSection(**fields)))
    del fields["forecast_demand"]  # of the fleet's holder
    assert policy == fields
