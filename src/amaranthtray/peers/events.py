"""What the hub reports and what it is asked to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..domain.ids import EntryId, Incarnation, ZoneId
from .codec import PeerMessage


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer listens."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A peer has proved itself; it replaces an earlier link to the same entry."""

    entry: EntryId
    zone: ZoneId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link has ended."""

    entry: EntryId
    reason: str


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A dial led to no link; ``entry`` is none for a seed."""

    target: PeerAddress
    entry: EntryId | None
    reason: str


@dataclass(frozen=True, slots=True)
class Received:
    """A message from an authenticated peer."""

    entry: EntryId
    message: PeerMessage


PeerEvent: TypeAlias = LinkUp | LinkDown | DialFailed | Received


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; without a link it is dropped."""

    to: EntryId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to a peer; ``entry`` is none for a seed."""

    target: PeerAddress
    entry: EntryId | None


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link to a peer."""

    entry: EntryId


HubCommand: TypeAlias = Send | Dial | CloseLink
