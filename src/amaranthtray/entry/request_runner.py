"""Runs requests on the threads of their callers, as the serving part decides.

The serving part handles one message at a time; a mailbox serialises them.
"""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from ..backend.client import Attempt, BackendAnswer, BackendClient, Payload
from ..domain.ids import AttemptId
from ..domain.requests.messages import (
    AttemptEnded,
    Cancel,
    Finish,
    NothingSent,
    SlotsFreed,
    StartAttempt,
    Submit,
    Tick,
)
from ..domain.requests.model import Answered, Outcome, Request
from ..domain.serving import (
    ConfigurationInForce,
    HostsListed,
    SendHostNews,
    SendReport,
    SendUsage,
    ServingEffect,
    ServingMessage,
)
from .clock import now_ms
from .mailbox import Mailbox

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import HostId, RequestId, TeamName, ZoneId
    from ..domain.inventory import Host
    from .observer import Observer
    from .recording import ServingHandler
    from .task_control import TaskControlClient

MIN_SLEEP_MS = 1
MAX_SLEEP_MS = 200
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Final outcome of a request, with the answer if there is one.

    Attributes:
        answer: Complete answer of the backend server; None unless the outcome is
            ``Answered``.
    """

    outcome: Outcome
    answer: BackendAnswer | None = None


@dataclass(frozen=True, slots=True)
class _SubmitMessage:
    """A request was submitted by the thread of this waiter."""

    request: Request
    waiter: _Waiter


ControlEffect: TypeAlias = SendReport | SendUsage | SendHostNews
"""Effects of the serving part that the control plane sends to other entries."""

_Message: TypeAlias = ServingMessage | _SubmitMessage
_Step: TypeAlias = StartAttempt | Finish


@dataclass(slots=True)
class _Waiter:
    """The thread of one caller, which also runs the attempts of its request.

    Attributes:
        steps: Steps for the thread to execute; the last one is ``Finish``.
        answers: Complete answers of the attempts that got one.
        attempt_id: Latest attempt; aborting one that has ended has no effect.
    """

    payload: Payload
    steps: queue.SimpleQueue[_Step] = field(default_factory=queue.SimpleQueue)
    answers: dict[AttemptId, BackendAnswer] = field(default_factory=dict)
    attempt_id: AttemptId | None = None


class RequestRunner:
    """Runs requests; any thread may call the methods.

    Args:
        serving: Decides which request runs when and where.
        client: Runs attempts.
        control: Sends control calls and lease renewals to backend servers.
        observer: Records attempts, outcomes and bugs.
        on_control_effect: Called with the effects that go to other entries.
    """

    def __init__(
        self,
        serving: ServingHandler,
        client: BackendClient,
        control: TaskControlClient,
        observer: Observer,
        *,
        on_control_effect: Callable[[ControlEffect], None],
    ) -> None:
        self._serving = serving
        self._client = client
        self._control = control
        self._observer = observer
        self._on_control = on_control_effect
        self._mailbox: Mailbox[_Message] = Mailbox(
            self._handle, on_error=observer.log_fault
        )
        self._waiters: dict[tuple[TeamName, RequestId], _Waiter] = {}
        self._hosts: dict[HostId, Host] = {}
        self._evacuated_zones: frozenset[ZoneId] = frozenset()
        self._stopping = threading.Event()
        self._wake_earlier = threading.Event()
        self._wake_at_ms = 0
        self._due_ms = 0
        self._timer = threading.Thread(target=self._run_timer, name="request-timer")
        self._timer.daemon = True

    def start(self) -> None:
        """Starts the timer."""
        self._timer.start()

    def stop(self) -> None:
        """Stops the timer."""
        self._stopping.set()
        self._wake_earlier.set()

    def submit(self, request: Request, payload: Payload) -> RequestResult:
        """Runs a request on the calling thread and returns its result."""
        waiter = _Waiter(payload)
        self._mailbox.post(_SubmitMessage(request, waiter))
        while True:
            match waiter.steps.get():
                case StartAttempt() as start:
                    self._run_attempt(waiter, start)
                case Finish(outcome=outcome):
                    return _to_result(waiter, outcome)

    def cancel(self, team: TeamName, request_id: RequestId) -> None:
        """Cancels a request if it is in flight at this entry."""
        self._mailbox.post(Cancel(team, request_id))

    def post(self, message: ServingMessage) -> None:
        """Passes a message to the serving part."""
        self._mailbox.post(message)

    def free_slots(self, host: HostId, attempt_ids: tuple[AttemptId, ...]) -> None:
        """Records that these attempts no longer run on the host."""
        self._mailbox.post(SlotsFreed(host, attempt_ids))

    def _run_attempt(self, waiter: _Waiter, start: StartAttempt) -> None:
        """Runs one attempt on the caller's thread and reports its result."""
        host = self._hosts.get(start.host)
        now = now_ms()
        timeout_ms = start.give_up_ms - now
        if host is None or timeout_ms <= 0 or now > start.send_by_ms:
            self._withhold(start, "too late to send")
            return
        if host.zone in self._evacuated_zones:
            self._observer.record_withheld_attempt()
            self._withhold(start, "the host's zone is evacuated")
            return
        report = self._client.run(
            Attempt(
                attempt_id=start.attempt_id,
                request=start.request,
                payload=waiter.payload,
                host=host,
                timeout_ms=timeout_ms,
                send_within_ms=start.send_by_ms - now,
                lease_ms=start.lease_ttl_ms,
                resumes=start.resumes,
            )
        )
        if report.answer is not None:
            waiter.answers[start.attempt_id] = report.answer
        ended = AttemptEnded(start.attempt_id, report.result, report.free_slots)
        self._mailbox.post(ended)

    def _withhold(self, start: StartAttempt, reason: str) -> None:
        """Ends an attempt of which nothing was sent, so that it starts elsewhere."""
        self._client.unregister(start.attempt_id)
        not_sent = NothingSent(reason, is_host_fault=False)
        self._mailbox.post(AttemptEnded(start.attempt_id, not_sent))

    def _handle(self, message: _Message) -> None:
        now = now_ms()
        match message:
            case _SubmitMessage(request=request, waiter=waiter):
                self._waiters[request.team, request.request_id] = waiter
                effects = self._serving.handle(Submit(request), now)
            case HostsListed(by_pool=by_pool):
                listed = [host for hosts in by_pool.values() for host in hosts]
                self._hosts = {host.host_id: host for host in listed}
                effects = self._serving.handle(message, now)
            case ConfigurationInForce(evacuated_zones=zones):
                self._evacuated_zones = frozenset(zones)
                effects = self._serving.handle(message, now)
            case _:
                effects = self._serving.handle(message, now)
        for effect in effects:
            self._apply_effect(effect)
        # A copy for the timer: only the mailbox's handler may use the serving part.
        self._due_ms = self._serving.next_wake_ms()
        if self._due_ms < self._wake_at_ms:
            self._wake_earlier.set()

    def _apply_effect(self, effect: ServingEffect) -> None:
        match effect:
            case StartAttempt(request=request, attempt_id=attempt_id):
                waiter = self._waiters[request.team, request.request_id]
                waiter.attempt_id = attempt_id
                self._client.register(attempt_id)
                self._observer.record_attempt(request)
                waiter.steps.put(effect)
            case Finish(request=request):
                self._finish(request, effect)
            case SendReport() | SendUsage() | SendHostNews():
                self._on_control(effect)
            case _:
                self._control.run(effect, self._hosts.get(effect.host))

    def _finish(self, request: Request, finish: Finish) -> None:
        waiter = self._waiters.pop((request.team, request.request_id))
        self._observer.record_outcome(request, finish.outcome)
        waiter.steps.put(finish)
        if waiter.attempt_id is not None:
            self._client.abort(waiter.attempt_id)

    def _run_timer(self) -> None:
        while not self._stopping.is_set():
            now = now_ms()
            if self._due_ms <= now:
                self._mailbox.post(Tick())
            # While another thread still has to handle the tick, the due time is past.
            sleep_ms = min(max(self._due_ms - now, MIN_SLEEP_MS), MAX_SLEEP_MS)
            self._wake_at_ms = now + sleep_ms
            self._wake_earlier.wait(sleep_ms / MS_PER_S)
            self._wake_earlier.clear()


def _to_result(waiter: _Waiter, outcome: Outcome) -> RequestResult:
    if isinstance(outcome, Answered):
        return RequestResult(outcome, waiter.answers[outcome.attempt_id])
    return RequestResult(outcome)
