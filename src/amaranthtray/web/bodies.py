"""Bodies of requests and replies."""

from __future__ import annotations

import cherrypy
import msgspec
from cheroot.errors import MaxSizeExceeded

from .read_deadlines import SENDERS_KEY, SOCKET_KEY, SlowSenders

JSON_TYPE = "application/json"
TOO_LARGE = 413
MALFORMED = 400


def json_body(payload: object, *, status: int = 200) -> bytes:
    """Sets status and content type of the current response and returns its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return msgspec.json.encode(payload)


def require(holds: bool, status: int, message: str) -> None:
    """Ends the current request with an error unless ``holds``.

    Raises:
        cherrypy.HTTPError: ``holds`` is false.
    """
    if not holds:
        raise cherrypy.HTTPError(status, message)


def read_body(limit_bytes: int) -> bytes:
    """Reads the body of the current request, whole.

    Raises:
        cherrypy.HTTPError: 413 when it is longer than ``limit_bytes``; 400 when it
            ends before the length that its head declares, or is malformed.
    """
    declared = cherrypy.request.headers.get("Content-Length", "")
    env = cherrypy.request.wsgi_environ
    senders: SlowSenders = env[SENDERS_KEY]
    size_bytes = int(declared) if declared.isdecimal() else limit_bytes
    with senders.bounded_body(env[SOCKET_KEY], size_bytes):
        body = _read(limit_bytes)
    require(len(body) <= limit_bytes, TOO_LARGE, f"send at most {limit_bytes} bytes")
    if declared.isdecimal():
        whole = len(body) == int(declared)
        require(whole, MALFORMED, "the body ended before its Content-Length")
    return body


def _read(limit_bytes: int) -> bytes:
    try:
        body: bytes = cherrypy.request.rfile.read(limit_bytes + 1)
    except MaxSizeExceeded as exc:
        message = f"send at most {limit_bytes} bytes"
        raise cherrypy.HTTPError(TOO_LARGE, message) from exc
    except (ValueError, OSError) as exc:
        message = "the body is malformed or ended too early"
        raise cherrypy.HTTPError(MALFORMED, message) from exc
    return body
