"""An entry's process outlives clients without limits, and serves the next caller."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest

from hostile import crowd
from hostile.forms import CHUNKED, FORMS, JOB_KEY
from raw_http import post
from soak.site import Site, SoakSettings, a_job, a_step

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SETTINGS = SoakSettings(seed=52, entries=1, hosts=1, callers=0, lasts_s=0)
JOB_PATH = b"/pool/00000000000000%"
NEXT_JOB = "00000000000000ff"
CONNECTIONS_PER_ADDRESS = 1_400
SLOW_CLIENTS = 64
SLOW_S = 180


def serve_the_next_caller(site: Site, when: str) -> None:
    """Hands a job in and waits for its end; runs of the crowd's jobs don't count."""
    site.hand_in(a_job(NEXT_JOB, "pool", a_step(1, 150)))
    broken = [line for line in site.finish() if line.startswith(NEXT_JOB)]
    crowd.assert_within_its_machine(site.entries[0], when)
    assert broken == []


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with Site(SETTINGS, tmp_path) as running:
        yield running


def addresses(site: Site) -> list[tuple[int, bytes]]:
    """Returns port and path of each way in."""
    entry = site.entries[0]
    return [
        (entry.port, JOB_PATH + b"0"),
        (entry.readiness_port, b"/v1/readyz"),
        (entry.metrics_port, b"/metrics"),
    ]


@pytest.mark.parametrize("form", FORMS)
def test_entry_outlives_clients_without_limits(site: Site, form: str) -> None:
    for port, path in addresses(site):
        crowd.attack(port, FORMS[form], path)
        crowd.assert_within_its_machine(site.entries[0], f"{form} at {path.decode()}")
    serve_the_next_caller(site, f"{form}, after all")


def test_open_connections_leave_descriptors_for_the_next_caller(site: Site) -> None:
    with contextlib.ExitStack() as opened:
        for port, path in addresses(site):
            for _ in range(CONNECTIONS_PER_ADDRESS):
                with contextlib.suppress(OSError):
                    sock = opened.enter_context(crowd.connect(port))
                    sock.sendall(b"GET " + path + b" HTTP/1.1\r\nHost: entry\r\n\r\n")
        crowd.assert_within_its_machine(site.entries[0], "connections open")
        serve_the_next_caller(site, "connections still open")


@pytest.mark.parametrize(
    "begun",
    [
        b"GET /",
        post(JOB_KEY, CHUNKED, path=b"/pool/00000000000000f0"),
        post(JOB_KEY, b"Content-Length: 90000", path=b"/pool/00000000000000f0"),
        post(JOB_KEY, b"Content-Length: 90000", path=b"/none").replace(
            b"Connection: close\r\n", b""
        ),
        b"",
    ],
    ids=["headers", "chunked", "body", "unwanted-body", "idle"],
)
def test_slow_clients_do_not_hold_all_threads(site: Site, begun: bytes) -> None:
    with contextlib.ExitStack() as opened:
        for _ in range(SLOW_CLIENTS):
            with contextlib.suppress(OSError):
                sock = opened.enter_context(crowd.connect(site.entries[0].port))
                sock.sendall(begun)
                if begun:
                    crowd.trickle(sock, SLOW_S)
        serve_the_next_caller(site, "slow clients")
