"""Tests of the command line against a real entry and the stand-in platform."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from amaranthtray.cli import main
from amaranthtray.domain.ids import Revision
from amaranthtray.domain.keys import mint_key
from amaranthtray.entry.clock import now_ms
from amaranthtray.entry.entry import Entry
from amaranthtray.settings import loads
from amaranthtray.standins.faults import Faults
from amaranthtray.standins.platform import PlatformStandIn
from amaranthtray.store.memory import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from click.testing import Result

FLEET = Path(__file__).parents[2] / "examples" / "crannog" / "fleet.toml"
SETTINGS = """\
[entry]
id = "e1"
zone = "ie-east-1a"
region = "ie-east"
address = "127.0.0.1"
caller_port = 0
admin_port = 0
peer_port = 0
threads = 8
patient_threads = 4
[platform]
endpoints = ["{url}"]
[bootstrap]
operator_digest = "{digest}"
"""


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[str], Result]]:
    first = mint_key(Revision(0))
    store = MemoryPlatform(now_ms).client("test", blocking_watch=True)
    platform = PlatformStandIn(store)
    platform.start()
    text = SETTINGS.format(url=platform.url, digest=first.digest)
    entry = Entry(loads(text, {}).unwrap(), b"s" * 32)
    entry.start()
    url = f"http://127.0.0.1:{entry.ports.admin}"
    monkeypatch.setenv("AMARANTHTRAY_ADMIN", url)
    monkeypatch.setenv("AMARANTHTRAY_OPERATOR_KEY", first.text)
    yield lambda line: CliRunner().invoke(main, line.split())
    platform.fault_plan.set(
        Faults(cut=True)
    )  # ends open watches, so that stop() is fast
    for prefix in ("amaranthtray/", "hosts/"):
        store.create(f"{prefix}wake", b"")
    entry.stop(idle_timeout_s=0)
    platform.stop()


def test_apply_then_create_and_withdraw_a_key(
    run: Callable[[str], Result], monkeypatch: pytest.MonkeyPatch
) -> None:
    applied = run(f"apply {FLEET} --yes")
    assert applied.exit_code == 0, applied.output
    assert "unchanged at revision" in run(f"apply {FLEET} --yes").output
    created = json.loads(run("key create bakeries -o json").stdout)
    assert created["key_id"] in run("key list --team bakeries").output
    assert run(f"key withdraw {created['key_id']} --yes").exit_code == 0
    assert created["key_id"] not in run("key list").output
    refused = run("queue put tuning --pool nix --yes")
    assert refused.exit_code == 1
    assert "nix" in refused.stderr
    monkeypatch.setenv("AMARANTHTRAY_OPERATOR_KEY", created["key"])
    assert run("pool list").exit_code == 1
