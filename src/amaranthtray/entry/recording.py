"""Builds the serving part of an entry, with a recorder if the settings enable it."""

from __future__ import annotations

import random
import secrets
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from ..domain.serving import Serving, ServingContext
from ..replay.recorder import Recorder

if TYPE_CHECKING:
    from ..domain.ids import Millis
    from ..domain.serving import ServingEffect, ServingMessage, ServingSettings
    from ..settings import TraceSettings
    from .context import EntryContext

SEED_BITS = 63


class ServingHandler(Protocol):
    """Handles messages one at a time: a ``Serving``, or a recorder around it."""

    def handle(self, message: ServingMessage, now_ms: Millis) -> list[ServingEffect]:
        """Handles a message and returns the effects to carry out."""

    def next_wake_ms(self) -> int:
        """Returns the time at which the next ``Tick`` is due."""


def make_serving(
    context: EntryContext, settings: ServingSettings
) -> tuple[Serving, ServingHandler]:
    """Returns the serving part, and the handler to which messages are passed.

    Raises:
        OSError: The trace file already exists or cannot be written.
    """
    seed = secrets.randbits(SEED_BITS)
    serving_context = ServingContext(
        context.entry, context.incarnation, context.zone, random.Random(seed)
    )
    serving = Serving(serving_context, settings)
    cfg = context.settings.trace
    if not cfg.path:
        return serving, serving
    return serving, _start_recorder(serving, serving_context, seed, cfg)


def _start_recorder(
    serving: Serving, serving_context: ServingContext, seed: int, cfg: TraceSettings
) -> Recorder:
    trace_file = Path(cfg.path).open("x", encoding="utf-8")  # noqa: SIM115  closed at exit
    recorder = Recorder(
        serving, serving_context, seed, trace_file, max_bytes=cfg.max_bytes
    )
    recorder.start()
    return recorder
