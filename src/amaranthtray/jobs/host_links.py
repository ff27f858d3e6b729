"""The links of one conductor to the hosts of its pool."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..domain.scheduling.lease import SLOWEST_CLOCK_RATE, HostLease
from ..domain.scheduling.messages import (
    HostReport,
    HostRunsEnded,
    HostSilent,
    Message,
)
from ..domain.scheduling.start_check import (
    StartHindrance,
    StartInputs,
    StartLimits,
    start_hindrance,
)
from . import clock
from .host_link import HostLink
from .times import LEASE_MS, RENEWAL_GRACE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import HostId
    from ..domain.scheduling.messages import AcknowledgeEnds, HostInfo
    from ..domain.scheduling.orders import HostOrder
    from .conductor_log import ConductorLog
    from .context import JobEntryContext
    from .term_guard import TermGuard


@dataclass(frozen=True, slots=True)
class LinkMessage:
    """A message of one link, which another one may have replaced since."""

    link: int
    message: Message


class HostLinks:
    """Opens and closes links, and passes orders on to them; not thread-safe.

    Args:
        context: Objects that all tasks of the entry share.
        guard: Tells whether leases may be renewed and orders sent.
        post: Queues a message for the conductor.
        log: Log of the conductor.
        cancellations_age_ms: Returns the time since the cancellations of the pool's
            jobs were certainly known; None if they never were.

    Attributes:
        earlier_leases_until_ms: Steady-clock time at which leases granted by earlier
            terms have expired.
    """

    def __init__(
        self,
        context: JobEntryContext,
        guard: TermGuard,
        post: Callable[[LinkMessage], None],
        log: ConductorLog,
        cancellations_age_ms: Callable[[], int | None],
    ) -> None:
        self._context = context
        self._guard = guard
        self._post = post
        self._log = log
        self._cancellations_age_ms = cancellations_age_ms
        self._max_lease_ms = context.settings.hosts.max_lease_ms
        self._lease_ms = min(LEASE_MS, self._max_lease_ms)
        now_ms = clock.steady_ms()
        wait_ms = RENEWAL_GRACE_MS + int(self._lease_ms / SLOWEST_CLOCK_RATE)
        self.earlier_leases_until_ms = now_ms + wait_ms
        longest_ms = math.ceil(self._max_lease_ms / SLOWEST_CLOCK_RATE)
        self._longest_lease_until_ms = now_ms + max(wait_ms, longest_ms + 1)
        self._links: dict[HostId, HostLink] = {}
        self._numbers: dict[HostId, int] = {}
        self._opened = 0
        self._last_tokens: dict[HostId, int] = {}
        self._last_leases: dict[HostId, int] = {}

    def open(self, info: HostInfo) -> None:
        """Opens a link in place of an earlier one.

        A host that no client can be made for stays without one, and so gets no runs.
        """
        self.close(info.id)
        try:
            api = self._context.platform.host_api(info, self._guard.term)
        except ValueError as exc:
            self._log.event("host-unusable", host=info.id, why=str(exc))
            return
        api.continue_fencing_tokens(self._last_tokens.pop(info.id, 0))
        lease = HostLease(
            lease_ms=self._lease_ms,
            max_lease_ms=self._max_lease_ms,
            earlier_leases_until_ms=max(
                self._earlier_lease_until_ms(info), self._last_leases.pop(info.id, 0)
            ),
        )
        self._opened += 1
        number = self._numbers[info.id] = self._opened
        link = HostLink(
            info,
            api=api,
            lease=lease,
            guard=self._guard,
            post=lambda message: self._post(LinkMessage(number, message)),
            log=self._context.log,
            hindrance=lambda waited_ms: self._hindrance(info, waited_ms),
        )
        self._links[info.id] = link
        link.start()

    def _earlier_lease_until_ms(self, info: HostInfo) -> int:
        """Returns when leases by earlier terms have expired on a host.

        If its entry doesn't say which incarnation wrote it, orders of an earlier term
        may have reached another one than they were meant for.
        """
        if info.born:
            return self.earlier_leases_until_ms
        return self._longest_lease_until_ms

    def receive(self, sent: Message | LinkMessage) -> Message | None:
        """Returns a message; None if it is of a link and outdated.

        What a link that was replaced has learned of its host holds for the host's
        former address and incarnation. Its replies to orders name a run each, and hold.
        """
        if not isinstance(sent, LinkMessage):
            return sent
        message = sent.message
        if isinstance(message, HostReport | HostSilent | HostRunsEnded):
            if self._numbers.get(message.host) == sent.link:
                return message
            kind = type(message).__name__
            self._log.event("link-outdated", host=message.host, message=kind)
            return None
        return message

    def _hindrance(self, info: HostInfo, waited_ms: int) -> StartHindrance | None:
        """Returns what keeps a start from being sent to a host now."""
        settings, evacuations = self._context.settings, self._context.evacuations
        inputs = StartInputs(
            host=self._context.hosts.listed(info.id),
            is_evacuated=info.zone in evacuations.zones,
            evacuations_age_ms=evacuations.age_ms(),
            cancellations_age_ms=self._cancellations_age_ms(),
            waited_ms=waited_ms,
        )
        evacuation = settings.evacuation
        limits = StartLimits(
            leaving_ms=settings.hosts.leaving_start_limit_ms,
            evacuation_ms=evacuation.start_limit_ms if evacuation else None,
            cancellation_ms=settings.jobs.cancellation_limit_ms,
        )
        return start_hindrance(inputs, limits)

    def close(self, host: HostId) -> None:
        """Closes the link to a host if there is one."""
        link = self._links.pop(host, None)
        if link is not None:
            del self._numbers[host]
            self._last_tokens[host] = link.fencing_token
            link.close()
            self._last_leases[host] = link.lease_expires_by_ms

    def close_all(self) -> None:
        """Closes all links."""
        for host in list(self._links):
            self.close(host)

    def has(self, host: HostId) -> bool:
        """Returns whether there is a link to a host."""
        return host in self._links

    def order(self, order: HostOrder) -> None:
        """Queues an order to a host that has a link."""
        self._links[order.host].order(order)

    def acknowledge(self, effect: AcknowledgeEnds) -> None:
        """Acknowledges ends of a host, if it has a link, from its next poll on."""
        if self.has(effect.host):
            self._links[effect.host].acknowledge(effect.born, effect.sequence)
