"""A connection to a host that leads to one incarnation of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..web.http_channel import HttpChannel

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..web.http_peer import CallOutcome, NoResponse


MIN_CLOSING_REPLIES = 2
"""Replies in a row that ended their connection, after which a host counts as one that
ends each. It could be sent nothing but looks otherwise."""


class HostLane:
    """One connection to a host, and the incarnation that it leads to.

    A connection ends with the incarnation of the host that accepted it. What was sent
    for one incarnation over a connection on which that one has answered reaches no
    other.

    Args:
        address: IP address and port.
        headers: Headers of each order.

    Attributes:
        born: Start of the incarnation that has answered; None before its first answer.
    """

    def __init__(self, address: str, headers: Mapping[str, str]) -> None:
        self._channel = HttpChannel(address)
        self._headers = headers
        self.born: int | None = None

    def open(self) -> NoResponse | None:
        """Opens a connection unless there is one; returns why it can't."""
        if self._channel.is_open:
            return None
        if self._channel.closing_replies >= MIN_CLOSING_REPLIES:
            return self._channel.open()
        return self.reopen()

    def reopen(self) -> NoResponse | None:
        """Opens another connection; returns why it can't."""
        self.born = None
        return self._channel.open()

    def send(self, path: str, payload: object, timeout_ms: int) -> CallOutcome:
        """Sends an order on the open connection."""
        return self._channel.call(
            "POST", path, timeout_ms=timeout_ms, payload=payload, headers=self._headers
        )

    def interrupt(self) -> None:
        """Ends the connection and the call in progress on it."""
        self._channel.interrupt()

    def close(self) -> None:
        """Closes the connection for good."""
        self._channel.close()
