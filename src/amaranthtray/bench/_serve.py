"""Processes that the request path is measured with; ``tools/bench`` starts them."""

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
from ._preconfigured_platform import PreconfiguredPlatform, entry_settings

if TYPE_CHECKING:
    from collections.abc import Callable

THREADS = 64
SLOTS = 64
ENTRY_THREADS = 512
MAX_BODY_BYTES = 1 << 20
LEASE_MS = "10000"
SECRET_BYTES = 32


class BareForwarder:
    """A CherryPy handler that only forwards, with one ``urllib3`` pool; the baseline.

    Args:
        backend: Base URL of the backend server.
    """

    def __init__(self, backend: str) -> None:
        self._pool = urllib3.connection_from_url(backend, maxsize=THREADS, block=True)

    @web.exposed
    def default(self, *path: str) -> bytes:
        """Forwards the body to the backend server and returns its answer."""
        del path
        headers = cherrypy.request.headers
        resp = self._pool.urlopen(
            "POST",
            wire.TASKS_PATH,
            body=web.read_body(MAX_BODY_BYTES),
            headers={
                wire.REQUEST_ID: headers[wire.REQUEST_ID],
                wire.ATTEMPT_ID: headers[wire.REQUEST_ID],
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
    """Runs a process of the measurement until SIGTERM and writes its port to a file."""


@serve.command()
@click.argument("port_file", type=click.Path())
def backend(port_file: str) -> None:
    """Runs a backend server that echoes request bodies."""
    server = BackendStandIn("h1", slots=SLOTS, threads=THREADS, keeps_runs=False)
    server.start()
    _serve_until_stopped(port_file, server.port, server.stop)


@serve.command()
@click.argument("backend_port", type=int)
@click.argument("port_file", type=click.Path())
def bare(backend_port: int, port_file: str) -> None:
    """Runs the bare forwarder."""
    root = BareForwarder(f"http://127.0.0.1:{backend_port}")
    server = web.WebServer(root, threads=THREADS)
    server.start()
    _serve_until_stopped(port_file, server.port, server.stop)


@serve.command()
@click.argument("backend_port", type=int)
@click.argument("port_file", type=click.Path())
def platform(backend_port: int, port_file: str) -> None:
    """Runs a platform that holds the host and a complete configuration."""
    preconfigured = PreconfiguredPlatform(backend_port, slots=SLOTS)
    preconfigured.start()
    Path(port_file + ".key").write_text(preconfigured.caller_key.text)
    _serve_until_stopped(port_file, preconfigured.port, preconfigured.stop)


@serve.command()
@click.argument("platform_port", type=int)
@click.argument("port_file", type=click.Path())
def entry(platform_port: int, port_file: str) -> None:
    """Runs an entry alone, so that the memory of the process is the entry's."""
    settings = entry_settings(f"http://127.0.0.1:{platform_port}", ENTRY_THREADS)
    server = Entry(settings, secrets.token_bytes(SECRET_BYTES))
    server.start()
    _serve_until_stopped(port_file, server.ports.caller, server.stop)


def _serve_until_stopped(port_file: str, port: int, stop: Callable[[], None]) -> None:
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    new_port_file = Path(port_file + ".new")
    new_port_file.write_text(str(port))
    new_port_file.rename(port_file)
    stop_requested.wait()
    stop()


if __name__ == "__main__":
    serve()
