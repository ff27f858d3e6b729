"""A conductor's handling of waves, moves and failures, and progress estimates."""

from __future__ import annotations

from dataclasses import replace

import pytest

import builders
from amaranthtray.domain.budgets import OutageStage, OutCause
from amaranthtray.domain.configuration import (
    SPARE_POOL,
    WaveAction,
    WaveState,
)
from amaranthtray.domain.ids import HostId, PoolName, Revision
from amaranthtray.domain.placement import pool_views
from amaranthtray.domain.waves import (
    CasLedger,
    CommitMoves,
    DrainHost,
    EndUnknown,
    HealthChanged,
    HostDrained,
    HostReturned,
    LedgerSwapped,
    MovesCommitted,
    MovesRefused,
    RebootHost,
    ReturnHost,
    Tick,
    ViewChanged,
    combine_progress,
    wave_progress,
)
from conducting import (
    HOSTS,
    LEASE_MS,
    NAMES,
    PATCH,
    WEB,
    Driver,
    config,
    effect_names,
    view_of,
)


def test_a_failed_host_cancels_drains_but_not_reboots() -> None:
    driver = Driver(config())
    first, second = driver.stages()
    driver.report_drained(HostId(first))
    effects = driver.send(HealthChanged(HostId("z2-h5"), OutCause.FAILED))
    assert driver.stages() == {first: "rebooting", second: "returning", "z2-h5": "out"}
    assert effect_names(effects) == ["CasLedger", "ReturnHost"]
    driver.report_returned(HostId(second))
    assert driver.stages() == {first: "rebooting", "z2-h5": "out"}


def test_a_smaller_budget_cancels_drains() -> None:
    driver = Driver(config())
    pool = builders.pool("web", max_out=1)
    driver.change(replace(driver.cfg, pools={**driver.cfg.pools, WEB: pool}))
    assert sorted(driver.stages().values()) == ["draining", "returning"]


def test_pause_lets_drains_continue_and_abort_returns_hosts() -> None:
    driver = Driver(config())
    first, second = driver.stages()
    driver.set_wave_state(WaveState.PAUSED)
    driver.report_drained(HostId(first))
    driver.report_rebooted(HostId(first))
    assert driver.stages() == {second: "draining"}
    driver.set_wave_state(WaveState.ABORTED)
    assert driver.stages() == {second: "returning"}
    driver.report_returned(HostId(second))
    assert driver.stages() == {}


def test_each_host_is_maintained_once_across_holders() -> None:
    driver = Driver(config())
    rebooted: list[str] = []
    for term in range(2, 40):
        for host, stage in driver.stages().items():
            if stage == "draining":
                rebooted += effect_names(driver.report_drained(HostId(host))).count(
                    "RebootHost"
                ) * [host]
            elif stage == "rebooting":
                driver.report_rebooted(HostId(host))
        driver = Driver(config(), term=term, ledger=driver.ledger)
    assert sorted(rebooted) == sorted(NAMES)
    assert driver.ledger is not None
    assert driver.ledger.wave_record(PATCH).done == set(NAMES)


def test_a_host_that_never_reboots_stays_out_and_is_reported_overdue() -> None:
    driver = Driver(config())
    stuck_host = driver.first_out()
    driver.report_drained(stuck_host)
    for _ in range(5):
        driver.now_ms += 10 * 60_000
        host = next(host for host in driver.stages() if host != stuck_host)
        driver.report_drained(HostId(host))
        driver.report_rebooted(HostId(host))
    assert driver.stages() == {stuck_host: "rebooting"}
    assert driver.ledger is not None
    reported = wave_progress(
        driver.ledger, view_of(driver.cfg), PATCH, wall_ms=driver.now_ms
    )
    assert (reported.done, reported.overdue, reported.end_ms) == (
        5,
        (stuck_host,),
        None,
    )
    assert reported.end_unknown is EndUnknown.HOSTS_OUT


def test_a_long_drain_is_deferred_once() -> None:
    driver = Driver(config())
    slow = driver.first_out()
    driver.now_ms += 60 * 60_000
    driver.send(Tick())
    assert driver.stages()[slow] == "returning"
    driver.report_returned(slow)
    assert slow not in driver.stages()
    for _ in range(20):
        for host, stage in driver.stages().items():
            if host != slow and stage == "draining":
                driver.report_drained(HostId(host))
            elif host != slow and stage == "rebooting":
                driver.report_rebooted(HostId(host))
            elif host != slow:
                driver.report_returned(HostId(host))
    driver.now_ms += 600 * 60_000
    driver.send(Tick())
    assert driver.stages() == {slow: "draining"}


def test_a_drain_wave_follows_its_order_label_and_does_not_reboot() -> None:
    driver = Driver(config(order="n", selector="n notin (0)", action=WaveAction.DRAIN))
    drained_hosts: list[str] = []
    while driver.stages():
        host = driver.first_out()
        drained_hosts.append(host)
        assert "RebootHost" not in effect_names(driver.report_drained(host))
        driver.report_returned(host)
    assert [name[-1] for name in drained_hosts] == ["1", "2", "3", "4", "5"]


def test_hosts_maintained_in_another_pool_are_not_taken_out_again() -> None:
    cfg = config()
    done = {PoolName("db"): {PATCH: frozenset(NAMES[:5])}}
    view = pool_views(cfg, HOSTS, done=done, only=frozenset({WEB}))[WEB]
    driver = Driver(replace(cfg, waves={}))
    driver.send(ViewChanged(replace(view, revision=Revision(5))))
    assert list(driver.stages()) == [NAMES[5]]


def test_a_move_drains_and_commits_a_record_and_a_refusal_returns_the_host() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    labels = {name: {"pool": "db"} for name in NAMES[:2]}
    driver.change(replace(cfg, host_labels=labels))
    driver.withholds_replies = True
    driver.report_drained(NAMES[0])
    driver.withholds_replies = False
    cas = driver.effects[-1]
    assert isinstance(cas, CasLedger)
    driver.report_drained(NAMES[1])
    driver.ledger, driver.version = cas.ledger, cas.version + 1
    effects = driver.send(LedgerSwapped(cas.fence.op_id, driver.version))
    commits = [effect for effect in effects if isinstance(effect, CommitMoves)]
    assert [set(commit.moves) for commit in commits] == [{NAMES[0]}, {NAMES[1]}]
    driver.send(MovesRefused(commits[0].fence.op_id))
    assert driver.stages() == {NAMES[0]: "returning", NAMES[1]: "placing"}
    placement = {**driver.cfg.placement, NAMES[1]: PoolName("db")}
    driver.change(replace(driver.cfg, placement=placement))
    assert driver.stages()[NAMES[1]] == "left"
    driver.send(HostReturned(NAMES[1], driver.op(NAMES[1]), takes_work=False))  # type: ignore[arg-type]
    assert NAMES[1] not in driver.stages()


def test_a_host_that_was_moved_away_and_back_is_returned() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    driver.change(replace(cfg, host_labels={NAMES[0]: {"pool": "db"}}))
    (commit,) = [
        effect
        for effect in driver.report_drained(NAMES[0])
        if isinstance(effect, CommitMoves)
    ]
    driver.change(cfg)
    assert driver.stages() == {NAMES[0]: "placing"}
    driver.send(MovesCommitted(commit.fence.op_id, Revision(99)))
    assert driver.stages() == {NAMES[0]: "placing"}
    driver.send(MovesCommitted(commit.fence.op_id, driver.cfg.revision))
    assert driver.stages() == {NAMES[0]: "returning"}


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_moved_host_is_removed_only_if_the_platform_does_not_list_it(
    is_listed: bool,
) -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    driver.change(replace(cfg, host_labels={NAMES[0]: {"pool": "db"}}))
    driver.report_drained(NAMES[0])
    moved = {**driver.cfg.placement, NAMES[0]: PoolName("db")}
    driver.change(replace(driver.cfg, placement=moved))
    if not is_listed:
        view = view_of(driver.cfg, HOSTS[1:])
        driver.send(ViewChanged(view))
    driver.now_ms += 60 * 60_000
    driver.send(Tick())
    assert driver.stages() == ({NAMES[0]: "left"} if is_listed else {})


def test_hosts_drained_at_the_same_time_move_with_one_record() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    driver.change(
        replace(cfg, host_labels={name: {"pool": "db"} for name in NAMES[:2]})
    )
    ops = [driver.op(name) for name in NAMES[:2]]
    driver.now_ms = LEASE_MS - 1_000
    for name, op_id in zip(NAMES, ops, strict=False):
        driver.send(HostDrained(name, op_id))  # type: ignore[arg-type]
    driver.now_ms = 0
    effects = driver.send(Tick())
    commits = [effect for effect in effects if isinstance(effect, CommitMoves)]
    assert [commit.moves for commit in commits] == [dict.fromkeys(NAMES[:2], "db")]


def test_a_host_missing_for_long_moves_to_the_spare_pool() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    view = replace(view_of(cfg, HOSTS[1:]), revision=Revision(2))
    driver.send(ViewChanged(view))
    assert driver.stages() == {NAMES[0]: "out"}
    driver.now_ms += 60 * 60_000
    effects = driver.send(Tick())
    commits = [effect for effect in effects if isinstance(effect, CommitMoves)]
    assert [commit.moves for commit in commits] == [{NAMES[0]: SPARE_POOL}]


def test_an_end_is_estimated_only_from_enough_completed_hosts() -> None:
    driver = Driver(config())
    view = view_of(driver.cfg)

    def end() -> int | EndUnknown | None:
        assert driver.ledger is not None
        reported = wave_progress(
            driver.ledger, view_of(driver.cfg), PATCH, wall_ms=driver.now_ms
        )
        return reported.end_ms if reported.end_unknown is None else reported.end_unknown

    assert end() is EndUnknown.NOT_MEASURED
    for _ in range(4):
        driver.now_ms += 50_000
        host = driver.first_out()
        driver.report_drained(host)
        driver.report_rebooted(host)
    estimate = end()
    assert isinstance(estimate, int)
    assert driver.now_ms < estimate <= driver.now_ms + 200_000
    driver.set_wave_state(WaveState.PAUSED)
    assert end() is EndUnknown.PAUSED
    driver.set_wave_state(WaveState.RUNNING)
    driver.send(HealthChanged(driver.first_out(), OutCause.FAILED))
    assert end() is EndUnknown.HOSTS_OUT
    assert driver.ledger is not None
    part = wave_progress(driver.ledger, view, PATCH, wall_ms=driver.now_ms)
    combined = combine_progress([part, replace(part, end_ms=5, end_unknown=None)])
    assert (combined.done, combined.end_ms) == (2 * part.done, None)


def test_work_is_withheld_from_draining_and_rebooting_hosts() -> None:
    driver = Driver(config())
    host = driver.first_out()
    assert driver.ledger is not None
    assert host in driver.ledger.cordoned_hosts()
    driver.report_drained(host)
    assert host in driver.ledger.cordoned_hosts()
    driver.report_rebooted(host)
    assert host not in driver.ledger.cordoned_hosts()
    assert OutageStage.REBOOTING.value not in driver.stages().values()
    assert {type(effect) for effect in driver.effects} >= {DrainHost, RebootHost}
    assert ReturnHost not in {type(effect) for effect in driver.effects}
