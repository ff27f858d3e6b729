"""Makes the parts of an entry from its settings."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..backend.client import BackendAnswer, BackendClient
from ..backend.connections import ConnectionPools
from ..domain.requests.idempotency import IdempotencySettings, IdempotencyTable
from ..domain.requests.ids import Home
from ..domain.serving import (
    ConfigurationInForce,
    HostsListed,
    Serving,
    ServingSettings,
)
from ..domain.serving.messages import TeamTerms
from ..peers.events import PeerAddress
from ..replay.recorder import Recorder
from ..store.budgeted import BudgetedStore, CallBudget
from ..store.config_log import ConfigFeed, ConfigLog
from ..store.contract import Store
from ..store.etcd_json import EtcdStore
from ..store.prefixed import PrefixedStore
from ..store.settled import SettledStore
from .claims import ClaimStore
from .clock import now_ms
from .conducting import ConductorContext, EntryConductors
from .conducting.poller import HostPoller
from .conducting_task import ConductingTask
from .control import ControlContext, ControlPlane
from .forwarding import HomeService, PeerForwarder
from .host_list import by_pool
from .kept_values import KeptValues
from .recording import ServingMachine, make_serving
from .request_table import RequestTable
from .request_task import RequestTask
from .task_control import TaskControl

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..domain.configuration import Configuration
    from ..domain.ids import PoolName, QueueName
    from ..domain.inventory import Host
    from ..peers.messages import Member
    from ..settings import Settings
    from .context import EntryContext
    from .links import HubLinks
    from .observer import Observer
    from .request_task import ControlEffect

BURST_SECONDS = 2
PERCENT = 100


@dataclass(frozen=True, slots=True)
class Stores:
    """The platform's store in the forms that the tasks need.

    Attributes:
        platform: All keys; holds the platform's own host list.
        raw: Keys of this system; a lost reply is reported as such.
        settled: The same; lost replies are settled by reading back.
    """

    platform: Store
    raw: Store
    settled: Store


@dataclass(frozen=True, slots=True)
class Requests:
    """The parts that serve requests."""

    serving: Serving
    machine: ServingMachine
    task: RequestTask
    table: RequestTable
    forwarder: PeerForwarder
    home: HomeService
    pools: ConnectionPools
    control: TaskControl

    def stop(self) -> None:
        """Ends the threads of all parts."""
        self.task.stop()
        self.table.stop()
        self.home.stop()
        self.control.stop()
        self.pools.close()
        if isinstance(self.machine, Recorder):
            self.machine.close()


class ControlSlot:
    """Where the serving part's messages go once the control part is there."""

    def __init__(self) -> None:
        self.put: Callable[[ControlEffect], None] = lambda effect: None


def open_stores(settings: Settings) -> Stores:
    """Returns the platform's store as the settings describe it."""
    cfg = settings.platform
    budget = CallBudget(
        calls_per_s=cfg.calls_per_s, burst=BURST_SECONDS * cfg.calls_per_s
    )
    remote = EtcdStore(cfg.endpoints, timeout_ms=cfg.timeout_ms)
    platform = BudgetedStore(remote, clock=now_ms, budget=budget)
    raw = PrefixedStore(platform, cfg.prefix)
    return Stores(platform, raw, SettledStore(raw))


def serving_settings(settings: Settings) -> ServingSettings:
    """Returns the bounds of the decisions that the settings ask for."""
    asked = settings.requests
    bounds = ServingSettings()
    desk = replace(
        bounds.desk,
        max_retries=asked.max_attempts - 1,
        retry_ratio=asked.retry_budget_percent / PERCENT,
        backoff_first_ms=asked.retry_backoff_ms,
    )
    workers = replace(
        bounds.workers,
        eject_after=asked.eject_after_failures,
        ejection_first_ms=asked.eject_ms,
        max_ejected_share=asked.eject_max_percent / PERCENT,
    )
    bounds = replace(bounds, desk=desk, workers=workers)
    return bounds.with_task_lease(asked.task_lease_ms)


def make_requests(
    context: EntryContext,
    links: HubLinks,
    stores: Stores,
    observer: Observer,
    slot: ControlSlot,
) -> Requests:
    """Returns the parts that serve requests, not yet started."""
    settings = context.settings
    pools = ConnectionPools()
    serving, machine = make_serving(context, serving_settings(settings))
    control = TaskControl(
        pools, on_ended=lambda host, attempts: task.free_slots(host, attempts)
    )
    task = RequestTask(
        machine,
        BackendClient(pools),
        control,
        observer,
        on_control=lambda effect: slot.put(effect),
    )
    forwarder = PeerForwarder(links)
    table = _make_table(context, stores, observer, task, forwarder)
    home = HomeService(table, links, lambda queue: _pool_of(context, queue))
    return Requests(serving, machine, task, table, forwarder, home, pools, control)


def make_control(
    member: Member,
    context: EntryContext,
    links: HubLinks,
    stores: Stores,
    requests: Requests,
    rng: random.Random,
) -> ControlPlane:
    """Returns the control part."""
    parts = ControlContext(
        member=member,
        view=context.view,
        links=links,
        serving=requests.task,
        store=stores.settled,
        raw_store=stores.raw,
        clock=now_ms,
        rng=rng,
        settings=requests.serving.cfg,
        seeds=tuple(_address(text) for text in context.settings.peers.seeds),
    )
    return ControlPlane(parts)


def make_conducting(
    context: EntryContext,
    stores: Stores,
    log: ConfigLog,
    control: ControlPlane,
    seed: int,
) -> ConductingTask:
    """Returns the conductors; they draw from their own random source."""
    poller = HostPoller(now_ms)
    parts = ConductorContext(
        entry=context.entry,
        incarnation=context.incarnation,
        view=context.view,
        log=log,
        raw_store=stores.raw,
        hosts=poller,
        list_hosts=context.hosts.hosts,
        list_entries=lambda: [
            one.entry for one in tuple(control.peers.members.members.values())
        ],
        clock=now_ms,
        rng=random.Random(seed),
    )
    return ConductingTask(EntryConductors(parts), poller)


def make_log(context: EntryContext, stores: Stores) -> ConfigLog:
    """Returns the configuration log."""
    return ConfigLog(stores.settled, entry=context.entry, rules=context.rules)


def make_feed(log: ConfigLog, stores: Stores) -> ConfigFeed:
    """Returns the watch of the configuration log."""
    return ConfigFeed(log, stores.settled)


def apply_configuration(
    cfg: Configuration, hosts: Iterable[Host], task: RequestTask
) -> None:
    """Puts a configuration in force for the serving of requests."""
    teams = {
        name: TeamTerms(team.share, team.limit) for name, team in cfg.teams.items()
    }
    task.post(ConfigurationInForce(cfg.revision, teams))
    apply_hosts(cfg, hosts, task)


def apply_hosts(cfg: Configuration, hosts: Iterable[Host], task: RequestTask) -> None:
    """Puts the hosts of each pool in force for the serving of requests."""
    task.post(HostsListed(by_pool(cfg, list(hosts))))


def _make_table(
    context: EntryContext,
    stores: Stores,
    observer: Observer,
    task: RequestTask,
    forwarder: PeerForwarder,
) -> RequestTable:
    cfg = IdempotencySettings()
    home = Home(context.zone, context.entry, context.incarnation)
    claims = ClaimStore(stores.raw, retention_ms=cfg.retention_ms, clock=now_ms)
    keep_ms = context.settings.requests.result_keep_ms
    answers: KeptValues[BackendAnswer] = KeptValues(keep_ms=keep_ms)
    return RequestTable(
        IdempotencyTable(home, cfg),
        task,
        claims,
        forwarder,
        answers,
        on_error=observer.fault,
    )


def _address(text: str) -> PeerAddress:
    address, _, port = text.rpartition(":")
    return PeerAddress(address.strip("[]"), int(port))


def _pool_of(context: EntryContext, queue: QueueName) -> PoolName | None:
    found = context.view.current.queues.get(queue)
    return found.pool if found else None
