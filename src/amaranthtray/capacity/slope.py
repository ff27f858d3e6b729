"""The cost of a mechanism as a linear function of the size that drives it."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from enum import StrEnum


class Role(StrEnum):
    """Who bears a cost."""

    ENTRY = "entry"
    STEWARD = "zone steward"
    CONDUCTOR = "conductor"
    STORE = "platform store"
    CLI = "command line"


class Resource(StrEnum):
    """What a cost consists of, with its unit."""

    STATE = "state bytes"
    MESSAGES = "messages/s"
    TRAFFIC = "bytes/s"
    PROCESSOR = "processor ms/s"
    MEMORY = "memory bytes"


@dataclass(frozen=True, slots=True)
class Sample:
    """The measured cost at one size."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured linear cost.

    Attributes:
        role: Who bears the cost.
        resource: What the cost consists of.
        driver: What the size counts, for example ``"hosts"``.
        mechanism: What causes the cost.
        samples: At least two measurements of different sizes.
        target_size: The size expected in two years.
    """

    role: Role
    resource: Resource
    driver: str
    mechanism: str
    samples: tuple[Sample, ...]
    target_size: float

    def line(self) -> tuple[float, float]:
        """Returns the slope and the intercept of the least-squares fit."""
        sizes = [sample.size for sample in self.samples]
        costs = [sample.cost for sample in self.samples]
        fit = statistics.linear_regression(sizes, costs)
        return fit.slope, fit.intercept

    def cost_at_target(self) -> float:
        """Returns the fitted cost at the target size."""
        slope, intercept = self.line()
        return slope * self.target_size + intercept
