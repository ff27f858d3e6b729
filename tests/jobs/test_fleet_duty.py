"""Changes of the fleet duty's holder: recorded orders, quiet periods, fencing."""

from __future__ import annotations

import threading
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgspec

from amaranthtray.domain.ids import HostId, PoolName, Term, ZoneId
from amaranthtray.domain.jobs.catalog import JobPool
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.upkeep.model import (
    Machine,
    MachineName,
    MachineOrder,
    MachineState,
    MaintainMachine,
    OrderOutcome,
    WaveRequest,
)
from amaranthtray.domain.upkeep.moves import PoolLoad
from amaranthtray.jobs import fleet_manager, keys, machine_mover
from amaranthtray.jobs.evacuation_follower import NoEvacuations
from amaranthtray.jobs.fleet_manager import FleetManager
from amaranthtray.jobs.ledger import (
    PoolReport,
    VacateRequest,
    decode_vacate_request,
)
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.settings.job_entry import SchedulingSection
from amaranthtray.store.contract import Put, Transaction
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite
from jobs.test_run_time_store import Log

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

WEB, SPARE = PoolName("web"), PoolName("spare")
HOLDER_CHANGE_MS = 60_000
NO_LOAD = PoolLoad()


class FakeMachineService:
    """A machine service that records orders and replies with a fixed outcome."""

    def __init__(self) -> None:
        self.orders: list[MachineOrder] = []
        self.outcome = OrderOutcome.DONE
        self.on_order: Callable[[], None] = lambda: None
        self.listed = [
            Machine(
                name=MachineName(f"{pool}{number}"),
                pool=pool,
                state=MachineState.UP,
                host=HostId(f"h-{pool}{number}"),
                kind="a",
            )
            for pool in (WEB, SPARE)
            for number in range(2)
        ]

    def machines(self) -> list[Machine]:
        return self.listed

    def order(self, order: MachineOrder) -> OrderOutcome:
        self.on_order()
        self.orders.append(order)
        return self.outcome


class FleetSite(StoreSite):
    """A store, a machine service, and a pool that reports the cores that it needs."""

    def __init__(self) -> None:
        super().__init__()
        self.machine_service = FakeMachineService()
        self.held_term: Term | None = Term(1)
        self.evacuations: Any = NoEvacuations()
        self.scheduling = SchedulingSection()
        self.metrics = MetricsRegistry()
        self.pools = {
            WEB: JobPool(name=WEB),
            SPARE: JobPool(name=SPARE, is_standby=True),
        }

    def put(self, key: str, value: bytes) -> None:
        assert self.store.commit(Transaction(puts=(Put(key, value),)))

    def report_need(self, cores: int) -> None:
        load = PoolLoad(Resources(1_000 * cores), Resources(10_000), ())
        value = msgspec.json.encode(PoolReport(load=load))
        self.put(keys.report_key(WEB), value)

    def report_vacant(self, *hosts: HostId, load: PoolLoad = NO_LOAD) -> None:
        """Stores a request to empty hosts, and the report that they are empty."""
        request = VacateRequest(number=1, hosts=dict.fromkeys(hosts, 1))
        self.put(keys.vacate_key(WEB), msgspec.json.encode(request))
        report = PoolReport(vacant=[str(h) for h in hosts], vacate_number=1, load=load)
        self.put(keys.report_key(WEB), msgspec.json.encode(report))

    def new_manager(
        self, term: int, held_term: Callable[[], Term | None] | None = None
    ) -> FleetManager:
        context: Any = SimpleNamespace(
            store=self.store,
            log=self.log,
            catalog=lambda: SimpleNamespace(pools=self.pools),
            settings=SimpleNamespace(
                machines=SimpleNamespace(holder_change_ms=HOLDER_CHANGE_MS),
                scheduling=self.scheduling,
            ),
            metrics=self.metrics,
            evacuations=self.evacuations,
            platform=SimpleNamespace(
                waves_prefix="waves/",
                decode_wave=lambda data: msgspec.json.decode(data, type=WaveRequest),
                encode_wave_status=lambda number, is_over: (
                    f"status/{number}",
                    str(is_over).encode(),
                ),
            ),
        )
        held_term = held_term or (lambda: self.held_term)
        manager = FleetManager(Term(term), held_term, context)
        assert manager.take_over()
        return manager

    def step(self, manager: FleetManager) -> None:
        service: Any = self.machine_service
        manager.step(service)

    def recorded_orders(self) -> list[str]:
        stored = self.platform.read(keys.FLEET_LEDGER_KEY)
        assert stored is not None
        ordered: list[str] = msgspec.json.decode(stored.value)["ordered"]
        return ordered


def test_an_order_is_recorded_before_it_is_sent() -> None:
    site = FleetSite()
    site.report_need(24)
    seen: list[list[str]] = []
    site.machine_service.on_order = lambda: seen.append(site.recorded_orders())
    site.step(site.new_manager(1))
    assert seen == [["spare0"]]


def test_a_new_holder_does_not_wait_for_machines_without_a_recent_order() -> None:
    site = FleetSite()
    site.report_need(24)
    site.step(site.new_manager(1))
    site.held_term = Term(2)
    site.report_need(40)
    site.machine_service.orders.clear()
    site.step(site.new_manager(2))
    assert [order.machine for order in site.machine_service.orders] == ["spare1"]
    assert site.recorded_orders() == ["spare0", "spare1"]


def test_a_superseded_holder_sends_no_orders() -> None:
    site = FleetSite()
    site.report_need(24)
    old = site.new_manager(1)
    site.new_manager(2)
    site.step(old)
    assert not site.machine_service.orders


def test_no_order_is_sent_unless_its_record_is_certainly_stored() -> None:
    site = FleetSite()
    site.report_need(24)
    manager = site.new_manager(1)
    site.plan_faults("commit", Fault.LOST_REPLY)
    site.step(manager)
    assert not site.machine_service.orders


def test_a_repeated_order_is_recorded_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """By then the first record is too old to make a new holder wait."""
    site = FleetSite()
    now = [1_000_000]
    monkeypatch.setattr(fleet_manager, "steady_ms", lambda: now[0])
    names = (site.machine_service.listed[0].name,)
    wave = WaveRequest(number=1, machines=names, duration_ms=1_000, cap=4)
    site.put("waves/1", msgspec.json.encode(wave))
    site.report_vacant(site.machine_service.listed[0].host)
    site.machine_service.outcome = OrderOutcome.UNKNOWN
    seen: list[list[str]] = []
    site.machine_service.on_order = lambda: seen.append(site.recorded_orders())
    manager = site.new_manager(1)
    site.step(manager)
    now[0] += 2 * HOLDER_CHANGE_MS
    manager._commit(())
    assert site.recorded_orders() == []
    site.step(manager)
    assert [each for each in seen if "web0" in each] == seen
    assert len(seen) == 2


def test_the_quiet_period_of_each_move_starts_with_its_own_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = FleetSite()
    now = [1_000_000]
    monkeypatch.setattr(machine_mover, "CONCURRENT_ORDERS", 1)
    for module in (fleet_manager, machine_mover):
        monkeypatch.setattr(module, "steady_ms", lambda: now[0])
    site.report_need(40)

    def slow() -> None:
        now[0] += 2 * HOLDER_CHANGE_MS

    site.machine_service.on_order = slow
    manager = site.new_manager(1)
    site.step(manager)
    assert len(site.machine_service.orders) == 2
    now[0] -= HOLDER_CHANGE_MS
    manager._commit(())
    assert site.recorded_orders() == ["spare1"]


def test_moves_do_not_wait_for_the_reply_to_another_move() -> None:
    """Both orders are under way at the same time; one at a time, neither returns."""
    site = FleetSite()
    site.report_need(40)
    both_sent = threading.Barrier(2)
    site.machine_service.on_order = lambda: both_sent.wait(10) and None
    site.step(site.new_manager(1))
    assert len(site.machine_service.orders) == 2


def test_a_refused_repetition_of_a_move_leaves_its_outcome_unknown() -> None:
    """Guards against a machine that counts as staying while its first try moves it."""
    site = FleetSite()
    manager = site.new_manager(1)
    site.report_need(24)
    outcomes = [OrderOutcome.UNKNOWN, OrderOutcome.REFUSED]

    def reply_next() -> None:
        site.machine_service.outcome = outcomes.pop(0)

    site.machine_service.on_order = reply_next
    site.step(manager)
    moved = {order.machine for order in site.machine_service.orders}
    assert len(moved) == 1
    assert not outcomes
    site.machine_service.on_order = lambda: None
    site.step(manager)
    assert len(site.machine_service.orders) == 2
    assert {*manager._mover._moves.moving} == moved


def test_a_fault_of_one_order_leaves_no_order_of_its_group_unrecorded() -> None:
    site = FleetSite()
    manager = site.new_manager(1)
    site.report_need(100)
    faults = iter((True, False))

    def fail_first() -> None:
        if next(faults, False):
            raise RuntimeError("unexpected reply")

    site.machine_service.on_order = fail_first
    for _ in range(3):
        site.step(manager)
    assert len(site.machine_service.orders) == 1
    assert len(site.recorded_orders()) == 2


def test_a_new_holder_does_not_maintain_a_machine_with_a_recent_order() -> None:
    site = FleetSite()
    site.report_need(24)
    site.step(site.new_manager(1))
    moved = site.machine_service.orders[0].machine
    names = tuple(machine.name for machine in site.machine_service.listed)
    wave = WaveRequest(number=1, machines=names, duration_ms=1_000, cap=4)
    site.put("waves/1", msgspec.json.encode(wave))
    hosts = [machine.host for machine in site.machine_service.listed]
    site.report_vacant(*hosts)
    site.held_term = Term(2)
    site.machine_service.orders.clear()
    site.step(site.new_manager(2))
    maintained = {
        order.machine
        for order in site.machine_service.orders
        if isinstance(order, MaintainMachine)
    }
    assert maintained
    assert moved not in maintained


def test_a_wave_goes_on_in_an_evacuated_zone_and_moves_do_not() -> None:
    site = FleetSite()
    site.machine_service.listed = [
        replace(machine, zone=ZoneId("a")) for machine in site.machine_service.listed
    ]
    site.evacuations.zones = frozenset({ZoneId("a")})
    names = (site.machine_service.listed[0].name,)
    wave = WaveRequest(number=1, machines=names, duration_ms=1_000, cap=4)
    site.put("waves/1", msgspec.json.encode(wave))
    need = PoolLoad(Resources(100_000), Resources(10_000), ())
    site.report_vacant(site.machine_service.listed[0].host, load=need)
    site.step(site.new_manager(1))
    assert [type(each) for each in site.machine_service.orders] == [MaintainMachine]


def test_a_holder_that_cannot_read_the_evacuations_does_not_begin() -> None:
    site = FleetSite()
    manager = site.new_manager(1)
    manager._context.evacuations = SimpleNamespace(  # type: ignore[assignment]
        subscribe=lambda role, post: False
    )
    assert not manager.take_over()


def test_a_move_is_logged_with_the_time_since_its_term_was_checked() -> None:
    """An order that a later holder's order overtakes is traced by that time."""
    site, log = FleetSite(), Log()
    site.log = log  # type: ignore[assignment]
    manager = site.new_manager(1)
    site.report_need(24)
    site.machine_service.outcome = OrderOutcome.UNKNOWN
    site.step(manager)
    (line,) = [fields for event, fields in log.lines if event == "move"]
    assert (line["tries"], line["term"]) == (machine_mover.MAX_TRIES, 1)
    assert line["since_check_ms"] >= 0


def a_wave_of(site: FleetSite, *machines: Machine) -> None:
    names = tuple(machine.name for machine in machines)
    wave = WaveRequest(number=1, machines=names, duration_ms=1_000, cap=4)
    site.put("waves/1", msgspec.json.encode(wave))


def test_a_host_that_an_earlier_request_emptied_has_to_be_emptied_again() -> None:
    """Guards against maintenance of a host that has got runs since its report."""
    site = FleetSite()
    machine = site.machine_service.listed[0]
    site.report_vacant(machine.host)
    manager = site.new_manager(1)
    site.step(manager)
    a_wave_of(site, machine)
    manager._list()
    site.step(manager)
    assert not site.machine_service.orders
    stored = site.platform.read(keys.vacate_key(WEB))
    assert stored is not None
    assert decode_vacate_request(stored.value).hosts == {machine.host: 3}
    report = PoolReport(vacant=[str(machine.host)], vacate_number=3)
    site.put(keys.report_key(WEB), msgspec.json.encode(report))
    site.step(manager)
    assert [order.machine for order in site.machine_service.orders] == [machine.name]


def test_a_request_that_may_be_stored_empties_no_host_by_an_older_report() -> None:
    """Guards against a host that its conductor fills after a write without a reply."""
    site = FleetSite()
    machine = site.machine_service.listed[0]
    site.report_vacant(machine.host)
    manager = site.new_manager(1)
    site.plan_faults("commit", Fault.LOST_REPLY)
    manager._vacating.request({})
    manager._vacating.request({WEB: {machine.host}})
    a_wave_of(site, machine)
    manager._list()
    site.step(manager)
    assert not site.machine_service.orders


def test_a_new_holder_keeps_hosts_empty_that_the_last_one_may_have_ordered() -> None:
    """Guards against runs on a host whose order is carried out after the takeover."""
    site = FleetSite()
    machine = site.machine_service.listed[0]
    site.report_vacant(machine.host)
    first = site.new_manager(1)
    first._recent_orders.record((machine.name,), fleet_manager.steady_ms())
    assert first._commit(())
    site.held_term = Term(2)
    site.step(site.new_manager(2))
    stored = site.platform.read(keys.vacate_key(WEB))
    assert stored is not None
    assert set(decode_vacate_request(stored.value).hosts) == {machine.host}


def test_requests_without_numbers_are_read() -> None:
    """Entries of the version before stored only the hosts."""
    assert decode_vacate_request(b'["a"]') == VacateRequest(hosts={HostId("a"): 0})
