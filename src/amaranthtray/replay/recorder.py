"""Records what an entry's ``Serving`` takes and returns, without slowing it."""

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
from .judge import Judge
from .trace import (
    SCHEMA,
    Header,
    Line,
    Step,
    effect_to_dict,
    message_to_dict,
    to_line,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..domain.serving import (
        Serving,
        ServingContext,
    )

MAX_PENDING = 10_000
"""Messages that wait to be written; one more stops the recording."""

MAX_TRACE_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _Taken:
    message: ServingMessage
    effects: tuple[ServingEffect, ...]
    at_ms: Millis


class Recorder:
    """Passes messages to a ``Serving`` and writes them down on a thread of its own.

    A sink that fails or is too slow, or a trace that grows too long, stops the
    recording; the entry goes on.

    Attributes:
        stops: Recordings that were stopped before ``close``, 0 or 1.
        written_bytes: Bytes written so far.

    Args:
        serving: The decisions, fresh: they must have taken no message yet.
        parts: What ``serving`` was made of.
        seed: Seed of ``parts.rng``.
        sink: Where the lines go; the caller opens and closes it.
        max_bytes: Longest trace.
        max_pending: Most messages that wait to be written.
    """

    def __init__(
        self,
        serving: Serving,
        parts: ServingContext,
        seed: int,
        sink: TextIO,
        *,
        max_bytes: int = MAX_TRACE_BYTES,
        max_pending: int = MAX_PENDING,
    ) -> None:
        self.serving = serving
        self.stops = 0
        self.written_bytes = 0
        self._sink = sink
        self._max_bytes = max_bytes
        self._judge = Judge()
        self._stopped = threading.Event()
        self._pending: queue.Queue[_Taken | None] = queue.Queue(max_pending)
        self._header = Header(
            schema=SCHEMA,
            entry=parts.entry,
            incarnation=parts.incarnation,
            zone=parts.zone,
            seed=seed,
            settings=serving.cfg,
        )
        self._writer = threading.Thread(target=self._run, name="trace-writer")
        self._writer.daemon = True

    def start(self) -> None:
        """Starts the writer."""
        self._writer.start()

    def handle(self, message: ServingMessage, now_ms: Millis) -> list[ServingEffect]:
        """Takes one message, as ``Serving.handle`` does."""
        effects = self.serving.handle(message, now_ms)
        if not self._stopped.is_set():
            self._keep(_Taken(message, tuple(effects), now_ms))
        return effects

    def next_wake_ms(self) -> int:
        """Returns when the next ``Tick`` is due."""
        return self.serving.next_wake_ms()

    def close(self, timeout_s: float = 5.0) -> None:
        """Writes what is pending and the outcomes; gives up after the timeout."""
        try:
            self._pending.put(None, timeout=timeout_s)
        except queue.Full:
            self._stop()
            return
        self._writer.join(timeout_s)

    def _keep(self, taken: _Taken) -> None:
        try:
            self._pending.put_nowait(taken)
        except queue.Full:
            self._stop()

    def _stop(self) -> None:
        if not self._stopped.is_set():
            self.stops += 1
            self._stopped.set()

    def _run(self) -> None:
        try:
            self._write(self._header)
            while (taken := self._pending.get()) is not None:
                if not self._stopped.is_set():
                    self._write_step(taken)
            if not self._stopped.is_set():
                self._write(self._judge.outcomes())
                self._sink.flush()
        except Exception:  # whatever a sink raises must not reach the entry
            self._stop()

    def _write_step(self, taken: _Taken) -> None:
        self._judge.observe(taken.message, taken.effects, taken.at_ms)
        self._write(step_of(taken.message, taken.effects, taken.at_ms))

    def _write(self, line: Line) -> None:
        text = to_line(line)
        if self.written_bytes + len(text) > self._max_bytes:
            self._stop()
            return
        self._sink.write(text)
        self.written_bytes += len(text)


def step_of(
    message: ServingMessage, effects: Sequence[ServingEffect], at_ms: int
) -> Step:
    """Returns the line of one message and its effects."""
    return Step(
        at_ms=at_ms,
        message=message_to_dict(message),
        effects=[effect_to_dict(effect) for effect in effects],
    )
