"""State of the fleet that operators can read through one entry."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Success

from ..domain.configuration.log import apply, propose
from ..domain.errors import Problem
from ..domain.ids import OperationId, WaveName
from ..domain.placement import desired_pools
from .clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..domain.configuration import Change, Configuration
    from ..domain.ids import Revision, ZoneId
    from .context import EntryContext
    from .control import ControlPlane
    from .evacuation_view import EvacuationView
    from .observer import Observer
    from .wave_view import WaveView

PREVIEW_OPERATION = "preview"


class AdminView:
    """Returns the state of the entry's tasks as JSON-compatible values.

    Args:
        context: Objects that all tasks of the entry share.
        control: The control plane.
        observer: Holds the service-level counts.
        waves: Progress of waves.
        evacuations: State of the evacuated zones.
    """

    def __init__(
        self,
        context: EntryContext,
        control: ControlPlane,
        observer: Observer,
        waves: WaveView,
        evacuations: EvacuationView,
    ) -> None:
        self._waves = waves
        self._evacuations = evacuations
        self._context = context
        self._control = control
        self._observer = observer

    def wait_for_zones(
        self, revision: Revision, timeout_ms: int
    ) -> Mapping[ZoneId, Revision]:
        """Waits up to the timeout until a revision is in force in all zones."""
        return self._control.zone_revisions.wait(revision, timeout_ms)

    def read(self, path: str) -> dict[str, Any] | None:
        """Returns the object at a path, None if there is none."""
        match path.split("/"):
            case ["status"]:
                return self._status()
            case ["hosts"]:
                return {"hosts": self._hosts()}
            case ["burn"]:
                return self._burn()
            case ["evacuations"]:
                return self._evacuations.all(self._control.zone_revisions.revisions())
            case ["waves"]:
                return self._waves.all()
            case ["waves", name]:
                return self._waves.wave(WaveName(name))
            case _:
                return None

    def preview(self, changes: Sequence[Change], operator: str) -> dict[str, Any]:
        """Returns the hosts that changes would move, and the problems found."""
        cfg = self._context.view.current
        proposed = propose(
            cfg,
            changes,
            rules=self._context.rules,
            op_id=OperationId(PREVIEW_OPERATION),
            operator=operator,
            entry=self._context.entry,
        )
        match proposed:
            case Success(record):
                moves = self._moves(cfg, apply(cfg, record))
                return {"moves": moves, "problems": []}
            case Failure(Problem() as problem):
                return {"moves": [], "problems": [asdict(problem)]}
        return {"moves": [], "problems": []}

    def _moves(
        self, before: Configuration, after: Configuration
    ) -> list[dict[str, Any]]:
        hosts = self._context.hosts.hosts()
        current = desired_pools(before, hosts)
        desired = desired_pools(after, hosts)
        return [
            {"host": host, "from": current[host], "to": pool}
            for host, pool in sorted(desired.items())
            if current[host] != pool
        ]

    def _burn(self) -> dict[str, Any]:
        context = self._context
        snapshot = self._observer.burn.snapshot(
            context.entry, context.zone, context.incarnation, now_ms()
        )
        counts: dict[str, Any] = msgspec.to_builtins(snapshot)
        return counts

    def _status(self) -> dict[str, Any]:
        context = self._context
        cfg = context.view.current
        control = self._control
        return {
            "entry": context.entry,
            "zone": context.zone,
            "incarnation": context.incarnation,
            "revision": int(cfg.revision),
            "configuration_age_ms": context.view.age_ms,
            "zones": {
                zone: int(held)
                for zone, held in control.zone_revisions.revisions().items()
            },
            "steward_term": int(control.stewardship.term),
            "peers": sorted(control.peers.members.links),
            "pools": len(cfg.pools),
            "teams": len(cfg.teams),
            "hosts": len(context.hosts.hosts()),
            "evacuations": {
                zone: int(since) for zone, since in cfg.evacuations.items()
            },
        }

    def _hosts(self) -> list[dict[str, Any]]:
        cfg = self._context.view.current
        return [
            {
                **asdict(host),
                "pool": cfg.pool_of(host.host_id),
                "is_evacuated": host.zone in cfg.evacuations,
            }
            for host in self._context.hosts.hosts()
        ]
