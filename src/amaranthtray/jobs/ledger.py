"""The ledger of a pool's conductor, and its report on the pool."""

from __future__ import annotations

import msgspec

from ..domain.ids import HostId
from ..domain.scheduling.forecast import Forecast
from ..domain.upkeep.moves import PoolLoad
from .fenced_ledger import LedgerHeader


class PoolLedger(LedgerHeader, kw_only=True):
    """Ledger that each write of a pool's conductor updates.

    Attributes:
        pending: Number of jobs of each queue that have not started.
        displaced: Number of those whose path no longer belongs to a queue of the pool
            with the name that they were submitted to, by address of that queue.
        written_ms: Wall time of the write.
        has_locations: Whether all jobs that the writer has read have a location. A
            former release writes a ledger without this mark.
    """

    pending: dict[str, int] = msgspec.field(default_factory=dict)
    displaced: dict[str, int] = msgspec.field(default_factory=dict)
    written_ms: int = 0
    has_locations: bool = False


class VacateRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Request of the fleet manager to empty hosts of a pool and to keep them empty.

    Attributes:
        number: Number of the request; a later one of the pool has a higher number.
        hosts: The complete set of hosts, each with the number of the request since
            which it has been in all.
    """

    number: int = 0
    hosts: dict[HostId, int] = {}

    def vacant(self, report: PoolReport) -> frozenset[HostId]:
        """Returns the hosts that are empty and stay so while the request stands.

        A host that an earlier request had, and that may have got runs since, needs a
        report that follows from this one.
        """
        number = report.vacate_number
        if isinstance(number, msgspec.UnsetType):
            number = 0
        return frozenset(
            host
            for host, since in self.hosts.items()
            if host in report.vacant and number >= since
        )


class PoolReport(msgspec.Struct, kw_only=True):
    """Report of a pool's conductor to the fleet manager and to all entries.

    Attributes:
        vacant: Hosts that were requested to be emptied and are empty.
        vacate_number: Number of the request that ``vacant`` follows from; unset, and
            not stored, before the first one.
        load: Resources that the pool needs.
        forecast: Until when the pool is taken; unset, and not stored, if no job waits
            or if no jobs are refused.
    """

    vacant: list[str] = []
    vacate_number: int | msgspec.UnsetType = msgspec.UNSET
    load: PoolLoad = PoolLoad()
    forecast: Forecast | msgspec.UnsetType = msgspec.UNSET


def decode_report(data: bytes) -> PoolReport:
    """Returns the report stored as ``data``.

    Raises:
        msgspec.MsgspecError: ``data`` is not a report.
    """
    return msgspec.json.decode(data, type=PoolReport)


def decode_vacate_request(data: bytes) -> VacateRequest:
    """Returns the request stored as ``data``, also in its form without numbers.

    Raises:
        msgspec.MsgspecError: ``data`` is not a request.
    """
    stored = msgspec.json.decode(data, type=VacateRequest | list[HostId])
    if isinstance(stored, list):
        return VacateRequest(hosts=dict.fromkeys(stored, 0))
    return stored


def decode_ledger(data: bytes) -> PoolLedger:
    """Returns the ledger stored as ``data``.

    Raises:
        msgspec.MsgspecError: ``data`` is not a ledger.
    """
    return msgspec.json.decode(data, type=PoolLedger)
