"""Placement advice: which hosts an external policy allows for a step."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId
from ..jobs.model import StepKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .host import Host

HOSTS_PER_REQUEST = 30
"""Response time grows with each host, and the objective allows this many."""

EXPIRY_MARGIN_MS = 300
"""Remaining validity of a ticket, as it must be valid when the start order arrives."""

REQUEST_RETRY_MS = 1_000
"""Time after which a request without a response is repeated."""


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Requests advice on which of the hosts may run a step."""

    step: StepKey
    hosts: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class AdviceReceived:
    """Placement advice: a ticket for each allowed host of a request.

    Attributes:
        step: Step of the request.
        hosts: Hosts of the request.
        tickets: Tickets of the allowed hosts.
        valid_until_ms: Steady-clock time at which the tickets expire.
    """

    step: StepKey
    hosts: tuple[HostId, ...]
    tickets: Mapping[HostId, str]
    valid_until_ms: int


@dataclass(slots=True)
class _StepAdvice:
    denied: set[HostId] = field(default_factory=set)
    tickets: dict[HostId, tuple[str, int]] = field(default_factory=dict)
    requested_ms: int | None = None


@dataclass(slots=True)
class AdviceCache:
    """Cached advice by step; the hosts that a policy allows for a step don't change."""

    _steps: dict[StepKey, _StepAdvice] = field(default_factory=dict)

    def handle_advice(self, received: AdviceReceived) -> None:
        """Stores tickets and denied hosts from a response."""
        advice = self._steps.setdefault(received.step, _StepAdvice())
        advice.requested_ms = None
        for host in received.hosts:
            ticket = received.tickets.get(host)
            if ticket is None:
                advice.denied.add(host)
            else:
                advice.tickets[host] = (ticket, received.valid_until_ms)

    def ticket(self, step: StepKey, host: HostId, now_ms: int) -> str | None:
        """Returns a ticket that does not expire soon, if there is one."""
        advice = self._steps.get(step)
        ticket, until_ms = advice.tickets.get(host, ("", 0)) if advice else ("", 0)
        return ticket if now_ms + EXPIRY_MARGIN_MS < until_ms else None

    def remove_ticket(self, step: StepKey, host: HostId) -> None:
        """Removes a ticket that its host has refused."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(host, None)

    def next_request(
        self, step: StepKey, hosts: Iterable[Host], now_ms: int
    ) -> RequestAdvice | None:
        """Returns the request that is due for a step with too few allowed hosts."""
        advice = self._steps.setdefault(step, _StepAdvice())
        if (
            advice.requested_ms is not None
            and now_ms - advice.requested_ms < REQUEST_RETRY_MS
        ):
            return None
        unknown_hosts = [
            host
            for host in hosts
            if host.info.id not in advice.denied
            and self.ticket(step, host.info.id, now_ms) is None
        ]
        # Hosts with an expired ticket go first, as the policy still allows them.
        unknown_hosts.sort(
            key=lambda host: (host.info.id not in advice.tickets, -host.free.cpu)
        )
        ids = tuple(host.info.id for host in unknown_hosts[:HOSTS_PER_REQUEST])
        if not ids:
            return None
        advice.requested_ms = now_ms
        return RequestAdvice(step, ids)

    def remove_job(self, job: str) -> None:
        """Removes all steps of a job that is over."""
        for step in [step for step in self._steps if step.job == job]:
            del self._steps[step]
