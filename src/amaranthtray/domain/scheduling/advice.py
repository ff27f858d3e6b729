"""Which hosts a policy allows for a step, as an adviser tells."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId
from ..jobs.model import StepKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .host import Host

HOSTS_PER_QUESTION = 30
"""The answer takes longer for each host, and the objective allows for so many."""

EXPIRY_MARGIN_MS = 300
"""A ticket must still be valid when its start arrives."""

REPEAT_MS = 1_000
"""A question without an answer is repeated after this."""


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which of the hosts may run a step."""

    step: StepKey
    hosts: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class AdviceReceived:
    """An answer: tickets of the allowed hosts among those asked about.

    Attributes:
        step: The step.
        asked: Hosts that were asked about.
        tickets: Tickets of those that are allowed.
        valid_until_ms: Steady time at which the tickets lapse.
    """

    step: StepKey
    asked: tuple[HostId, ...]
    tickets: Mapping[HostId, str]
    valid_until_ms: int


@dataclass(slots=True)
class _Known:
    denied: set[HostId] = field(default_factory=set)
    tickets: dict[HostId, tuple[str, int]] = field(default_factory=dict)
    asked_ms: int | None = None


@dataclass(slots=True)
class AdviceBook:
    """What is known of the policy; what it allows for a step does not change."""

    _steps: dict[StepKey, _Known] = field(default_factory=dict)

    def take(self, given: AdviceReceived) -> None:
        """Takes an answer."""
        known = self._steps.setdefault(given.step, _Known())
        known.asked_ms = None
        for host in given.asked:
            ticket = given.tickets.get(host)
            if ticket is None:
                known.denied.add(host)
            else:
                known.tickets[host] = (ticket, given.valid_until_ms)

    def ticket(self, step: StepKey, host: HostId, now_ms: int) -> str | None:
        """Returns a ticket that is valid for a while, if there is one."""
        known = self._steps.get(step)
        ticket, until_ms = known.tickets.get(host, ("", 0)) if known else ("", 0)
        return ticket if now_ms + EXPIRY_MARGIN_MS < until_ms else None

    def refuse(self, step: StepKey, host: HostId) -> None:
        """Takes that a host did not take a ticket."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(host, None)

    def question(
        self, step: StepKey, hosts: Iterable[Host], now_ms: int
    ) -> RequestAdvice | None:
        """Returns what to ask for a step that has too few hosts, if it is due."""
        known = self._steps.setdefault(step, _Known())
        if known.asked_ms is not None and now_ms - known.asked_ms < REPEAT_MS:
            return None
        open_hosts = [
            host
            for host in hosts
            if host.info.id not in known.denied
            and self.ticket(step, host.info.id, now_ms) is None
        ]
        # Those that were allowed before are asked about first: they still are.
        open_hosts.sort(
            key=lambda host: (host.info.id not in known.tickets, -host.free.cpu)
        )
        ids = tuple(host.info.id for host in open_hosts[:HOSTS_PER_QUESTION])
        if not ids:
            return None
        known.asked_ms = now_ms
        return RequestAdvice(step, ids)

    def forget(self, job: str) -> None:
        """Forgets all steps of a job that is over."""
        for step in [step for step in self._steps if step.job == job]:
            del self._steps[step]
