"""The ledger of a pool: every host that is out, for whatever cause."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from ..configuration.model import EMPTY_REVISION, SPARE_POOL, Budget
from ..ids import (
    HostId,
    OperationId,
    PoolName,
    RackId,
    Revision,
    Term,
    WaveName,
    ZoneId,
)
from ..invariants.observations import OutCause

if TYPE_CHECKING:
    from ..configuration.model import Configuration

NO_TERM = Term(0)
RECENT_OPS = 8
UNLIMITED_HOSTS = 1_000_000
UNLIMITED_BUDGET = Budget(UNLIMITED_HOSTS, UNLIMITED_HOSTS, UNLIMITED_HOSTS)


class Stage(StrEnum):
    """How far the way of a host out of service and back has gone.

    ``DRAINING`` is the only stage that can be revoked: a reboot may have been
    ordered, or a move committed, as soon as the ledger says so. A host that is
    ``RETURNING`` counts as out until it says itself that it takes work again. One
    that has ``LEFT`` for another pool counts no more, and is kept only until its
    drain is over.
    """

    DRAINING = "draining"
    REBOOTING = "rebooting"
    PLACING = "placing"
    OUT = "out"
    RETURNING = "returning"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Location:
    """A host and the failure domains that it is in."""

    host: HostId
    zone: ZoneId
    rack: RackId


@dataclass(frozen=True, slots=True)
class OutHost:
    """A host that is out.

    Attributes:
        location: The host, its zone and rack.
        cause: Why it is out.
        stage: How far it is; ``OUT`` for all involuntary causes.
        since_ms: Wall-clock time when it entered.
        term: Fencing term of the conductor that entered it.
        op_id: Operation that all orders to the host carry.
        record_op: Operation of the configuration record that moves it.
        wave: Wave that maintains it, if one does.
        target: Pool that it moves to, if it moves.
    """

    location: Location
    cause: OutCause
    stage: Stage
    since_ms: int
    term: Term
    op_id: OperationId
    wave: WaveName | None = None
    target: PoolName | None = None
    record_op: OperationId | None = None

    @property
    def is_revocable(self) -> bool:
        """Returns whether the host's drain can still be cancelled."""
        return self.stage is Stage.DRAINING

    @property
    def is_cordoned(self) -> bool:
        """Returns whether we keep new work from the host."""
        ends = (Stage.RETURNING, Stage.LEFT)
        return self.cause.is_voluntary and self.stage not in ends


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """What a wave has done in this pool; it outlives every conductor.

    Attributes:
        done: Hosts that were maintained.
        deferred: Hosts whose long drain was given up once, to go last.
        took_ms: Sum of the times that the hosts in ``done`` were out.
    """

    done: frozenset[HostId] = frozenset()
    deferred: frozenset[HostId] = frozenset()
    took_ms: int = 0


@dataclass(frozen=True, slots=True)
class OutageLedger:
    """One value in the platform's store, written by compare-and-swap only.

    Attributes:
        pool: The pool.
        term: Highest fencing term that wrote; lower ones are refused.
        revision: Highest configuration revision that a writer went by.
        out: Every host that is out. Treat as read-only.
        waves: Progress of each wave. Treat as read-only.
        recent_ops: Operation ids of the latest writes, newest last.
    """

    pool: PoolName
    term: Term = NO_TERM
    revision: Revision = EMPTY_REVISION
    out: Mapping[HostId, OutHost] = field(default_factory=dict)
    waves: Mapping[WaveName, WaveRecord] = field(default_factory=dict)
    recent_ops: tuple[OperationId, ...] = ()

    def wave_record(self, wave: WaveName) -> WaveRecord:
        """Returns the progress of a wave, empty if it has none yet."""
        return self.waves.get(wave, WaveRecord())

    @property
    def count(self) -> int:
        """Returns how many hosts of the pool are out."""
        return len(self.counted_hosts())

    def counted_hosts(self) -> list[OutHost]:
        """Returns the entries that count against the budget."""
        return [out for out in self.out.values() if out.stage is not Stage.LEFT]

    def with_host(self, out: OutHost) -> OutageLedger:
        """Returns the ledger with one entry added or replaced."""
        return replace(self, out={**self.out, out.location.host: out})

    def without(self, *hosts: HostId) -> OutageLedger:
        """Returns the ledger without the entries of some hosts."""
        left = {host: out for host, out in self.out.items() if host not in hosts}
        return replace(self, out=left)

    def with_wave_record(self, wave: WaveName, log: WaveRecord) -> OutageLedger:
        """Returns the ledger with the progress of a wave replaced."""
        return replace(self, waves={**self.waves, wave: log})

    def was_written_by(self, op_id: OperationId) -> bool:
        """Returns whether a write took effect, of which the reply was lost."""
        return op_id in self.recent_ops

    def cordoned_hosts(self) -> frozenset[HostId]:
        """Returns the hosts that must get no new work because we take them out."""
        return frozenset(host for host, out in self.out.items() if out.is_cordoned)


def budget_of(cfg: Configuration, pool: PoolName) -> Budget:
    """Returns a pool's budget; a spare pool that nobody configured has no bound."""
    if pool in cfg.pools:
        return cfg.pools[pool].budget
    return UNLIMITED_BUDGET if pool == SPARE_POOL else Budget()
