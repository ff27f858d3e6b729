"""HTTP calls to one peer over one connection that is never replaced unnoticed."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
from typing import TYPE_CHECKING

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from .address import split_address
from .http_peer import (
    CONNECT_TIMEOUT_S,
    JSON_HEADERS,
    SOCKET_OPTIONS,
    NoResponse,
    Response,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .http_peer import CallOutcome


class HttpChannel:
    """Calls over one connection, which only ``open`` opens.

    All calls between two calls of ``open`` that were needed reach the same process of
    the peer, or none. One thread calls; others may interrupt and close.

    Args:
        address: IP address and port.

    Attributes:
        closing_replies: Replies in a row that have ended their connection.

    Raises:
        ValueError: ``address`` is not an address.
    """

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self._connection = HTTPConnection(host, port, socket_options=SOCKET_OPTIONS)
        self._connection.auto_open = 0
        self._lock = threading.Lock()
        self._is_closed = False
        self.closing_replies = 0

    @property
    def is_open(self) -> bool:
        """Returns whether there is a connection that the peer has not ended."""
        with self._lock:
            return self._connection.is_connected

    def open(self) -> NoResponse | None:
        """Opens a new connection in place of an earlier one; returns why it can't."""
        with self._lock:
            self._connection.close()
            if self._is_closed:
                return NoResponse("closed", was_sent=False)
            self._connection.timeout = CONNECT_TIMEOUT_S
            try:
                self._connection.connect()
                if self._is_closed:
                    self._connection.close()
            except (HTTPError, OSError) as exc:
                return NoResponse(type(exc).__name__, was_sent=False)
        return None

    def call(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: int,
        payload: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> CallOutcome:
        """Sends a request once; the connection ends if no complete response comes."""
        body = None if payload is None else msgspec.json.encode(payload)
        connection = self._connection
        with self._lock:
            connection.timeout = timeout_ms / 1_000
            try:
                connection.request(
                    method, path, body=body, headers={**JSON_HEADERS, **(headers or {})}
                )
                response = connection.getresponse()
                is_last = connection.is_closed
                self.closing_replies = self.closing_replies + 1 if is_last else 0
                return Response(response.status, response.data)
            except http.client.NotConnected as exc:
                return NoResponse(type(exc).__name__, was_sent=False)
            except (HTTPError, http.client.HTTPException, OSError) as exc:
                connection.close()
                return NoResponse(type(exc).__name__, was_sent=True)
            finally:
                if self._is_closed:
                    connection.close()

    def interrupt(self) -> None:
        """Ends the connection, so that a call in progress gets no response."""
        sock = self._connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection, after a call in progress, and opens no other."""
        self._is_closed = True
        if self._lock.acquire(blocking=False):
            try:
                self._connection.close()
            finally:
                self._lock.release()
