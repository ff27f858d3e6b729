"""Calls without a reply are abandoned for good."""

from __future__ import annotations

import socket

import pytest

from amaranthtray.web.http_peer import HttpPeer, NoResponse

TIMEOUT_S = 5


def test_an_abandoned_order_does_not_stay_under_way() -> None:
    """Guards against an order that arrives after its sender has given it up."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(TIMEOUT_S)
        peer = HttpPeer(f"127.0.0.1:{server.getsockname()[1]}", connections=1)
        outcome = peer.call("POST", "/order", timeout_ms=50, payload={"to": 1})
        assert outcome == NoResponse("ReadTimeoutError", was_sent=True)
        connection, _ = server.accept()
        with connection:
            connection.settimeout(TIMEOUT_S)
            # A reset discards what was not read; a plain close leaves it to be read.
            with pytest.raises(ConnectionResetError):
                receive_to_end(connection)


def receive_to_end(connection: socket.socket) -> None:
    while connection.recv(1):
        pass
