"""Closes connections so that clients can still read the last reply."""

from __future__ import annotations

import selectors
import socket
import threading
import time
from dataclasses import dataclass

MAX_SOCKETS = 256
LINGER_S = 2.0
MAX_DROPPED_BYTES = 1 << 20
READ_BYTES = 64 << 10
CHECK_INTERVAL_S = 0.1


@dataclass(slots=True)
class _Lingering:
    sock: socket.socket
    deadline: float
    left_bytes: int = MAX_DROPPED_BYTES


class LingeringCloses:
    """Drops what clients still send after their last reply, and then closes.

    A socket that is closed with unread bytes resets its connection, and the client may
    lose the reply. At most ``MAX_SOCKETS`` wait, each for ``LINGER_S`` and
    ``MAX_DROPPED_BYTES``; beyond that the oldest one is closed at once.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: dict[int, _Lingering] = {}
        self._selector = selectors.DefaultSelector()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="lingering-closes")
        self._thread.daemon = True

    def start(self) -> None:
        """Starts the thread that drops bytes and closes sockets."""
        self._thread.start()

    def stop(self) -> None:
        """Closes all sockets."""
        self._stopping.set()

    def add(self, sock: socket.socket) -> None:
        """Takes a socket over; nothing more is sent on it."""
        try:
            sock.setblocking(False)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has reset the connection.
            sock.close()
            return
        waiting = _Lingering(sock, time.monotonic() + LINGER_S)
        with self._lock:
            if self._stopping.is_set():
                sock.close()
                return
            if len(self._waiting) >= MAX_SOCKETS:
                self._close(next(iter(self._waiting)))
            self._waiting[sock.fileno()] = waiting
            self._selector.register(sock, selectors.EVENT_READ, waiting)

    def _run(self) -> None:
        while not self._stopping.is_set():
            ready = self._selector.select(CHECK_INTERVAL_S)
            now = time.monotonic()
            with self._lock:
                for key, _ in ready:
                    self._drop(key.fd, key.data)
                for number, waiting in list(self._waiting.items()):
                    if waiting.deadline > now:
                        break
                    self._close(number)
        with self._lock:
            for number in list(self._waiting):
                self._close(number)
            self._selector.close()

    def _drop(self, number: int, waiting: _Lingering) -> None:
        if self._waiting.get(number) is not waiting:
            return
        try:
            dropped = waiting.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # The client has reset the connection.
            dropped = b""
        waiting.left_bytes -= len(dropped)
        if not dropped or waiting.left_bytes <= 0:
            self._close(number)

    def _close(self, number: int) -> None:
        sock = self._waiting.pop(number).sock
        self._selector.unregister(sock)
        sock.close()
