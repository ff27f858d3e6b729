"""Connections to backend servers that can be aborted from another thread."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

import urllib3
from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    from ..domain.ids import AttemptId


class AttemptSockets:
    """Sockets of the attempts in flight, through which any thread can abort one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: dict[AttemptId, socket.socket | None] = {}
        self._aborted: set[AttemptId] = set()

    def register(self, attempt_id: AttemptId) -> None:
        """Registers an attempt before it has a connection."""
        with self._lock:
            self._sockets[attempt_id] = None

    def attach(self, attempt_id: AttemptId, sock: socket.socket | None) -> bool:
        """Records the socket; returns False if the attempt was already aborted."""
        with self._lock:
            if attempt_id in self._aborted:
                return False
            self._sockets[attempt_id] = sock
            return True

    def unregister(self, attempt_id: AttemptId) -> None:
        """Removes an attempt that has ended."""
        with self._lock:
            self._sockets.pop(attempt_id, None)
            self._aborted.discard(attempt_id)

    def abort(self, attempt_id: AttemptId) -> None:
        """Shuts down the connection of an attempt, if it is in flight."""
        with self._lock:
            if attempt_id not in self._sockets:
                return
            self._aborted.add(attempt_id)
            sock = self._sockets[attempt_id]
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class AttemptAbortedError(Exception):
    """The attempt was aborted before any byte of its request was sent."""


class SendProgress(threading.local):
    """How far the attempt of the current thread has sent its request.

    Attributes:
        attempt_id: The attempt in flight on this thread, if any.
        may_have_sent: Whether any byte of its request may have been sent.
        send_by_s: Monotonic time by which its first byte must be sent.
    """

    attempt_id: AttemptId | None = None
    may_have_sent: bool = False
    send_by_s: float = 0.0


class _HeaderReader:
    """Reads the header lines of an answer and fails if they end early."""

    def __init__(self, raw: Any) -> None:
        self._raw = raw

    def readline(self, limit: int = -1) -> bytes:
        line: bytes = self._raw.readline(limit)
        if not line:
            raise ConnectionResetError("the connection ended within the headers")
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._raw, name)


class CompleteHeadersResponse(http.client.HTTPResponse):
    """Rejects headers that end with the connection, which the base class accepts."""

    def begin(self) -> None:
        """Reads the status line and the headers.

        Raises:
            ConnectionResetError: The connection ended before the headers did.
        """
        raw = self.fp
        self.fp = _HeaderReader(raw)  # type: ignore[assignment]
        super().begin()
        self.fp = raw


class AbortableConnection(HTTPConnection):
    """Records when bytes may have been sent, and lets the attempt be aborted."""

    response_class = CompleteHeadersResponse
    progress: SendProgress
    sockets: AttemptSockets

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Connects first, so that a failure to connect is recognized as one."""
        if self.sock is None:
            self.connect()
        if self.progress.attempt_id is not None:
            self._check_may_send(self.progress.attempt_id)
        self.progress.may_have_sent = True
        super().request(*args, **kwargs)

    def _check_may_send(self, attempt_id: AttemptId) -> None:
        """Checks the clock last, so that after a long pause nothing is sent."""
        if not self.sockets.attach(attempt_id, self.sock):
            raise AttemptAbortedError("aborted before it was sent")
        if time.monotonic() > self.progress.send_by_s:
            raise AttemptAbortedError("too late to send")


class ConnectionPools:
    """One bounded connection pool for each backend server.

    Args:
        connections: Maximum number of connections to one backend server.
    """

    def __init__(self, *, connections: int = 64) -> None:
        self.sockets = AttemptSockets()
        self.progress = SendProgress()
        self._connections = connections
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], urllib3.HTTPConnectionPool] = {}

    def get(self, address: str, port: int) -> urllib3.HTTPConnectionPool:
        """Returns the pool of one backend server."""
        with self._lock:
            pool = self._pools.get((address, port))
            if pool is None:
                pool = self._new_pool(address, port)
                self._pools[address, port] = pool
            return pool

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _new_pool(self, address: str, port: int) -> urllib3.HTTPConnectionPool:
        pool = urllib3.HTTPConnectionPool(
            address, port, maxsize=self._connections, block=True
        )
        pool.ConnectionCls = type(
            "_AbortableConnection",
            (AbortableConnection,),
            {"progress": self.progress, "sockets": self.sockets},
        )
        return pool
