"""The objects that operators configure."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ..ids import (
    HostId,
    KeyId,
    OperationId,
    PoolName,
    QueueName,
    Revision,
    TeamName,
    WaveName,
    ZoneId,
)

EMPTY_REVISION = Revision(0)

SPARE_POOL = PoolName("spare")
"""The pool of all hosts that no other pool's selector matches; it always exists."""


class Role(StrEnum):
    """Role of an operator, which determines the changes that it may make."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"


class WaveAction(StrEnum):
    """Action of a maintenance wave on each host that it has drained."""

    DRAIN = "drain"
    REBOOT = "reboot"


class WaveState(StrEnum):
    """State of a wave as set by operators."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class Budget:
    """Disruption budget of a pool.

    Attributes:
        max_out: Maximum number of hosts out at once, for any cause.
        max_out_per_zone: Maximum number of hosts of one availability zone that
            maintenance or moves take out at once.
        max_out_per_rack: The same for one rack.
    """

    max_out: int = 1
    max_out_per_zone: int = 1
    max_out_per_rack: int = 1


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of hosts with one disruption budget.

    Attributes:
        name: Unique name.
        selector: Label selector of the hosts that belong to the pool.
        priority: A host that several pools match goes to the lowest number.
        budget: Disruption budget.
    """

    name: PoolName
    selector: str
    priority: int = 100
    budget: Budget = field(default_factory=Budget)


@dataclass(frozen=True, slots=True)
class Team:
    """A team, which owns callers and their work.

    Attributes:
        name: Unique name.
        share: Weight of the team when a full pool is divided among teams.
        limit: Maximum number of slots that the team may use over the whole fleet.
        labels: Labels of the team's work, matched by queue selectors.
        cutoff_grace_ms: How long an entry without a fresh configuration goes on
            accepting the team's keys; ``None`` sets no time limit.
    """

    name: TeamName
    share: int = 1
    limit: int = 1_000
    labels: dict[str, str] = field(default_factory=dict)
    cutoff_grace_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A caller key; only its digest is stored.

    Attributes:
        key_id: Public part, which is the prefix of the key.
        team: Team that the key belongs to.
        digest: SHA-256 of the whole key, in hexadecimal.
    """

    key_id: KeyId
    team: TeamName
    digest: str


@dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of a queue.

    Attributes:
        target: Fraction of requests answered completely within their deadline, 0 to 1.
    """

    target: float = 0.999


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, through which the requests of one service enter.

    Attributes:
        name: Unique name.
        pool: Pool whose hosts run the work.
        is_open: Whether work is accepted without a key.
        selector: Label selector of the teams that may use the queue.
        objective: Service-level objective.
    """

    name: QueueName
    pool: PoolName
    is_open: bool = False
    selector: str = ""
    objective: Objective = field(default_factory=Objective)


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator; only the digest of the key is stored."""

    key_id: KeyId
    name: str
    role: Role
    digest: str


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave as configured by operators.

    Attributes:
        name: Unique name.
        selector: Label selector of the hosts to maintain.
        action: Action on each host after its drain.
        state: Whether it runs, is paused or was aborted.
        order: Label by whose value the hosts are ordered; empty orders by name.
    """

    name: WaveName
    selector: str
    action: WaveAction = WaveAction.REBOOT
    state: WaveState = WaveState.RUNNING
    order: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one revision; its maps must not be modified.

    Attributes:
        revision: Number of records applied.
        placement: Pool of each host, decided here alone; hosts that are absent are in
            the spare pool.
        touched: Revision of the latest change of each object, by ``kind/name``.
        recent_ops: Operation ids and revisions of the latest records, newest last.
        recent_operators: Who requested each of the recent operations.
        withdrawn: Withdrawn key ids and the revision that withdrew each. An id is
            removed once it is too old to be added again.
        evacuations: Evacuated availability zones and the revision since which each
            is evacuated.
    """

    revision: Revision = EMPTY_REVISION
    pools: dict[PoolName, Pool] = field(default_factory=dict)
    teams: dict[TeamName, Team] = field(default_factory=dict)
    keys: dict[KeyId, TeamKey] = field(default_factory=dict)
    queues: dict[QueueName, Queue] = field(default_factory=dict)
    host_labels: dict[HostId, dict[str, str]] = field(default_factory=dict)
    placement: dict[HostId, PoolName] = field(default_factory=dict)
    operators: dict[KeyId, Operator] = field(default_factory=dict)
    waves: dict[WaveName, Wave] = field(default_factory=dict)
    touched: dict[str, Revision] = field(default_factory=dict)
    recent_ops: tuple[tuple[OperationId, Revision], ...] = ()
    recent_operators: dict[OperationId, str] = field(default_factory=dict)
    withdrawn: dict[KeyId, Revision] = field(default_factory=dict)
    evacuations: dict[ZoneId, Revision] = field(default_factory=dict)

    def pool_of(self, host: HostId) -> PoolName:
        """Returns the pool that ``host`` is in."""
        return self.placement.get(host, SPARE_POOL)
