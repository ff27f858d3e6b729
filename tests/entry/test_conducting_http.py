"""The demo's wave of reboots over HTTP while requests run, judged by the servers."""

from __future__ import annotations

from amaranthtray.demo.fleet import Fleet
from amaranthtray.demo.script import WEB, DemoScript

MAX_OUT = 2
"""Budget that the story gives the pool."""


def test_wave_reboots_each_host_once_and_keeps_every_promise() -> None:
    fleet = Fleet()
    fleet.start()
    try:
        summary = DemoScript(fleet, lambda line: None).run()
    finally:
        fleet.stop()
    assert summary.is_good
    assert summary.unknown == 0
    work = {name: server.maintenance for name, server in fleet.servers.items()}
    web = [name for name, host in fleet.hosts.items() if host.labels["tier"] == WEB]
    assert len(web) == 4
    assert {name: len(work[name].rebooted) for name in web} == dict.fromkeys(web, 1)
    assert [fault for one in work.values() for fault in one.invalid_orders] == []
    outages = [out for one in work.values() for out in one.outages if out.pool == WEB]
    assert _most_at_once([(out.began_s, out.ended_s) for out in outages]) <= MAX_OUT


def test_overlaps_are_counted() -> None:
    assert _most_at_once([(0.0, 2.0), (1.0, 3.0), (1.5, None), (2.5, 4.0)]) == 3


def _most_at_once(spans: list[tuple[float, float | None]]) -> int:
    """Returns how many of the spans hold at one moment at most."""
    begins = [began for began, _ in spans]
    return max(
        sum(began <= at and (ended is None or at < ended) for began, ended in spans)
        for at in begins
    )
