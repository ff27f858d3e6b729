"""Faults between the in-memory store and its clients."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Fault(StrEnum):
    """What can go wrong with one call."""

    DELAY = "delay"
    ERROR = "error"
    LOST_REQUEST = "lost request"
    LOST_REPLY = "lost reply"
    LATE_EFFECT = "late effect"
    """The reply is lost and a write takes effect at ``apply_delayed_writes``."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault for the next call of a step.

    Attributes:
        fault: What goes wrong.
        step: Name of the method it strikes; empty strikes any.
        delay_ms: Time that a delayed call takes.
    """

    fault: Fault
    step: str = ""
    delay_ms: int = 0
