"""Ends connections whose senders take too long over a head or a body."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

SOCKET_KEY = "amaranthtray.socket"
SENDERS_KEY = "amaranthtray.senders"
LOWEST_BYTES_PER_S = 16 << 10
CHECK_EVERY_S = 0.1


class SlowSenders:
    """Bounds the time of each head and body, however steadily bytes trickle in.

    Args:
        timeout_s: Time for a head, and for a body beyond its size at the lowest rate.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._deadlines: dict[socket.socket, float] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch, name="slow-senders")
        self._thread.daemon = True
        self.ended = 0

    def start(self) -> None:
        """Starts the thread that ends late connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stopping.set()

    @contextlib.contextmanager
    def bounded_head(self, sock: socket.socket) -> Iterator[None]:
        """Bounds the time in which a head is read."""
        with self._bounded(sock, self._timeout_s):
            yield

    @contextlib.contextmanager
    def bounded_body(self, sock: socket.socket, size_bytes: int) -> Iterator[None]:
        """Bounds the time in which a body of at most this size is read."""
        with self._bounded(sock, self._timeout_s + size_bytes / LOWEST_BYTES_PER_S):
            yield

    @contextlib.contextmanager
    def _bounded(self, sock: socket.socket, timeout_s: float) -> Iterator[None]:
        with self._lock:
            self._deadlines[sock] = time.monotonic() + timeout_s
        try:
            yield
        finally:
            with self._lock:
                self._deadlines.pop(sock, None)

    def _watch(self) -> None:
        while not self._stopping.wait(CHECK_EVERY_S):
            now = time.monotonic()
            with self._lock:
                late = [sock for sock, end in self._deadlines.items() if end < now]
            for sock in late:
                self.ended += 1
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)
