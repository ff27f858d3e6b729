"""Messages between entries; each is one CBOR frame on an authenticated link."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..domain.ids import (
    EntryId,
    HostId,
    Incarnation,
    RequestId,
    Revision,
    TeamName,
    Term,
    ZoneId,
)
from ..domain.limits.messages import UnitsGrant, UnitsReport
from ..domain.shares.frames import UsageFrame
from ..domain.tagged import TaggedUnion


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a side: who it is and a nonce for the other to sign."""

    entry: EntryId
    zone: ZoneId
    incarnation: Incarnation
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """HMAC over both nonces and identities under the fleet's peer secret."""

    mac: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness, the configuration revision in force and the duty held, if any.

    Attributes:
        revision: Highest revision in force.
        steward_term: Term of the zone steward duty, 0 when not held.
        load: Tasks running from this entry.
        fresh_age_ms: Time since the sender knew that it had the latest revision;
            none if it never did.
        steward: Entry that the sender knows as steward of its own zone.
    """

    revision: Revision
    steward_term: Term
    load: int
    fresh_age_ms: int | None = None
    steward: EntryId | None = None


@dataclass(frozen=True, slots=True)
class Member:
    """An entry as it registered itself with the platform.

    Attributes:
        entry: Unique name.
        zone: Availability zone.
        incarnation: The run that registered.
        address: IP address for peers.
        port: TCP port for peers.
    """

    entry: EntryId
    zone: ZoneId
    incarnation: Incarnation
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class MemberList:
    """All registered entries; a list of a higher store version replaces it."""

    at_version: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ZoneRevision:
    """What a steward knows of the configuration in force in its zone.

    Attributes:
        zone: Availability zone.
        term: Steward term; an old term is refused.
        seq: Grows with each report of the term.
        revision: Lowest revision in force among the entries heard.
        entries: Number of registered entries.
        unheard: Registered entries that the steward does not hear.
    """

    zone: ZoneId
    term: Term
    seq: int
    revision: Revision
    entries: int
    unheard: tuple[EntryId, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Asks for all records after ``after``."""

    after: Revision


@dataclass(frozen=True, slots=True)
class ConfigRecords:
    """Records in order; the receiver refuses a gap.

    Attributes:
        records: Records as dictionaries of ``configuration.codec``.
        snapshot: A whole configuration, as compressed JSON of
            ``configuration.codec``, when the records are too old; else none.
    """

    records: tuple[dict[str, Any], ...] = ()
    snapshot: bytes | None = None


@dataclass(frozen=True, slots=True)
class HostNews:
    """What an entry learned from a backend server itself.

    Attributes:
        leaving: Hosts that refused work because they are leaving.
        ejected: Hosts that fail what they start.
    """

    leaving: tuple[HostId, ...] = ()
    ejected: tuple[HostId, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Hands an unrepeatable request to the entry that its id names as home.

    Attributes:
        exchange: Matches the reply.
        deadline_left_ms: Time left when the frame was sent.
        head: Border fields of the request.
        body: The request body.
    """

    exchange: int
    request_id: RequestId
    team: TeamName
    deadline_left_ms: int
    head: dict[str, Any]
    body: bytes


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The outcome of a forwarded request, whole or not at all."""

    exchange: int
    status: int
    head: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class ForwardCancelled:
    """Asks the home to cancel a forwarded request."""

    team: TeamName
    request_id: RequestId


PEER_MESSAGES = TaggedUnion(
    "peer message",
    UsageFrame,
    UnitsReport,
    UnitsGrant,
    Hello,
    Proof,
    Heartbeat,
    MemberList,
    ZoneRevision,
    ConfigWanted,
    ConfigRecords,
    HostNews,
    ForwardRequest,
    ForwardReply,
    ForwardCancelled,
)
