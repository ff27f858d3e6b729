"""Proposing and applying records of the configuration log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from returns.result import Failure, Result, Success

from ..errors import AmaranthtrayError, Problem
from ..ids import EntryId, OperationId, Revision
from ._checks import Checker, InvalidChange, PoolCheck, Rules, SelectorCheck
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
"""Most changes of one record."""


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator changed an object after the expected revision.

    Attributes:
        step: The operation that refused.
        peer: The entry that checked.
        obj: The object, as ``kind/name``.
        winner: Revision that holds the other change.
        operator: Who made the other change; empty if it is too long ago.
    """

    step: str
    peer: str
    obj: str
    conflicting_revision: Revision
    operator: str

    def __str__(self) -> str:
        by = self.operator or "another operator"
        return (
            f"{self.step} ({self.peer}): {self.obj} was changed by {by}"
            f" at revision {self.conflicting_revision};"
            " read it again and repeat the change"
        )


@dataclass(frozen=True, slots=True)
class AlreadyCommitted:
    """The operation is in the log; repeating it changes nothing."""

    revision: Revision


Refusal: TypeAlias = Problem | ChangeConflict | AlreadyCommitted


class RevisionGapError(AmaranthtrayError):
    """A record was applied that does not follow the configuration."""


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
    """Checks changes against ``cfg`` and returns the record that follows it.

    Args:
        cfg: State that the record would follow.
        changes: Applied together, each checked after those before it.
        rules: Rules that other aggregates own.
        op_id: Chosen by the caller once; a repetition is recognised by it.
        operator: Who asks.
        entry: The entry that checks.
        expected: Revision that the operator looked at; changes of the same
            objects after it are a conflict. ``None`` overwrites them.
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
    fault = _find_fault(cfg, changes, rules)
    if fault is not None:
        return Failure(Problem(step, operator, fault.what, fault.where, fault.fix))
    revision = Revision(cfg.revision + 1)
    return Success(Record(revision, op_id, operator, entry, tuple(changes)))


def apply(cfg: Configuration, record: Record) -> Configuration:
    """Returns the configuration after ``record``, sharing what did not change.

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
    """Returns the revision that holds an operation; none if unknown or too old."""
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
                by = operator_of(cfg, conflicting_revision)
                return ChangeConflict(step, entry, obj, conflicting_revision, by)
    return None


def _find_fault(
    cfg: Configuration, changes: Sequence[Change], rules: Rules
) -> InvalidChange | None:
    checker = Checker(rules, Revision(cfg.revision + 1))
    draft = Draft(cfg)
    for change in changes:
        fault = checker.check(draft.view(), change)
        if fault is not None:
            return fault
        draft.apply(change)
    if any(isinstance(change, PutPool | SetHostLabels) for change in changes):
        return rules.pools(cfg, draft.view())
    return None
