"""Runs an entry on the platform until it receives a signal to stop."""

from __future__ import annotations

import os
import signal
import sys
import threading
from functools import partial
from typing import TYPE_CHECKING

from returns.result import Failure

from ..jobs.client_refusals import ClientRefusals
from ..jobs.entry import JobEntry
from ..jobs.metrics_registry import MetricsRegistry
from ..settings.job_entry import load_job_entry
from ..web import WebServer
from ..web.address import split_address
from ..web.metrics_page import MetricsPage
from . import documents
from .advice_client import AdviceClient
from .host_client import HostClient
from .ingress import Ingress, ReadinessPage
from .machine_client import MachineClient
from .store_client import PlatformStore

if TYPE_CHECKING:
    from ..domain.ids import HostId, PoolName, Term, ZoneId
    from ..domain.jobs.catalog import Catalog
    from ..domain.scheduling.messages import HostInfo
    from ..domain.upkeep.model import WaveRequest
    from ..settings.job_entry import JobEntrySettings

SETTINGS_VARIABLE = "AMARANTHTRAY_NODE_FILE"
EXIT_INVALID_SETTINGS = 2
CALLER_THREADS = 32
PAGE_THREADS = 2
RELOAD_CHECK_S = 0.25
"""Time between checks for a signal to reload the settings."""

BALANCER_DRAIN_S = 2.5
"""The balancer probes each second and removes an entry after two failed probes."""


class PlatformAdapter:
    """Translates the platform's documents and creates clients of its services.

    Args:
        settings: Settings of the entry.
    """

    configuration_key = documents.CONFIGURATION_KEY
    hosts_prefix = documents.HOSTS_PREFIX
    waves_prefix = documents.WAVES_PREFIX
    evacuations_prefix = documents.EVACUATIONS_PREFIX

    def __init__(self, settings: JobEntrySettings) -> None:
        self._settings = settings

    def decode_configuration(self, data: bytes, store_version: int) -> Catalog:
        """Returns a stored configuration."""
        return documents.decode_configuration(data, store_version)

    def decode_host(self, key: str, data: bytes) -> tuple[PoolName, HostInfo] | None:
        """Returns a host and its pool; None if the entry names no usable host."""
        return documents.decode_host(key, data)

    def decode_wave(self, data: bytes) -> WaveRequest:
        """Returns the wave that the operator requested."""
        return documents.decode_wave(data)

    def decode_evacuation(self, key: str, data: bytes) -> ZoneId:
        """Returns the zone that the operator requested to evacuate."""
        return documents.decode_evacuation(key, data)

    def encode_wave_status(self, number: int, *, is_over: bool) -> tuple[str, bytes]:
        """Returns the key and value that show a wave's state to the operator."""
        return documents.encode_wave_status(number, is_over=is_over)

    def machine_service(self, term: Term) -> MachineClient | None:
        """Returns a client of the machine service; None if none is configured."""
        machines = self._settings.machines
        if machines is None:
            return None
        return MachineClient(machines.address, self._settings.entry.name, term)

    def adviser(self) -> AdviceClient | None:
        """Returns a client of the adviser; None if none is configured."""
        advice = self._settings.advice
        return AdviceClient(advice.address) if advice else None

    def host_api(self, info: HostInfo, term: Term) -> HostClient:
        """Returns a client of a host whose orders carry the term's fencing token."""
        host: HostId = info.id
        return HostClient(host, info.address, term)


def main() -> None:
    """Runs an entry with the settings file that the environment names."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    reload = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: reload.set())
    loaded = load_job_entry(os.environ[SETTINGS_VARIABLE])
    if isinstance(loaded, Failure):
        sys.stderr.write(f"{loaded.failure()}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = loaded.unwrap()
    metrics = MetricsRegistry()
    store = PlatformStore(settings.store.address, metrics)
    entry = JobEntry(settings, store, PlatformAdapter(settings), metrics)
    servers = _servers(settings, entry, metrics)
    entry.start()
    for server in servers:
        server.start()
    while not stop.wait(RELOAD_CHECK_S):
        if reload.is_set():
            reload.clear()
            _reload(entry)
    entry.shut_down(BALANCER_DRAIN_S)
    for server in servers:
        server.stop()
    entry.log.event("stopped")
    entry.log.flush(1)
    os._exit(0)


def _reload(entry: JobEntry) -> None:
    """Reloads the settings; invalid ones leave the old ones in force."""
    try:
        loaded = load_job_entry(os.environ[SETTINGS_VARIABLE])
    except OSError as exc:
        entry.log.event("settings-not-read", why=str(exc))
        return
    if isinstance(loaded, Failure):
        entry.log.event("settings-faulty", why=str(loaded.failure()))
        return
    entry.apply_settings(loaded.unwrap())


def _servers(
    settings: JobEntrySettings, entry: JobEntry, metrics: MetricsRegistry
) -> list[WebServer]:
    cfg, limits = settings.entry, settings.clients
    refusals = ClientRefusals(metrics, entry.log)
    ingress = Ingress(entry.service, limits, partial(refusals.record, "callers"))
    readiness = ReadinessPage(lambda: entry.is_ready)
    most, most_pages = limits.max_connections, limits.max_page_connections
    metrics_page = MetricsPage(entry.render_metrics)
    rows = (
        ("callers", ingress, cfg.callers_address, CALLER_THREADS, most),
        ("readiness", readiness, cfg.readiness_address, PAGE_THREADS, most_pages),
        ("metrics", metrics_page, cfg.metrics_address, PAGE_THREADS, most_pages),
    )
    servers = []
    for name, root, address, threads, connections in rows:
        host, port = split_address(address)
        server = WebServer(
            root,
            host=host,
            port=port,
            threads=threads,
            max_connections=connections,
            on_refused=partial(refusals.record, name),
        )
        servers.append(server)
    return servers
