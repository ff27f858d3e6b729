"""The entry's log is bounded, and one frequent event can't displace the others."""

from __future__ import annotations

import msgspec

from amaranthtray.jobs.event_log import LINES_PER_EVENT_S, LINES_PER_S, EventLog


def logged(counts: dict[str, int]) -> dict[str, int]:
    """Logs events in a row; returns how many lines of each are written."""
    lines: list[bytes] = []
    log = EventLog({}, write=lines.append)
    for event, count in counts.items():
        for _ in range(count):
            log.event(event)
    log.start()
    log.flush(5)
    events = [msgspec.json.decode(each)["event"] for each in b"".join(lines).split()]
    return {event: events.count(event) for event in counts}


def test_starts_of_a_peak_do_not_displace_other_events() -> None:
    written = logged({"StartRun": 2 * LINES_PER_S, "pool": 1, "submit": 10})
    # The clock may begin another second on the way.
    assert LINES_PER_EVENT_S <= written["StartRun"] <= 2 * LINES_PER_EVENT_S
    assert written["pool"] == 1
    assert written["submit"] == 10
