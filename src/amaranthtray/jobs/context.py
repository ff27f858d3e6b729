"""Objects that all tasks of an entry that accepts jobs share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..domain.jobs.catalog import Catalog
from ..settings.job_entry import JobEntrySettings
from ..store.contract import TransactionalStore
from .call_turns import CallTurns
from .evacuation_follower import EvacuationFollower, NoEvacuations
from .event_log import EventLog
from .host_list_follower import HostListFollower
from .metrics_registry import MetricsRegistry
from .ports import Platform


@dataclass(slots=True)
class JobEntryContext:
    """Objects that all tasks of one entry share.

    Attributes:
        settings: Settings of the entry.
        store: The platform's store.
        platform: Translates the platform's documents and creates its clients.
        log: Log of the entry.
        metrics: Counters and latencies of the entry.
        hosts: Follows the list of hosts while the entry conducts a pool.
        catalog: Returns the configuration in force; None if none is known.
        evacuations: Follows the evacuated zones while the entry holds a role.
        advice_turns: Turns of the conducted pools at the advice service.
    """

    settings: JobEntrySettings
    store: TransactionalStore
    platform: Platform
    log: EventLog
    metrics: MetricsRegistry
    hosts: HostListFollower
    catalog: Callable[[], Catalog | None]
    evacuations: EvacuationFollower | NoEvacuations = field(
        default_factory=NoEvacuations
    )
    advice_turns: CallTurns = field(default_factory=CallTurns)
