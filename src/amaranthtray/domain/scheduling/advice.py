"""Placement advice: which hosts an external policy allows for a step."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId
from ..jobs.model import StepKey
from .placement import acceptable_count, may_ever_fit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.model import StepSpec
    from .host import Host

HOSTS_PER_REQUEST = 30
"""Response time grows with each host, and the objective allows this many."""

EXPIRY_MARGIN_MS = 300
"""Remaining validity of a ticket, as it must be valid when the start order arrives."""


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


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """A request for advice was refused, or will certainly get no answer any more."""

    step: StepKey


@dataclass(slots=True)
class _StepAdvice:
    denied: set[HostId] = field(default_factory=set)
    tickets: dict[HostId, tuple[str, int]] = field(default_factory=dict)


@dataclass(slots=True)
class AdviceCache:
    """Cached advice by step; the hosts that a policy allows for a step don't change."""

    _steps: dict[StepKey, _StepAdvice] = field(default_factory=dict)

    def handle_advice(self, received: AdviceReceived) -> None:
        """Stores tickets and denied hosts from a response."""
        advice = self._steps.setdefault(received.step, _StepAdvice())
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

    def is_allowed(self, step: StepKey, host: HostId) -> bool:
        """Returns whether the policy is known to allow a host, with or without ticket.

        An expired ticket can be renewed, as what the policy allows doesn't change.
        """
        advice = self._steps.get(step)
        return advice is not None and host in advice.tickets

    def remove_ticket(self, step: StepKey, host: HostId) -> None:
        """Removes a ticket that its host has refused."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(host, None)

    def unknown_hosts(
        self, key: StepKey, step: StepSpec, hosts: Iterable[Host], now_ms: int
    ) -> list[Host]:
        """Returns hosts for which a request is of use, those with room now first.

        Hosts with an expired ticket go before others, as the policy still allows them.
        """
        advice = self._steps.get(key) or _StepAdvice()
        unknown = [
            host
            for host in hosts
            if host.info.id not in advice.denied
            and self.ticket(key, host.info.id, now_ms) is None
            and may_ever_fit(step, host)
        ]
        unknown.sort(
            key=lambda host: (
                not acceptable_count(step, key, host),
                host.info.id not in advice.tickets,
                -host.free.cpu,
            )
        )
        return unknown[:HOSTS_PER_REQUEST]

    def remove_job(self, job: str) -> None:
        """Removes all steps of a job that is over."""
        for step in [step for step in self._steps if step.job == job]:
            del self._steps[step]
