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
)

EMPTY_REVISION = Revision(0)

SPARE_POOL = PoolName("spare")
"""The pool of every host that no selector claims; it always exists."""


class Role(StrEnum):
    """What an operator may do."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"


class WaveAction(StrEnum):
    """What a maintenance wave does to each host after draining it."""

    DRAIN = "drain"
    REBOOT = "reboot"


class WaveState(StrEnum):
    """What operators want of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class Budget:
    """Availability budget of a pool.

    Attributes:
        max_out: Most hosts that may be out at once, for any cause.
        max_out_per_zone: Most hosts of one availability zone out by maintenance.
        max_out_per_rack: Most hosts of one rack out by maintenance.
    """

    max_out: int = 1
    max_out_per_zone: int = 1
    max_out_per_rack: int = 1


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of hosts.

    Attributes:
        name: Unique name.
        selector: Label selector of the hosts that belong here.
        priority: Order among pools; the lowest number that matches wins.
        budget: Availability budget.
    """

    name: PoolName
    selector: str
    priority: int = 100
    budget: Budget = field(default_factory=Budget)


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Attributes:
        name: Unique name.
        share: Weight among the teams of a full pool.
        limit: Most slots the team may run over the whole fleet.
        labels: Labels of the team's work, matched by queue selectors.
        cutoff_grace_ms: How long its keys are served by an entry that has no
            fresh configuration; ``None`` serves them until it is back.
    """

    name: TeamName
    share: int = 1
    limit: int = 1_000
    labels: dict[str, str] = field(default_factory=dict)
    cutoff_grace_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A caller key; only its digest is kept.

    Attributes:
        key_id: Public part, the prefix of the key itself.
        team: Owner.
        digest: SHA-256 of the whole key, in hexadecimal.
    """

    key_id: KeyId
    team: TeamName
    digest: str


@dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of a queue.

    Attributes:
        target: Part of requests answered whole within their deadline, 0 to 1.
    """

    target: float = 0.999


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, which is one service's entrance.

    Attributes:
        name: Unique name.
        pool: Pool whose hosts run the work.
        is_open: Whether work is taken without a key.
        selector: Label selector over team labels; whose work may go here.
        objective: Service-level objective.
    """

    name: QueueName
    pool: PoolName
    is_open: bool = False
    selector: str = ""
    objective: Objective = field(default_factory=Objective)


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator; only the digest of the key is kept."""

    key_id: KeyId
    name: str
    role: Role
    digest: str


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave as operators ask for it.

    Attributes:
        name: Unique name.
        selector: Label selector of the hosts to maintain.
        action: What to do to each host.
        state: What operators want of it now.
        order: Label whose value orders the hosts; empty orders by host name.
    """

    name: WaveName
    selector: str
    action: WaveAction = WaveAction.REBOOT
    state: WaveState = WaveState.RUNNING
    order: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one revision. Treat all maps as read-only.

    Attributes:
        revision: Number of records applied.
        placement: The one place that says which pool a host is in. A host that
            is absent is in the spare pool.
        touched: Revision that last changed each object, keyed ``kind/name``.
        recent_ops: Operation ids of the latest records, newest last.
        recent_operators: Who asked for each of the recent operations.
        withdrawn: Withdrawn key ids and the revision that withdrew them. An id
            is dropped once it is too old to be added again.
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

    def pool_of(self, host: HostId) -> PoolName:
        """Returns the one pool that ``host`` is in."""
        return self.placement.get(host, SPARE_POOL)
