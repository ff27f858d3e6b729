"""Messages that the serving part of an entry takes and the effects it returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from ..ids import HostId, Incarnation, PoolName, Revision, TeamName, Term
from ..inventory import Host
from ..limits.messages import UnitsGrant, UnitsReport
from ..requests.messages import DeskEffect, DeskMessage
from ..shares.frames import UsageFrame
from ..workers.selection import Stripe


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """What the configuration grants a team."""

    share: int
    limit: int


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A revision of the configuration is in force here."""

    revision: Revision
    teams: Mapping[TeamName, TeamQuota]


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The hosts of each pool, by configuration and platform list."""

    by_pool: Mapping[PoolName, tuple[Host, ...]]


@dataclass(frozen=True, slots=True)
class TermFollowed:
    """The zone steward of this term is the one to report to."""

    term: Term


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """The zone steward granted units."""

    grant: UnitsGrant


@dataclass(frozen=True, slots=True)
class UsageArrived:
    """Another entry or zone sent its usage sums."""

    frame: UsageFrame


@dataclass(frozen=True, slots=True)
class SourceEnded:
    """A run of another entry is over for sure."""

    source: Incarnation


@dataclass(frozen=True, slots=True)
class HostsReported:
    """Another entry learned from these hosts themselves that they are leaving."""

    leaving: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class ZoneShared:
    """This entry's place among the entries of its zone, which share its hosts."""

    stripe: Stripe


@dataclass(frozen=True, slots=True)
class LeaveBegun:
    """The entry is leaving: it takes no more units."""


ServingMessage: TypeAlias = (
    DeskMessage
    | ConfigurationInForce
    | HostsListed
    | TermFollowed
    | GrantArrived
    | UsageArrived
    | SourceEnded
    | HostsReported
    | ZoneShared
    | LeaveBegun
)


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send this report to the zone steward."""

    report: UnitsReport


@dataclass(frozen=True, slots=True)
class SendUsage:
    """Send these usage sums to the other entries."""

    frame: UsageFrame


@dataclass(frozen=True, slots=True)
class SendHostNews:
    """Tell the other entries which hosts said that they are leaving."""

    leaving: tuple[HostId, ...]


ServingEffect: TypeAlias = DeskEffect | SendReport | SendUsage | SendHostNews
