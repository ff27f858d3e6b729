"""The ledger of a pool, which lists every host that is out for any cause."""

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
MAX_RECENT_OPS = 8
UNLIMITED_HOSTS = 1_000_000
UNLIMITED_BUDGET = Budget(UNLIMITED_HOSTS, UNLIMITED_HOSTS, UNLIMITED_HOSTS)


class OutageStage(StrEnum):
    """Progress of a host out of service and back.

    Only ``DRAINING`` can be revoked: a reboot may have been ordered, or a move
    committed, as soon as the ledger has one of the later stages. A host that is
    ``RETURNING`` counts as out until it reports itself that it takes work again. One
    that has ``LEFT`` for another pool no longer counts, and is kept only until its
    drain is over.
    """

    DRAINING = "draining"
    REBOOTING = "rebooting"
    PLACING = "placing"
    OUT = "out"
    RETURNING = "returning"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class HostLocation:
    """A host and its failure domains."""

    host: HostId
    zone: ZoneId
    rack: RackId


@dataclass(frozen=True, slots=True)
class OutHost:
    """A ledger entry of a host that is out.

    Attributes:
        location: The host, its zone and its rack.
        cause: Why it is out.
        stage: Its stage; ``OUT`` if the cause is involuntary.
        since_ms: Wall-clock time at which the entry was added.
        term: Fencing term of the conductor that added the entry.
        op_id: Operation id that all orders to the host carry.
        record_op: Operation id of the configuration record that moves it.
        wave: Maintenance wave that took it out, if any.
        target: Pool that it moves to, if any.
    """

    location: HostLocation
    cause: OutCause
    stage: OutageStage
    since_ms: int
    term: Term
    op_id: OperationId
    wave: WaveName | None = None
    target: PoolName | None = None
    record_op: OperationId | None = None

    @property
    def is_revocable(self) -> bool:
        """Returns whether the host's drain can still be cancelled."""
        return self.stage is OutageStage.DRAINING

    @property
    def is_cordoned(self) -> bool:
        """Returns whether maintenance or a move keeps new work from the host."""
        ends = (OutageStage.RETURNING, OutageStage.LEFT)
        return self.cause.is_voluntary and self.stage not in ends


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """Progress of a wave in this pool, which survives changes of the conductor.

    Attributes:
        done: Hosts whose maintenance is complete.
        deferred: Hosts whose drain took too long and was cancelled once; they come
            last.
        took_ms: Total time for which the hosts in ``done`` were out.
    """

    done: frozenset[HostId] = frozenset()
    deferred: frozenset[HostId] = frozenset()
    took_ms: int = 0


@dataclass(frozen=True, slots=True)
class OutageLedger:
    """The ledger of a pool, one value of the key-value store.

    It is written by compare-and-swap only.

    Attributes:
        pool: The pool.
        term: Highest fencing term that wrote it; lower terms are refused.
        revision: Highest configuration revision that a writer used.
        out: Entry of each host that is out. Treat as read-only.
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
        """Returns the progress of a wave, which is empty if it has not started."""
        return self.waves.get(wave, WaveRecord())

    @property
    def count(self) -> int:
        """Returns how many hosts of the pool are out."""
        return len(self.counted_hosts())

    def counted_hosts(self) -> list[OutHost]:
        """Returns the entries that count against the budget."""
        return [out for out in self.out.values() if out.stage is not OutageStage.LEFT]

    def with_host(self, out: OutHost) -> OutageLedger:
        """Returns the ledger with one entry added or replaced."""
        return replace(self, out={**self.out, out.location.host: out})

    def without(self, *hosts: HostId) -> OutageLedger:
        """Returns the ledger without the entries of some hosts."""
        left = {host: out for host, out in self.out.items() if host not in hosts}
        return replace(self, out=left)

    def with_wave_record(self, wave: WaveName, record: WaveRecord) -> OutageLedger:
        """Returns the ledger with the progress of a wave replaced."""
        return replace(self, waves={**self.waves, wave: record})

    def was_written_by(self, op_id: OperationId) -> bool:
        """Returns whether a write whose reply was lost took effect.

        This holds as long as the operation is among the latest writes.
        """
        return op_id in self.recent_ops

    def cordoned_hosts(self) -> frozenset[HostId]:
        """Returns the hosts that get no new work because of maintenance or a move."""
        return frozenset(host for host, out in self.out.items() if out.is_cordoned)


def budget_of(cfg: Configuration, pool: PoolName) -> Budget:
    """Returns a pool's budget; an unconfigured spare pool has no limits."""
    if pool in cfg.pools:
        return cfg.pools[pool].budget
    return UNLIMITED_BUDGET if pool == SPARE_POOL else Budget()
