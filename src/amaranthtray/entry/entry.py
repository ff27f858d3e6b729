"""One entry: its tasks, wired together."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import web
from ..backend.client import BackendClient
from ..backend.connections import ConnectionPools
from ..domain.ids import EntryId, Incarnation, ZoneId
from ..domain.requests.desk import RequestDesk
from ..domain.requests.ports import FirstComeShares, Unlimited
from ..domain.workers.book import WorkerBook
from ..platform.budgeted import BudgetedStore, CallBudget
from ..platform.config_log import ConfigFeed, ConfigLog
from ..platform.etcd_json import EtcdStore
from ..platform.settled import SettledStore
from .admin_api import AdminApi
from .admin_service import AdminService
from .admin_view import AdminView
from .caller_api import CallerApi
from .caller_service import CallerService
from .clock import now_ms
from .config_task import ConfigTask
from .config_view import ConfigView
from .context import EntryContext
from .host_list import HostList, by_pool
from .host_task import HostTask
from .request_ids import RequestIds
from .request_task import RequestTask
from .rules import configuration_rules
from .shutdown import Phase, Readiness
from .task_control import TaskControl
from .zone_revisions import OwnZoneOnly

if TYPE_CHECKING:
    from ..domain.configuration import Configuration
    from ..platform.store import Store
    from ..settings import Settings
    from .worker_thread import WorkerThread

ADMIN_THREADS = 6
INCARNATION_BYTES = 4
IDLE_TIMEOUT_S = 3_600.0
THREAD_JOIN_S = 2.0


@dataclass(frozen=True, slots=True)
class Ports:
    """TCP ports that an entry listens on."""

    caller: int
    admin: int


class Entry:
    """A whole entry; several may run in one process.

    Args:
        settings: Settings of the entry.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        self.readiness = Readiness()
        self.store = _open_store(settings)
        self.faults = 0
        self._pools = ConnectionPools()
        self._hosts = HostList(
            self.store, settings.platform.hosts.prefix, self._apply_hosts
        )
        self._view = ConfigView(self._apply_config)
        self._requests = self._make_requests()
        self._tasks = self._make_tasks()
        self._callers = self._make_caller_server()
        self._admin = self._make_admin_server()

    @property
    def ports(self) -> Ports:
        """Returns the ports that the entry listens on."""
        return Ports(self._callers.port, self._admin.port)

    @property
    def view(self) -> ConfigView:
        """Returns the configuration in force."""
        return self._view

    def start(self) -> None:
        """Starts all tasks, then the servers, then passes the health check."""
        for task in self._tasks:
            task.on_fault = self._count_fault
            task.start()
        self._requests.start()
        self._admin.start()
        self._callers.start()
        self.readiness.advance(Phase.SERVING)

    def drain(self) -> None:
        """Fails the health check; requests are still taken."""
        self.readiness.advance(Phase.DRAINING)

    def stop(self, *, idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        """Finishes what is in flight, gives back what is held, and ends."""
        self.drain()
        self.readiness.wait_until_idle(idle_timeout_s)
        self.readiness.advance(Phase.STOPPED)
        self._callers.stop()
        self._admin.stop()
        for task in self._tasks:
            task.stop()
        self._requests.stop()
        self._pools.close()

    def _make_requests(self) -> RequestTask:
        rng = random.Random(secrets.randbits(64))
        cfg = self.settings
        desk = RequestDesk(
            limits=Unlimited(),
            shares=FirstComeShares(),
            rng=rng,
            workers=WorkerBook(ZoneId(cfg.entry.zone), rng),
            attempt_prefix=f"{cfg.entry.id}.{self.incarnation}",
        )
        control = TaskControl(
            self._pools,
            on_ended=lambda host, ids: self._requests.free_slots(host, ids),
        )
        client = BackendClient(self._pools)
        return RequestTask(desk, client, control, on_error=self._count_fault)

    def _make_tasks(self) -> tuple[WorkerThread, ...]:
        entry = EntryId(self.settings.entry.id)
        self._context = EntryContext(
            settings=self.settings,
            incarnation=self.incarnation,
            view=self._view,
            hosts=self._hosts,
            rules=configuration_rules(self._hosts.hosts),
        )
        self._log = ConfigLog(self.store, entry=entry, rules=self._context.rules)
        feed = ConfigFeed(self._log, self.store)
        return (ConfigTask(feed, self._log, self._view), HostTask(self._hosts))

    def _make_caller_server(self) -> web.WebServer:
        cfg = self.settings.entry
        ids = RequestIds(self._context.entry, self.incarnation, self.store)
        service = CallerService(
            self.settings, self._view, self._requests, ids, self.readiness
        )
        api = CallerApi(service, self.readiness, max_body_bytes=cfg.max_body_bytes)
        return web.WebServer(
            api,
            host=cfg.address,
            port=cfg.caller_port,
            threads=cfg.threads,
            max_body_bytes=cfg.max_body_bytes,
            max_header_bytes=cfg.max_header_bytes,
            read_timeout_ms=cfg.read_timeout_ms,
        )

    def _make_admin_server(self) -> web.WebServer:
        cfg = self.settings.entry
        zones = OwnZoneOnly(self._context.zone, self._view)
        view = AdminView(self._context, zones)
        service = AdminService(self._context, self._log, view)
        return web.WebServer(
            AdminApi(service),
            host=cfg.address,
            port=cfg.admin_port,
            threads=ADMIN_THREADS,
        )

    def _apply_config(self, cfg: Configuration) -> None:
        self._requests.update_hosts(by_pool(cfg, self._hosts.hosts()))

    def _apply_hosts(self) -> None:
        self._apply_config(self._view.current)

    def _count_fault(self, exc: Exception) -> None:
        """Counts a fault of this program; the task that had it goes on."""
        del exc
        self.faults += 1


def _open_store(settings: Settings) -> Store:
    cfg = settings.platform
    budget = CallBudget(calls_per_s=cfg.calls_per_s, burst=2 * cfg.calls_per_s)
    remote = EtcdStore(cfg.endpoints, timeout_ms=cfg.timeout_ms)
    return SettledStore(BudgetedStore(remote, clock=now_ms, budget=budget))
