"""What clients without limits send, by form; each form ends by itself."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from raw_http import post
from soak.entry import HOST_HEADER, KEY

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

PIECE_BYTES = 64 << 10
STREAM_BYTES = 32 << 20
DOCUMENT_BYTES = 256 << 10
SPEC = rb'"{\"ms\":150,\"cpu\":1}"'
CHUNKED = b"Transfer-Encoding: chunked"
JOB_KEY = f"Host: {HOST_HEADER}\r\nAuthorization: Bearer {KEY}".encode()


def repeated(unit: bytes, total: int = STREAM_BYTES) -> Iterator[bytes]:
    """Yields a unit again and again, in pieces."""
    piece = unit * (PIECE_BYTES // len(unit) or 1)
    return itertools.repeat(piece, total // len(piece) or 1)


def without_end(start: bytes, unit: bytes) -> Callable[[bytes], Iterator[bytes]]:
    """Returns a form that begins a chunked body and then repeats a unit."""

    def form(path: bytes) -> Iterator[bytes]:
        return itertools.chain([_head(path, CHUNKED) + start], repeated(unit))

    return form


def request_line(path: bytes) -> Iterator[bytes]:
    """Yields a request line without end."""
    return itertools.chain([b"GET " + path], repeated(b"x"))


def header_lines(path: bytes) -> Iterator[bytes]:
    """Yields headers without end."""
    return itertools.chain([b"GET " + path + b" HTTP/1.1\r\n"], repeated(b"A: 1\r\n"))


def header_line(path: bytes) -> Iterator[bytes]:
    """Yields one header line without end."""
    return itertools.chain([b"GET " + path + b" HTTP/1.1\r\nA: "], repeated(b"x"))


def query(path: bytes) -> Iterator[bytes]:
    """Yields one request with as many parameters as its line may have."""
    return iter([_get(path + b"?" + b"&".join(b"%x=1" % n for n in range(2_000)))])


def pipelined(path: bytes) -> Iterator[bytes]:
    """Yields requests without a look at the answers."""
    return itertools.repeat(_get(path), 500)


def refused_body(path: bytes) -> Iterator[bytes]:
    """Yields a body that is longer than any limit."""
    head = _head(path, b"Content-Length: %d" % (STREAM_BYTES * 2))
    return itertools.chain([head], repeated(b"x"))


def unwanted_body(path: bytes) -> Iterator[bytes]:
    """Yields a body within the limit, and more, for a path that takes none."""
    head = _head(path + b"/none", b"Content-Length: %d" % (1 << 20))
    return itertools.chain([head], repeated(b"x"))


def negative_length(path: bytes) -> Iterator[bytes]:
    """Yields a body whose length is below zero."""
    return itertools.chain([_head(path, b"Content-Length: -1")], repeated(b"x"))


def document(text: bytes) -> Callable[[bytes], Iterator[bytes]]:
    """Returns a form that submits one document."""

    def form(path: bytes) -> Iterator[bytes]:
        return iter([_head(path, b"Content-Length: %d" % len(text)) + text])

    return form


def _job(*steps: bytes) -> bytes:
    return b'{"spec":' + SPEC + b',"steps":[' + b",".join(steps) + b"]}"


def _filled(unit: bytes) -> list[bytes]:
    return [unit] * ((DOCUMENT_BYTES - 200) // (len(unit) + 1))


def _head(path: bytes, *headers: bytes) -> bytes:
    return post(JOB_KEY, *headers, path=path).replace(b"Connection: close\r\n", b"")


def _get(path: bytes) -> bytes:
    return b"GET " + path + b" HTTP/1.1\r\n" + JOB_KEY + b"\r\n\r\n"


FORMS = {
    "request-line": request_line,
    "header-line": header_line,
    "header-lines": header_lines,
    "query": query,
    "size-line": without_end(b"", b"0"),
    "chunk-extension": without_end(b"5;", b"x"),
    "announced-chunk": without_end(b"7fffffff\r\n", b"x"),
    "small-chunks": without_end(b"", b"1\r\nx\r\n"),
    "trailer-line": without_end(b"0\r\nA: ", b"x"),
    "trailer-lines": without_end(b"0\r\n", b"A: 1\r\n"),
    "negative-length": negative_length,
    "refused-body": refused_body,
    "unwanted-body": unwanted_body,
    "pipelined-unread": pipelined,
    "many-steps": document(_job(*_filled(b"{}"))),
    "many-tasks": document(_job(*[b'{"count":10000}'] * 200)),
    "largest-jobs": document(_job(*[b'{"count":10000}'] * 2)),
    "many-occurrences": document(
        b'{"spec":' + SPEC + b',"steps":[{"count":1}],"repeatCount":1000000000}'
    ),
    "huge-numbers": document(_job(b'{"count":1,"cpu":' + b"9" * 4_000 + b"}")),
    "wide-after": document(
        _job(b'{"count":1}', b'{"after":[' + b",".join(_filled(b"0")) + b"]}")
    ),
    "deep-document": document(b'{"x":' + b"[" * (DOCUMENT_BYTES - 200)),
}
