"""Orders to a stand-in backend server over HTTP: fenced, and done once."""

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
    from amaranthtray.backend.maintenance import Order

H1 = HostId("h1")


class Asking:
    """Gives orders to one server."""

    def __init__(self, server: BackendStandIn) -> None:
        self.server = server
        self.pools = ConnectionPools(connections=1)
        self.client = MaintenanceClient(self.pools)
        self.host = replace(builders.host(1), port=server.port)

    def order(
        self, kind: Callable[[HostId, Fence], Order], op_id: str = "op", term: int = 2
    ) -> wire.Health | None:
        fence = Fence(PoolName("web"), Term(term), OperationId(op_id), Millis(0))
        return self.client.ask(self.host, kind(H1, fence))


@pytest.fixture
def asking() -> Iterator[Asking]:
    server = BackendStandIn("h1", reboot_ms=0)
    server.start()
    asking = Asking(server)
    yield asking
    asking.pools.close()
    server.stop()


def test_drained_server_refuses_work_until_it_returns(asking: Asking) -> None:
    drained = asking.order(DrainHost)
    assert drained is not None
    assert (drained.state, drained.draining) == ("leaving", "op")
    returned = asking.order(ReturnHost)
    assert returned is not None
    assert (returned.state, returned.draining, returned.ended) == (
        "live",
        None,
        ("op",),
    )
    late = asking.order(DrainHost)
    assert late is not None
    assert late.draining is None


def test_reboot_is_done_once_for_each_operation(asking: Asking) -> None:
    asking.order(DrainHost)
    asking.order(RebootHost)
    again = asking.order(RebootHost)
    assert again is not None
    assert (again.rebooted, again.ended, again.state) == (("op",), ("op",), "live")
    assert asking.server.maintenance.invalid_orders == []


def test_reboot_without_drain_is_refused_and_noted(asking: Asking) -> None:
    health = asking.order(RebootHost)
    assert health is not None
    assert health.rebooted == ()
    assert asking.server.maintenance.invalid_orders == ["rebooted by op undrained"]


def test_lower_term_has_no_effect(asking: Asking) -> None:
    asking.order(DrainHost, "new", term=3)
    old = asking.order(DrainHost, "old", term=2)
    assert old is not None
    assert old.draining == "new"


def test_rebooting_server_gives_no_answer(asking: Asking) -> None:
    asking.server.maintenance.reboot_ms = None
    asking.order(DrainHost)
    asking.order(RebootHost)
    assert asking.client.ask(asking.host, None) is None
