"""Renders measured slopes as Markdown tables between two markers of a page."""

from __future__ import annotations

import statistics
from collections import defaultdict
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..domain.errors import Problem
from .slope import Resource, Role

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .slope import Slope

BEGIN = "<!-- capacity:begin -->"
END = "<!-- capacity:end -->"

DAEMON_LIMITS = {
    Resource.PROCESSOR: 13.0,
    Resource.MEMORY: 64_000_000.0,
    Resource.TRAFFIC: 9_000.0,
}
"""Most that one process may spend on control."""

DAEMON_ROLES = (Role.ENTRY, Role.STEWARD, Role.CONDUCTOR)
"""Roles that one process can hold at the same time."""

NEW_PAGE = f"# Capacity at the two-year size\n\n{BEGIN}\n{END}\n"

_SLOPE_HEADER = (
    "| Role | Resource | Driver | Samples | Slope per unit | Fixed part | Fit r² "
    "| Two-year size | Cost there | Mechanism |\n"
    "|---|---|---|---|---|---|---|---|---|---|"
)
_SUM_HEADER = "| Role | Resource | Sum | Limit | Within |\n|---|---|---|---|---|"


def render(slopes: Sequence[Slope]) -> str:
    """Returns two tables: all slopes, and the sum for each role and resource."""
    rows = [_slope_row(slope) for slope in _sorted_slopes(slopes)]
    return "\n".join([_SLOPE_HEADER, *rows, "", _SUM_HEADER, *_sum_rows(slopes)])


def replace_between(page: str, tables: str, *, name: str) -> Result[str, Problem]:
    """Returns ``page`` with ``tables`` between its markers, otherwise unchanged."""
    if page.count(BEGIN) != 1 or page.count(END) != 1:
        problem = "the page does not have each marker once"
        fix = f"put the lines {BEGIN} and {END} around the table"
        return Failure(Problem("write-capacity", name, problem, name, fix))
    before, _, rest = page.partition(BEGIN)
    _, marker, after = rest.partition(END)
    if not marker:
        fix = "put the begin marker first"
        problem = "the markers are in the wrong order"
        return Failure(Problem("write-capacity", name, problem, name, fix))
    return Success(f"{before}{BEGIN}\n{tables}\n{END}{after}")


def totals(slopes: Sequence[Slope]) -> dict[tuple[Role, Resource], float]:
    """Returns the summed cost at the two-year size by role and resource."""
    sums: dict[tuple[Role, Resource], float] = defaultdict(float)
    for slope in slopes:
        sums[slope.role, slope.resource] += slope.cost_at_target()
    return dict(sums)


def _sum_rows(slopes: Sequence[Slope]) -> list[str]:
    sums = totals(slopes)
    rows = []
    for role in Role:
        for resource in Resource:
            if (role, resource) in sums:
                limit = DAEMON_LIMITS.get(resource) if role in DAEMON_ROLES else None
                total = sums[role, resource]
                rows.append(_sum_row(role.value, resource, total, limit))
    for resource, limit in DAEMON_LIMITS.items():
        role_sums = [
            sums[role, resource] for role in DAEMON_ROLES if (role, resource) in sums
        ]
        name = "one process with all duties"
        measured = sum(role_sums) if role_sums else None
        rows.append(_sum_row(name, resource, measured, limit))
    return rows


def _sum_row(
    name: str, resource: Resource, total: float | None, limit: float | None
) -> str:
    """Returns a row; a sum that is None was not measured."""
    if total is None:
        return (
            f"| {name} | {resource.value} | not measured | {rounded(limit or 0)} | - |"
        )
    limit_text = "-" if limit is None else rounded(limit)
    within = "-" if limit is None else ("yes" if total <= limit else "**no**")
    return f"| {name} | {resource.value} | {rounded(total)} | {limit_text} | {within} |"


def _slope_row(slope: Slope) -> str:
    slope_per_unit, fixed_part = slope.line()
    cells = [
        slope.role.value,
        slope.resource.value,
        slope.driver,
        str(len(slope.samples)),
        rounded(slope_per_unit),
        rounded(fixed_part),
        _fit_text(slope),
        rounded(slope.target_size),
        rounded(slope.cost_at_target()),
        slope.mechanism,
    ]
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def _fit_text(slope: Slope) -> str:
    """Returns r², or a dash if it says nothing.

    Any two samples lie on a line, and equal costs have no correlation.
    """
    costs = [sample.cost for sample in slope.samples]
    if len(costs) <= 2 or len(set(costs)) == 1:
        return "-"
    sizes = [sample.size for sample in slope.samples]
    return f"{statistics.correlation(sizes, costs) ** 2:.3f}"


def _sorted_slopes(slopes: Sequence[Slope]) -> list[Slope]:
    roles, resources = list(Role), list(Resource)
    return sorted(
        slopes,
        key=lambda item: (
            roles.index(item.role),
            resources.index(item.resource),
            item.driver,
            item.mechanism,
        ),
    )


def rounded(value: float) -> str:
    """Returns a number as text with about three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"
