"""Tests of the recording and replay of traces."""

from __future__ import annotations

import dataclasses
import io
import json
import threading
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import builders
from amaranthtray.domain.ids import AttemptId, HostId, Millis, PoolName
from amaranthtray.domain.inventory import HostState
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    Finish,
    StartAttempt,
    Tick,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import Answered, NotRun, NotRunReason
from amaranthtray.domain.serving import HostsListed, ServingEffect, ServingMessage
from amaranthtray.replay.run import ReplayMismatch, replay, run_files
from amaranthtray.replay.trace_checker import CHECKED_PROMISES, TraceChecker
from replay.example_run import ExampleRun, record

if TYPE_CHECKING:
    from collections.abc import Callable

POOL = PoolName("web")
ENDED = AttemptEnded(AttemptId("a1"), WholeAnswer())
ENDED_AGAIN = AttemptEnded(AttemptId("a2"), WholeAnswer())
EXAMPLE = Path(__file__).parents[2] / "examples" / "traces" / "one-entry.jsonl"


@pytest.fixture
def lines() -> list[str]:
    return EXAMPLE.read_text().splitlines(keepends=True)


def first_index(lines: list[str], text: str) -> int:
    return next(index for index, line in enumerate(lines) if text in line)


def write_trace(tmp_path: Path, lines: list[str]) -> str:
    path = tmp_path / "trace.jsonl"
    path.write_text("".join(lines))
    return str(path)


def test_the_example_replays_identically(
    lines: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    stated = json.loads(lines[-1])
    counts = " ".join(f"{n}={stated[n]}" for n in ("answered", "not_run", "unknown"))
    assert min(stated["answered"], stated["not_run"], stated["unknown"]) > 0
    assert stated["promises"] == list(CHECKED_PROMISES)
    assert run_files([str(EXAMPLE)]) == 0
    assert f"same over {len(lines) - 2} messages, {counts}" in capsys.readouterr().out


def test_the_example_file_is_up_to_date() -> None:
    assert record()[0] == EXAMPLE.read_text()


def test_a_changed_effect_is_reported(
    tmp_path: Path, lines: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    index = first_index(lines, '"type":"StartAttempt"')
    step = json.loads(lines[index])
    step["effects"][0]["host"] = "z1-h9"
    lines[index] = json.dumps(step) + "\n"
    path = write_trace(tmp_path, lines)
    assert run_files([path]) == 1
    shown = capsys.readouterr().out
    assert f"{path}:{index + 1}: effect 1" in shown
    assert "differs in host" in shown
    assert '"host":"z1-h9"' in shown
    assert step["message"]["type"] in shown


@pytest.mark.parametrize(
    ("edit", "cause"),
    [
        (lambda effects: effects.append({"type": "StopTask"}), "is missing"),
        (lambda effects: effects.clear(), "was not recorded"),
        (
            lambda effects: effects.__setitem__(0, {"type": "StopTask"}),
            "is of another type",
        ),
    ],
)
def test_missing_added_and_other_effects_are_reported(
    tmp_path: Path,
    lines: list[str],
    edit: Callable[[list[object]], None],
    cause: str,
) -> None:
    index = first_index(lines, '"type":"StartAttempt"')
    step = json.loads(lines[index])
    edit(step["effects"])
    lines[index] = json.dumps(step) + "\n"
    found = replay(write_trace(tmp_path, lines))
    assert isinstance(found, ReplayMismatch)
    assert cause in found.cause


def test_a_changed_message_is_reported(tmp_path: Path, lines: list[str]) -> None:
    index = first_index(lines, '"type":"AttemptEnded"')
    lines[index] = lines[index].replace('"type":"AttemptEnded"', '"type":"Tick"', 1)
    step = json.loads(lines[index])
    step["message"] = {"type": "Tick"}
    lines[index] = json.dumps(step) + "\n"
    found = replay(write_trace(tmp_path, lines))
    assert isinstance(found, ReplayMismatch)
    assert found.message == {"type": "Tick"}


@pytest.mark.parametrize("count", ["answered", "not_run", "unknown"])
def test_a_changed_outcome_is_reported(
    tmp_path: Path, lines: list[str], count: str
) -> None:
    stated = json.loads(lines[-1])
    stated[count] += 1
    found = replay(write_trace(tmp_path, [*lines[:-1], json.dumps(stated) + "\n"]))
    assert isinstance(found, ReplayMismatch)
    assert found.where.endswith(f":{len(lines)}")


START = StartAttempt(
    builders.request(1, repeatable=False),
    AttemptId("a1"),
    HostId("z1-h1"),
    Millis(900),
    Millis(500),
)
AGAIN = dataclasses.replace(START, attempt_id=AttemptId("a2"))
OTHER = builders.request(2)
REFUSED = Finish(START.request, NotRun(NotRunReason.NO_HOST))
INCOMPLETE = Finish(START.request, Answered(START.attempt_id, START.host))
OTHER_REQUESTS_ANSWER = Finish(OTHER, Answered(START.attempt_id, START.host))
LEAVING = HostsListed({POOL: (builders.host(1, state=HostState.LEAVING),)})


@pytest.mark.parametrize(
    ("steps", "promise"),
    [
        ([(0, Tick(), START), (9, Tick(), REFUSED), (99, ENDED, None)], "NotRunIsTrue"),
        ([(0, Tick(), START), (9, ENDED, None), (99, Tick(), REFUSED)], "NotRunIsTrue"),
        (
            [(0, Tick(), START), (9, ENDED, AGAIN), (99, ENDED_AGAIN, None)],
            "AtMostOnce",
        ),
        ([(0, Tick(), START), (9, ENDED, OTHER_REQUESTS_ANSWER)], "AnswersMatch"),
        ([(0, Tick(), START), (9, Tick(), INCOMPLETE)], "AnswersMatch"),
        (
            [(0, LEAVING, None), (3_001, Tick(), START), (3_009, ENDED, None)],
            "LeavingGetsNothing",
        ),
    ],
)
def test_a_violation_of_each_checked_promise_is_detected(
    steps: list[tuple[int, ServingMessage, ServingEffect | None]], promise: str
) -> None:
    checker = TraceChecker()
    for at_ms, message, effect in steps:
        checker.observe(message, [effect] if effect else [], at_ms)
    assert checker.outcomes().promises == [
        name for name in CHECKED_PROMISES if name != promise
    ]
    assert promise in checker.violation_texts()[0]


@pytest.mark.parametrize(
    ("number", "text", "words"),
    [
        (0, '{"line":"step","at_ms":0,"message":{},"effects":[]}\n', "not a header"),
        (1, "{nonsense\n", "malformed"),
        (1, '{"line":"step","at_ms":0}\n', "missing required field"),
        (1, '{"line":"ste","at_ms":0}\n', "Invalid value"),
        (
            1,
            '{"line":"step","at_ms":0,"message":{"type":"Nap"},"effects":[]}\n',
            "unknown type 'Nap'",
        ),
        (
            5,
            '{"line":"step","at_ms":-1,"message":{"type":"Tick"},"effects":[]}\n',
            "goes back",
        ),
    ],
)
def test_invalid_lines_are_refused_with_line_and_fix(
    tmp_path: Path,
    lines: list[str],
    number: int,
    text: str,
    words: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    lines[number] = text
    path = write_trace(tmp_path, lines)
    assert run_files([path]) == 2
    shown = capsys.readouterr().err
    assert f"{path}:{number + 1}" in shown
    assert words in shown
    assert "; " in shown


def test_another_schema_is_refused(
    tmp_path: Path, lines: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    lines[0] = lines[0].replace('"schema":1', '"schema":2')
    assert run_files([write_trace(tmp_path, lines)]) == 2
    assert "schema 2 is not 1" in capsys.readouterr().err


def test_a_missing_file_is_refused(tmp_path: Path) -> None:
    assert run_files([str(tmp_path / "none.jsonl"), str(EXAMPLE)]) == 2


def test_a_trace_cut_at_its_maximum_size_replays(tmp_path: Path) -> None:
    text, recorder = record(max_bytes=20_000)
    assert len(text) <= 20_000
    assert recorder.stops == 1
    found = replay(write_trace(tmp_path, [text]))
    assert not isinstance(found, ReplayMismatch)
    assert not found.is_stated


class BrokenSink(io.StringIO):
    """Raises ``OSError`` after five lines."""

    def __init__(self) -> None:
        super().__init__()
        self.left = 5

    def write(self, text: str) -> int:
        self.left -= 1
        if self.left < 0:
            raise OSError("no space left")
        return super().write(text)


class BlockedSink(io.StringIO):
    """Blocks in the first write until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


def test_a_failing_sink_stops_the_recording_but_not_the_entry() -> None:
    run = ExampleRun(BrokenSink())
    run.run()
    assert run.recorder.stops == 1
    assert run.now_ms == 6_000


def test_a_blocked_sink_does_not_block_the_entry() -> None:
    sink = BlockedSink()
    run = ExampleRun(sink, max_pending=10)
    run.run(close_s=0.01)
    assert run.recorder.stops == 1
    assert run.now_ms == 6_000
    sink.released.set()
