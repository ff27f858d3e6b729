"""What the callers' interface does, independent of the HTTP server."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from returns.result import Failure

from ..backend.client import Payload
from ..domain.errors import Problem
from ..domain.ids import Millis, QueueName, RequestId
from ..domain.keys import Accepted, KeyRefusal, KeyRefused, authenticate, identify
from ..domain.requests.model import (
    OPEN_TEAM,
    Answered,
    NotRun,
    NotRunReason,
    Request,
    Unknown,
    WorkClass,
)
from . import replies
from .clock import now_ms
from .flights import Flight, FlightTable, fingerprint_of
from .results import ResultCache
from .rules import selects
from .submission import REQUEST_ID, Submission, parse_submission

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..domain.ids import TeamName
    from ..settings import Settings
    from .config_view import ConfigView
    from .replies import Reply
    from .request_ids import RequestIds
    from .request_task import Final, RequestTask
    from .shutdown import Readiness

BUSY_RETRY_MS = 500
NOT_READY_RETRY_MS = 1_000
LEAVING_RETRY_MS = 200
SPARE_THREADS = 4
"""Threads kept free, so that a full entry can still refuse at once."""

MAX_ASYNC_THREADS = 64

_KEY_REASONS = {
    KeyRefusal.NO_QUEUE: NotRunReason.QUEUE_UNKNOWN,
    KeyRefusal.NOT_SELECTED: NotRunReason.QUEUE_FORBIDDEN,
}


class CallerService:
    """Checks, runs and answers callers' requests.

    Args:
        cfg: Settings of the entry.
        view: Configuration in force.
        task: Runs requests.
        ids: Issues and checks request ids.
        readiness: Counts requests in flight.
    """

    def __init__(
        self,
        cfg: Settings,
        view: ConfigView,
        task: RequestTask,
        ids: RequestIds,
        readiness: Readiness,
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._task = task
        self._ids = ids
        self._readiness = readiness
        self._results = ResultCache(keep_ms=cfg.requests.result_keep_ms)
        self._flights = FlightTable(self._results)
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
        if not self._readiness.begin():
            return _refuse(NotRunReason.ENTRY_LEAVING, LEAVING_RETRY_MS)
        try:
            return self._admit(QueueName(queue), head, body, key)
        finally:
            self._readiness.end()

    def read_back(self, request_id: str, key: str | None) -> Reply:
        """Returns the final reply of a request while it is kept."""
        owner = self._owner(key)
        if isinstance(owner, KeyRefused):
            return _refuse_key(owner)
        team, wanted = owner.team, RequestId(request_id)
        if self._flights.find(team, wanted) is not None:
            return _accepted(request_id, status_text="in flight")
        kept = self._results.get((team, wanted), now_ms())
        return kept or _not_here(request_id)

    def cancel(self, request_id: str, key: str | None) -> Reply:
        """Cancels a request; whoever waits for it gets the final reply."""
        owner = self._owner(key)
        if isinstance(owner, KeyRefused):
            return _refuse_key(owner)
        if self._flights.find(owner.team, RequestId(request_id)) is None:
            return _not_here(request_id)
        self._task.cancel(owner.team, RequestId(request_id))
        return _accepted(request_id, status_text="cancelling")

    def issue_ids(self, count: str, key: str | None) -> Reply:
        """Issues ids whose requests only this run of the entry can start."""
        owner = self._owner(key)
        if isinstance(owner, KeyRefused):
            return _refuse_key(owner)
        return self._ids.issue_reply(owner.team, count)

    def stop(self) -> None:
        """Lets queued background requests end."""
        self._background.shutdown(wait=False)

    def _owner(self, key: str | None) -> Accepted | KeyRefused:
        if key is None:
            return Accepted(OPEN_TEAM, None)
        return identify(self._view.current, key)

    def _admit(
        self, queue: QueueName, head: Mapping[str, str], body: bytes, key: str | None
    ) -> Reply:
        config = self._view.current
        if config.revision == 0:
            return _refuse(NotRunReason.NOT_READY, NOT_READY_RETRY_MS)
        parsed = parse_submission(head, self._cfg.requests)
        if isinstance(parsed, Failure):
            return replies.malformed(parsed.failure())
        owner = authenticate(
            config, key, queue, selects=selects, config_age_ms=self._view.age_ms
        )
        if isinstance(owner, KeyRefused):
            return _refuse_key(owner)
        return self._take(owner.team, queue, parsed.unwrap(), body)

    def _take(
        self, team: TeamName, queue: QueueName, sub: Submission, body: bytes
    ) -> Reply:
        request_id = RequestId(sub.request_id or self._ids.issue_one(team))
        flight, is_first = self._flights.board(
            team, request_id, fingerprint_of(queue, body)
        )
        if not is_first:
            return self._join(flight, request_id, queue, body, sub)
        request = self._request(team, queue, request_id, sub)
        payload = Payload(sub.content_type, body)
        if sub.respond_async:
            self._background.submit(self._fly, request, payload)
            return _accepted(request_id, status_text="accepted")
        return self._fly(request, payload)

    def _join(
        self,
        flight: Flight,
        request_id: RequestId,
        queue: QueueName,
        body: bytes,
        sub: Submission,
    ) -> Reply:
        """Waits for the final reply of the same request, already in flight."""
        if flight.fingerprint != fingerprint_of(queue, body):
            return _id_reused()
        if sub.respond_async:
            return _accepted(request_id, status_text="in flight")
        flight.landed.wait(sub.deadline_ms / 1_000)
        return flight.reply or _accepted(request_id, status_text="in flight")

    def _fly(self, request: Request, payload: Payload) -> Reply:
        """Runs a request; everyone who joined it gets the same final reply."""
        reply = _refuse(NotRunReason.ENTRY_BUSY, BUSY_RETRY_MS)
        try:
            reply = self._run(request, payload)
        finally:
            self._flights.land(request.team, request.request_id, reply, now_ms())
        return reply

    def _run(self, request: Request, payload: Payload) -> Reply:
        if not self._callers.acquire(blocking=False):
            return _refuse(NotRunReason.ENTRY_BUSY, BUSY_RETRY_MS, request.request_id)
        try:
            return self._run_in_class(request, payload)
        finally:
            self._callers.release()

    def _run_in_class(self, request: Request, payload: Payload) -> Reply:
        if request.work_class is WorkClass.URGENT:
            return self._ids.run(request, payload, self._execute)
        if not self._patient.acquire(blocking=False):
            return _refuse(NotRunReason.ENTRY_BUSY, BUSY_RETRY_MS, request.request_id)
        try:
            return self._ids.run(request, payload, self._execute)
        finally:
            self._patient.release()

    def _execute(self, request: Request, payload: Payload) -> Reply:
        return _final_reply(request, self._task.submit(request, payload))

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
            pool=self._view.current.queues[queue].pool,
            work_class=sub.work_class,
            repeatable=sub.repeatable,
            accepted_ms=accepted_ms,
            deadline_ms=Millis(accepted_ms + sub.deadline_ms),
            needs=sub.needs,
        )


def _final_reply(request: Request, final: Final) -> Reply:
    match final.outcome:
        case Answered() if final.answer is not None:
            return replies.answered(request.request_id, final.answer)
        case NotRun() as outcome:
            return replies.not_run(outcome, request.request_id)
        case Unknown() as outcome:
            return replies.unknown(outcome, request.request_id)
    raise AssertionError("an answered outcome comes with its answer")


def _refuse(
    reason: NotRunReason, retry_after_ms: int | None, request_id: str | None = None
) -> Reply:
    outcome = NotRun(reason, retry_after_ms=retry_after_ms)
    return replies.not_run(outcome, request_id)


def _refuse_key(refused: KeyRefused) -> Reply:
    reason = _KEY_REASONS.get(refused.reason, NotRunReason.BAD_KEY)
    return replies.not_run(NotRun(reason, detail=refused.reason.value))


def _id_reused() -> Reply:
    fix = "choose another id for another request"
    what = "this id is in use for a request with another queue or body"
    problem = Problem("submit", "caller", what, REQUEST_ID, fix)
    return replies.malformed(problem, status=422)


def _accepted(request_id: str, *, status_text: str) -> Reply:
    return replies.accepted(request_id, status_text)


def _not_here(request_id: str) -> Reply:
    return replies.not_found(request_id)
