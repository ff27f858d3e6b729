"""Maintenance orders over HTTP to a stand-in backend server: fenced, and done once."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

import builders
from amaranthtray.backend.connections import ConnectionPools
from amaranthtray.backend.maintenance import MaintenanceClient
from amaranthtray.domain.ids import HostId, Millis, OperationId, PoolName, Term
from amaranthtray.domain.waves import DrainHost, Fence, RebootHost, ReturnHost
from amaranthtray.standins.backend import BackendStandIn

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from amaranthtray.backend import wire
    from amaranthtray.backend.maintenance import MaintenanceOrder

H1 = HostId("h1")


class OrderSender:
    """Sends maintenance orders to one backend server."""

    def __init__(self, server: BackendStandIn) -> None:
        self.server = server
        self.pools = ConnectionPools(connections=1)
        self.client = MaintenanceClient(self.pools)
        self.host = replace(builders.host(1), port=server.port)

    def send(
        self,
        kind: Callable[[HostId, Fence], MaintenanceOrder],
        op_id: str = "op",
        term: int = 2,
    ) -> wire.Health | None:
        fence = Fence(PoolName("web"), Term(term), OperationId(op_id), Millis(0))
        return self.client.query_health(self.host, kind(H1, fence))


@pytest.fixture
def sender() -> Iterator[OrderSender]:
    server = BackendStandIn("h1", reboot_ms=0)
    server.start()
    sender = OrderSender(server)
    yield sender
    sender.pools.close()
    server.stop()


def test_drained_server_refuses_work_until_it_returns(sender: OrderSender) -> None:
    drained = sender.send(DrainHost)
    assert drained is not None
    assert (drained.state, drained.draining) == ("leaving", "op")
    returned = sender.send(ReturnHost)
    assert returned is not None
    assert (returned.state, returned.draining, returned.ended) == (
        "live",
        None,
        ("op",),
    )
    late = sender.send(DrainHost)
    assert late is not None
    assert late.draining is None


def test_reboot_is_done_once_for_each_operation(sender: OrderSender) -> None:
    sender.send(DrainHost)
    sender.send(RebootHost)
    again = sender.send(RebootHost)
    assert again is not None
    assert (again.rebooted, again.ended, again.state) == (("op",), ("op",), "live")
    assert sender.server.maintenance.invalid_orders == []


def test_reboot_without_drain_is_refused_and_recorded(sender: OrderSender) -> None:
    health = sender.send(RebootHost)
    assert health is not None
    assert health.rebooted == ()
    assert sender.server.maintenance.invalid_orders == ["rebooted by op undrained"]


def test_lower_term_has_no_effect(sender: OrderSender) -> None:
    sender.send(DrainHost, "new", term=3)
    old = sender.send(DrainHost, "old", term=2)
    assert old is not None
    assert old.draining == "new"


def test_rebooting_server_does_not_answer(sender: OrderSender) -> None:
    sender.server.maintenance.reboot_ms = None
    sender.send(DrainHost)
    sender.send(RebootHost)
    assert sender.client.query_health(sender.host, None) is None
