"""Puts records in force strictly in order, from whatever source they arrive."""

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
"""Records kept while an earlier one is missing."""

MAX_TAIL_RECORDS = 256
"""Applied records kept for peers that lag behind."""


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """What an offer put in force.

    Attributes:
        records: Records applied, in order.
        adopted: Whether a snapshot was adopted before them.
    """

    records: tuple[Record, ...] = ()
    adopted: bool = False

    @property
    def has_changed(self) -> bool:
        """Returns whether the configuration moved on."""
        return self.adopted or bool(self.records)


@dataclass(frozen=True, slots=True)
class MissingUpdates:
    """What a peer that lags behind needs: a snapshot if the tail is too short."""

    records: tuple[Record, ...] = ()
    snapshot: Configuration | None = None


class ConfigFollower:
    """The configuration in force at one entry; it never goes backwards.

    Args:
        cfg: Configuration to begin with.
    """

    def __init__(self, cfg: Configuration | None = None) -> None:
        self.cfg = cfg or Configuration()
        self.highest_heard = self.cfg.revision
        self.divergent_records = 0
        self._pending: dict[Revision, Record] = {}
        self._tail: deque[Record] = deque(maxlen=MAX_TAIL_RECORDS)

    def offer_records(self, records: Iterable[Record]) -> ConfigUpdate:
        """Takes records in any order, with gaps and duplicates."""
        for record in records:
            self._take(record)
        return ConfigUpdate(self._drain())

    def offer_snapshot(self, snapshot: Configuration) -> ConfigUpdate:
        """Takes a whole configuration; an older one is ignored."""
        self.mark_revision_known(snapshot.revision)
        if snapshot.revision <= self.cfg.revision:
            return ConfigUpdate()
        self.cfg = snapshot
        self._tail.clear()
        self._forget_applied()
        return ConfigUpdate(self._drain(), adopted=True)

    def mark_revision_known(self, revision: Revision) -> None:
        """Learns that a revision exists somewhere."""
        self.highest_heard = max(self.highest_heard, revision)

    def missing_after(self) -> Revision | None:
        """Returns the revision after which records are missing; none if up to date."""
        if self.cfg.revision >= self.highest_heard:
            return None
        return self.cfg.revision

    def updates_since(self, after: Revision) -> MissingUpdates:
        """Returns what a peer at ``after`` needs to reach this configuration."""
        if after >= self.cfg.revision:
            return MissingUpdates()
        missing = tuple(one for one in self._tail if one.revision > after)
        if missing and missing[0].revision == after + 1:
            return MissingUpdates(missing)
        return MissingUpdates(snapshot=self.cfg)

    def _take(self, record: Record) -> None:
        if record.revision <= EMPTY_REVISION:
            return
        if record.revision <= self.cfg.revision:
            self._compare(record)
            return
        self.mark_revision_known(record.revision)
        if record.revision <= self.cfg.revision + MAX_PENDING_RECORDS:
            self._pending.setdefault(record.revision, record)

    def _compare(self, record: Record) -> None:
        """Counts a record that differs from the one applied at its revision."""
        behind = self.cfg.revision - record.revision
        if behind >= len(self.cfg.recent_ops):
            return
        applied, _ = self.cfg.recent_ops[-1 - behind]
        self.divergent_records += applied != record.op_id

    def _drain(self) -> tuple[Record, ...]:
        applied: list[Record] = []
        while (record := self._pending.pop(self._next(), None)) is not None:
            self.cfg = apply(self.cfg, record)
            applied.append(record)
        self._tail.extend(applied)
        return tuple(applied)

    def _next(self) -> Revision:
        return Revision(self.cfg.revision + 1)

    def _forget_applied(self) -> None:
        for revision in [one for one in self._pending if one <= self.cfg.revision]:
            del self._pending[revision]
