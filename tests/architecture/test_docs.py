"""Paths that the pages name exist, and every scenario is named in a page."""

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
CELL_ROW = re.compile(r"\| [A-Z](?!romise)")
QUOTED = re.compile(r"`([^`]+)`")
CUTS = 6
PROMISES = 12
MODULE_OF_PACKAGE = "scenarios/"
"""Notes also name modules of the package of this name, relative to the source."""


def page_id(page: Path) -> str:
    return str(page.relative_to(ROOT))


def exists(name: str) -> bool:
    if name.startswith(MODULE_OF_PACKAGE) and name.endswith(".py"):
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


def unnamed(scenarios: list[str], text: str) -> list[str]:
    return [name for name in scenarios if not re.search(rf"\b{name}\b(?!-)", text)]


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_a_page_names_only_what_exists(page: Path) -> None:
    text = page.read_text(encoding="utf-8")
    assert not missing_paths(text)
    assert not missing_tests(text)


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_links_of_a_page_lead_somewhere(page: Path) -> None:
    targets = LINK.findall(page.read_text(encoding="utf-8"))
    assert not [target for target in targets if not (page.parent / target).exists()]


def test_every_scenario_is_named_in_a_note() -> None:
    pages = [NOTES / "partitions.md", NOTES / "scenarios.md"]
    text = "\n".join(page.read_text(encoding="utf-8") for page in pages)
    assert not unnamed([path.stem for path in SCENARIOS], text)


def test_each_cell_of_the_partition_table_names_its_tests() -> None:
    text = (NOTES / "partitions.md").read_text(encoding="utf-8")
    rows = [line for line in text.splitlines() if CELL_ROW.match(line)]
    shown_by = [row.rsplit("|", 2)[1] for row in rows]
    named = [name for cell in shown_by for name in QUOTED.findall(cell)]
    known = {path.stem for path in SCENARIOS}
    assert len(rows) == CUTS * PROMISES
    assert not [name for name in named if "/" not in name and name not in known]
    assert not [cell for cell in shown_by if "`" not in cell and "none" not in cell]


def test_every_note_is_in_the_index() -> None:
    index = (NOTES / "README.md").read_text(encoding="utf-8")
    notes = [path.name for path in NOTES.glob("*.md") if path.name != "README.md"]
    assert not [name for name in notes if f"({name})" not in index]


def test_what_is_missing_is_found() -> None:
    text = "see scenarios/none.toml and tests/none/test_none.py::test_none"
    assert missing_paths(text) == ["scenarios/none.toml", "tests/none/test_none.py"]
    assert missing_tests(text) == ["tests/none/test_none.py::test_none"]
    assert unnamed(["fail", "fail-twice"], "only fail-twice") == ["fail"]
