"""Duties of one entry at a time, held by leases and fencing terms.

Examples are the steward of a zone and the conductor of a pool.
"""

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
