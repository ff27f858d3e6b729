"""Measures the request counts from which the burn report is computed."""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from ..domain.ids import EntryId, Incarnation, QueueName, TeamName, ZoneId
from ..reports.counts import HOUR_MS, BurnCounts
from .slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from collections.abc import Iterator

TARGET_QUEUES = 39
TARGET_TEAMS = 140
TARGET_PAIRS = TARGET_QUEUES * TARGET_TEAMS
TARGET_REQUESTS_PER_S = 400
SIZES = (TARGET_PAIRS // 4, TARGET_PAIRS // 2, TARGET_PAIRS)
REQUESTS = (20_000, 40_000)

MECHANISM = "burn counts: ring buckets by queue and team, sent when asked for"


def slopes() -> Iterator[Slope]:
    """Yields the memory, the reply size and the processor time of the counts."""
    memory_samples, reply_samples = [], []
    for pairs in SIZES:
        memory_bytes, reply_bytes = _filled_sizes(pairs)
        memory_samples.append(Sample(pairs, memory_bytes))
        reply_samples.append(Sample(pairs, reply_bytes))
    driver = "pairs of queue and team"
    yield Slope(
        Role.ENTRY,
        Resource.MEMORY,
        driver,
        MECHANISM,
        tuple(memory_samples),
        TARGET_PAIRS,
    )
    yield Slope(
        Role.ENTRY,
        Resource.STATE,
        driver,
        MECHANISM,
        tuple(reply_samples),
        TARGET_PAIRS,
    )
    yield Slope(
        Role.ENTRY,
        Resource.PROCESSOR,
        "requests/s",
        MECHANISM,
        tuple(Sample(count, _record_ms(count)) for count in REQUESTS),
        TARGET_REQUESTS_PER_S,
    )


def _filled_sizes(pairs: int) -> tuple[int, int]:
    """Returns the memory and the encoded size of the counts of ``pairs``, in bytes."""
    names = [
        (QueueName(f"queue-{number % TARGET_QUEUES}"), TeamName(f"team-{number}"))
        for number in range(pairs)
    ]
    tracemalloc.start()
    counts = BurnCounts(0)
    for queue, team in names:
        counts.record(queue, team, good=True, now_ms=HOUR_MS)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    snapshot = counts.snapshot(
        EntryId("e1"), ZoneId("z1"), Incarnation("i1"), now_ms=HOUR_MS
    )
    return memory_bytes, len(msgspec.json.encode(snapshot))


def _record_ms(requests: int) -> float:
    """Returns the processor time of recording ``requests``, in milliseconds."""
    counts = BurnCounts(0)
    queue, team = QueueName("queue-1"), TeamName("team-1")
    start_s = time.process_time()
    for number in range(requests):
        counts.record(queue, team, good=True, now_ms=number)
    return (time.process_time() - start_s) * 1_000
