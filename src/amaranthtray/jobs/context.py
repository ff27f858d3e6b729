"""What all tasks of an entry that takes jobs share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..domain.jobs.catalog import Catalog
from ..settings.job_entry import JobEntrySettings
from ..store.contract import TransactionalStore
from .event_log import EventLog
from .host_list_follower import HostListFollower
from .metrics_registry import MetricsRegistry
from .ports import Platform


@dataclass(slots=True)
class JobEntryContext:
    """Shared by all tasks of one entry.

    Attributes:
        settings: Its settings.
        store: The platform's store.
        platform: Translates what the platform keeps there.
        log: Its log.
        meters: Counts what it does.
        hosts: Follows the list of hosts while the entry conducts a pool.
        catalog: Returns the configuration in force, if one is known.
    """

    settings: JobEntrySettings
    store: TransactionalStore
    platform: Platform
    log: EventLog
    metrics: MetricsRegistry
    hosts: HostListFollower
    catalog: Callable[[], Catalog | None]
