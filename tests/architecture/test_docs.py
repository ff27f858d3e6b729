"""Paths and tests that the pages name exist, and a page names every scenario."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
NOTES = DOCS / "design"
PAGES = sorted([*ROOT.glob("*.md"), *DOCS.rglob("*.md")])
SCENARIOS = sorted((ROOT / "scenarios").glob("*.toml"))

NAMED_PATH = re.compile(r"\b(?:tests|scenarios|examples|docs|tools)/[\w/.*-]*[\w*]")
NAMED_TEST = re.compile(r"\b(tests/[\w/]+\.py)::(\w+)")
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
PROMISE_ROW = re.compile(r"\| [A-Z](?!romise)")
BACKTICKED = re.compile(r"`([^`]+)`")
PARTITION_KINDS = 6
PROMISES = 12
"""The page on partitions has a row for each promise under each kind of partition."""
SCENARIOS_PACKAGE = "scenarios/"
"""Pages name modules of this package relative to ``src/amaranthtray``."""


def page_id(page: Path) -> str:
    return str(page.relative_to(ROOT))


def exists(name: str) -> bool:
    if name.startswith(SCENARIOS_PACKAGE) and name.endswith(".py"):
        return (ROOT / "src" / "amaranthtray" / name).exists()
    return any(ROOT.glob(name))


def missing_paths(text: str) -> list[str]:
    return [name for name in NAMED_PATH.findall(text) if not exists(name)]


def missing_tests(text: str) -> list[str]:
    return [
        f"{path}::{name}"
        for path, name in NAMED_TEST.findall(text)
        if not re.search(rf"^(?:def|class) {name}\b", read(path), re.MULTILINE)
    ]


def read(path: str) -> str:
    file = ROOT / path
    return file.read_text(encoding="utf-8") if file.exists() else ""


def unmentioned(scenarios: list[str], text: str) -> list[str]:
    return [name for name in scenarios if not re.search(rf"\b{name}\b(?!-)", text)]


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_a_page_names_only_what_exists(page: Path) -> None:
    text = page.read_text(encoding="utf-8")
    assert not missing_paths(text)
    assert not missing_tests(text)


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_relative_links_of_a_page_exist(page: Path) -> None:
    targets = LINK.findall(page.read_text(encoding="utf-8"))
    assert not [target for target in targets if not (page.parent / target).exists()]


def test_every_scenario_is_named_in_a_note() -> None:
    pages = [NOTES / "partitions.md", NOTES / "scenarios.md"]
    text = "\n".join(page.read_text(encoding="utf-8") for page in pages)
    assert not unmentioned([path.stem for path in SCENARIOS], text)


def test_each_row_of_the_partition_tables_names_its_tests() -> None:
    text = (NOTES / "partitions.md").read_text(encoding="utf-8")
    rows = [line for line in text.splitlines() if PROMISE_ROW.match(line)]
    evidence_cells = [row.rsplit("|", 2)[1] for row in rows]
    named = [name for cell in evidence_cells for name in BACKTICKED.findall(cell)]
    known = {path.stem for path in SCENARIOS}
    assert len(rows) == PARTITION_KINDS * PROMISES
    assert not [name for name in named if "/" not in name and name not in known]
    assert not [
        cell for cell in evidence_cells if "`" not in cell and "none" not in cell
    ]


def test_every_note_is_in_the_index() -> None:
    index = (NOTES / "README.md").read_text(encoding="utf-8")
    notes = [path.name for path in NOTES.glob("*.md") if path.name != "README.md"]
    assert not [name for name in notes if f"({name})" not in index]


def test_the_helpers_find_missing_names() -> None:
    text = "see scenarios/none.toml and tests/none/test_none.py::test_none"
    assert missing_paths(text) == ["scenarios/none.toml", "tests/none/test_none.py"]
    assert missing_tests(text) == ["tests/none/test_none.py::test_none"]
    assert unmentioned(["fail", "fail-twice"], "only fail-twice") == ["fail"]
