"""The fleet manager while its term is uncertain, and after that."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from amaranthtray.domain.upkeep.model import (
    MachineName,
    MaintainMachine,
    MoveMachine,
    WaveRequest,
)
from amaranthtray.jobs import clock, duty_task, fleet_manager, machine_mover
from amaranthtray.jobs.duty_task import DUTY_SETTINGS
from amaranthtray.jobs.times import RENEWAL_GRACE_MS
from jobs.test_duty_task import TERM_ENDS_MS, DutyTaskHarness
from jobs.test_fleet_duty import FleetSite

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from amaranthtray.domain.ids import Term
    from amaranthtray.jobs.fleet_manager import FleetManager


class ScriptedPauses(threading.Event):
    """An event whose waits play the next step of a script, and that its end sets."""

    def __init__(self, script: Iterator[None]) -> None:
        super().__init__()
        self._script = script

    def wait(self, timeout: float | None = None) -> bool:
        if next(self._script, self) is self:
            self.set()
        return self.is_set()


class ManualSite(FleetSite):
    """A fleet whose clock is that of its store."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        super().__init__()
        self.now_ms = 1_000
        for module in (clock, duty_task, fleet_manager, machine_mover):
            patch.setattr(module, "steady_ms", lambda: self.now_ms)
        patch.setattr(fleet_manager.FleetManager, "_follow_waves", lambda self: None)
        self.machine_service.close = lambda: None  # type: ignore[attr-defined]

    def play(self, manager: FleetManager, script: Iterator[None]) -> None:
        """Runs the manager's thread, with a step of the script at each pause."""
        platform: Any = manager._context.platform
        platform.machine_service = lambda term: self.machine_service
        manager._stopping = ScriptedPauses(script)
        manager._run()

    def ordered(self) -> list[MachineName]:
        return [order.machine for order in self.machine_service.orders]

    def add_wave(self) -> None:
        names = (self.machine_service.listed[0].name,)
        wave = WaveRequest(number=1, machines=names, duration_ms=1_000, cap=4)
        self.put("waves/1", msgspec.json.encode(wave))
        self.report_vacant(self.machine_service.listed[0].host)


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> ManualSite:
    return ManualSite(monkeypatch)


class FleetHarness(DutyTaskHarness):
    """A duty task whose work is a fleet manager that the test runs."""

    started_work: list[Any]

    def start_work(self, term: Term, held_term: Callable[[], Term | None]) -> Any:
        assert isinstance(self.site, FleetSite)
        self.held_term = held_term
        self.started_work.append(self.site.new_manager(term, held_term))
        return self.started_work[-1]


def test_the_fleet_goes_on_after_a_gap_in_the_renewals_of_its_duty(
    site: ManualSite,
) -> None:
    """Guards against a fleet duty that is held and does nothing."""
    harness = FleetHarness(site)
    harness.task.step()

    def script() -> Iterator[None]:
        site.platform.is_down = True
        site.now_ms += TERM_ENDS_MS
        harness.task.step()
        yield
        assert harness.held_term() is None
        site.platform.is_down = False
        site.now_ms += DUTY_SETTINGS.renew_retry_ms
        harness.task.step()
        site.report_need(24)
        yield

    site.play(harness.started_work[0], script())
    assert site.ordered() == ["spare0"]
    assert harness.task.is_held
    assert len(harness.started_work) == 1


def test_the_fleet_duty_is_free_again_after_a_gap_that_ends_its_work(
    site: ManualSite,
) -> None:
    """Guards against a fleet duty that is held and does nothing."""
    manager = site.new_manager(1)

    def script() -> Iterator[None]:
        site.held_term = None
        site.now_ms += RENEWAL_GRACE_MS
        yield
        pytest.fail("the manager goes on")

    site.play(manager, script())
    assert manager.is_over


def test_a_fault_that_ends_the_fleet_manager_frees_its_duty(site: ManualSite) -> None:
    manager = site.new_manager(1)
    platform: Any = manager._context.platform

    def fail(term: Term) -> None:
        raise ValueError("no such address")

    platform.machine_service = fail
    manager._run()
    assert manager.is_over


def test_a_fleet_without_a_machine_service_keeps_its_duty(site: ManualSite) -> None:
    """Guards against entries that pass the duty round, as none has work for it."""
    manager = site.new_manager(1)
    platform: Any = manager._context.platform
    platform.machine_service = lambda term: None
    seen: list[bool] = []

    def script() -> Iterator[None]:
        seen.append(manager.is_over)
        yield

    manager._stopping = ScriptedPauses(script())
    manager._run()
    assert seen == [False]


def test_a_round_that_began_before_a_gap_sends_no_order(
    site: ManualSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against orders by machines that were read before the gap."""
    site.add_wave()
    site.report_need(24)
    manager = site.new_manager(1)
    read = site.machine_service.machines
    monkeypatch.setattr(
        site.machine_service, "machines", lambda: [read(), manager.resume()][0]
    )
    site.step(manager)
    assert not site.machine_service.orders


def test_moves_and_waves_of_a_round_that_a_gap_stopped_are_ordered_by_the_next(
    site: ManualSite,
) -> None:
    site.add_wave()
    manager = site.new_manager(1)

    def script() -> Iterator[None]:
        site.report_need(24)
        yield
        yield

    commit = manager._commit
    calls: list[int] = []

    def commit_then_gap(puts: Any) -> bool:
        is_stored = commit(puts)
        calls.append(1)
        if len(calls) == 1:
            manager.resume()
        return is_stored

    manager._commit = commit_then_gap  # type: ignore[method-assign]
    site.play(manager, script())
    kinds = {type(order) for order in site.machine_service.orders}
    assert kinds == {MaintainMachine, MoveMachine}


def test_after_a_gap_the_fleet_waits_until_it_knows_the_evacuated_zones(
    site: ManualSite,
) -> None:
    site.report_need(24)
    can_read = [True]
    site.evacuations = SimpleNamespace(
        zones=frozenset(),
        subscribe=lambda role, post: can_read[0],
        unsubscribe=lambda role, post: None,
    )
    manager = site.new_manager(1)
    can_read[0] = False
    manager.resume()
    orders: list[int] = []

    def script() -> Iterator[None]:
        for is_readable in (False, False, True):
            orders.append(len(site.machine_service.orders))
            can_read[0] = is_readable
            yield

    manager.take_over = lambda: True  # type: ignore[method-assign]
    site.play(manager, script())
    assert orders == [0, 0, 0]
    assert site.ordered() == ["spare0"]


def test_after_a_gap_the_fleet_reads_the_waves_again(site: ManualSite) -> None:
    """Guards against a wave that a broken watch has missed."""
    manager = site.new_manager(1)
    site.add_wave()
    site.step(manager)
    assert not site.machine_service.orders

    def script() -> Iterator[None]:
        yield

    manager.take_over = lambda: True  # type: ignore[method-assign]
    manager.resume()
    site.play(manager, script())
    assert site.ordered() == ["web0"]
