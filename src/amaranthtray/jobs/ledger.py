"""What a pool's conductor writes with its records, and what it says of the pool."""

from __future__ import annotations

import msgspec

from ..domain.upkeep.moves import PoolLoad
from .fenced_ledger import LedgerHeader


class PoolLedger(LedgerHeader, kw_only=True):
    """Stored by each write of a conductor.

    Attributes:
        pending: Jobs of each queue that have not begun.
        written_ms: Wall time of the write.
    """

    pending: dict[str, int] = msgspec.field(default_factory=dict)
    written_ms: int = 0


class PoolReport(msgspec.Struct, kw_only=True):
    """What a pool's conductor says of the pool.

    Attributes:
        vacant: Hosts that were to be emptied and are empty.
        load: What the pool needs.
    """

    vacant: list[str] = []
    load: PoolLoad = PoolLoad()


def decode_report(data: bytes) -> PoolReport:
    """Returns the report stored as ``data``.

    Raises:
        msgspec.MsgspecError: It is not one.
    """
    return msgspec.json.decode(data, type=PoolReport)


def decode_ledger(data: bytes) -> PoolLedger:
    """Returns the ledger stored as ``data``.

    Raises:
        msgspec.MsgspecError: It is not one.
    """
    return msgspec.json.decode(data, type=PoolLedger)
