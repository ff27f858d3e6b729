"""Messages that ``Serving`` handles and the effects that it returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from ..ids import HostId, Incarnation, PoolName, Revision, TeamName, Term, ZoneId
from ..inventory import Host
from ..limits.messages import UnitsGrant, UnitsReport
from ..requests.messages import DispatcherEffect, DispatcherMessage
from ..shares.frames import UsageFrame
from ..workers.selection import Stripe


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """Share and upper limit that the configuration grants a team."""

    share: int
    limit: int


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A revision of the configuration came into force at this entry.

    Attributes:
        evacuated_zones: Availability zones whose hosts get no new request.
    """

    revision: Revision
    teams: Mapping[TeamName, TeamQuota]
    evacuated_zones: tuple[ZoneId, ...] = ()


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The hosts of each pool, from the configuration and the platform's host list."""

    by_pool: Mapping[PoolName, tuple[Host, ...]]


@dataclass(frozen=True, slots=True)
class TermFollowed:
    """The entry now reports to the zone steward of this term."""

    term: Term


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """A grant of units from the zone steward arrived."""

    grant: UnitsGrant


@dataclass(frozen=True, slots=True)
class UsageArrived:
    """A usage frame of another entry or zone arrived."""

    frame: UsageFrame


@dataclass(frozen=True, slots=True)
class SourceEnded:
    """An incarnation of another entry has certainly ended."""

    source: Incarnation


@dataclass(frozen=True, slots=True)
class HostsReported:
    """Another entry reported hosts that refused its work because they are leaving."""

    leaving: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class ZoneShared:
    """This entry's position among the entries that share the hosts of its zone."""

    stripe: Stripe


@dataclass(frozen=True, slots=True)
class LeaveBegun:
    """The entry is shutting down and acquires no more units."""


ServingMessage: TypeAlias = (
    DispatcherMessage
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
    """Send this report of units to the zone steward."""

    report: UnitsReport


@dataclass(frozen=True, slots=True)
class SendUsage:
    """Send this usage frame to the other entries."""

    frame: UsageFrame


@dataclass(frozen=True, slots=True)
class SendHostNews:
    """Notify the other entries of hosts that refused work because they are leaving."""

    leaving: tuple[HostId, ...]


ServingEffect: TypeAlias = DispatcherEffect | SendReport | SendUsage | SendHostNews
