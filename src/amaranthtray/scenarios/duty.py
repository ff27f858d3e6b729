"""A duty that a virtual entry holds by a lease in the platform's store."""

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


class DutyNews(Enum):
    """What a step has changed."""

    NONE = auto()
    GAINED = auto()
    RENEWED = auto()
    LOST = auto()


class Duty:
    """One duty as one entry sees it.

    Attributes:
        term: Fencing term; grows with each holder.
        until_ms: Until when it is held for sure.
    """

    def __init__(self, store: Store, key: str, holder: str) -> None:
        self.term = Term(0)
        self.until_ms = 0
        self._store = store
        self._key = key
        self._holder = holder
        self._lease: LeaseId | None = None

    @property
    def is_held(self) -> bool:
        """Returns whether the duty was gained and not lost since."""
        return self._lease is not None

    def step(self, now_ms: int) -> DutyNews:
        """Renews the duty, or tries to gain it."""
        if self._lease is None:
            return self._gain(now_ms)
        renewed = self._store.renew_lease(self._lease)
        if isinstance(renewed, Success):
            self.until_ms = now_ms + DUTY_TTL_MS - DUTY_MARGIN_MS
            return DutyNews.RENEWED
        if isinstance(renewed.failure(), LeaseGone):
            self._lease = None
            return DutyNews.LOST
        return DutyNews.NONE

    def give_up(self) -> None:
        """Ends the duty."""
        if self._lease is not None:
            self._store.revoke_lease(self._lease)
            self._lease = None

    def _gain(self, now_ms: int) -> DutyNews:
        found = self._store.get(self._key)
        if isinstance(found, Failure) or found.unwrap() is not None:
            return DutyNews.NONE
        lease = self._store.grant_lease(DUTY_TTL_MS).value_or(None)
        if lease is None:
            return DutyNews.NONE
        value = self._holder.encode()
        created = self._store.create(self._key, value, lease=lease)
        if isinstance(created, Failure):
            return DutyNews.NONE
        self._lease = lease
        self.term = Term(created.unwrap())
        self.until_ms = now_ms + DUTY_TTL_MS - DUTY_MARGIN_MS
        return DutyNews.GAINED
