"""Parses the address of a peer."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def split_address(text: str) -> tuple[str, int]:
    """Returns the IP address and the port of ``text``.

    Raises:
        ValueError: ``text`` is not an IPv4 address and a port; the text says why.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{port!r} is not a port")
    return host, int(port)
