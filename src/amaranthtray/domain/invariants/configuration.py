"""Promises about configuration and API keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .observations import (
    ConfigApplied,
    ConfigCommitted,
    KeyAccepted,
    KeyWithdrawn,
    ReachChanged,
)
from .running import IN_FORCE_MS

if TYPE_CHECKING:
    from ..ids import EntryId, Incarnation, KeyId, Revision
    from .observations import Observation


class _Reachability:
    """Tracks since when each entry has been reachable without interruption."""

    def __init__(self) -> None:
        self._since_ms: dict[EntryId, int | None] = {}

    def observe(self, event: ReachChanged) -> None:
        self._since_ms[event.entry] = event.at_ms if event.is_reachable else None

    def must_have_received(
        self, entry: EntryId, committed_ms: int, now_ms: int
    ) -> bool:
        """Returns whether a change of ``committed_ms`` must have arrived by now."""
        since_ms = self._since_ms.get(entry, 0)
        if since_ms is None:
            return False
        return now_ms > max(committed_ms, since_ms) + IN_FORCE_MS


class KeysEnd:
    """A withdrawn key stops working within seconds."""

    def __init__(self) -> None:
        self._withdrawn_ms: dict[KeyId, int] = {}
        self._reachability = _Reachability()

    def observe(self, event: Observation) -> str | None:
        """Returns a use of a withdrawn key that this reveals, or None."""
        match event:
            case ReachChanged():
                self._reachability.observe(event)
            case KeyWithdrawn():
                self._withdrawn_ms.setdefault(event.key_id, event.at_ms)
            case KeyAccepted():
                return self._check_accepted(event)
        return None

    def _check_accepted(self, event: KeyAccepted) -> str | None:
        since_ms = self._withdrawn_ms.get(event.key_id)
        if since_ms is None or not self._reachability.must_have_received(
            event.entry, since_ms, event.at_ms
        ):
            return None
        return (
            f"{event.entry} accepted key {event.key_id}"
            f" {event.at_ms - since_ms} ms after its withdrawal"
        )


class InForceInTime:
    """An accepted configuration is in force everywhere within seconds."""

    def __init__(self) -> None:
        self._committed_ms: dict[Revision, int] = {}
        self._reachability = _Reachability()

    def observe(self, event: Observation) -> str | None:
        """Returns a late or uncommitted revision that this reveals, or None."""
        match event:
            case ReachChanged():
                self._reachability.observe(event)
            case ConfigCommitted():
                self._committed_ms[event.revision] = event.at_ms
            case ConfigApplied():
                committed_ms = self._committed_ms.get(event.revision)
                if committed_ms is None:
                    return (
                        f"{event.entry} applied uncommitted revision {event.revision}"
                    )
                if self._reachability.must_have_received(
                    event.entry, committed_ms, event.at_ms
                ):
                    delay_ms = event.at_ms - committed_ms
                    return (
                        f"{event.entry} applied revision {event.revision}"
                        f" {delay_ms} ms after its commit"
                    )
        return None


class NeverReverts:
    """The revision in force never goes back within one incarnation of an entry."""

    def __init__(self) -> None:
        self._in_force: dict[tuple[EntryId, Incarnation], Revision] = {}

    def observe(self, event: Observation) -> str | None:
        """Returns a step back that this observation reveals, or None."""
        if not isinstance(event, ConfigApplied):
            return None
        run = (event.entry, event.incarnation)
        before = self._in_force.get(run)
        self._in_force[run] = event.revision
        if before is None or event.revision >= before:
            return None
        return f"{event.entry} went from revision {before} to {event.revision}"
