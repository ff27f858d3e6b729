"""State machine by which an entry acquires, renews and gives up a duty.

An attempt reads the term key first and swaps it last. Another entry that acquired the
duty in between has changed the term key, so an entry that was paused during its
attempt loses the swap.
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
    """Timing of a duty.

    Attributes:
        ttl_ms: Time to live of the lease.
        margin_ms: How long before the lease expires its holder stops acting, to allow
            for clocks that run at different rates.
        renew_every_ms: Interval between renewals.
        renew_retry_ms: Delay before a failed renewal is repeated.
        retry_ms: Longest delay between attempts to acquire the duty; each delay is
            drawn from the upper half, so that competing entries spread out.
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
    """The duty is not held.

    Attributes:
        retry_at_ms: When the next attempt is due.
        unrevoked: Lease of the last attempt or term until its revocation is confirmed;
            it may keep the duty from other entries.
        revoke_at_ms: When that revocation is due again.
    """

    retry_at_ms: int
    unrevoked: LeaseNumber | None = None
    revoke_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Acquiring:
    """An attempt to acquire the duty is under way.

    Attributes:
        claim: Identifies this attempt.
        term: Term read from the term key.
        version: Version of the term key when it was read.
        until_ms: End of the lease less the margin, counted from before the grant.
        lease: The lease, once granted.
        is_swapping: Whether the holder key is created and the term key is next.
    """

    claim: Claim
    term: Term = NO_TERM
    version: int = 0
    until_ms: int = 0
    lease: LeaseNumber | None = None
    is_swapping: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """The duty is held under a term.

    Attributes:
        term: Fencing term.
        lease: The lease of the holder key.
        until_ms: When the holder must stop acting unless a renewal succeeds.
        renew_at_ms: When the next renewal is due.
        renewal_sent_ms: When the pending renewal was sent; ``None`` if there is none.
    """

    term: Term
    lease: LeaseNumber
    until_ms: int
    renew_at_ms: int
    renewal_sent_ms: int | None = None


DutyState: TypeAlias = Idle | Acquiring | Held


class DutyHolder:
    """State machine of one duty at one entry.

    Args:
        entry: This entry.
        incarnation: This incarnation of the entry.
        rng: Source of randomness for the delays between attempts.
        settings: Timing.

    Attributes:
        is_wanted: Whether to acquire the duty, or keep it.
        state: Present state.
        late_renewals: Number of renewals after the deadline, each of which ended a gap
            in which the term wasn't certainly held.
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
        self.late_renewals = 0
        self._name = f"{entry}/{incarnation}"
        self._rng = rng
        self._settings = settings or DutySettings()
        self._attempts = 0
        self._now_ms = 0

    @property
    def latest_ms(self) -> int:
        """Returns the latest time that the state machine was given."""
        return self._now_ms

    def term_at(self, now_ms: int, *, latest_ms: int | None = None) -> Term | None:
        """Returns the term to act under; ``None`` unless the duty is certainly held.

        Call this right before each action.

        Args:
            now_ms: Current monotonic time.
            latest_ms: ``latest_ms`` from before the clock was read. A thread that
                doesn't tick must give it, as a tick after that reading of the clock
                would look as if the clock had stepped back.
        """
        latest_ms = self._now_ms if latest_ms is None else latest_ms
        match self.state:
            case Held(term=term, until_ms=until_ms):
                return term if latest_ms <= now_ms < until_ms else None
        return None

    def tick(self, now_ms: int) -> tuple[DutyCall, ...]:
        """Returns the calls that are due."""
        state = self.state
        has_clock_stepped_back = now_ms < self._now_ms
        self._now_ms = now_ms
        match state:
            case Idle(unrevoked=lease) if lease is not None:
                return self._revoke_again(state, lease)
            case Idle():
                return self._start_attempt(
                    state, has_clock_stepped_back=has_clock_stepped_back
                )
            case Acquiring():
                return self._give_up() if has_clock_stepped_back else ()
            case Held():
                is_expired = now_ms >= state.until_ms + self._settings.late_renewal_ms
                if has_clock_stepped_back or is_expired or not self.is_wanted:
                    return self._give_up()
                return self._renew(state)

    def handle(self, reply: DutyReply, now_ms: int) -> tuple[DutyCall, ...]:
        """Handles the reply to the pending call and returns the next calls."""
        if now_ms < self._now_ms:
            return self.tick(now_ms)
        self._now_ms = now_ms
        match self.state:
            case Idle() as state:
                self._handle_revocation_reply(state, reply)
                return ()
            case Acquiring() as state:
                return self._handle_acquire_reply(state, reply)
            case Held() as state:
                return self._handle_renewal_reply(state, reply)

    def observe_term(self, term: Term) -> tuple[DutyCall, ...]:
        """Gives the duty up if it is held under a term lower than ``term``."""
        match self.state:
            case Held(term=own) if own < term:
                return self._give_up()
        return ()

    def _start_attempt(
        self, state: Idle, *, has_clock_stepped_back: bool
    ) -> tuple[DutyCall, ...]:
        if has_clock_stepped_back:
            self.state = Idle(self._retry_at_ms())
        elif self.is_wanted and self._now_ms >= state.retry_at_ms:
            self._attempts += 1
            self.state = Acquiring(Claim(f"{self._name}/{self._attempts}"))
            return (ReadTerm(),)
        return ()

    def _handle_acquire_reply(
        self, state: Acquiring, reply: DutyReply
    ) -> tuple[DutyCall, ...]:
        if not self.is_wanted or (state.lease and self._now_ms >= state.until_ms):
            return self._give_up()
        match reply:
            case TermRead() if state.is_swapping:
                return self._resolve_term(state, reply)
            case TermRead():
                return self._request_lease(state, reply)
            case LeaseGranted(lease):
                self.state = replace(state, lease=lease)
                return (CreateHolder(lease, state.claim),)
            case HolderRead(claim) if state.lease is not None:
                return self._resolve_holder(state, state.lease, claim)
            case CallSucceeded():
                return (
                    self._become_holder(state)
                    if state.is_swapping
                    else self._swap_term(state)
                )
            case CallRejected() | CallOutcomeUnknown() if state.is_swapping:
                return (ReadTerm(),)
            case CallOutcomeUnknown() if state.lease is not None:
                return (ReadHolder(),)
        return self._give_up()

    def _request_lease(self, state: Acquiring, reply: TermRead) -> tuple[DutyCall, ...]:
        settings = self._settings
        self.state = replace(
            state,
            term=reply.term,
            version=reply.version,
            until_ms=self._now_ms + settings.ttl_ms - settings.margin_ms,
        )
        return (GrantLease(settings.ttl_ms),)

    def _resolve_holder(
        self, state: Acquiring, lease: LeaseNumber, claim: Claim | None
    ) -> tuple[DutyCall, ...]:
        """Decides after a lost reply whether this attempt created the holder key."""
        if claim == state.claim:
            return self._swap_term(state)
        return (CreateHolder(lease, state.claim),) if claim is None else self._give_up()

    def _swap_term(self, state: Acquiring) -> tuple[DutyCall, ...]:
        self.state = replace(state, is_swapping=True)
        return (SwapTerm(Term(state.term + 1), state.claim, state.version),)

    def _resolve_term(self, state: Acquiring, reply: TermRead) -> tuple[DutyCall, ...]:
        """Decides after a lost reply or a conflict whether this attempt swapped it."""
        if reply.claim == state.claim:
            return self._become_holder(state)
        is_unchanged = reply.version == state.version
        return self._swap_term(state) if is_unchanged else self._give_up()

    def _become_holder(self, state: Acquiring) -> tuple[DutyCall, ...]:
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
        if state.renewal_sent_ms is not None or self._now_ms < state.renew_at_ms:
            return ()
        self.state = replace(state, renewal_sent_ms=self._now_ms)
        return (RenewLease(state.lease),)

    def _handle_renewal_reply(
        self, state: Held, reply: DutyReply
    ) -> tuple[DutyCall, ...]:
        settings = self._settings
        if state.renewal_sent_ms is None:
            return ()
        is_expired = self._now_ms >= state.until_ms + settings.late_renewal_ms
        if is_expired or isinstance(reply, CallRejected):
            return self._give_up()
        match reply:
            case CallSucceeded():
                # Counted first, so that no other thread sees the term without it.
                self.late_renewals += self._now_ms >= state.until_ms
                self.state = replace(
                    state,
                    until_ms=state.renewal_sent_ms
                    + settings.ttl_ms
                    - settings.margin_ms,
                    renew_at_ms=state.renewal_sent_ms + settings.renew_every_ms,
                    renewal_sent_ms=None,
                )
            case CallFailed() | CallOutcomeUnknown():
                retry_at_ms = self._now_ms + settings.renew_retry_ms
                self.state = replace(
                    state, renew_at_ms=retry_at_ms, renewal_sent_ms=None
                )
        return ()

    def _give_up(self) -> tuple[DutyCall, ...]:
        lease = None if isinstance(self.state, Idle) else self.state.lease
        revoke_at_ms = self._now_ms + self._settings.renew_retry_ms
        self.state = Idle(self._retry_at_ms(), lease, revoke_at_ms)
        return () if lease is None else (RevokeLease(lease),)

    def _revoke_again(self, state: Idle, lease: LeaseNumber) -> tuple[DutyCall, ...]:
        if self._now_ms < state.revoke_at_ms:
            return ()
        revoke_at_ms = self._now_ms + self._settings.renew_retry_ms
        self.state = replace(state, revoke_at_ms=revoke_at_ms)
        return (RevokeLease(lease),)

    def _handle_revocation_reply(self, state: Idle, reply: DutyReply) -> None:
        if isinstance(reply, CallSucceeded | CallRejected):
            self.state = replace(state, unrevoked=None)

    def _retry_at_ms(self) -> int:
        retry_ms = self._settings.retry_ms
        return self._now_ms + self._rng.randint(retry_ms // 2, retry_ms)
