"""The timer of the request runner leaves the serving part to the mailbox's handler."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from amaranthtray.domain.requests.messages import Tick
from amaranthtray.entry.clock import now_ms
from amaranthtray.entry.request_runner import RequestRunner

if TYPE_CHECKING:
    from amaranthtray.domain.serving import ServingEffect, ServingMessage

WAIT_S = 30


class BlockedServing:
    """A serving part whose first message is handled until ``released`` is set."""

    def __init__(self) -> None:
        self.is_handling = threading.Event()
        self.released = threading.Event()
        self.was_read_while_handling = False

    def handle(self, message: ServingMessage, now: int) -> list[ServingEffect]:
        self.is_handling.set()
        assert self.released.wait(WAIT_S)
        return []

    def next_wake_ms(self) -> int:
        self.was_read_while_handling |= not self.released.is_set()
        return now_ms()


def test_the_timer_does_not_lose_deadlines_by_reading_them_while_they_change() -> None:
    serving: Any = BlockedServing()
    unused: Any = SimpleNamespace(log_fault=lambda exc: None)
    runner = RequestRunner(
        serving, unused, unused, unused, on_control_effect=lambda effect: None
    )
    poster = threading.Thread(target=runner.post, args=(Tick(),), daemon=True)
    poster.start()
    assert serving.is_handling.wait(WAIT_S)
    runner.start()
    while not runner._mailbox._messages and not serving.was_read_while_handling:
        threading.Event().wait(0.001)
    serving.released.set()
    runner.stop()
    assert not serving.was_read_while_handling
