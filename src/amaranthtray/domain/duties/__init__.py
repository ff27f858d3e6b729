"""Duties that move between entries: zone stewards and conductors of pools."""

from __future__ import annotations

from .holder import Acquiring, DutyHolder, DutySettings, Held, Idle
from .names import conductor_duty, steward_duty

__all__ = [
    "Acquiring",
    "DutyHolder",
    "DutySettings",
    "Held",
    "Idle",
    "conductor_duty",
    "steward_duty",
]
