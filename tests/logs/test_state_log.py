"""Tests of log lines: format, context, redacted secrets and the rate limit."""

from __future__ import annotations

import io
import json

import pytest

from amaranthtray.logs import INTERVAL_MS, MAX_LINES_PER_INTERVAL, REDACTED, StateLog
from amaranthtray.settings import LogLevel, Settings, loads

SETTINGS = """\
[entry]
id = "e1"
zone = "z1"
region = "r1"
address = "127.0.0.1"
[platform]
endpoints = ["http://127.0.0.1:2379"]
[logs]
format = "{format}"
level = "info"
"""


class ManualClock:
    """A clock that tests set."""

    now_ms = 0

    def __call__(self) -> int:
        return self.now_ms


def settings(form: str = "json") -> Settings:
    return loads(SETTINGS.format(format=form), {}).unwrap()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def stream() -> io.StringIO:
    return io.StringIO()


def test_a_line_contains_its_context(clock: ManualClock, stream: io.StringIO) -> None:
    StateLog(settings(), stream, clock).changed("duty-taken", term=7, revision=12)
    line = json.loads(stream.getvalue())
    assert line["event"] == "duty-taken"
    assert (line["entry"], line["zone"]) == ("e1", "z1")
    assert (line["term"], line["revision"]) == (7, 12)


def test_newlines_in_text_lines_are_escaped(
    clock: ManualClock, stream: io.StringIO
) -> None:
    StateLog(settings("text"), stream, clock).changed("x", detail="a\nb {c}")
    assert stream.getvalue().count("\n") == 1
    assert "info x entry=e1 zone=z1 detail=a\\nb {c}" in stream.getvalue()


def test_secrets_are_redacted(clock: ManualClock, stream: io.StringIO) -> None:
    log = StateLog(settings(), stream, clock)
    log.changed("x", key="k.s", peer_secret="s", key_id="k1")
    line = json.loads(stream.getvalue())
    assert line["key"] == line["peer_secret"] == REDACTED
    assert line["key_id"] == "k1"


def test_lines_below_the_level_are_dropped(
    clock: ManualClock, stream: io.StringIO
) -> None:
    StateLog(settings(), stream, clock).changed("x", level=LogLevel.DEBUG)
    assert stream.getvalue() == ""


def test_excess_lines_of_an_event_are_suppressed_and_counted(
    clock: ManualClock, stream: io.StringIO
) -> None:
    log = StateLog(settings(), stream, clock)
    for _ in range(MAX_LINES_PER_INTERVAL + 500):
        log.changed("worker-ejected")
    log.changed("duty-lost")
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert len(lines) == MAX_LINES_PER_INTERVAL + 1
    clock.now_ms = INTERVAL_MS
    log.flush()
    log.flush()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert lines[-1]["event"] == "lines-held-back"
    assert lines[-1]["event_held_back"] == "worker-ejected"
    assert lines[-1]["lines"] == 500
    assert len(lines) == MAX_LINES_PER_INTERVAL + 2
