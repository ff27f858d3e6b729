"""Builds the parts of an entry from its settings."""

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
from ..domain.serving.messages import TeamQuota
from ..peers.events import PeerAddress
from ..replay.recorder import Recorder
from ..store.budgeted import BudgetedStore, CallBudget
from ..store.config_log import ConfigLog, ConfigLogWatcher
from ..store.contract import Store
from ..store.etcd_json import EtcdStore
from ..store.prefixed import PrefixedStore
from ..store.read_back import ReadBackStore
from .claims import ClaimStore
from .clock import now_ms
from .conducting import ConductorContext, EntryConductors
from .conducting.poller import HostPoller
from .conducting_task import ConductingTask
from .control import ControlContext, ControlPlane
from .forwarding import HomeService, PeerForwarder
from .host_list import by_pool
from .idempotent_runner import IdempotentRunner
from .recording import ServingHandler, make_serving
from .request_runner import RequestRunner
from .task_control import TaskControlClient
from .ttl_cache import TtlCache

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
    from .request_runner import ControlEffect

BURST_SECONDS = 2
PERCENT = 100


@dataclass(frozen=True, slots=True)
class Stores:
    """The platform's store in the variants that the tasks need.

    Attributes:
        platform: All keys, among them the platform's host list.
        raw: The keys of this system; a lost reply is an unknown outcome.
        read_back: The same keys; lost replies are resolved by reading back.
    """

    platform: Store
    raw: Store
    read_back: Store


@dataclass(frozen=True, slots=True)
class RequestServing:
    """The parts of an entry that serve requests: the serving part and its threads.

    Attributes:
        handler: ``serving``, or a recorder around it.
        home: Handles the requests that other entries forward to this one.
        control: Sends control calls to backend servers.
    """

    serving: Serving
    handler: ServingHandler
    request_runner: RequestRunner
    idempotent_runner: IdempotentRunner
    forwarder: PeerForwarder
    home: HomeService
    pools: ConnectionPools
    control: TaskControlClient

    def stop(self) -> None:
        """Stops the threads of all parts."""
        self.request_runner.stop()
        self.idempotent_runner.stop()
        self.home.stop()
        self.control.stop()
        self.pools.close()
        if isinstance(self.handler, Recorder):
            self.handler.close()


class ControlSink:
    """Passes messages of the serving part to the control plane.

    The control plane is built later and sets ``put``; messages before that are dropped.
    """

    def __init__(self) -> None:
        self.put: Callable[[ControlEffect], None] = lambda effect: None


def open_stores(settings: Settings) -> Stores:
    """Returns clients of the platform's store, with a call budget from the settings."""
    cfg = settings.platform
    budget = CallBudget(
        calls_per_s=cfg.calls_per_s, burst=BURST_SECONDS * cfg.calls_per_s
    )
    remote = EtcdStore(cfg.endpoints, timeout_ms=cfg.timeout_ms)
    platform = BudgetedStore(remote, clock=now_ms, budget=budget)
    raw = PrefixedStore(platform, cfg.prefix)
    return Stores(platform, raw, ReadBackStore(raw))


def serving_settings(settings: Settings) -> ServingSettings:
    """Returns the default serving settings with the values of the settings file."""
    requests = settings.requests
    defaults = ServingSettings()
    dispatcher = replace(
        defaults.desk,
        max_retries=requests.max_attempts - 1,
        retry_ratio=requests.retry_budget_percent / PERCENT,
        backoff_first_ms=requests.retry_backoff_ms,
    )
    workers = replace(
        defaults.workers,
        eject_after=requests.eject_after_failures,
        ejection_first_ms=requests.eject_ms,
        max_ejected_share=requests.eject_max_percent / PERCENT,
    )
    changed = replace(defaults, desk=dispatcher, workers=workers)
    return changed.with_task_lease(requests.task_lease_ms)


def make_requests(
    context: EntryContext,
    links: HubLinks,
    stores: Stores,
    observer: Observer,
    control_sink: ControlSink,
) -> RequestServing:
    """Returns the serving part, not yet started."""
    settings = context.settings
    pools = ConnectionPools()
    serving, handler = make_serving(context, serving_settings(settings))
    control = TaskControlClient(
        pools,
        on_attempts_ended=lambda host, attempts: request_runner.free_slots(
            host, attempts
        ),
    )
    request_runner = RequestRunner(
        handler,
        BackendClient(pools),
        control,
        observer,
        on_control_effect=lambda effect: control_sink.put(effect),
    )
    forwarder = PeerForwarder(links)
    idempotent_runner = _make_idempotent_runner(
        context, stores, observer, request_runner, forwarder
    )
    home = HomeService(idempotent_runner, links, lambda queue: _pool_of(context, queue))
    return RequestServing(
        serving,
        handler,
        request_runner,
        idempotent_runner,
        forwarder,
        home,
        pools,
        control,
    )


def make_control(
    member: Member,
    context: EntryContext,
    links: HubLinks,
    stores: Stores,
    requests: RequestServing,
    rng: random.Random,
) -> ControlPlane:
    """Returns the control plane."""
    control_context = ControlContext(
        member=member,
        view=context.view,
        links=links,
        serving=requests.request_runner,
        store=stores.read_back,
        raw_store=stores.raw,
        clock=now_ms,
        rng=rng,
        settings=requests.serving.cfg,
        seeds=tuple(_parse_address(text) for text in context.settings.peers.seeds),
    )
    return ControlPlane(control_context)


def make_conducting_task(
    context: EntryContext,
    stores: Stores,
    log: ConfigLog,
    control: ControlPlane,
    seed: int,
) -> ConductingTask:
    """Returns the task of the conductors, which have a random source of their own."""
    poller = HostPoller(now_ms)
    conductor_context = ConductorContext(
        entry=context.entry,
        incarnation=context.incarnation,
        view=context.view,
        log=log,
        raw_store=stores.raw,
        hosts=poller,
        list_hosts=context.hosts.hosts,
        list_entries=lambda: [
            member.entry for member in tuple(control.peers.members.members.values())
        ],
        clock=now_ms,
        rng=random.Random(seed),
    )
    return ConductingTask(EntryConductors(conductor_context), poller)


def make_log(context: EntryContext, stores: Stores) -> ConfigLog:
    """Returns the configuration log."""
    return ConfigLog(stores.read_back, entry=context.entry, rules=context.rules)


def make_config_watcher(log: ConfigLog, stores: Stores) -> ConfigLogWatcher:
    """Returns the watch of the configuration log."""
    return ConfigLogWatcher(log, stores.read_back)


def apply_configuration(
    cfg: Configuration, hosts: Iterable[Host], request_runner: RequestRunner
) -> None:
    """Puts a configuration in force in the serving part."""
    teams = {
        name: TeamQuota(team.share, team.limit) for name, team in cfg.teams.items()
    }
    zones = tuple(sorted(cfg.evacuations))
    request_runner.post(ConfigurationInForce(cfg.revision, teams, zones))
    apply_hosts(cfg, hosts, request_runner)


def apply_hosts(
    cfg: Configuration, hosts: Iterable[Host], request_runner: RequestRunner
) -> None:
    """Puts the hosts of each pool in force in the serving part."""
    request_runner.post(HostsListed(by_pool(cfg, list(hosts))))


def _make_idempotent_runner(
    context: EntryContext,
    stores: Stores,
    observer: Observer,
    request_runner: RequestRunner,
    forwarder: PeerForwarder,
) -> IdempotentRunner:
    cfg = IdempotencySettings()
    home = Home(context.zone, context.entry, context.incarnation)
    claims = ClaimStore(stores.raw, retention_ms=cfg.retention_ms, clock=now_ms)
    ttl_ms = context.settings.requests.result_keep_ms
    answers: TtlCache[BackendAnswer] = TtlCache(ttl_ms=ttl_ms)
    return IdempotentRunner(
        IdempotencyTable(home, cfg),
        request_runner,
        claims,
        forwarder,
        answers,
        on_error=observer.log_fault,
    )


def _parse_address(text: str) -> PeerAddress:
    address, _, port = text.rpartition(":")
    return PeerAddress(address.strip("[]"), int(port))


def _pool_of(context: EntryContext, queue: QueueName) -> PoolName | None:
    queue_settings = context.view.current.queues.get(queue)
    return queue_settings.pool if queue_settings else None
