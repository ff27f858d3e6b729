"""Cost of one mechanism as a straight line over the size that drives it."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from enum import StrEnum


class Role(StrEnum):
    """Who pays the cost."""

    ENTRY = "entry"
    STEWARD = "zone steward"
    CONDUCTOR = "conductor"
    STORE = "platform store"
    CLI = "command line"


class Resource(StrEnum):
    """What is paid, with its unit."""

    STATE = "state bytes"
    MESSAGES = "messages/s"
    TRAFFIC = "bytes/s"
    PROCESSOR = "processor ms/s"
    MEMORY = "memory bytes"


@dataclass(frozen=True, slots=True)
class Sample:
    """One measurement: a size and its cost."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured straight line.

    Attributes:
        role: Who pays.
        resource: What is paid.
        driver: What the size counts, for example ``"hosts"``.
        mechanism: The mechanism that carries it.
        samples: At least two measurements of different sizes.
        target_size: The size in two years.
    """

    role: Role
    resource: Resource
    driver: str
    mechanism: str
    samples: tuple[Sample, ...]
    target_size: float

    def line(self) -> tuple[float, float]:
        """Returns slope and intercept by least squares."""
        sizes = [sample.size for sample in self.samples]
        costs = [sample.cost for sample in self.samples]
        fit = statistics.linear_regression(sizes, costs)
        return fit.slope, fit.intercept

    def at_target(self) -> float:
        """Returns the cost at the target size."""
        slope, intercept = self.line()
        return slope * self.target_size + intercept
