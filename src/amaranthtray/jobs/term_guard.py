"""Tells whether the work of a duty may still act under its term."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from . import clock
from .times import RENEWAL_GRACE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import Term


class TermGuard:
    """Tells all threads of a duty's work the same about its term; thread-safe.

    While the term isn't certainly held, the work pauses: it sends no orders. It ends
    when a grace time has passed, also if the term is resumed later, as some of its
    threads may have ended by then. The work's ``is_over`` must tell that.

    Args:
        term: Term of the work.
        held_term: Returns the term that is certainly held now; None if there is none.
    """

    def __init__(self, term: Term, held_term: Callable[[], Term | None]) -> None:
        self.term = term
        self._held_term = held_term
        self._last_held_ms = clock.steady_ms()
        self._ended = threading.Event()

    def may_order(self) -> bool:
        """Returns whether orders may be sent now: the term is certainly held."""
        now_ms = clock.steady_ms()
        if self._ended.is_set() or self._held_term() != self.term:
            return False
        self._last_held_ms = now_ms
        return True

    def may_continue(self) -> bool:
        """Returns whether the work goes on, and may renew the leases of runs."""
        if self.may_order():
            return True
        if clock.steady_ms() - self._last_held_ms >= RENEWAL_GRACE_MS:
            self._ended.set()
        return not self._ended.is_set()

    def mark_superseded(self) -> None:
        """Records that a higher term is in force."""
        self._ended.set()
