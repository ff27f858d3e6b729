"""One finding of a check."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FindingKind(StrEnum):
    """Kind of a finding."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"
    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVES = "moves"
    LOSES_ACCESS = "loses access"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong, or that differs, with its object.

    Attributes:
        kind: Kind of the finding.
        obj: The object, as ``kind/name``; empty for the whole file.
        what: What was found.
        fix: How to correct it; empty for a difference.
        key: Field of the object; empty for the whole object.
    """

    kind: FindingKind
    obj: str
    what: str
    fix: str = ""
    key: str = ""
