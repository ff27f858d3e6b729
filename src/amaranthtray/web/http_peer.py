"""HTTP calls to one peer over persistent connections, with typed outcomes."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from .address import split_address

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_TIMEOUT_S = 0.5
"""A connection within a region opens in a few milliseconds."""

UNACKNOWLEDGED_TIMEOUT_MS = 2_000
"""A connection ends when sent bytes stay unacknowledged for this long."""

KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Linger time of 0 s. Otherwise the system goes on sending what a call without a reply
left unsent, and an abandoned order arrives once a partition has ended."""

SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
]

JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Returns whether the status is one of success (2xx)."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class NoResponse:
    """A call without a complete response.

    Attributes:
        detail: Type of the error.
        was_sent: Whether the peer may have received the request.
    """

    detail: str
    was_sent: bool


CallOutcome: TypeAlias = Response | NoResponse


class HttpPeer:
    """HTTP client of one peer.

    Args:
        address: IP address and port.
        connections: Most connections that are kept open.

    Raises:
        ValueError: ``address`` is not an address.
    """

    def __init__(self, address: str, *, connections: int) -> None:
        self.address = address
        host, port = split_address(address)
        self._pool = urllib3.HTTPConnectionPool(
            host,
            port,
            maxsize=connections,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def call(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: int,
        payload: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> CallOutcome:
        """Sends a request once, without retries or redirects."""
        body = None if payload is None else msgspec.json.encode(payload)
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_ms / 1_000)
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                headers={**JSON_HEADERS, **(headers or {})},
                timeout=timeout,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError, NameResolutionError) as exc:
            return NoResponse(type(exc).__name__, was_sent=False)
        except (HTTPError, OSError) as exc:
            return NoResponse(type(exc).__name__, was_sent=True)
        return Response(response.status, response.data)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()
