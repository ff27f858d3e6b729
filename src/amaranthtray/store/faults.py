"""Faults injected between the in-memory store and its clients."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Fault(StrEnum):
    """Kinds of faults of one call."""

    DELAY = "delay"
    ERROR = "error"
    LOST_REQUEST = "lost request"
    LOST_REPLY = "lost reply"
    LATE_EFFECT = "late effect"
    """The reply is lost; the write takes effect in ``apply_delayed_writes``."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault injected into the next matching call of a client.

    Attributes:
        fault: Kind of the fault.
        step: Name of the method that it affects; empty affects any.
        delay_ms: Duration of a delayed call.
    """

    fault: Fault
    step: str = ""
    delay_ms: int = 0
