"""Policies by which entries share hosts without coordinating each request."""

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
"""Workers that power of two choices compares for each task."""


class HostSelectionPolicy(Protocol):
    """Decides which slots an entry may use and which worker gets a task."""

    @property
    def stripe(self) -> Stripe:
        """Returns this entry's position among the entries that share the hosts."""

    def with_stripe(self, stripe: Stripe) -> HostSelectionPolicy:
        """Returns the same policy for another position."""

    def slots(self, host: Host) -> int:
        """Returns how many slots of a host this entry may use."""

    def home_slots(self, host: Host) -> float:
        """Returns how many of these slots it uses before the rest."""

    def pick(
        self,
        workers: Sequence[Worker],
        is_eligible: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns an eligible worker of ``workers``, which are all available."""


@dataclass(frozen=True, slots=True)
class Stripe:
    """Position of an entry among the ``count`` entries that share the hosts.

    The slots of a host are striped over these entries: each belongs to the stripe of
    one entry.
    """

    index: int = 0
    count: int = 1


SINGLE_ENTRY = Stripe()


@dataclass(frozen=True, slots=True)
class PowerOfTwoChoices:
    """Uses any slot; the less loaded of two random workers gets the task.

    Attributes:
        stripe: Position among the entries that share a host's connections.
    """

    stripe: Stripe = SINGLE_ENTRY

    def with_stripe(self, stripe: Stripe) -> PowerOfTwoChoices:
        """Returns the same policy for another position."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns all slots, limited by this entry's share of the connections."""
        return _slots_within_connections(host, self.stripe)

    def home_slots(self, host: Host) -> float:
        """Returns an equal share; no slot is preferred over another."""
        return host.slots / self.stripe.count

    def pick(
        self,
        workers: Sequence[Worker],
        is_eligible: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns the less loaded of two workers, as far as this entry knows."""
        return _pick_less_loaded(workers, is_eligible, now_ms, rng)


@dataclass(frozen=True, slots=True)
class StripedSlots:
    """Uses only the slots of the own stripe, so that entries never collide.

    Attributes:
        stripe: This entry's position among the entries.
    """

    stripe: Stripe = SINGLE_ENTRY

    def with_stripe(self, stripe: Stripe) -> StripedSlots:
        """Returns the same policy for another position."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns the number of slots in this entry's stripe."""
        return _stripe_slots(host, self.stripe)

    def home_slots(self, host: Host) -> float:
        """Returns the same number, as an entry uses no other slots."""
        return _stripe_slots(host, self.stripe)

    def pick(
        self,
        workers: Sequence[Worker],
        is_eligible: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns any eligible worker, since each has a slot of the stripe free."""
        return _pick_from_random_start(workers, is_eligible, rng)


@dataclass(frozen=True, slots=True)
class HomeThenShared:
    """Uses the slots of the own stripe first, then any that seem unused by others.

    The slots of a host are striped over the entries of its own availability zone, so
    that a partitioned zone has all its slots, and slots of idle entries can be used by
    others.

    Attributes:
        zone: This entry's availability zone.
        stripe: This entry's position among the entries of the zone.
    """

    zone: ZoneId
    stripe: Stripe = SINGLE_ENTRY

    def with_stripe(self, stripe: Stripe) -> HomeThenShared:
        """Returns the same policy for another position."""
        return replace(self, stripe=stripe)

    def slots(self, host: Host) -> int:
        """Returns all slots, limited by this entry's share of the connections."""
        return _slots_within_connections(host, self.stripe)

    def home_slots(self, host: Host) -> float:
        """Returns the number of slots in this entry's stripe; 0 in other zones."""
        return _stripe_slots(host, self.stripe) if host.zone == self.zone else 0

    def pick(
        self,
        workers: Sequence[Worker],
        is_eligible: Callable[[Worker], bool],
        now_ms: int,
        rng: random.Random,
    ) -> Worker | None:
        """Returns the less loaded of two workers, as far as this entry knows."""
        return _pick_less_loaded(workers, is_eligible, now_ms, rng)


def _slots_within_connections(host: Host, stripe: Stripe) -> int:
    return min(host.slots, max(1, host.connections // stripe.count))


def _stripe_slots(host: Host, stripe: Stripe) -> int:
    shift = crc32(host.host_id.encode())
    slots = range(shift, shift + host.slots)
    return sum(slot % stripe.count == stripe.index for slot in slots)


def _pick_less_loaded(
    workers: Sequence[Worker],
    is_eligible: Callable[[Worker], bool],
    now_ms: int,
    rng: random.Random,
) -> Worker | None:
    first = _pick_from_random_start(workers, is_eligible, rng)
    if first is None:
        return None
    second = workers[int(rng.random() * len(workers))]
    if second is first or not is_eligible(second):
        return first
    return second if second.load(now_ms) < first.load(now_ms) else first


def _pick_from_random_start(
    workers: Sequence[Worker],
    is_eligible: Callable[[Worker], bool],
    rng: random.Random,
) -> Worker | None:
    """Returns the first eligible worker from a random position on, wrapping around."""
    count = len(workers)
    if not count:
        return None
    start = int(rng.random() * count)
    for step in range(count):
        worker = workers[(start + step) % count]
        if is_eligible(worker):
            return worker
    return None
