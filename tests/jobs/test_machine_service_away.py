"""The fleet's holder while the machine service can't be read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from amaranthtray.domain.upkeep.model import OrderOutcome
from amaranthtray.domain.upkeep.outage import MAX_UNREAD_MS
from amaranthtray.jobs import fleet_manager, keys, machine_mover
from amaranthtray.jobs.ledger import PoolReport, decode_vacate_request
from jobs.test_fleet_duty import HOLDER_CHANGE_MS, WEB, FleetSite, a_wave_of

if TYPE_CHECKING:
    from amaranthtray.domain.ids import HostId
    from amaranthtray.jobs.fleet_manager import FleetManager


class OutageSite(FleetSite):
    """A site with a clock, whose machine service may be away."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        self.now_ms, self.is_away = 1_000_000, False
        for module in (fleet_manager, machine_mover):
            monkeypatch.setattr(module, "steady_ms", lambda: self.now_ms)
        listed = self.machine_service.listed
        service: Any = self.machine_service
        service.machines = lambda: None if self.is_away else listed

    def step_for(self, manager: FleetManager, time_ms: int) -> None:
        for _ in range(0, time_ms + 1, 500):
            self.step(manager)
            self.now_ms += 500

    def hosts_to_empty(self) -> set[HostId]:
        stored = self.platform.read(keys.vacate_key(WEB))
        return set(decode_vacate_request(stored.value).hosts) if stored else set()

    def report_empty(self, host: HostId, number: int) -> None:
        report = PoolReport(vacant=[str(host)], vacate_number=number)
        self.put(keys.report_key(WEB), msgspec.json.encode(report))


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> OutageSite:
    return OutageSite(monkeypatch)


def test_hosts_to_be_emptied_get_runs_again_while_the_machine_service_is_away(
    site: OutageSite,
) -> None:
    """Guards against idle hosts that no order can reach, beside jobs that wait."""
    machine = site.machine_service.listed[0]
    a_wave_of(site, machine)
    manager = site.new_manager(1)
    site.step(manager)
    assert site.hosts_to_empty() == {machine.host}
    site.is_away = True
    site.step_for(manager, MAX_UNREAD_MS - 1_000)
    assert site.hosts_to_empty() == {machine.host}
    site.step_for(manager, 1_000)
    assert site.hosts_to_empty() == set()
    site.is_away = False
    site.report_empty(machine.host, 2)
    site.step(manager)
    assert not site.machine_service.orders
    assert site.hosts_to_empty() == {machine.host}
    site.report_empty(machine.host, 3)
    site.step(manager)
    assert [order.machine for order in site.machine_service.orders] == [machine.name]


def test_an_unreadable_list_of_machines_counts_as_none(site: OutageSite) -> None:
    """Guards against hosts that stay empty since a row of the list has changed."""
    machine = site.machine_service.listed[0]
    a_wave_of(site, machine)
    manager = site.new_manager(1)
    site.step(manager)

    def unreadable() -> None:
        raise msgspec.ValidationError("state: expected str")

    site.machine_service.machines = unreadable  # type: ignore[assignment, method-assign]
    site.step_for(manager, MAX_UNREAD_MS)
    assert site.hosts_to_empty() == set()


def test_a_host_with_an_order_without_outcome_stays_empty(site: OutageSite) -> None:
    """Guards against runs that an order ends which is carried out late."""
    machine = site.machine_service.listed[0]
    a_wave_of(site, machine)
    site.report_vacant(machine.host)
    site.machine_service.outcome = OrderOutcome.UNKNOWN
    manager = site.new_manager(1)
    site.step(manager)
    assert site.machine_service.orders
    site.is_away = True
    site.step_for(manager, 2 * MAX_UNREAD_MS)
    assert site.hosts_to_empty() == {machine.host}


def test_a_new_holder_first_waits_for_orders_of_the_last_one(site: OutageSite) -> None:
    """Guards against runs on hosts whose machines a new holder has never read."""
    machine = site.machine_service.listed[0]
    site.report_vacant(machine.host)
    first = site.new_manager(1)
    first._recent_orders.record((machine.name,), site.now_ms)
    assert first._commit(())
    site.is_away = True
    second = site.new_manager(2)
    site.step_for(second, 2 * MAX_UNREAD_MS)
    assert site.hosts_to_empty() == {machine.host}
    site.step_for(second, HOLDER_CHANGE_MS)
    assert site.hosts_to_empty() == set()
