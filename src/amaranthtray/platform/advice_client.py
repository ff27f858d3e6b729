"""Client of the service that knows which hosts the placement policy allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..domain.ids import HostId
from ..jobs.ports import Advice, NoAdvice
from ..web.http_peer import HttpPeer, Response

if TYPE_CHECKING:
    from ..domain.scheduling.advice import RequestAdvice

ADVICE_TIMEOUT_MS = 3_000
"""A reply about many hosts takes long, and the service handles calls in turn."""


class _AdviceBody(msgspec.Struct, rename="camel"):
    # Pairs of host and ticket.
    allowed: list[tuple[str, str]]
    valid_ms: int


class AdviceClient:
    """Requests advice, one call at a time, as the service handles calls in turn.

    Args:
        address: IP address and port.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address, connections=1)

    def request(self, request: RequestAdvice) -> Advice | NoAdvice:
        """Returns the tickets of the allowed hosts, or why there are none."""
        key = request.step
        payload = {
            "step": f"{key.job}.{key.occurrence}.{key.step}",
            "workers": list(request.hosts),
        }
        outcome = self._peer.call(
            "POST", "/v1/advise", timeout_ms=ADVICE_TIMEOUT_MS, payload=payload
        )
        if not isinstance(outcome, Response):
            return NoAdvice(outcome.detail)
        if not outcome.is_success:
            return NoAdvice(str(outcome.status))
        try:
            body = msgspec.json.decode(outcome.body, type=_AdviceBody)
        except msgspec.MsgspecError as exc:
            return NoAdvice(repr(exc))
        tickets = {HostId(host): ticket for host, ticket in body.allowed}
        return Advice(tickets, body.valid_ms)
