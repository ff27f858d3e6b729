"""Tests of fleet files: parsing, differences and repeated application."""

from __future__ import annotations

import re
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from amaranthtray.cli.difference import difference
from amaranthtray.cli.fleet_file import Fleet, load_fleet, parse_fleet
from amaranthtray.domain.configuration import Configuration
from amaranthtray.domain.placement.pool_assignment import desired_pool
from amaranthtray.settings import load

if TYPE_CHECKING:
    from collections.abc import Callable

    from click.testing import Result

    from cli import fake_admin

EXAMPLES = Path(__file__).parents[2] / "examples"
FLEET = """\
[[pools]]
name = "web"
selector = "pool=web"
budget = { max_out = 2 }
[[teams]]
name = "blue"
[[queues]]
name = "bookings"
pool = "web"
[host_labels]
h1 = { pool = "web" }
"""


@pytest.mark.parametrize(
    ("text", "where", "words"),
    [
        (FLEET + "h2 = 3\n", "f:10 host_labels", "Expected `object`"),
        (
            FLEET + '[[pools]]\nname="web"\nselector=""\n',
            "f:13 pools.1.name",
            "2 times",
        ),
        (FLEET + '[[teams]]\nname="x"\nsahre=1\n', "f:14 teams.1.sahre", "'share'"),
        (FLEET + "[[team]]\n", "f:12 team", "'teams'"),
        (FLEET.replace("max_out", "maxout"), "f:4 pools.0.budget", "'max_out'"),
        (FLEET.replace('"blue"', '"Blue"'), "f:6 teams.0.name", "regex"),
        (FLEET.replace("pool=web", "a in ("), "f:3 pools.0.selector", "expected"),
    ],
)
def test_problems_of_invalid_files_name_line_and_fix(
    text: str, where: str, words: str
) -> None:
    problem = parse_fleet(text, "f").failure()
    assert problem.where.startswith(where)
    assert words in f"{problem.what} {problem.fix}"


def test_applying_is_idempotent(
    run: Callable[[str], Result], fleet: fake_admin.FakeFleet, tmp_path: Path
) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(FLEET)
    shown = run(f"apply {file} --dry-run")
    assert re.search(
        r"change +pool web +budget: .*max_out=1 .* -> max_out=2", shown.output
    )
    assert re.search(r"create +team blue", shown.output)
    assert fleet.changes == []
    assert run(f"apply {file}").exit_code == 2
    assert "changed: 3" in run(f"apply {file} --yes").output
    assert "unchanged at revision 2" in run(f"apply {file} --yes").output
    assert len(fleet.ops) == 1


def test_objects_are_removed_only_with_prune(
    run: Callable[[str], Result], fleet: fake_admin.FakeFleet, tmp_path: Path
) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text('[[teams]]\nname = "blue"\n')
    run(f"apply {file} --yes")
    assert "red" in fleet.cfg.teams
    run(f"apply {file} --yes --prune --remove-all")
    assert list(fleet.cfg.teams) == ["blue"]
    assert fleet.cfg.pools == {}
    kinds = [change["type"] for change in fleet.changes]
    assert kinds == ["PutTeam", "RemoveQueue", "RemoveTeam", "RemovePool"]


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", ["all pools (web)", "all teams (red)", "all queues (bookings)"]),
        ('[[teams]]\nname = "blue"\n', ["all teams (red)"]),
        ('[[teams]]\nname = "red"\n', ["all pools (web)", "all queues (bookings)"]),
    ],
)
def test_pruning_does_not_remove_all_pools_teams_or_queues_by_mistake(
    run: Callable[[str], Result],
    fleet: fake_admin.FakeFleet,
    tmp_path: Path,
    text: str,
    words: list[str],
) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(text)
    refused = run(f"apply {file} --yes --prune")
    assert refused.exit_code == 2
    assert all(word in refused.output for word in words)
    assert "--remove-all" in refused.output
    assert fleet.changes == []
    assert run(f"apply {file} --prune --dry-run").exit_code == 0


def test_check_of_a_file_that_declares_nothing_fails(
    run: Callable[[str], Result], tmp_path: Path
) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text("")
    checked = run(f"check {file}")
    assert checked.exit_code == 2
    assert "declares nothing" in checked.output
    file.write_text(FLEET)
    assert run(f"check {file}").exit_code == 0


def test_pruning_never_touches_the_spare_pool() -> None:
    wanted = parse_fleet("[host_labels]\n").unwrap()
    spare = parse_fleet('[[pools]]\nname = "spare"\nselector = ""\n').unwrap()
    cfg = Configuration(pools=spare.pools)
    assert difference(cfg, wanted, prune=True) == []


@pytest.mark.parametrize(
    ("site", "zones", "workers"), [("kominar", 3, 6), ("crannog", 4, 8)]
)
def test_the_examples_have_the_sizes_of_the_sites(
    site: str, zones: int, workers: int
) -> None:
    files = sorted((EXAMPLES / site).glob("entry-*.toml"))
    found = [load(file, {}).unwrap().entry for file in files]
    assert len({entry.zone for entry in found}) == zones
    assert len({entry.region for entry in found}) == 1
    fleet = load_fleet(str(EXAMPLES / site / "fleet.toml"))
    assert len(fleet.pools) == 4  # and the spare pool
    assert len(fleet.teams) == 6
    assert pool_sizes(fleet) == dict.fromkeys(fleet.pools, workers)
    assert {queue.pool for queue in fleet.queues.values()} == set(fleet.pools)


def pool_sizes(fleet: Fleet) -> dict[str, int]:
    """Returns the number of labelled hosts in each pool."""
    labels = fleet.host_labels.values()
    return dict(Counter(desired_pool(item, fleet.pools) for item in labels))


def test_check_exits_0_or_2(run: Callable[[str], Result], tmp_path: Path) -> None:
    assert run(f"check {EXAMPLES}/kominar/fleet.toml").exit_code == 0
    assert run(f"check {EXAMPLES}/kominar/entry-sk-west-1a.toml").exit_code == 0
    file = tmp_path / "faulty.toml"
    file.write_text("[entry]\nidd = 3\n")
    result = run(f"check {file}")
    assert result.exit_code == 2
    assert "did you mean 'id'" in result.stderr
    assert "faulty.toml:2" in result.stderr
    assert run("check /nowhere.toml").exit_code == 2
