"""Threads of the control plane: one owns it, two wait for store watches."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING

from ..store.registry import PREFIX as MEMBER_PREFIX
from .control.stewardship import LEDGER_PREFIX
from .control.watches import PrefixWatch
from .loop_thread import LoopThread

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..store.contract import Store, WatchEvent
    from .control import ControlPlane
    from .control.control import ControlInput

STEP_INTERVAL_S = 0.1
WATCH_MS = 30_000
RETRY_PAUSE_MS = 500
RESYNC_STEPS = 600
"""Steps after which the registered entries are read again in any case."""


class ControlTask(LoopThread):
    """Owns the control plane and steps it on input, or ten times a second.

    Args:
        control: The control plane.
        store: The platform's store, for the watches.
    """

    def __init__(self, control: ControlPlane, store: Store) -> None:
        super().__init__("control")
        self.control = control
        self._wake = threading.Event()
        self._events: deque[tuple[str, list[WatchEvent]]] = deque()
        self._steps = 0
        self.members = WatchTask(PrefixWatch(store, MEMBER_PREFIX), self._queue_events)
        self.ledger = WatchTask(PrefixWatch(store, LEDGER_PREFIX), self._queue_events)
        self._watched_takeovers = 0

    def put(self, message: ControlInput) -> None:
        """Queues an input and wakes the thread; safe from any thread."""
        self.control.put(message)
        self._wake.set()

    def step(self) -> None:
        """Waits for input or for the next interval, then steps the control plane."""
        self._wake.wait(STEP_INTERVAL_S)
        self._wake.clear()
        self._read_members_if_due()
        self._watch_ledger()
        while self._events:
            prefix, events = self._events.popleft()
            self.control.handle_watch_events(prefix, events)
        self.control.step()

    def stop(self) -> None:
        """Requests all threads to end."""
        super().stop()
        self.members.stop()
        self.ledger.stop()
        self._wake.set()

    def _queue_events(self, prefix: str, events: list[WatchEvent]) -> None:
        self._events.append((prefix, events))
        self._wake.set()

    def _read_members_if_due(self) -> None:
        self._steps += 1
        is_due = self._steps % RESYNC_STEPS == 0
        if not (self.members.watch.needs_read or is_due):
            return
        if self._steps % 5 and self._steps > 5 and not is_due:
            return
        at_version = self.control.read_members()
        if at_version is not None:
            self.members.watch.begin(at_version)

    def _watch_ledger(self) -> None:
        """Watches the ledger from the version that each takeover has read."""
        stewardship = self.control.stewardship
        if not stewardship.is_active:
            self.ledger.watch.reset()
            return
        if self._watched_takeovers != stewardship.takeovers:
            self._watched_takeovers = stewardship.takeovers
            self.ledger.watch.begin(stewardship.at_version)


class WatchTask(LoopThread):
    """Waits for the changes of one watch.

    Args:
        watch: The watch.
        on_events: Called with the prefix and the changes under it.
    """

    def __init__(
        self, watch: PrefixWatch, on_events: Callable[[str, list[WatchEvent]], None]
    ) -> None:
        super().__init__(f"watch-{watch.prefix}")
        self.watch = watch
        self._on_events = on_events

    def step(self) -> None:
        """Waits for changes once."""
        events = self.watch.poll(WATCH_MS)
        if events is None:
            self.pause(RETRY_PAUSE_MS)
        elif events:
            self._on_events(self.watch.prefix, events)
