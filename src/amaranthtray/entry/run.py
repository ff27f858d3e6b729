"""Runs one entry as a process until a signal stops it."""

from __future__ import annotations

import os
import signal
import sys
import threading
from typing import TYPE_CHECKING

from returns.result import Failure

from ..domain.errors import Problem
from ..settings import peer_secret
from .entry import Entry

if TYPE_CHECKING:
    from types import FrameType

    from ..settings import Settings

EXIT_OK = 0
EXIT_FAULTY_INPUT = 2


class StopSignal:
    """Turns SIGTERM and SIGINT into requests to stop.

    The first signal starts a graceful shutdown. The second one ends the wait for the
    load balancer; requests in flight are still finished.
    """

    def __init__(self) -> None:
        self.stop_requested = threading.Event()
        self.hurry_requested = threading.Event()

    def install(self) -> None:
        """Installs itself as the handler of both signals."""
        signal.signal(signal.SIGTERM, self._receive)
        signal.signal(signal.SIGINT, self._receive)

    def _receive(self, number: int, frame: FrameType | None) -> None:
        del number, frame
        if self.stop_requested.is_set():
            self.hurry_requested.set()
        self.stop_requested.set()


def run_entry(settings: Settings) -> int:
    """Runs an entry and returns the exit code of the process."""
    stop = StopSignal()
    stop.install()
    secret = peer_secret(settings, os.environ)
    if isinstance(secret, Failure):
        sys.stderr.write(f"{secret.failure()}\n")
        return EXIT_FAULTY_INPUT
    entry = Entry(settings, secret.unwrap())
    if stop.stop_requested.is_set():
        return EXIT_OK
    try:
        entry.start()
    except OSError as exc:
        sys.stderr.write(f"{_cannot_listen(settings, exc)}\n")
        entry.abort_start()
        return EXIT_FAULTY_INPUT
    stop.stop_requested.wait()
    _shut_down(entry, stop)
    return EXIT_OK


def _cannot_listen(settings: Settings, exc: OSError) -> Problem:
    cfg = settings.entry
    where = f"{cfg.address} ports {cfg.caller_port}, {cfg.admin_port}, {cfg.peer_port}"
    fix = "choose free ports in [entry], or end the process that has them"
    return Problem("start", cfg.id, str(exc), where, fix)


def _shut_down(entry: Entry, stop: StopSignal) -> None:
    entry.drain()
    stop.hurry_requested.wait(entry.settings.entry.balancer_drain_ms / 1_000)
    entry.stop()
