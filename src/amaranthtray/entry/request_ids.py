"""Request ids at this entry: issued ones, and who may run an unrepeatable request."""

from __future__ import annotations

import hashlib
import itertools
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..domain.errors import Problem
from ..domain.requests.model import NotRun, NotRunReason, Unknown, UnknownReason
from ..platform.store import Conflict, EffectUnknown
from . import replies

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..backend.client import Payload
    from ..domain.ids import EntryId, Incarnation, TeamName
    from ..domain.requests.model import Request
    from ..platform.store import Store
    from .replies import Reply

MAX_IDS_PER_CALL = 1_000
STORE_RETRY_MS = 1_000
CLAIM_PREFIX = "once/"


class RequestIds:
    """Issues ids and settles which entry may start an unrepeatable request.

    Args:
        entry: This entry.
        incarnation: This run of it.
        store: The platform's store, with lost replies settled.
    """

    def __init__(self, entry: EntryId, incarnation: Incarnation, store: Store) -> None:
        self._home = f"{entry}.{incarnation}"
        self._store = store
        self._numbers = itertools.count(1)
        self._issued: set[str] = set()

    def issue_one(self, team: TeamName) -> str:
        """Returns a new id that only this run of the entry can start."""
        request_id = f"{self._home}.{next(self._numbers)}"
        self._issued.add(f"{team}/{request_id}")
        return request_id

    def issue_reply(self, team: TeamName, count: str) -> Reply:
        """Returns the reply to a caller who asks for ids."""
        if not (count.isascii() and count.isdecimal() and len(count) <= 4):
            return _bad_count(count)
        if not 1 <= int(count) <= MAX_IDS_PER_CALL:
            return _bad_count(count)
        return replies.ids([self.issue_one(team) for _ in range(int(count))])

    def run(
        self,
        request: Request,
        payload: Payload,
        execute: Callable[[Request, Payload], Reply],
    ) -> Reply:
        """Runs a request if this entry may, or says what else is true of it."""
        refusal = None if request.repeatable else self._refusal(request)
        return refusal or execute(request, payload)

    def _refusal(self, request: Request) -> Reply | None:
        key = f"{request.team}/{request.request_id}"
        if key in self._issued:
            self._issued.discard(key)
            return None
        digest = hashlib.sha256(key.encode()).hexdigest()
        match self._store.create(CLAIM_PREFIX + digest, self._home.encode()):
            case Success():
                return None
            case Failure(Conflict() | EffectUnknown()):
                outcome = Unknown(UnknownReason.ID_SPENT)
                return replies.unknown(outcome, request.request_id)
            case _:
                refused = NotRun(
                    NotRunReason.STORE_UNAVAILABLE, retry_after_ms=STORE_RETRY_MS
                )
                return replies.not_run(refused, request.request_id)


def _bad_count(count: str) -> Reply:
    fix = f"send a whole number from 1 to {MAX_IDS_PER_CALL}"
    what = f"{count[:20]!r} is no such number"
    return replies.malformed(Problem("issue-ids", "caller", what, "count", fix))
