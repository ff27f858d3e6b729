"""Reads a pool's jobs from the store and follows changes to its inbox."""

from __future__ import annotations

import threading
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..domain.jobs.record import decode_spec
from ..domain.scheduling.messages import (
    JobCancelled,
    JobFound,
    Message,
    VacateRequested,
)
from ..store.contract import Compacted
from ..store.cursor import WatchCursor
from . import keys
from .cancellation_writer import early_cancellation_ms
from .clock import steady_ms
from .ledger import decode_vacate_request
from .location_writer import LocationWriter
from .steps import run_step
from .times import WATCH_MS, WATCHES_PER_LIMIT

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import PoolName
    from ..domain.jobs.model import JobId
    from ..store.contract import Versioned, WatchEvent
    from .context import JobEntryContext

RETRY_PAUSE_MS = 100


class JobFeed:
    """Posts the jobs, cancellations and hosts to be emptied of one pool.

    Args:
        pool: The pool.
        context: Objects that all tasks of the entry share.
        post: Queues a message for the conductor.
        may_continue: Returns whether the conductor may continue.
    """

    def __init__(
        self,
        pool: PoolName,
        context: JobEntryContext,
        post: Callable[[Message], None],
        may_continue: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._prefix = keys.inbox_prefix(pool)
        self._vacate_key = keys.vacate_key(pool)
        self._records: dict[str, bytes] = {}
        self._context = context
        self._post = post
        self._may_continue = may_continue
        self._cursor = WatchCursor(0)
        self._confirmed_ms: int | None = None
        self._locations = LocationWriter(pool, context.store, context.log)
        limit_ms = context.settings.jobs.cancellation_limit_ms
        self._watch_ms = min(WATCH_MS, limit_ms // WATCHES_PER_LIMIT)
        self._pause = threading.Event()
        self._thread = threading.Thread(target=self._follow, daemon=True)

    def age_ms(self) -> int | None:
        """Returns the time since all cancellations were known; None if never."""
        confirmed_ms = self._confirmed_ms
        return None if confirmed_ms is None else steady_ms() - confirmed_ms

    def load(self) -> bool:
        """Posts all jobs; returns False if the conductor had to end before that.

        All jobs that it posted have a location then.
        """
        is_listed = False
        while self._may_continue():
            if not is_listed:
                is_listed = self._read_records() and self._list()
            if is_listed and self._locations.write():
                self._records = {}
                return True
            self._pause.wait(RETRY_PAUSE_MS / 1_000)
        return False

    def start(self) -> None:
        """Starts the thread that follows changes."""
        self._thread.start()

    def _read_records(self) -> bool:
        prefix = keys.records_prefix(self._pool)
        listed = self._context.store.list(prefix)
        if not isinstance(listed, Success):
            self._context.log.event("records-not-read", why=repr(listed.failure()))
            return False
        self._records = {
            item.key.removeprefix(prefix): item.value for item in listed.unwrap().items
        }
        return True

    def _list(self) -> bool:
        sent_ms = steady_ms()
        listed = self._context.store.list(self._prefix)
        if not isinstance(listed, Success):
            self._context.log.event("jobs-not-read", why=repr(listed.failure()))
            return False
        listing = listed.unwrap()
        parts: dict[JobId, dict[str, Versioned]] = defaultdict(dict)
        for item in listing.items:
            split = keys.split_job_key(item.key)
            if split is not None:
                parts[split[0]][split[1]] = item
            elif item.key == self._vacate_key:
                self._post_vacating(item.value)
        for job, values in parts.items():
            if keys.CANCEL in values:
                self._post_cancellation(job, values[keys.CANCEL].value)
            if keys.SPEC in values:
                record, cancel = self._records.get(job), keys.CANCEL in values
                spec = values[keys.SPEC]
                self._post_job(spec.value, spec.version, record, is_cancelled=cancel)
        self._cursor = WatchCursor(listing.at_version)
        self._confirmed_ms = sent_ms
        return True

    def _post_job(
        self, spec: bytes, version: int, record: bytes | None, *, is_cancelled: bool
    ) -> None:
        try:
            decoded = decode_spec(spec)
        except msgspec.MsgspecError as exc:
            self._context.log.event("job-unreadable", why=str(exc))
            return
        if not decoded.has_location:
            self._locations.add(decoded.id, version)
        self._post(JobFound(decoded, record, is_cancelled))

    def _post_cancellation(self, job: JobId, value: bytes) -> None:
        self._post(JobCancelled(job, early_cancellation_ms(value)))

    def _post_vacating(self, value: bytes) -> None:
        try:
            request = decode_vacate_request(value)
        except msgspec.MsgspecError as exc:
            self._context.log.event("vacating-unreadable", why=str(exc))
            return
        self._post(VacateRequested(frozenset(request.hosts), request.number))

    def _follow(self) -> None:
        while self._may_continue():
            if not run_step(self._context.log, "jobs", self.step, otherwise=False):
                self._pause.wait(RETRY_PAUSE_MS / 1_000)

    def step(self) -> bool:
        """Waits for changes once; returns whether it read."""
        sent_ms = steady_ms()
        batch = self._context.store.watch(
            self._prefix, after_version=self._cursor.version, timeout_ms=self._watch_ms
        )
        if isinstance(batch, Success):
            self._apply_events(batch.unwrap().events)
            self._cursor.advance(batch.unwrap(), steady_ms())
            self._confirmed_ms = sent_ms
            return self._locations.write()
        if isinstance(batch.failure(), Compacted):
            self._context.log.event("watch-compacted", prefix=self._prefix)
            return self._list()
        return False

    def _apply_events(self, events: tuple[WatchEvent, ...]) -> None:
        for event in events:
            if event.value is None:
                continue
            split = keys.split_job_key(event.key)
            if event.key == self._vacate_key:
                self._post_vacating(event.value)
            if split is None:
                continue
            if split[1] == keys.SPEC:
                self._post_job(event.value, event.version, None, is_cancelled=False)
            elif split[1] == keys.CANCEL:
                self._post_cancellation(split[0], event.value)
