"""Ejects a host that fails its tasks, counted over distinct requests."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Hashable

    from .settings import WorkerSettings


class HealthState(Enum):
    """Health of a host, which limits the work that it gets."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class Health:
    """Failure record of one host, which decides about its ejection.

    Attributes:
        state: Current health.
        until_ms: End of the ejection, or of the wait for a probe.
        ramp_slots: Slots that may be used while it is ramping.
    """

    __slots__ = (
        "_cfg",
        "_consecutive_failures",
        "_ejections_in_row",
        "_recent_results",
        "ramp_slots",
        "state",
        "until_ms",
    )

    def __init__(self, cfg: WorkerSettings) -> None:
        self._cfg = cfg
        self._consecutive_failures: dict[Hashable, None] = {}
        self._recent_results: deque[Hashable | None] = deque(maxlen=cfg.window)
        self._ejections_in_row = 0
        self.state = HealthState.GOOD
        self.until_ms = 0
        self.ramp_slots = 0

    def record_success(self, slots: int) -> bool:
        """Records a success and returns whether the state or the ramp changed."""
        if self._consecutive_failures:
            self._consecutive_failures.clear()
        self._recent_results.append(None)
        match self.state:
            case HealthState.GOOD:
                return False
            case HealthState.RAMPING:
                self.ramp_slots *= 2
                if self.ramp_slots >= slots:
                    self._recover()
            case _:
                self.start_ramp()
        return True

    def record_failure(self, request: Hashable) -> bool:
        """Records a failure and returns whether the host should be ejected.

        Further failures of one request count once.
        """
        if request in self._consecutive_failures:
            return False
        self._consecutive_failures[request] = None
        self._recent_results.append(request)
        if self.state is not HealthState.GOOD:
            return True
        if len(self._consecutive_failures) >= self._cfg.eject_after:
            return True
        return self._failed_ratio() >= self._cfg.eject_ratio

    def discard_failures(self, request: Hashable) -> None:
        """Removes the failures of a request that fails on every host."""
        self._consecutive_failures.pop(request, None)
        if request in self._recent_results:
            kept = [item for item in self._recent_results if item != request]
            self._recent_results = deque(kept, maxlen=self._cfg.window)

    def eject(self, now_ms: int, rng: random.Random) -> None:
        """Ejects the host for a time that doubles with each ejection, with jitter."""
        longest_ms = min(
            self._cfg.ejection_cap_ms,
            self._cfg.ejection_first_ms << self._ejections_in_row,
        )
        self._ejections_in_row = min(self._ejections_in_row + 1, 16)
        self.state = HealthState.EJECTED
        self.until_ms = now_ms + longest_ms // 2 + int(rng.random() * longest_ms / 2)

    def start_probing(self, now_ms: int) -> None:
        """Ends the ejection; one repeatable request may probe the host."""
        self.state = HealthState.PROBING
        self.until_ms = now_ms + self._cfg.probe_patience_ms

    def start_ramp(self) -> None:
        """Allows the host one slot; each success doubles the number."""
        self.state = HealthState.RAMPING
        self.ramp_slots = 1

    def _recover(self) -> None:
        self.state = HealthState.GOOD
        self._ejections_in_row = 0
        self._consecutive_failures.clear()
        self._recent_results.clear()

    def _failed_ratio(self) -> float:
        if len(self._recent_results) < self._cfg.window:
            return 0.0
        failed = sum(item is not None for item in self._recent_results)
        return failed / self._cfg.window
