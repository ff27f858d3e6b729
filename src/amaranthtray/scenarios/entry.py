"""A virtual entry: the real decision logic with messages instead of threads."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from ..domain.ids import EntryId, Incarnation, Millis, ZoneId
from ..domain.invariants import KeyAccepted, RequestAccepted, RequestCut
from ..domain.keys import CallerIdentity, KeyRefusalReason, KeyRefused, authenticate
from ..domain.requests.idempotency import IdempotencyTable
from ..domain.requests.idempotency_messages import (
    CallerRef,
    CancelRequested,
    CancelWork,
    Claim,
    ClaimEnded,
    CreateClaim,
    Forward,
    ForwardEnded,
    ReadClaim,
    Reject,
    Reply,
    StartWork,
    Submitted,
    WorkEnded,
)
from ..domain.requests.ids import Home
from ..domain.requests.messages import (
    AttemptEnded,
    Cancel,
    CheckpointTask,
    Finish,
    NothingSent,
    RenewLeases,
    SlotsFreed,
    StartAttempt,
    StopTask,
    Submit,
    Tick,
    TimedOut,
)
from ..domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Request,
)
from ..domain.requests.tracked_request import RequestKey
from ..domain.serving import (
    LeaveBegun,
    SendHostNews,
    SendReport,
    SendUsage,
    Serving,
    ServingContext,
)
from ..entry.claims import ClaimStore
from ..entry.rules import matches_selector
from .conducting import VirtualConductors
from .control import VirtualControl
from .links import VirtualLinks
from .simulated_request import NoOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import AttemptId
    from ..domain.requests.idempotency_messages import (
        IdempotencyEffect,
        IdempotencyMessage,
    )
    from ..domain.requests.messages import AttemptResult
    from ..domain.serving import ServingEffect, ServingMessage
    from .simulated_request import ReplyCallback, SimulatedRequest
    from .world import World

CLAIM_RETENTION_MS = 86_400_000
SEND_MS = 1
LEAVE_GRACE_MS = 30_000
IDLE_POLL_MS = 50
OUTAGE_POLL_MS = 1_000

KEY_REASONS = {
    KeyRefusalReason.NO_QUEUE: NotRunReason.QUEUE_UNKNOWN,
    KeyRefusalReason.NOT_SELECTED: NotRunReason.QUEUE_FORBIDDEN,
}


class VirtualEntry:
    """One incarnation of an entry.

    Attributes:
        is_ready: Whether the load balancer sends callers here.
    """

    def __init__(self, world: World, name: str, zone: str, run: int) -> None:
        self.world = world
        self.name = EntryId(name)
        self.zone = ZoneId(zone)
        self.incarnation = Incarnation(f"{name}-{run}")
        self.rng = random.Random(f"{world.seed}/{self.incarnation}")
        context = ServingContext(self.name, self.incarnation, self.zone, self.rng)
        self.serving = Serving(context)
        self.table = IdempotencyTable(Home(self.zone, self.name, self.incarnation))
        self.is_alive = True
        self.is_paused = False
        self.is_ready = True
        self._inbox: list[Callable[[], None]] = []
        self._next_wake_ms: int | None = None
        self._requests: dict[RequestKey, SimulatedRequest] = {}
        self._waiters: dict[CallerRef, ReplyCallback] = {}
        self._open_attempts: set[AttemptId] = set()
        self._last_ref = 0
        self._leave_by_ms = 0
        self.links = VirtualLinks(world, self)
        self.control = VirtualControl(world, self)
        self.conductors = VirtualConductors(world, self)
        self._claims = ClaimStore(
            self.control.store,
            retention_ms=CLAIM_RETENTION_MS,
            clock=lambda: world.now_ms,
        )

    # -- lifecycle --------------------------------------------------------------

    def run(self, act: Callable[[], None]) -> None:
        """Runs ``act`` now, after a pause, or never if the entry has ended."""
        if not self.is_alive:
            return
        if self.is_paused:
            self._inbox.append(act)
            return
        act()
        self._schedule_wake()

    def resume(self) -> None:
        """Ends a pause and runs in order what arrived during it."""
        self.is_paused = False
        inbox, self._inbox = self._inbox, []
        for act in inbox:
            self.run(act)
        self._schedule_wake()

    def kill(self) -> None:
        """Ends this incarnation at once; the connections of its callers break."""
        self.is_alive = self.is_ready = False
        self.links.close_all()
        waiters, self._waiters = self._waiters, {}
        for reply in waiters.values():
            reply(NoOutcome.BROKEN)

    def leave(self) -> None:
        """Begins a graceful shutdown."""
        self.is_ready = False
        self._leave_by_ms = self.world.now_ms + LEAVE_GRACE_MS
        self._leave_when_idle()

    def _leave_when_idle(self) -> None:
        is_idle = not self.serving.dispatcher.in_flight and not self._waiters
        if not is_idle and self.world.now_ms < self._leave_by_ms:
            self.world.clock.after(
                IDLE_POLL_MS, lambda: self.run(self._leave_when_idle)
            )
            return
        self.handle(LeaveBegun())
        self.handle(Tick())
        self._stay_while_needed()

    def _stay_while_needed(self) -> None:
        """Stays as steward or follower while the store is unavailable."""
        if self.world.now_ms < self._leave_by_ms and not self.control.may_leave():
            check_again = partial(self.run, self._stay_while_needed)
            self.world.clock.after(OUTAGE_POLL_MS, check_again)
            return
        for key in self._requests:
            cut = RequestCut(self.world.now_ms, self.name, key.request_id)
            self.world.history.observe(cut)
        self.world.clock.after(IDLE_POLL_MS, self._stop)

    def _stop(self) -> None:
        self.control.stop()
        self.conductors.stop()
        self.kill()
        self.world.observer.update_reachability()

    def _schedule_wake(self) -> None:
        wake_ms = max(self.serving.next_wake_ms(), self.world.now_ms + 1)
        if self._next_wake_ms is not None and self._next_wake_ms <= wake_ms:
            return
        self._next_wake_ms = wake_ms
        self.world.clock.after(wake_ms - self.world.now_ms, lambda: self._wake(wake_ms))

    def _wake(self, scheduled_ms: int) -> None:
        if self._next_wake_ms == scheduled_ms:
            self._next_wake_ms = None
            self.run(lambda: self.handle(Tick()))

    # -- requests ---------------------------------------------------------------

    def submit(self, simulated: SimulatedRequest, reply: ReplyCallback) -> None:
        """Authenticates and accepts a caller's request."""
        owner = authenticate(
            self.control.cfg,
            simulated.key_text,
            simulated.queue,
            matches_selector=matches_selector,
            config_age_ms=self.control.config_age_ms,
        )
        if isinstance(owner, KeyRefused):
            reason = KEY_REASONS.get(owner.reason, NotRunReason.BAD_KEY)
            reply(NotRun(reason, owner.reason.value))
            return
        self._observe_acceptance(simulated, owner)
        request_id = simulated.request_id or self.table.issue(owner.team, self._now())
        simulated.request_id = request_id
        simulated.accepted_ms = self.world.now_ms
        self.handle_submission(
            simulated, RequestKey(owner.team, request_id), None, reply
        )

    def handle_submission(
        self,
        simulated: SimulatedRequest,
        key: RequestKey,
        addressed_to: Incarnation | None,
        reply: ReplyCallback,
    ) -> None:
        """Submits a request of a caller or of another entry to the table."""
        self._last_ref += 1
        ref = CallerRef(self._last_ref)
        self._waiters[ref] = reply
        self._requests.setdefault(key, simulated)
        self._handle_idempotency(
            Submitted(
                team=key.team,
                request_id=key.request_id,
                repeatable=simulated.repeatable,
                fingerprint=simulated.fingerprint,
                caller=ref,
                deadline_ms=Millis(simulated.deadline_at_ms),
                addressed_to=addressed_to,
            )
        )

    def cancel(self, key: RequestKey) -> None:
        """Cancels a request."""
        self._handle_idempotency(CancelRequested(key))

    def _observe_acceptance(
        self, simulated: SimulatedRequest, owner: CallerIdentity
    ) -> None:
        now_ms = self.world.now_ms
        queue = self.control.cfg.queues[simulated.queue]
        self.world.history.observe(
            RequestAccepted(
                now_ms,
                simulated.request_id,
                simulated.queue,
                queue.is_open,
                simulated.true_team,
                owner.team,
            )
        )
        if owner.key_id is not None:
            observation = KeyAccepted(now_ms, owner.key_id, self.name)
            self.world.history.observe(observation)

    def _handle_idempotency(self, message: IdempotencyMessage) -> None:
        for effect in self.table.handle(message, self._now()):
            self._execute_idempotency(effect)

    def _execute_idempotency(self, effect: IdempotencyEffect) -> None:
        match effect:
            case StartWork(key=key):
                self.handle(Submit(self._request(key)))
            case CreateClaim(key=key, claim=claim):
                self._create_claim(key, claim)
            case ReadClaim(key=key, op_id=op_id):
                result = self._claims.read(key)
                self._deliver_claim_result(ClaimEnded(key, op_id, result))
            case Forward(key=key, home=home):
                self.world.forward(self, self._requests[key], key, home)
            case Reply(callers=callers, outcome=outcome):
                self._reply(callers, outcome)
            case Reject(caller=caller):
                self._waiters.pop(caller)(NoOutcome.REJECTED)
            case CancelWork(key=key):
                self.handle(Cancel(key.team, key.request_id))

    def _reply(self, callers: tuple[CallerRef, ...], outcome: Outcome) -> None:
        for ref in callers:
            self._waiters.pop(ref)(outcome)

    def _create_claim(self, key: RequestKey, claim: Claim) -> None:
        result = self._claims.create(key, claim)
        self._deliver_claim_result(ClaimEnded(key, claim.op_id, result))

    def _deliver_claim_result(self, ended: ClaimEnded) -> None:
        delay_ms = self.world.store_call_ms
        self.world.clock.after(
            delay_ms, lambda: self.run(lambda: self._handle_idempotency(ended))
        )

    def handle_forward_result(self, key: RequestKey, outcome: Outcome) -> None:
        """Handles the outcome that the request's home entry returned."""
        self._handle_idempotency(ForwardEnded(key, outcome))

    def _request(self, key: RequestKey) -> Request:
        simulated = self._requests[key]
        return Request(
            request_id=key.request_id,
            team=key.team,
            queue=simulated.queue,
            pool=self.control.cfg.queues[simulated.queue].pool,
            work_class=simulated.work_class,
            repeatable=simulated.repeatable,
            accepted_ms=self._now(),
            deadline_ms=Millis(simulated.deadline_at_ms),
            needs=simulated.needs,
        )

    # -- data plane -------------------------------------------------------------

    def handle(self, message: ServingMessage) -> None:
        """Passes a message to the data plane and executes its effects."""
        for effect in self.serving.handle(message, self._now()):
            self._execute(effect)

    def _now(self) -> Millis:
        return Millis(self.world.now_ms)

    def _execute(self, effect: ServingEffect) -> None:
        match effect:
            case StartAttempt():
                delay_ms = SEND_MS
                self.world.clock.after(
                    delay_ms, lambda: self.run(lambda: self._send(effect))
                )
            case Finish(request=request, outcome=outcome):
                self._finish(request, outcome)
            case SendReport() | SendUsage() | SendHostNews():
                self.control.put(effect)
            case StopTask() | CheckpointTask() | RenewLeases():
                self._order(effect)

    def _finish(self, request: Request, outcome: Outcome) -> None:
        key = RequestKey(request.team, request.request_id)
        self._requests.pop(key, None)
        if isinstance(outcome, Answered):
            self.world.observe_answer(request, outcome)
        self._handle_idempotency(WorkEnded(key, outcome))

    def _send(self, start: StartAttempt) -> None:
        now_ms = self.world.now_ms
        request = start.request
        simulated = self._requests.get(RequestKey(request.team, request.request_id))
        is_late = now_ms > start.send_by_ms or now_ms >= start.give_up_ms
        if simulated is None or is_late:
            not_sent = NothingSent("too late to send", is_host_fault=False)
            self.handle(AttemptEnded(start.attempt_id, not_sent))
            return
        self._open_attempts.add(start.attempt_id)
        self.world.start_attempt(self, start, simulated)
        remaining_ms = start.give_up_ms - now_ms
        self.world.clock.after(
            remaining_ms,
            lambda: self.run(lambda: self.end_attempt(start, TimedOut(), None)),
        )

    def end_attempt(
        self, start: StartAttempt, result: AttemptResult, free_slots: int | None
    ) -> None:
        """Handles the result of an attempt; only the first one counts."""
        if start.attempt_id in self._open_attempts:
            self._open_attempts.discard(start.attempt_id)
            self.handle(AttemptEnded(start.attempt_id, result, free_slots))

    def handle_task_stopped(self, stop: StopTask) -> None:
        """Handles a host's confirmation that a task has stopped."""
        self.handle(SlotsFreed(stop.host, (stop.attempt_id,)))

    def _order(self, effect: StopTask | CheckpointTask | RenewLeases) -> None:
        self.world.send_order(self, effect)
