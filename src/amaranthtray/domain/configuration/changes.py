"""Changes that operators and conductors commit to the configuration log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from ..ids import (
    EntryId,
    HostId,
    KeyId,
    OperationId,
    PoolName,
    QueueName,
    Revision,
    TeamName,
    WaveName,
)
from ..tagged import TaggedUnion
from .model import Operator, Pool, Queue, Team, TeamKey, Wave, WaveState


@dataclass(frozen=True, slots=True)
class PutPool:
    """Creates or replaces a pool."""

    pool: Pool


@dataclass(frozen=True, slots=True)
class RemovePool:
    """Removes a pool that no queue uses; its hosts must have left."""

    name: PoolName


@dataclass(frozen=True, slots=True)
class PutTeam:
    """Creates or replaces a team, its share, limit and labels."""

    team: Team


@dataclass(frozen=True, slots=True)
class RemoveTeam:
    """Removes a team and withdraws its keys."""

    name: TeamName


@dataclass(frozen=True, slots=True)
class AddKey:
    """Adds a caller key."""

    key: TeamKey


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraws a caller key for ever."""

    key_id: KeyId


@dataclass(frozen=True, slots=True)
class PutQueue:
    """Creates or replaces a queue."""

    queue: Queue


@dataclass(frozen=True, slots=True)
class RemoveQueue:
    """Removes a queue."""

    name: QueueName


@dataclass(frozen=True, slots=True)
class SetHostLabels:
    """Replaces the labels that operators attach to hosts."""

    labels: dict[HostId, dict[str, str]]


@dataclass(frozen=True, slots=True)
class PlaceHosts:
    """Moves drained hosts; the only record that changes a host's pool."""

    moves: dict[HostId, PoolName]


@dataclass(frozen=True, slots=True)
class AddOperator:
    """Adds an operator key."""

    operator: Operator


@dataclass(frozen=True, slots=True)
class WithdrawOperator:
    """Withdraws an operator key."""

    key_id: KeyId


@dataclass(frozen=True, slots=True)
class PutWave:
    """Asks for a maintenance wave."""

    wave: Wave


@dataclass(frozen=True, slots=True)
class SetWaveState:
    """Pauses, resumes or aborts a wave."""

    name: WaveName
    state: WaveState


Change: TypeAlias = (
    PutPool
    | RemovePool
    | PutTeam
    | RemoveTeam
    | AddKey
    | WithdrawKey
    | PutQueue
    | RemoveQueue
    | SetHostLabels
    | PlaceHosts
    | AddOperator
    | WithdrawOperator
    | PutWave
    | SetWaveState
)

CHANGES = TaggedUnion(
    "change",
    PutPool,
    RemovePool,
    PutTeam,
    RemoveTeam,
    AddKey,
    WithdrawKey,
    PutQueue,
    RemoveQueue,
    SetHostLabels,
    PlaceHosts,
    AddOperator,
    WithdrawOperator,
    PutWave,
    SetWaveState,
)


@dataclass(frozen=True, slots=True)
class Record:
    """One entry of the configuration log.

    Attributes:
        revision: Its place; the record at N + 1 was checked against state N.
        op_id: Chosen by the writer; settles a lost reply.
        operator: Who asked.
        entry: The entry that wrote it.
        changes: Applied together or not at all.
    """

    revision: Revision
    op_id: OperationId
    operator: str
    entry: EntryId
    changes: tuple[Change, ...] = field(default=())
