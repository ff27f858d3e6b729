"""Sends maintenance orders to backend servers and reads their health."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import msgspec
import urllib3

from ..domain.waves import DrainHost, RebootHost, ReturnHost
from . import wire

if TYPE_CHECKING:
    from ..domain.inventory import Host
    from .connections import ConnectionPools

MaintenanceOrder: TypeAlias = DrainHost | RebootHost | ReturnHost

HTTP_OK = 200
HTTP_CONFLICT = 409


class MaintenanceClient:
    """Queries the health of backend servers, with or without an order to them.

    Args:
        pools: Connections that no task uses, so that no call waits for a task.
        timeout_ms: Timeout to connect, and timeout of the reply.
    """

    def __init__(self, pools: ConnectionPools, *, timeout_ms: int = 1_000) -> None:
        self._pools = pools
        self._timeout_s = timeout_ms / 1_000

    def query_health(
        self, host: Host, order: MaintenanceOrder | None
    ) -> wire.Health | None:
        """Sends the order, if there is one; returns None after any failure."""
        if order is None:
            return self._call(host, "GET", wire.HEALTH_PATH, b"")
        fence = order.fence
        body = wire.HostOrder(fence.op_id, fence.pool, int(fence.term))
        path = wire.host_path(_order_verb(order))
        return self._call(host, "POST", path, msgspec.json.encode(body))

    def _call(
        self, host: Host, method: str, path: str, body: bytes
    ) -> wire.Health | None:
        pool = self._pools.get(host.address, host.port)
        try:
            resp = pool.urlopen(
                method, path, body=body, retries=False, timeout=self._timeout_s
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        if resp.status not in (HTTP_OK, HTTP_CONFLICT):
            return None
        try:
            return msgspec.json.decode(resp.data, type=wire.Health)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None


def _order_verb(order: MaintenanceOrder) -> str:
    match order:
        case DrainHost():
            return wire.DRAIN
        case RebootHost():
            return wire.REBOOT
        case ReturnHost():
            return wire.RETURN
