"""Desk, units and shares of one entry together."""

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
    RenewLeases,
    StartAttempt,
    StopTask,
    Submit,
    Tick,
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
SELF = Incarnation("i1")
TERM = Term(1)


class Driver:
    """Drives a serving part by hand and keeps its effects."""

    def __init__(self) -> None:
        parts = ServingContext(EntryId("e1"), SELF, ZoneId("z1"), random.Random(1))
        self.serving = Serving(parts, ServingSettings())
        self.now_ms = 0
        self.seq = 0
        hosts = (builders.host(1), builders.host(2))
        self.take(ConfigurationInForce(Revision(1), {RED: TeamQuota(1, 100)}))
        self.take(HostsListed({PoolName("web"): hosts}))
        self.take(TermFollowed(TERM))

    def take(self, message: ServingMessage) -> list[ServingEffect]:
        return self.serving.handle(message, Millis(self.now_ms))

    def tick(self, now_ms: int) -> list[ServingEffect]:
        self.now_ms = now_ms
        return self.take(Tick())

    def report(self) -> SendReport:
        self.now_ms += self.serving.cfg.escrow.report_ms
        return next(e for e in self.take(Tick()) if isinstance(e, SendReport))

    def grant(
        self, units: int, *, ttl_ms: int = 8_000, cap: int | None = None
    ) -> list[ServingEffect]:
        self.seq += 1
        answers = self.report().report.seq
        caps = {} if cap is None else {RED: cap}
        grant = UnitsGrant(
            SELF,
            TERM,
            self.seq,
            answers,
            ttl_ms,
            Revision(1),
            False,
            {RED: units},
            caps,
        )
        return self.take(GrantArrived(grant))

    def submit(self, number: int, team: str = "red") -> list[ServingEffect]:
        request = builders.request(
            number, team=team, accepted_ms=self.now_ms, deadline_ms=self.now_ms + 60_000
        )
        return self.take(Submit(request))


@pytest.fixture
def driver() -> Driver:
    return Driver()


def starts(effects: list[ServingEffect]) -> int:
    return sum(isinstance(effect, StartAttempt) for effect in effects)


def test_nothing_starts_without_a_unit_and_a_grant_starts_it(driver: Driver) -> None:
    assert starts(driver.submit(1)) == 0
    assert starts(driver.grant(1)) == 1


def test_open_work_needs_no_unit(driver: Driver) -> None:
    assert starts(driver.submit(1, team=OPEN_TEAM)) == 1


def test_report_names_what_waits(driver: Driver) -> None:
    driver.submit(1)
    driver.submit(2)
    assert driver.report().report.waiting == {RED: 2}


def test_leaving_takes_no_more_units(driver: Driver) -> None:
    driver.grant(5)
    driver.take(LeaveBegun())
    assert starts(driver.submit(1)) == 0
    assert driver.report().report.is_leaving


def test_leases_without_cover_are_not_renewed(driver: Driver) -> None:
    driver.grant(3)
    for number in range(3):
        assert starts(driver.submit(number)) == 1
    driver.grant(3, cap=1)
    effects = driver.tick(driver.now_ms + 6_000)
    renewed = [e for e in effects if isinstance(e, RenewLeases)]
    stopped = {e.attempt_id for e in effects if isinstance(e, StopTask)}
    assert sum(len(e.attempt_ids) for e in renewed) == 1
    assert len(stopped) == 2


def test_all_leases_end_long_after_the_grant(driver: Driver) -> None:
    driver.grant(2, ttl_ms=8_000)
    driver.submit(1)
    cfg = driver.serving.cfg
    silent_ms = driver.now_ms + 8_000 + cfg.escrow.run_on_ms
    effects = driver.tick(silent_ms + cfg.leases.renew_every_ms)
    assert not any(isinstance(effect, RenewLeases) for effect in effects)
    assert any(isinstance(effect, StopTask) for effect in effects)


def test_settings_make_grants_outlast_task_leases() -> None:
    cfg = ServingSettings().with_task_lease(9_000)
    assert cfg.leases.ttl_ms == 9_000
    assert cfg.escrow.task_lease_ms >= cfg.leases.ttl_ms + cfg.leases.margin_ms
    assert cfg.escrow.call_ms >= cfg.leases.call_ms
