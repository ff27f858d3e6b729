"""Messages between entries; each is one CBOR frame.

The names of classes and fields are part of the wire format.
"""

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
    """First frame of each side: its identity and a nonce for the other side's proof."""

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
    """Liveness, configuration revision in force and steward duty of the sender.

    Attributes:
        revision: Configuration revision in force at the sender.
        steward_term: Term of the zone steward duty, 0 if the sender does not hold it.
        load: Number of tasks that the sender has running.
        fresh_age_ms: Time since the sender last knew that its revision was the
            latest; None if it never did.
        steward: Live steward of the sender's zone as the sender knows it.
    """

    revision: Revision
    steward_term: Term
    load: int
    fresh_age_ms: int | None = None
    steward: EntryId | None = None


@dataclass(frozen=True, slots=True)
class Member:
    """An entry as it is registered with the platform.

    Attributes:
        entry: Unique name.
        zone: Availability zone.
        incarnation: Incarnation that registered.
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
    """All registered entries; a list of a higher store version supersedes it."""

    at_version: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ZoneRevision:
    """A steward's report of the configuration revision in force in its zone.

    Attributes:
        zone: Availability zone.
        term: Term of the steward; reports of an older term are refused.
        seq: Number of the report within the term, increasing.
        revision: Lowest revision in force at the entries with recent heartbeats.
        entries: Number of registered entries.
        unheard: Registered entries from which the steward has no heartbeat.
    """

    zone: ZoneId
    term: Term
    seq: int
    revision: Revision
    entries: int
    unheard: tuple[EntryId, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Requests all configuration records after revision ``after``."""

    after: Revision


@dataclass(frozen=True, slots=True)
class ConfigRecords:
    """Consecutive configuration records; the receiver refuses a gap.

    Attributes:
        records: Records as dictionaries of ``configuration.codec``.
        snapshot: A whole configuration as compressed JSON of
            ``configuration.codec``, if the sender no longer has the records that
            were requested; else None.
    """

    records: tuple[dict[str, Any], ...] = ()
    snapshot: bytes | None = None


@dataclass(frozen=True, slots=True)
class HostNews:
    """Updates of host health that an entry observed on its own calls.

    Attributes:
        leaving: Hosts that refused work because they are leaving service.
        ejected: Hosts that were ejected because the tasks they start fail.
    """

    leaving: tuple[HostId, ...] = ()
    ejected: tuple[HostId, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Forwards an unrepeatable request to the home entry that its id names.

    Attributes:
        exchange: Number that the reply repeats.
        deadline_left_ms: Time left until the deadline when the message was sent.
        head: Header fields of the request.
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
    """The complete outcome of a forwarded request; it is never sent in parts."""

    exchange: int
    status: int
    head: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class ForwardCancelled:
    """Requests the home entry to cancel a forwarded request."""

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
