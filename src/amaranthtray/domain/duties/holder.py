"""One entry's attempts to take, keep and give up a duty.

The term key is read first and swapped last. Whoever took the duty in between has
moved the term key on, so a holder that was paused on the way loses the swap.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

from ..ids import EntryId, Incarnation, Term
from .messages import (
    CallFailed,
    CallOutcomeUnknown,
    CallRejected,
    CallSucceeded,
    Claim,
    CreateHolder,
    DutyCall,
    DutyReply,
    GrantLease,
    HolderRead,
    LeaseGranted,
    LeaseNumber,
    ReadHolder,
    ReadTerm,
    RenewLease,
    RevokeLease,
    SwapTerm,
    TermRead,
)

if TYPE_CHECKING:
    import random

NO_TERM = Term(0)


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Times of a duty.

    Attributes:
        ttl_ms: Time to live of the lease.
        margin_ms: How long before the lease's end its holder stops acting; covers
            clocks that run at different rates.
        renew_every_ms: Time between renewals.
        renew_retry_ms: Time before a failed renewal is repeated.
        retry_ms: Longest time between attempts to take the duty; each is drawn
            from its upper half.
        late_renewal_ms: How long after its deadline a holder that could not renew
            keeps trying; a renewal proves that nobody else had the duty meanwhile.
    """

    ttl_ms: int = 9_000
    margin_ms: int = 1_500
    renew_every_ms: int = 3_000
    renew_retry_ms: int = 500
    retry_ms: int = 2_000
    late_renewal_ms: int = 0


@dataclass(frozen=True, slots=True)
class Idle:
    """Not held; the next attempt is due at ``retry_at_ms``."""

    retry_at_ms: int


@dataclass(frozen=True, slots=True)
class Acquiring:
    """On the way.

    Attributes:
        claim: This attempt.
        term: Term that was read.
        version: Version of the term key that was read.
        until_ms: End of the lease less the margin, counted from before the grant.
        lease: The lease, once granted.
        is_swapping: Whether the duty is taken and only the term is missing.
    """

    claim: Claim
    term: Term = NO_TERM
    version: int = 0
    until_ms: int = 0
    lease: LeaseNumber | None = None
    is_swapping: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """Held under a term.

    Attributes:
        term: Fencing term.
        lease: The lease.
        until_ms: When the holder stops acting unless a renewal succeeds.
        renew_at_ms: When the next renewal is due.
        sent_ms: When the renewal under way was sent, if there is one.
    """

    term: Term
    lease: LeaseNumber
    until_ms: int
    renew_at_ms: int
    sent_ms: int | None = None


DutyState: TypeAlias = Idle | Acquiring | Held


class DutyHolder:
    """State machine of one duty at one entry.

    Args:
        entry: This entry.
        incarnation: This run of it.
        rng: Source of the jitter between attempts.
        settings: Times.
    """

    def __init__(
        self,
        entry: EntryId,
        incarnation: Incarnation,
        *,
        rng: random.Random,
        settings: DutySettings | None = None,
    ) -> None:
        self.is_wanted = False
        self.state: DutyState = Idle(0)
        self._name = f"{entry}/{incarnation}"
        self._rng = rng
        self._settings = settings or DutySettings()
        self._attempts = 0
        self._now_ms = 0

    def term_at(self, now_ms: int) -> Term | None:
        """Returns the term to act under; none if the duty is not surely held.

        Call it with a fresh monotonic time right before each act.
        """
        match self.state:
            case Held(term=term, until_ms=until_ms):
                return term if self._now_ms <= now_ms < until_ms else None
        return None

    def tick(self, now_ms: int) -> tuple[DutyCall, ...]:
        """Returns the calls that are due."""
        state = self.state
        is_stepped_back = now_ms < self._now_ms
        self._now_ms = now_ms
        match state:
            case Idle():
                return self._begin(state, is_stepped_back=is_stepped_back)
            case Acquiring():
                return self._give_up() if is_stepped_back else ()
            case Held():
                is_over = now_ms >= state.until_ms + self._settings.late_renewal_ms
                if is_stepped_back or is_over or not self.is_wanted:
                    return self._give_up()
                return self._renew(state)

    def handle(self, reply: DutyReply, now_ms: int) -> tuple[DutyCall, ...]:
        """Takes the reply to the call under way and returns the next one."""
        if now_ms < self._now_ms:
            return self.tick(now_ms)
        self._now_ms = now_ms
        match self.state:
            case Idle():
                return ()
            case Acquiring() as state:
                return self._acquire(state, reply)
            case Held() as state:
                return self._renewed(state, reply)

    def fence(self, term: Term) -> tuple[DutyCall, ...]:
        """Learns that a term is in use; a lower one gives up at once."""
        match self.state:
            case Held(term=own) if own < term:
                return self._give_up()
        return ()

    def _begin(self, state: Idle, *, is_stepped_back: bool) -> tuple[DutyCall, ...]:
        if is_stepped_back:
            self.state = Idle(self._retry_at_ms())
        elif self.is_wanted and self._now_ms >= state.retry_at_ms:
            self._attempts += 1
            self.state = Acquiring(Claim(f"{self._name}/{self._attempts}"))
            return (ReadTerm(),)
        return ()

    def _acquire(self, state: Acquiring, reply: DutyReply) -> tuple[DutyCall, ...]:
        if not self.is_wanted or (state.lease and self._now_ms >= state.until_ms):
            return self._give_up()
        match reply:
            case TermRead() if state.is_swapping:
                return self._settle_term(state, reply)
            case TermRead():
                return self._read(state, reply)
            case LeaseGranted(lease):
                self.state = replace(state, lease=lease)
                return (CreateHolder(lease, state.claim),)
            case HolderRead(claim) if state.lease is not None:
                return self._settle_holder(state, state.lease, claim)
            case CallSucceeded():
                return self._hold(state) if state.is_swapping else self._swap(state)
            case CallRejected() | CallOutcomeUnknown() if state.is_swapping:
                return (ReadTerm(),)
            case CallOutcomeUnknown() if state.lease is not None:
                return (ReadHolder(),)
        return self._give_up()

    def _read(self, state: Acquiring, reply: TermRead) -> tuple[DutyCall, ...]:
        settings = self._settings
        self.state = replace(
            state,
            term=reply.term,
            version=reply.version,
            until_ms=self._now_ms + settings.ttl_ms - settings.margin_ms,
        )
        return (GrantLease(settings.ttl_ms),)

    def _settle_holder(
        self, state: Acquiring, lease: LeaseNumber, claim: Claim | None
    ) -> tuple[DutyCall, ...]:
        """Decides after a lost reply whether the duty was taken."""
        if claim == state.claim:
            return self._swap(state)
        return (CreateHolder(lease, state.claim),) if claim is None else self._give_up()

    def _swap(self, state: Acquiring) -> tuple[DutyCall, ...]:
        self.state = replace(state, is_swapping=True)
        return (SwapTerm(Term(state.term + 1), state.claim, state.version),)

    def _settle_term(self, state: Acquiring, reply: TermRead) -> tuple[DutyCall, ...]:
        """Decides after a lost reply or a conflict whether the swap was ours."""
        if reply.claim == state.claim:
            return self._hold(state)
        is_unchanged = reply.version == state.version
        return self._swap(state) if is_unchanged else self._give_up()

    def _hold(self, state: Acquiring) -> tuple[DutyCall, ...]:
        if state.lease is None:
            return self._give_up()
        self.state = Held(
            term=Term(state.term + 1),
            lease=state.lease,
            until_ms=state.until_ms,
            renew_at_ms=self._now_ms,
        )
        return self._renew(self.state)

    def _renew(self, state: Held) -> tuple[DutyCall, ...]:
        if state.sent_ms is not None or self._now_ms < state.renew_at_ms:
            return ()
        self.state = replace(state, sent_ms=self._now_ms)
        return (RenewLease(state.lease),)

    def _renewed(self, state: Held, reply: DutyReply) -> tuple[DutyCall, ...]:
        settings = self._settings
        if state.sent_ms is None:
            return ()
        is_over = self._now_ms >= state.until_ms + settings.late_renewal_ms
        if is_over or isinstance(reply, CallRejected):
            return self._give_up()
        match reply:
            case CallSucceeded():
                self.state = replace(
                    state,
                    until_ms=state.sent_ms + settings.ttl_ms - settings.margin_ms,
                    renew_at_ms=state.sent_ms + settings.renew_every_ms,
                    sent_ms=None,
                )
            case CallFailed() | CallOutcomeUnknown():
                retry_at_ms = self._now_ms + settings.renew_retry_ms
                self.state = replace(state, renew_at_ms=retry_at_ms, sent_ms=None)
        return ()

    def _give_up(self) -> tuple[DutyCall, ...]:
        lease = None if isinstance(self.state, Idle) else self.state.lease
        self.state = Idle(self._retry_at_ms())
        return () if lease is None else (RevokeLease(lease),)

    def _retry_at_ms(self) -> int:
        retry_ms = self._settings.retry_ms
        return self._now_ms + self._rng.randint(retry_ms // 2, retry_ms)
