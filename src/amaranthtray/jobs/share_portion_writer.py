"""The task that exchanges the teams' rates between pools through the store."""

from __future__ import annotations

import threading
from functools import partial
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.scheduling.share_portions import (
    ClaimShare,
    ShareRow,
    ShareRowsRead,
    claim_share,
    decode_row,
    encode_row,
)
from ..store.contract import Conflict
from . import clock, keys
from .latest_queue import LatestQueue
from .steps import run_step
from .write_outcome import write_outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import PoolName, TeamName
    from ..domain.scheduling.messages import Message
    from ..store.contract import StoreFailure, Versioned
    from .context import JobEntryContext

MAX_TRIES = 5
"""Conductors of several pools may change a team's row at the same time."""


class SharePortionWriter:
    """Changes a pool's rate in the rows of teams by compare-and-swap.

    Args:
        pool: Pool whose rates it writes.
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
        self._queue: LatestQueue[TeamName, ClaimShare] = LatestQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread, which reads the rows of all teams first."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the claim in progress."""
        self._queue.close()

    def claim(self, request: ClaimShare) -> None:
        """Queues a claim; it replaces one of the same team that still waits."""
        self._queue.put(request.team, request)

    def load(self) -> None:
        """Posts the rows of all teams; without them the pool uses whole weights."""
        listed = self._context.store.list(keys.SHARES_PREFIX)
        if not isinstance(listed, Success):
            why = repr(listed.failure())
            self._context.log.event("share-rows-not-read", pool=self._pool, why=why)
            return
        rows = {
            keys.team_of_shares(item.key): self._row(item)
            for item in listed.unwrap().items
        }
        self._post(ShareRowsRead(rows))

    def _run(self) -> None:
        log = self._context.log
        run_step(log, "shares", self.load, otherwise=None)
        while True:
            request = self._queue.get()
            if request is None:
                return
            exchange = partial(self._exchange_repeatedly, request)
            run_step(log, "shares", exchange, otherwise=None)

    def _exchange_repeatedly(self, request: ClaimShare) -> None:
        for _ in range(MAX_TRIES):
            if not self._may_order() or self.exchange(request):
                return

    def exchange(self, request: ClaimShare) -> bool:
        """Reads a row and writes it if that is due.

        Returns False if it should be tried again now.
        """
        key = keys.shares_key(request.team)
        read = self._context.store.get(key)
        if not isinstance(read, Success):
            self._log_failure(request.team, read.failure())
            return True
        stored = read.unwrap()
        old = self._row(stored) if stored else {}
        row = claim_share(old, self._pool, request, clock.wall_ms())
        if row is None:
            self._post(ShareRowsRead({request.team: old}))
            return True
        version = stored.version if stored else 0
        written = self._context.store.compare_and_swap(
            key, encode_row(row), version=version
        )
        if isinstance(written, Success):
            self._context.metrics.count("share_writes", "written")
            self._post(ShareRowsRead({request.team: row}))
            return True
        failure = written.failure()
        self._context.metrics.count("share_writes", write_outcome(failure))
        self._log_failure(request.team, failure)
        # Only a conflict is retried at once. After a lost reply the next claim reads
        # the row again, which shows whether the write took effect.
        return not isinstance(failure, Conflict)

    def _row(self, item: Versioned) -> ShareRow:
        """Returns the stored rates; an unreadable row is written anew."""
        try:
            return decode_row(item.value)
        except msgspec.MsgspecError as exc:
            self._context.log.event("share-row-unreadable", key=item.key, why=str(exc))
            return {}

    def _log_failure(self, team: TeamName, failure: StoreFailure) -> None:
        self._context.log.event(
            "share-not-exchanged", team=team, pool=self._pool, why=repr(failure)
        )
