"""A small crowd of clients without limits against one entry's process."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

from soak.wire import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from soak.entry import EntryProcess

CLIENTS = 16
CLIENT_TIMEOUT_S = 15.0
MAX_MEMORY_KB = 300 << 10
MAX_DESCRIPTORS = 4_100


def attack(port: int, form: Callable[[bytes], Iterator[bytes]], path: bytes) -> None:
    """Sends a form over all connections of the crowd; waits for the last one.

    A ``%`` in the path stands for the number of the client.
    """
    clients = [
        threading.Thread(
            target=_send, args=(port, form(path.replace(b"%", b"%x" % number)))
        )
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()


def _send(port: int, pieces: Iterator[bytes]) -> None:
    with contextlib.suppress(OSError), connect(port) as sock:
        for piece in pieces:
            sock.sendall(piece)
        sock.recv(1)


def connect(port: int) -> socket.socket:
    """Returns a connection that buffers few bytes of answers."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.settimeout(CLIENT_TIMEOUT_S)
    sock.connect((LOOPBACK, port))
    return sock


def trickle(sock: socket.socket, seconds: int) -> None:
    """Sends a byte a second until the connection ends, from a thread of its own."""

    def run() -> None:
        with contextlib.suppress(OSError):
            for _ in range(seconds):
                sock.sendall(b"x")
                time.sleep(1)

    threading.Thread(target=run, daemon=True).start()


def assert_within_its_machine(entry: EntryProcess, when: str) -> None:
    """Checks that a process lives and has stayed within memory and descriptors."""
    assert not entry.has_ended, f"the process has ended {when}"
    process = Path("/proc") / str(entry.pid)
    status = dict(
        line.split(":", 1) for line in (process / "status").read_text().splitlines()
    )
    peak_kb = int(status["VmHWM"].split()[0])
    descriptors = len(list((process / "fd").iterdir()))
    seen = f"{when}: peak of {peak_kb >> 10} MB, {descriptors} descriptors"
    print(seen)
    assert peak_kb < MAX_MEMORY_KB, seen
    assert descriptors < MAX_DESCRIPTORS, seen
