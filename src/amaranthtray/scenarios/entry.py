"""A virtual entry: the entry's decisions with messages instead of threads."""

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
from .conducting import Conducting
from .control import VirtualControl
from .links import VirtualLinks
from .work import NoOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import AttemptId
    from ..domain.requests.idempotency_messages import (
        IdempotencyEffect,
        IdempotencyMessage,
    )
    from ..domain.requests.messages import AttemptResult
    from ..domain.serving import ServingEffect, ServingMessage
    from .work import Tell, Work
    from .world import World

CLAIM_RETENTION_MS = 86_400_000
SEND_MS = 1
LEAVE_GRACE_MS = 30_000
LEAVE_LOOK_MS = 50
STAY_LOOK_MS = 1_000

KEY_REASONS = {
    KeyRefusalReason.NO_QUEUE: NotRunReason.QUEUE_UNKNOWN,
    KeyRefusalReason.NOT_SELECTED: NotRunReason.QUEUE_FORBIDDEN,
}


class VirtualEntry:
    """One run of an entry.

    Attributes:
        is_ready: Whether the balancer sends callers here.
    """

    def __init__(self, world: World, name: str, zone: str, run: int) -> None:
        self.world = world
        self.name = EntryId(name)
        self.zone = ZoneId(zone)
        self.incarnation = Incarnation(f"{name}-{run}")
        self.rng = random.Random(f"{world.seed}/{self.incarnation}")
        parts = ServingContext(self.name, self.incarnation, self.zone, self.rng)
        self.serving = Serving(parts)
        self.table = IdempotencyTable(Home(self.zone, self.name, self.incarnation))
        self.is_alive = True
        self.is_paused = False
        self.is_ready = True
        self._inbox: list[Callable[[], None]] = []
        self._armed_ms: int | None = None
        self._work: dict[RequestKey, Work] = {}
        self._waiters: dict[CallerRef, Tell] = {}
        self._open: set[AttemptId] = set()
        self._refs = 0
        self._leave_by_ms = 0
        self.links = VirtualLinks(world, self)
        self.control = VirtualControl(world, self)
        self.conducting = Conducting(world, self)
        self._claims = ClaimStore(
            self.control.store,
            retention_ms=CLAIM_RETENTION_MS,
            clock=lambda: world.now_ms,
        )

    # -- life -------------------------------------------------------------------

    def run(self, act: Callable[[], None]) -> None:
        """Runs ``act`` now, after the pause, or never."""
        if not self.is_alive:
            return
        if self.is_paused:
            self._inbox.append(act)
            return
        act()
        self._arm()

    def resume(self) -> None:
        """Ends a pause; what arrived meanwhile is taken in order."""
        self.is_paused = False
        inbox, self._inbox = self._inbox, []
        for act in inbox:
            self.run(act)
        self._arm()

    def kill(self) -> None:
        """Ends this run at once; callers see their connections break."""
        self.is_alive = self.is_ready = False
        self.links.break_all()
        waiters, self._waiters = self._waiters, {}
        for tell in waiters.values():
            tell(NoOutcome.BROKEN)

    def leave(self) -> None:
        """Begins a graceful shutdown."""
        self.is_ready = False
        self._leave_by_ms = self.world.now_ms + LEAVE_GRACE_MS
        self._look_if_idle()

    def _look_if_idle(self) -> None:
        is_idle = not self.serving.desk.in_flight and not self._waiters
        if not is_idle and self.world.now_ms < self._leave_by_ms:
            self.world.clock.after(LEAVE_LOOK_MS, lambda: self.run(self._look_if_idle))
            return
        self.handle(LeaveBegun())
        self.handle(Tick())
        self._stay_in_outage()

    def _stay_in_outage(self) -> None:
        """Goes on as steward or follower while the store is away."""
        if self.world.now_ms < self._leave_by_ms and not self.control.may_leave():
            stay = partial(self.run, self._stay_in_outage)
            self.world.clock.after(STAY_LOOK_MS, stay)
            return
        for key in self._work:
            cut = RequestCut(self.world.now_ms, self.name, key.request_id)
            self.world.history.observe(cut)
        self.world.clock.after(LEAVE_LOOK_MS, self._stop)

    def _stop(self) -> None:
        self.control.stop()
        self.conducting.stop()
        self.kill()
        self.world.observer.update_reach()

    def _arm(self) -> None:
        wake_ms = max(self.serving.next_wake_ms(), self.world.now_ms + 1)
        if self._armed_ms is not None and self._armed_ms <= wake_ms:
            return
        self._armed_ms = wake_ms
        self.world.clock.after(wake_ms - self.world.now_ms, lambda: self._wake(wake_ms))

    def _wake(self, armed_ms: int) -> None:
        if self._armed_ms == armed_ms:
            self._armed_ms = None
            self.run(lambda: self.handle(Tick()))

    # -- requests ---------------------------------------------------------------

    def submit(self, work: Work, reply: Tell) -> None:
        """Takes a caller's request."""
        owner = authenticate(
            self.control.cfg,
            work.key_text,
            work.queue,
            matches_selector=matches_selector,
            config_age_ms=self.control.config_age_ms,
        )
        if isinstance(owner, KeyRefused):
            reason = KEY_REASONS.get(owner.reason, NotRunReason.BAD_KEY)
            reply(NotRun(reason, owner.reason.value))
            return
        self._accept(work, owner)
        request_id = work.request_id or self.table.issue(owner.team, self._now())
        work.request_id = request_id
        work.accepted_ms = self.world.now_ms
        self.ask(work, RequestKey(owner.team, request_id), None, reply)

    def ask(
        self,
        work: Work,
        key: RequestKey,
        addressed_to: Incarnation | None,
        reply: Tell,
    ) -> None:
        """Takes a submission from a caller or from another entry."""
        self._refs += 1
        ref = CallerRef(self._refs)
        self._waiters[ref] = reply
        self._work.setdefault(key, work)
        self._tell_table(
            Submitted(
                team=key.team,
                request_id=key.request_id,
                repeatable=work.repeatable,
                fingerprint=work.fingerprint,
                caller=ref,
                deadline_ms=Millis(work.deadline_at_ms),
                addressed_to=addressed_to,
            )
        )

    def cancel(self, key: RequestKey) -> None:
        """Cancels a request."""
        self._tell_table(CancelRequested(key))

    def _accept(self, work: Work, owner: CallerIdentity) -> None:
        now_ms = self.world.now_ms
        queue = self.control.cfg.queues[work.queue]
        self.world.history.observe(
            RequestAccepted(
                now_ms,
                work.request_id,
                work.queue,
                queue.is_open,
                work.true_team,
                owner.team,
            )
        )
        if owner.key_id is not None:
            seen = KeyAccepted(now_ms, owner.key_id, self.name)
            self.world.history.observe(seen)

    def _tell_table(self, message: IdempotencyMessage) -> None:
        for effect in self.table.handle(message, self._now()):
            self._carry_out_table(effect)

    def _carry_out_table(self, effect: IdempotencyEffect) -> None:
        match effect:
            case StartWork(key=key):
                self.handle(Submit(self._request(key)))
            case CreateClaim(key=key, claim=claim):
                self._claim(key, claim)
            case ReadClaim(key=key, op_id=op_id):
                result = self._claims.read(key)
                self._settle(ClaimEnded(key, op_id, result))
            case Forward(key=key, home=home):
                self.world.forward(self, self._work[key], key, home)
            case Reply(callers=callers, outcome=outcome):
                self._reply(callers, outcome)
            case Reject(caller=caller):
                self._waiters.pop(caller)(NoOutcome.REJECTED)
            case CancelWork(key=key):
                self.handle(Cancel(key.team, key.request_id))

    def _reply(self, callers: tuple[CallerRef, ...], outcome: Outcome) -> None:
        for ref in callers:
            self._waiters.pop(ref)(outcome)

    def _claim(self, key: RequestKey, claim: Claim) -> None:
        result = self._claims.create(key, claim)
        self._settle(ClaimEnded(key, claim.op_id, result))

    def _settle(self, ended: ClaimEnded) -> None:
        delay_ms = self.world.store_call_ms
        self.world.clock.after(
            delay_ms, lambda: self.run(lambda: self._tell_table(ended))
        )

    def forwarded(self, key: RequestKey, outcome: Outcome) -> None:
        """Takes the outcome that the home of an id gave."""
        self._tell_table(ForwardEnded(key, outcome))

    def _request(self, key: RequestKey) -> Request:
        work = self._work[key]
        return Request(
            request_id=key.request_id,
            team=key.team,
            queue=work.queue,
            pool=self.control.cfg.queues[work.queue].pool,
            work_class=work.work_class,
            repeatable=work.repeatable,
            accepted_ms=self._now(),
            deadline_ms=Millis(work.deadline_at_ms),
            needs=work.needs,
        )

    # -- serving ----------------------------------------------------------------

    def handle(self, message: ServingMessage) -> None:
        """Gives a message to the decisions and carries their effects out."""
        for effect in self.serving.handle(message, self._now()):
            self._carry_out(effect)

    def _now(self) -> Millis:
        return Millis(self.world.now_ms)

    def _carry_out(self, effect: ServingEffect) -> None:
        match effect:
            case StartAttempt():
                later = SEND_MS
                self.world.clock.after(
                    later, lambda: self.run(lambda: self._send(effect))
                )
            case Finish(request=request, outcome=outcome):
                self._finish(request, outcome)
            case SendReport() | SendUsage() | SendHostNews():
                self.control.put(effect)
            case StopTask() | CheckpointTask() | RenewLeases():
                self._order(effect)

    def _finish(self, request: Request, outcome: Outcome) -> None:
        key = RequestKey(request.team, request.request_id)
        self._work.pop(key, None)
        if isinstance(outcome, Answered):
            self.world.check_answer(request, outcome)
        self._tell_table(WorkEnded(key, outcome))

    def _send(self, start: StartAttempt) -> None:
        now_ms = self.world.now_ms
        request = start.request
        work = self._work.get(RequestKey(request.team, request.request_id))
        is_late = now_ms > start.send_by_ms or now_ms >= start.give_up_ms
        if work is None or is_late:
            late = NothingSent("too late to send", is_host_fault=False)
            self.handle(AttemptEnded(start.attempt_id, late))
            return
        self._open.add(start.attempt_id)
        self.world.start_attempt(self, start, work)
        left_ms = start.give_up_ms - now_ms
        self.world.clock.after(
            left_ms, lambda: self.run(lambda: self.end(start, TimedOut(), None))
        )

    def end(
        self, start: StartAttempt, result: AttemptResult, free_slots: int | None
    ) -> None:
        """Takes the result of an attempt; only the first one counts."""
        if start.attempt_id in self._open:
            self._open.discard(start.attempt_id)
            self.handle(AttemptEnded(start.attempt_id, result, free_slots))

    def freed(self, stop: StopTask) -> None:
        """Takes a host's word that a task is over."""
        self.handle(SlotsFreed(stop.host, (stop.attempt_id,)))

    def _order(self, effect: StopTask | CheckpointTask | RenewLeases) -> None:
        self.world.order(self, effect)
