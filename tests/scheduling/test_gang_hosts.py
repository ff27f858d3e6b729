"""Hosts are kept for gangs that will run there, and not for good."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from amaranthtray.domain.ids import QueueName, RackId, TeamName
from amaranthtray.domain.jobs.catalog import JobTeam
from amaranthtray.domain.jobs.model import JobId, Resources
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.advice import AdviceReceived, RequestAdvice
from amaranthtray.domain.scheduling.gang_hosts import (
    KEEP_MS,
    MAX_KEEP_MS,
    HostsKept,
    HostsReleased,
)
from amaranthtray.domain.scheduling.messages import JobCancelled, StartOutcome
from amaranthtray.domain.scheduling.orders import StartRun
from scheduling.parts import (
    QUEUE,
    SchedulerHarness,
    a_catalog,
    a_host,
    a_job,
    a_step,
    an_end,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from amaranthtray.domain.jobs.catalog import Catalog
    from amaranthtray.domain.jobs.model import StepSpec
    from amaranthtray.domain.scheduling.messages import Effect, HostInfo

TICK_MS = 50
WORK_MS = 600
LOW = QueueName("low")
HOSTS = tuple(f"h{number}" for number in range(4))
BIG = Resources(6_000, 1_000, 0)
GANG = a_step(4, need=BIG, is_gang=True)
SMALL = a_step(1, need=Resources(3_000, 1, 0))


def two_queues(*, needs_advice: bool = False, cap: Resources | None = None) -> Catalog:
    """Returns a catalog with a queue of lower priority beside the usual one."""
    catalog = a_catalog(needs_advice=needs_advice)
    (high,) = catalog.queues
    low = replace(high, name=LOW, path_prefix="/low/", priority=1, needs_advice=False)
    capped = JobTeam(name=TeamName("capped"), weight=1, cap=cap or Resources(0, 0, 0))
    teams = {**catalog.teams, capped.name: capped}
    return replace(catalog, queues=(high, low), teams=teams)


class Pool:
    """A pool with small jobs of a low priority and gangs of a high one.

    Attributes:
        allowed: Hosts that the policy allows for each step; None for no answer.
        waits_ms: Time to the start of each small job, by the time of its submission.
        started: Jobs that have started.
        reports: What was reported on hosts that are kept.
        held_up_ms: Time for which a small job waited although a host had room for it.
    """

    def __init__(
        self,
        catalog: Catalog,
        *hosts: HostInfo,
        allowed: Collection[str] | None = HOSTS,
    ) -> None:
        infos = hosts or tuple(a_host(name) for name in HOSTS)
        self.harness = SchedulerHarness(*infos, catalog=catalog)
        self.allowed = allowed
        self.submitted_ms: dict[str, int] = {}
        self.waits_ms: dict[int, int] = {}
        self.started: set[str] = set()
        self.reports: list[HostsKept | HostsReleased] = []
        self.held_up_ms = 0
        self._running: list[tuple[int, StartRun]] = []
        self._ends: dict[str, int] = {}

    def submit(self, name: str, step: StepSpec, queue: str = QUEUE) -> None:
        self.harness.submit(replace(a_job(step, name=name), queue=QueueName(queue)))

    def play(self, for_ms: int, *, small_every_ms: int = 500) -> None:
        """Lets time pass, with a small job now and then."""
        until_ms = self.harness.now_ms + for_ms
        while self.harness.now_ms < until_ms:
            if self.harness.now_ms % small_every_ms == 0:
                name = f"s{self.harness.now_ms:06}"
                self.submitted_ms[name] = self.harness.now_ms
                self.submit(name, SMALL, LOW)
            self.harness.now_ms += TICK_MS
            self._end_runs()
            self.plan()
            hosts = self.harness.scheduler.state.hosts.values()
            if len(self.waits_ms) < len(self.submitted_ms):
                is_held_up = any(SMALL.need.fits(host.free) for host in hosts)
                self.held_up_ms += TICK_MS * is_held_up

    def plan(self) -> None:
        """Plans once; hosts start what they are ordered, and the policy answers."""
        effects = self.harness.plan()
        while effects:
            effects = [each for effect in effects for each in self._apply(effect)]

    def late(self, since_ms: int, limit_ms: int) -> list[str]:
        """Returns the small jobs since a time that started later than a limit."""
        end_ms = self.harness.now_ms
        return [
            name
            for name, at_ms in self.submitted_ms.items()
            if since_ms <= at_ms < end_ms - limit_ms
            and self.waits_ms.get(at_ms, end_ms - at_ms) > limit_ms
        ]

    def _apply(self, effect: Effect) -> list[Effect]:
        now_ms = self.harness.now_ms
        match effect:
            case RequestAdvice() if self.allowed is not None:
                tickets = {h: "ticket" for h in effect.hosts if h in self.allowed}
                return self.harness.send(
                    AdviceReceived(effect.step, effect.hosts, tickets, now_ms + 10_000)
                )
            case StartRun():
                job = effect.name.job
                self.started.add(job)
                if job in self.submitted_ms:
                    at_ms = self.submitted_ms[job]
                    self.waits_ms.setdefault(at_ms, now_ms - at_ms)
                self.harness.reply_to_start(effect, StartOutcome.STARTED)
                work_ms = 1_000_000 if job.startswith("stuck") else WORK_MS
                self._running.append((now_ms + work_ms, effect))
            case HostsKept() | HostsReleased():
                self.reports.append(effect)
        return []

    def _end_runs(self) -> None:
        due = [run for at_ms, run in self._running if at_ms <= self.harness.now_ms]
        self._running = [each for each in self._running if each[1] not in due]
        for run in due:
            sequence = self._ends[run.host] = self._ends.get(run.host, 0) + 1
            listed = tuple(
                (other.name, other.number)
                for _, other in self._running
                if other.host == run.host
            )
            ends = (an_end(run, RunOutcome.DONE, sequence),)
            self.harness.report(run.host, running=listed, ends=ends)


@pytest.mark.parametrize("allowed", [HOSTS[:2], None])
def test_a_gang_that_the_policy_does_not_allow_holds_up_nobody(
    allowed: Collection[str] | None,
) -> None:
    """Guards against a pool that stays empty for a gang that can never run."""
    pool = Pool(two_queues(needs_advice=True), allowed=allowed)
    pool.play(3_000)
    pool.submit("gang", GANG)
    pool.play(20_000)
    assert pool.reports == []
    assert pool.late(since_ms=0, limit_ms=2 * TICK_MS) == []


def test_hosts_that_the_policy_allows_are_kept_for_a_gang() -> None:
    pool = Pool(two_queues(needs_advice=True))
    pool.play(5_000, small_every_ms=100)
    pool.submit("gang", GANG)
    pool.play(5_000, small_every_ms=100)
    assert "gang" in pool.started
    assert [type(each) for each in pool.reports] == [HostsKept, HostsReleased]


def test_the_policy_is_asked_also_while_no_host_has_room() -> None:
    """Guards against a gang that waits for ever in a pool that is always full."""
    pool = Pool(two_queues(needs_advice=True))
    pool.submit("stuck", a_step(4, need=SMALL.need, max_per_host=1), LOW)
    pool.plan()
    pool.submit("gang", GANG)
    pool.play(2_000)
    assert [each.hosts for each in pool.reports if isinstance(each, HostsKept)] == [
        HOSTS
    ]


def test_a_gang_that_never_finds_its_room_does_not_block_its_pool() -> None:
    """Guards against jobs that wait for ever behind one whose host never gets free."""
    pool = Pool(two_queues())
    pool.submit("stuck", a_step(1, need=BIG), LOW)
    pool.play(2_000)
    pool.submit("gang", GANG)
    pool.play(10 * MAX_KEEP_MS)
    assert "gang" not in pool.started
    assert max(pool.waits_ms.values()) <= MAX_KEEP_MS + WORK_MS
    assert pool.late(since_ms=0, limit_ms=MAX_KEEP_MS + WORK_MS) == []
    assert pool.held_up_ms <= pool.harness.now_ms / 2


def test_gangs_that_never_find_their_room_do_not_block_a_pool_in_turn() -> None:
    """Guards against a pool that is kept for one after the other of some gangs."""
    pool = Pool(two_queues())
    pool.submit("stuck", a_step(1, need=BIG), LOW)
    pool.play(2_000)
    for number in range(5):
        pool.submit(f"gang{number}", GANG)
    pool.play(10 * MAX_KEEP_MS)
    assert max(pool.waits_ms.values()) <= MAX_KEEP_MS + WORK_MS
    assert pool.held_up_ms <= pool.harness.now_ms / 2


def test_a_gang_that_can_run_gets_its_turn_behind_one_that_cannot() -> None:
    """Guards against a gang that waits for ever behind one of a higher rank."""
    pool = Pool(two_queues())
    pool.submit("stuck", a_step(1, need=BIG), LOW)
    pool.play(2_000)
    pool.submit("a-gang", GANG)
    pool.submit("b-gang", a_step(3, need=BIG, is_gang=True))
    pool.play(4 * MAX_KEEP_MS, small_every_ms=100)
    assert "b-gang" in pool.started


def test_a_gang_whose_hosts_get_free_late_starts_with_a_longer_limit() -> None:
    pool = Pool(two_queues())
    pool.submit("stuck", a_step(1, need=BIG), LOW)
    pool.plan()
    pool.submit("gang", GANG)
    pool.play(2 * KEEP_MS)
    limits_ms = [each.limit_ms for each in pool.reports if isinstance(each, HostsKept)]
    assert limits_ms == [KEEP_MS]
    pool.play(8 * MAX_KEEP_MS)
    limits_ms = [each.limit_ms for each in pool.reports if isinstance(each, HostsKept)]
    assert limits_ms[:3] == [KEEP_MS, 2 * KEEP_MS, 4 * KEEP_MS]
    assert max(limits_ms) == MAX_KEEP_MS


def test_no_hosts_are_kept_for_a_gang_beyond_its_teams_cap() -> None:
    """Guards against jobs that are held up again and again by one that may not run."""
    pool = Pool(two_queues(cap=Resources(12_000, 0, 0)))
    spread = a_step(4, need=SMALL.need, max_per_host=1)
    pool.submit("stuck", spread, LOW)
    pool.plan()
    gang = replace(a_job(GANG, name="gang"), team=TeamName("capped"))
    pool.harness.submit(gang)
    pool.play(10_000)
    assert pool.late(since_ms=0, limit_ms=2 * TICK_MS) == []


def test_hosts_of_one_rack_are_kept_for_a_gang_that_prefers_it() -> None:
    racks = ("a", "b", "b", "c")
    infos = [
        replace(a_host(name), rack=RackId(rack))
        for name, rack in zip(HOSTS, racks, strict=True)
    ]
    pool = Pool(two_queues(), *infos)
    for number in range(8):
        pool.submit(f"stuck{number}", a_step(1, need=SMALL.need), LOW)
    pool.plan()
    pool.submit("gang", replace(GANG, count=2, is_same_rack=True))
    pool.play(2_000)
    assert [each.hosts for each in pool.reports if isinstance(each, HostsKept)] == [
        ("h1", "h2")
    ]


def test_a_cancelled_gang_releases_its_hosts() -> None:
    pool = Pool(two_queues())
    pool.submit("stuck", a_step(1, need=BIG), LOW)
    pool.plan()
    pool.submit("gang", GANG)
    pool.play(2_000)
    pool.harness.send(JobCancelled(JobId("gang")))
    pool.play(1_000)
    (_, released) = pool.reports
    assert isinstance(released, HostsReleased)
    assert released.reason == "gone"
    assert pool.late(since_ms=2_000, limit_ms=2 * TICK_MS) == []
