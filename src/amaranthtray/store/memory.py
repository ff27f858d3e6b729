"""An in-memory store that behaves like the platform's, with injected faults.

Leases expire by the clock that is passed in, so that tests can control the time.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NewType, TypeAlias, TypeVar

from returns.result import Failure, Result, Success

from .contract import (
    MAX_VALUE_BYTES,
    Compacted,
    Conflict,
    EffectUnknown,
    LeaseGone,
    LeaseId,
    Listing,
    StoreFailure,
    Transaction,
    Unavailable,
    Versioned,
    WatchBatch,
    WatchEvent,
)
from .faults import Fault as Fault
from .faults import PlannedFault as PlannedFault

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")
ClientName = NewType("ClientName", str)
Clock: TypeAlias = Callable[[], int]
"""Returns a monotonic time in milliseconds."""

PEER = "memory-store"
MAX_WATCH_EVENTS = 10_000


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int
    keys: set[str] = field(default_factory=set)


class MemoryPlatform:
    """The contents of the store and the faults between it and its clients.

    Attributes:
        is_down: Whether every call fails.
        disconnected_clients: Clients whose calls fail.
        calls: Number of calls by method.
        max_value_bytes: Maximum size of a value in a transaction.
        sleep: Called with the milliseconds of an injected delay.
        condition: Lock of the contents, notified of each change.

    Args:
        clock: The store's own clock.
        sleep: Called with the milliseconds of an injected delay; it can advance a
            manual clock, for example.
    """

    def __init__(
        self, clock: Clock, *, sleep: Callable[[int], None] | None = None
    ) -> None:
        self.is_down = False
        self.disconnected_clients: set[ClientName] = set()
        self.calls: dict[str, int] = {}
        self.max_value_bytes = MAX_VALUE_BYTES
        self.sleep = sleep or (lambda _: None)
        self.condition = threading.Condition(threading.RLock())
        self._clock = clock
        self._items: dict[str, Versioned] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._events: deque[WatchEvent] = deque(maxlen=MAX_WATCH_EVENTS)
        self._version = 0
        self._next_lease = 1
        self._planned_faults: dict[ClientName, list[PlannedFault]] = {}
        self._delayed_writes: list[Callable[[], object]] = []

    def client(self, name: str, *, blocking_watch: bool = False) -> MemoryStore:
        """Returns a client of the store.

        Args:
            name: Client name; faults and disconnections are set by client.
            blocking_watch: Whether ``watch`` waits in real time; otherwise it
                returns at once.
        """
        return MemoryStore(self, ClientName(name), blocking_watch=blocking_watch)

    def plan(self, client: str, *faults: PlannedFault) -> None:
        """Adds faults that affect the client's next calls, in order."""
        self._planned_faults.setdefault(ClientName(client), []).extend(faults)

    def clear_faults(self) -> None:
        """Removes all planned faults."""
        self._planned_faults.clear()

    def next_fault(self, client: ClientName, step: str) -> PlannedFault | None:
        """Removes and returns the first planned fault for this call."""
        planned = self._planned_faults.get(client, [])
        for fault in planned:
            if fault.step in ("", step):
                planned.remove(fault)
                return fault
        return None

    def delay_write(self, write: Callable[[], object]) -> None:
        """Holds back a write whose request is still on its way."""
        self._delayed_writes.append(write)

    def apply_delayed_writes(self) -> int:
        """Executes all delayed writes and returns how many there were."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for write in delayed:
            write()
        return len(delayed)

    def compact_events(self) -> None:
        """Drops all watch events so far."""
        with self.condition:
            self._events.clear()

    def wipe(self) -> None:
        """Deletes all keys and leases, as when the store is rebuilt empty."""
        with self.condition:
            self._items.clear()
            self._leases.clear()
            self._events.clear()

    def read(self, key: str) -> Versioned | None:
        """Returns a key, or None if it is absent or its lease has expired."""
        with self.condition:
            self._expire()
            return self._items.get(key)

    def read_all(self, prefix: str) -> Listing:
        """Returns all keys under a prefix, sorted, at one version."""
        with self.condition:
            self._expire()
            keys = sorted(key for key in self._items if key.startswith(prefix))
            return Listing(tuple(self._items[key] for key in keys), self._version)

    def write(
        self, key: str, value: bytes, version: int, lease: LeaseId | None, step: str
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version``; 0 means absent."""
        with self.condition:
            self._expire()
            if lease is not None and lease not in self._leases:
                return Failure(LeaseGone(step, PEER))
            current = self._items.get(key)
            if (current.version if current else 0) != version:
                return Failure(Conflict(step, PEER, current))
            self._put(key, value, lease)
            return Success(self._version)

    def erase(self, key: str, version: int, step: str) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        with self.condition:
            self._expire()
            current = self._items.get(key)
            if current is None or current.version != version:
                return Failure(Conflict(step, PEER, current))
            self._remove(key)
            return Success(None)

    def write_all(self, transaction: Transaction) -> int:
        """Writes and deletes several keys at one version; the lock must be held."""
        self._version += 1
        version = self._version
        for put in transaction.puts:
            self._put(put.key, put.value, put.lease, version)
        for key in transaction.removes:
            if key in self._items:
                self._remove(key, version)
        return version

    def has_leases(self, leases: list[LeaseId | None]) -> bool:
        """Returns whether all the leases that are not None still exist."""
        return all(lease is None or lease in self._leases for lease in leases)

    def grant(self, ttl_ms: int) -> LeaseId:
        """Grants a lease."""
        with self.condition:
            lease = LeaseId(self._next_lease)
            self._next_lease += 1
            self._leases[lease] = _Lease(ttl_ms, self._clock() + ttl_ms)
            return lease

    def renew(self, lease: LeaseId, step: str) -> Result[int, StoreFailure]:
        """Renews a lease that has not expired."""
        with self.condition:
            self._expire()
            state = self._leases.get(lease)
            if state is None:
                return Failure(LeaseGone(step, PEER))
            state.expires_ms = self._clock() + state.ttl_ms
            return Success(state.ttl_ms)

    def revoke(self, lease: LeaseId, step: str) -> Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys."""
        with self.condition:
            self._expire()
            if lease not in self._leases:
                return Failure(LeaseGone(step, PEER))
            self._end_lease(lease)
            return Success(None)

    def events_after(
        self, prefix: str, after: int, step: str
    ) -> Result[WatchBatch, StoreFailure]:
        """Returns the events under a prefix after version ``after``."""
        with self.condition:
            self._expire()
            oldest = self._events[0].version if self._events else self._version + 1
            if after + 1 < oldest:
                return Failure(Compacted(step, PEER))
            newer = (event for event in self._events if event.version > after)
            matching = tuple(event for event in newer if event.key.startswith(prefix))
            return Success(WatchBatch(matching, self._version))

    def _put(self, key: str, value: bytes, lease: LeaseId | None, at: int = 0) -> None:
        self._detach_from_lease(key)
        version = at or self._next_version()
        self._items[key] = Versioned(key, value, version, lease)
        if lease is not None:
            self._leases[lease].keys.add(key)
        self._publish(WatchEvent(key, value, version))

    def _remove(self, key: str, at: int = 0) -> None:
        self._detach_from_lease(key)
        del self._items[key]
        self._publish(WatchEvent(key, None, at or self._next_version()))

    def _next_version(self) -> int:
        self._version += 1
        return self._version

    def _detach_from_lease(self, key: str) -> None:
        current = self._items.get(key)
        lease = self._leases.get(current.lease) if current and current.lease else None
        if lease is not None:
            lease.keys.discard(key)

    def _publish(self, event: WatchEvent) -> None:
        self._events.append(event)
        self.condition.notify_all()

    def _expire(self) -> None:
        now_ms = self._clock()
        for lease in list(self._expired_leases(now_ms)):
            self._end_lease(lease)

    def _expired_leases(self, now_ms: int) -> Iterator[LeaseId]:
        for lease, state in self._leases.items():
            if state.expires_ms <= now_ms:
                yield lease

    def _end_lease(self, lease: LeaseId) -> None:
        for key in sorted(self._leases[lease].keys):
            self._remove(key)
        del self._leases[lease]


class MemoryStore:
    """A client of the in-memory store; implements ``Store``."""

    def __init__(
        self, platform: MemoryPlatform, name: ClientName, *, blocking_watch: bool
    ) -> None:
        self._platform = platform
        self._name = name
        self._blocking_watch = blocking_watch

    def get(self, key: str) -> Result[Versioned | None, StoreFailure]:
        """Reads one key."""
        return self._read("get", lambda: self._platform.read(key))

    def list(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Reads all keys under a prefix at one version."""
        return self._read("list", lambda: self._platform.read_all(prefix))

    def create(
        self, key: str, value: bytes, *, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be absent and returns its version."""
        return self._put("create", key, value, 0, lease)

    def compare_and_swap(
        self, key: str, value: bytes, *, version: int, lease: LeaseId | None = None
    ) -> Result[int, StoreFailure]:
        """Writes a key that must be at ``version`` and returns the new version."""
        return self._put("compare_and_swap", key, value, version, lease)

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Deletes a key that must be at ``version``."""
        step = "delete"
        return self._write(step, lambda: self._platform.erase(key, version, step))

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Grants a lease."""
        return self._write("grant_lease", lambda: Success(self._platform.grant(ttl_ms)))

    def renew_lease(self, lease: LeaseId) -> Result[int, StoreFailure]:
        """Renews a lease and returns its time to live in milliseconds."""
        step = "renew_lease"
        return self._write(step, lambda: self._platform.renew(lease, step))

    def revoke_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys."""
        step = "revoke_lease"
        return self._write(step, lambda: self._platform.revoke(lease, step))

    def watch(
        self, prefix: str, *, after_version: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreFailure]:
        """Returns changes after ``after_version``; waits only if ``blocking_watch``."""
        step = "watch"
        failure = self._begin_read(step)
        if failure is not None:
            return Failure(failure)
        platform = self._platform
        with platform.condition:
            batch = platform.events_after(prefix, after_version, step)
            if self._blocking_watch and _is_empty(batch):
                platform.condition.wait(timeout_ms / 1_000)
                batch = platform.events_after(prefix, after_version, step)
        return batch

    def _put(
        self, step: str, key: str, value: bytes, version: int, lease: LeaseId | None
    ) -> Result[int, StoreFailure]:
        if len(value) > MAX_VALUE_BYTES:
            return Failure(Unavailable(step, PEER, "value too large"))
        platform = self._platform
        return self._write(
            step, lambda: platform.write(key, value, version, lease, step)
        )

    def _read(self, step: str, call: Callable[[], T]) -> Result[T, StoreFailure]:
        failure = self._begin_read(step)
        if failure is not None:
            return Failure(failure)
        return Success(call())

    def _write(
        self, step: str, call: Callable[[], Result[T, StoreFailure]]
    ) -> Result[T, StoreFailure]:
        platform = self._platform
        planned = platform.next_fault(self._name, step)
        failure = self._start_call(step, planned)
        if failure is not None:
            return Failure(failure)
        lost = EffectUnknown(step, PEER, "reply lost")
        match planned.fault if planned else None:
            case Fault.LOST_REPLY:
                call()
                return Failure(lost)
            case Fault.LOST_REQUEST:
                return Failure(lost)
            case Fault.LATE_EFFECT:
                platform.delay_write(call)
                return Failure(lost)
        return call()

    def _begin_read(self, step: str) -> StoreFailure | None:
        planned = self._platform.next_fault(self._name, step)
        failure = self._start_call(step, planned)
        if failure is None and planned is not None and planned.fault != Fault.DELAY:
            return Unavailable(step, PEER, f"injected {planned.fault.value}")
        return failure

    def _start_call(
        self, step: str, planned: PlannedFault | None
    ) -> StoreFailure | None:
        """Counts a call and applies its planned delay or error; returns the failure."""
        platform = self._platform
        platform.calls[step] = platform.calls.get(step, 0) + 1
        if platform.is_down or self._name in platform.disconnected_clients:
            return Unavailable(step, PEER, "no connection")
        if planned is None:
            return None
        if planned.fault == Fault.DELAY:
            platform.sleep(planned.delay_ms)
        if planned.fault == Fault.ERROR:
            return Unavailable(step, PEER, "injected error")
        return None


def _is_empty(batch: Result[WatchBatch, StoreFailure]) -> bool:
    received = batch.value_or(None)
    return received is not None and not received.events
