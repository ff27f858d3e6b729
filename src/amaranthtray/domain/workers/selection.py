"""Ways in which entries that do not talk share the same hosts."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol
from zlib import crc32

from ..ids import ZoneId

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from ..inventory import Host
    from .worker import Worker

SAMPLES = 2
"""Workers that are compared for each choice."""


class HostSelectionPolicy(Protocol):
    """Decides which slots an entry may use and which worker gets a task."""

    @property
    def stripe(self) -> Stripe:
        """This entry's place among the entries that share the hosts."""

    def with_stripe(self, stripe: Stripe) -> HostSelectionPolicy:
        """Returns the same way for another place."""

    def slots(self, host: Host) -> int:
        """Returns how many slots of a host this entry may use."""

    def home_slots(self, host: Host) -> float:
        """Returns how many of them it uses before any others."""

    def pick(
        self,
        workers: Sequence[Worker],
        suits: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns a suitable one of ``workers``, all of which have an open slot."""


@dataclass(frozen=True, slots=True)
class Stripe:
    """Place of one entry among ``count`` entries that share the hosts."""

    index: int = 0
    count: int = 1


ALONE = Stripe()


@dataclass(frozen=True, slots=True)
class PowerOfTwoChoices:
    """Any slot may be used; the less loaded of two random workers gets the task.

    Attributes:
        stripe: Place among the entries that share the connections of a host.
    """

    stripe: Stripe = ALONE

    def with_stripe(self, stripe: Stripe) -> PowerOfTwoChoices:
        """Returns the same way for another place."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns all slots, within this entry's part of the connections."""
        return _within_connections(host, self.stripe)

    def home_slots(self, host: Host) -> float:
        """Returns an equal part; no slot is used before another."""
        return host.slots / self.stripe.count

    def pick(
        self,
        workers: Sequence[Worker],
        suits: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns the less loaded of two, judged by local knowledge."""
        return _less_loaded(workers, suits, now_ms, rng)


@dataclass(frozen=True, slots=True)
class StripedSlots:
    """Each slot of each host belongs to one entry, so that entries never collide.

    Attributes:
        stripe: This entry's place among the entries.
    """

    stripe: Stripe = ALONE

    def with_stripe(self, stripe: Stripe) -> StripedSlots:
        """Returns the same way for another place."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns the slots of this entry's stripe."""
        return _striped(host, self.stripe)

    def home_slots(self, host: Host) -> float:
        """Returns the same; an entry uses no other slots."""
        return _striped(host, self.stripe)

    def pick(
        self,
        workers: Sequence[Worker],
        suits: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns any suitable worker, since each has a slot of this entry free."""
        return _sample(workers, suits, rng)


@dataclass(frozen=True, slots=True)
class HomeThenShared:
    """Slots of the own stripe first, then any slot that others seem to leave.

    The entries of an availability zone divide the slots of its hosts, so that a
    zone that is cut off has all its slots and idle entries' slots are lent.

    Attributes:
        zone: This entry's availability zone.
        stripe: This entry's place among the entries of the zone.
    """

    zone: ZoneId
    stripe: Stripe = ALONE

    def with_stripe(self, stripe: Stripe) -> HomeThenShared:
        """Returns the same way for another place."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns all slots, within this entry's part of the connections."""
        return _within_connections(host, self.stripe)

    def home_slots(self, host: Host) -> float:
        """Returns the slots of this entry's stripe, none in other zones."""
        return _striped(host, self.stripe) if host.zone == self.zone else 0

    def pick(
        self,
        workers: Sequence[Worker],
        suits: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns the less loaded of two, judged by local knowledge."""
        return _less_loaded(workers, suits, now_ms, rng)


def _within_connections(host: Host, stripe: Stripe) -> int:
    return min(host.slots, max(1, host.connections // stripe.count))


def _striped(host: Host, stripe: Stripe) -> int:
    shift = crc32(host.host_id.encode())
    slots = range(shift, shift + host.slots)
    return sum(slot % stripe.count == stripe.index for slot in slots)


def _less_loaded(
    workers: Sequence[Worker],
    suits: Callable[[Worker], bool],
    now_ms: int,
    rng: random.Random,
) -> Worker | None:
    first = _sample(workers, suits, rng)
    if first is None:
        return None
    second = workers[int(rng.random() * len(workers))]
    if second is first or not suits(second):
        return first
    return second if second.load(now_ms) < first.load(now_ms) else first


def _sample(
    workers: Sequence[Worker],
    suits: Callable[[Worker], bool],
    rng: random.Random,
) -> Worker | None:
    """Returns a suitable worker, searching from a random place."""
    count = len(workers)
    if not count:
        return None
    start = int(rng.random() * count)
    for step in range(count):
        worker = workers[(start + step) % count]
        if suits(worker):
            return worker
    return None
