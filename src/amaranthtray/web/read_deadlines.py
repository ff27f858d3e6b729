"""Ends connections whose clients take too long to send headers or a body."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

SOCKET_KEY = "amaranthtray.socket"
DEADLINES_KEY = "amaranthtray.read-deadlines"
MIN_BODY_BYTES_PER_S = 16 << 10
CHECK_INTERVAL_S = 0.1


class ReadDeadlines:
    """Limits the time to receive headers and bodies, even if bytes keep trickling in.

    Attributes:
        ended: Number of connections ended.

    Args:
        timeout_s: Time limit of the headers; a body has in addition the time that
            its size takes at ``MIN_BODY_BYTES_PER_S``.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._deadlines: dict[socket.socket, float] = {}
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
        with self._limit(sock, self._timeout_s):
            yield

    @contextlib.contextmanager
    def limit_body(self, sock: socket.socket, size_bytes: int) -> Iterator[None]:
        """Limits the time in which a body of at most ``size_bytes`` is read."""
        with self._limit(sock, self._timeout_s + size_bytes / MIN_BODY_BYTES_PER_S):
            yield

    @contextlib.contextmanager
    def _limit(self, sock: socket.socket, timeout_s: float) -> Iterator[None]:
        with self._lock:
            self._deadlines[sock] = time.monotonic() + timeout_s
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
                    sock for sock, deadline in self._deadlines.items() if deadline < now
                ]
            for sock in overdue:
                self.ended += 1
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)
