"""Checks and differences of fleet files and of operators' documents."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from click.testing import CliRunner

import builders
from amaranthtray.cli import main
from amaranthtray.domain.ids import HostId, PoolName, TeamName

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from click.testing import Result

    from cli.fake_admin import FakeFleet

    Run = Callable[[str], Result]

FLEET = """\
[[pools]]
name = "web"
selector = "pool=web"
budget = { max_out = 0 }
[[teams]]
name = "red"
limit = 0
[[queues]]
name = "bookings"
pool = "nowhere"
selector = "kind=x"
[host_labels]
h9 = { pool = "web" }
"""
POOL_CHANGE = (
    "selector: pool=web -> kind=x;"
    " budget: max_out=1 max_out_per_rack=1 max_out_per_zone=1"
    " -> max_out=0 max_out_per_rack=1 max_out_per_zone=1"
)
DOCUMENT = """\
{
  "version": 3,
  "routes": [
    {"name": "r1", "host": "h", "prefix": "/a/", "service": "s1"},
    {"host": "h", "prefix": "/a/",
     "name": "r2", "service": "s9",
     "slowdownFactor": 0.5}
  ],
  "services": [{"name": "s1"}, {"name": "r2"}],
  "tenants": [
    {"name": "t1", "apiKeys": ["k1"], "weight": 0, "cap": {"cpu": 500}}
  ]
}
"""


def offline(tmp_path: Path, line: str, **files: str) -> tuple[int, list[Any]]:
    """Runs a command without an entry; returns its exit code and its findings."""
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    words = [str(tmp_path / word) if word in files else word for word in line.split()]
    result = CliRunner().invoke(main, ["config", *words, "-o", "json"])
    findings = json.loads(result.stdout)["findings"] if result.stdout else []
    return result.exit_code, findings


def places(findings: list[Any]) -> list[tuple[str, str]]:
    return [
        (found["finding"], found["where"].rpartition("/")[2].partition(":")[2])
        for found in findings
    ]


def test_a_fleet_file_is_checked_by_the_rules_of_entries(tmp_path: Path) -> None:
    code, findings = offline(tmp_path, "check f", f=FLEET)
    assert code == 1
    assert places(findings) == [
        ("error", "10 queues.0.pool"),
        ("never matches", "11 queues.0.selector"),
        ("contradiction", "7 teams.0.limit"),
        ("contradiction", "4 pools.0.budget"),
    ]
    assert all(found["fix"] for found in findings)


def test_pools_and_labels_are_checked_against_the_listed_hosts(
    run: Run, fleet: FakeFleet, tmp_path: Path
) -> None:
    (tmp_path / "f").write_text(FLEET)
    host = builders.host(labels={"pool": "db"})
    fleet.reads["hosts"] = {"hosts": [msgspec.to_builtins(host)]}
    result = run(f"config check {tmp_path / 'f'} -o json")
    found = places(json.loads(result.stdout)["findings"])
    assert ("never matches", "3 pools.0.selector") in found
    assert ("never matches", "13 host_labels.h9") in found


def test_an_operator_document_is_checked_with_lines_and_keys(tmp_path: Path) -> None:
    line = "check d --task 1000 0 0 --task-ms 500"
    code, findings = offline(tmp_path, line, d=DOCUMENT)
    assert code == 1
    assert places(findings) == [
        ("error", "6 routes.r2.service"),
        ("never matches", "5 routes.r2.prefix"),
        ("contradiction", "7 routes.r2.slowdownFactor"),
        ("never matches", "9 services.r2"),
        ("contradiction", "11 tenants.t1.weight"),
        ("contradiction", "11 tenants.t1.cap"),
    ]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("{", "1"),
        (DOCUMENT.replace('"weight": 0', '"weight": "x"'), "11"),
        (DOCUMENT.replace('"s9",', '"s9"'), "7"),
        (DOCUMENT.replace("500}}", '500}},\n    {"name": 2}'), "12"),
        ("[[pools]]\nname = 3\n", "2 pools.0.name"),
    ],
)
def test_an_invalid_file_is_a_finding_with_its_line(
    tmp_path: Path, text: str, line: str
) -> None:
    code, findings = offline(tmp_path, "check f", f=text)
    assert (code, places(findings)) == (1, [("error", line)])


def test_a_valid_file_has_no_findings_and_a_missing_one_is_unreadable(
    tmp_path: Path,
) -> None:
    valid = '{"version": 1, "services": [], "routes": []}'
    assert offline(tmp_path, "check d", d=valid) == (0, [])
    assert offline(tmp_path, "check none")[0] == 2
    assert offline(tmp_path, "diff d --against none", d=valid)[0] == 2
    assert offline(tmp_path, "diff d", d=valid)[0] == 2


def test_documents_differ_by_objects_routes_and_lost_keys(tmp_path: Path) -> None:
    """Guards against a key that is dropped or given to another team unnoticed."""
    new = DOCUMENT.replace("k1", "k2").replace('"s1"}', '"s2"}', 1)
    new = new.replace('"r2", "service"', '"r3", "service"')
    code, findings = offline(tmp_path, "diff new --against old", new=new, old=DOCUMENT)
    assert code == 1
    assert [(found["finding"], found["object"]) for found in findings] == [
        ("moves", "queue/r1"),
        ("removed", "queue/r2"),
        ("added", "queue/r3"),
        ("loses access", "team/t1"),
        ("loses access", "queue/r2"),
    ]
    assert offline(tmp_path, "diff d --against d", d=DOCUMENT) == (0, [])


def test_a_fleet_file_is_compared_with_the_configuration_in_force(
    run: Run, fleet: FakeFleet, tmp_path: Path
) -> None:
    key, _ = builders.key(1)
    blue = builders.team("blue")
    cfg = fleet.cfg
    fleet.cfg = replace(
        cfg,
        teams={**cfg.teams, TeamName("blue"): blue},
        keys={key.key_id: key},
        placement={HostId("z1-h1"): PoolName("web")},
    )
    host = builders.host(labels={"pool": "web", "kind": "db"})
    fleet.reads["hosts"] = {"hosts": [msgspec.to_builtins(host)]}
    text = FLEET.partition("[[queues]]")[0].replace("pool=web", "kind=x")
    (tmp_path / "f").write_text(text.replace("red", "green"))
    result = run(f"config diff {tmp_path / 'f'} -o json")
    assert result.exit_code == 1, result.output
    found = {
        (item["finding"], item["object"], item["what"])
        for item in json.loads(result.stdout)["findings"]
    }
    assert found >= {
        ("moves", "host/z1-h1", "web -> spare"),
        ("added", "team/green", "create"),
        ("changed", "pool/web", POOL_CHANGE),
        ("removed", "queue/bookings", "remove"),
        ("loses access", f"key/{key.key_id}", "the key of team red is withdrawn"),
        ("loses access", "team/blue", "can no longer use queue bookings"),
    }
