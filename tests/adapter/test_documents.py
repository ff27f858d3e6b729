"""Decoding of the platform's documents, valid and invalid."""

from __future__ import annotations

import json

import msgspec
import pytest

from amaranthtray.domain.jobs.model import Resources
from amaranthtray.platform.documents import (
    decode_configuration,
    decode_host,
    decode_wave,
    encode_wave_status,
)
from amaranthtray.platform.job_wire import decode_job
from amaranthtray.settings.job_entry import ClientsSection

HOST_ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "requestedMemoryMb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "machine": "m-1",
    "sequence": 4,
    "unknownField": [],
}
AMOUNTS = {"requestedMemoryMb": 1, "gpu": 0, "cpu": 1}
REQUIRED = sorted({*HOST_ENTRY} - {"machine", "unknownField"})
ROUTE = {
    "name": "r",
    "host": "h.example",
    "prefix": "/a/",
    "service": "huvo11a",
    "priority": 1,
    "maxAttempts": 3,
    "slowdownFactor": 1.6,
    "targetLatencyMs": 600,
    "advice": {"decideMs": 5, "perItemMs": 1, "validMs": 3000},
}


def encoded(value: object) -> bytes:
    return json.dumps(value).encode()


def test_a_host_is_decoded() -> None:
    decoded = decode_host("servers/i-7", encoded(HOST_ENTRY))
    assert decoded is not None
    pool, info = decoded
    assert pool == "huvo11a"
    assert (info.id, info.rack, info.machine) == ("i-7", "r1-3", "m-1")
    assert info.capacity == Resources(16000, 32768, 1)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        encoded({"service": "s"}),
        encoded(HOST_ENTRY | {"state": "sleeping"}),
        encoded(HOST_ENTRY | {"address": 7}),
        encoded(HOST_ENTRY | {"address": "nowhere"}),
        encoded(HOST_ENTRY | {"capacity": "large"}),
        encoded({key: HOST_ENTRY[key] for key in HOST_ENTRY if key != "service"}),
        b'{"unknownField":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        encoded(HOST_ENTRY | {"capacity": AMOUNTS | {"cpu": -1}}),
        encoded(HOST_ENTRY | {"capacity": AMOUNTS | {"cpu": 10**25}}),
        encoded(HOST_ENTRY | {"slots": "8"}),
    ],
)
def test_an_invalid_entry_names_no_host(data: bytes) -> None:
    assert decode_host("servers/x", data) is None


@pytest.mark.parametrize("number", [0, 1200, 1200.5, 1e3])
def test_numbers_of_a_host_may_have_a_fraction(number: float) -> None:
    """Guards against a host that counts as unusable for a field without a use."""
    entry = HOST_ENTRY | {"coldRemainingMs": number, "slots": number}
    assert decode_host("servers/x", encoded(entry)) is not None


@pytest.mark.parametrize("name", REQUIRED)
def test_an_entry_without_a_field_names_no_host(name: str) -> None:
    """Guards against orders to what another writer has left on the list."""
    entry = {key: HOST_ENTRY[key] for key in HOST_ENTRY if key != name}
    assert decode_host("servers/x", encoded(entry)) is None


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1 :80",
        "a b:80",
        "host.example:80",
        ":80",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        "10.0.0.1:\u0663",
        "10.0.0.1/x:80",
        "10.0.0.1\n:80",
    ],
)
def test_an_entry_with_a_faulty_address_names_no_host(address: str) -> None:
    """Guards against an address that no client can be made for."""
    assert decode_host("servers/x", encoded(HOST_ENTRY | {"address": address})) is None


def test_a_configuration_is_decoded() -> None:
    document = {
        "version": 7,
        "routes": [ROUTE, ROUTE | {"name": "longer", "prefix": "/a/b/"}],
        "services": [{"name": "huvo11a", "standby": True}],
        "tenants": [{"name": "t", "apiKeys": ["secret"], "cap": {"cpu": 5}}],
    }
    catalog = decode_configuration(encoded(document), 42)
    queue = catalog.route("h.example", "/a/b/0123")
    assert queue is not None
    assert (queue.name, queue.needs_advice, queue.max_attempts) == ("longer", True, 3)
    assert catalog.team_of_key("secret") == "t"
    assert catalog.team_of_key("other") is None
    assert "secret" not in repr(catalog)


def test_a_wave_is_decoded_and_its_status_encoded() -> None:
    wave = decode_wave(
        encoded({"wave": 3, "machines": ["m"], "durationS": 20, "cap": 1})
    )
    assert (wave.number, wave.duration_ms, wave.cap) == (3, 20_000, 1)
    key, value = encode_wave_status(3, is_over=True)
    assert key == "status/wave/3"
    assert json.loads(value)["state"] == "completed"


def test_a_job_is_decoded() -> None:
    body = {
        "spec": "x",
        "steps": [
            {"count": 4, "cpu": 500, "antiAffinity": 2, "mayMiss": 1},
            {"count": 2, "after": [0], "longRunning": True, "gang": True},
        ],
        "repeatCount": 3,
        "startAtMs": 1000,
        "intervalMs": 50,
    }
    job = decode_job(encoded(body), ClientsSection())
    assert job.steps[0].max_per_host == 2
    assert job.steps[1].after == (0,)
    assert job.recurrence is not None
    assert job.recurrence.count == 3


@pytest.mark.parametrize(
    ("body", "where"),
    [
        ({"steps": [{}]}, "spec"),
        ({"spec": "x", "steps": []}, "steps"),
        ({"spec": "x" * 4001, "steps": [{}]}, "spec"),
        ({"spec": "x", "steps": [{"count": -1}]}, "steps"),
        ({"spec": "x", "steps": [{"cpu": "much"}]}, "steps"),
        ({"spec": "x", "steps": [{"after": [0]}]}, "after"),
        ({"spec": "x", "steps": [{"count": 10_000}] * 3}, "tasks"),
        ({"spec": "x", "steps": [{}] * 11, "repeatCount": 1_000_000}, "repetitions"),
    ],
)
def test_an_invalid_job_is_refused_with_the_place(body: object, where: str) -> None:
    with pytest.raises(msgspec.ValidationError, match=where):
        decode_job(encoded(body), ClientsSection())


def test_a_job_that_is_nested_too_deeply_is_refused() -> None:
    with pytest.raises(msgspec.ValidationError, match="nested"):
        decode_job(b'{"x":' + b"[" * 100_000, ClientsSection())
