"""Timers of the request dispatcher."""

from __future__ import annotations

from enum import Enum
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from .tracked_request import Attempt, Phase, TrackedRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import PoolName

MIN_STALE_TO_COMPACT = 256
"""Number of stale timers below which the heap is not compacted."""


class TimerKind(Enum):
    """What a timer is for; its subject is a request, an attempt or a pool."""

    DEADLINE = "deadline"
    BACKOFF = "backoff"
    CHECKPOINT = "checkpoint"
    POOL = "pool"


class Timer(NamedTuple):
    """A due time; ``seq`` orders equal times, so that subjects are never compared."""

    when_ms: int
    seq: int
    kind: TimerKind
    subject: TrackedRequest | Attempt | PoolName


class Timers:
    """A heap of timers; stale ones are removed lazily."""

    __slots__ = ("_heap", "_seq", "_stale")

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._seq = 0
        self._stale = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(
        self,
        when_ms: int,
        kind: TimerKind,
        subject: TrackedRequest | Attempt | PoolName,
    ) -> None:
        """Adds a timer."""
        self._seq += 1
        heappush(self._heap, Timer(when_ms, self._seq, kind, subject))

    def mark_finished(self) -> None:
        """Records that the deadline timer of a request has become stale."""
        self._stale += 1
        if self._stale < MIN_STALE_TO_COMPACT or self._stale * 2 < len(self._heap):
            return
        self._heap = [timer for timer in self._heap if not _is_stale(timer)]
        heapify(self._heap)
        self._stale = 0

    def next_due_ms(self) -> int | None:
        """Returns the earliest time at which a timer may be due, or None."""
        while self._heap and _is_stale(self._heap[0]):
            self._remove_first()
        return self._heap[0].when_ms if self._heap else None

    def pop_due(self, now_ms: int) -> Iterator[Timer]:
        """Removes all due timers and yields those that are not stale."""
        while self._heap and self._heap[0].when_ms <= now_ms:
            timer = self._heap[0]
            stale = _is_stale(timer)
            self._remove_first()
            if not stale:
                yield timer

    def _remove_first(self) -> None:
        timer = heappop(self._heap)
        if _is_stale(timer):
            self._stale = max(0, self._stale - 1)


def _is_stale(timer: Timer) -> bool:
    subject = timer.subject
    match timer.kind:
        case TimerKind.DEADLINE:
            return isinstance(subject, TrackedRequest) and subject.phase is Phase.DONE
        case TimerKind.BACKOFF:
            return (
                isinstance(subject, TrackedRequest)
                and subject.phase is not Phase.BACKING_OFF
            )
        case TimerKind.CHECKPOINT:
            return isinstance(subject, Attempt) and not subject.holds_slot
    return False
