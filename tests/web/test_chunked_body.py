"""Chunked bodies are read whole, and their framing is bounded."""

from __future__ import annotations

import io
import random

import pytest
from cheroot.errors import MaxSizeExceeded

from amaranthtray.web.chunked_body import (
    MAX_SIZE_LINE_BYTES,
    MAX_TRAILER_BYTES,
    ChunkedBody,
)

MAX_BYTES = 4_096
NEXT_REQUEST = b"GET / HTTP/1.1\r\n"


def read_all(body: ChunkedBody, size: int) -> bytes:
    return b"".join(iter(lambda: body.read(size), b""))


@pytest.mark.parametrize("seed", range(10))
def test_data_arrives_whole_and_the_next_request_follows(seed: int) -> None:
    rng = random.Random(seed)
    chunks = [rng.randbytes(rng.randint(1, 400)) for _ in range(rng.randint(0, 8))]
    coded = b"".join(b"%x;a=b\r\n%b\r\n" % (len(each), each) for each in chunks)
    trailers = b"A: 1\r\n" * rng.randint(0, 3)
    rfile = io.BytesIO(coded + b"0\r\n" + trailers + b"\r\n" + NEXT_REQUEST)
    body = ChunkedBody(rfile, MAX_BYTES)
    assert read_all(body, rng.randint(1, 500)) == b"".join(chunks)
    assert body.is_complete
    assert rfile.read() == NEXT_REQUEST


@pytest.mark.parametrize(
    ("coded", "error"),
    [
        (b"0" * (MAX_SIZE_LINE_BYTES * 2), MaxSizeExceeded),
        (b"1;" + b"x" * MAX_SIZE_LINE_BYTES + b"\r\nx\r\n", MaxSizeExceeded),
        (b"0\r\n" + b"A: 1\r\n" * MAX_TRAILER_BYTES, MaxSizeExceeded),
        (b"0\r\nA: " + b"x" * MAX_TRAILER_BYTES, MaxSizeExceeded),
        ((b"1;" + b"x" * 1_000 + b"\r\nx\r\n") * 100, MaxSizeExceeded),
        (b"1001\r\n", MaxSizeExceeded),
        (b"800\r\n" + b"x" * 0x800 + b"\r\n801\r\n", MaxSizeExceeded),
        (b"-1\r\n\r\n", ValueError),
        (b"+1\r\nx\r\n", ValueError),
        (b"0x1\r\nx\r\n", ValueError),
        (b"1_0\r\n", ValueError),
        (b"1\nx\r\n", ValueError),
        (b"1\r\nxy\r\n", ValueError),
        (b"5\r\nx", ValueError),
        (b"5", ValueError),
        (b"0\r\n", ValueError),
        (b"", ValueError),
    ],
)
def test_malformed_or_overlong_framing_is_refused(
    coded: bytes, error: type[Exception]
) -> None:
    body = ChunkedBody(io.BytesIO(coded), MAX_BYTES)
    with pytest.raises(error):
        read_all(body, MAX_BYTES)
    assert not body.is_complete
