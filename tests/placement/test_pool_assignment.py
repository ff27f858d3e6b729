"""Each host has one pool, and no change may make that ambiguous."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

import builders
from amaranthtray.domain.configuration import SPARE_POOL, Budget, Configuration
from amaranthtray.domain.ids import HostId
from amaranthtray.domain.placement import (
    check_ambiguity,
    desired_pool,
    effective_labels,
)

WEB = builders.pool("web", selector="tier=web")
DB = builders.pool("db", selector="tier=db")
HOST = builders.host(1, labels={"tier": "web"})


def config(*pools: builders.Pool, **labels: str) -> Configuration:
    cfg = builders.configuration(pools=pools)
    return replace(cfg, host_labels={HOST.host_id: labels} if labels else {})


@pytest.mark.parametrize(
    ("labels", "pools", "expected"),
    [
        ({"tier": "web"}, (WEB, DB), "web"),
        ({"tier": "x"}, (WEB, DB), SPARE_POOL),
        ({}, (), SPARE_POOL),
        ({"tier": "web"}, (WEB, builders.pool("a", selector="tier")), "a"),
        (
            {"tier": "web"},
            (WEB, builders.pool("a", selector="tier", priority=200)),
            "web",
        ),
        ({"tier": "web"}, (replace(WEB, selector=""),), SPARE_POOL),
        ({"tier": "web"}, (replace(WEB, selector="((("),), SPARE_POOL),
        ({"tier": "web"}, (builders.pool("spare", selector="tier"), WEB), "web"),
    ],
)
def test_desired_pool(
    labels: dict[str, str], pools: tuple[builders.Pool, ...], expected: str
) -> None:
    assert desired_pool(labels, {pool.name: pool for pool in pools}) == expected


@given(st.permutations([WEB, DB, builders.pool("any", selector="tier")]))
def test_the_order_of_pools_does_not_matter(pools: list[builders.Pool]) -> None:
    wanted = desired_pool({"tier": "web"}, {pool.name: pool for pool in pools})
    assert wanted == "any"


def test_labels_of_operators_override_those_of_the_platform() -> None:
    labels = effective_labels(config(tier="db", extra="1"), HOST)
    assert labels["tier"] == "db"
    assert labels["extra"] == "1"
    assert labels["zone"] == "z1"


@pytest.mark.parametrize(
    ("before", "after", "names"),
    [
        (config(WEB), config(WEB, builders.pool("all", selector="tier")), "all web"),
        (
            config(WEB, builders.pool("all", selector="tier", priority=1)),
            config(WEB, builders.pool("all", selector="tier")),
            "all web",
        ),
        (
            config(WEB, builders.pool("odd", selector="odd=1")),
            config(WEB, builders.pool("odd", selector="odd=1"), odd="1"),
            "odd web",
        ),
        (
            config(builders.pool("x", selector="tier in (db)"), WEB),
            config(builders.pool("x", selector="tier in (web)"), WEB),
            "web x",
        ),
    ],
)
def test_a_change_that_makes_two_pools_match_a_host_is_rejected(
    before: Configuration, after: Configuration, names: str
) -> None:
    result = check_ambiguity(before, after, [HOST])
    assert isinstance(result, Failure)
    problem = result.failure()
    for name in names.split():
        assert repr(name) in problem.what
    assert HOST.host_id in problem.where


def test_a_host_added_with_ambiguous_labels_blocks_no_unrelated_change() -> None:
    competitor = builders.pool("all", selector="tier")
    before = config(WEB, competitor)
    after = config(WEB, competitor, DB)
    assert check_ambiguity(before, after, [HOST]) == Success(None)
    larger = replace(competitor, budget=Budget(3))
    assert check_ambiguity(before, config(WEB, larger), [HOST]) == Success(None)


def test_pools_of_different_priority_may_overlap() -> None:
    after = config(WEB, builders.pool("all", selector="tier", priority=200))
    assert check_ambiguity(config(WEB), after, [HOST]) == Success(None)
    assert HostId(HOST.host_id) not in after.placement
