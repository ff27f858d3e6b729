"""What the tasks of an entry need from the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..domain.ids import HostId
from ..domain.scheduling.messages import EndReport, RunReport

if TYPE_CHECKING:
    from ..domain.ids import PoolName, Term
    from ..domain.jobs.catalog import Catalog
    from ..domain.jobs.model import TaskName
    from ..domain.scheduling.advice import RequestAdvice
    from ..domain.scheduling.messages import HostInfo, StartOutcome, StartRun
    from ..domain.upkeep.model import Machine, MachineOrder, OrderOutcome, WaveRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class HostStatus:
    """A host's lists.

    Attributes:
        clock_ms: The host's steady clock when it answered.
        born: Wall time at which this run of it began.
        running: What runs there.
        ends: Ends that were not acknowledged.
    """

    clock_ms: int
    born: int
    running: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


@dataclass(frozen=True, slots=True)
class OrderFenced:
    """The host obeys a higher term."""


@dataclass(frozen=True, slots=True)
class AddressReused:
    """The address belongs to another host now."""


@dataclass(frozen=True, slots=True)
class NoUsableReply:
    """No usable answer came."""

    detail: str


class HostApi(Protocol):
    """Orders to one host; each call may block up to its timeout."""

    @property
    def fencing_token(self) -> int:
        """Returns the fencing token of the next order."""

    def increment_fencing_token(self) -> None:
        """Fences off all orders that were given so far."""

    def start(self, order: StartRun, until_ms: int) -> StartOutcome | AddressReused:
        """Orders a start; ``until_ms`` is the lease's end on the host's clock."""

    def stop(self, name: TaskName, number: int) -> bool:
        """Orders a stop; returns whether the host took it."""

    def pace(self, name: TaskName, number: int, percent: int) -> bool:
        """Orders a run to work at a share of its speed."""

    def poll(
        self, until_ms: int | None, acknowledged: int, wait_ms: int
    ) -> HostStatus | OrderFenced | AddressReused | NoUsableReply:
        """Extends the lease, lets ends be forgotten and reads the lists."""

    def close(self) -> None:
        """Closes idle connections."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Hosts that a policy allows, with their tickets.

    Attributes:
        tickets: Ticket by host.
        valid_ms: How long the tickets are valid.
    """

    tickets: dict[HostId, str]
    valid_ms: int


class Adviser(Protocol):
    """The service that knows which hosts a policy allows."""

    def request(self, request: RequestAdvice) -> Advice | None:
        """Returns the allowed hosts, or none without an answer."""


class MachineService(Protocol):
    """The service that moves and maintains machines."""

    def machines(self) -> list[Machine] | None:
        """Returns all machines, or none if the list can't be read now."""

    def order(self, order: MachineOrder) -> OrderOutcome:
        """Gives one order."""

    def close(self) -> None:
        """Closes idle connections."""


class Platform(Protocol):
    """Translates what the platform keeps in the store."""

    configuration_key: str
    hosts_prefix: str
    waves_prefix: str

    def decode_configuration(self, data: bytes, store_version: int) -> Catalog:
        """Returns a stored configuration.

        Raises:
            msgspec.MsgspecError: ``data`` is not one.
        """

    def decode_host(self, key: str, data: bytes) -> tuple[PoolName, HostInfo] | None:
        """Returns a host and its pool, or none for what names no host."""

    def decode_wave(self, data: bytes) -> WaveRequest:
        """Returns a wave as the operator wrote it.

        Raises:
            msgspec.MsgspecError: ``data`` is not one.
        """

    def encode_wave_status(self, number: int, *, is_over: bool) -> tuple[str, bytes]:
        """Returns key and value that tell the operator how far a wave is."""

    def machine_service(self, term: Term) -> MachineService | None:
        """Returns a client of the service for machines, if there is one."""

    def adviser(self) -> Adviser | None:
        """Returns a client of the adviser, if there is one."""

    def host_api(self, info: HostInfo, term: Term) -> HostApi:
        """Returns a client of a host."""
