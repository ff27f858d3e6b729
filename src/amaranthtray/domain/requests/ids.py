"""Request ids, either issued by an entry or chosen by the caller."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TypeAlias

from returns.result import Failure, Result, Success

from ..errors import Problem
from ..ids import EntryId, Incarnation, RequestId, ZoneId

ISSUED_PREFIX = "a1"
"""Format version of issued ids; no chosen id may start with it and a separator."""

SEPARATOR = "~"
MAX_ID_CHARS = 256

_STEP = "read-request-id"
_WHERE = "request id"
_NAME = r"[A-Za-z0-9._-]{1,64}"
_ISSUED = re.compile(
    SEPARATOR.join(
        (
            ISSUED_PREFIX,
            f"(?P<zone>{_NAME})",
            f"(?P<entry>{_NAME})",
            f"(?P<incarnation>{_NAME})",
            r"(?P<seq>[1-9][0-9]{0,17})",
        )
    )
)
_CHOSEN = re.compile(r"[A-Za-z0-9._:/~-]+")


@dataclass(frozen=True, slots=True)
class Home:
    """Identifies the only incarnation of an entry that may run the task of an id."""

    zone: ZoneId
    entry: EntryId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class IssuedId:
    """An id issued by an entry; it contains its home.

    Attributes:
        home: The entry incarnation that issued it.
        seq: Sequence number among the ids of this home, starting at 1.
    """

    home: Home
    seq: int

    def to_request_id(self) -> RequestId:
        """Returns the id as text."""
        home = self.home
        parts = (ISSUED_PREFIX, home.zone, home.entry, home.incarnation, str(self.seq))
        return RequestId(SEPARATOR.join(parts))


@dataclass(frozen=True, slots=True)
class ChosenId:
    """An id chosen by the caller; its home is whoever claims it in the store."""

    request_id: RequestId


ParsedId: TypeAlias = IssuedId | ChosenId


def parse_request_id(text: str, *, peer: str) -> Result[ParsedId, Problem]:
    """Parses a request id.

    Args:
        text: The id as it was received.
        peer: Sender, named in the problem if the id is malformed.
    """
    if not text or len(text) > MAX_ID_CHARS:
        what = f"an id of {len(text)} characters"
        return _malformed(peer, what, f"send 1 to {MAX_ID_CHARS} characters")
    if text.startswith(ISSUED_PREFIX + SEPARATOR):
        return _parse_issued(text, peer)
    if _CHOSEN.fullmatch(text) is None:
        fix = "use letters, digits and . _ : / ~ - only"
        return _malformed(peer, "a character that is not allowed in ids", fix)
    return Success(ChosenId(RequestId(text)))


def _parse_issued(text: str, peer: str) -> Result[ParsedId, Problem]:
    match = _ISSUED.fullmatch(text)
    if match is None:
        what = f"{ISSUED_PREFIX + SEPARATOR!r} starts an issued id, but this is not one"
        return _malformed(peer, what, "send the id as it was issued or choose another")
    home = Home(
        ZoneId(match["zone"]),
        EntryId(match["entry"]),
        Incarnation(match["incarnation"]),
    )
    return Success(IssuedId(home, int(match["seq"])))


def _malformed(peer: str, what: str, fix: str) -> Result[ParsedId, Problem]:
    return Failure(Problem(_STEP, peer, what, _WHERE, fix))
