"""Validated model of the settings of an entry that takes jobs."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct

from .toml_document import TomlDocument

if TYPE_CHECKING:
    from returns.result import Result

    from ..domain.errors import Problem

STEP = "load-settings"

Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Positive = Annotated[float, Meta(gt=0)]
Millis = Annotated[int, Meta(ge=1)]


class EntrySection(Struct, frozen=True, kw_only=True):
    """Section ``[entry]``: who the process is and where it listens.

    Attributes:
        name: Unique name of the machine.
        zone: Availability zone.
        callers_address: Where callers reach it.
        readiness_address: Where the balancer asks whether it is ready.
        metrics_address: Where its metrics are read.
    """

    name: str
    zone: str
    callers_address: Address
    readiness_address: Address
    metrics_address: Address


class StoreSection(Struct, frozen=True, kw_only=True):
    """Section ``[store]``: the platform's key-value store.

    Attributes:
        address: Where it is.
    """

    address: Address


class HostsSection(Struct, frozen=True, kw_only=True):
    """Section ``[hosts]``: how hosts behave.

    Attributes:
        max_lease_ms: Longest lease that a host grants.
    """

    max_lease_ms: Millis


class MachinesSection(Struct, frozen=True, kw_only=True):
    """Section ``[machines]``: the service that moves and maintains machines.

    Attributes:
        address: Where it is.
        holder_change_ms: Shortest time between orders of different holders.
    """

    address: Address
    holder_change_ms: Millis


class JobsSection(Struct, frozen=True, kw_only=True):
    """Section ``[jobs]``.

    Attributes:
        kept_after_end_s: Time that a job's state can be asked for after its end.
        key_withdrawal_ms: Time after which a withdrawn key must not work.
    """

    kept_after_end_s: Positive
    key_withdrawal_ms: Millis


class AdviceSection(Struct, frozen=True, kw_only=True):
    """Section ``[advice]``: the service that knows which hosts a policy allows."""

    address: Address


class JobEntrySettings(Struct, frozen=True, kw_only=True):
    """All settings of an entry that takes jobs."""

    entry: EntrySection
    store: StoreSection
    hosts: HostsSection
    jobs: JobsSection
    machines: MachinesSection | None = None
    advice: AdviceSection | None = None


def load_job_entry(path: str) -> Result[JobEntrySettings, Problem]:
    """Reads the settings file of an entry.

    Raises:
        OSError: The file can't be read.
    """
    document = TomlDocument(Path(path).read_text(encoding="utf-8"), path, STEP)
    return document.parse().bind(lambda data: document.convert(data, JobEntrySettings))
