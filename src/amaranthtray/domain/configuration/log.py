"""Proposes and applies records of the configuration log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from returns.result import Failure, Result, Success

from ..errors import AmaranthtrayError, Problem
from ..ids import EntryId, OperationId, Revision
from ._checks import ChangeChecker, InvalidChange, PoolCheck, Rules, SelectorCheck
from ._draft import HISTORY_RECORDS, Draft, objects_of, operator_of
from .changes import Change, PutPool, Record, SetHostLabels

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import Configuration

__all__ = [
    "HISTORY_RECORDS",
    "AlreadyCommitted",
    "ChangeConflict",
    "InvalidChange",
    "PoolCheck",
    "Refusal",
    "RevisionGapError",
    "Rules",
    "SelectorCheck",
    "apply",
    "propose",
    "revision_of",
]

MAX_CHANGES = 1_000
"""Maximum number of changes in one record."""


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator changed an object after the expected revision.

    Attributes:
        step: The operation that was refused.
        peer: The entry that checked the change.
        obj: The object, as ``kind/name``.
        conflicting_revision: Revision of the other change.
        operator: Who made the other change; empty if it is too old to be known.
    """

    step: str
    peer: str
    obj: str
    conflicting_revision: Revision
    operator: str

    def __str__(self) -> str:
        changed_by = self.operator or "another operator"
        return (
            f"{self.step} ({self.peer}): {self.obj} was changed by"
            f" {changed_by} at revision {self.conflicting_revision};"
            " read it again and repeat the change"
        )


@dataclass(frozen=True, slots=True)
class AlreadyCommitted:
    """The operation is in the log already, at ``revision``."""

    revision: Revision


Refusal: TypeAlias = Problem | ChangeConflict | AlreadyCommitted


class RevisionGapError(AmaranthtrayError):
    """The record to apply does not directly follow the configuration's revision."""


def propose(
    cfg: Configuration,
    changes: Sequence[Change],
    *,
    rules: Rules,
    op_id: OperationId,
    operator: str,
    entry: EntryId,
    expected: Revision | None = None,
) -> Result[Record, Refusal]:
    """Checks changes against ``cfg`` and returns the record that would follow it.

    Args:
        cfg: The configuration that the record would follow.
        changes: Changes of one record, each checked after those before it.
        rules: Checks that other packages of the domain implement.
        op_id: Operation id, the same for each repetition of the proposal.
        operator: Who requests the changes.
        entry: The entry that checks them.
        expected: Revision that the operator has seen; later changes to the same
            objects are a conflict. ``None`` overwrites them.
    """
    committed = revision_of(cfg, op_id)
    if committed is not None:
        return Failure(AlreadyCommitted(committed))
    step = "propose"
    if not 0 < len(changes) <= MAX_CHANGES:
        fix = f"send 1 to {MAX_CHANGES} changes"
        what = f"{len(changes)} changes in one record"
        return Failure(Problem(step, operator, what, "changes", fix))
    conflict = _find_conflict(cfg, changes, expected, step=step, entry=entry)
    if conflict is not None:
        return Failure(conflict)
    invalid = _find_invalid_change(cfg, changes, rules)
    if invalid is not None:
        return Failure(
            Problem(step, operator, invalid.what, invalid.where, invalid.fix)
        )
    revision = Revision(cfg.revision + 1)
    return Success(Record(revision, op_id, operator, entry, tuple(changes)))


def apply(cfg: Configuration, record: Record) -> Configuration:
    """Returns the configuration after ``record``; unchanged maps are shared.

    Raises:
        RevisionGapError: The record does not follow ``cfg``.
    """
    if record.revision != cfg.revision + 1:
        message = f"record {record.revision} does not follow revision {cfg.revision}"
        raise RevisionGapError(message, step="apply", peer=record.entry)
    draft = Draft(cfg)
    for change in record.changes:
        draft.apply(change)
    return draft.finish(record)


def revision_of(cfg: Configuration, op_id: OperationId) -> Revision | None:
    """Returns the revision of an operation; ``None`` if it is unknown or too old."""
    if op_id not in cfg.recent_operators:
        return None
    return next(revision for known, revision in cfg.recent_ops if known == op_id)


def _find_conflict(
    cfg: Configuration,
    changes: Sequence[Change],
    expected: Revision | None,
    *,
    step: str,
    entry: EntryId,
) -> ChangeConflict | None:
    if expected is None:
        return None
    if expected < cfg.revision - HISTORY_RECORDS:
        return ChangeConflict(step, entry, "configuration", cfg.revision, "")
    for change in changes:
        for obj in objects_of(change):
            conflicting_revision = cfg.touched.get(obj, Revision(0))
            if conflicting_revision > expected:
                changed_by = operator_of(cfg, conflicting_revision)
                return ChangeConflict(
                    step, entry, obj, conflicting_revision, changed_by
                )
    return None


def _find_invalid_change(
    cfg: Configuration, changes: Sequence[Change], rules: Rules
) -> InvalidChange | None:
    checker = ChangeChecker(rules, Revision(cfg.revision + 1))
    draft = Draft(cfg)
    for change in changes:
        invalid = checker.check(draft.view(), change)
        if invalid is not None:
            return invalid
        draft.apply(change)
    if any(isinstance(change, PutPool | SetHostLabels) for change in changes):
        return rules.pools(cfg, draft.view())
    return None
