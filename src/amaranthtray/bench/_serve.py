"""Processes that the path is measured with; started by ``tools/bench``."""

from __future__ import annotations

import secrets
import signal
import threading
from pathlib import Path
from typing import TYPE_CHECKING

import cherrypy
import click
import urllib3

from .. import web
from ..backend import wire
from ..entry.entry import Entry
from ..standins.backend import BackendStandIn
from ._preconfigured_platform import ReadyPlatform, entry_settings

if TYPE_CHECKING:
    from collections.abc import Callable

THREADS = 64
SLOTS = 64
ENTRY_THREADS = 512
MAX_BODY_BYTES = 1 << 20
LEASE_MS = "10000"
SECRET_BYTES = 32


class BareForwarder:
    """A CherryPy handler that forwards with one ``urllib3`` pool; the baseline.

    Args:
        backend: Base URL of the backend server.
    """

    def __init__(self, backend: str) -> None:
        self._pool = urllib3.connection_from_url(backend, maxsize=THREADS, block=True)

    @web.exposed
    def default(self, *path: str) -> bytes:
        """Forwards the body to the backend server and its answer to the caller."""
        del path
        head = cherrypy.request.headers
        resp = self._pool.urlopen(
            "POST",
            wire.TASKS_PATH,
            body=web.read_body(MAX_BODY_BYTES),
            headers={
                wire.REQUEST_ID: head[wire.REQUEST_ID],
                wire.ATTEMPT_ID: head[wire.REQUEST_ID],
                wire.LEASE_MS: LEASE_MS,
            },
            retries=False,
        )
        cherrypy.response.status = resp.status
        cherrypy.response.headers["Content-Type"] = resp.headers["Content-Type"]
        body: bytes = resp.data
        return body


@click.group()
def serve() -> None:
    """Serves one part until it is told to stop."""


@serve.command()
@click.argument("port_file", type=click.Path())
def backend(port_file: str) -> None:
    """A backend server that echoes."""
    server = BackendStandIn("h1", slots=SLOTS, threads=THREADS, keeps_runs=False)
    server.start()
    _wait(port_file, server.port, server.stop)


@serve.command()
@click.argument("backend_port", type=int)
@click.argument("port_file", type=click.Path())
def bare(backend_port: int, port_file: str) -> None:
    """The bare forwarder."""
    root = BareForwarder(f"http://127.0.0.1:{backend_port}")
    server = web.WebServer(root, threads=THREADS)
    server.start()
    _wait(port_file, server.port, server.stop)


@serve.command()
@click.argument("backend_port", type=int)
@click.argument("port_file", type=click.Path())
def platform(backend_port: int, port_file: str) -> None:
    """The platform, with the host and the whole configuration in it."""
    ready = ReadyPlatform(backend_port, slots=SLOTS)
    ready.start()
    Path(port_file + ".key").write_text(ready.caller_key.text)
    _wait(port_file, ready.port, ready.stop)


@serve.command()
@click.argument("platform_port", type=int)
@click.argument("port_file", type=click.Path())
def entry(platform_port: int, port_file: str) -> None:
    """An entry and nothing else, so that its memory is its own."""
    settings = entry_settings(f"http://127.0.0.1:{platform_port}", ENTRY_THREADS)
    one = Entry(settings, secrets.token_bytes(SECRET_BYTES))
    one.start()
    _wait(port_file, one.ports.caller, one.stop)


def _wait(port_file: str, port: int, stop: Callable[[], None]) -> None:
    asked = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: asked.set())
    ready = Path(port_file + ".new")
    ready.write_text(str(port))
    ready.rename(port_file)
    asked.wait()
    stop()


if __name__ == "__main__":
    serve()
