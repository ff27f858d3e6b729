"""Tests of settings files, environment overrides and their problems."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.pipeline import is_successful

from amaranthtray.settings import Settings, load, loads, peer_secret

if TYPE_CHECKING:
    from pathlib import Path

    from amaranthtray.domain.errors import Problem

MINIMAL = """\
[entry]
id = "e1"
zone = "z1"
region = "r1"
address = "127.0.0.1"
caller_port = 0

[platform]
endpoints = ["http://127.0.0.1:2379"]
"""


def load_settings(text: str, **env: str) -> Settings:
    return loads(text, env).unwrap()


def load_problem(text: str, **env: str) -> Problem:
    return loads(text, env, name="e.toml").failure()


def test_missing_settings_get_defaults() -> None:
    settings = load_settings(MINIMAL)
    assert settings.entry.caller_port == 0
    assert settings.entry.threads == 128
    assert settings.requests.task_lease_ms == 10_000
    assert settings.platform.hosts.prefix == "hosts/"


@pytest.mark.parametrize(
    ("added", "where", "words"),
    [
        ("[logs]\nlevle = 'info'\n", "e.toml:11 logs.levle", "did you mean 'level'"),
        ("[metrix]\n", "e.toml:10 metrix", "did you mean 'metrics'"),
        ("[peers]\nsecret = 'x'\n", "e.toml:11 peers.secret", "'secret_file'"),
        ("[logs]\nqqq = 1\n", "e.toml:11 logs.qqq", "known names: format, level"),
        ("[platform.hosts]\nprefx = 'h'\n", "e.toml:11", "did you mean 'prefix'"),
        ("[logs]\nlevel = 'loud'\n", "e.toml:11 logs.level", "Invalid enum value"),
        ("[requests]\nmax_attempts = 0\n", "e.toml:11 requests", ">= 1"),
        ("[requests]\ntask_lease_ms = '9'\n", "e.toml:11 requests", "got `str`"),
        ("[requests]\nmax_deadline_ms = 9\n", "e.toml:10 requests", "exceeds"),
        ("[metrics]\nhost = 'stats.example'\n", "e.toml:10 metrics", "IPv4"),
        ("[bootstrap]\noperator_digest='12'\n", "e.toml:11 bootstrap", "regex"),
        ("[logs\n", "e.toml:10", "valid TOML"),
    ],
)
def test_invalid_files_are_refused_with_line_and_fix(
    added: str, where: str, words: str
) -> None:
    problem = load_problem(MINIMAL + added)
    assert problem.where.startswith(where)
    assert words in f"{problem.what} {problem.fix}"


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('address = "127.0.0.1"', 'address = "localhost"', "IPv4"),
        ('id = "e1"\n', "", "missing required field `id`"),
        ("caller_port = 0", "threads = 4\npatient_threads = 4", "lower than"),
        ("caller_port = 0", "caller_port = 8081", "ports are the same"),
        ('["http://127.0.0.1:2379"]', "[]", "length"),
        ("http://127", "ftp://127", "http URL"),
    ],
)
def test_values_are_checked(old: str, new: str, words: str) -> None:
    assert words in load_problem(MINIMAL.replace(old, new)).what


def test_the_environment_takes_precedence_over_the_file() -> None:
    settings = load_settings(
        MINIMAL,
        AMARANTHTRAY_ENTRY__THREADS="256",
        AMARANTHTRAY_PLATFORM__ENDPOINTS="http://10.0.0.1:1, http://10.0.0.2:1",
        AMARANTHTRAY_PLATFORM__HOSTS__PREFIX="h/",
        AMARANTHTRAY_LOGS__LEVEL="error",
        AMARANTHTRAY_OPERATOR_KEY="not a setting",
    )
    assert settings.entry.threads == 256
    assert settings.platform.endpoints == ["http://10.0.0.1:1", "http://10.0.0.2:1"]
    assert settings.platform.hosts.prefix == "h/"
    assert settings.logs.level == "error"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("AMARANTHTRAY_ENTRY__THREADS", "many"),
        ("AMARANTHTRAY_ENTRY__THREADS", "1"),
        ("AMARANTHTRAY_ENTRY__ID__X", "1"),
        ("AMARANTHTRAY_LOGS__LEVEL", "loud"),
    ],
)
def test_the_problem_of_an_invalid_override_names_its_variable(
    name: str, value: str
) -> None:
    assert load_problem(MINIMAL, **{name: value}).where == name


def test_an_unknown_override_is_refused() -> None:
    problem = load_problem(MINIMAL, AMARANTHTRAY_ENTRY__THREDS="9")
    assert "threads" in problem.fix
    assert problem.where == "AMARANTHTRAY_ENTRY__THREDS"


def test_a_missing_file_is_a_problem(tmp_path: Path) -> None:
    result = load(tmp_path / "none.toml", {})
    assert not is_successful(result)


def test_the_peer_secret_comes_from_environment_or_file(tmp_path: Path) -> None:
    file = tmp_path / "secret"
    file.write_bytes(b"s" * 32 + b"\n")
    settings = load_settings(MINIMAL + f"[peers]\nsecret_file = '{file}'\n")
    assert peer_secret(settings, {}).unwrap() == b"s" * 32
    env = {"AMARANTHTRAY_PEER_SECRET": "e" * 20}
    assert peer_secret(settings, env).unwrap() == b"e" * 20
    short = {"AMARANTHTRAY_PEER_SECRET": "e"}
    assert "too short" in peer_secret(settings, short).failure().what
    assert not is_successful(peer_secret(load_settings(MINIMAL), {}))
