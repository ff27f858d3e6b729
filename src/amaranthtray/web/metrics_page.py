"""Page with the metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cherrypy

from .server import exposed

if TYPE_CHECKING:
    from collections.abc import Callable


class MetricsPage:
    """Page with the metrics of the entry.

    Args:
        render: Returns all metrics as text.
    """

    def __init__(self, render: Callable[[], str]) -> None:
        self._render = render

    @exposed
    def metrics(self) -> bytes:
        """Replies with all metrics as text."""
        cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
        return self._render().encode()
