"""Mutual proof of the fleet's peer secret, and seals on the frames after it.

Each side signs its role, both identities and both nonces, so a proof fits only the
one connection it was made for. Frames carry a truncated HMAC under a key of the
connection and direction, over a counter that both sides keep.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import cbor2

from ..domain.ids import EntryId, Incarnation, ZoneId
from .codec import FrameError
from .messages import Hello, Proof

NONCE_BYTES = 16
FRAME_TAG_BYTES = 8
COUNTER_BYTES = 8
MAX_HANDSHAKE_FRAME_BYTES = 1_024


class Side(StrEnum):
    """Who opened the connection."""

    DIALER = "dialer"
    LISTENER = "listener"

    @property
    def other(self) -> Side:
        """Returns the opposite side."""
        return Side.LISTENER if self is Side.DIALER else Side.DIALER


class LinkRefusal(StrEnum):
    """Why a connection was refused."""

    STRANGER = "stranger"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    REFUSED = "refused_by_peer"
    OWN_IDENTITY = "own_identity"
    WRONG_ENTRY = "wrong_entry"
    WRONG_ZONE = "wrong_zone"
    OLD_INCARNATION = "old_incarnation"
    BLOCKED = "blocked"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, slots=True)
class Admission:
    """What is known of the fleet when a peer says who it is.

    Attributes:
        zones: Zone of each registered entry.
        superseded: Earlier runs of entries; they are refused.
    """

    zones: Mapping[EntryId, ZoneId] = field(default_factory=dict)
    superseded: Mapping[EntryId, frozenset[Incarnation]] = field(default_factory=dict)


def check_hello(
    hello: Hello, *, own: Hello, admission: Admission, expected: EntryId | None
) -> LinkRefusal | None:
    """Returns why a peer's claims cannot be true, or none.

    Args:
        hello: What the peer says.
        own: What this side said.
        admission: What is known of the fleet.
        expected: The entry that was dialed; none for a seed or a listener.
    """
    if len(hello.nonce) != NONCE_BYTES:
        return LinkRefusal.MALFORMED
    if hello.entry == own.entry or hello.nonce == own.nonce:
        return LinkRefusal.OWN_IDENTITY
    if expected is not None and hello.entry != expected:
        return LinkRefusal.WRONG_ENTRY
    if admission.zones.get(hello.entry, hello.zone) != hello.zone:
        return LinkRefusal.WRONG_ZONE
    if hello.incarnation in admission.superseded.get(hello.entry, frozenset()):
        return LinkRefusal.OLD_INCARNATION
    return None


def prove(secret: bytes, *, side: Side, own: Hello, other: Hello) -> Proof:
    """Returns the proof that ``side`` sends."""
    return Proof(_mac(secret, _transcript("proof", side, own, other)))


def is_proof(
    proof: Proof, secret: bytes, *, side: Side, own: Hello, other: Hello
) -> bool:
    """Returns whether the other side, opposite to ``side``, knows the secret."""
    expected = prove(secret, side=side.other, own=other, other=own)
    return hmac.compare_digest(proof.mac, expected.mac)


class FrameSeal:
    """Seals the frames of one direction of one connection, in order.

    Args:
        secret: The fleet's peer secret.
        sender: Side that sends the frames.
        sent: Hello of the sender.
        received: Hello of the receiver.
    """

    def __init__(
        self, secret: bytes, *, sender: Side, sent: Hello, received: Hello
    ) -> None:
        self._key = _mac(secret, _transcript("frames", sender, sent, received))
        self._counter = 0

    def seal(self, payload: bytes) -> bytes:
        """Returns the next frame to send."""
        return self._next_tag(payload) + payload

    def open(self, frame: bytes, *, peer: str) -> bytes:
        """Returns the payload of the next frame received.

        Raises:
            FrameError: The frame was changed, replayed or made by someone else.
        """
        tag, payload = frame[:FRAME_TAG_BYTES], frame[FRAME_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(payload)):
            raise FrameError("the seal is broken", step="open-frame", peer=peer)
        return payload

    def _next_tag(self, payload: bytes) -> bytes:
        counter = self._counter.to_bytes(COUNTER_BYTES)
        self._counter += 1
        return _mac(self._key, counter + payload)[:FRAME_TAG_BYTES]


def _transcript(purpose: str, side: Side, own: Hello, other: Hello) -> bytes:
    claims = [
        [hello.entry, hello.zone, hello.incarnation, hello.nonce]
        for hello in (own, other)
    ]
    return cbor2.dumps([purpose, side.value, claims])


def _mac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)
