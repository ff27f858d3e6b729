"""Encoding of ledgers as values of the key-value store, with a schema version."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

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
from .model import HostLocation, OutageLedger, OutageStage, OutHost, WaveRecord

LEDGER_PREFIX = "ledgers/"
SCHEMA_VERSION = 1
DECODE_STEP = "decode-ledger"


@dataclass(frozen=True, slots=True)
class LedgerUnreadable:
    """The value is no ledger of this schema, so no host may be taken out by it."""

    step: str
    peer: str
    detail: str


class _OutWire(msgspec.Struct, array_like=True, frozen=True):
    host: str
    zone: str
    rack: str
    cause: OutCause
    stage: OutageStage
    since_ms: int
    term: int
    op_id: str
    wave: str | None = None
    target: str | None = None
    record_op: str | None = None


class _WaveWire(msgspec.Struct, array_like=True, frozen=True):
    name: str
    done: tuple[str, ...]
    deferred: tuple[str, ...]
    took_ms: int


class _LedgerWire(msgspec.Struct, array_like=True, frozen=True):
    schema: int
    pool: str
    term: int
    revision: int
    out: tuple[_OutWire, ...]
    waves: tuple[_WaveWire, ...]
    recent_ops: tuple[str, ...]


_DECODER = msgspec.msgpack.Decoder(_LedgerWire)


def ledger_key(pool: PoolName) -> str:
    """Returns the key of a pool's ledger in the key-value store."""
    return f"{LEDGER_PREFIX}{pool}"


def encode(ledger: OutageLedger) -> bytes:
    """Returns the ledger as bytes; equal ledgers have equal encodings."""
    wire = _LedgerWire(
        schema=SCHEMA_VERSION,
        pool=ledger.pool,
        term=ledger.term,
        revision=ledger.revision,
        out=tuple(_out_wire(ledger.out[host]) for host in sorted(ledger.out)),
        waves=tuple(
            _wave_wire(name, ledger.waves[name]) for name in sorted(ledger.waves)
        ),
        recent_ops=ledger.recent_ops,
    )
    return msgspec.msgpack.encode(wire)


def decode(
    value: bytes, *, pool: PoolName, peer: str = "store"
) -> Result[OutageLedger, LedgerUnreadable]:
    """Returns the decoded ledger, which must be that of ``pool``."""
    try:
        wire = _DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(LedgerUnreadable(DECODE_STEP, peer, str(exc)))
    if wire.schema != SCHEMA_VERSION:
        detail = f"ledger has schema {wire.schema}, this entry reads {SCHEMA_VERSION}"
        return Failure(LedgerUnreadable(DECODE_STEP, peer, detail))
    if wire.pool != pool:
        detail = f"ledger of pool {wire.pool!r} stored under the key of pool {pool!r}"
        return Failure(LedgerUnreadable(DECODE_STEP, peer, detail))
    return Success(_ledger(wire))


def _out_wire(out: OutHost) -> _OutWire:
    return _OutWire(
        host=out.location.host,
        zone=out.location.zone,
        rack=out.location.rack,
        cause=out.cause,
        stage=out.stage,
        since_ms=out.since_ms,
        term=out.term,
        op_id=out.op_id,
        wave=out.wave,
        target=out.target,
        record_op=out.record_op,
    )


def _wave_wire(name: WaveName, record: WaveRecord) -> _WaveWire:
    return _WaveWire(
        name, tuple(sorted(record.done)), tuple(sorted(record.deferred)), record.took_ms
    )


def _ledger(wire: _LedgerWire) -> OutageLedger:
    return OutageLedger(
        pool=PoolName(wire.pool),
        term=Term(wire.term),
        revision=Revision(wire.revision),
        out={HostId(out.host): _out_host(out) for out in wire.out},
        waves={WaveName(wave.name): _wave_record(wave) for wave in wire.waves},
        recent_ops=tuple(OperationId(op_id) for op_id in wire.recent_ops),
    )


def _out_host(wire: _OutWire) -> OutHost:
    return OutHost(
        location=HostLocation(HostId(wire.host), ZoneId(wire.zone), RackId(wire.rack)),
        cause=wire.cause,
        stage=wire.stage,
        since_ms=wire.since_ms,
        term=Term(wire.term),
        op_id=OperationId(wire.op_id),
        wave=None if wire.wave is None else WaveName(wire.wave),
        target=None if wire.target is None else PoolName(wire.target),
        record_op=None if wire.record_op is None else OperationId(wire.record_op),
    )


def _wave_record(wire: _WaveWire) -> WaveRecord:
    return WaveRecord(
        done=frozenset(HostId(host) for host in wire.done),
        deferred=frozenset(HostId(host) for host in wire.deferred),
        took_ms=wire.took_ms,
    )
