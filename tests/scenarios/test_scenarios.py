"""All scenarios hold, each kind of outcome can fail, and invalid files are rejected."""

from __future__ import annotations

from pathlib import Path

import pytest

from amaranthtray.scenarios.model import ACTIONS, EXPECTATIONS
from amaranthtray.scenarios.run import run, run_files

ROOT = Path(__file__).parents[2]
FILES = sorted((ROOT / "scenarios").glob("*.toml"))
KNOWN_RED = ROOT / "KNOWN-RED.txt"

HEAD = """
[site]
until_ms = 9000

[[pool]]
name = "web"
selector = "pool=web"

[[team]]
name = "red"
limit = 10

[[queue]]
name = "bookings"
pool = "web"

[[key]]
name = "red-key"
team = "red"
"""
CALLS = """
[[step]]
at_ms = 3000
do = "submit"
queue = "bookings"
key = "red-key"
id = "first"

[[step]]
at_ms = 3100
do = "submit"
queue = "bookings"
key = "red-key"
count = 9
"""
HOLDS = '[[outcome]]\nthat = "promises"\n'


def scenario_param(path: Path) -> object:
    """Returns a test parameter, marked as a strict xfail if KNOWN-RED.txt lists it."""
    is_red = KNOWN_RED.exists() and f"scenarios/{path.name}" in KNOWN_RED.read_text()
    marks = [pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt")] if is_red else []
    return pytest.param(path, id=path.stem, marks=marks)


@pytest.mark.parametrize("path", [scenario_param(path) for path in FILES])
def test_scenario_holds(path: Path) -> None:
    results = run(str(path))
    assert not [str(result) for result in results if not result.holds]


@pytest.mark.parametrize("name", ["fail-together-and-racing", "hold-upper-limit"])
def test_repeated_runs_have_the_same_results(name: str) -> None:
    path = str(ROOT / "scenarios" / f"{name}.toml")
    assert run(path) == run(path)


def test_each_scenario_begins_with_a_comment() -> None:
    assert not [path.name for path in FILES if not path.read_text().startswith("# ")]


def test_every_kind_of_step_and_outcome_is_used() -> None:
    text = "\n".join(path.read_text() for path in FILES)
    unused = [name for name in ACTIONS if f'do = "{name}"' not in text]
    unused += [name for name in EXPECTATIONS if f'that = "{name}"' not in text]
    assert unused == ["set_wave"]


def write(tmp_path: Path, text: str) -> str:
    path = tmp_path / "scenario.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("holds", "fails"),
    [
        (
            'that = "requests"\noutcome = "answered"\nexactly = 10',
            'that = "requests"\noutcome = "answered"\nexactly = 11',
        ),
        ('that = "runs"\nid = "first"\nat_least = 1', 'that = "runs"\nat_most = 9'),
        (
            'that = "sends"\nhost = "z1-h1"\nat_least = 1',
            'that = "sends"\nhost = "z1-h1"\nexactly = 0',
        ),
        (
            'that = "limit_used"\nteam = "red"\nat_least = 2',
            'that = "limit_used"\nteam = "red"\nat_most = 1',
        ),
        (
            'that = "in_force"\nzone = "z1"\nrevision = 2\nby_ms = 3000',
            'that = "in_force"\nzone = "z1"\nrevision = 3\nby_ms = 9000',
        ),
        (
            'that = "start_wait"\nat_most_ms = 5000',
            'that = "start_wait"\nat_most_ms = 0',
        ),
        (
            'that = "share"\nteam = "red"\npart = 1.0\nwithin = 0.1\nfrom_ms = 3000'
            "\nto_ms = 9000",
            'that = "share"\nteam = "red"\npart = 0.5\nwithin = 0.1\nfrom_ms = 3000'
            "\nto_ms = 9000",
        ),
        (
            'that = "placed"\nhost = "z1-h1"\npool = "web"',
            'that = "placed"\nhost = "z1-h1"\npool = "spare"',
        ),
        (
            'that = "wave_done"\nwave = "none"\nexactly = 0',
            'that = "wave_done"\nwave = "none"\nat_least = 1',
        ),
        (
            HOLDS.partition("\n")[2],
            'that = "key_refused"\nkey = "red-key"\nafter_ms = 0',
        ),
    ],
)
def test_each_outcome_can_hold_and_fail(
    tmp_path: Path, holds: str, fails: str, capsys: pytest.CaptureFixture[str]
) -> None:
    text = HEAD + CALLS
    assert run_files([write(tmp_path, f"{text}\n[[outcome]]\n{holds}\n")]) == 0
    capsys.readouterr()
    assert run_files([write(tmp_path, f"{text}\n[[outcome]]\n{fails}\n")]) == 1
    shown = capsys.readouterr().out.splitlines()
    failed = [line for line in shown if line.startswith("FAILS")]
    assert len(failed) == 1
    assert "scenario.toml:" in failed[0]


STEP_LINE = len(HEAD.splitlines()) + 1


@pytest.mark.parametrize(
    ("step", "message"),
    [
        ('do = "heal"\nsource = "z1"\ntarget = "platform"', "there is no such cut"),
        ('do = "cut"\nsource = "z9"\ntarget = "platform"', "unknown name 'z9'"),
        ('do = "kill_host"\nhost = "z1-h9"', "known hosts: z1-h1, z1-h2"),
        ('do = "kill_entry"\nentry = "z1-e9"', "no entry 'z1-e9'"),
        ('do = "resume_entry"\nentry = "z1-e1"', "does not allow it"),
        ('do = "restart_entry"\nentry = "z1-e1"', "does not allow it"),
        ('do = "revive_host"\nhost = "z1-h1"', "does not allow it"),
        ('do = "mend_host"\nhost = "z1-h1"', "does not allow it"),
        ('do = "store_up"', "the store is already in this state"),
        ('do = "cancel"\nqueue = "bookings"', "no request to the queue is in flight"),
        ('do = "lose_reply"\nhost = "z1-h1"', "no reply was lost"),
        ('do = "lose_reply"\nstore_of = "z1-e1"', "no reply was lost"),
        ('do = "lose_reply"', "needs either host or store_of"),
        ('do = "submit"\nqueue = "none"', "no queue 'none'"),
        ('do = "submit"\nqueue = "bookings"\nkey = "blue"', "no key 'blue'"),
        ('do = "commit"', "the commit has no changes"),
        ('do = "commit"\nwithdraw_key = "blue"', "no key 'blue'"),
        ('do = "commit"\nchanges = [{ type = "Nap" }]', "unknown type 'Nap'"),
        (
            'do = "commit"\nput_pool = { name = "other", selector = "pool=web" }',
            "the commit was refused",
        ),
        ('do = "nap"', "unknown do 'nap'"),
        ('do = "kill_hst"\nhost = "z1-h1"', "did you mean 'kill_host'"),
        ('do = "kill_host"\nhots = "z1-h1"', "did you mean 'host'"),
        ('do = "kill_host"', "missing required field"),
    ],
)
def test_steps_without_effect_are_errors_with_their_line(
    tmp_path: Path, step: str, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, f"{HEAD}[[step]]\nat_ms = 5000\n{step}\n{HOLDS}")
    assert run_files([path]) == 2
    shown = capsys.readouterr().err
    assert message in shown
    line = int(shown.split("scenario.toml:")[1].split()[0])
    assert STEP_LINE <= line <= STEP_LINE + 4


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (HEAD + CALLS, "no outcome is stated"),
        (HEAD + '[[outcome]]\nthat = "promise"\n', "did you mean 'promises'"),
        (HEAD.replace("limit = 10", "limt = 10") + HOLDS, "did you mean 'limit'"),
        (HEAD.replace("until_ms = 9000", "until_ms = 0") + HOLDS, ">= 1"),
        (HEAD.replace('team = "red"', 'team = "blue"') + HOLDS, "team"),
        (HEAD + "[[step]]\nat_ms = -1\ndo = 'store_up'\n" + HOLDS, "at_ms is -1"),
        (HEAD + CALLS.replace("3100", "10") + HOLDS, "10 ms comes after 3000 ms"),
        (HEAD + "[[step]\n", "Expected"),
    ],
)
def test_invalid_files_are_rejected(
    tmp_path: Path, text: str, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_files([write(tmp_path, text)]) == 2
    assert message in capsys.readouterr().err


def test_a_step_after_the_end_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    late = "[[step]]\nat_ms = 9000\ndo = 'store_down'\n"
    assert run_files([write(tmp_path, HEAD + late + HOLDS)]) == 2
    assert "after the end" in capsys.readouterr().err


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    assert run_files([str(tmp_path / "none.toml")]) == 2
