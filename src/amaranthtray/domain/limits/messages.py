"""Messages between entry and zone steward about units of the limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ..ids import Incarnation, Revision, TeamName, Term


@dataclass(frozen=True, slots=True)
class UnitsReport:
    """What an entry uses and wants; absent teams are as in its answered reports.

    Attributes:
        incarnation: The reporting run of the entry.
        seq: Grows with each report of the incarnation.
        term: Steward term that the entry follows; it refuses grants of older ones.
        acked: Highest grant of that term which it has applied, 0 for none.
        used: Units in use, by team.
        waiting: Requests waiting for a unit, by team.
        held: Units of a grant of an older term, by team; only while ``acked`` is 0.
        is_leaving: Whether the entry has stopped taking units for good.
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
    """A steward's grant to one entry; teams that are absent stay as acknowledged.

    Attributes:
        incarnation: The run of the entry that it is for.
        term: Steward term.
        seq: Grows with each grant of the term.
        answers: ``UnitsReport.seq`` that it answers.
        ttl_ms: Validity, counted by the entry from when it sent that report.
        revision: Configuration revision that the steward had in force.
        is_full: Whether teams that are absent have no units.
        units: Units that the entry may use, by team.
        run_caps: Most tasks that may go on running, by team; the entry stops the
            others and renews their worker leases no more.
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
    """What an entry did with a grant."""

    APPLIED = "applied"
    OTHER_INCARNATION = "other_incarnation"
    OLD_TERM = "old_term"
    NOT_FOLLOWED = "not_followed"
    OLD_SEQ = "old_seq"
    UNKNOWN_REPORT = "unknown_report"
