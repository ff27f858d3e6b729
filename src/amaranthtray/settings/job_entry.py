"""Validated models of the settings of a job entry; one class for each section."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct

from ..domain.duties.placement import FULL_CORES, FULL_LINK_MBPS, MachineSize
from ..domain.jobs.record_limits import DEFAULT_VALUE_BYTES, MIN_VALUE_BYTES
from .toml_document import TomlDocument

if TYPE_CHECKING:
    from returns.result import Result

    from ..domain.errors import Problem

STEP = "load-settings"

Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
PositiveNumber = Annotated[float, Meta(gt=0)]
Millis = Annotated[int, Meta(ge=1)]
Count = Annotated[int, Meta(ge=1)]
ValueBytes = Annotated[int, Meta(ge=MIN_VALUE_BYTES)]
RemoteFactor = Annotated[float, Meta(ge=1, le=1_000)]


class EntrySection(Struct, frozen=True, kw_only=True):
    """Section ``[entry]``: identity of the process and its listening addresses.

    Attributes:
        name: Unique name of the machine that it runs on.
        zone: Availability zone.
        callers_address: Address of the API for callers.
        readiness_address: Address of the readiness check for load balancers.
        metrics_address: Address from which metrics are read.
    """

    name: str
    zone: str
    callers_address: Address
    readiness_address: Address
    metrics_address: Address


class MachineSection(Struct, frozen=True, kw_only=True):
    """Section ``[machine]``: what the entry may use of its machine.

    Attributes:
        cpu_share: Part of the processor's time.
        cores: Speed of the processor, in cores.
        link_mbps: Bandwidth of the network link.
    """

    cpu_share: PositiveNumber = 1.0
    cores: PositiveNumber = FULL_CORES
    link_mbps: PositiveNumber = FULL_LINK_MBPS

    @property
    def size(self) -> MachineSize:
        """Returns the size by which duties are placed."""
        return MachineSize(self.cpu_share * self.cores, self.link_mbps)


class StoreSection(Struct, frozen=True, kw_only=True):
    """Section ``[store]``: the platform's key-value store.

    Attributes:
        address: Address of the store.
        max_value_bytes: Maximum size of a value.
    """

    address: Address
    max_value_bytes: ValueBytes = DEFAULT_VALUE_BYTES


class HostsSection(Struct, frozen=True, kw_only=True):
    """Section ``[hosts]``: properties of hosts.

    Attributes:
        max_lease_ms: Longest lease that a host grants.
        leaving_start_limit_ms: Time after a host's report of leaving within which
            starts on it must end.
    """

    max_lease_ms: Millis
    leaving_start_limit_ms: Millis = 2_000


class MachinesSection(Struct, frozen=True, kw_only=True):
    """Section ``[machines]``: the service that moves and maintains machines.

    Attributes:
        address: Address of the service.
        holder_change_ms: Minimum time between orders of different duty holders.
    """

    address: Address
    holder_change_ms: Millis


class ClientsSection(Struct, frozen=True, kw_only=True):
    """Section ``[clients]``: bounds of what clients may make an entry hold.

    Attributes:
        max_connections: Open connections at the address for callers.
        max_page_connections: Open connections at each of the other two addresses.
        max_decoded_mb: Estimated memory of all documents that are decoded and stored
            at one time, in megabytes.
        max_job_tasks: Tasks of a job, of all its steps together.
        max_job_runs: Tasks of a job, of all its steps and repetitions together.
    """

    max_connections: Count = 1_536
    max_page_connections: Count = 128
    max_decoded_mb: Count = 64
    max_job_tasks: Count = 20_000
    max_job_runs: Count = 10_000_000


class JobsSection(Struct, frozen=True, kw_only=True):
    """Section ``[jobs]``: retention of ended jobs and withdrawal of keys.

    Attributes:
        kept_after_end_s: Time for which the state of an ended job can be read.
        key_withdrawal_ms: Time within which a withdrawn key must stop working.
        cancellation_limit_ms: Time after a job's cancellation within which starts of
            its tasks must end.
    """

    kept_after_end_s: PositiveNumber
    key_withdrawal_ms: Millis
    cancellation_limit_ms: Millis = 3_000


class AdviceSection(Struct, frozen=True, kw_only=True):
    """Section ``[advice]``: the service that advises which hosts a policy allows."""

    address: Address


class EvacuationSection(Struct, frozen=True, kw_only=True):
    """Section ``[evacuation]``: operators may ask to evacuate an availability zone.

    Attributes:
        start_limit_ms: Time after a request within which starts in the zone must end.
    """

    start_limit_ms: Millis


class SchedulingSection(Struct, frozen=True, kw_only=True):
    """Section ``[scheduling]``: optional decisions of the roles that entries hold.

    Attributes:
        learn_run_times: Whether run times are learned from the runs that ended.
        refuse_late_jobs: Whether jobs that can't end early enough are refused.
        look_ahead: Whether placement reserves hosts for tasks that wait for room.
        share_over_pools: Whether a team's share is counted over all pools.
        forecast_demand: Whether machines are moved to pools before expected peaks.
        weigh_remote_hosts: Whether tasks wait for the busy rack of their data where
            they end sooner so than in another rack.
        remote_factor: Run time of a task in another rack than that of its data, as a
            multiple of its run time there.
    """

    learn_run_times: bool = False
    refuse_late_jobs: bool = False
    look_ahead: bool = False
    share_over_pools: bool = False
    forecast_demand: bool = False
    weigh_remote_hosts: bool = False
    remote_factor: RemoteFactor = 2.0


class JobEntrySettings(Struct, frozen=True, kw_only=True):
    """All settings of a job entry."""

    entry: EntrySection
    store: StoreSection
    hosts: HostsSection
    jobs: JobsSection
    clients: ClientsSection = ClientsSection()
    machine: MachineSection = MachineSection()
    machines: MachinesSection | None = None
    advice: AdviceSection | None = None
    evacuation: EvacuationSection | None = None
    scheduling: SchedulingSection = SchedulingSection()


def load_job_entry(path: str) -> Result[JobEntrySettings, Problem]:
    """Reads the settings file of a job entry.

    Raises:
        OSError: The file cannot be read.
    """
    document = TomlDocument(Path(path).read_text(encoding="utf-8"), path, STEP)
    return document.parse().bind(lambda data: document.convert(data, JobEntrySettings))
