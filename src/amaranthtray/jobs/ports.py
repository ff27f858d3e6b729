"""Interfaces to the platform that the tasks of an entry use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..domain.ids import HostId
from ..domain.scheduling.messages import EndReport, RunReport

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term, ZoneId
    from ..domain.jobs.catalog import Catalog
    from ..domain.jobs.model import TaskName
    from ..domain.scheduling.advice import RequestAdvice
    from ..domain.scheduling.messages import HostInfo, StartOutcome
    from ..domain.scheduling.orders import StartRun
    from ..domain.upkeep.model import Machine, MachineOrder, OrderOutcome, WaveRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class HostStatus:
    """Runs of a host and its clock, as it reported them.

    Attributes:
        clock_ms: The host's steady clock when it answered.
        born: Wall time at which the host's present incarnation started.
        running: Runs that are in progress.
        ends: Ends of runs that were not acknowledged yet, the earliest first.
        has_all_ends: Whether ``ends`` has all of them.
    """

    clock_ms: int
    born: int
    running: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]
    has_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class OrderFenced:
    """The host has seen the fencing token of a higher term."""


@dataclass(frozen=True, slots=True)
class AddressReused:
    """The address belongs to another host now."""


@dataclass(frozen=True, slots=True)
class NoUsableReply:
    """The host sent no reply, an unreadable one or an unexpected status."""

    detail: str


class HostApi(Protocol):
    """Calls to one host; each may block up to its timeout."""

    @property
    def fencing_token(self) -> int:
        """Returns the fencing token of the next order."""

    def increment_fencing_token(self) -> None:
        """Fences off all orders that were sent so far."""

    def continue_fencing_tokens(self, token: int) -> None:
        """Goes on from the token of an earlier client of the host in the same term."""

    def prepare_start(self, born: int) -> StartOutcome | AddressReused | None:
        """Opens a connection to an incarnation; returns why a start can't be sent."""

    def start(self, order: StartRun, until_ms: int) -> StartOutcome | AddressReused:
        """Orders a start; the lease expires at ``until_ms`` on the host's clock."""

    def stop(self, name: TaskName, number: int) -> bool:
        """Orders a stop; returns whether it need not be repeated."""

    def pace(self, name: TaskName, number: int, percent: int) -> bool:
        """Sets the speed of a run; returns whether the order need not be repeated."""

    def poll(
        self, until_ms: int | None, acknowledged: int, wait_ms: int
    ) -> HostStatus | OrderFenced | AddressReused | NoUsableReply:
        """Extends the lease, acknowledges ends and returns the host's runs.

        Waits up to ``wait_ms`` for another run to end. With ``until_ms`` None the
        lease stays as it is.
        """

    def close(self) -> None:
        """Closes idle connections."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Hosts that the placement policy allows, with their tickets.

    Attributes:
        tickets: Ticket of each allowed host.
        valid_ms: How long the tickets are valid.
    """

    tickets: dict[HostId, str]
    valid_ms: int


@dataclass(frozen=True, slots=True)
class NoAdvice:
    """A call for advice was refused, or had no usable answer in time."""

    why: str


class Adviser(Protocol):
    """Client of the service that knows which hosts the placement policy allows."""

    def request(self, request: RequestAdvice) -> Advice | NoAdvice:
        """Returns the allowed hosts; after a call without them none will follow."""


class MachineService(Protocol):
    """Client of the service that moves and maintains machines."""

    def machines(self) -> list[Machine] | None:
        """Returns all machines; None if the list can't be read now."""

    def order(self, order: MachineOrder) -> OrderOutcome:
        """Orders a move or the maintenance of a machine."""

    def close(self) -> None:
        """Closes idle connections."""


class Platform(Protocol):
    """Translates the platform's documents and creates clients of its services."""

    configuration_key: str
    hosts_prefix: str
    waves_prefix: str
    evacuations_prefix: str

    def decode_configuration(self, data: bytes, store_version: int) -> Catalog:
        """Returns a stored configuration.

        Raises:
            msgspec.MsgspecError: ``data`` is not a configuration.
        """

    def decode_host(self, key: str, data: bytes) -> tuple[PoolName, HostInfo] | None:
        """Returns a host and its pool; None if the entry names no usable host."""

    def decode_wave(self, data: bytes) -> WaveRequest:
        """Returns the wave that the operator requested.

        Raises:
            msgspec.MsgspecError: ``data`` is not a wave.
        """

    def decode_evacuation(self, key: str, data: bytes) -> ZoneId:
        """Returns the zone that the operator requested to evacuate.

        Raises:
            ValueError: The key or ``data`` is not a request; the text says why.
        """

    def encode_wave_status(self, number: int, *, is_over: bool) -> tuple[str, bytes]:
        """Returns the key and value that show a wave's state to the operator."""

    def machine_service(self, term: Term) -> MachineService | None:
        """Returns a client of the machine service; None if none is configured."""

    def adviser(self) -> Adviser | None:
        """Returns a client of the adviser; None if none is configured."""

    def host_api(self, info: HostInfo, term: Term) -> HostApi:
        """Returns a client of a host whose orders carry the term's fencing token."""
