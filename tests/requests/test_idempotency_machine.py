"""Several entries, lost calls, crashes and cuts: at most one run of an id."""

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
    ClaimEnded,
    ClaimHeld,
    ClaimOutcomeUnknown,
    ClaimResult,
    ClaimUnavailable,
    ClaimWon,
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
    """One run of one entry."""

    entry: int
    incarnation: str


@dataclass(frozen=True)
class CreateCall:
    """A create on its way; a ghost's caller has already given up on it."""

    origin: Origin
    key: RequestKey
    claim: Claim
    is_ghost: bool = False


@dataclass(frozen=True)
class ReadCall:
    """A read of a claim on its way."""

    origin: Origin
    key: RequestKey
    effect: ReadClaim


@dataclass(frozen=True)
class StoreReply:
    """An answer of the store on its way back."""

    origin: Origin
    ended: ClaimEnded


@dataclass(frozen=True)
class ForwardCall:
    """A forwarded request on its way; a ghost's sender has already given up on it."""

    origin: Origin
    key: RequestKey
    ask: Submitted
    home: Home
    is_ghost: bool = False


@dataclass(frozen=True)
class ForwardBack:
    """A forwarded request's outcome on its way back."""

    origin: Origin
    key: RequestKey
    outcome: Outcome


@dataclass(frozen=True)
class Start:
    """A decided run that the entry has not carried out yet; it may be paused."""

    origin: Origin
    key: RequestKey
    submission: int
    deadline_ms: int


@dataclass(frozen=True)
class Running:
    """A task on a backend server."""

    origin: Origin
    key: RequestKey
    attempt: AttemptId


Pending: TypeAlias = (
    CreateCall | ReadCall | StoreReply | ForwardCall | ForwardBack | Start | Running
)


@dataclass
class Waiting:
    """A caller that waits for its one reply."""

    entry: int
    key: RequestKey
    ask: Submitted
    forwarded_from: Origin | None = None


class IdempotencyMachine(RuleBasedStateMachine):
    """Callers, entries, the store's claims and the network between them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = Millis(0)
        self.runs = 0
        self.callers = 0
        self.pending: list[Pending] = []
        self.claims: dict[RequestKey, tuple[Claim, int]] = {}
        self.store_is_up = True
        self.waiting: dict[CallerRef, Waiting] = {}
        self.asked: list[Submitted] = []
        self.issued: list[RequestId] = []
        self.names = [RequestId("c1"), RequestId("c2")]
        self.renamed_ms = 0
        self.watchdog = Watchdog()
        self.ran: dict[RequestKey, int] = {}
        self.refused: dict[RequestKey, int] = defaultdict(int)
        self.tables = [self._table(number, 0) for number in range(ENTRIES)]
        self.incarnations = [0] * ENTRIES

    def _table(self, number: int, incarnation: int) -> IdempotencyTable:
        home = Home(
            ZoneId("z1"), EntryId(f"e{number}"), Incarnation(f"i{number}-{incarnation}")
        )
        return IdempotencyTable(home, CFG)

    def _origin(self, entry: int) -> Origin:
        return Origin(entry, f"i{entry}-{self.incarnations[entry]}")

    def _is_alive(self, origin: Origin) -> bool:
        return self._origin(origin.entry) == origin

    # What callers do.

    @rule(entry=st.integers(0, ENTRIES - 1))
    def issue(self, entry: int) -> None:
        self.issued.append(self.tables[entry].issue(RED, self.now))

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        pick=st.integers(0, 5),
        submission=st.integers(1, 3),
        within_ms=st.sampled_from([60_000, 12 * HOUR_MS]),
    )
    def submit(self, entry: int, pick: int, submission: int, within_ms: int) -> None:
        names = [*self.names, *self.issued[-4:]]
        self._ask(entry, names[pick % len(names)], submission, within_ms)

    @precondition(lambda self: self.asked)
    @rule(entry=st.integers(0, ENTRIES - 1), pick=st.integers(0, 50))
    def copy_of_a_submission(self, entry: int, pick: int) -> None:
        ask = self.asked[pick % len(self.asked)]
        self._ask(entry, ask.request_id, ask.submission, 60_000)

    def _ask(
        self, entry: int, request_id: RequestId, submission: int, within_ms: int
    ) -> None:
        self.callers += 1
        ask = Submitted(
            RED,
            request_id,
            False,
            "same",
            CallerRef(self.callers),
            Millis(self.now + within_ms),
            submission,
        )
        self.asked.append(ask)
        self.waiting[ask.caller] = Waiting(entry, RequestKey(RED, request_id), ask)
        self._tell(entry, ask)

    @precondition(lambda self: self.waiting)
    @rule(pick=st.integers(0, 50), cancels=st.booleans())
    def caller_leaves(self, pick: int, cancels: bool) -> None:
        caller = sorted(self.waiting)[pick % len(self.waiting)]
        waiting = self.waiting[caller]
        if cancels:
            self._tell(waiting.entry, CancelRequested(waiting.key))
        elif waiting.forwarded_from is None:
            del self.waiting[caller]
            self._tell(waiting.entry, CallerLeft(waiting.key, caller))

    # What the network and the store do.

    @precondition(lambda self: self.pending)
    @rule(pick=st.integers(0, 50), runs=st.booleans())
    def deliver(self, pick: int, runs: bool) -> None:
        item = self.pending.pop(pick % len(self.pending))
        match item:
            case CreateCall():
                self._create(item)
            case ReadCall():
                self._read(item)
            case StoreReply():
                self._tell_run(item.origin, item.ended)
            case ForwardCall():
                self._arrive(item)
            case ForwardBack():
                self._tell_run(item.origin, ForwardEnded(item.key, item.outcome))
            case Start():
                self._start(item, runs=runs)
            case Running():
                answered = Answered(item.attempt, HostId("h1"))
                self._tell_run(item.origin, WorkEnded(item.key, answered))

    @precondition(lambda self: self.pending)
    @rule(pick=st.integers(0, 50), stays=st.booleans())
    def lose(self, pick: int, stays: bool) -> None:
        """A call or its reply is lost; a lost call may still arrive much later."""
        place = pick % len(self.pending)
        item = self.pending[place]
        match item:
            case CreateCall(is_ghost=False):
                ghost = CreateCall(item.origin, item.key, item.claim, is_ghost=True)
                self._replace(place, ghost, stays=stays)
                unsure = ClaimEnded(item.key, item.claim.op_id, ClaimOutcomeUnknown())
                self._tell_run(item.origin, unsure)
            case ReadCall():
                self._replace(place, item, stays=False)
                unsure = ClaimEnded(item.key, item.effect.op_id, ClaimOutcomeUnknown())
                self._tell_run(item.origin, unsure)
            case StoreReply():
                self._replace(place, item, stays=False)
                ended = item.ended
                unsure = ClaimEnded(ended.key, ended.op_id, ClaimOutcomeUnknown())
                self._tell_run(item.origin, unsure)
            case ForwardCall(is_ghost=False):
                ghost_call = ForwardCall(
                    item.origin, item.key, item.ask, item.home, is_ghost=True
                )
                self._replace(place, ghost_call, stays=stays)
                self._tell_run(item.origin, ForwardEnded(item.key, LOST))
            case ForwardBack():
                self._replace(place, item, stays=False)
                self._tell_run(item.origin, ForwardEnded(item.key, LOST))
            case Running():
                self._replace(place, item, stays=False)
                broke = Unknown(UnknownReason.CONNECTION_BROKE)
                self._tell_run(item.origin, WorkEnded(item.key, broke))

    def _replace(self, place: int, item: Pending, *, stays: bool) -> None:
        if stays:
            self.pending[place] = item
        else:
            del self.pending[place]

    @precondition(lambda self: any(isinstance(i, ForwardCall) for i in self.pending))
    @rule(pick=st.integers(0, 50))
    def duplicate_forward(self, pick: int) -> None:
        calls = [item for item in self.pending if isinstance(item, ForwardCall)]
        call = calls[pick % len(calls)]
        self.pending.append(
            ForwardCall(call.origin, call.key, call.ask, call.home, is_ghost=True)
        )

    @rule()
    def flip_store(self) -> None:
        self.store_is_up = not self.store_is_up

    @rule(entry=st.integers(0, ENTRIES - 1))
    def crash(self, entry: int) -> None:
        """The entry is replaced; its tasks and calls under way live on."""
        self.incarnations[entry] += 1
        self.tables[entry] = self._table(entry, self.incarnations[entry])
        cut_off = [item for item in self.waiting.values() if item.entry == entry]
        self.waiting = {
            caller: item for caller, item in self.waiting.items() if item.entry != entry
        }
        for item in cut_off:
            if item.forwarded_from is not None:
                self._tell_run(item.forwarded_from, ForwardEnded(item.key, LOST))

    @rule(ms=st.sampled_from([1, 60_000, 700_000, 13 * HOUR_MS, 25 * HOUR_MS]))
    def pass_time(self, ms: int) -> None:
        self.now = Millis(self.now + ms)
        if self.now >= self.renamed_ms + CFG.retention_ms - CFG.claim_timeout_ms:
            self._rename()
        kept_from = self.now - CFG.retention_ms
        self.claims = {k: v for k, v in self.claims.items() if v[1] >= kept_from}

    def _rename(self) -> None:
        """Callers use no chosen id for longer than claims are kept."""
        self.renamed_ms = self.now
        self.names = [RequestId(f"c{self.now}-{number}") for number in range(2)]
        self.asked = []

    @rule(entry=st.integers(0, ENTRIES - 1))
    def sweep(self, entry: int) -> None:
        self._tell(entry, ExpireRecords())

    @rule(entry=st.integers(0, ENTRIES - 1), pick=st.integers(0, 1))
    def drop_answer(self, entry: int, pick: int) -> None:
        self._tell(entry, AnswerEvicted(RequestKey(RED, self.names[pick])))

    def _create(self, call: CreateCall) -> None:
        result: ClaimResult
        if not self.store_is_up:
            result = ClaimUnavailable()
        elif call.key in self.claims:
            result = ClaimHeld(self.claims[call.key][0])
        else:
            self.claims[call.key] = (call.claim, self.now)
            result = ClaimWon()
        if not call.is_ghost:
            ended = ClaimEnded(call.key, call.claim.op_id, result)
            self.pending.append(StoreReply(call.origin, ended))

    def _read(self, call: ReadCall) -> None:
        found = self.claims.get(call.key)
        result: ClaimResult = ClaimAbsent() if found is None else ClaimHeld(found[0])
        if not self.store_is_up:
            result = ClaimUnavailable()
        ended = ClaimEnded(call.key, call.effect.op_id, result)
        self.pending.append(StoreReply(call.origin, ended))

    def _arrive(self, call: ForwardCall) -> None:
        entry = int(call.home.entry[1:])
        self.callers += 1
        caller = CallerRef(self.callers)
        ask = Submitted(
            call.ask.team,
            call.ask.request_id,
            call.ask.repeatable,
            call.ask.fingerprint,
            caller,
            call.ask.deadline_ms,
            call.ask.submission,
            call.home.incarnation,
        )
        origin = None if call.is_ghost else call.origin
        self.waiting[caller] = Waiting(entry, call.key, ask, origin)
        self._tell(entry, ask)

    def _start(self, start: Start, *, runs: bool) -> None:
        """Carries out a decided run as the request desk would."""
        if not self._is_alive(start.origin):
            return
        if not runs or start.deadline_ms <= self.now:
            refused = NotRun(NotRunReason.QUEUE_FULL)
            self._tell(start.origin.entry, WorkEnded(start.key, refused))
            return
        self.runs += 1
        attempt = AttemptId(f"a{self.runs}")
        key = start.key
        seen = TaskStarted(
            self.now, key.request_id, key.team, attempt, HostId("h1"), False
        )
        self.watchdog.observe(seen)
        assert start.submission > self.refused[key], "ran after its refusal"
        self.ran[key] = start.submission
        self.pending.append(Running(start.origin, key, attempt))

    # What the entries' effects lead to.

    def _tell_run(self, origin: Origin, message: IdempotencyMessage) -> None:
        if self._is_alive(origin):
            self._tell(origin.entry, message)

    def _tell(self, entry: int, message: IdempotencyMessage) -> None:
        for effect in self.tables[entry].handle(message, self.now):
            self._carry_out(entry, effect)

    def _carry_out(self, entry: int, effect: IdempotencyEffect) -> None:
        origin = self._origin(entry)
        match effect:
            case StartWork(key=key):
                self.pending.append(self._decided(entry, key))
            case CreateClaim(key=key, claim=claim):
                self.pending.append(CreateCall(origin, key, claim))
            case ReadClaim(key=key):
                self.pending.append(ReadCall(origin, key, effect))
            case Forward(key=key, home=home, submission=submission):
                assert home.entry != f"e{entry}"
                ask = Submitted(
                    key.team,
                    key.request_id,
                    False,
                    "same",
                    CallerRef(0),
                    Millis(self.now + 60_000),
                    submission,
                )
                self.pending.append(ForwardCall(origin, key, ask, home))
            case Reply():
                for caller in effect.callers:
                    self._reply(caller, effect)
            case Reject(caller=caller):
                self.waiting.pop(caller, None)
            case CancelWork() | ForwardCancel():
                pass

    def _decided(self, entry: int, key: RequestKey) -> Start:
        asks = [
            item.ask
            for item in self.waiting.values()
            if item.entry == entry and item.key == key
        ]
        submission = max((ask.submission for ask in asks), default=99)
        deadline_ms = max((ask.deadline_ms for ask in asks), default=self.now + 1)
        return Start(self._origin(entry), key, submission, deadline_ms)

    def _reply(self, caller: CallerRef, reply: Reply) -> None:
        waiting = self.waiting.pop(caller, None)
        assert waiting is not None, "a second reply, or one to nobody"
        assert waiting.key == reply.key
        if isinstance(reply.outcome, NotRun):
            self._check_refusal(waiting, reply.outcome)
        if waiting.forwarded_from is not None:
            back = ForwardBack(waiting.forwarded_from, reply.key, reply.outcome)
            self.pending.append(back)

    def _check_refusal(self, waiting: Waiting, outcome: NotRun) -> None:
        key, submission = waiting.key, waiting.ask.submission
        assert self.ran.get(key, submission + 1) > submission, "false not-run"
        self.refused[key] = max(self.refused[key], submission)

    @invariant()
    def promises_hold(self) -> None:
        assert self.watchdog.violations == []

    def teardown(self) -> None:
        """Delivers everything; then nobody waits in vain."""
        self.store_is_up = True
        while self.pending:
            self.deliver(0, True)
        assert self.waiting == {}
        self.promises_hold()


TestIdempotencyMachine = IdempotencyMachine.TestCase
