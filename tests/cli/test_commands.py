"""Tests of commands against fake entries: what they send, print and refuse."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from amaranthtray import __version__
from amaranthtray.cli import main
from amaranthtray.cli.session import Session
from builders import configuration, team

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from click.testing import Result

    from cli.fake_admin import FakeAdmin, FakeFleet

    Run = Callable[[str], Result]


@pytest.mark.parametrize(
    ("line", "change"),
    [
        ("pool put web --max-out 3 --yes", {"type": "PutPool", "max_out": 3}),
        ("pool put new --selector a=b --yes", {"type": "PutPool", "selector": "a=b"}),
        ("pool remove web --yes", {"type": "RemovePool", "name": "web"}),
        ("team put red --label kind=x", {"type": "PutTeam", "kind": "x"}),
        ("team remove red --yes", {"type": "RemoveTeam", "name": "red"}),
        ("share set red 7", {"type": "PutTeam", "share": 7}),
        ("limit set red 200", {"type": "PutTeam", "limit": 200}),
        ("limit set red 2 --yes", {"type": "PutTeam", "limit": 2}),
        ("queue put bookings --target 0.5", {"type": "PutQueue", "target": 0.5}),
        ("queue put q --pool web", {"type": "PutQueue", "pool": "web"}),
        ("queue remove bookings --yes", {"type": "RemoveQueue", "name": "bookings"}),
        ("label set host h1 a=b --yes", {"type": "SetHostLabels", "a": "b"}),
        ("label set team red a=b --yes", {"type": "PutTeam", "a": "b"}),
        ("selector set pool web a=c --yes", {"type": "PutPool", "selector": "a=c"}),
        ("selector set queue bookings a --yes", {"type": "PutQueue", "selector": "a"}),
        ("wave start w --selector a --yes", {"type": "PutWave", "action": "reboot"}),
        ("operator add eva --role admin", {"type": "AddOperator", "role": "admin"}),
    ],
)
def test_a_command_sends_its_change(
    run: Run, fleet: FakeFleet, line: str, change: dict[str, object]
) -> None:
    result = run(line)
    assert result.exit_code == 0, result.output
    assert "committed: revision 2" in result.output
    assert change.items() <= flatten(fleet.changes[0]).items()


def test_put_keeps_fields_that_are_not_given(run: Run, fleet: FakeFleet) -> None:
    run("team put red --share 9")
    assert flatten(fleet.changes[0])["limit"] == 100


@pytest.mark.parametrize(
    "line",
    [
        "pool remove web",
        "pool put web --selector a=b",
        "team remove red",
        "limit set red 2",
        "queue remove bookings",
        "queue put bookings --open",
        "label set host h1 a=b",
        "selector set pool web a=c",
        "wave start w --selector a",
    ],
)
def test_disruptive_changes_are_previewed_and_need_yes(
    run: Run, fleet: FakeFleet, line: str
) -> None:
    fleet.moves = [{"host": "h7", "from": "web", "to": "spare"}]
    result = run(line)
    assert result.exit_code == 2
    assert "1 host(s) would move" in result.stderr
    assert "h7" in result.stderr
    assert "--yes" in result.stderr
    assert fleet.changes == []


def test_a_preview_with_problems_is_refused(run: Run, fleet: FakeFleet) -> None:
    ambiguous = {"step": "s", "peer": "p", "what": "ambiguous", "where": "w"}
    fleet.problems = [{**ambiguous, "fix": "f"}]
    result = run("selector preview pool web a=c")
    assert result.exit_code == 1
    assert "ambiguous" in result.stderr


def test_a_key_is_printed_once_and_only_its_digest_is_sent(
    run: Run, fleet: FakeFleet
) -> None:
    created = json.loads(run("key create red --output json").stdout)
    sent = flatten(fleet.changes[0])
    assert sent["digest"] == hashlib.sha256(created["key"].encode()).hexdigest()
    assert created["key"] not in json.dumps(fleet.changes)
    assert created["key"].startswith(f"{created['key_id']}.")
    listed = run("key list").output
    assert created["key_id"] in listed
    assert created["key"] not in listed


def test_rotation_keeps_the_old_key_by_default(run: Run, fleet: FakeFleet) -> None:
    old = json.loads(run("key create red -o json").stdout)["key_id"]
    run(f"key rotate {old}")
    assert old in fleet.cfg.keys
    assert run(f"key rotate {old} --withdraw-old").exit_code == 2
    assert run(f"key rotate {old} --withdraw-old --yes").exit_code == 0
    assert old not in fleet.cfg.keys
    assert len(fleet.cfg.keys) == 2


def test_a_withdrawal_names_the_zones_that_did_not_confirm(
    run: Run, fleet: FakeFleet
) -> None:
    key_id = json.loads(run("key create red -o json").stdout)["key_id"]
    fleet.unreached = ["z2"]
    result = run(f"key withdraw {key_id} --yes")
    assert result.exit_code == 0
    assert "in force: z1\n" in result.stdout
    assert "not confirmed by zone(s) z2" in result.stderr


def test_wave_states(run: Run, fleet: FakeFleet) -> None:
    run("wave start w --selector a --yes")
    assert run("wave start w --selector a --yes").exit_code == 2
    assert run("wave pause w").exit_code == 0
    assert run("wave resume w --yes").exit_code == 0
    assert run("wave abort w --yes").exit_code == 0
    assert fleet.cfg.waves["w"].state == "aborted"  # type: ignore[index]


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("pool show nix", "no pool 'nix'"),
        ("share set nix 1", "no team 'nix'"),
        ("queue put q", "a new queue needs a pool"),
        ("key withdraw nix --yes", "no key with this id"),
        ("--op-id x key create red", "cannot be printed a second time"),
        ("label set host h1 x", "write name=value"),
        ("label remove host h1 x --yes", "has no label 'x'"),
        ("wave pause nix", "no wave 'nix'"),
        ("pool put web --max-out -1", "not in the range"),
        ("frobnicate", "No such command"),
    ],
)
def test_invalid_input_exits_2(
    run: Run, fleet: FakeFleet, line: str, words: str
) -> None:
    result = run(line)
    assert result.exit_code == 2
    assert words in result.stderr
    assert fleet.changes == []


def test_reads_print_tables_or_json(run: Run, fleet: FakeFleet) -> None:
    hosts = [{"host_id": "[b]h1", "pool": "web"}, {"host_id": "h2", "pool": "spare"}]
    fleet.reads["hosts"] = {"hosts": hosts}
    fleet.reads["status"] = {"revision": 3, "entries": [{"entry": "e1", "zone": "z1"}]}
    fleet.reads["waves/w"] = {"done": 3, "left": 4}
    assert json.loads(run("host list --pool web -o json").stdout) == hosts[:1]
    assert "[b]h1" in run("host list").output
    assert run("host show h3").exit_code == 2
    assert "e1" in run("status").output
    assert json.loads(run("-o json wave show w").stdout)["left"] == 4


def test_status_shows_each_entry_and_which_did_not_answer(
    run: Run, fleet: FakeFleet, entries: tuple[FakeAdmin, FakeAdmin]
) -> None:
    fleet.reads["status"] = {"entry": "e1", "revision": 3}
    entries[1].status = 503
    result = run("status -o json")
    assert result.exit_code == 0
    first, second = json.loads(result.stdout)
    assert first == {"admin": entries[0].url, "entry": "e1", "revision": 3}
    assert "store is down" in second["error"]
    entries[0].status = 503
    assert run("status").exit_code == 3


def test_watch_prints_records(run: Run, fleet: FakeFleet) -> None:
    changes = [{"type": "PutPool"}, {"type": "PutTeam"}]
    record = {"revision": 5, "operator": "eva", "changes": changes}
    fleet.reads["watch"] = {"records": [record], "revision": 5}
    result = run("watch --count 2")
    assert result.output.splitlines() == ["revision 5 by eva: PutPool, PutTeam"] * 2


def test_a_lost_reply_is_resolved_at_the_next_entry(
    run: Run, fleet: FakeFleet, entries: tuple[FakeAdmin, FakeAdmin]
) -> None:
    entries[0].lose_replies = 1
    assert run("share set red 7").exit_code == 0
    assert len(fleet.changes) == 1


def test_an_unresolved_write_is_unknown_and_can_be_repeated(
    run: Run, fleet: FakeFleet, entries: tuple[FakeAdmin, FakeAdmin]
) -> None:
    for item in entries:
        item.lose_replies = 2
    result = run("share set red 7")
    assert result.exit_code == 3
    assert "may be in force" in result.stderr
    op_id = result.stderr.split("--op-id ")[1].split(";")[0]
    again = run(f"--op-id {op_id} share set red 7")
    assert "committed: revision 2" in again.output
    assert len(fleet.changes) == 1


def test_the_next_entry_is_tried_when_one_has_no_store(
    run: Run, entries: tuple[FakeAdmin, FakeAdmin]
) -> None:
    entries[0].status = 503
    assert run("pool list").exit_code == 0
    entries[1].status = 503
    result = run("pool list")
    assert result.exit_code == 3
    assert "store is down" in result.stderr


def test_a_refusal_is_final(run: Run, entries: tuple[FakeAdmin, FakeAdmin]) -> None:
    entries[0].status = 422
    assert run("pool list").exit_code == 1
    assert entries[1].calls == []


def test_a_stale_revision_is_a_conflict(
    run: Run, fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    stale = configuration(revision=0, teams=(team(),))
    monkeypatch.setattr(Session, "configuration", lambda self: stale)
    result = run("share set red 7")
    assert result.exit_code == 1
    assert "changed by eva in revision 9" in result.stderr
    assert fleet.changes == []


def test_an_unreachable_fleet_means_that_nothing_was_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv("AMARANTHTRAY_ADMIN", raising=False)
    result = CliRunner().invoke(main, ["--admin", "http://127.0.0.1:1", "team", "list"])
    assert result.exit_code == 3
    assert "nothing was changed" in result.stderr
    assert CliRunner().invoke(main, ["status"]).exit_code == 2


def test_the_operator_key_comes_from_a_file(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "key"
    file.write_text("wrong\n")
    monkeypatch.delenv("AMARANTHTRAY_OPERATOR_KEY")
    assert run(f"--key-file {file} pool list").exit_code == 1
    file.write_text("o1.operator-secret\n")
    assert run(f"--key-file {file} pool list").exit_code == 0
    assert run("--key-file /nowhere pool list").exit_code == 2


def test_burn_is_merged_over_entries_that_answer(
    run: Run, fleet: FakeFleet, entries: tuple[FakeAdmin, FakeAdmin], tmp_path: Path
) -> None:
    counts = [["bookings", "red", [[9, 1]] * 4]]
    snapshot = {"entry": "e1", "zone": "z1", "incarnation": "i", "held_ms": 60_000}
    fleet.reads["burn"] = {**snapshot, "series": counts}
    unreachable = {"entry": "e7", "admin_url": "http://127.0.0.1:1"}
    fleet.reads["status"] = {"entries": [unreachable]}
    page = tmp_path / "burn.html"
    result = run(f"report burn -o json --html {page}")
    assert result.exit_code == 0, result.output
    burn = json.loads(result.stdout)
    assert burn["services"][0]["counts"][0] == [9, 1]
    assert burn["answered"] == ["e1"]
    assert list(burn["unanswered"]) == ["e7 (http://127.0.0.1:1)"]
    assert "e7" in page.read_text()
    del fleet.reads["burn"]
    assert run("report burn").exit_code == 3


def test_version_completion_and_first_key(run: Run, tmp_path: Path) -> None:
    assert __version__ in run("--version").output
    assert "_AMARANTHTRAY_COMPLETE" in run("completion bash").output
    digest = run("operator first-key").output.split("operator_digest: ")[1].strip()
    assert len(digest) == 64


def flatten(data: dict[str, object]) -> dict[str, object]:
    """Returns the keys of ``data`` and of all nested dictionaries in one dictionary."""
    found: dict[str, object] = {}
    for key, value in data.items():
        if isinstance(value, dict):
            found.update(flatten(value))
        else:
            found[key] = value
    return found
