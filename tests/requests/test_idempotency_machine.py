"""At most one run of an id with several entries, lost calls, crashes and outages."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TypeAlias

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from amaranthtray.domain.ids import (
    AttemptId,
    EntryId,
    HostId,
    Incarnation,
    Millis,
    RequestId,
    TeamName,
    ZoneId,
)
from amaranthtray.domain.invariants import TaskStarted, Watchdog
from amaranthtray.domain.requests.idempotency import (
    IdempotencySettings,
    IdempotencyTable,
)
from amaranthtray.domain.requests.idempotency_messages import (
    AnswerEvicted,
    CallerLeft,
    CallerRef,
    CancelRequested,
    CancelWork,
    Claim,
    ClaimAbsent,
    ClaimCreated,
    ClaimEnded,
    ClaimFound,
    ClaimOutcomeUnknown,
    ClaimResult,
    ClaimUnavailable,
    CreateClaim,
    ExpireRecords,
    Forward,
    ForwardCancel,
    ForwardEnded,
    IdempotencyEffect,
    IdempotencyMessage,
    ReadClaim,
    Reject,
    Reply,
    StartWork,
    Submitted,
    WorkEnded,
)
from amaranthtray.domain.requests.ids import Home
from amaranthtray.domain.requests.model import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from amaranthtray.domain.requests.tracked_request import RequestKey

RED = TeamName("red")
HOUR_MS = 3_600_000
CFG = IdempotencySettings(max_kept_records=4)
ENTRIES = 3
LOST = Unknown(UnknownReason.HOME_UNREACHABLE)


@dataclass(frozen=True)
class Origin:
    """One incarnation of one entry."""

    entry: int
    incarnation: str


@dataclass(frozen=True)
class CreateCall:
    """A create call in transit; an abandoned one no longer has a waiting caller."""

    origin: Origin
    key: RequestKey
    claim: Claim
    is_abandoned: bool = False


@dataclass(frozen=True)
class ReadCall:
    """A read of a claim in transit."""

    origin: Origin
    key: RequestKey
    effect: ReadClaim


@dataclass(frozen=True)
class StoreReply:
    """A reply of the store in transit."""

    origin: Origin
    ended: ClaimEnded


@dataclass(frozen=True)
class ForwardCall:
    """A forwarded request in transit; an abandoned one no longer has a sender."""

    origin: Origin
    key: RequestKey
    submitted: Submitted
    home: Home
    is_abandoned: bool = False


@dataclass(frozen=True)
class ForwardOutcome:
    """The outcome of a forwarded request in transit."""

    origin: Origin
    key: RequestKey
    outcome: Outcome


@dataclass(frozen=True)
class PendingStart:
    """A start that the entry has not carried out yet, since it may be paused."""

    origin: Origin
    key: RequestKey
    submission: int
    deadline_ms: int


@dataclass(frozen=True)
class RunningTask:
    """A task that runs on a backend server."""

    origin: Origin
    key: RequestKey
    attempt: AttemptId


Pending: TypeAlias = (
    CreateCall
    | ReadCall
    | StoreReply
    | ForwardCall
    | ForwardOutcome
    | PendingStart
    | RunningTask
)


@dataclass
class WaitingCaller:
    """A caller or forwarding entry that waits for its reply."""

    entry: int
    key: RequestKey
    submitted: Submitted
    forwarded_from: Origin | None = None


class IdempotencyMachine(RuleBasedStateMachine):
    """Callers, entries, claims in the store and the network between them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = Millis(0)
        self.task_runs = 0
        self.callers = 0
        self.pending: list[Pending] = []
        self.claims: dict[RequestKey, tuple[Claim, int]] = {}
        self.store_is_up = True
        self.waiting: dict[CallerRef, WaitingCaller] = {}
        self.submissions: list[Submitted] = []
        self.issued: list[RequestId] = []
        self.chosen_ids = [RequestId("c1"), RequestId("c2")]
        self.ids_changed_ms = 0
        self.watchdog = Watchdog()
        self.last_run: dict[RequestKey, int] = {}
        self.last_refused: dict[RequestKey, int] = defaultdict(int)
        self.tables = [self._table(number, 0) for number in range(ENTRIES)]
        self.incarnations = [0] * ENTRIES

    def _table(self, number: int, incarnation: int) -> IdempotencyTable:
        home = Home(
            ZoneId("z1"), EntryId(f"e{number}"), Incarnation(f"i{number}-{incarnation}")
        )
        return IdempotencyTable(home, CFG)

    def _origin(self, entry: int) -> Origin:
        return Origin(entry, f"i{entry}-{self.incarnations[entry]}")

    def _is_current(self, origin: Origin) -> bool:
        return self._origin(origin.entry) == origin

    # Actions of callers.

    @rule(entry=st.integers(0, ENTRIES - 1))
    def issue(self, entry: int) -> None:
        self.issued.append(self.tables[entry].issue(RED, self.now))

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        index=st.integers(0, 5),
        submission=st.integers(1, 3),
        deadline_in_ms=st.sampled_from([60_000, 12 * HOUR_MS]),
    )
    def submit(
        self, entry: int, index: int, submission: int, deadline_in_ms: int
    ) -> None:
        request_ids = [*self.chosen_ids, *self.issued[-4:]]
        self._submit(
            entry, request_ids[index % len(request_ids)], submission, deadline_in_ms
        )

    @precondition(lambda self: self.submissions)
    @rule(entry=st.integers(0, ENTRIES - 1), index=st.integers(0, 50))
    def copy_of_a_submission(self, entry: int, index: int) -> None:
        submitted = self.submissions[index % len(self.submissions)]
        self._submit(entry, submitted.request_id, submitted.submission, 60_000)

    def _submit(
        self, entry: int, request_id: RequestId, submission: int, deadline_in_ms: int
    ) -> None:
        self.callers += 1
        submitted = Submitted(
            RED,
            request_id,
            False,
            "same",
            CallerRef(self.callers),
            Millis(self.now + deadline_in_ms),
            submission,
        )
        self.submissions.append(submitted)
        self.waiting[submitted.caller] = WaitingCaller(
            entry, RequestKey(RED, request_id), submitted
        )
        self._send(entry, submitted)

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 50), cancels=st.booleans())
    def caller_leaves(self, index: int, cancels: bool) -> None:
        caller = sorted(self.waiting)[index % len(self.waiting)]
        waiting = self.waiting[caller]
        if cancels:
            self._send(waiting.entry, CancelRequested(waiting.key))
        elif waiting.forwarded_from is None:
            del self.waiting[caller]
            self._send(waiting.entry, CallerLeft(waiting.key, caller))

    # Events in the network, the store and the entries.

    @precondition(lambda self: self.pending)
    @rule(index=st.integers(0, 50), can_run=st.booleans())
    def deliver(self, index: int, can_run: bool) -> None:
        item = self.pending.pop(index % len(self.pending))
        match item:
            case CreateCall():
                self._create(item)
            case ReadCall():
                self._read(item)
            case StoreReply():
                self._send_to_incarnation(item.origin, item.ended)
            case ForwardCall():
                self._receive_forward(item)
            case ForwardOutcome():
                self._send_to_incarnation(
                    item.origin, ForwardEnded(item.key, item.outcome)
                )
            case PendingStart():
                self._start(item, can_run=can_run)
            case RunningTask():
                answered = Answered(item.attempt, HostId("h1"))
                self._send_to_incarnation(item.origin, WorkEnded(item.key, answered))

    @precondition(lambda self: self.pending)
    @rule(index=st.integers(0, 50), arrives_later=st.booleans())
    def lose(self, index: int, arrives_later: bool) -> None:
        """Loses a call or its reply; a lost call may still arrive much later."""
        place = index % len(self.pending)
        item = self.pending[place]
        match item:
            case CreateCall(is_abandoned=False):
                abandoned = CreateCall(
                    item.origin, item.key, item.claim, is_abandoned=True
                )
                self._replace(place, abandoned, arrives_later=arrives_later)
                outcome_unknown = ClaimEnded(
                    item.key, item.claim.op_id, ClaimOutcomeUnknown()
                )
                self._send_to_incarnation(item.origin, outcome_unknown)
            case ReadCall():
                self._replace(place, item, arrives_later=False)
                outcome_unknown = ClaimEnded(
                    item.key, item.effect.op_id, ClaimOutcomeUnknown()
                )
                self._send_to_incarnation(item.origin, outcome_unknown)
            case StoreReply():
                self._replace(place, item, arrives_later=False)
                ended = item.ended
                outcome_unknown = ClaimEnded(
                    ended.key, ended.op_id, ClaimOutcomeUnknown()
                )
                self._send_to_incarnation(item.origin, outcome_unknown)
            case ForwardCall(is_abandoned=False):
                abandoned_call = ForwardCall(
                    item.origin, item.key, item.submitted, item.home, is_abandoned=True
                )
                self._replace(place, abandoned_call, arrives_later=arrives_later)
                self._send_to_incarnation(item.origin, ForwardEnded(item.key, LOST))
            case ForwardOutcome():
                self._replace(place, item, arrives_later=False)
                self._send_to_incarnation(item.origin, ForwardEnded(item.key, LOST))
            case RunningTask():
                self._replace(place, item, arrives_later=False)
                broke = Unknown(UnknownReason.CONNECTION_BROKE)
                self._send_to_incarnation(item.origin, WorkEnded(item.key, broke))

    def _replace(self, place: int, item: Pending, *, arrives_later: bool) -> None:
        if arrives_later:
            self.pending[place] = item
        else:
            del self.pending[place]

    @precondition(lambda self: any(isinstance(i, ForwardCall) for i in self.pending))
    @rule(index=st.integers(0, 50))
    def duplicate_forward(self, index: int) -> None:
        calls = [item for item in self.pending if isinstance(item, ForwardCall)]
        call = calls[index % len(calls)]
        self.pending.append(
            ForwardCall(
                call.origin, call.key, call.submitted, call.home, is_abandoned=True
            )
        )

    @rule()
    def flip_store(self) -> None:
        self.store_is_up = not self.store_is_up

    @rule(entry=st.integers(0, ENTRIES - 1))
    def crash(self, entry: int) -> None:
        """Replaces an entry; its running tasks and calls in transit continue."""
        self.incarnations[entry] += 1
        self.tables[entry] = self._table(entry, self.incarnations[entry])
        cut_off = [item for item in self.waiting.values() if item.entry == entry]
        self.waiting = {
            caller: item for caller, item in self.waiting.items() if item.entry != entry
        }
        for item in cut_off:
            if item.forwarded_from is not None:
                self._send_to_incarnation(
                    item.forwarded_from, ForwardEnded(item.key, LOST)
                )

    @rule(ms=st.sampled_from([1, 60_000, 700_000, 13 * HOUR_MS, 25 * HOUR_MS]))
    def pass_time(self, ms: int) -> None:
        self.now = Millis(self.now + ms)
        if self.now >= self.ids_changed_ms + CFG.retention_ms - CFG.claim_timeout_ms:
            self._change_chosen_ids()
        kept_from = self.now - CFG.retention_ms
        self.claims = {k: v for k, v in self.claims.items() if v[1] >= kept_from}

    def _change_chosen_ids(self) -> None:
        """Chooses new ids, since callers use none for longer than claims are kept."""
        self.ids_changed_ms = self.now
        self.chosen_ids = [RequestId(f"c{self.now}-{number}") for number in range(2)]
        self.submissions = []

    @rule(entry=st.integers(0, ENTRIES - 1))
    def expire_records(self, entry: int) -> None:
        self._send(entry, ExpireRecords())

    @rule(entry=st.integers(0, ENTRIES - 1), index=st.integers(0, 1))
    def evict_answer(self, entry: int, index: int) -> None:
        self._send(entry, AnswerEvicted(RequestKey(RED, self.chosen_ids[index])))

    def _create(self, call: CreateCall) -> None:
        result: ClaimResult
        if not self.store_is_up:
            result = ClaimUnavailable()
        elif call.key in self.claims:
            result = ClaimFound(self.claims[call.key][0])
        else:
            self.claims[call.key] = (call.claim, self.now)
            result = ClaimCreated()
        if not call.is_abandoned:
            ended = ClaimEnded(call.key, call.claim.op_id, result)
            self.pending.append(StoreReply(call.origin, ended))

    def _read(self, call: ReadCall) -> None:
        found = self.claims.get(call.key)
        result: ClaimResult = ClaimAbsent() if found is None else ClaimFound(found[0])
        if not self.store_is_up:
            result = ClaimUnavailable()
        ended = ClaimEnded(call.key, call.effect.op_id, result)
        self.pending.append(StoreReply(call.origin, ended))

    def _receive_forward(self, call: ForwardCall) -> None:
        entry = int(call.home.entry[1:])
        self.callers += 1
        caller = CallerRef(self.callers)
        submitted = Submitted(
            call.submitted.team,
            call.submitted.request_id,
            call.submitted.repeatable,
            call.submitted.fingerprint,
            caller,
            call.submitted.deadline_ms,
            call.submitted.submission,
            call.home.incarnation,
        )
        origin = None if call.is_abandoned else call.origin
        self.waiting[caller] = WaitingCaller(entry, call.key, submitted, origin)
        self._send(entry, submitted)

    def _start(self, start: PendingStart, *, can_run: bool) -> None:
        """Starts the work or refuses it, as the request dispatcher would."""
        if not self._is_current(start.origin):
            return
        if not can_run or start.deadline_ms <= self.now:
            refused = NotRun(NotRunReason.QUEUE_FULL)
            self._send(start.origin.entry, WorkEnded(start.key, refused))
            return
        self.task_runs += 1
        attempt = AttemptId(f"a{self.task_runs}")
        key = start.key
        seen = TaskStarted(
            self.now, key.request_id, key.team, attempt, HostId("h1"), False
        )
        self.watchdog.observe(seen)
        assert start.submission > self.last_refused[key], "ran after its refusal"
        self.last_run[key] = start.submission
        self.pending.append(RunningTask(start.origin, key, attempt))

    # Effects of the entries.

    def _send_to_incarnation(self, origin: Origin, message: IdempotencyMessage) -> None:
        if self._is_current(origin):
            self._send(origin.entry, message)

    def _send(self, entry: int, message: IdempotencyMessage) -> None:
        for effect in self.tables[entry].handle(message, self.now):
            self._apply_effect(entry, effect)

    def _apply_effect(self, entry: int, effect: IdempotencyEffect) -> None:
        origin = self._origin(entry)
        match effect:
            case StartWork(key=key):
                self.pending.append(self._pending_start(entry, key))
            case CreateClaim(key=key, claim=claim):
                self.pending.append(CreateCall(origin, key, claim))
            case ReadClaim(key=key):
                self.pending.append(ReadCall(origin, key, effect))
            case Forward(key=key, home=home, submission=submission):
                assert home.entry != f"e{entry}"
                submitted = Submitted(
                    key.team,
                    key.request_id,
                    False,
                    "same",
                    CallerRef(0),
                    Millis(self.now + 60_000),
                    submission,
                )
                self.pending.append(ForwardCall(origin, key, submitted, home))
            case Reply():
                for caller in effect.callers:
                    self._reply(caller, effect)
            case Reject(caller=caller):
                self.waiting.pop(caller, None)
            case CancelWork() | ForwardCancel():
                pass

    def _pending_start(self, entry: int, key: RequestKey) -> PendingStart:
        submissions = [
            item.submitted
            for item in self.waiting.values()
            if item.entry == entry and item.key == key
        ]
        submission = max(
            (submitted.submission for submitted in submissions), default=99
        )
        deadline_ms = max(
            (submitted.deadline_ms for submitted in submissions), default=self.now + 1
        )
        return PendingStart(self._origin(entry), key, submission, deadline_ms)

    def _reply(self, caller: CallerRef, reply: Reply) -> None:
        waiting = self.waiting.pop(caller, None)
        assert waiting is not None, "a second reply, or one to nobody"
        assert waiting.key == reply.key
        if isinstance(reply.outcome, NotRun):
            self._check_refusal(waiting, reply.outcome)
        if waiting.forwarded_from is not None:
            forward_outcome = ForwardOutcome(
                waiting.forwarded_from, reply.key, reply.outcome
            )
            self.pending.append(forward_outcome)

    def _check_refusal(self, waiting: WaitingCaller, outcome: NotRun) -> None:
        key, submission = waiting.key, waiting.submitted.submission
        assert self.last_run.get(key, submission + 1) > submission, "false not-run"
        self.last_refused[key] = max(self.last_refused[key], submission)

    @invariant()
    def invariants_hold(self) -> None:
        assert self.watchdog.violations == []

    def teardown(self) -> None:
        """Delivers everything; no caller is left without a reply."""
        self.store_is_up = True
        while self.pending:
            self.deliver(0, True)
        assert self.waiting == {}
        self.invariants_hold()


TestIdempotencyMachine = IdempotencyMachine.TestCase
