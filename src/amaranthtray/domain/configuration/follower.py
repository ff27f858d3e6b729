"""Applies records in log order, whatever order and source they arrive in."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..ids import Revision
from .changes import Record
from .log import apply
from .model import EMPTY_REVISION, Configuration

if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_PENDING_RECORDS = 256
"""Maximum distance of a buffered record from the applied revision."""

MAX_TAIL_RECORDS = 256
"""Applied records kept to serve peers that lag behind."""


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Records or snapshot that a follower applied.

    Attributes:
        records: Records applied, in order.
        adopted: Whether a snapshot replaced the configuration before them.
    """

    records: tuple[Record, ...] = ()
    adopted: bool = False

    @property
    def has_changed(self) -> bool:
        """Returns whether the configuration changed."""
        return self.adopted or bool(self.records)


@dataclass(frozen=True, slots=True)
class MissingUpdates:
    """Update for a lagging peer; a snapshot if the kept records do not reach back."""

    records: tuple[Record, ...] = ()
    snapshot: Configuration | None = None


class ConfigFollower:
    """The current configuration of one entry; its revision never decreases.

    Args:
        cfg: Initial configuration; empty by default.
    """

    def __init__(self, cfg: Configuration | None = None) -> None:
        self.cfg = cfg or Configuration()
        self.highest_known = self.cfg.revision
        self.divergent_records = 0
        self._pending: dict[Revision, Record] = {}
        self._tail: deque[Record] = deque(maxlen=MAX_TAIL_RECORDS)

    def offer_records(self, records: Iterable[Record]) -> ConfigUpdate:
        """Buffers records and applies those that follow without a gap.

        They may come in any order, with gaps and duplicates.
        """
        for record in records:
            self._add(record)
        return ConfigUpdate(self._apply_pending())

    def offer_snapshot(self, snapshot: Configuration) -> ConfigUpdate:
        """Replaces the configuration unless the snapshot is older or equal."""
        self.mark_revision_known(snapshot.revision)
        if snapshot.revision <= self.cfg.revision:
            return ConfigUpdate()
        self.cfg = snapshot
        self._tail.clear()
        self._discard_applied()
        return ConfigUpdate(self._apply_pending(), adopted=True)

    def mark_revision_known(self, revision: Revision) -> None:
        """Records that a revision exists, though its record may not have arrived."""
        self.highest_known = max(self.highest_known, revision)

    def missing_after(self) -> Revision | None:
        """Returns the applied revision if later records are missing, else ``None``."""
        if self.cfg.revision >= self.highest_known:
            return None
        return self.cfg.revision

    def updates_since(self, after: Revision) -> MissingUpdates:
        """Returns what a peer at revision ``after`` lacks of this configuration."""
        if after >= self.cfg.revision:
            return MissingUpdates()
        missing = tuple(record for record in self._tail if record.revision > after)
        if missing and missing[0].revision == after + 1:
            return MissingUpdates(missing)
        return MissingUpdates(snapshot=self.cfg)

    def _add(self, record: Record) -> None:
        if record.revision <= EMPTY_REVISION:
            return
        if record.revision <= self.cfg.revision:
            self._check_divergence(record)
            return
        self.mark_revision_known(record.revision)
        if record.revision <= self.cfg.revision + MAX_PENDING_RECORDS:
            self._pending.setdefault(record.revision, record)

    def _check_divergence(self, record: Record) -> None:
        """Counts the record if another one was applied at its revision."""
        behind = self.cfg.revision - record.revision
        if behind >= len(self.cfg.recent_ops):
            return
        applied, _ = self.cfg.recent_ops[-1 - behind]
        self.divergent_records += applied != record.op_id

    def _apply_pending(self) -> tuple[Record, ...]:
        applied: list[Record] = []
        while (record := self._pending.pop(self._next_revision(), None)) is not None:
            self.cfg = apply(self.cfg, record)
            applied.append(record)
        self._tail.extend(applied)
        return tuple(applied)

    def _next_revision(self) -> Revision:
        return Revision(self.cfg.revision + 1)

    def _discard_applied(self) -> None:
        for revision in [
            pending for pending in self._pending if pending <= self.cfg.revision
        ]:
            del self._pending[revision]
