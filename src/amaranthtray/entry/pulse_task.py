"""Sends gauges and what was counted once a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..metrics import Metric
from .loop_thread import LoopThread

if TYPE_CHECKING:
    from .config_view import ConfigView
    from .control_task import ControlTask
    from .observer import Observer
    from .wiring import Requests

PULSE_MS = 1_000


class PulseTask(LoopThread):
    """Reads the state of the other tasks; a figure may be a moment old.

    Args:
        observer: Takes the figures.
        view: Configuration in force.
        requests: The serving of requests.
        control: The control part.
    """

    def __init__(
        self,
        observer: Observer,
        view: ConfigView,
        requests: Requests,
        control: ControlTask,
    ) -> None:
        super().__init__("pulse")
        self._observer = observer
        self._view = view
        self._requests = requests
        self._control = control
        self._was_steward = False

    def step(self) -> None:
        """Sends everything once."""
        self.pause(PULSE_MS)
        metrics = self._observer.metrics
        desk = self._requests.serving.desk
        metrics.gauge(Metric.REQUESTS_WAITING, desk.in_flight)
        metrics.gauge(Metric.SLOTS_IN_USE, desk.open_attempts)
        metrics.gauge(Metric.CONFIGURATION_REVISION, int(self._view.revision))
        control = self._control.control
        metrics.gauge(Metric.PEERS_CONNECTED, len(control.peers.members.links))
        metrics.gauge(Metric.DUTIES_HELD, int(control.stewardship.holds_duty))
        self._note_stewardship()
        self._observer.flush()

    def _note_stewardship(self) -> None:
        stewardship = self._control.control.stewardship
        if stewardship.is_active == self._was_steward:
            return
        self._was_steward = stewardship.is_active
        event = "steward-began" if stewardship.is_active else "steward-ended"
        self._observer.changed(event, term=int(stewardship.term))
