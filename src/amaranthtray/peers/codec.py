"""Encoding and decoding of peer messages as CBOR frames."""

from __future__ import annotations

from typing import Any, TypeAlias

import cbor2
import msgspec

from ..domain.errors import AmaranthtrayError, ProblemError
from ..domain.limits.messages import UnitsGrant, UnitsReport
from ..domain.shares.frames import UsageFrame
from ..domain.tagged import TAG_FIELD
from .messages import (
    PEER_MESSAGES,
    ConfigRecords,
    ConfigWanted,
    ForwardCancelled,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Hello,
    HostNews,
    MemberList,
    Proof,
    ZoneRevision,
)

PeerMessage: TypeAlias = (
    Hello
    | UsageFrame
    | UnitsReport
    | UnitsGrant
    | Proof
    | Heartbeat
    | MemberList
    | ZoneRevision
    | ConfigWanted
    | ConfigRecords
    | HostNews
    | ForwardRequest
    | ForwardReply
    | ForwardCancelled
)

MAX_FRAME_BYTES = 4_000_000
"""Largest frame; holds a snapshot or a record of the largest size."""


class FrameError(AmaranthtrayError):
    """A frame is malformed, too large or fails authentication."""


def encode(message: PeerMessage) -> bytes:
    """Returns a message as CBOR; bytes are encoded as CBOR byte strings."""
    fields: dict[str, Any] = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps({TAG_FIELD: type(message).__name__, **fields})


def decode(data: bytes, *, peer: str) -> PeerMessage:
    """Returns the message that a frame contains.

    Raises:
        FrameError: The frame is not a peer message.
    """
    step = "decode-frame"
    try:
        fields = cbor2.loads(data)
        message: PeerMessage = PEER_MESSAGES.from_dict(fields, step=step, peer=peer)
    except (cbor2.CBORDecodeError, ProblemError, RecursionError) as exc:
        raise FrameError(str(exc), step=step, peer=peer) from exc
    return message
