"""The cursor must not advance past changes that a watch missed for a moment."""

from __future__ import annotations

from amaranthtray.store.contract import WatchBatch, WatchEvent
from amaranthtray.store.cursor import WATCH_GAP_MS, WatchCursor


def test_a_recent_empty_reply_does_not_advance_the_cursor() -> None:
    cursor = WatchCursor(10)
    cursor.advance(WatchBatch((), 20), 1_000)
    assert cursor.version == 10


def test_an_old_empty_reply_advances_the_cursor() -> None:
    cursor = WatchCursor(10)
    cursor.advance(WatchBatch((), 20), 1_000)
    cursor.advance(WatchBatch((), 30), 1_000 + WATCH_GAP_MS)
    assert cursor.version == 20


def test_events_advance_the_cursor_to_the_newest() -> None:
    cursor = WatchCursor(10)
    events = (WatchEvent("a", b"", 12), WatchEvent("b", None, 15))
    cursor.advance(WatchBatch(events, 40), 1_000)
    assert cursor.version == 15
