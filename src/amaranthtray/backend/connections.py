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


class LiveAttempts:
    """The sockets of attempts in flight, so that any thread can abort one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: dict[AttemptId, socket.socket | None] = {}
        self._aborted: set[AttemptId] = set()

    def begin(self, attempt_id: AttemptId) -> None:
        """Registers an attempt before its connection is chosen."""
        with self._lock:
            self._sockets[attempt_id] = None

    def attach(self, attempt_id: AttemptId, sock: socket.socket | None) -> bool:
        """Notes the socket; returns false if the attempt was aborted before."""
        with self._lock:
            if attempt_id in self._aborted:
                return False
            self._sockets[attempt_id] = sock
            return True

    def end(self, attempt_id: AttemptId) -> None:
        """Forgets an attempt that is over."""
        with self._lock:
            self._sockets.pop(attempt_id, None)
            self._aborted.discard(attempt_id)

    def abort(self, attempt_id: AttemptId) -> None:
        """Ends the connection of an attempt, if it is in flight."""
        with self._lock:
            if attempt_id not in self._sockets:
                return
            self._aborted.add(attempt_id)
            sock = self._sockets[attempt_id]
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class AttemptAbortedError(Exception):
    """The attempt was given up before a byte of it was sent."""


class Progress(threading.local):
    """What the attempt of the current thread has done so far.

    Attributes:
        attempt_id: The attempt in flight on this thread, if any.
        may_have_sent: Whether a byte of its request may have left.
        send_by_s: When its first byte must have left, on the monotonic clock.
    """

    attempt_id: AttemptId | None = None
    may_have_sent: bool = False
    send_by_s: float = 0.0


class _HeadReader:
    """Reads the lines of an answer's head and fails when the head is cut."""

    def __init__(self, raw: Any) -> None:
        self._raw = raw

    def readline(self, limit: int = -1) -> bytes:
        line: bytes = self._raw.readline(limit)
        if not line:
            raise ConnectionResetError("the connection ended within the head")
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._raw, name)


class CompleteHeadResponse(http.client.HTTPResponse):
    """Refuses a head that ends with the connection; its base class takes it."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            ConnectionResetError: The connection ended before the head did.
        """
        raw = self.fp
        self.fp = _HeadReader(raw)  # type: ignore[assignment]
        super().begin()
        self.fp = raw


class TrackedConnection(HTTPConnection):
    """Notes when bytes may leave, and lets the attempt be aborted."""

    response_class = CompleteHeadResponse
    progress: Progress
    live: LiveAttempts

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Connects first, so that a failure to connect is known as such."""
        if self.sock is None:
            self.connect()
        if self.progress.attempt_id is not None:
            self._check_may_send(self.progress.attempt_id)
        self.progress.may_have_sent = True
        super().request(*args, **kwargs)

    def _check_may_send(self, attempt_id: AttemptId) -> None:
        """Looks at the clock last, so that a pause before it sends nothing."""
        if not self.live.attach(attempt_id, self.sock):
            raise AttemptAbortedError("aborted before it was sent")
        if time.monotonic() > self.progress.send_by_s:
            raise AttemptAbortedError("too late to send")


class ConnectionPools:
    """One bounded pool of connections a backend server.

    Args:
        connections: Most connections open to one backend server.
    """

    def __init__(self, *, connections: int = 64) -> None:
        self.live = LiveAttempts()
        self.progress = Progress()
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
            "_TrackedConnection",
            (TrackedConnection,),
            {"progress": self.progress, "live": self.live},
        )
        return pool
