"""Reservations of hosts for large tasks and gangs that wait for room.

The load that this addresses: each gap that an ended task leaves is taken by a small
task at once, so that no host ever has room for a large one. A reservation keeps what
becomes free on some hosts until the large task starts there. Smaller work may use it
meanwhile where it ends in time or leaves enough.

A host has at most one reservation, so that a reservation waits for runs only, never for
another reservation. It ends after a time that is set when it is made, and its step then
gets none for as long as it lived. It is not stored: a new conductor plans anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..ids import HostId
from ..jobs.model import Resources, StepKey

if TYPE_CHECKING:
    from collections.abc import Iterable

HORIZON_MS = 5_000
"""Longest expected wait for which a host is reserved; later ends are hardly known."""

GANG_HORIZON_MS = 30_000
"""The same for a gang, which without a reservation never finds all its room at once."""

SLIP_FACTOR = 3
"""A reservation lives for this multiple of its expected wait, as estimates are often
too short by a factor of three."""

MAX_SLIP_MS = 5_000
"""Longest time for which it holds room after its first expected start."""

SLIP_MS = 500
"""Added to its time, as orders and reports take time."""

FIRST_MS = HORIZON_MS + MAX_SLIP_MS + SLIP_MS
"""Time for which others get no reservation while a step waits for many hosts; those
that hold hosts have ended by then, except for other gangs."""

HOSTS_PER_RESERVED = 4
"""Hosts of a pool for each that may be reserved, so that small tasks keep theirs."""

MAX_RESERVED = 16
"""Most hosts that are reserved except for one gang; each costs time in every plan."""

RankClass: TypeAlias = "tuple[int, bool, int]"
"""Priority of a job's queue, whether the job goes last, and its timeliness."""


class Reserved(NamedTuple):
    """Reports that hosts were reserved for tasks of a step.

    Attributes:
        step: The step.
        hosts: The hosts.
        start_ms: Steady-clock time at which the tasks can start there, as expected.
        in_ms: Time until then.
        reason: Why: ``waits`` or ``moved``.
    """

    step: StepKey
    hosts: tuple[HostId, ...]
    start_ms: int
    in_ms: int
    reason: str


class ReservationDropped(NamedTuple):
    """Reports that a reservation ended.

    Attributes:
        step: The step.
        hosts: The hosts.
        held_ms: Time for which they were reserved.
        waited_ms: Time for which tasks of the step have waited for room.
        reason: ``started`` where the tasks were placed, ``elsewhere`` where they were
            placed on other hosts, ``gone`` where they wait no longer or may not start,
            ``slipped``, ``host-lost``, ``outranked`` or ``moved``.
    """

    step: StepKey
    hosts: tuple[HostId, ...]
    held_ms: int
    waited_ms: int
    reason: str


ReservationReport: TypeAlias = Reserved | ReservationDropped


@dataclass(slots=True)
class Reservation:
    """Hosts reserved for tasks of a step.

    Attributes:
        key: The step.
        rank_class: Class of its job's rank when the reservation was made or kept last.
        hosts: Resources that are reserved on each host.
        start_ms: Steady-clock time at which the tasks can start, as expected now.
        made_ms: Steady-clock time at which it was made.
        until_ms: Steady-clock time at which it ends in any case.
        is_wide: Whether it takes a larger part of the pool than others may together.
    """

    key: StepKey
    rank_class: RankClass
    hosts: dict[HostId, Resources]
    start_ms: float
    made_ms: int
    until_ms: float
    is_wide: bool = False


@dataclass(slots=True)
class Reservations:
    """The reservations of a pool.

    Attributes:
        by_host: Reservations by host.
        reports: Reports to return with the next plan.
        searched_ms: Steady-clock time of the last search for other hosts.
        next_wide_ms: Steady-clock time before which no wide reservation is made, so
            that other tasks get the whole pool at least half of the time.
        first: Step that gets the next reservation, as it needs many hosts; None if
            there is none.
        steps: Steps that have a reservation.
        waits_since_ms: Steady-clock time since which large steps wait for room.
    """

    by_host: dict[HostId, Reservation] = field(default_factory=dict)
    reports: list[ReservationReport] = field(default_factory=list)
    searched_ms: int = 0
    next_wide_ms: int = 0
    first: StepKey | None = None
    steps: set[StepKey] = field(default_factory=set)
    waits_since_ms: dict[StepKey, int] = field(default_factory=dict)
    _paused_until_ms: dict[StepKey, int] = field(default_factory=dict)
    _first_until_ms: int = 0

    def all(self) -> list[Reservation]:
        """Returns the reservations."""
        return list({id(each): each for each in self.by_host.values()}.values())

    def of_step(self, key: StepKey) -> list[Reservation]:
        """Returns the reservations of a step."""
        return [each for each in self.all() if each.key == key]

    def add(self, reservation: Reservation, now_ms: int, reason: str) -> None:
        """Adds a reservation; its hosts must have no other."""
        for host in reservation.hosts:
            self.by_host[host] = reservation
        self.steps.add(reservation.key)
        start_ms = round(reservation.start_ms)
        hosts = tuple(reservation.hosts)
        self.reports.append(
            Reserved(reservation.key, hosts, start_ms, start_ms - now_ms, reason)
        )

    def drop(self, reservation: Reservation, now_ms: int, reason: str) -> None:
        """Ends a reservation; one that slipped pauses its step as long as it lived."""
        for host in reservation.hosts:
            self.by_host.pop(host, None)
        self.steps = {each.key for each in self.by_host.values()}
        held_ms = now_ms - reservation.made_ms
        if reservation.is_wide:
            self.next_wide_ms = now_ms + held_ms
        if reason == "slipped":
            self._paused_until_ms[reservation.key] = now_ms + held_ms
        hosts = tuple(reservation.hosts)
        waited_ms = now_ms - self.waits_since_ms.get(reservation.key, now_ms)
        self.reports.append(
            ReservationDropped(reservation.key, hosts, held_ms, waited_ms, reason)
        )

    def pause(self, key: StepKey, until_ms: int) -> None:
        """Gives a step no reservation before a time."""
        if self.first == key:
            self.first = None
        self._paused_until_ms[key] = until_ms

    def may_reserve(self, key: StepKey, now_ms: int) -> bool:
        """Returns whether a step may get a reservation now."""
        return self._paused_until_ms.get(key, 0) <= now_ms

    def has_place(
        self, key: StepKey, count: int, limit: int, is_wide: bool, now_ms: int
    ) -> bool:
        """Returns whether a step may reserve hosts now.

        A step that needs more hosts than are left goes first; the others end soon.

        Args:
            key: The step.
            count: Number of hosts.
            limit: Number of hosts that may be reserved, except for one step.
            is_wide: Whether it takes a larger part of the pool than others may.
            now_ms: Steady-clock time.
        """
        if is_wide and now_ms < self.next_wide_ms:
            return False
        if self.by_host and len(self.by_host) + count > limit:
            if self.first is None:
                self.first, self._first_until_ms = key, now_ms + FIRST_MS
            return False
        if self.first not in (None, key) and now_ms < self._first_until_ms:
            return False
        self.first = None
        return True

    def retain(self, keys: set[StepKey], now_ms: int) -> None:
        """Drops the reservations of all steps except ``keys``, which still wait."""
        for reservation in self.all():
            if reservation.key not in keys:
                self.drop(reservation, now_ms, "gone")
        if self.first not in keys:
            self.first = None
        for key in [key for key in self._paused_until_ms if key not in keys]:
            del self._paused_until_ms[key]
        for key in [key for key in self.waits_since_ms if key not in keys]:
            del self.waits_since_ms[key]

    def take_reports(self) -> list[ReservationReport]:
        """Returns the reports since the last call."""
        reports, self.reports = self.reports, []
        return reports


def most_reserved(hosts: Iterable[object]) -> int:
    """Returns how many hosts of a pool may be reserved, except for one gang."""
    count = sum(1 for _ in hosts)
    return max(1, min(MAX_RESERVED, count // HOSTS_PER_RESERVED))


def until_ms(now_ms: int, start_ms: float) -> float:
    """Returns when a reservation that is made now ends in any case."""
    wait_ms = start_ms - now_ms
    return start_ms + min((SLIP_FACTOR - 1) * wait_ms, MAX_SLIP_MS) + SLIP_MS
