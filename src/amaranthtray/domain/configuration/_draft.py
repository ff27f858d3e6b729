"""Applies changes to a configuration by copy-on-write."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ..ids import Revision
from .changes import (
    AddKey,
    AddOperator,
    Change,
    EndEvacuation,
    EvacuateZone,
    PlaceHosts,
    PutPool,
    PutQueue,
    PutTeam,
    PutWave,
    Record,
    RemovePool,
    RemoveQueue,
    RemoveTeam,
    SetHostLabels,
    SetWaveState,
    WithdrawKey,
    WithdrawOperator,
)
from .key_ids import is_addable
from .model import SPARE_POOL, Configuration

if TYPE_CHECKING:
    from ..ids import KeyId, OperationId, TeamName

HISTORY_RECORDS = 1_024
"""Latest records whose operation ids and changed objects a configuration keeps."""


class Draft:
    """A configuration under change; only the maps that changes write to are copied.

    Args:
        cfg: The configuration to start from; it is not modified.
    """

    def __init__(self, cfg: Configuration) -> None:
        self._base = cfg
        self._revision = Revision(cfg.revision + 1)
        self._copies: dict[str, dict[Any, Any]] = {}

    def view(self) -> Configuration:
        """Returns the configuration with the changes so far, at the base revision."""
        maps: dict[str, Any] = dict(self._copies)
        return replace(self._base, **maps)

    def apply(self, change: Change) -> None:
        """Applies one change, which must have passed the checks."""
        match change:
            case PutPool() | RemovePool() | PutQueue() | RemoveQueue():
                self._apply_pool_or_queue(change)
            case PutTeam() | RemoveTeam():
                self._apply_team(change)
            case AddKey() | WithdrawKey() | AddOperator() | WithdrawOperator():
                self._apply_key(change)
            case SetHostLabels() | PlaceHosts():
                self._apply_hosts(change)
            case PutWave(wave):
                self._writable_map("waves")[wave.name] = wave
            case SetWaveState(name, state):
                waves = self._writable_map("waves")
                waves[name] = replace(waves[name], state=state)
            case EvacuateZone(zone):
                self._writable_map("evacuations")[zone] = self._revision
            case EndEvacuation(zone):
                del self._writable_map("evacuations")[zone]
        self._mark_touched(objects_of(change))

    def finish(self, record: Record) -> Configuration:
        """Returns the configuration at the record's revision."""
        self._expire_touched()
        ops = (*self._base.recent_ops, (record.op_id, record.revision))
        operators = self._writable_map("recent_operators")
        operators[record.op_id] = record.operator
        for op_id, _ in ops[:-HISTORY_RECORDS]:
            operators.pop(op_id, None)
        return replace(
            self.view(),
            revision=record.revision,
            recent_ops=ops[-HISTORY_RECORDS:],
        )

    def _apply_pool_or_queue(
        self, change: PutPool | RemovePool | PutQueue | RemoveQueue
    ) -> None:
        match change:
            case PutPool(pool):
                self._writable_map("pools")[pool.name] = pool
            case RemovePool(name):
                del self._writable_map("pools")[name]
            case PutQueue(queue):
                self._writable_map("queues")[queue.name] = queue
            case RemoveQueue(queue_name):
                del self._writable_map("queues")[queue_name]

    def _apply_team(self, change: PutTeam | RemoveTeam) -> None:
        match change:
            case PutTeam(team):
                self._writable_map("teams")[team.name] = team
            case RemoveTeam(name):
                del self._writable_map("teams")[name]
                self._withdraw_team_keys(name)

    def _apply_key(
        self, change: AddKey | WithdrawKey | AddOperator | WithdrawOperator
    ) -> None:
        match change:
            case AddKey(key):
                self._writable_map("keys")[key.key_id] = key
            case WithdrawKey(key_id):
                del self._writable_map("keys")[key_id]
                self._add_tombstone(key_id)
            case AddOperator(operator):
                self._writable_map("operators")[operator.key_id] = operator
            case WithdrawOperator(key_id):
                del self._writable_map("operators")[key_id]
                self._add_tombstone(key_id)

    def _apply_hosts(self, change: SetHostLabels | PlaceHosts) -> None:
        match change:
            case SetHostLabels(labels):
                merged = self._writable_map("host_labels")
                merged.update(labels)
                for host in [
                    host for host, host_labels in labels.items() if not host_labels
                ]:
                    del merged[host]
            case PlaceHosts(moves):
                placement = self._writable_map("placement")
                placement.update(moves)
                for host in [
                    host for host, pool in moves.items() if pool == SPARE_POOL
                ]:
                    del placement[host]

    def _withdraw_team_keys(self, team: TeamName) -> None:
        keys = self._writable_map("keys")
        for key_id in [key.key_id for key in keys.values() if key.team == team]:
            del keys[key_id]
            self._add_tombstone(key_id)
            self._mark_touched((f"key/{key_id}",))

    def _add_tombstone(self, key_id: KeyId) -> None:
        withdrawn = self._writable_map("withdrawn")
        withdrawn[key_id] = self._revision
        for old_id in [
            old_id for old_id in withdrawn if not is_addable(old_id, self._revision)
        ]:
            del withdrawn[old_id]

    def _mark_touched(self, objects: tuple[str, ...]) -> None:
        touched = self._writable_map("touched")
        for obj in objects:
            touched.pop(obj, None)
            touched[obj] = self._revision

    def _expire_touched(self) -> None:
        """Removes entries beyond the history; the map is ordered by revision."""
        touched = self._writable_map("touched")
        oldest = self._revision - HISTORY_RECORDS
        for obj in list(touched):
            if touched[obj] > oldest:
                return
            del touched[obj]

    def _writable_map(self, name: str) -> dict[Any, Any]:
        copy = self._copies.get(name)
        if copy is None:
            copy = dict(getattr(self._base, name))
            self._copies[name] = copy
        return copy


def objects_of(change: Change) -> tuple[str, ...]:
    """Returns the objects that a change writes, each as ``kind/name``."""
    match change:
        case PutPool(pool):
            return (f"pool/{pool.name}",)
        case RemovePool(name):
            return (f"pool/{name}",)
        case PutTeam(team):
            return (f"team/{team.name}",)
        case RemoveTeam(team_name):
            return (f"team/{team_name}",)
        case AddKey(key):
            return (f"key/{key.key_id}",)
        case WithdrawKey(key_id):
            return (f"key/{key_id}",)
        case PutQueue(queue):
            return (f"queue/{queue.name}",)
        case RemoveQueue(queue_name):
            return (f"queue/{queue_name}",)
        case SetHostLabels(labels):
            return tuple(f"labels/{host}" for host in labels)
        case PlaceHosts(moves):
            return tuple(f"placement/{host}" for host in moves)
        case AddOperator(operator):
            return (f"operator/{operator.key_id}",)
        case WithdrawOperator(key_id):
            return (f"operator/{key_id}",)
        case PutWave(wave):
            return (f"wave/{wave.name}",)
        case SetWaveState(wave_name):
            return (f"wave/{wave_name}",)
        case EvacuateZone(zone) | EndEvacuation(zone):
            return (f"zone/{zone}",)


def operator_of(cfg: Configuration, revision: Revision) -> str:
    """Returns who requested the record at ``revision``; empty if it is too old."""
    op_ids: list[OperationId] = [
        op for op, op_revision in cfg.recent_ops if op_revision == revision
    ]
    return cfg.recent_operators.get(op_ids[0], "") if op_ids else ""
