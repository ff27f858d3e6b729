"""The command that evacuates a zone, and its status over several entries."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

import builders
from amaranthtray.domain.configuration import Configuration
from amaranthtray.domain.ids import HostId, Revision, ZoneId
from amaranthtray.entry.evacuation_view import EvacuationView, log_evacuations

if TYPE_CHECKING:
    from collections.abc import Callable

    from click.testing import Result

    from cli.fake_admin import FakeAdmin, FakeFleet

    Run = Callable[[str], Result]

Z1, Z2 = ZoneId("z1"), ZoneId("z2")
CFG = Configuration(revision=Revision(7), evacuations={Z1: Revision(5)})


def report(entry: str, revision: int, **running: int) -> dict[str, Any]:
    zone = {"zone": "z1", "since": 5, "hosts": ["h1"], "running": running}
    zone |= {"in_force": ["z1"], "not_in_force": ["z3"]}
    evacuations = [zone] if revision >= 5 else []
    return {"entry": entry, "revision": revision, "evacuations": evacuations}


def test_an_evacuation_and_its_end_are_sent_and_unreached_zones_are_named(
    run: Run, fleet: FakeFleet
) -> None:
    fleet.unreached = ["z2"]
    result = run("evacuate z1 --yes")
    assert result.exit_code == 0, result.output
    assert "in force: z1" in result.stdout
    assert "not confirmed by zone(s) z2" in result.stderr
    assert run("evacuate z1 --cancel --yes").exit_code == 0
    assert [change["type"] for change in fleet.changes] == [
        "EvacuateZone",
        "EndEvacuation",
    ]


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("evacuate z1", 2),
        ("evacuate --cancel --yes", 2),
        ("evacuate --all-zones --yes", 2),
        ("evacuate z1 --cancel --all-zones --yes", 2),
    ],
)
def test_an_unconfirmed_or_contradictory_command_sends_nothing(
    run: Run, fleet: FakeFleet, line: str, code: int
) -> None:
    assert run(line).exit_code == code
    assert not fleet.changes


def test_a_refusal_of_the_entry_is_shown_before_anything_is_sent(
    run: Run, fleet: FakeFleet
) -> None:
    fleet.problems = [
        {"step": "s", "peer": "p", "what": "unknown zone", "where": "w", "fix": "f"}
    ]
    assert run("evacuate z9").exit_code == 1
    assert not fleet.changes


def test_the_status_sums_running_requests_and_names_lagging_entries(
    run: Run, entries: tuple[FakeAdmin, FakeAdmin], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a zone shown as empty while an entry still sends work there."""
    replies = (report("e1", 7, h1=2, h2=1), report("e2", 4))
    for admin, reply in zip(entries, replies, strict=True):
        monkeypatch.setattr(admin, "handle", lambda path, body, r=reply: (200, r))
    data = json.loads(run("evacuate -o json").stdout)
    assert data["entries"] == ["e1", "e2"]
    (zone,) = data["evacuations"]
    assert (zone["running"], zone["since"], zone["hosts"]) == (3, 5, ["h1"])
    assert zone["lagging_entries"] == ["e2"]
    table = run("evacuate").output
    assert "3 (h1: 2, h2: 1)" in table
    assert "z3, entry e2" in table


def test_the_status_names_entries_that_did_not_answer(
    run: Run, fleet: FakeFleet, entries: tuple[FakeAdmin, FakeAdmin]
) -> None:
    fleet.reads["evacuations"] = report("e1", 4)
    entries[1].status = 503
    result = run("evacuate")
    assert result.exit_code == 0
    assert "no zone is evacuated" in result.stdout
    assert entries[1].url in result.stderr
    entries[0].status = 503
    assert run("evacuate").exit_code == 3


def test_an_entry_reports_hosts_running_requests_and_zones_in_force() -> None:
    hosts = [builders.host(1), builders.host(2), builders.host(1, zone="z2")]
    context: Any = SimpleNamespace(
        entry="e1",
        view=SimpleNamespace(current=CFG),
        hosts=SimpleNamespace(hosts=lambda: hosts),
    )
    view = EvacuationView(
        context, lambda zone: {HostId(f"{zone}-h1"): 2, HostId(f"{zone}-h2"): 0}
    )
    (zone,) = view.all({Z1: Revision(7), Z2: Revision(4)})["evacuations"]
    assert zone == {
        "zone": "z1",
        "since": 5,
        "hosts": ["z1-h1", "z1-h2"],
        "running": {"z1-h1": 2},
        "in_force": ["z1"],
        "not_in_force": ["z2"],
    }


def test_each_beginning_and_end_is_logged_once_with_the_age() -> None:
    lines: list[tuple[str, object]] = []
    observer: Any = SimpleNamespace(
        changed=lambda event, **fields: lines.append((event, fields["age_ms"]))
    )
    log_evacuations(observer, Configuration(), CFG, 9)
    log_evacuations(observer, CFG, CFG, 10)
    log_evacuations(observer, CFG, Configuration(), 11)
    assert lines == [("evacuation", 9), ("evacuation-ended", 11)]
