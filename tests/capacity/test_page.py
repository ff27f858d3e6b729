"""Tables of the capacity page and replacement between the page's markers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from amaranthtray.capacity import __main__ as command
from amaranthtray.capacity._render import BEGIN, END, render, replace_between
from amaranthtray.capacity.slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from pathlib import Path


def slope(
    role: Role = Role.ENTRY,
    resource: Resource = Resource.MEMORY,
    *,
    costs: tuple[float, ...] = (1_100, 1_200, 1_400),
) -> Slope:
    samples = tuple(
        Sample(size, cost) for size, cost in zip((10, 20, 40), costs, strict=True)
    )
    return Slope(role, resource, "hosts", "a|b", samples, 4_300)


def test_slope_row_shows_the_cost_at_the_target_size() -> None:
    row = render([slope()]).splitlines()[2]
    assert row == (
        "| entry | memory bytes | hosts | 3 | 10 | 1,000 | 1.000 | 4,300 "
        "| 44,000 | a\\|b |"
    )


def test_sums_are_compared_with_the_limits_of_one_process() -> None:
    large_costs = (30_000_000, 30_000_000, 30_000_000)
    slopes = [
        slope(Role.ENTRY, costs=large_costs),
        slope(Role.STEWARD, costs=large_costs),
        slope(Role.CONDUCTOR, costs=large_costs),
        slope(Role.STORE, Resource.MESSAGES),
    ]
    tables = render(slopes)
    assert "| entry | memory bytes | 30,000,000 | 64,000,000 | yes |" in tables
    row_start = (
        "| one process with all duties | memory bytes | 90,000,000 | 64,000,000 "
    )
    assert f"{row_start}| **no** |" in tables
    assert (
        "| one process with all duties | bytes/s | not measured | 9,000 | - |" in tables
    )
    assert "| platform store | messages/s | 44,000 | - | - |" in tables


def test_replacement_changes_only_the_text_between_the_markers() -> None:
    page = f"# T\n\nprose\n{BEGIN}\nold\n{END}\n\nmore | prose\n"
    changed = replace_between(page, "new", name="p").unwrap()
    assert changed == page.replace("old", "new")
    assert replace_between(changed, "new", name="p").unwrap() == changed


@pytest.mark.parametrize("page", ["", BEGIN, f"{END}{BEGIN}", f"{BEGIN}{BEGIN}{END}"])
def test_page_without_each_marker_once_in_order_is_refused(
    page: str, tmp_path: Path
) -> None:
    path = tmp_path / "page.md"
    path.write_text(page)
    result = CliRunner().invoke(command.run, ["--write", str(path), "--only", "none"])
    assert result.exit_code == 2
    assert path.read_text() == page


def test_missing_page_is_created_and_then_rewritten(tmp_path: Path) -> None:
    path = tmp_path / "page.md"
    for _ in range(2):
        result = CliRunner().invoke(command.run, ["--write", str(path), "--only", "no"])
        assert result.exit_code == 0, result.output
    assert path.read_text().count(BEGIN) == 1
