"""Transactions on the in-memory store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .contract import Conflicts, LeaseGone, Listing, Rejected
from .memory import PEER, MemoryStore

if TYPE_CHECKING:
    from .contract import StoreFailure, Transaction, Versioned
    from .memory import MemoryPlatform

STEP = "commit"


class MemoryTransactions(MemoryStore):
    """A client of the in-memory store; implements ``TransactionalStore``."""

    _stale: tuple[Versioned, ...] | None = None

    def go_stale(self) -> None:
        """Lets stale reads return the present items from now on."""
        self._stale = self._platform.read_all("").items

    def list_stale(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix, as they were at ``go_stale`` if it was called.

        The version of such a listing is 0.
        """
        if self._stale is None:
            return self._read("list_stale", lambda: self._platform.read_all(prefix))
        items = tuple(each for each in self._stale if each.key.startswith(prefix))
        return self._read("list_stale", lambda: Listing(items, 0))

    def commit(self, transaction: Transaction) -> Result[int, StoreFailure]:
        """Executes a transaction and returns the version of its writes."""
        return self._write(STEP, lambda: _commit(self._platform, transaction))


def _commit(
    platform: MemoryPlatform, transaction: Transaction
) -> Result[int, StoreFailure]:
    with platform.condition:
        expected = dict(transaction.expect)
        found = [item for key in expected if (item := platform.read(key)) is not None]
        versions = {item.key: item.version for item in found}
        if any(versions.get(key, 0) != expected[key] for key in expected):
            return Failure(Conflicts(STEP, PEER, tuple(found)))
        largest = max((len(put.value) for put in transaction.puts), default=0)
        if largest > platform.max_value_bytes:
            return Failure(Rejected(STEP, PEER, f"a value has {largest} bytes"))
        if not platform.has_leases([put.lease for put in transaction.puts]):
            return Failure(LeaseGone(STEP, PEER))
        return Success(platform.write_all(transaction))
