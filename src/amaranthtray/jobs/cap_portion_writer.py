"""The task that writes a pool's portions of the teams' caps to the store."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.ids import PoolName, TeamName
from ..domain.jobs.model import Resources
from ..domain.scheduling.caps import (
    ClaimPortion,
    PortionRow,
    PortionsRead,
    claim,
    total,
)
from ..store.contract import Conflict
from .write_outcome import write_outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.scheduling.messages import Message
    from ..store.contract import StoreFailure, Versioned
    from .context import JobEntryContext

CAPS_PREFIX = "caps/"
MAX_TRIES = 5
"""Conductors of several pools may change a team's row at the same time."""


class CapPortionWriter:
    """Changes a pool's portion in the rows of teams by compare-and-swap.

    Args:
        pool: Pool whose portions it changes.
        context: Objects that all tasks of the entry share.
        post: Queues a message for the conductor.
        may_order: Returns whether the conductor's term is certainly held.
    """

    def __init__(
        self,
        pool: PoolName,
        context: JobEntryContext,
        post: Callable[[Message], None],
        may_order: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._context = context
        self._post = post
        self._may_order = may_order
        self._queue: queue.SimpleQueue[ClaimPortion | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the claim in progress."""
        self._queue.put(None)

    def claim(self, request: ClaimPortion) -> None:
        """Queues a claim."""
        self._queue.put(request)

    def load(self) -> bool:
        """Posts the rows of all teams; returns whether they could be read."""
        listed = self._context.store.list(CAPS_PREFIX)
        if not isinstance(listed, Success):
            return False
        for item in listed.unwrap().items:
            team = TeamName(item.key.removeprefix(CAPS_PREFIX))
            self._publish(team, self._row(item))
        return True

    def _run(self) -> None:
        while True:
            request = self._queue.get()
            if request is None:
                return
            for _ in range(MAX_TRIES):
                if not self._may_order() or self._claim(request):
                    break

    def _claim(self, request: ClaimPortion) -> bool:
        """Tries a claim once; returns False if it should be tried again now."""
        key = f"{CAPS_PREFIX}{request.team}"
        read = self._context.store.get(key)
        if not isinstance(read, Success):
            self._log_failure(request, "not_read", read.failure())
            return True
        stored = read.unwrap()
        old = self._row(stored) if stored else {}
        row = claim(old, self._pool, request)
        if row == old:
            self._context.metrics.count("cap_claims", "unchanged")
            self._publish(request.team, row)
            return True
        version = stored.version if stored else 0
        value = msgspec.json.encode(row)
        written = self._context.store.compare_and_swap(key, value, version=version)
        if isinstance(written, Success):
            self._context.metrics.count("cap_claims", "written")
            self._log_change(request, row)
            self._publish(request.team, row)
            return True
        failure = written.failure()
        self._log_failure(request, write_outcome(failure), failure)
        # Only a conflict is retried at once. After a lost reply the next claim reads
        # the row again: the delayed write either fails, as the row has changed
        # since, or its result is what is read.
        return not isinstance(failure, Conflict)

    def _log_change(self, request: ClaimPortion, row: PortionRow) -> None:
        self._context.log.event(
            "portion-changed",
            team=request.team,
            pool=self._pool,
            used=request.used,
            portion=row[self._pool],
            total=total(row),
            cap=request.cap,
        )

    def _log_failure(
        self, request: ClaimPortion, outcome: str, failure: StoreFailure
    ) -> None:
        self._context.metrics.count("cap_claims", outcome)
        self._context.log.event(
            "portion-not-changed",
            team=request.team,
            pool=self._pool,
            used=request.used,
            want=request.want,
            why=repr(failure),
        )

    def _publish(self, team: TeamName, row: PortionRow) -> None:
        self._post(PortionsRead(team, row))

    def _row(self, item: Versioned) -> PortionRow:
        """Returns the stored portions; an unreadable row is written anew."""
        try:
            rows = msgspec.json.decode(item.value, type=dict[str, Resources])
        except msgspec.MsgspecError as exc:
            self._context.log.event(
                "portion-row-unreadable", key=item.key, why=str(exc)
            )
            return {}
        return {PoolName(pool): portion for pool, portion in rows.items()}
