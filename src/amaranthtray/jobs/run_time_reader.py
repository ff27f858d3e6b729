"""Reads the run times that the last conductor of a pool has learned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.scheduling.run_time_events import RunTimesRead
from . import keys

if TYPE_CHECKING:
    import threading
    from collections.abc import Callable

    from ..domain.ids import PoolName
    from ..domain.scheduling.messages import Message
    from .context import JobEntryContext

RETRY_PAUSE_S = 0.1


def load_run_times(
    pool: PoolName,
    context: JobEntryContext,
    post: Callable[[Message], None],
    may_continue: Callable[[], bool],
    stopping: threading.Event,
) -> bool:
    """Posts the stored run times, if the settings enable learning.

    Returns False if the conductor had to end before they could be read.

    Args:
        pool: The pool.
        context: Objects that all tasks of the entry share.
        post: Queues a message for the conductor.
        may_continue: Returns whether the conductor may continue.
        stopping: Set when the conductor is to end.
    """
    if not context.settings.scheduling.learn_run_times:
        return True
    while may_continue():
        read = context.store.get(keys.run_times_key(pool))
        if isinstance(read, Success):
            stored = read.unwrap()
            post(RunTimesRead(stored.value if stored else b""))
            return True
        context.log.event("run-times-not-read", pool=pool, why=repr(read.failure()))
        stopping.wait(RETRY_PAUSE_S)
    return False
