"""The demo's wave of reboots over HTTP under load, checked at the backend servers."""

from __future__ import annotations

from amaranthtray.demo.fleet import Fleet
from amaranthtray.demo.script import WEB, DemoScript

MAX_OUT = 2
"""Budget that the demo's script gives the pool."""


def test_wave_under_load_reboots_each_host_once_within_budget() -> None:
    fleet = Fleet()
    fleet.start()
    try:
        summary = DemoScript(fleet, lambda line: None).run()
    finally:
        fleet.stop()
    assert summary.is_good
    assert summary.unexplained == 0
    maintenance = {name: server.maintenance for name, server in fleet.servers.items()}
    web = [name for name, host in fleet.hosts.items() if host.labels["tier"] == WEB]
    assert len(web) == 4
    assert {name: len(maintenance[name].rebooted) for name in web} == dict.fromkeys(
        web, 1
    )
    assert [
        fault for state in maintenance.values() for fault in state.invalid_orders
    ] == []
    outages = [
        out
        for state in maintenance.values()
        for out in state.outages
        if out.pool == WEB
    ]
    assert _max_concurrent([(out.began_s, out.ended_s) for out in outages]) <= MAX_OUT


def test_max_concurrent_counts_overlaps() -> None:
    assert _max_concurrent([(0.0, 2.0), (1.0, 3.0), (1.5, None), (2.5, 4.0)]) == 3


def _max_concurrent(spans: list[tuple[float, float | None]]) -> int:
    """Returns the highest number of spans that overlap at one moment."""
    begins = [began for began, _ in spans]
    return max(
        sum(began <= at and (ended is None or at < ended) for began, ended in spans)
        for at in begins
    )
