"""Mutual authentication by the fleet's peer secret, and authentication of frames.

Each side computes an HMAC over its role, both identities and both nonces, so a proof
is valid only on the connection that it was made for. Every later frame carries a
truncated HMAC over its payload and a counter that both sides keep, under a key that is
derived for the connection and the direction.
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
    """Which side opened the connection and which accepted it."""

    DIALER = "dialer"
    LISTENER = "listener"

    @property
    def other(self) -> Side:
        """Returns the opposite side."""
        return Side.LISTENER if self is Side.DIALER else Side.DIALER


class LinkRefusal(StrEnum):
    """Why a connection was refused."""

    INVALID_PROOF = "stranger"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    REFUSED_BY_PEER = "refused_by_peer"
    OWN_IDENTITY = "own_identity"
    WRONG_ENTRY = "wrong_entry"
    WRONG_ZONE = "wrong_zone"
    OLD_INCARNATION = "old_incarnation"
    BLOCKED = "blocked"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, slots=True)
class Admission:
    """Registered entries that the identity of a connecting peer is checked against.

    Attributes:
        zones: Zone of each registered entry.
        superseded: Earlier incarnations of entries; they are refused.
    """

    zones: Mapping[EntryId, ZoneId] = field(default_factory=dict)
    superseded: Mapping[EntryId, frozenset[Incarnation]] = field(default_factory=dict)


def check_hello(
    hello: Hello, *, own: Hello, admission: Admission, expected: EntryId | None
) -> LinkRefusal | None:
    """Returns why the identity that a peer claims is refused, or None.

    Args:
        hello: The identity and nonce that the peer sent.
        own: The identity and nonce that this side sent.
        admission: Zones and earlier incarnations of the registered entries.
        expected: The entry that was dialed; None for a seed or a listener.
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


def make_proof(secret: bytes, *, side: Side, own: Hello, other: Hello) -> Proof:
    """Returns the proof that ``side`` sends."""
    return Proof(_mac(secret, _transcript("proof", side, own, other)))


def is_valid_proof(
    proof: Proof, secret: bytes, *, side: Side, own: Hello, other: Hello
) -> bool:
    """Returns whether a proof of the side opposite to ``side`` is valid."""
    expected = make_proof(secret, side=side.other, own=other, other=own)
    return hmac.compare_digest(proof.mac, expected.mac)


class FrameAuthenticator:
    """Signs or verifies the frames of one direction of one connection, in order.

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

    def sign(self, payload: bytes) -> bytes:
        """Returns the next frame to send: an authentication tag and the payload."""
        return self._next_tag(payload) + payload

    def verify(self, frame: bytes, *, peer: str) -> bytes:
        """Returns the payload of the next frame received.

        Raises:
            FrameError: The frame was altered, replayed, reordered or forged.
        """
        tag, payload = frame[:FRAME_TAG_BYTES], frame[FRAME_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(payload)):
            raise FrameError("wrong authentication tag", step="open-frame", peer=peer)
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
