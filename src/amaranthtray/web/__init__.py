"""HTTP servers, each with its CherryPy application, and clients of one peer."""

from __future__ import annotations

from ._http_server import REFUSALS
from .bodies import json_body, read_body, require
from .server import WebServer, break_connection, close_after_reply, exposed

__all__ = [
    "REFUSALS",
    "WebServer",
    "break_connection",
    "close_after_reply",
    "exposed",
    "json_body",
    "read_body",
    "require",
]
