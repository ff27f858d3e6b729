"""Callers that wait for answers, and the resident memory of a process."""

from __future__ import annotations

import socket
import time
from pathlib import Path
from urllib.parse import urlsplit

KIB_PER_MIB = 1_024
SETTLE_S = 2.0
"""Time for the last requests to arrive at the entry."""

REQUEST_MS = 4_000


def resident_mib(pid: int) -> float:
    """Returns the resident memory of a process in mebibytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MIB
    raise ValueError(f"process {pid} has no resident memory")


class WaitingCallers:
    """Holds connections open, each with a request that takes ``REQUEST_MS``.

    Args:
        url: URL to send requests to.
        key: Bearer key of the callers.
        count: Number of callers.
    """

    def __init__(self, url: str, key: str, count: int) -> None:
        self._parts = urlsplit(url)
        self._key = key
        self._count = count
        self._sockets: list[socket.socket] = []

    def send_requests(self) -> None:
        """Sends all requests and waits until they have arrived at the entry."""
        address = (self._parts.hostname or "", self._parts.port or 0)
        for number in range(self._count):
            sock = socket.create_connection(address)
            sock.sendall(self._request(number))
            self._sockets.append(sock)
        time.sleep(SETTLE_S)

    def close(self) -> None:
        """Closes the connections after the requests have ended."""
        time.sleep(REQUEST_MS / 1_000)
        for sock in self._sockets:
            sock.close()

    def _request(self, number: int) -> bytes:
        body = b"sleep:%d" % REQUEST_MS
        lines = (
            f"POST {self._parts.path} HTTP/1.1",
            "Host: entry",
            f"Authorization: Bearer {self._key}",
            f"Request-Id: wait-{number}",
            "Repeatable: true",
            f"Content-Length: {len(body)}",
        )
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
