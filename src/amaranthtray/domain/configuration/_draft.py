"""Copy-on-write application of changes to a configuration."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ..ids import Revision
from .changes import (
    AddKey,
    AddOperator,
    Change,
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
"""Records whose operation ids and touched objects a configuration remembers."""


class Draft:
    """The next configuration; only maps that a change writes to are copied.

    Args:
        cfg: The configuration before.
    """

    def __init__(self, cfg: Configuration) -> None:
        self._base = cfg
        self._revision = Revision(cfg.revision + 1)
        self._owned: dict[str, dict[Any, Any]] = {}

    def view(self) -> Configuration:
        """Returns the configuration as drafted so far, without its history."""
        maps: dict[str, Any] = dict(self._owned)
        return replace(self._base, **maps)

    def apply(self, change: Change) -> None:
        """Applies one change."""
        match change:
            case PutPool() | RemovePool() | PutQueue() | RemoveQueue():
                self._apply_service(change)
            case PutTeam() | RemoveTeam():
                self._apply_team(change)
            case AddKey() | WithdrawKey() | AddOperator() | WithdrawOperator():
                self._apply_key(change)
            case SetHostLabels() | PlaceHosts():
                self._apply_hosts(change)
            case PutWave(wave):
                self._own("waves")[wave.name] = wave
            case SetWaveState(name, state):
                waves = self._own("waves")
                waves[name] = replace(waves[name], state=state)
        self._touch(objects_of(change))

    def finish(self, record: Record) -> Configuration:
        """Returns the configuration at the record's revision."""
        self._forget_history()
        ops = (*self._base.recent_ops, (record.op_id, record.revision))
        operators = self._own("recent_operators")
        operators[record.op_id] = record.operator
        for op_id, _ in ops[:-HISTORY_RECORDS]:
            operators.pop(op_id, None)
        return replace(
            self.view(),
            revision=record.revision,
            recent_ops=ops[-HISTORY_RECORDS:],
        )

    def _apply_service(
        self, change: PutPool | RemovePool | PutQueue | RemoveQueue
    ) -> None:
        match change:
            case PutPool(pool):
                self._own("pools")[pool.name] = pool
            case RemovePool(name):
                del self._own("pools")[name]
            case PutQueue(queue):
                self._own("queues")[queue.name] = queue
            case RemoveQueue(queue_name):
                del self._own("queues")[queue_name]

    def _apply_team(self, change: PutTeam | RemoveTeam) -> None:
        match change:
            case PutTeam(team):
                self._own("teams")[team.name] = team
            case RemoveTeam(name):
                del self._own("teams")[name]
                self._withdraw_all(name)

    def _apply_key(
        self, change: AddKey | WithdrawKey | AddOperator | WithdrawOperator
    ) -> None:
        match change:
            case AddKey(key):
                self._own("keys")[key.key_id] = key
            case WithdrawKey(key_id):
                del self._own("keys")[key_id]
                self._bury(key_id)
            case AddOperator(operator):
                self._own("operators")[operator.key_id] = operator
            case WithdrawOperator(key_id):
                del self._own("operators")[key_id]
                self._bury(key_id)

    def _apply_hosts(self, change: SetHostLabels | PlaceHosts) -> None:
        match change:
            case SetHostLabels(labels):
                merged = self._own("host_labels")
                merged.update(labels)
                for host in [host for host, own in labels.items() if not own]:
                    del merged[host]
            case PlaceHosts(moves):
                placement = self._own("placement")
                placement.update(moves)
                for host in [host for host, to in moves.items() if to == SPARE_POOL]:
                    del placement[host]

    def _withdraw_all(self, team: TeamName) -> None:
        keys = self._own("keys")
        for key_id in [key.key_id for key in keys.values() if key.team == team]:
            del keys[key_id]
            self._bury(key_id)
            self._touch((f"key/{key_id}",))

    def _bury(self, key_id: KeyId) -> None:
        withdrawn = self._own("withdrawn")
        withdrawn[key_id] = self._revision
        for old in [old for old in withdrawn if not is_addable(old, self._revision)]:
            del withdrawn[old]

    def _touch(self, objects: tuple[str, ...]) -> None:
        touched = self._own("touched")
        for obj in objects:
            touched.pop(obj, None)
            touched[obj] = self._revision

    def _forget_history(self) -> None:
        """Drops old touches; the map is ordered by revision."""
        touched = self._own("touched")
        oldest = self._revision - HISTORY_RECORDS
        for obj in list(touched):
            if touched[obj] > oldest:
                return
            del touched[obj]

    def _own(self, name: str) -> dict[Any, Any]:
        owned = self._owned.get(name)
        if owned is None:
            owned = dict(getattr(self._base, name))
            self._owned[name] = owned
        return owned


def objects_of(change: Change) -> tuple[str, ...]:
    """Returns the objects that a change writes, as ``kind/name``."""
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


def operator_of(cfg: Configuration, revision: Revision) -> str:
    """Returns who asked for the record at ``revision``; empty if forgotten."""
    op_ids: list[OperationId] = [op for op, at in cfg.recent_ops if at == revision]
    return cfg.recent_operators.get(op_ids[0], "") if op_ids else ""
