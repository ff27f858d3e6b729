"""Threads around the control part: one owns it, the others wait on watches."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING

from ..store.registry import PREFIX as MEMBER_PREFIX
from .control.stewardship import LEDGER_PREFIX
from .control.watches import PrefixWatch
from .worker_thread import WorkerThread

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..store.contract import Store, WatchEvent
    from .control import ControlPlane
    from .control.control import ControlInput

STEP_S = 0.1
WATCH_MS = 30_000
PAUSE_MS = 500
RESYNC_STEPS = 600
"""Steps after which the list of entries is read again in any case."""


class ControlTask(WorkerThread):
    """Owns the control part and steps it on input, or ten times a second.

    Args:
        control: The control part.
        store: The platform's store, for the watches.
    """

    def __init__(self, control: ControlPlane, store: Store) -> None:
        super().__init__("control")
        self.control = control
        self._woken = threading.Event()
        self._events: deque[tuple[str, list[WatchEvent]]] = deque()
        self._steps = 0
        self.members = WatchTask(PrefixWatch(store, MEMBER_PREFIX), self._take_events)
        self.ledger = WatchTask(PrefixWatch(store, LEDGER_PREFIX), self._take_events)
        self._ledger_since = 0

    def put(self, message: ControlInput) -> None:
        """Hands an input over, from any thread."""
        self.control.put(message)
        self._woken.set()

    def step(self) -> None:
        """Waits for input or for the next round, then does what is due."""
        self._woken.wait(STEP_S)
        self._woken.clear()
        self._read_members()
        self._follow_ledger()
        while self._events:
            prefix, events = self._events.popleft()
            self.control.handle_watch_events(prefix, events)
        self.control.step()

    def stop(self) -> None:
        """Asks all threads to end."""
        super().stop()
        self.members.stop()
        self.ledger.stop()
        self._woken.set()

    def _take_events(self, prefix: str, events: list[WatchEvent]) -> None:
        self._events.append((prefix, events))
        self._woken.set()

    def _read_members(self) -> None:
        self._steps += 1
        is_due = self._steps % RESYNC_STEPS == 0
        if not (self.members.watch.needs_read or is_due):
            return
        if self._steps % 5 and self._steps > 5 and not is_due:
            return
        at_version = self.control.read_members()
        if at_version is not None:
            self.members.watch.begin(at_version)

    def _follow_ledger(self) -> None:
        """Watches the ledger from where each takeover has read it."""
        stewardship = self.control.stewardship
        if not stewardship.is_active:
            self.ledger.watch.reset()
            return
        if self._ledger_since != stewardship.takeovers:
            self._ledger_since = stewardship.takeovers
            self.ledger.watch.begin(stewardship.at_version)


class WatchTask(WorkerThread):
    """Waits on one watch.

    Args:
        watch: The watch.
        on_events: Takes the prefix and what changed under it.
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
            self.pause(PAUSE_MS)
        elif events:
            self._on_events(self.watch.prefix, events)
