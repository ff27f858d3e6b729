"""Executes the store calls of the state machine that holds a duty."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..domain.duties.messages import (
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
from ..domain.ids import Term
from .contract import (
    Conflict,
    EffectUnknown,
    LeaseGone,
    LeaseId,
    StoreFailure,
    Versioned,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.duties import DutyHolder
    from ..domain.duties.names import DutyName
    from .contract import Store

T = TypeVar("T")

PREFIX = "duties/"


def term_key(name: DutyName) -> str:
    """Returns the key of a duty's newest term; it changes with each new holder."""
    return f"{PREFIX}{name}/term"


def read_term_version(
    store: Store, name: DutyName, term: Term
) -> Result[int, StoreFailure]:
    """Returns the version of a duty's term key while ``term`` is the newest.

    A write that expects this version fails once a later term has begun. Returns a
    ``Conflict`` if one has.
    """
    read = store.get(term_key(name))
    if not isinstance(read, Success):
        return Failure(read.failure())
    stored = read.unwrap()
    if stored is None:
        return Success(0)
    value = msgspec.json.decode(stored.value, type=_TermValue)
    if value.term != term:
        return Failure(Conflict("read-term", name, stored))
    return Success(stored.version)


class _TermValue(msgspec.Struct):
    """Value of the term key: the latest term and the claim that acquired it."""

    term: int
    claim: str


class DutyRunner:
    """Runs one duty of one entry; any thread may call ``term``, one all the rest.

    Args:
        name: The duty.
        holder: Its state machine.
        store: The platform's store.
        clock: Monotonic clock in milliseconds.
    """

    def __init__(
        self,
        name: DutyName,
        holder: DutyHolder,
        *,
        store: Store,
        clock: Callable[[], int],
    ) -> None:
        self.holder = holder
        self._store = store
        self._clock = clock
        self._term_key = term_key(name)
        self._holder_key = f"{PREFIX}{name}/holder"

    def run(self) -> Term | None:
        """Executes the calls that are due; returns the term held now, if any."""
        calls = deque(self.holder.tick(self._clock()))
        while calls:
            reply = self.call(calls.popleft())
            calls.extend(self.holder.handle(reply, self._clock()))
        return self.term()

    def term(self) -> Term | None:
        """Returns the term to act under now; None unless it is certainly held."""
        latest_ms = self.holder.latest_ms
        return self.holder.term_at(self._clock(), latest_ms=latest_ms)

    def release(self) -> None:
        """Releases the duty, as an entry does when it shuts down."""
        self.holder.is_wanted = False
        self.run()

    def call(self, call: DutyCall) -> DutyReply:
        """Executes one call and returns its reply."""
        store = self._store
        match call:
            case ReadTerm():
                return _reply(store.get(self._term_key), _term_read)
            case ReadHolder():
                return _reply(store.get(self._holder_key), _holder_read)
            case GrantLease(ttl_ms):
                return _reply(
                    store.grant_lease(ttl_ms),
                    lambda lease: LeaseGranted(LeaseNumber(lease)),
                )
            case CreateHolder(lease, claim):
                created = store.create(
                    self._holder_key, claim.encode(), lease=LeaseId(lease)
                )
                return _reply(created, _succeeded)
            case SwapTerm():
                return _reply(self._swap_term(call), _succeeded)
            case RenewLease(lease):
                return _reply(store.renew_lease(LeaseId(lease)), _succeeded)
            case RevokeLease(lease):
                return _reply(store.revoke_lease(LeaseId(lease)), _succeeded)

    def _swap_term(self, call: SwapTerm) -> Result[int, StoreFailure]:
        value = msgspec.json.encode(_TermValue(call.term, call.claim))
        if call.version == 0:
            return self._store.create(self._term_key, value)
        return self._store.compare_and_swap(self._term_key, value, version=call.version)


def _reply(
    result: Result[T, StoreFailure], on_success: Callable[[T], DutyReply]
) -> DutyReply:
    if isinstance(result, Success):
        return on_success(result.unwrap())
    match result.failure():
        case Conflict() | LeaseGone():
            return CallRejected()
        case EffectUnknown():
            return CallOutcomeUnknown()
    return CallFailed()


def _succeeded(_: object) -> DutyReply:
    return CallSucceeded()


def _term_read(stored: Versioned | None) -> DutyReply:
    if stored is None:
        return TermRead(Term(0), Claim(""), 0)
    try:
        value = msgspec.json.decode(stored.value, type=_TermValue)
    except msgspec.DecodeError:
        return CallFailed()
    return TermRead(Term(value.term), Claim(value.claim), stored.version)


def _holder_read(stored: Versioned | None) -> DutyReply:
    return HolderRead(Claim(stored.value.decode()) if stored else None)
