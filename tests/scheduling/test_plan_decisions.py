"""Plans that keep what they know decide as plans that look at everything again."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.ids import RackId
from amaranthtray.domain.jobs.model import JobId, Resources, StepSpec, TaskName
from amaranthtray.domain.jobs.task import Run, RunPhase
from amaranthtray.domain.scheduling import _planner
from amaranthtray.domain.scheduling.host import Host
from amaranthtray.domain.scheduling.host_index import (
    CHUNK,
    HostIndex,
    largest_amounts,
)
from amaranthtray.domain.scheduling.placement import in_order
from amaranthtray.domain.scheduling.policy import SchedulingPolicy
from scheduling.parts import a_host
from scheduling.varied_load import play_varied

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthtray.domain.scheduling.pool import PoolScheduler

LOAD_MS = 4_000
POLICIES = (
    SchedulingPolicy(),
    SchedulingPolicy(look_ahead=True, refuse_late_jobs=True),
    SchedulingPolicy(look_ahead=True, learn_run_times=True, refuse_late_jobs=True),
    SchedulingPolicy(look_ahead=True, weigh_remote_hosts=True),
)


class AllHosts:
    """Hosts without an index: each search filters and sorts all of them."""

    def __init__(self, hosts: Iterable[Host]) -> None:
        self._hosts = list(hosts)

    def update(self, host: Host) -> None:
        """Nothing is kept that a run on a host could change."""

    def retain(self, hosts: Iterable[str]) -> None:
        kept = set(hosts)
        self._hosts = [host for host in self._hosts if host.info.id in kept]

    def largest_free(self) -> Resources:
        return largest_amounts([host.free for host in self._hosts])

    def in_order(self, step: StepSpec) -> list[Host]:
        return in_order(step, self._hosts)


def forget(scheduler: PoolScheduler) -> None:
    scheduler.state.facts.clear()
    scheduler.state.settled.clear()


@pytest.mark.parametrize("policy", POLICIES)
def test_kept_facts_don_t_change_decisions(
    policy: SchedulingPolicy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against facts or indexed hosts that an event should have changed.

    Load: gangs, labels, racks, copies, caps, advice, lasting and recurring jobs on
    hosts that crash, are silent, drain, refuse runs or are to be emptied.
    """
    for seed in (1, 2):
        got = play_varied(seed, policy, LOAD_MS, lambda _: None)
        with monkeypatch.context() as patch:
            patch.setattr(_planner, "HostIndex", AllHosts)
            expected = play_varied(seed, policy, LOAD_MS, forget)
        assert got == expected
        assert sum(each[0] == "start" for each in got) > 200


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_index_yields_hosts_in_the_order_of_their_cost(seed: int) -> None:
    """Guards against chunks that lose hosts, or skip some that fit, as these change."""
    rng = random.Random(seed)
    hosts = [
        Host(a_host(f"h{number:03}", cores=rng.choice((8, 16)), labels=labels))
        for number in range(CHUNK * 6)
        for labels in [frozenset({"fast"} if rng.random() < 0.3 else ())]
    ]
    for host in hosts:
        host.info = replace(host.info, rack=RackId(f"r{rng.randrange(3)}"))
    index = HostIndex(hosts)
    for number in range(600):
        step = StepSpec(
            count=1,
            need=Resources(rng.randint(0, 9_000), rng.randint(0, 50_000)),
            required_label=rng.choice(("", "", "fast")),
            data_rack=RackId(rng.choice(("", "", "r1"))),
            is_lasting=rng.random() < 0.1,
        )
        expected = in_order(step, hosts)
        assert list(index.in_order(step)) == expected
        assert index.largest_free() == largest_amounts([host.free for host in hosts])
        if expected:
            host = rng.choice(expected[:5])
            run = Run(1, host.info.id, 0, RunPhase.RUNNING)
            run.prior_crashes = int(rng.random() < 0.1)
            host.add(TaskName(JobId(f"j{number}"), 0, 0, 0), step, run)
            index.update(host)
        if number % 50 == 0:
            hosts.remove(rng.choice(hosts))
            index.retain(host.info.id for host in hosts)
