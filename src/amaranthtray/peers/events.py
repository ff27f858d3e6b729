"""Events that the hub reports and commands that it carries out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..domain.ids import EntryId, Incarnation, ZoneId
from .codec import PeerMessage


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address on which a peer listens."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A peer was authenticated; the link replaces an earlier one to the same entry."""

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
    """Dialing a peer opened no link; ``entry`` is None for a seed."""

    target: PeerAddress
    entry: EntryId | None
    reason: str


@dataclass(frozen=True, slots=True)
class Received:
    """A message from an authenticated peer arrived."""

    entry: EntryId
    message: PeerMessage


PeerEvent: TypeAlias = LinkUp | LinkDown | DialFailed | Received


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; it is dropped if there is no link."""

    to: EntryId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to a peer; ``entry`` is None for a seed."""

    target: PeerAddress
    entry: EntryId | None


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link to a peer."""

    entry: EntryId


HubCommand: TypeAlias = Send | Dial | CloseLink
