"""Tests of burn counts, their merging, and the three formats of the report."""

from __future__ import annotations

import json
import math
import re
from dataclasses import replace
from random import Random
from xml.etree import ElementTree

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from rich.console import Console

from amaranthtray.domain.configuration import Objective, Queue
from amaranthtray.domain.ids import (
    AttemptId,
    EntryId,
    HostId,
    Incarnation,
    QueueName,
    TeamName,
    ZoneId,
)
from amaranthtray.domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from amaranthtray.reports import is_good
from amaranthtray.reports.burn import Severity, burn_rate, merge, severity
from amaranthtray.reports.counts import (
    DAY_MS,
    HOUR_MS,
    MINUTE_MS,
    OTHER_QUEUE,
    WINDOWS,
    BurnCounts,
    BurnSnapshot,
    Counts,
)
from amaranthtray.reports.html_page import to_html
from amaranthtray.reports.json_data import to_json_data
from amaranthtray.reports.table import to_renderable
from builders import queue

BOOKINGS = QueueName("bookings")
RED = TeamName("red")
ANSWERED = Answered(AttemptId("a"), HostId("h"))


def snapshot(
    good: int = 0,
    bad: int = 0,
    *,
    entry: str = "e1",
    incarnation: str = "i1",
    held_ms: int = 4 * DAY_MS,
    name: QueueName = BOOKINGS,
    team: TeamName = RED,
) -> BurnSnapshot:
    counts = BurnCounts(0)
    for number in range(good + bad):
        counts.record(name, team, good=number < good, now_ms=held_ms)
    return counts.snapshot(
        EntryId(entry), ZoneId("z1"), Incarnation(incarnation), held_ms
    )


def queues(target: float = 0.99) -> dict[QueueName, Queue]:
    item = replace(queue(), objective=Objective(target))
    return {item.name: item}


@pytest.mark.parametrize(
    ("outcome", "in_time", "expected"),
    [
        (ANSWERED, True, True),
        (ANSWERED, False, False),
        (NotRun(NotRunReason.QUEUE_FULL), True, False),
        (NotRun(NotRunReason.LIMIT_REACHED), True, False),
        (NotRun(NotRunReason.BAD_KEY), True, None),
        (NotRun(NotRunReason.CANCELLED), True, None),
        (Unknown(UnknownReason.ANSWER_CUT), True, False),
        (Unknown(UnknownReason.CANCELLED), True, None),
    ],
)
def test_only_whole_answers_in_time_are_good(
    outcome: Outcome, in_time: bool, expected: bool | None
) -> None:
    assert is_good(outcome, in_time=in_time) is expected


@given(st.integers(0, 2**32), st.integers(1, 400))
def test_windows_count_exactly_the_requests_within_them(
    seed: int, requests: int
) -> None:
    rng = Random(seed)
    counts = BurnCounts(0)
    now_ms = 0
    ended = []
    for _ in range(requests):
        now_ms += rng.choice([0, 1_000, MINUTE_MS, HOUR_MS, 5 * HOUR_MS])
        good = rng.random() < 0.7
        counts.record(BOOKINGS, RED, good=good, now_ms=now_ms)
        ended.append((now_ms, good))
    now_ms += rng.choice([0, MINUTE_MS, HOUR_MS])
    burn_snapshot = counts.snapshot(EntryId("e"), ZoneId("z"), Incarnation("i"), now_ms)
    held = (
        burn_snapshot.series[0].counts
        if burn_snapshot.series
        else (Counts(),) * len(WINDOWS)
    )
    for window, found in zip(WINDOWS, held, strict=True):
        newest = now_ms // window.bucket_ms
        within = [
            good
            for at, good in ended
            if at // window.bucket_ms > newest - window.buckets
        ]
        assert found == Counts(sum(within), len(within) - sum(within))


def test_series_are_bounded_and_the_rest_is_summed_as_other() -> None:
    counts = BurnCounts(0, max_series=2)
    for number in range(50):
        counts.record(BOOKINGS, TeamName(f"t{number}"), good=True, now_ms=0)
    burn_snapshot = counts.snapshot(EntryId("e"), ZoneId("z"), Incarnation("i"), 0)
    assert len(burn_snapshot.series) == 3
    report = merge([burn_snapshot], queues())
    assert report.services[0].queue == OTHER_QUEUE
    assert report.services[0].counts[0] == Counts(48, 0)


def test_merging_is_idempotent_and_commutative() -> None:
    first, second = snapshot(9, 1), snapshot(8, 2, entry="e2")
    later = snapshot(10, 1, held_ms=4 * DAY_MS + 1)
    report = merge([first, second], queues())
    assert report == merge([second, first, second, first], queues())
    assert report.services[0].counts[0] == Counts(17, 3)
    assert merge([later, first, second], queues()).services[0].counts[0].good == 18


def test_a_restarted_entry_counts_both_incarnations_and_is_partial() -> None:
    old = snapshot(5)
    new = snapshot(1, incarnation="i2", held_ms=2 * HOUR_MS)
    report = merge([old, new], queues())
    assert report.services[0].counts[0] == Counts(6, 0)
    partial = {item.window: item.partial for item in report.coverage}
    assert partial == {"5m": (), "1h": (), "6h": ("e1",), "3d": ("e1",)}
    assert not report.is_complete


def test_a_service_without_requests_has_no_data_instead_of_zero_burn() -> None:
    row = merge([snapshot()], queues()).services[0]
    assert row.rates == (None,) * 4
    assert row.budget_left is None
    assert row.severity is Severity.NO_DATA


@pytest.mark.parametrize(
    ("counts", "target", "rate"),
    [
        (Counts(99, 1), 0.99, 1.0),
        (Counts(98, 2), 0.99, 2.0),
        (Counts(1, 0), 1.0, 0.0),
        (Counts(1, 1), 1.0, math.inf),
        (Counts(0, 0), 0.99, None),
    ],
)
def test_burn_rates(counts: Counts, target: float, rate: float | None) -> None:
    assert burn_rate(counts, target) == pytest.approx(rate)


@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        ((15, 15, 1, 1), Severity.PAGE),
        ((1, 15, 1, 0.5), Severity.OK),
        ((15, 1, 1, 0.5), Severity.OK),
        ((0, 6, 6, 1), Severity.PAGE),
        ((0, 0, 1, 1), Severity.TICKET),
        ((None, 20, 20, 1), Severity.PAGE),
        ((None, 0, 0, 0.9), Severity.OK),
    ],
)
def test_a_rule_applies_only_if_both_windows_burn(
    rates: tuple[float | None, ...], expected: Severity
) -> None:
    assert severity(rates) is expected


def test_every_format_names_missing_data() -> None:
    recent = snapshot(3, 1, held_ms=2 * MINUTE_MS)
    report = merge([recent], queues(1.0), unanswered={EntryId("e9"): "timeout"})
    console = Console(width=200)
    with console.capture() as capture:
        console.print(to_renderable(report))
    page = to_html(report, generated_at="now")
    for text in (capture.get(), page):
        assert "e9 did not answer: timeout" in text
        assert "reach back only 2.0 min" in text
        assert "infinite" in text
    plain = json.loads(msgspec.json.encode(to_json_data(report)))
    assert plain["unanswered"] == {"e9": "timeout"}
    assert plain["services"][0]["rates"] == ["infinite"] * 4
    assert "no entry answered" in to_html(merge([], queues()), generated_at="now")


def test_the_page_is_self_contained_and_escapes_names() -> None:
    hostile = TeamName('<script>alert("x")</script>')
    burn_snapshot = snapshot(9, 1, name=QueueName("<b>&"), team=hostile)
    page = to_html(merge([burn_snapshot], queues()), generated_at="<now>")
    assert "<script" not in page
    assert "<b>&" not in page
    assert not re.search(r"(src|href)=|url\(|@import", page)
    svg = page[page.index("<svg") : page.index("</svg>") + len("</svg>")]
    assert len(ElementTree.fromstring(svg).findall("{*}rect")) == 8
