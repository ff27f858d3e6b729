"""The duties that one entry holds or is about to acquire."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.duties.names import DutyName


class DutyClaims:
    """Claims of an entry on duties; thread-safe.

    Acquiring a duty takes some calls. A duty counts from before the first one, as
    otherwise an entry acquires all duties that become free at the same moment.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._claimed: set[DutyName] = set()

    def claim(self, duty: DutyName, may_claim: Callable[[int], bool]) -> bool:
        """Claims a duty if ``may_claim`` permits it beside the other claimed duties.

        Args:
            duty: The duty.
            may_claim: Gets the number of other duties that are claimed.
        """
        with self._lock:
            is_allowed = may_claim(len(self._claimed - {duty}))
            if is_allowed:
                self._claimed.add(duty)
            return is_allowed

    def release(self, duty: DutyName) -> None:
        """Withdraws the claim on a duty, if there is one."""
        with self._lock:
            self._claimed.discard(duty)
