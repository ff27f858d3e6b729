"""Dispatch of requests, units of limits and shares of one entry together."""

from __future__ import annotations

import random

import pytest

import builders
from amaranthtray.domain.ids import (
    EntryId,
    Incarnation,
    Millis,
    PoolName,
    Revision,
    TeamName,
    Term,
    ZoneId,
)
from amaranthtray.domain.limits.messages import UnitsGrant
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    RenewLeases,
    StartAttempt,
    StopTask,
    Submit,
    Tick,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import OPEN_TEAM
from amaranthtray.domain.serving import (
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    LeaveBegun,
    SendReport,
    Serving,
    ServingContext,
    ServingEffect,
    ServingMessage,
    ServingSettings,
    TermFollowed,
)
from amaranthtray.domain.serving.messages import TeamQuota

RED = TeamName("red")
Z1 = ZoneId("z1")
INCARNATION = Incarnation("i1")
TERM = Term(1)


class Driver:
    """Sends messages to a ``Serving`` with two hosts and returns its effects."""

    def __init__(self) -> None:
        context = ServingContext(
            EntryId("e1"), INCARNATION, ZoneId("z1"), random.Random(1)
        )
        self.serving = Serving(context, ServingSettings())
        self.now_ms = 0
        self.seq = 0
        hosts = (builders.host(1), builders.host(2))
        self.handle(ConfigurationInForce(Revision(1), {RED: TeamQuota(1, 100)}))
        self.handle(HostsListed({PoolName("web"): hosts}))
        self.handle(TermFollowed(TERM))

    def handle(self, message: ServingMessage) -> list[ServingEffect]:
        return self.serving.handle(message, Millis(self.now_ms))

    def tick(self, now_ms: int) -> list[ServingEffect]:
        self.now_ms = now_ms
        return self.handle(Tick())

    def report(self) -> SendReport:
        self.now_ms += self.serving.cfg.escrow.report_ms
        return next(e for e in self.handle(Tick()) if isinstance(e, SendReport))

    def grant(
        self, units: int, *, ttl_ms: int = 8_000, cap: int | None = None
    ) -> list[ServingEffect]:
        self.seq += 1
        answered_seq = self.report().report.seq
        caps = {} if cap is None else {RED: cap}
        grant = UnitsGrant(
            INCARNATION,
            TERM,
            self.seq,
            answered_seq,
            ttl_ms,
            Revision(1),
            False,
            {RED: units},
            caps,
        )
        return self.handle(GrantArrived(grant))

    def submit(self, number: int, team: str = "red") -> list[ServingEffect]:
        request = builders.request(
            number, team=team, accepted_ms=self.now_ms, deadline_ms=self.now_ms + 60_000
        )
        return self.handle(Submit(request))


@pytest.fixture
def driver() -> Driver:
    return Driver()


def count_starts(effects: list[ServingEffect]) -> int:
    return sum(isinstance(effect, StartAttempt) for effect in effects)


def test_a_request_starts_only_once_a_unit_is_granted(driver: Driver) -> None:
    assert count_starts(driver.submit(1)) == 0
    assert count_starts(driver.grant(1)) == 1


def test_open_work_needs_no_unit(driver: Driver) -> None:
    assert count_starts(driver.submit(1, team=OPEN_TEAM)) == 1


def test_report_counts_the_waiting_requests(driver: Driver) -> None:
    driver.submit(1)
    driver.submit(2)
    assert driver.report().report.waiting == {RED: 2}


def test_a_leaving_entry_takes_no_more_units(driver: Driver) -> None:
    driver.grant(5)
    driver.handle(LeaveBegun())
    assert count_starts(driver.submit(1)) == 0
    assert driver.report().report.is_leaving


def test_leases_that_no_unit_covers_are_not_renewed(driver: Driver) -> None:
    driver.grant(3)
    for number in range(3):
        assert count_starts(driver.submit(number)) == 1
    driver.grant(3, cap=1)
    effects = driver.tick(driver.now_ms + 6_000)
    renewed = [e for e in effects if isinstance(e, RenewLeases)]
    stopped = {e.attempt_id for e in effects if isinstance(e, StopTask)}
    assert sum(len(e.attempt_ids) for e in renewed) == 1
    assert len(stopped) == 2


def test_no_lease_is_renewed_long_after_the_last_grant(driver: Driver) -> None:
    driver.grant(2, ttl_ms=8_000)
    driver.submit(1)
    cfg = driver.serving.cfg
    silent_ms = driver.now_ms + 8_000 + cfg.escrow.run_on_ms
    effects = driver.tick(silent_ms + cfg.leases.renew_every_ms)
    assert not any(isinstance(effect, RenewLeases) for effect in effects)
    assert any(isinstance(effect, StopTask) for effect in effects)


def test_settings_let_grants_outlast_task_leases() -> None:
    cfg = ServingSettings().with_task_lease(9_000)
    assert cfg.leases.ttl_ms == 9_000
    assert cfg.escrow.task_lease_ms >= cfg.leases.ttl_ms + cfg.leases.margin_ms
    assert cfg.escrow.call_ms >= cfg.leases.call_ms


def test_queued_requests_start_outside_an_evacuated_zone(driver: Driver) -> None:
    other = builders.host(1, zone="z2", slots=1)
    driver.handle(HostsListed({PoolName("web"): (builders.host(1, slots=1), other)}))
    driver.grant(10)
    started = [
        effect
        for number in range(4)
        for effect in driver.submit(number)
        if isinstance(effect, StartAttempt)
    ]
    assert sorted(start.host for start in started) == ["z1-h1", "z2-h1"]
    evacuated = ConfigurationInForce(Revision(2), {RED: TeamQuota(1, 100)}, (Z1,))
    assert not count_starts(driver.handle(evacuated))
    starts_by_host = {
        start.host: [
            effect.host
            for effect in driver.handle(AttemptEnded(start.attempt_id, WholeAnswer()))
            if isinstance(effect, StartAttempt)
        ]
        for start in sorted(started, key=lambda start: start.host)
    }
    assert starts_by_host == {"z1-h1": [], "z2-h1": ["z2-h1"]}
    ended = ConfigurationInForce(Revision(3), {RED: TeamQuota(1, 100)})
    assert count_starts(driver.handle(ended)) == 1
