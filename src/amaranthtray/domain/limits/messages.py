"""Messages between an entry and its zone steward about units of upper limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ..ids import Incarnation, Revision, TeamName, Term


@dataclass(frozen=True, slots=True)
class UnitsReport:
    """Units that an entry uses and needs; a team left out has not changed.

    Changes are repeated until a grant answers a report that contains them.

    Attributes:
        incarnation: The incarnation of the entry that reports.
        seq: Report number, increasing within the incarnation.
        term: Steward term that the entry follows; it rejects grants of older terms.
        acked: Number of the latest grant of that term that it has applied, or 0.
        used: Units in use, by team.
        waiting: Requests waiting for a unit, by team.
        held: Units still valid under a grant of an older term, by team; sent only
            while ``acked`` is 0.
        is_leaving: Whether the entry is shutting down and acquires no more units.
    """

    incarnation: Incarnation
    seq: int
    term: Term
    acked: int
    used: dict[TeamName, int] = field(default_factory=dict)
    waiting: dict[TeamName, int] = field(default_factory=dict)
    held: dict[TeamName, int] = field(default_factory=dict)
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class UnitsGrant:
    """A steward's grant of units to one entry.

    A team that is left out keeps the units that the entry last acknowledged.

    Attributes:
        incarnation: The incarnation of the entry that the grant is for.
        term: Steward term.
        seq: Grant number, increasing within the term.
        answers: ``UnitsReport.seq`` of the report that it answers.
        ttl_ms: Validity, counted by the entry from when it sent that report.
        revision: Configuration revision that the steward had in force.
        is_full: Whether a team that is left out has no units.
        units: Units that the entry may use, by team.
        run_caps: Maximum number of tasks that may keep running, by team; the entry
            stops the others and no longer renews their worker leases.
    """

    incarnation: Incarnation
    term: Term
    seq: int
    answers: int
    ttl_ms: int
    revision: Revision
    is_full: bool = False
    units: dict[TeamName, int] = field(default_factory=dict)
    run_caps: dict[TeamName, int] = field(default_factory=dict)


class GrantResult(StrEnum):
    """Whether an entry applied a grant, or why it rejected it."""

    APPLIED = "applied"
    OTHER_INCARNATION = "other_incarnation"
    OLD_TERM = "old_term"
    NOT_FOLLOWED = "not_followed"
    OLD_SEQ = "old_seq"
    UNKNOWN_REPORT = "unknown_report"
