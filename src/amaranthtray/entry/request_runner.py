"""The task that owns the serving of requests and hands it messages in order."""

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

    from ..domain.ids import HostId, RequestId, TeamName
    from ..domain.inventory import Host
    from .observer import Observer
    from .recording import ServingHandler
    from .task_control import TaskControlClient

LONGEST_SLEEP_MS = 200
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class RequestResult:
    """What a caller's thread gets back.

    Attributes:
        answer: The backend server's whole answer when the outcome is ``Answered``.
    """

    outcome: Outcome
    answer: BackendAnswer | None = None


@dataclass(frozen=True, slots=True)
class _Admit:
    """A request and the thread that waits for it."""

    request: Request
    waiter: _Waiter


ControlEffect: TypeAlias = SendReport | SendUsage | SendHostNews
"""What the serving part sends to other entries through the control part."""

_Message: TypeAlias = ServingMessage | _Admit
_Step: TypeAlias = StartAttempt | Finish


@dataclass(slots=True)
class _Waiter:
    """The thread of one caller, which also runs the attempts of its request."""

    payload: Payload
    steps: queue.SimpleQueue[_Step] = field(default_factory=queue.SimpleQueue)
    answers: dict[AttemptId, BackendAnswer] = field(default_factory=dict)
    attempt_id: AttemptId | None = None  # the latest; aborting an ended one is void


class RequestRunner:
    """Runs requests; every method may be called from any thread.

    Args:
        serving: The decisions.
        client: Runs attempts.
        control: Sends control calls and lease renewals to backend servers.
        observer: Is told of starts, outcomes and faults.
        on_control_effect: Takes reports and usage sums that go to other entries.
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
        self._stopping = threading.Event()
        self._woken = threading.Event()
        self._sleeps_until_ms = 0
        self._timer = threading.Thread(target=self._tick, name="request-timer")
        self._timer.daemon = True

    def start(self) -> None:
        """Starts the timer."""
        self._timer.start()

    def stop(self) -> None:
        """Stops the timer."""
        self._stopping.set()
        self._woken.set()

    def submit(self, request: Request, payload: Payload) -> RequestResult:
        """Runs a request on the calling thread and returns its final outcome."""
        waiter = _Waiter(payload)
        self._mailbox.post(_Admit(request, waiter))
        while True:
            match waiter.steps.get():
                case StartAttempt() as start:
                    self._attempt(waiter, start)
                case Finish(outcome=outcome):
                    return _final(waiter, outcome)

    def cancel(self, team: TeamName, request_id: RequestId) -> None:
        """Cancels a request if it is in flight here."""
        self._mailbox.post(Cancel(team, request_id))

    def post(self, message: ServingMessage) -> None:
        """Hands over a message that needs no reply."""
        self._mailbox.post(message)

    def free_slots(self, host: HostId, attempt_ids: tuple[AttemptId, ...]) -> None:
        """Records that these attempts run on the host no longer."""
        self._mailbox.post(SlotsFreed(host, attempt_ids))

    def _attempt(self, waiter: _Waiter, start: StartAttempt) -> None:
        """Runs one attempt on the caller's thread and reports its end."""
        host = self._hosts.get(start.host)
        now = now_ms()
        timeout_ms = start.give_up_ms - now
        if host is None or timeout_ms <= 0 or now > start.send_by_ms:
            self._client.forget(start.attempt_id)
            late = NothingSent("too late to send", is_host_fault=False)
            self._mailbox.post(AttemptEnded(start.attempt_id, late))
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

    def _handle(self, message: _Message) -> None:
        now = now_ms()
        match message:
            case _Admit(request=request, waiter=waiter):
                self._waiters[request.team, request.request_id] = waiter
                effects = self._serving.handle(Submit(request), now)
            case HostsListed(by_pool=by_pool):
                listed = [host for held in by_pool.values() for host in held]
                self._hosts = {host.host_id: host for host in listed}
                effects = self._serving.handle(message, now)
            case _:
                effects = self._serving.handle(message, now)
        for effect in effects:
            self._dispatch(effect)
        if self._serving.next_wake_ms() < self._sleeps_until_ms:
            self._woken.set()

    def _dispatch(self, effect: ServingEffect) -> None:
        match effect:
            case StartAttempt(request=request, attempt_id=attempt_id):
                waiter = self._waiters[request.team, request.request_id]
                waiter.attempt_id = attempt_id
                self._client.begin(attempt_id)
                self._observer.attempt_started(request)
                waiter.steps.put(effect)
            case Finish(request=request):
                self._finish(request, effect)
            case SendReport() | SendUsage() | SendHostNews():
                self._on_control(effect)
            case _:
                self._control.run(effect, self._hosts.get(effect.host))

    def _finish(self, request: Request, finish: Finish) -> None:
        waiter = self._waiters.pop((request.team, request.request_id))
        self._observer.request_finished(request, finish.outcome)
        waiter.steps.put(finish)
        if waiter.attempt_id is not None:
            self._client.abort(waiter.attempt_id)

    def _tick(self) -> None:
        while not self._stopping.is_set():
            now = now_ms()
            sleep_ms = min(LONGEST_SLEEP_MS, self._serving.next_wake_ms() - now)
            if sleep_ms <= 0:
                self._mailbox.post(Tick())
                continue
            self._sleeps_until_ms = now + sleep_ms
            self._woken.wait(sleep_ms / MS_PER_S)
            self._woken.clear()


def _final(waiter: _Waiter, outcome: Outcome) -> RequestResult:
    if isinstance(outcome, Answered):
        return RequestResult(outcome, waiter.answers[outcome.attempt_id])
    return RequestResult(outcome)
