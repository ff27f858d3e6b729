"""The ledger of a pool's conductor, and its report on the pool."""

from __future__ import annotations

import msgspec

from ..domain.scheduling.forecast import Forecast
from ..domain.upkeep.moves import PoolLoad
from .fenced_ledger import LedgerHeader


class PoolLedger(LedgerHeader, kw_only=True):
    """Ledger that each write of a pool's conductor updates.

    Attributes:
        pending: Number of jobs of each queue that have not started.
        written_ms: Wall time of the write.
    """

    pending: dict[str, int] = msgspec.field(default_factory=dict)
    written_ms: int = 0


class PoolReport(msgspec.Struct, kw_only=True):
    """Report of a pool's conductor to the fleet manager and to all entries.

    Attributes:
        vacant: Hosts that were requested to be emptied and are empty.
        load: Resources that the pool needs.
        forecast: Until when the pool is taken; unset, and not stored, if no job waits
            or if no jobs are refused.
    """

    vacant: list[str] = []
    load: PoolLoad = PoolLoad()
    forecast: Forecast | msgspec.UnsetType = msgspec.UNSET


def decode_report(data: bytes) -> PoolReport:
    """Returns the report stored as ``data``.

    Raises:
        msgspec.MsgspecError: ``data`` is not a report.
    """
    return msgspec.json.decode(data, type=PoolReport)


def decode_ledger(data: bytes) -> PoolLedger:
    """Returns the ledger stored as ``data``.

    Raises:
        msgspec.MsgspecError: ``data`` is not a ledger.
    """
    return msgspec.json.decode(data, type=PoolLedger)
