"""Records the messages and effects of ``Serving`` without blocking the entry."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING, TextIO

from ..domain.ids import Millis
from ..domain.serving import (
    ServingEffect,
    ServingMessage,
)
from .trace import (
    SCHEMA_VERSION,
    Header,
    Step,
    TraceLine,
    effect_to_dict,
    message_to_dict,
    to_line,
)
from .trace_checker import TraceChecker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..domain.serving import (
        Serving,
        ServingContext,
    )

MAX_PENDING_MESSAGES = 10_000
"""Bound of the messages waiting to be written; one more stops the recording."""

MAX_TRACE_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _HandledMessage:
    message: ServingMessage
    effects: tuple[ServingEffect, ...]
    at_ms: Millis


class Recorder:
    """Passes messages to a ``Serving`` and records them on a separate thread.

    A sink that fails or is too slow, or a trace that reaches its maximum size, stops
    the recording; the entry continues.

    Attributes:
        stops: 1 if the recording stopped before ``close``, else 0.
        written_bytes: Bytes written so far.

    Args:
        serving: A new ``Serving`` that has handled no message yet.
        context: Context that ``serving`` was created with.
        seed: Seed of ``context.rng``.
        sink: Destination of the lines; the caller opens and closes it.
        max_bytes: Maximum size of the trace.
        max_pending: Maximum number of messages waiting to be written.
    """

    def __init__(
        self,
        serving: Serving,
        context: ServingContext,
        seed: int,
        sink: TextIO,
        *,
        max_bytes: int = MAX_TRACE_BYTES,
        max_pending: int = MAX_PENDING_MESSAGES,
    ) -> None:
        self.serving = serving
        self.stops = 0
        self.written_bytes = 0
        self._sink = sink
        self._max_bytes = max_bytes
        self._checker = TraceChecker()
        self._stopped = threading.Event()
        self._pending: queue.Queue[_HandledMessage | None] = queue.Queue(max_pending)
        self._header = Header(
            schema=SCHEMA_VERSION,
            entry=context.entry,
            incarnation=context.incarnation,
            zone=context.zone,
            seed=seed,
            settings=serving.cfg,
        )
        self._writer = threading.Thread(target=self._write_pending, name="trace-writer")
        self._writer.daemon = True

    def start(self) -> None:
        """Starts the writer thread."""
        self._writer.start()

    def handle(self, message: ServingMessage, now_ms: Millis) -> list[ServingEffect]:
        """Handles a message as ``Serving.handle`` does, and records it."""
        effects = self.serving.handle(message, now_ms)
        if not self._stopped.is_set():
            self._enqueue(_HandledMessage(message, tuple(effects), now_ms))
        return effects

    def next_wake_ms(self) -> int:
        """Returns when the next ``Tick`` is due."""
        return self.serving.next_wake_ms()

    def close(self, timeout_s: float = 5.0) -> None:
        """Writes pending messages and the outcomes; gives up after the timeout."""
        try:
            self._pending.put(None, timeout=timeout_s)
        except queue.Full:
            self._stop()
            return
        self._writer.join(timeout_s)

    def _enqueue(self, handled: _HandledMessage) -> None:
        try:
            self._pending.put_nowait(handled)
        except queue.Full:
            self._stop()

    def _stop(self) -> None:
        if not self._stopped.is_set():
            self.stops += 1
            self._stopped.set()

    def _write_pending(self) -> None:
        try:
            self._write(self._header)
            while (handled := self._pending.get()) is not None:
                if not self._stopped.is_set():
                    self._write_step(handled)
            if not self._stopped.is_set():
                self._write(self._checker.outcomes())
                self._sink.flush()
        except Exception:  # no exception of a sink may reach the entry
            self._stop()

    def _write_step(self, handled: _HandledMessage) -> None:
        self._checker.observe(handled.message, handled.effects, handled.at_ms)
        self._write(make_step(handled.message, handled.effects, handled.at_ms))

    def _write(self, line: TraceLine) -> None:
        text = to_line(line)
        if self.written_bytes + len(text) > self._max_bytes:
            self._stop()
            return
        self._sink.write(text)
        self.written_bytes += len(text)


def make_step(
    message: ServingMessage, effects: Sequence[ServingEffect], at_ms: int
) -> Step:
    """Returns the trace line of a message and its effects."""
    return Step(
        at_ms=at_ms,
        message=message_to_dict(message),
        effects=[effect_to_dict(effect) for effect in effects],
    )
