"""A pool's ledger: the value through which its conductor's writes are fenced."""

from __future__ import annotations

import msgspec

from ..domain.upkeep.moves import PoolLoad


class Ledger(msgspec.Struct, kw_only=True):
    """Stored by each write of a conductor.

    Attributes:
        term: Term of the writer.
        batch: Numbers the writes of a term; with it a lost reply is settled.
        pending: Jobs of each queue that have not begun.
        written_ms: Wall time of the write.
    """

    term: int = 0
    batch: int = 0
    pending: dict[str, int] = {}
    written_ms: int = 0


class Report(msgspec.Struct, kw_only=True):
    """What a pool's conductor says of the pool.

    Attributes:
        vacant: Hosts that were to be emptied and are empty.
        load: What the pool needs.
    """

    vacant: list[str] = []
    load: PoolLoad = PoolLoad()


def decode_report(data: bytes) -> Report:
    """Returns the report stored as ``data``.

    Raises:
        msgspec.MsgspecError: It is not one.
    """
    return msgspec.json.decode(data, type=Report)


def decode_ledger(data: bytes) -> Ledger:
    """Returns the ledger stored as ``data``.

    Raises:
        msgspec.MsgspecError: It is not one.
    """
    return msgspec.json.decode(data, type=Ledger)
