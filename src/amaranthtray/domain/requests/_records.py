"""Records of request ids that an entry is the home of or waits for."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..ids import OperationId
from .idempotency_messages import CallerRef
from .ids import Home
from .model import Outcome

if TYPE_CHECKING:
    from .tracked_request import RequestKey


class Stage(Enum):
    """Where an id stands at this entry."""

    ISSUED = "issued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FORWARDED = "forwarded"
    DONE = "done"

    @property
    def is_expiring(self) -> bool:
        """Returns whether only time ends the stage."""
        return self in (Stage.ISSUED, Stage.DONE)


@dataclass(slots=True, eq=False)
class IdRecord:
    """What the entry knows of one id.

    Attributes:
        stage: Where it stands.
        fingerprint: Digest of the work; empty until it was submitted.
        repeatable: Whether a second run does no harm.
        is_home: Whether this run of the entry is known to be the home.
        submission: Latest submission that was taken up.
        callers: Who waits for the outcome, with the submission of each.
        forwarded: The submission that the home was asked for.
        claims: When each claim that this run of the entry tried to make was decided.
        op_id: The latest of them.
        claimed_ms: When the claim was decided that made this entry the home.
        reads: Times that it was read back.
        is_cancelled: Whether a caller cancelled before the work began.
        home: Where it was forwarded to.
        outcome: The outcome once done.
        expires_ms: When an issued or done record is forgotten.
    """

    stage: Stage
    fingerprint: str = ""
    repeatable: bool = False
    is_home: bool = False
    submission: int = 1
    callers: dict[CallerRef, int] = field(default_factory=dict)
    forwarded_submission: int = 0
    claims: dict[OperationId, int] = field(default_factory=dict)
    op_id: OperationId | None = None
    claimed_ms: int | None = None
    claim_reads: int = 0
    is_cancelled: bool = False
    home: Home | None = None
    outcome: Outcome | None = None
    expires_ms: int = 0


class RecordTable:
    """Records by key; those kept by time are forgotten oldest first.

    Args:
        max_expiring: Most issued and done records that are kept.
    """

    def __init__(self, max_expiring: int) -> None:
        self._max_expiring = max_expiring
        self._records: dict[RequestKey, IdRecord] = {}
        self._expiring: OrderedDict[RequestKey, IdRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: RequestKey, now_ms: int) -> IdRecord | None:
        """Returns the record of a key unless it has expired."""
        record = self._records.get(key)
        if record is None:
            return None
        if record.stage.is_expiring and record.expires_ms <= now_ms:
            self.remove(key)
            return None
        return record

    def add(self, key: RequestKey, record: IdRecord) -> IdRecord:
        """Adds a record of a key that has none."""
        self._records[key] = record
        return record

    def keep_until(self, key: RequestKey, record: IdRecord, until_ms: int) -> None:
        """Keeps a record for a time and forgets the oldest when there are many."""
        record.expires_ms = until_ms
        self._expiring[key] = record
        self._expiring.move_to_end(key)
        while len(self._expiring) > self._max_expiring:
            oldest = next(iter(self._expiring))
            self.remove(oldest)

    def cancel_expiry(self, key: RequestKey) -> None:
        """Ends keeping a record by time, since its work begins."""
        self._expiring.pop(key, None)

    def remove(self, key: RequestKey) -> None:
        """Forgets a record."""
        self._records.pop(key, None)
        self._expiring.pop(key, None)

    def remove_expired(self, now_ms: int) -> None:
        """Forgets what has expired, as far as it stands in order of expiry."""
        while self._expiring:
            key, record = next(iter(self._expiring.items()))
            if record.expires_ms > now_ms:
                return
            self.remove(key)
