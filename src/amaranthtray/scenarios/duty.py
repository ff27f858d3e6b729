"""A duty that a virtual entry holds through a lease in the store."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..domain.ids import Term
from ..store.contract import LeaseGone

if TYPE_CHECKING:
    from ..store.contract import LeaseId, Store

DUTY_TTL_MS = 3_000
DUTY_MARGIN_MS = 500
"""Time before the expiry of the lease at which the holder stops acting."""


class DutyChange(Enum):
    """How a step has changed the state of a duty."""

    NONE = auto()
    GAINED = auto()
    RENEWED = auto()
    LOST = auto()


class Duty:
    """One duty from the point of view of one entry.

    Attributes:
        term: Fencing term; increases with each holder.
        held_until_ms: Time until which the duty is certainly held.
    """

    def __init__(self, store: Store, key: str, holder: str) -> None:
        self.term = Term(0)
        self.held_until_ms = 0
        self._store = store
        self._key = key
        self._holder = holder
        self._lease: LeaseId | None = None

    @property
    def is_held(self) -> bool:
        """Returns whether this entry acquired the duty and has not lost it since."""
        return self._lease is not None

    def step(self, now_ms: int) -> DutyChange:
        """Renews the lease of the duty, or tries to acquire the duty."""
        if self._lease is None:
            return self._try_acquire(now_ms)
        renewed = self._store.renew_lease(self._lease)
        if isinstance(renewed, Success):
            self.held_until_ms = now_ms + DUTY_TTL_MS - DUTY_MARGIN_MS
            return DutyChange.RENEWED
        if isinstance(renewed.failure(), LeaseGone):
            self._lease = None
            return DutyChange.LOST
        return DutyChange.NONE

    def resign(self) -> None:
        """Releases the duty, so that another entry can acquire it at once."""
        if self._lease is not None:
            self._store.revoke_lease(self._lease)
            self._lease = None

    def _try_acquire(self, now_ms: int) -> DutyChange:
        found = self._store.get(self._key)
        if isinstance(found, Failure) or found.unwrap() is not None:
            return DutyChange.NONE
        lease = self._store.grant_lease(DUTY_TTL_MS).value_or(None)
        if lease is None:
            return DutyChange.NONE
        value = self._holder.encode()
        created = self._store.create(self._key, value, lease=lease)
        if isinstance(created, Failure):
            return DutyChange.NONE
        self._lease = lease
        self.term = Term(created.unwrap())
        self.held_until_ms = now_ms + DUTY_TTL_MS - DUTY_MARGIN_MS
        return DutyChange.GAINED
