"""Validates changes against the configuration that they are proposed for."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

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
    RemovePool,
    RemoveQueue,
    RemoveTeam,
    SetHostLabels,
    SetWaveState,
    WithdrawKey,
    WithdrawOperator,
)
from .key_ids import is_addable, is_digest
from .model import SPARE_POOL, Configuration, Role, WaveState

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..ids import KeyId, PoolName, Revision, WaveName, ZoneId
    from .model import Pool, Queue, Team, TeamKey, Wave

MAX_PRIORITY = 1_000_000
MAX_SHARE = 1_000_000
MAX_LIMIT_SLOTS = 10_000_000
MAX_WAVES = 1_000
MAX_LABELS = 64

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_LABEL_KEY = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,126}")
_LABEL_VALUE = re.compile(r"[A-Za-z0-9._-]{0,63}")
_NAME_FIX = "use 1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a-z or 0-9"


@dataclass(frozen=True, slots=True)
class InvalidChange:
    """Why a change is invalid, the object concerned, and how to correct it."""

    what: str
    where: str
    fix: str


class SelectorCheck(Protocol):
    """Checks the syntax of a label selector."""

    def __call__(self, selector: str, /) -> str | None:
        """Returns what is wrong with the selector; ``None`` if it is valid."""


class PoolCheck(Protocol):
    """Checks that no host matches the selectors of several pools ambiguously."""

    def __call__(
        self, before: Configuration, after: Configuration, /
    ) -> InvalidChange | None:
        """Returns an error that names the pools; ``None`` if there is no ambiguity."""


class KnownZones(Protocol):
    """Looks up the availability zones that have hosts."""

    def __call__(self) -> frozenset[ZoneId]:
        """Returns the zones of the hosts that the platform lists."""


def no_zones() -> frozenset[ZoneId]:
    """Returns no zone: without a host list, no zone can be evacuated."""
    return frozenset()


@dataclass(frozen=True, slots=True)
class Rules:
    """Checks that other packages of the domain implement.

    Attributes:
        selector: Refuses selectors with invalid syntax.
        pools: Refuses pool selectors that are ambiguous.
        zones: Looks up the availability zones that have hosts.
    """

    selector: SelectorCheck
    pools: PoolCheck
    zones: KnownZones = no_zones


class ChangeChecker:
    """Checks the changes of a proposed record one by one.

    Args:
        rules: Checks that other packages of the domain implement.
        revision: Revision that the record will have.
    """

    def __init__(self, rules: Rules, revision: Revision) -> None:
        self._rules = rules
        self._revision = revision

    def check(self, cfg: Configuration, change: Change) -> InvalidChange | None:
        """Returns what is wrong with ``change``; ``None`` if it is valid.

        Args:
            cfg: The configuration after the changes before it.
            change: The change.
        """
        match change:
            case PutPool(pool):
                return self._check_pool(pool)
            case RemovePool(name):
                return _check_remove_pool(cfg, name)
            case PutTeam(team):
                return _check_team(team)
            case RemoveTeam(team_name):
                return _must_exist("team", team_name, cfg.teams)
            case PutQueue(queue):
                return self._check_queue(cfg, queue)
            case RemoveQueue(queue_name):
                return _must_exist("queue", queue_name, cfg.queues)
            case PutWave(wave):
                return self._check_wave(cfg, wave)
            case SetWaveState(wave_name, state):
                return _check_wave_state(cfg, wave_name, state)
            case SetHostLabels() | PlaceHosts():
                return _check_hosts(cfg, change)
            case AddKey() | WithdrawKey() | AddOperator() | WithdrawOperator():
                return self._check_key_change(cfg, change)
            case EvacuateZone() | EndEvacuation():
                return _check_evacuation(cfg, change, self._rules.zones())

    def _check_pool(self, pool: Pool) -> InvalidChange | None:
        where = f"pool/{pool.name}"
        if pool.name == SPARE_POOL and pool.selector:
            return InvalidChange(
                "the spare pool has no selector", where, "leave the selector empty"
            )
        if pool.name != SPARE_POOL and not pool.selector:
            return InvalidChange(
                "a pool needs a selector", where, "select its hosts by their labels"
            )
        budget = pool.budget
        limits = (budget.max_out, budget.max_out_per_zone, budget.max_out_per_rack)
        if min(limits) < 0:
            return InvalidChange("negative budget", f"{where}.budget", "use 0 or more")
        return (
            _check_name(where, pool.name)
            or _check_range(f"{where}.priority", pool.priority, 0, MAX_PRIORITY)
            or self._check_selector(where, pool.selector)
        )

    def _check_queue(self, cfg: Configuration, queue: Queue) -> InvalidChange | None:
        where = f"queue/{queue.name}"
        if not 0 < queue.objective.target < 1:
            fix = "use a fraction between 0 and 1, for example 0.999"
            return InvalidChange("objective out of range", f"{where}.objective", fix)
        return (
            _check_name(where, queue.name)
            or _must_be_pool(cfg, f"{where}.pool", queue.pool)
            or self._check_selector(where, queue.selector)
        )

    def _check_wave(self, cfg: Configuration, wave: Wave) -> InvalidChange | None:
        where = f"wave/{wave.name}"
        existing = cfg.waves.get(wave.name)
        if existing is not None and existing.state != WaveState.ABORTED:
            fix = "abort the wave first or choose another name"
            return InvalidChange(
                "a wave of that name exists and is not aborted", where, fix
            )
        if existing is None and len(cfg.waves) >= MAX_WAVES:
            fix = "reuse the name of an aborted wave"
            return InvalidChange(f"more than {MAX_WAVES} waves", where, fix)
        return _check_name(where, wave.name) or self._check_selector(
            where, wave.selector
        )

    def _check_selector(self, where: str, selector: str) -> InvalidChange | None:
        if not selector:
            return None
        error = self._rules.selector(selector)
        if error is None:
            return None
        return InvalidChange(error, f"{where}.selector", "correct the selector")

    def _check_key_change(
        self,
        cfg: Configuration,
        change: AddKey | WithdrawKey | AddOperator | WithdrawOperator,
    ) -> InvalidChange | None:
        match change:
            case AddKey(key):
                return self._check_add_key(cfg, key)
            case WithdrawKey(key_id):
                return _must_exist("key", key_id, cfg.keys)
            case AddOperator(operator):
                where = f"operator/{operator.key_id}"
                return _check_name(where, operator.name) or self._check_new_id(
                    cfg, where, operator.key_id, operator.digest
                )
            case WithdrawOperator(key_id):
                return _check_withdraw_operator(cfg, key_id)

    def _check_add_key(self, cfg: Configuration, key: TeamKey) -> InvalidChange | None:
        where = f"key/{key.key_id}"
        return _must_exist("team", key.team, cfg.teams) or self._check_new_id(
            cfg, where, key.key_id, key.digest
        )

    def _check_new_id(
        self, cfg: Configuration, where: str, key_id: KeyId, digest: str
    ) -> InvalidChange | None:
        if not is_digest(digest):
            fix = "send the SHA-256 of the whole key in lower-case hexadecimal"
            return InvalidChange("malformed digest", f"{where}.digest", fix)
        if key_id in cfg.withdrawn:
            return InvalidChange("the key id was withdrawn", where, "mint a new key")
        if key_id in cfg.keys or key_id in cfg.operators:
            return InvalidChange("the key id is taken", where, "mint a new key")
        if not is_addable(key_id, self._revision):
            fix = "mint a new key at the current revision"
            return InvalidChange("the key id is malformed or too old", where, fix)
        return None


def _check_remove_pool(cfg: Configuration, name: PoolName) -> InvalidChange | None:
    where = f"pool/{name}"
    queues = [queue.name for queue in cfg.queues.values() if queue.pool == name]
    if queues:
        fix = f"move or remove queue {queues[0]!r} first"
        return InvalidChange("the pool is in use", where, fix)
    if name in cfg.placement.values():
        return InvalidChange("hosts are in the pool", where, "move its hosts first")
    if name == SPARE_POOL:
        return InvalidChange("the spare pool always exists", where, "leave it in place")
    return _must_exist("pool", name, cfg.pools)


def _check_team(team: Team) -> InvalidChange | None:
    where = f"team/{team.name}"
    if team.cutoff_grace_ms is not None and team.cutoff_grace_ms < 0:
        fix = "use 0 or more, or none to serve without a time limit"
        return InvalidChange("negative grace time", f"{where}.cutoff_grace_ms", fix)
    return (
        _check_name(where, team.name)
        or _check_range(f"{where}.share", team.share, 1, MAX_SHARE)
        or _check_range(f"{where}.limit", team.limit, 0, MAX_LIMIT_SLOTS)
        or _check_labels(where, team.labels)
    )


def _check_hosts(
    cfg: Configuration, change: SetHostLabels | PlaceHosts
) -> InvalidChange | None:
    match change:
        case SetHostLabels(labels):
            results = (
                _check_labels(f"host/{host}", host_labels)
                for host, host_labels in labels.items()
            )
            return next((invalid for invalid in results if invalid), None)
        case PlaceHosts(moves):
            results = (
                _must_be_pool(cfg, f"placement/{host}", pool)
                for host, pool in moves.items()
            )
            return next((invalid for invalid in results if invalid), None)


def _check_withdraw_operator(cfg: Configuration, key_id: KeyId) -> InvalidChange | None:
    admins = [admin for admin in cfg.operators.values() if admin.role == Role.ADMIN]
    if [admin.key_id for admin in admins] == [key_id]:
        fix = "add another administrator first"
        return InvalidChange(
            "the last administrator cannot be withdrawn", f"operator/{key_id}", fix
        )
    return _must_exist("operator", key_id, cfg.operators)


def _check_wave_state(
    cfg: Configuration, name: WaveName, state: WaveState
) -> InvalidChange | None:
    wave = cfg.waves.get(name)
    if wave is None:
        return _must_exist("wave", name, cfg.waves)
    if wave.state == WaveState.ABORTED and state != WaveState.ABORTED:
        return InvalidChange(
            "the wave was aborted", f"wave/{name}", "create a new wave"
        )
    return None


def _check_evacuation(
    cfg: Configuration, change: EvacuateZone | EndEvacuation, known: frozenset[ZoneId]
) -> InvalidChange | None:
    where = f"zone/{change.zone}"
    known_text = ", ".join(sorted(known)) or "none, as no host is listed yet"
    fix = f"name one of the known zones: {known_text}"
    if not change.zone:
        return InvalidChange("empty name of a zone", where, fix)
    since = cfg.evacuations.get(change.zone)
    match change:
        case EndEvacuation(zone):
            if since is not None:
                return None
            evacuated = ", ".join(sorted(cfg.evacuations)) or "none"
            what = f"zone {zone!r} is not evacuated"
            fix = f"evacuated zones: {evacuated}; known zones: {known_text}"
            return InvalidChange(what, where, fix)
        case EvacuateZone(zone, all_zones):
            if since is not None:
                what = f"zone {zone!r} is evacuated since revision {since}"
                fix = f"leave it, or end the evacuation; known zones: {known_text}"
                return InvalidChange(what, where, fix)
            if zone not in known:
                return InvalidChange(f"unknown zone {zone!r}", where, fix)
            if not all_zones and not known - cfg.evacuations.keys() - {zone}:
                what = "no zone would be left to serve requests"
                fix = "end another evacuation first, or add --all-zones"
                return InvalidChange(what, where, fix)
            return None


def _check_name(where: str, name: str) -> InvalidChange | None:
    if _NAME.fullmatch(name):
        return None
    return InvalidChange(f"invalid name {name!r}", where, _NAME_FIX)


def _check_range(where: str, value: int, low: int, high: int) -> InvalidChange | None:
    if low <= value <= high:
        return None
    return InvalidChange(f"{value} is out of range", where, f"use {low} to {high}")


def _check_labels(where: str, labels: Mapping[str, str]) -> InvalidChange | None:
    if len(labels) > MAX_LABELS:
        return InvalidChange("too many labels", where, f"use at most {MAX_LABELS}")
    for key, value in labels.items():
        if not _LABEL_KEY.fullmatch(key) or not _LABEL_VALUE.fullmatch(value):
            fix = "use letters, digits, '.', '_', '-', and '/' in keys"
            return InvalidChange(f"invalid label {key}={value}", f"{where}.labels", fix)
    return None


def _must_exist(
    kind: str, name: str, existing: Collection[str]
) -> InvalidChange | None:
    if name in existing:
        return None
    return InvalidChange(
        f"unknown {kind}", f"{kind}/{name}", f"create the {kind} first"
    )


def _must_be_pool(
    cfg: Configuration, where: str, name: PoolName
) -> InvalidChange | None:
    if name == SPARE_POOL or name in cfg.pools:
        return None
    return InvalidChange(f"unknown pool {name!r}", where, "create the pool first")
