"""Handles callers' requests, independent of the HTTP server."""

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
from ..domain.keys import (
    CallerIdentity,
    KeyRefusalReason,
    KeyRefused,
    authenticate,
    identify_caller,
)
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
RESERVED_THREADS = 4
"""Threads that no request may hold, so that a full entry still refuses at once."""

MAX_ASYNC_THREADS = 64
PRIVATE_ID_BYTES = 4
MAX_IDS_PER_CALL = 1_000
MAX_COUNT_DIGITS = 4

_NOT_RUN_REASONS = {
    KeyRefusalReason.NO_QUEUE: NotRunReason.QUEUE_UNKNOWN,
    KeyRefusalReason.NOT_SELECTED: NotRunReason.QUEUE_FORBIDDEN,
}


@dataclass(frozen=True, slots=True)
class CallerContext:
    """The environment of ``CallerService``.

    Attributes:
        view: Configuration in force.
        runner: Runs each request at most once.
        readiness: Phase of the entry; counts the requests in flight.
        observer: Counts accepted requests and refused keys.
    """

    settings: Settings
    view: ConfigView
    runner: IdempotentRunner
    readiness: Readiness
    observer: Observer


class CallerService:
    """Validates, runs and answers callers' requests.

    Args:
        context: Settings, configuration and the objects that run requests.
    """

    def __init__(self, context: CallerContext) -> None:
        self._context = context
        cfg = context.settings
        self._stored_replies: TtlCache[Reply] = TtlCache(
            ttl_ms=cfg.requests.result_keep_ms
        )
        self._private_id_prefix = (
            f"{cfg.entry.id}.{secrets.token_hex(PRIVATE_ID_BYTES)}."
        )
        self._private_id_numbers = itertools.count(1)
        max_waiting = cfg.entry.threads - RESERVED_THREADS
        self._waiting_threads = threading.BoundedSemaphore(max(1, max_waiting))
        self._patient_threads = threading.BoundedSemaphore(cfg.entry.patient_threads)
        async_threads = min(MAX_ASYNC_THREADS, cfg.entry.patient_threads)
        self._async_executor = ThreadPoolExecutor(
            async_threads, thread_name_prefix="async"
        )

    def submit(
        self, queue: str, headers: Mapping[str, str], body: bytes, key: str | None
    ) -> Reply:
        """Runs a request and returns the reply, which is final unless it runs async.

        Args:
            queue: Queue named in the path.
            headers: HTTP header fields.
            body: Complete body.
            key: Bearer key; None if none was sent.
        """
        if not self._context.readiness.begin_request():
            return _refuse(NotRunReason.ENTRY_LEAVING, LEAVING_RETRY_MS)
        try:
            return self._check_and_submit(QueueName(queue), headers, body, key)
        finally:
            self._context.readiness.end_request()

    def read_back(self, request_id: str, key: str | None) -> Reply:
        """Returns the stored reply of a request, or its state if it is in flight."""
        owner = self._identify(key)
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        request_key = RequestKey(owner.team, RequestId(request_id))
        if self._context.runner.is_in_flight(request_key):
            return replies.accepted(request_id, "in flight")
        stored = self._stored_replies.get(request_key, now_ms())
        return stored or replies.not_found(request_id)

    def cancel(self, request_id: str, key: str | None) -> Reply:
        """Cancels a request; the callers that wait for it get the final reply."""
        owner = self._identify(key)
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        request_key = RequestKey(owner.team, RequestId(request_id))
        if not self._context.runner.is_in_flight(request_key):
            return replies.not_found(request_id)
        self._context.runner.cancel(request_key)
        return replies.accepted(request_id, "cancelling")

    def issue_ids(self, count: str, key: str | None) -> Reply:
        """Issues ids; only this incarnation of the entry can run their requests."""
        owner = self._identify(key)
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        parsed_count = _parse_count(count)
        if parsed_count is None:
            return _refuse_count(count)
        request_ids = self._context.runner.issue(owner.team, parsed_count)
        return replies.ids(list(request_ids))

    def stop(self) -> None:
        """Accepts no more asynchronous requests."""
        self._async_executor.shutdown(wait=False)

    def _identify(self, key: str | None) -> CallerIdentity | KeyRefused:
        if key is None:
            return CallerIdentity(OPEN_TEAM, None)
        return identify_caller(self._context.view.current, key)

    def _check_and_submit(
        self, queue: QueueName, headers: Mapping[str, str], body: bytes, key: str | None
    ) -> Reply:
        config = self._context.view.current
        if config.revision == 0:
            return _refuse(NotRunReason.NOT_READY, NOT_READY_RETRY_MS)
        parsed = parse_submission(headers, self._context.settings.requests)
        if isinstance(parsed, Failure):
            return replies.malformed(parsed.failure())
        owner = authenticate(
            config,
            key,
            queue,
            matches_selector=matches_selector,
            config_age_ms=self._context.view.age_ms,
        )
        if isinstance(owner, KeyRefused):
            return self._refuse_key(owner)
        self._context.observer.record_accepted()
        return self._submit(owner.team, queue, parsed.unwrap(), body)

    def _submit(
        self, team: TeamName, queue: QueueName, sub: Submission, body: bytes
    ) -> Reply:
        has_private_id = sub.request_id is None and not sub.respond_async
        request_id = sub.request_id or self._new_id(team, has_private_id=has_private_id)
        request = self._make_request(team, queue, RequestId(request_id), sub)
        submitted = SubmittedRequest(
            request=request,
            payload=Payload(sub.content_type, body, fingerprint_of(request, body)),
            submission=sub.number,
            has_known_id=not has_private_id,
        )
        if sub.respond_async:
            self._run_async(submitted)
            return replies.accepted(request_id, "accepted")
        return self._run(submitted)

    def _new_id(self, team: TeamName, *, has_private_id: bool) -> str:
        """Returns a new id.

        A private id needs no record: no caller learns it before the outcome, so no
        copy of its request can arrive.
        """
        if has_private_id:
            return f"{self._private_id_prefix}{next(self._private_id_numbers)}"
        return self._context.runner.issue(team)[0]

    def _run_async(self, submitted: SubmittedRequest) -> None:
        """Starts the request, counted as in flight so that a shutdown waits for it."""
        self._context.readiness.begin_request()
        self._async_executor.submit(self._run_counted, submitted)

    def _run_counted(self, submitted: SubmittedRequest) -> None:
        try:
            self._run(submitted)
        finally:
            self._context.readiness.end_request()

    def _run(self, submitted: SubmittedRequest) -> Reply:
        """Runs a request if the thread limits allow it, and stores its reply."""
        limits = [self._waiting_threads]
        if submitted.request.work_class is WorkClass.PATIENT:
            limits.append(self._patient_threads)
        acquired: list[threading.BoundedSemaphore] = []
        try:
            for limit in limits:
                if not limit.acquire(blocking=False):
                    return self._store_reply(submitted, _refuse_as_busy(submitted))
                acquired.append(limit)
            return self._store_reply(submitted, self._execute(submitted))
        finally:
            for limit in acquired:
                limit.release()

    def _execute(self, submitted: SubmittedRequest) -> Reply:
        result = self._context.runner.submit(submitted)
        if isinstance(result, Problem):
            return replies.malformed(result, status=422)
        return replies.final(submitted.request.request_id, result)

    def _store_reply(self, submitted: SubmittedRequest, reply: Reply) -> Reply:
        """Stores a final reply, so that it can be read back, and returns it."""
        if submitted.has_known_id:
            self._stored_replies.put(submitted.key, reply, len(reply.body), now_ms())
        return reply

    def _make_request(
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
            pool=self._context.view.current.queues[queue].pool,
            work_class=sub.work_class,
            repeatable=sub.repeatable,
            accepted_ms=accepted_ms,
            deadline_ms=Millis(accepted_ms + sub.deadline_ms),
            needs=sub.needs,
        )

    def _refuse_key(self, refused: KeyRefused) -> Reply:
        self._context.observer.record_refused_key(refused)
        reason = _NOT_RUN_REASONS.get(refused.reason, NotRunReason.BAD_KEY)
        return replies.not_run(NotRun(reason, detail=refused.reason.value))


def _refuse(
    reason: NotRunReason, retry_after_ms: int | None, request_id: str | None = None
) -> Reply:
    outcome = NotRun(reason, retry_after_ms=retry_after_ms)
    return replies.not_run(outcome, request_id)


def _refuse_as_busy(submitted: SubmittedRequest) -> Reply:
    """Returns the refusal of a request for which no thread is free.

    The outcome of unrepeatable work is ``Unknown`` if the id may be in use: a copy may
    have run before, and the id was not looked up.
    """
    request = submitted.request
    if submitted.has_known_id and not request.repeatable:
        detail = "the entry is busy and did not look the id up"
        outcome = Unknown(UnknownReason.NOT_LOOKED_UP, detail, BUSY_RETRY_MS)
        return replies.unknown(outcome, request.request_id)
    return _refuse(NotRunReason.ENTRY_BUSY, BUSY_RETRY_MS, request.request_id)


def _parse_count(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS
    if not is_number or not 1 <= int(text) <= MAX_IDS_PER_CALL:
        return None
    return int(text)


def _refuse_count(count: str) -> Reply:
    fix = f"send a whole number from 1 to {MAX_IDS_PER_CALL}"
    what = f"{count[:20]!r} is no such number"
    return replies.malformed(Problem("issue-ids", "caller", what, "count", fix))
