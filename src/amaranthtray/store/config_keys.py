"""Keys and values of the configuration log in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.configuration.codec import record_from_json
from ..domain.errors import ProblemError
from ..domain.ids import Revision

if TYPE_CHECKING:
    from ..domain.configuration.changes import Record

PREFIX = "config/"
LOG_PREFIX = "config/log/"
SNAPSHOT_KEY = "config/snapshot"
REVISION_DIGITS = 12
PEER = "store"


def record_key(revision: Revision) -> str:
    """Returns the key of a record; keys sort as revisions do."""
    return f"{LOG_PREFIX}{revision:0{REVISION_DIGITS}d}"


def revision_of_key(key: str) -> Revision:
    """Returns the revision in the key of a record."""
    return Revision(int(key.removeprefix(LOG_PREFIX)))


def decode_record(value: bytes) -> Record | None:
    """Returns the record in a stored value; None if it is unreadable."""
    try:
        return record_from_json(value, step="read-log", peer=PEER)
    except ProblemError:
        return None
