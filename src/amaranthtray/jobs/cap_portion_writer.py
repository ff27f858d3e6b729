"""The task that writes a pool's portions of the teams' caps to the store."""

from __future__ import annotations

import threading
from functools import partial
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.duties.names import conductor_duty
from ..domain.ids import PoolName, TeamName
from ..domain.jobs.model import Resources
from ..domain.scheduling.caps import (
    ClaimFailed,
    ClaimPortion,
    PortionRow,
    PortionsRead,
    claim,
    total,
)
from ..store.contract import Conflicts, EffectUnknown, Put, Transaction
from ..store.duties import read_term_version, term_key
from .latest_queue import LatestQueue
from .steps import run_step
from .write_outcome import write_outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from ..domain.scheduling.messages import Message
    from ..store.contract import StoreFailure, Versioned
    from .context import JobEntryContext
    from .term_guard import TermGuard

CAPS_PREFIX = "caps/"
MAX_TRIES = 5
"""Conductors of several pools may change a team's row at the same time."""


class CapPortionWriter:
    """Changes a pool's portion in the rows of teams by compare-and-swap.

    Each write expects the term key of the pool's duty as well, so that a delayed one of
    an earlier conductor fails.

    Args:
        pool: Pool whose portions it changes.
        context: Objects that all tasks of the entry share.
        post: Queues a message for the conductor.
        guard: Tells whether the conductor's term is certainly held.
    """

    def __init__(
        self,
        pool: PoolName,
        context: JobEntryContext,
        post: Callable[[Message], None],
        guard: TermGuard,
    ) -> None:
        self._pool = pool
        self._context = context
        self._post = post
        self._guard = guard
        self._term_key, self._term_version = term_key(conductor_duty(pool)), 0
        self._unsettled: set[TeamName] = set()
        self._queue: LatestQueue[TeamName, ClaimPortion] = LatestQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the claim in progress."""
        self._queue.close()

    def claim(self, request: ClaimPortion) -> None:
        """Queues a claim; it replaces one of the same team that still waits."""
        self._queue.put(request.team, request)

    def load(self) -> bool:
        """Posts the rows of all teams; returns whether they could be read."""
        store, duty = self._context.store, conductor_duty(self._pool)
        version = read_term_version(store, duty, self._guard.term)
        if not isinstance(version, Success):
            return False
        self._term_version = version.unwrap()
        listed = self._context.store.list(CAPS_PREFIX)
        if not isinstance(listed, Success):
            return False
        for item in listed.unwrap().items:
            team = TeamName(item.key.removeprefix(CAPS_PREFIX))
            self._post(PortionsRead(team, self._row(item)))
        return True

    def _run(self) -> None:
        while True:
            request = self._queue.get()
            if request is None:
                return
            failed = ClaimFailed(request.team, request.number)
            claim_once = partial(self.carry_out, request)
            log = self._context.log
            self._post(run_step(log, "caps", claim_once, otherwise=failed))

    def carry_out(self, request: ClaimPortion) -> PortionsRead | ClaimFailed:
        """Carries out a claim; tries again at once after conflicts."""
        for _ in range(MAX_TRIES):
            if not self._guard.may_order():
                break
            result = self._try(request)
            if result is not None:
                return result
        return ClaimFailed(request.team, request.number)

    def _try(self, request: ClaimPortion) -> PortionsRead | ClaimFailed | None:
        """Tries a claim once; returns None after a conflict."""
        failed = ClaimFailed(request.team, request.number)
        key = f"{CAPS_PREFIX}{request.team}"
        read = self._context.store.get(key)
        if not isinstance(read, Success):
            self._log_failure(request, "not_read", read.failure())
            return failed
        stored = read.unwrap()
        old = self._row(stored) if stored else {}
        row = claim(old, self._pool, request)
        read_row = PortionsRead(request.team, row, request.number)
        if row == old and request.team not in self._unsettled:
            self._context.metrics.count("cap_claims", "unchanged")
            return read_row
        # A write that had no reply may be delayed. The next one changes the version,
        # also if it leaves the row as it is, so that the delayed one fails.
        written = self._write(key, stored.version if stored else 0, row)
        if isinstance(written, Success):
            self._unsettled.discard(request.team)
            self._context.metrics.count("cap_claims", "written")
            self._log_change(request, row)
            return read_row
        failure = written.failure()
        self._log_failure(request, write_outcome(failure), failure)
        if isinstance(failure, EffectUnknown):
            self._unsettled.add(request.team)
        return None if isinstance(failure, Conflicts) else failed

    def _write(
        self, key: str, version: int, row: PortionRow
    ) -> Result[int, StoreFailure]:
        put = Put(key, msgspec.json.encode(row))
        expect = ((key, version), (self._term_key, self._term_version))
        return self._context.store.commit(Transaction(expect=expect, puts=(put,)))

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
