"""Log lines of the link to one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..domain.ids import HostId
    from ..domain.scheduling.orders import StartRun, StopRun
    from .event_log import EventLog
    from .ports import HostStatus

LOGGED_WAIT_MS = 500
"""A start that is sent, or a stop that is answered, longer after its order than this
has a log line."""

LOGGED_RENEWAL_MS = 3_500
"""A lease that is renewed longer after the last time than this has a log line; it
usually takes as long as a host holds a poll."""


class LinkLog:
    """Writes what a link learns of its host, and which orders are late.

    Args:
        host: The host.
        log: Log of the entry.
    """

    def __init__(self, host: HostId, log: EventLog) -> None:
        self._host = host
        self._log = log
        self._renewed_ms: int | None = None

    def event(self, event: str, **fields: object) -> None:
        """Writes a log line with the host."""
        self._log.event(event, host=self._host, **fields)

    def record_renewal(self, sent_ms: int) -> None:
        """Logs a renewal of the lease that was sent long after the last one."""
        last_ms, self._renewed_ms = self._renewed_ms, sent_ms
        if last_ms is not None and sent_ms - last_ms > LOGGED_RENEWAL_MS:
            self.event("lease-renewed-late", after_ms=sent_ms - last_ms)

    def record_ends(self, status: HostStatus) -> None:
        """Logs that a host listed only the first of its ends."""
        if not status.has_all_ends:
            self.event("host-ends-partial", ends=len(status.ends))

    def record_wait(
        self, event: str, order: StartRun | StopRun, waited_ms: int, unanswered: int
    ) -> None:
        """Logs an order that waited for long."""
        if waited_ms > LOGGED_WAIT_MS:
            self.event(
                event,
                task=str(order.name),
                run=order.number,
                waited_ms=waited_ms,
                unanswered=unanswered,
            )
