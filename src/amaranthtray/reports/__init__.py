"""Reports for operators: burn of the error budgets."""

from __future__ import annotations

from .burn import BurnReport, merge
from .counts import WINDOWS, BurnCounts, Counts, Window
from .good_requests import is_good

__all__ = [
    "WINDOWS",
    "BurnCounts",
    "BurnReport",
    "Counts",
    "Window",
    "is_good",
    "merge",
]
