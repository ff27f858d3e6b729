"""Tells whether a conductor may still act under its term."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from . import clock
from .times import RENEWAL_GRACE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import Term


class TermGuard:
    """Tells whether a conductor may still act under its term; thread-safe.

    Args:
        term: Term of the conductor.
        held_term: Returns the term that is certainly held now; None if there is none.
    """

    def __init__(self, term: Term, held_term: Callable[[], Term | None]) -> None:
        self.term = term
        self._held_term = held_term
        self._last_held_ms = clock.steady_ms()
        self._superseded = threading.Event()

    def may_order(self) -> bool:
        """Returns whether orders may be sent now: the term is certainly held."""
        if self._superseded.is_set() or self._held_term() != self.term:
            return False
        self._last_held_ms = clock.steady_ms()
        return True

    def may_renew(self) -> bool:
        """Returns whether leases may be renewed, until a grace time after the term."""
        if self._superseded.is_set():
            return False
        if self.may_order():
            return True
        return clock.steady_ms() - self._last_held_ms < RENEWAL_GRACE_MS

    def mark_superseded(self) -> None:
        """Records that a higher term is in force."""
        self._superseded.set()
