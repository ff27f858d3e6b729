"""The tables of the capacity page and the markers around them."""

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


def test_each_slope_is_a_row_with_its_cost_at_the_target() -> None:
    row = render([slope()]).splitlines()[2]
    assert row == (
        "| entry | memory bytes | hosts | 3 | 10 | 1,000 | 1.000 | 4,300 "
        "| 44,000 | a\\|b |"
    )


def test_sums_are_held_against_the_limits_of_a_daemon() -> None:
    big = (30_000_000, 30_000_000, 30_000_000)
    made = [
        slope(Role.ENTRY, costs=big),
        slope(Role.STEWARD, costs=big),
        slope(Role.CONDUCTOR, costs=big),
        slope(Role.STORE, Resource.MESSAGES),
    ]
    text = render(made)
    assert "| entry | memory bytes | 30,000,000 | 64,000,000 | yes |" in text
    whole = "| one process with all duties | memory bytes | 90,000,000 | 64,000,000 "
    assert f"{whole}| **no** |" in text
    assert (
        "| one process with all duties | bytes/s | not measured | 9,000 | - |" in text
    )
    assert "| platform store | messages/s | 44,000 | - | - |" in text


def test_only_the_part_between_the_markers_changes() -> None:
    page = f"# T\n\nprose\n{BEGIN}\nold\n{END}\n\nmore | prose\n"
    made = replace_between(page, "new", name="p").unwrap()
    assert made == page.replace("old", "new")
    assert replace_between(made, "new", name="p").unwrap() == made


@pytest.mark.parametrize("page", ["", BEGIN, f"{END}{BEGIN}", f"{BEGIN}{BEGIN}{END}"])
def test_a_page_without_both_markers_is_refused(page: str, tmp_path: Path) -> None:
    file = tmp_path / "page.md"
    file.write_text(page)
    result = CliRunner().invoke(command.run, ["--write", str(file), "--only", "none"])
    assert result.exit_code == 2
    assert file.read_text() == page


def test_a_page_is_made_and_then_kept(tmp_path: Path) -> None:
    file = tmp_path / "page.md"
    for _ in range(2):
        result = CliRunner().invoke(command.run, ["--write", str(file), "--only", "no"])
        assert result.exit_code == 0, result.output
    assert file.read_text().count(BEGIN) == 1
