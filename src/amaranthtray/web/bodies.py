"""Reading of request bodies and writing of JSON replies."""

from __future__ import annotations

import cherrypy
import msgspec
from cheroot.errors import MaxSizeExceeded

from .chunked_body import READ_BYTES
from .read_deadlines import DEADLINES_KEY, SOCKET_KEY, ReadDeadlines

JSON_TYPE = "application/json"
TOO_LARGE = 413
MALFORMED = 400


def json_body(payload: object, *, status: int = 200) -> bytes:
    """Sets the status and content type of the reply and returns its JSON body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return msgspec.json.encode(payload)


def require(holds: bool, status: int, message: str) -> None:
    """Ends the current request with an error reply unless ``holds`` is true.

    Raises:
        cherrypy.HTTPError: ``holds`` is false.
    """
    if not holds:
        raise cherrypy.HTTPError(status, message)


def read_body(limit_bytes: int) -> bytes:
    """Reads the complete body of the current request.

    Raises:
        cherrypy.HTTPError: 413 if it is longer than ``limit_bytes``; 400 if it is
            malformed or ends before the length that its headers declare.
    """
    declared = cherrypy.request.headers.get("Content-Length", "")
    env = cherrypy.request.wsgi_environ
    deadlines: ReadDeadlines = env[DEADLINES_KEY]
    size_bytes = int(declared) if declared.isdecimal() else limit_bytes
    with deadlines.limit_body(env[SOCKET_KEY], size_bytes):
        body = _read_up_to(limit_bytes)
    require(len(body) <= limit_bytes, TOO_LARGE, f"send at most {limit_bytes} bytes")
    if declared.isdecimal():
        is_complete = len(body) == int(declared)
        require(is_complete, MALFORMED, "the body ended before its Content-Length")
    return body


def _read_up_to(limit_bytes: int) -> bytes:
    rfile, body = cherrypy.request.rfile, bytearray()
    try:
        while len(body) <= limit_bytes:
            piece = rfile.read(min(READ_BYTES, limit_bytes + 1 - len(body)))
            if not piece:
                break
            body += piece
    except MaxSizeExceeded as exc:
        message = f"send at most {limit_bytes} bytes"
        raise cherrypy.HTTPError(TOO_LARGE, message) from exc
    except (ValueError, OSError) as exc:
        message = "the body is malformed or ended too early"
        raise cherrypy.HTTPError(MALFORMED, message) from exc
    return bytes(body)
