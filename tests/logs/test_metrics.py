"""Tests of the metric definitions, their page and the statsd client."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from amaranthtray.metrics import Metric, Metrics, markdown_table
from amaranthtray.settings import Settings, loads

PAGE = Path(__file__).parents[2] / "docs" / "METRICS.md"
SETTINGS = """\
[entry]
id = "e.1"
zone = "z1"
region = "r1"
address = "127.0.0.1"
[platform]
endpoints = ["http://127.0.0.1:2379"]
[metrics]
host = "{host}"
port = {port}
"""


def settings(host: str, port: int) -> Settings:
    return loads(SETTINGS.format(host=host, port=port), {}).unwrap()


def test_the_page_lists_every_metric_with_its_unit() -> None:
    assert markdown_table() in PAGE.read_text(encoding="utf-8")


def test_names_are_unique() -> None:
    names = [metric.value.name for metric in Metric]
    assert len(set(names)) == len(names)


def test_counters_are_summed_and_sent_once() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        metrics = Metrics(settings("127.0.0.1", server.getsockname()[1]))
        for _ in range(1_000):
            metrics.count(Metric.REQUESTS_ACCEPTED)
        metrics.count(Metric.REQUESTS_NOT_RUN, suffix="queue_full")
        metrics.gauge(Metric.SLOTS_IN_USE, 3)
        metrics.timing(Metric.STORE_LATENCY, 2.5)
        metrics.flush()
        lines = server.recv(2_000).decode().splitlines()
        metrics.count(Metric.REQUESTS_ACCEPTED)
        metrics.flush()
        later = server.recv(2_000).decode().splitlines()
    start = "amaranthtray.z1.e_1."
    assert f"{start}requests.accepted:1000|c" in lines
    assert later == [f"{start}requests.accepted:1|c"]
    assert f"{start}requests.not_run.queue_full:1|c" in lines
    assert f"{start}slots.in_use:3|g" in lines
    assert any(line.startswith(f"{start}store.latency:2.5") for line in lines)


def test_no_name_is_resolved_after_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    metrics = Metrics(settings("127.0.0.1", 9))
    monkeypatch.setattr(socket, "getaddrinfo", pytest.fail)
    for _ in range(3):
        metrics.count(Metric.REQUESTS_ACCEPTED)
        metrics.flush()
    assert metrics.totals() == {"requests.accepted": 3}


def test_totals_are_kept_while_metrics_are_turned_off() -> None:
    metrics = Metrics(settings("", 8125))
    metrics.count(Metric.KEYS_REFUSED, 2)
    metrics.timing(Metric.STORE_LATENCY, 1)
    metrics.flush()
    assert metrics.totals() == {"keys.refused": 2}


@pytest.mark.parametrize(
    ("metric", "suffix"),
    [
        (Metric.SLOTS_IN_USE, ""),
        (Metric.REQUESTS_NOT_RUN, ""),
        (Metric.REQUESTS_NOT_RUN, "tired"),
        (Metric.REQUESTS_ACCEPTED, "x"),
    ],
)
def test_wrong_use_is_refused(metric: Metric, suffix: str) -> None:
    with pytest.raises(ValueError, match=metric.value.name):
        Metrics(settings("", 8125)).count(metric, suffix=suffix)
