"""Records of the request ids that an entry is the home of or has forwarded."""

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
    """Stage of a request id at this entry."""

    ISSUED = "issued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FORWARDED = "forwarded"
    DONE = "done"

    @property
    def is_expiring(self) -> bool:
        """Whether records of this stage are removed after a time."""
        return self in (Stage.ISSUED, Stage.DONE)


@dataclass(slots=True, eq=False)
class IdRecord:
    """State of one request id at the entry.

    Attributes:
        stage: Stage of the id.
        fingerprint: Digest of the task; empty until the id is submitted.
        repeatable: Whether the task may safely run more than once.
        is_home: Whether this incarnation of the entry is known to be the home.
        submission: Latest submission number that was accepted.
        callers: Callers that wait for the outcome, each with its submission number.
        forwarded_submission: Submission number that was forwarded to the home.
        claims: When this incarnation decided to create each of its claims.
        op_id: The latest of these claims.
        claimed_ms: When the claim that made this entry the home was decided.
        claim_reads: Number of reads of the latest claim after lost replies.
        is_cancelled: Whether a caller cancelled before the work started.
        home: Home that the request was forwarded to.
        outcome: Outcome of a done request.
        expires_ms: When an issued or done record expires.
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
    """Records by key; issued and done ones expire, oldest first.

    Args:
        max_expiring: Maximum number of issued and done records.
    """

    def __init__(self, max_expiring: int) -> None:
        self._max_expiring = max_expiring
        self._records: dict[RequestKey, IdRecord] = {}
        self._expiring: OrderedDict[RequestKey, IdRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: RequestKey, now_ms: int) -> IdRecord | None:
        """Returns the record of a key; None if there is none or it has expired."""
        record = self._records.get(key)
        if record is None:
            return None
        if record.stage.is_expiring and record.expires_ms <= now_ms:
            self.remove(key)
            return None
        return record

    def add(self, key: RequestKey, record: IdRecord) -> IdRecord:
        """Adds a record for a key that has none."""
        self._records[key] = record
        return record

    def keep_until(self, key: RequestKey, record: IdRecord, until_ms: int) -> None:
        """Sets the expiry of a record and removes the oldest ones above the maximum."""
        record.expires_ms = until_ms
        self._expiring[key] = record
        self._expiring.move_to_end(key)
        while len(self._expiring) > self._max_expiring:
            oldest = next(iter(self._expiring))
            self.remove(oldest)

    def cancel_expiry(self, key: RequestKey) -> None:
        """Cancels the expiry of a record, since its request is processed again."""
        self._expiring.pop(key, None)

    def remove(self, key: RequestKey) -> None:
        """Removes a record."""
        self._records.pop(key, None)
        self._expiring.pop(key, None)

    def remove_expired(self, now_ms: int) -> None:
        """Removes expired records, oldest first, up to one that has not expired."""
        while self._expiring:
            key, record = next(iter(self._expiring.items()))
            if record.expires_ms > now_ms:
                return
            self.remove(key)
