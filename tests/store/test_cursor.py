"""A watch that went deaf for a moment must not be followed past what it missed."""

from __future__ import annotations

from amaranthtray.store.contract import WatchBatch, WatchEvent
from amaranthtray.store.cursor import DEAF_MS, WatchCursor


def test_an_empty_answer_does_not_move_the_cursor_at_once() -> None:
    cursor = WatchCursor(10)
    cursor.advance(WatchBatch((), 20), 1_000)
    assert cursor.version == 10


def test_an_old_empty_answer_does() -> None:
    cursor = WatchCursor(10)
    cursor.advance(WatchBatch((), 20), 1_000)
    cursor.advance(WatchBatch((), 30), 1_000 + DEAF_MS)
    assert cursor.version == 20


def test_events_move_it_to_the_newest() -> None:
    cursor = WatchCursor(10)
    events = (WatchEvent("a", b"", 12), WatchEvent("b", None, 15))
    cursor.advance(WatchBatch(events, 40), 1_000)
    assert cursor.version == 15
