"""An entry: builds its components, and starts and stops them."""

from __future__ import annotations

import random
import secrets
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import web
from ..domain.ids import EntryId, Incarnation, ZoneId
from ..domain.serving import LeaveBegun
from ..peers.hub import HubSettings
from ..peers.messages import Member
from . import wiring
from .admin_api import AdminApi
from .admin_service import AdminService
from .admin_view import AdminView
from .caller_api import CallerApi
from .caller_service import CallerContext, CallerService
from .config_task import ConfigTask
from .config_view import ConfigView
from .context import EntryContext
from .control_task import ControlTask
from .evacuation_view import EvacuationView, log_evacuations
from .host_list import HostList
from .host_task import HostTask
from .links import HubLinks
from .metrics_task import MetricsTask
from .observer import Observer
from .peer_events import PeerEventRouter
from .rules import configuration_rules
from .shutdown import EntryPhase, Readiness
from .wave_view import WaveView

if TYPE_CHECKING:
    from ..domain.configuration import Configuration
    from ..settings import Settings
    from .loop_thread import LoopThread

ADMIN_THREADS = 6
INCARNATION_BYTES = 4
IDLE_TIMEOUT_S = 3_600.0
RELEASE_TIMEOUT_S = 1.0
STORE_CHECK_INTERVAL_S = 1.0
"""Interval of the checks whether the store is available again; each is one read."""


@dataclass(frozen=True, slots=True)
class ListenPorts:
    """TCP ports that an entry listens on."""

    caller: int
    admin: int
    peer: int


class Entry:
    """A complete entry; several may run in one process.

    Args:
        settings: Settings of the entry.
        secret: The secret that all entries share.
        observer: Receives metrics and state lines.
    """

    def __init__(
        self, settings: Settings, secret: bytes, *, observer: Observer | None = None
    ) -> None:
        self.settings = settings
        self._secret = secret
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        self.readiness = Readiness()
        self.observer = observer or Observer(settings)
        self._rng = random.Random(secrets.randbits(64))
        self._stores = wiring.open_stores(settings)
        self._view = ConfigView(self._apply_config)
        self._logged_cfg = self._view.current
        self._hosts = HostList(
            self._stores.platform, settings.platform.hosts.prefix, self._apply_hosts
        )
        self._context = self._make_context()
        self._links = self._make_links()
        self._control_sink = wiring.ControlSink()
        self._requests = wiring.make_requests(
            self._context,
            self._links,
            self._stores,
            self.observer,
            self._control_sink,
        )
        self._services = CallerContext(
            settings,
            self._view,
            self._requests.idempotent_runner,
            self.readiness,
            self.observer,
        )
        self._caller_service = CallerService(self._services)
        self._tasks: tuple[LoopThread, ...] = ()
        self._servers: list[web.WebServer] = []

    def start(self) -> None:
        """Starts the servers and all tasks, then lets the health check pass."""
        peer_port = self._links.hub.start()
        self._control = self._make_control(peer_port)
        self._control_sink.put = self._control.put
        self._event_router.connect(self._control, self._requests)
        self._tasks = self._make_tasks()
        self._admin_server = self._make_admin_server()
        self._caller_server = self._make_caller_server()
        for server in (self._admin_server, self._caller_server):
            server.start()
            self._servers.append(server)
        for task in self._tasks:
            task.on_fault = self.observer.log_fault
            task.start()
        self._requests.request_runner.start()
        self._ports = ListenPorts(
            self._caller_server.port, self._admin_server.port, peer_port
        )
        self.readiness.advance(EntryPhase.SERVING)
        self.observer.changed("entry-serving", incarnation=self.incarnation)

    @property
    def ports(self) -> ListenPorts:
        """Returns the ports that the entry listens on, once it has started."""
        return self._ports

    @property
    def view(self) -> ConfigView:
        """Returns the configuration in force."""
        return self._view

    @property
    def links(self) -> HubLinks:
        """Returns the links to other entries."""
        return self._links

    @property
    def control(self) -> ControlTask:
        """Returns the task of the control plane, once the entry has started."""
        return self._control

    def abort_start(self) -> None:
        """Stops what a failed start has already started."""
        for server in self._servers:
            server.stop()
        for task in self._tasks:
            task.stop()
        self._requests.stop()
        self._links.hub.stop()

    def drain(self) -> None:
        """Fails the health check; requests are still accepted."""
        if self.readiness.advance(EntryPhase.DRAINING):
            self.observer.changed("entry-draining", incarnation=self.incarnation)

    def stop(self, *, idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        """Finishes the requests in flight, releases units and duties, and stops."""
        until_s = time.monotonic() + idle_timeout_s
        self.drain()
        self.readiness.wait_until_idle(idle_timeout_s)
        self.readiness.advance(EntryPhase.STOPPED)
        self._caller_server.stop()
        self._release_units()
        self._wait_for_store(until_s)
        self._admin_server.stop()
        for task in self._tasks:
            task.stop()
        self._control.join(RELEASE_TIMEOUT_S)
        self._control.control.leave()
        self._conducting.join(RELEASE_TIMEOUT_S)
        self._conducting.leave()
        self._caller_service.stop()
        self._requests.stop()
        self._links.hub.stop()
        self.observer.changed("entry-stopped", incarnation=self.incarnation)
        self.observer.flush()

    def _release_units(self) -> None:
        """Reports that this entry needs no more units, so that others get them."""
        self._control.control.is_leaving = True
        self._requests.request_runner.post(LeaveBegun())
        self._control.pause(int(RELEASE_TIMEOUT_S * 500))

    def _wait_for_store(self, until_s: float) -> None:
        """Goes on as steward or follower while the store is unavailable."""
        is_reported = False
        while time.monotonic() < until_s and not self._control.control.may_leave():
            if not is_reported:
                self.observer.changed("entry-stays", incarnation=self.incarnation)
                is_reported = True
            time.sleep(STORE_CHECK_INTERVAL_S)

    def _make_context(self) -> EntryContext:
        return EntryContext(
            settings=self.settings,
            incarnation=self.incarnation,
            view=self._view,
            hosts=self._hosts,
            rules=configuration_rules(self._hosts.hosts),
        )

    def _make_links(self) -> HubLinks:
        cfg = self.settings.entry
        self._event_router = PeerEventRouter()
        hub = HubSettings(
            entry=EntryId(cfg.id),
            zone=ZoneId(cfg.zone),
            incarnation=self.incarnation,
            secret=self._secret,
            address=cfg.address,
            port=cfg.peer_port,
        )
        return HubLinks(
            hub,
            on_event=self._event_router.route,
            on_link_request=self._event_router.request_link,
        )

    def _make_control(self, peer_port: int) -> ControlTask:
        cfg = self.settings.entry
        member = Member(
            EntryId(cfg.id), ZoneId(cfg.zone), self.incarnation, cfg.address, peer_port
        )
        control = wiring.make_control(
            member, self._context, self._links, self._stores, self._requests, self._rng
        )
        return ControlTask(control, self._stores.read_back)

    def _make_tasks(self) -> tuple[LoopThread, ...]:
        self._log = wiring.make_log(self._context, self._stores)
        watcher = wiring.make_config_watcher(self._log, self._stores)
        self._conducting = wiring.make_conducting_task(
            self._context,
            self._stores,
            self._log,
            self._control.control,
            self._rng.getrandbits(64),
        )
        return (
            ConfigTask(watcher, self._log, self._view),
            HostTask(self._hosts),
            self._control,
            self._control.members,
            self._control.ledger,
            self._conducting,
            MetricsTask(self.observer, self._view, self._requests, self._control),
        )

    def _make_caller_server(self) -> web.WebServer:
        cfg = self.settings.entry
        api = CallerApi(
            self._caller_service, self.readiness, max_body_bytes=cfg.max_body_bytes
        )
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
        waves = WaveView(self._context, self._stores.read_back)
        evacuations = EvacuationView(
            self._context, self._requests.serving.workers.used_slots_by_host
        )
        view = AdminView(
            self._context, self._control.control, self.observer, waves, evacuations
        )
        service = AdminService(self._context, self._log, view)
        return web.WebServer(
            AdminApi(service),
            host=cfg.address,
            port=cfg.admin_port,
            threads=ADMIN_THREADS,
        )

    def _apply_config(self, cfg: Configuration) -> None:
        wiring.apply_configuration(
            cfg, self._hosts.hosts(), self._requests.request_runner
        )
        self.observer.changed("configuration-in-force", revision=int(cfg.revision))
        log_evacuations(self.observer, self._logged_cfg, cfg, self._view.age_ms)
        self._logged_cfg = cfg

    def _apply_hosts(self) -> None:
        cfg = self._view.current
        wiring.apply_hosts(cfg, self._hosts.hosts(), self._requests.request_runner)
