"""Moves and their preview: only hosts whose pool changes move."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

import builders
from amaranthtray.domain.budgets import OutageStage, OutCause, try_take_out
from amaranthtray.domain.configuration import SPARE_POOL, Budget, Configuration
from amaranthtray.domain.ids import HostId, PoolName
from amaranthtray.domain.inventory import HostState
from amaranthtray.domain.placement import (
    desired_pools,
    plan_moves,
    pool_views,
    preview,
)

WEB, DB = PoolName("web"), PoolName("db")
HOSTS = tuple(
    builders.host(n, zone=f"z{n % 2}", labels={"pool": "web" if n < 4 else "db"})
    for n in range(8)
)
PLACED = {host.host_id: host.labels["pool"] for host in HOSTS}
POOLS = (builders.pool("web", max_out=2), builders.pool("db"))
LABELS = st.dictionaries(
    st.sampled_from([host.host_id for host in HOSTS]),
    st.fixed_dictionaries({"pool": st.sampled_from(["web", "db", "other"])}),
)


def config(labels: dict[HostId, dict[str, str]] | None = None) -> Configuration:
    cfg = builders.configuration(pools=POOLS, placement=dict(PLACED))
    return replace(cfg, host_labels=labels or {})


@given(LABELS)
def test_only_hosts_whose_pool_changes_move(
    labels: dict[HostId, dict[str, str]],
) -> None:
    cfg = config(labels)
    moves = {move.host: move.target for move in plan_moves(cfg, HOSTS)}
    for host in HOSTS:
        wanted = labels.get(host.host_id, host.labels)["pool"]
        target = wanted if wanted in PLACED.values() else SPARE_POOL
        assert moves.get(host.host_id, PLACED[host.host_id]) == target
        assert (host.host_id in moves) == (target != PLACED[host.host_id])


@given(LABELS)
def test_each_host_is_in_exactly_one_view(labels: dict[HostId, dict[str, str]]) -> None:
    cfg = config(labels)
    views = pool_views(cfg, HOSTS)
    for host in HOSTS:
        pools_of_host = [
            pool for pool, view in views.items() if host.host_id in view.members
        ]
        assert pools_of_host == [cfg.pool_of(host.host_id)]
        member = views[pools_of_host[0]].members[host.host_id]
        assert member.desired == desired_pools(cfg, HOSTS)[host.host_id]


def test_new_hosts_start_in_the_spare_pool_and_move_from_there() -> None:
    new = builders.host(99, labels={"pool": "web"})
    (move,) = plan_moves(config(), (*HOSTS, new))
    assert (move.host, move.source, move.target) == (new.host_id, SPARE_POOL, WEB)


def test_unlisted_and_leaving_hosts_stay_members_marked_as_missing() -> None:
    gone, leaving = HOSTS[0], replace(HOSTS[1], state=HostState.LEAVING)
    members = pool_views(config(), (leaving, *HOSTS[2:]))[WEB].members
    assert members[gone.host_id].is_missing
    assert members[leaving.host_id].is_missing
    assert not members[HOSTS[2].host_id].is_missing


def test_the_stage_of_a_move_comes_from_the_ledger() -> None:
    host = HOSTS[0]
    cfg = config({host.host_id: {"pool": "db"}})
    assert plan_moves(cfg, HOSTS)[0].stage is None
    ledger = try_take_out(
        builders.ledger(),
        builders.location(0, zone="z0"),
        builders.order(cause=OutCause.MOVING, wave=None, target="db"),
        budget=Budget(),
        size=4,
        now_ms=0,
    ).unwrap()
    assert plan_moves(cfg, HOSTS, {WEB: ledger})[0].stage is OutageStage.DRAINING


def test_preview_lists_moves_and_cancelled_moves_of_a_change() -> None:
    first, second, third = (host.host_id for host in HOSTS[:3])
    before = config({first: {"pool": "db"}, second: {"pool": "db"}})
    after = config({second: {"pool": "db"}, third: {"pool": "other"}})
    result = preview(before, after, HOSTS)
    assert [(move.host, move.target) for move in result.moves] == [(third, SPARE_POOL)]
    assert result.cancelled == (first,)
    assert result.departures_by_pool == {WEB: 1}


def test_preview_computes_the_rounds_that_budgets_allow() -> None:
    emptied = replace(POOLS[0], selector="")
    after = replace(config(), pools={WEB: emptied, DB: POOLS[1]})
    assert preview(config(), after, HOSTS).rounds_by_pool == {WEB: 2}
    closed = replace(emptied, budget=Budget(0, 0, 0))
    after = replace(config(), pools={WEB: closed, DB: POOLS[1]})
    assert preview(config(), after, HOSTS).rounds_by_pool == {WEB: None}
