"""Tests of the figures that ``make bench`` prints."""

from __future__ import annotations

import json

import pytest

from amaranthtray.bench.figure import Figure


@pytest.mark.parametrize(
    ("value", "target", "met"),
    [(1.2, "<= 1.2", True), (1.3, "<= 1.2", False), (0.0, "== 0", True)],
)
def test_target_applies_to_the_value(value: float, target: str, met: bool) -> None:
    assert Figure("a.b", value, "s", target).met is met


def test_target_applies_to_the_ratio_to_the_baseline() -> None:
    figure = Figure("a.b", 50, "1/s", ">= 0.6", baseline=100, on_ratio=True)
    assert figure.ratio == 0.5
    assert not figure.met


def test_missing_baseline_never_meets_a_ratio() -> None:
    assert not Figure("a.b", 50, "1/s", ">= 0.6", on_ratio=True).met


def test_json_line_has_the_documented_fields() -> None:
    line = json.loads(Figure("a.b", 1, "s", "<= 2").to_json())
    assert sorted(line) == [
        "baseline",
        "met",
        "name",
        "ratio",
        "target",
        "unit",
        "value",
    ]
