"""Promises about configuration and keys."""

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


class _Reach:
    """Since when each entry is reachable without a break."""

    def __init__(self) -> None:
        self._since: dict[EntryId, int | None] = {}

    def observe(self, seen: ReachChanged) -> None:
        self._since[seen.entry] = seen.at_ms if seen.is_reachable else None

    def must_know(self, entry: EntryId, committed_ms: int, now_ms: int) -> bool:
        """Returns whether news of ``committed_ms`` must have arrived by now."""
        since = self._since.get(entry, 0)
        if since is None:
            return False
        return now_ms > max(committed_ms, since) + IN_FORCE_MS


class KeysEnd:
    """A withdrawn key stops working within seconds."""

    def __init__(self) -> None:
        self._withdrawn: dict[KeyId, int] = {}
        self._reach = _Reach()

    def observe(self, seen: Observation) -> str | None:
        """Returns a withdrawn key at work, if this observation shows it."""
        match seen:
            case ReachChanged():
                self._reach.observe(seen)
            case KeyWithdrawn():
                self._withdrawn.setdefault(seen.key_id, seen.at_ms)
            case KeyAccepted():
                return self._accepted(seen)
        return None

    def _accepted(self, seen: KeyAccepted) -> str | None:
        since = self._withdrawn.get(seen.key_id)
        if since is None or not self._reach.must_know(seen.entry, since, seen.at_ms):
            return None
        return f"{seen.entry} took key {seen.key_id} {seen.at_ms - since} ms later"


class InForceInTime:
    """An accepted configuration is in force everywhere within seconds."""

    def __init__(self) -> None:
        self._committed: dict[Revision, int] = {}
        self._reach = _Reach()

    def observe(self, seen: Observation) -> str | None:
        """Returns a late revision, if this observation shows one."""
        match seen:
            case ReachChanged():
                self._reach.observe(seen)
            case ConfigCommitted():
                self._committed[seen.revision] = seen.at_ms
            case ConfigApplied():
                committed = self._committed.get(seen.revision)
                if committed is None:
                    return f"{seen.entry} has revision {seen.revision}, never committed"
                if self._reach.must_know(seen.entry, committed, seen.at_ms):
                    late = seen.at_ms - committed
                    return f"{seen.entry} has revision {seen.revision} {late} ms later"
        return None


class NeverReverts:
    """A configuration that is in force never reverts within a run of an entry."""

    def __init__(self) -> None:
        self._in_force: dict[tuple[EntryId, Incarnation], Revision] = {}

    def observe(self, seen: Observation) -> str | None:
        """Returns a step back, if this observation shows one."""
        if not isinstance(seen, ConfigApplied):
            return None
        run = (seen.entry, seen.incarnation)
        before = self._in_force.get(run)
        self._in_force[run] = seen.revision
        if before is None or seen.revision >= before:
            return None
        return f"{seen.entry} went from revision {before} to {seen.revision}"
