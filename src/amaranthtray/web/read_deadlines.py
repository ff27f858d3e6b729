"""Ends connections whose clients are too slow to send a request or read its reply."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SOCKET_KEY = "amaranthtray.socket"
DEADLINES_KEY = "amaranthtray.read-deadlines"
MIN_BYTES_PER_S = 16 << 10
CHECK_INTERVAL_S = 0.1
BUSY_TIMEOUT_S = 2.0
"""Time limit of a client while others are refused for want of a thread."""


class _Deadline(NamedTuple):
    """Times on the steady clock, and what of a connection ends at the second."""

    begun_s: float
    at_s: float
    direction: int


class ReadDeadlines:
    """Limits the time of headers, bodies and replies, even if bytes keep trickling.

    Attributes:
        ended: Number of connections ended.

    Args:
        timeout_s: Time limit of the headers; a body or a reply has in addition the
            time that its size takes at ``MIN_BYTES_PER_S``.
        on_ended: Called for each connection that is ended.
    """

    def __init__(self, timeout_s: float, on_ended: Callable[[], object]) -> None:
        self._timeout_s = timeout_s
        self._on_ended = on_ended
        self._lock = threading.Lock()
        self._deadlines: dict[socket.socket, _Deadline] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="read-deadlines")
        self._thread.daemon = True
        self.ended = 0

    def start(self) -> None:
        """Starts the thread that ends overdue connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stopping.set()

    @contextlib.contextmanager
    def limit_headers(self, sock: socket.socket) -> Iterator[None]:
        """Limits the time in which the headers are read."""
        with self._limit(sock, self._timeout_s, socket.SHUT_RD):
            yield

    @contextlib.contextmanager
    def limit_body(self, sock: socket.socket, size_bytes: int) -> Iterator[None]:
        """Limits the time in which a body of at most ``size_bytes`` is read."""
        timeout_s = self._timeout_s + size_bytes / MIN_BYTES_PER_S
        with self._limit(sock, timeout_s, socket.SHUT_RD):
            yield

    @contextlib.contextmanager
    def limit_reply(self, sock: socket.socket, size_bytes: int) -> Iterator[None]:
        """Limits the time in which ``size_bytes`` of a reply are sent."""
        timeout_s = self._timeout_s + size_bytes / MIN_BYTES_PER_S
        with self._limit(sock, timeout_s, socket.SHUT_RDWR):
            yield

    def end_slow_clients(self) -> None:
        """Ends all clients that have taken longer than ``BUSY_TIMEOUT_S``."""
        now = time.monotonic()
        with self._lock:
            for sock, deadline in self._deadlines.items():
                if now - deadline.begun_s > BUSY_TIMEOUT_S:
                    self._deadlines[sock] = deadline._replace(at_s=now)

    @contextlib.contextmanager
    def _limit(
        self, sock: socket.socket, timeout_s: float, direction: int
    ) -> Iterator[None]:
        now = time.monotonic()
        with self._lock:
            self._deadlines[sock] = _Deadline(now, now + timeout_s, direction)
        try:
            yield
        finally:
            with self._lock:
                self._deadlines.pop(sock, None)

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            now = time.monotonic()
            with self._lock:
                overdue = [
                    (sock, deadline.direction)
                    for sock, deadline in self._deadlines.items()
                    if deadline.at_s < now
                ]
                for sock, _ in overdue:
                    del self._deadlines[sock]
            for sock, direction in overdue:
                self.ended += 1
                self._on_ended()
                with contextlib.suppress(OSError):
                    sock.shutdown(direction)
