"""Changes that operators and conductors commit to the configuration log.

The class and field names are part of the stored and transmitted format.
"""

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
    ZoneId,
)
from ..tagged import TaggedUnion
from .model import Operator, Pool, Queue, Team, TeamKey, Wave, WaveState


@dataclass(frozen=True, slots=True)
class PutPool:
    """Creates or replaces a pool."""

    pool: Pool


@dataclass(frozen=True, slots=True)
class RemovePool:
    """Removes a pool that no queue uses and that has no hosts."""

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
    """Withdraws a caller key; its id cannot be added again."""

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
    """Replaces operators' labels of the given hosts; an empty map removes them."""

    labels: dict[HostId, dict[str, str]]


@dataclass(frozen=True, slots=True)
class PlaceHosts:
    """Moves drained hosts to other pools; no other change moves a host."""

    moves: dict[HostId, PoolName]


@dataclass(frozen=True, slots=True)
class AddOperator:
    """Adds an operator key."""

    operator: Operator


@dataclass(frozen=True, slots=True)
class WithdrawOperator:
    """Withdraws an operator key; its id cannot be added again."""

    key_id: KeyId


@dataclass(frozen=True, slots=True)
class PutWave:
    """Creates a maintenance wave, or replaces an aborted one."""

    wave: Wave


@dataclass(frozen=True, slots=True)
class SetWaveState:
    """Pauses, resumes or aborts a wave."""

    name: WaveName
    state: WaveState


@dataclass(frozen=True, slots=True)
class EvacuateZone:
    """Keeps new requests from the hosts of an availability zone.

    Attributes:
        zone: The zone.
        all_zones: Whether the change is valid although no other zone would be left.
    """

    zone: ZoneId
    all_zones: bool = False


@dataclass(frozen=True, slots=True)
class EndEvacuation:
    """Ends the evacuation of an availability zone."""

    zone: ZoneId


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
    | EvacuateZone
    | EndEvacuation
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
    EvacuateZone,
    EndEvacuation,
)


@dataclass(frozen=True, slots=True)
class Record:
    """One entry of the configuration log.

    Attributes:
        revision: Position in the log; record N + 1 was checked against revision N.
        op_id: Operation id chosen by the writer, which shows after a lost reply
            whether the record was written.
        operator: Who requested the changes.
        entry: The entry that wrote the record.
        changes: Applied together or not at all.
    """

    revision: Revision
    op_id: OperationId
    operator: str
    entry: EntryId
    changes: tuple[Change, ...] = field(default=())
