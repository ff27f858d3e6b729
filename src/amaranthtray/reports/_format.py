"""Texts shared by the terminal table and the HTML page."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .counts import DAY_MS, HOUR_MS, MINUTE_MS, WINDOWS

if TYPE_CHECKING:
    from .burn import BurnReport, BurnRow, Coverage

NO_DATA = "no data"

COLUMNS = (
    "service",
    "team",
    "objective",
    *(window.name for window in WINDOWS),
    "requests",
    "bad",
    "budget left",
    "state",
)

COMPLETENESS_NOTE = (
    "Requests, bad and budget left cover the longest window, as far as counts reach "
    "back. Counts of entries that ended are lost."
)


def cells(row: BurnRow) -> list[str]:
    """Returns the texts of a row, one for each of ``COLUMNS``."""
    longest = row.counts[-1]
    return [
        row.queue,
        row.team or "all",
        "none" if row.target is None else f"{row.target:.4%}",
        *(rate_text(rate) for rate in row.rates),
        str(longest.good + longest.bad),
        str(longest.bad),
        budget_text(row),
        row.severity.value,
    ]


def rate_text(rate: float | None) -> str:
    """Returns the text of a burn rate."""
    if rate is None:
        return NO_DATA
    return "infinite" if math.isinf(rate) else f"{rate:.2f}"


def budget_text(row: BurnRow) -> str:
    """Returns the remaining part of the error budget as a percentage."""
    if row.budget_left is None:
        return NO_DATA
    if math.isinf(row.budget_left):
        return "overspent"
    return f"{row.budget_left:.1%}"


def duration_text(ms: int) -> str:
    """Returns a duration in the largest unit of which it has at least one."""
    for unit_ms, unit in ((DAY_MS, "d"), (HOUR_MS, "h"), (MINUTE_MS, "min")):
        if ms >= unit_ms:
            return f"{ms / unit_ms:.1f} {unit}"
    return f"{ms // 1_000} s"


def coverage_text(item: Coverage) -> str:
    """Returns how far back the counts of a window reach."""
    if not item.partial:
        return f"{item.window}: whole"
    names = ", ".join(item.partial)
    reach = duration_text(item.shortest_ms)
    return f"{item.window}: counts of {names} reach back only {reach} at the shortest"


def warnings(report: BurnReport) -> list[str]:
    """Returns one sentence for each kind of data missing from the report."""
    lines = [f"{name} did not answer: {why}" for name, why in report.unanswered.items()]
    if not report.answered:
        lines.append("no entry answered: there is no data at all")
    lines += [coverage_text(item) for item in report.coverage if item.partial]
    if any(item.partial for item in report.coverage):
        lines.append("counts from before an entry started or restarted are lost")
    return lines
