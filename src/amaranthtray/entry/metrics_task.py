"""Sends gauges and counters once a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..metrics import Metric
from .loop_thread import LoopThread

if TYPE_CHECKING:
    from .config_view import ConfigView
    from .control_task import ControlTask
    from .observer import Observer
    from .wiring import RequestServing

METRICS_INTERVAL_MS = 1_000


class MetricsTask(LoopThread):
    """Reads the gauges from the other tasks without locks; a value may be outdated.

    Args:
        observer: Receives the metrics and the state lines.
        view: Configuration in force.
        requests: The serving part.
        control: The task of the control plane.
    """

    def __init__(
        self,
        observer: Observer,
        view: ConfigView,
        requests: RequestServing,
        control: ControlTask,
    ) -> None:
        super().__init__("pulse")
        self._observer = observer
        self._view = view
        self._requests = requests
        self._control = control
        self._was_steward = False

    def step(self) -> None:
        """Waits one interval, then sends all gauges and counters."""
        self.pause(METRICS_INTERVAL_MS)
        metrics = self._observer.metrics
        dispatcher = self._requests.serving.dispatcher
        metrics.gauge(Metric.REQUESTS_WAITING, dispatcher.in_flight)
        metrics.gauge(Metric.SLOTS_IN_USE, dispatcher.open_attempts)
        metrics.gauge(Metric.CONFIGURATION_REVISION, int(self._view.revision))
        metrics.gauge(Metric.ZONES_EVACUATED, len(self._view.current.evacuations))
        control = self._control.control
        metrics.gauge(Metric.PEERS_CONNECTED, len(control.peers.members.links))
        metrics.gauge(Metric.DUTIES_HELD, int(control.stewardship.holds_duty))
        self._log_stewardship()
        self._observer.flush()

    def _log_stewardship(self) -> None:
        stewardship = self._control.control.stewardship
        if stewardship.is_active == self._was_steward:
            return
        self._was_steward = stewardship.is_active
        event = "steward-began" if stewardship.is_active else "steward-ended"
        self._observer.changed(event, term=int(stewardship.term))
