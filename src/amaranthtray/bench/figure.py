"""A measured figure and its comparison with a target."""

from __future__ import annotations

import operator
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

_RELATIONS: dict[str, Callable[[float, float], bool]] = {
    "<=": operator.le,
    ">=": operator.ge,
    "==": operator.eq,
}


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured value; ``make bench`` prints one JSON line for each.

    Attributes:
        name: Dotted name; the part before the first dot is its group.
        value: The measured value, in ``unit``.
        unit: Unit of ``value`` and ``baseline``.
        target: Relation and bound, for example ``"<= 1.2"``; it applies to the ratio
            if ``on_ratio`` is true, otherwise to the value.
        baseline: Value of the baseline, measured in the same run, if there is one.
        on_ratio: Whether the target applies to ``value / baseline``.
    """

    name: str
    value: float
    unit: str
    target: str
    baseline: float | None = None
    on_ratio: bool = False

    @property
    def ratio(self) -> float | None:
        """Returns the value divided by the baseline, or None without a baseline."""
        if not self.baseline:
            return None
        return self.value / self.baseline

    @property
    def met(self) -> bool:
        """Returns whether the target is met; a missing ratio never meets it."""
        relation, bound = self.target.split()
        measured = self.ratio if self.on_ratio else self.value
        if measured is None:
            return False
        return _RELATIONS[relation](measured, float(bound))

    def to_json(self) -> str:
        """Returns the figure as one JSON line."""
        line = asdict(self)
        del line["on_ratio"]
        line["ratio"] = self.ratio
        line["met"] = self.met
        return msgspec.json.encode(line).decode()
