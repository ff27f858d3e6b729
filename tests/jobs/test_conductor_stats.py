"""Summaries of what a conductor did."""

from __future__ import annotations

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling.messages import (
    StartOutcome,
    StartReplied,
    StoreJobs,
)
from amaranthtray.domain.scheduling.orders import StartRun
from amaranthtray.domain.upkeep.moves import PoolLoad
from amaranthtray.jobs.conductor_stats import (
    REPLY_WAIT_MS,
    SUMMARY_INTERVAL_MS,
    ConductorStats,
)

HOST = HostId("h")
NAME = TaskName(JobId("j"), 0, 0, 0)
SECOND = SUMMARY_INTERVAL_MS


def start(number: int) -> StartRun:
    return StartRun(HOST, 1, NAME, number, "payload", "", "")


def reply(number: int, replied_ms: int) -> StartReplied:
    return StartReplied(
        HOST, NAME, number, StartOutcome.STARTED, replied_ms, was_repeated=False
    )


def test_a_summary_has_the_longest_start_and_batch() -> None:
    stats = ConductorStats()
    stats.record_order(start(1), now_ms=0)
    stats.record_order(start(2), now_ms=0)
    stats.record_reply(reply(1, replied_ms=10))
    stats.record_reply(reply(2, replied_ms=400))
    records = ((JobId("j"), b"12345"),)
    batch = StoreJobs(1, records, {}, frozenset(), PoolLoad(), ())
    stats.record_batch(batch, took_ms=70)
    stats.record_round(messages=3)
    summary = stats.take_summary(SECOND)
    assert summary is not None
    assert (summary["starts"], summary["starting_ms"]) == (2, 410)
    assert summary["longest_starting_ms"] == 400
    assert (summary["record_bytes"], summary["longest_storing_ms"]) == (5, 70)


def test_a_second_without_starts_and_records_has_no_summary() -> None:
    stats = ConductorStats()
    stats.record_round(messages=1)
    assert stats.take_summary(SECOND) is None


def test_an_order_whose_run_was_stopped_is_forgotten() -> None:
    stats = ConductorStats()
    stats.record_order(start(1), now_ms=0)
    stats.take_summary(REPLY_WAIT_MS)
    stats.record_reply(reply(1, replied_ms=REPLY_WAIT_MS))
    stats.record_order(start(2), now_ms=REPLY_WAIT_MS)
    summary = stats.take_summary(REPLY_WAIT_MS + SECOND)
    assert summary is not None
    assert summary["starts"] == 0


def test_summaries_are_a_second_apart() -> None:
    stats = ConductorStats()
    stats.record_order(start(1), now_ms=SECOND)
    assert stats.take_summary(SECOND) is not None
    stats.record_order(start(2), now_ms=SECOND)
    assert stats.take_summary(2 * SECOND - 1) is None
    assert stats.take_summary(2 * SECOND) is not None
