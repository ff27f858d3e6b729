"""The evacuated availability zones, as operators see them, and their log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..domain.configuration import Configuration
    from ..domain.ids import HostId, Revision, ZoneId
    from .context import EntryContext
    from .observer import Observer


class RunningRequests(Protocol):
    """Counts the requests of this entry that run on the hosts of a zone."""

    def __call__(self, zone: ZoneId, /) -> Mapping[HostId, int]:
        """Returns the number of requests that run, or may run, on each host."""


class EvacuationView:
    """Describes the evacuated zones: their hosts and what still runs there.

    Args:
        context: Objects that all tasks of the entry share.
        running: Counts the requests of this entry that run on the hosts of a zone.
    """

    def __init__(self, context: EntryContext, running: RunningRequests) -> None:
        self._context = context
        self._running = running

    def all(self, revisions: Mapping[ZoneId, Revision]) -> dict[str, Any]:
        """Returns all evacuated zones as this entry knows them.

        Args:
            revisions: The revision that each zone is known to have in force.
        """
        context = self._context
        cfg = context.view.current
        return {
            "entry": context.entry,
            "revision": int(cfg.revision),
            "evacuations": [
                self._describe(zone, since, revisions)
                for zone, since in sorted(cfg.evacuations.items())
            ],
        }

    def _describe(
        self, zone: ZoneId, since: Revision, revisions: Mapping[ZoneId, Revision]
    ) -> dict[str, Any]:
        hosts = self._context.hosts.hosts()
        running = {host: n for host, n in self._running(zone).items() if n}
        in_force = sorted(other for other, held in revisions.items() if held >= since)
        return {
            "zone": zone,
            "since": int(since),
            "hosts": sorted(host.host_id for host in hosts if host.zone == zone),
            "running": running,
            "in_force": in_force,
            "not_in_force": sorted(revisions.keys() - set(in_force)),
        }


def log_evacuations(
    observer: Observer, before: Configuration, after: Configuration, age_ms: int
) -> None:
    """Logs the evacuations that began or ended between two configurations.

    Args:
        observer: Receives the log lines.
        before: The configuration that was in force.
        after: The configuration that is in force now.
        age_ms: Time since the platform or a peer confirmed the configuration.
    """
    revision = int(after.revision)
    for zone, since in sorted(after.evacuations.items()):
        if before.evacuations.get(zone) != since:
            observer.changed(
                "evacuation",
                revision=revision,
                evacuated_zone=zone,
                since=int(since),
                age_ms=age_ms,
            )
    for zone in sorted(before.evacuations.keys() - after.evacuations.keys()):
        observer.changed(
            "evacuation-ended", revision=revision, evacuated_zone=zone, age_ms=age_ms
        )
