"""Ways in which entries that do not talk share the same hosts."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol
from zlib import crc32

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from ..inventory import Host
    from .worker import Worker

SAMPLES = 2
"""Workers that are compared for each choice."""


class HostChoice(Protocol):
    """Decides which slots an entry may use and which worker gets a task."""

    @property
    def stripe(self) -> Stripe:
        """This entry's place among the entries that share the hosts."""

    def with_stripe(self, stripe: Stripe) -> HostChoice:
        """Returns the same way for another place."""

    def slots(self, host: Host) -> int:
        """Returns how many slots of a host this entry may use."""

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
class PowerOfTwo:
    """Any slot may be used; the less loaded of two random workers gets the task.

    Attributes:
        seen_ms: Time for which reported free slots are believed.
        stripe: Place among the entries that share the connections of a host.
    """

    seen_ms: int = 250
    stripe: Stripe = ALONE

    def with_stripe(self, stripe: Stripe) -> PowerOfTwo:
        """Returns the same way for another place."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns all slots, within this entry's part of the connections."""
        return min(host.slots, max(1, host.connections // self.stripe.count))

    def pick(
        self,
        workers: Sequence[Worker],
        suits: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns the less loaded of two, judged by local knowledge."""
        first = _sample(workers, suits, rng)
        if first is None:
            return None
        second = workers[int(rng.random() * len(workers))]
        if second is first or not suits(second):
            return first
        if self._load(second, now_ms) < self._load(first, now_ms):
            return second
        return first

    def _load(self, worker: Worker, now_ms: int) -> float:
        others = worker.others if worker.seen_ms + self.seen_ms > now_ms else 0
        return (worker.taken + others) / worker.host.slots


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
        shift = crc32(host.host_id.encode())
        index, count = self.stripe.index, self.stripe.count
        return sum((shift + slot) % count == index for slot in range(host.slots))

    def pick(
        self,
        workers: Sequence[Worker],
        suits: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns any suitable worker, since each has a slot of this entry free."""
        return _sample(workers, suits, rng)


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
