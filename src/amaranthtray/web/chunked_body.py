"""Reading of bodies in the chunked transfer coding, with bounded framing."""

from __future__ import annotations

import re
from typing import Any

from cheroot.errors import MaxSizeExceeded

READ_BYTES = 64 << 10
"""Most bytes that are requested from a connection at once."""

MAX_SIZE_LINE_BYTES = 1 << 10
"""Longest line with the size of a chunk and its extensions."""

MAX_FRAMING_BYTES = 64 << 10
"""Most bytes of size lines, beyond as many as there are of data."""

MAX_TRAILER_BYTES = 16 << 10
"""Most bytes of all trailers, which are dropped."""

_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"


class ChunkedBody:
    """The body of one request in the chunked transfer coding.

    Holds no bytes of the framing longer than a line, and no data except those that a
    call of ``read`` returns.

    Args:
        rfile: Buffered stream of the connection.
        max_bytes: Maximum size of the data.

    Attributes:
        is_complete: Whether the last chunk and the trailers have been read, so that
            the next request follows.
    """

    def __init__(self, rfile: Any, max_bytes: int) -> None:
        self._rfile = rfile
        self._max_bytes = max_bytes
        self._announced_bytes = 0
        self._left_bytes = 0
        self._framing_bytes = 0
        self.is_complete = False

    def read(self, size: int) -> bytes:
        """Returns ``size`` bytes of data, or fewer if the body ends before.

        Raises:
            MaxSizeExceeded: The data or the framing is longer than allowed.
            ValueError: The framing is malformed, or the connection ended.
            OSError: The connection cannot be read.
        """
        data = bytearray()
        while len(data) < size and not self.is_complete:
            if self._left_bytes:
                data += self._read_data(size - len(data))
            else:
                self._begin_chunk()
        return bytes(data)

    def _read_data(self, size: int) -> bytes:
        piece: bytes = self._rfile.read(min(size, self._left_bytes, READ_BYTES))
        if not piece:
            raise ValueError("the connection ended in a chunk")
        self._left_bytes -= len(piece)
        if not self._left_bytes and self._rfile.read(len(_LINE_END)) != _LINE_END:
            raise ValueError("a chunk is longer than its size")
        return piece

    def _begin_chunk(self) -> None:
        line = self._read_line(MAX_SIZE_LINE_BYTES)
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise ValueError("the size of a chunk is malformed")
        size = int(found[1], 16)
        self._announced_bytes += size
        self._framing_bytes += len(line)
        is_too_small = self._framing_bytes > self._announced_bytes + MAX_FRAMING_BYTES
        if is_too_small or self._announced_bytes > self._max_bytes:
            raise MaxSizeExceeded
        self._left_bytes = size
        if not size:
            self._drop_trailers()
            self.is_complete = True

    def _drop_trailers(self) -> None:
        left_bytes = MAX_TRAILER_BYTES
        while (line := self._read_line(left_bytes)) != _LINE_END:
            left_bytes -= len(line)

    def _read_line(self, limit_bytes: int) -> bytes:
        line: bytes = self._rfile.readline(limit_bytes + 1)
        if len(line) > limit_bytes:
            raise MaxSizeExceeded
        if not line.endswith(_LINE_END):
            raise ValueError("a line of a chunked body is malformed")
        return line
