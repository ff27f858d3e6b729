"""Messages that a pool's scheduler handles, and effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeAlias

from ..ids import HostId, RackId, ZoneId
from ..jobs.catalog import Catalog
from ..jobs.model import NO_RACK, NO_RESOURCES, JobId, JobSpec, Resources, TaskName
from ..jobs.task import RunOutcome
from ..upkeep.moves import PoolLoad
from .absence import LastingRunReport, StopUnconfirmed
from .advice import AdviceFailed, AdviceReceived, RequestAdvice
from .caps import ClaimFailed, ClaimPortion, PortionsRead
from .evacuation import (
    EvacuationHosts,
    EvacuationProgress,
    RunsMoved,
    StartWithheld,
    ZonesEvacuated,
)
from .forecast import Forecast
from .gang_hosts import HostsKept, HostsReleased
from .losses import Loss, LossCause
from .orders import HostOrder
from .rack_waits import RackStarts, RackWait
from .reservations import ReservationDropped, Reserved
from .run_time_events import RunTimeReport, RunTimesRead
from .share_portions import ClaimShare, SharePortionChanged, ShareRowsRead
from .start_check import StartHindrance
from .team_service import WorstTeams


@dataclass(frozen=True, slots=True, kw_only=True)
class HostInfo:
    """A host as the platform lists it.

    Attributes:
        id: Host id; a restarted host may keep it.
        address: Address that accepts orders.
        zone: Availability zone.
        rack: Rack; empty if it is unknown.
        labels: Labels that a step can require.
        capacity: Resources of the whole host.
        is_draining: Whether the host is about to leave the pool.
        remaining_ms: Minimum time until a draining host leaves.
        machine: Machine that the host is an incarnation of; empty if it is unknown.
        born: Wall-clock time at which the incarnation that the entry describes
            started; 0 if the entry doesn't say it.
    """

    id: HostId
    address: str
    zone: ZoneId
    rack: RackId = NO_RACK
    labels: frozenset[str] = frozenset()
    capacity: Resources = NO_RESOURCES
    is_draining: bool = False
    remaining_ms: int = 0
    machine: str = ""
    born: int = 0


@dataclass(frozen=True, slots=True)
class JobFound:
    """A job was read from the store; ``record`` is its progress, if there is one."""

    spec: JobSpec
    record: bytes | None = None
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller has cancelled a job.

    Attributes:
        job: The job.
        early_ms: Wall-clock time of a cancellation before its job; None for others.
    """

    job: JobId
    early_ms: int | None = None


@dataclass(frozen=True, slots=True)
class VacateRequested:
    """The complete set of the pool's hosts to empty and to keep empty.

    Attributes:
        hosts: The hosts.
        number: Number of the request.
    """

    hosts: frozenset[HostId]
    number: int = 0


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The complete list of the pool's hosts."""

    hosts: tuple[HostInfo, ...]


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a host reports as running.

    Attributes:
        name: Task of the run.
        number: Run number.
        checkpoint: Newest checkpoint of the run; empty if there is none.
        percent: Completed part of its work; 100 for a lasting task that is working.
        load: Tail latency in ms of a serving task, else CPU in use.
    """

    name: TaskName
    number: int
    checkpoint: str
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class EndReport:
    """A run that a host reports as ended; ``sequence`` numbers the host's ends."""

    sequence: int
    name: TaskName
    number: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HostReport:
    """The runs of a host, read at some time between ``sent_ms`` and ``received_ms``.

    Attributes:
        host: The reporting host.
        born: Wall-clock time at which the host's incarnation started.
        sent_ms: Steady-clock time of the request.
        received_ms: Steady-clock time of the response.
        running: Runs that are running on the host.
        ends: Ended runs that have not been acknowledged.
        has_all_ends: Whether ``ends`` has all of them. If not, a run that is neither
            running nor in ``ends`` may have ended.
    """

    host: HostId
    born: int
    sent_ms: int
    received_ms: int
    running: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]
    has_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class HostSilent:
    """A call to a host got no response."""

    host: HostId


@dataclass(frozen=True, slots=True)
class HostRunsEnded:
    """All runs on a host have certainly ended, but for starts that come late.

    Attributes:
        host: The host.
        cause: How it was learned.
        born: Incarnation whose runs have ended; None if no later one is known.
        max_lease_ms: Longest lease that the host grants, whatever an order asks for.
    """

    host: HostId
    cause: LossCause = LossCause.LEASE_EXPIRED
    born: int | None = None
    max_lease_ms: int = 10_000


class StartOutcome(StrEnum):
    """Reply to an order to start a run.

    Attributes:
        STARTED: The run is running, or has run.
        NO_ROOM: Refused because the host lacks free resources.
        REFUSED: Refused for another reason; the run does not execute.
        NO_TICKET: Refused because the ticket is invalid.
        UNHEALTHY: The host is unhealthy; the run does not execute.
        FENCED: The host has received an order of a higher term.
        NO_REPLY: None of several attempts got a response.
        WITHHELD: The order was not sent, as the host may no longer get starts.
    """

    STARTED = "started"
    NO_ROOM = "no_room"
    REFUSED = "refused"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    FENCED = "fenced"
    NO_REPLY = "no_reply"
    WITHHELD = "withheld"


@dataclass(frozen=True, slots=True)
class StartReplied:
    """The reply to an order to start a run.

    Attributes:
        host: Host that received the order.
        name: Task of the run.
        number: Run number.
        outcome: Result of the order.
        replied_ms: Steady-clock time of the reply.
        was_repeated: Whether an earlier attempt got no response; the host may have
            started the run, or may start it later.
        hindrance: What kept the order, or its next try, from being sent.
    """

    host: HostId
    name: TaskName
    number: int
    outcome: StartOutcome
    replied_ms: int
    was_repeated: bool = False
    hindrance: StartHindrance | None = None


@dataclass(frozen=True, slots=True)
class StopReplied:
    """A host has accepted an order to stop a run."""

    host: HostId
    name: TaskName
    number: int
    replied_ms: int


@dataclass(frozen=True, slots=True)
class CatalogChanged:
    """A new version of the configuration is in force."""

    catalog: Catalog


@dataclass(frozen=True, slots=True)
class BatchStored:
    """A batch of records was written.

    Attributes:
        batch: The batch.
        set_apart: Jobs whose record the store has rejected.
    """

    batch: int
    set_apart: tuple[JobId, ...] = ()


@dataclass(frozen=True, slots=True)
class BatchNotStored:
    """A batch of records may not have been written."""

    batch: int


Message: TypeAlias = (
    JobFound
    | JobCancelled
    | VacateRequested
    | ZonesEvacuated
    | PortionsRead
    | ClaimFailed
    | AdviceReceived
    | AdviceFailed
    | HostsListed
    | HostReport
    | HostSilent
    | HostRunsEnded
    | StartReplied
    | StopReplied
    | StopUnconfirmed
    | CatalogChanged
    | BatchStored
    | BatchNotStored
    | RunTimesRead
    | ShareRowsRead
)


@dataclass(frozen=True, slots=True)
class StoreJobs:
    """Writes job records and the pool's report to the store.

    Attributes:
        batch: Sequence number of the batch within the conductor's term.
        records: Progress records of changed jobs.
        pending: Number of jobs that have not started, by queue.
        vacant: Hosts that have been emptied on request.
        load: Resources and hosts that the pool needs.
        removed: Ended jobs that are not kept any longer; callers can't query them.
        run_times: Learned run times in their stored form; empty to leave them.
        forecast: Forecast for the entries that accept jobs, if there is one.
        vacate_number: Number of the request that ``vacant`` follows from.
        oversized: Jobs whose record is too large to be stored, with its size in bytes;
            they have failed.
        displaced: Number of jobs of former queues that have not started, by address.
    """

    batch: int
    records: tuple[tuple[JobId, bytes], ...]
    pending: dict[str, int]
    vacant: frozenset[str]
    load: PoolLoad
    removed: tuple[JobId, ...] = ()
    run_times: bytes = b""
    forecast: Forecast | None = None
    vacate_number: int = 0
    oversized: tuple[tuple[JobId, int], ...] = ()
    displaced: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AcknowledgeEnds:
    """Lets a host drop ended runs up to ``sequence``, as their results are stored."""

    host: HostId
    born: int
    sequence: int


@dataclass(frozen=True, slots=True)
class WatchHost:
    """Starts renewing a host's lease and reading its reports.

    It is returned again when the host's address changes.
    """

    info: HostInfo


@dataclass(frozen=True, slots=True)
class UnwatchHost:
    """Stops calls to a host that is gone and has no unresolved runs."""

    host: HostId


@dataclass(frozen=True, slots=True)
class Superseded:
    """Reports that a higher term is in force, so this conductor must stop."""

    host: HostId


@dataclass(frozen=True, slots=True)
class RecordUnreadable:
    """Reports a job that can't be scheduled, as its progress record is unreadable."""

    job: JobId
    why: str


Effect: TypeAlias = (
    StoreJobs
    | ClaimPortion
    | RequestAdvice
    | HostOrder
    | AcknowledgeEnds
    | WatchHost
    | UnwatchHost
    | Superseded
    | Loss
    | LastingRunReport
    | RecordUnreadable
    | StartWithheld
    | RunsMoved
    | EvacuationProgress
    | EvacuationHosts
    | RunTimeReport
    | Reserved
    | ReservationDropped
    | HostsKept
    | HostsReleased
    | ClaimShare
    | SharePortionChanged
    | WorstTeams
    | RackWait
    | RackStarts
)
