"""What the callers' interface does, independent of the HTTP server."""

from __future__ import annotations

import itertools
import secrets
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure

from ..backend.client import Payload
from ..domain.errors import Problem
from ..domain.ids import Millis, QueueName, RequestId, TeamName
from ..domain.keys import Accepted, KeyRefusal, KeyRefused, authenticate, identify
from ..domain.requests.model import (
    OPEN_TEAM,
    NotRun,
    NotRunReason,
    Request,
    Unknown,
    UnknownReason,
    WorkClass,
)
from ..domain.requests.tracked_request import RequestKey
from ..settings import Settings
from . import replies
from .clock import now_ms
from .config_view import ConfigView
from .fingerprints import fingerprint_of
from .idempotent_runner import IdempotentRunner, SubmittedRequest
from .observer import Observer
from .rules import matches_selector
from .shutdown import Readiness
from .submission import Submission, parse_submission
from .ttl_cache import TtlCache

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .replies import Reply

BUSY_RETRY_MS = 500
NOT_READY_RETRY_MS = 1_000
LEAVING_RETRY_MS = 200
SPARE_THREADS = 4
"""Threads kept free, so that a full entry can still refuse at once."""

MAX_ASYNC_THREADS = 64
UNNAMED_BYTES = 4
MAX_IDS_PER_CALL = 1_000
MAX_COUNT_DIGITS = 4

_KEY_REASONS = {
    KeyRefusal.NO_QUEUE: NotRunReason.QUEUE_UNKNOWN,
    KeyRefusal.NOT_SELECTED: NotRunReason.QUEUE_FORBIDDEN,
}


@dataclass(frozen=True, slots=True)
class CallerContext:
    """What the callers' interface works with.

    Attributes:
        view: Configuration in force.
        table: Runs each request once.
        readiness: Counts requests in flight.
        observer: Is told of what is accepted and refused.
    """

    settings: Settings
    view: ConfigView
    table: IdempotentRunner
    readiness: Readiness
    observer: Observer


class CallerService:
    """Checks, runs and answers callers' requests.

    Args:
        services: What it works with.
    """

    def __init__(self, services: CallerContext) -> None:
        self._with = services
        cfg = services.settings
        self._results: TtlCache[Reply] = TtlCache(ttl_ms=cfg.requests.result_keep_ms)
        self._unnamed = f"{cfg.entry.id}.{secrets.token_hex(UNNAMED_BYTES)}."
        self._numbers = itertools.count(1)
        busy = cfg.entry.threads - SPARE_THREADS
        self._callers = threading.BoundedSemaphore(max(1, busy))
        self._patient = threading.BoundedSemaphore(cfg.entry.patient_threads)
        workers = min(MAX_ASYNC_THREADS, cfg.entry.patient_threads)
        self._background = ThreadPoolExecutor(workers, thread_name_prefix="async")

    def submit(
        self, queue: str, head: Mapping[str, str], body: bytes, key: str | None
    ) -> Reply:
        """Runs a request and returns the final reply.

        Args:
            queue: Queue named in the path.
            head: HTTP header fields.
            body: Body, read whole.
            key: Bearer key, if one was sent.
        """
        if not self._with.readiness.begin():
            return _refuse(NotRunReason.ENTRY_LEAVING, LEAVING_RETRY_MS)
        try:
            return self._admit(QueueName(queue), head, body, key)
        finally:
            self._with.readiness.end()

    def read_back(self, request_id: str, key: str | None) -> Reply:
        """Returns the final reply of a request while it is kept."""
        owner = self._owner(key)
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        wanted = RequestKey(owner.team, RequestId(request_id))
        if self._with.table.is_in_flight(wanted):
            return replies.accepted(request_id, "in flight")
        kept = self._results.get(wanted, now_ms())
        return kept or replies.not_found(request_id)

    def cancel(self, request_id: str, key: str | None) -> Reply:
        """Cancels a request; whoever waits for it gets the final reply."""
        owner = self._owner(key)
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        wanted = RequestKey(owner.team, RequestId(request_id))
        if not self._with.table.is_in_flight(wanted):
            return replies.not_found(request_id)
        self._with.table.cancel(wanted)
        return replies.accepted(request_id, "cancelling")

    def issue_ids(self, count: str, key: str | None) -> Reply:
        """Issues ids whose requests only this run of the entry can start."""
        owner = self._owner(key)
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        number = _count(count)
        if number is None:
            return _bad_count(count)
        issued = self._with.table.issue(owner.team, number)
        return replies.ids(list(issued))

    def stop(self) -> None:
        """Takes no more background requests."""
        self._background.shutdown(wait=False)

    def _owner(self, key: str | None) -> Accepted | KeyRefused:
        if key is None:
            return Accepted(OPEN_TEAM, None)
        return identify(self._with.view.current, key)

    def _admit(
        self, queue: QueueName, head: Mapping[str, str], body: bytes, key: str | None
    ) -> Reply:
        config = self._with.view.current
        if config.revision == 0:
            return _refuse(NotRunReason.NOT_READY, NOT_READY_RETRY_MS)
        parsed = parse_submission(head, self._with.settings.requests)
        if isinstance(parsed, Failure):
            return replies.malformed(parsed.failure())
        owner = authenticate(
            config,
            key,
            queue,
            selects=matches_selector,
            config_age_ms=self._with.view.age_ms,
        )
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        self._with.observer.request_accepted()
        return self._take(owner.team, queue, parsed.unwrap(), body)

    def _take(
        self, team: TeamName, queue: QueueName, sub: Submission, body: bytes
    ) -> Reply:
        is_unnamed = sub.request_id is None and not sub.respond_async
        request_id = sub.request_id or self._new_id(team, is_unnamed=is_unnamed)
        request = self._request(team, queue, RequestId(request_id), sub)
        work = SubmittedRequest(
            request=request,
            payload=Payload(sub.content_type, body, fingerprint_of(request, body)),
            submission=sub.number,
            is_named=not is_unnamed,
        )
        if sub.respond_async:
            self._begin_background(work)
            return replies.accepted(request_id, "accepted")
        return self._run(work)

    def _new_id(self, team: TeamName, *, is_unnamed: bool) -> str:
        """Returns an id; one that no caller gets to know needs no record."""
        if is_unnamed:
            return f"{self._unnamed}{next(self._numbers)}"
        return self._with.table.issue(team)[0]

    def _begin_background(self, work: SubmittedRequest) -> None:
        """Counts the request in until it is over, so that a shutdown waits for it."""
        self._with.readiness.begin()
        self._background.submit(self._run_in_background, work)

    def _run_in_background(self, work: SubmittedRequest) -> None:
        try:
            self._run(work)
        finally:
            self._with.readiness.end()

    def _run(self, work: SubmittedRequest) -> Reply:
        """Runs a request if a thread may be spent on it, and keeps its reply."""
        classes = [self._callers]
        if work.request.work_class is WorkClass.PATIENT:
            classes.append(self._patient)
        taken: list[threading.BoundedSemaphore] = []
        try:
            for limit in classes:
                if not limit.acquire(blocking=False):
                    return self._kept(work, _busy(work))
                taken.append(limit)
            return self._kept(work, self._execute(work))
        finally:
            for limit in taken:
                limit.release()

    def _execute(self, work: SubmittedRequest) -> Reply:
        result = self._with.table.submit(work)
        if isinstance(result, Problem):
            return replies.malformed(result, status=422)
        return replies.final(work.request.request_id, result)

    def _kept(self, work: SubmittedRequest, reply: Reply) -> Reply:
        """Keeps a final reply, so that it can be read back."""
        if work.is_named:
            self._results.put(work.key, reply, len(reply.body), now_ms())
        return reply

    def _request(
        self,
        team: TeamName,
        queue: QueueName,
        request_id: RequestId,
        sub: Submission,
    ) -> Request:
        accepted_ms = now_ms()
        return Request(
            request_id=request_id,
            team=team,
            queue=queue,
            pool=self._with.view.current.queues[queue].pool,
            work_class=sub.work_class,
            repeatable=sub.repeatable,
            accepted_ms=accepted_ms,
            deadline_ms=Millis(accepted_ms + sub.deadline_ms),
            needs=sub.needs,
        )

    def _refuse_key(self, refused: KeyRefused) -> Reply:
        self._with.observer.key_refused(refused)
        reason = _KEY_REASONS.get(refused.reason, NotRunReason.BAD_KEY)
        return replies.not_run(NotRun(reason, detail=refused.reason.value))


def _refuse(
    reason: NotRunReason, retry_after_ms: int | None, request_id: str | None = None
) -> Reply:
    outcome = NotRun(reason, retry_after_ms=retry_after_ms)
    return replies.not_run(outcome, request_id)


def _busy(work: SubmittedRequest) -> Reply:
    """Returns the refusal of an entry that has no thread to spare.

    A copy of unrepeatable work may have run before; its id was not looked up.
    """
    request = work.request
    if work.is_named and not request.repeatable:
        detail = "the entry is busy and did not look the id up"
        outcome = Unknown(UnknownReason.NOT_LOOKED_UP, detail, BUSY_RETRY_MS)
        return replies.unknown(outcome, request.request_id)
    return _refuse(NotRunReason.ENTRY_BUSY, BUSY_RETRY_MS, request.request_id)


def _count(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS
    if not is_number or not 1 <= int(text) <= MAX_IDS_PER_CALL:
        return None
    return int(text)


def _bad_count(count: str) -> Reply:
    fix = f"send a whole number from 1 to {MAX_IDS_PER_CALL}"
    what = f"{count[:20]!r} is no such number"
    return replies.malformed(Problem("issue-ids", "caller", what, "count", fix))
