"""Whether a host fails what it starts, judged over distinct requests."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Hashable

    from .settings import WorkerSettings


class HealthState(Enum):
    """How much work a host may get."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class Health:
    """Failure record of one host.

    Attributes:
        state: How much work the host may get.
        until_ms: When an ejection ends or the wait for a probe is given up.
        ramp_slots: Slots it may use while ramping.
    """

    __slots__ = (
        "_cfg",
        "_ejections",
        "_streak",
        "_window",
        "ramp_slots",
        "state",
        "until_ms",
    )

    def __init__(self, cfg: WorkerSettings) -> None:
        self._cfg = cfg
        self._streak: dict[Hashable, None] = {}
        self._window: deque[Hashable | None] = deque(maxlen=cfg.window)
        self._ejections = 0
        self.state = HealthState.GOOD
        self.until_ms = 0
        self.ramp_slots = 0

    def succeed(self, slots: int) -> bool:
        """Records a success; returns whether the state or the ramp changed."""
        if self._streak:
            self._streak.clear()
        self._window.append(None)
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

    def fail(self, request: Hashable) -> bool:
        """Records a failure; returns whether the host should be ejected."""
        if request in self._streak:
            return False
        self._streak[request] = None
        self._window.append(request)
        if self.state is not HealthState.GOOD:
            return True
        if len(self._streak) >= self._cfg.eject_after:
            return True
        return self._failed_ratio() >= self._cfg.eject_ratio

    def discard_failures(self, request: Hashable) -> None:
        """Takes back the failures of a request that fails everywhere."""
        self._streak.pop(request, None)
        if request in self._window:
            kept = [item for item in self._window if item != request]
            self._window = deque(kept, maxlen=self._cfg.window)

    def eject(self, now_ms: int, rng: random.Random) -> None:
        """Takes the host out for a time that doubles with each ejection."""
        bound = min(
            self._cfg.ejection_cap_ms, self._cfg.ejection_first_ms << self._ejections
        )
        self._ejections = min(self._ejections + 1, 16)
        self.state = HealthState.EJECTED
        self.until_ms = now_ms + bound // 2 + int(rng.random() * bound / 2)

    def start_probing(self, now_ms: int) -> None:
        """Ends an ejection: one repeatable request may try the host."""
        self.state = HealthState.PROBING
        self.until_ms = now_ms + self._cfg.probe_patience_ms

    def start_ramp(self) -> None:
        """Gives the host one slot, which doubles with each success."""
        self.state = HealthState.RAMPING
        self.ramp_slots = 1

    def _recover(self) -> None:
        self.state = HealthState.GOOD
        self._ejections = 0
        self._streak.clear()
        self._window.clear()

    def _failed_ratio(self) -> float:
        if len(self._window) < self._cfg.window:
            return 0.0
        failed = sum(item is not None for item in self._window)
        return failed / self._cfg.window
