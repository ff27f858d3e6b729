"""Tests that the executable file runs, starts no process, writes only its cache."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest
from click.testing import CliRunner

from amaranthtray import __version__
from amaranthtray.entry.clock import now_ms
from amaranthtray.packaging import (
    EXCLUDED,
    build,
    declared_requirements,
    dependency_closure,
)
from amaranthtray.standins.platform import PlatformStandIn
from amaranthtray.store.memory import MemoryPlatform

EXAMPLES = Path(__file__).parents[2] / "examples"
PYTHON = str(Path(sys.base_prefix) / "bin" / "python3")
MAX_FILE_BYTES = 5_000_000
MAX_UNPACKED_BYTES = 16_000_000
TIMEOUT_S = 30

SETTINGS = """\
[entry]
id = "e1"
zone = "z1"
region = "r1"
address = "127.0.0.1"
caller_port = 0
admin_port = 0
peer_port = 0
threads = 8
patient_threads = 4
balancer_drain_ms = 0
[platform]
endpoints = ["{url}"]
"""

PROCESS_STARTED = 99
WROTE_ELSEWHERE = 98
AUDIT_HOOK = f"""
import os, sys
STARTS = ("subprocess.Popen", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn",
          "os.system")
WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT
def audit(event, args, allowed=os.environ["SHIV_ROOT"], end=os._exit):
    if event in STARTS:
        end({PROCESS_STARTED})
    if event == "open" and isinstance(args[0], str) and args[2] & WRITES:
        if not args[0].startswith((allowed, "/dev/null")):
            end({WROTE_ELSEWHERE})
sys.addaudithook(audit)
"""


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp("dist") / "amaranthtray"
    result = CliRunner().invoke(build, [str(target)], catch_exceptions=False)
    assert result.exit_code == 0
    return target


@pytest.fixture(scope="module")
def env(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    """A minimal environment in which Python exits if it starts a process or writes.

    Writes to the unpacking cache of the executable file are allowed.
    """
    hook_folder = tmp_path_factory.mktemp("audit-hook")
    (hook_folder / "sitecustomize.py").write_text(AUDIT_HOOK)
    cache = tmp_path_factory.mktemp("cache")
    return {
        "PYTHONPATH": str(hook_folder),
        "SHIV_ROOT": str(cache),
        "HOME": "/nonexistent",
    }


def run(
    binary: Path, env: dict[str, str], *args: str
) -> subprocess.CompletedProcess[str]:
    command = [PYTHON, str(binary), *args]
    return subprocess.run(
        command, env=env, cwd="/", capture_output=True, text=True, timeout=TIMEOUT_S
    )


def test_the_audit_hook_detects_processes_and_writes(
    env: dict[str, str], tmp_path: Path
) -> None:
    for code, expected in (
        ("import os; os.fork()", PROCESS_STARTED),
        ("import subprocess; subprocess.run(['true'])", PROCESS_STARTED),
        (f"open({str(tmp_path / 'x')!r}, 'w')", WROTE_ELSEWHERE),
    ):
        found = subprocess.run([PYTHON, "-c", code], env=env, timeout=TIMEOUT_S)
        assert found.returncode == expected


def test_it_runs_and_its_size_is_bounded(binary: Path, env: dict[str, str]) -> None:
    result = run(binary, env, "--version")
    assert (result.returncode, result.stderr) == (0, "")
    assert __version__ in result.stdout
    checked = run(binary, env, "check", str(EXAMPLES / "kominar" / "fleet.toml"))
    assert checked.returncode == 0, checked.stderr
    assert os.access(binary, os.X_OK)
    assert binary.stat().st_size < MAX_FILE_BYTES
    files = [path for path in Path(env["SHIV_ROOT"]).rglob("*") if path.is_file()]
    assert sum(path.stat().st_size for path in files) < MAX_UNPACKED_BYTES


def test_all_modules_import_without_excluded_distributions(
    binary: Path, env: dict[str, str]
) -> None:
    run(binary, env, "--version")
    (packages,) = Path(env["SHIV_ROOT"]).glob("*/site-packages")
    code = (
        "import importlib, pkgutil, amaranthtray, cbor2, hdrh.histogram, websockets\n"
        "import websockets.sync.server, websockets.sync.client, cherrypy\n"
        "for m in pkgutil.walk_packages(amaranthtray.__path__, 'amaranthtray.'):\n"
        "    if not m.name.endswith('__main__') and 'bench' not in m.name:\n"
        "        importlib.import_module(m.name)\n"
    )
    command = [PYTHON, "-S", "-c", code]
    found = subprocess.run(
        command,
        env={"PYTHONPATH": str(packages)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert found.returncode == 0, found.stderr


def test_a_running_command_has_no_children(binary: Path, env: dict[str, str]) -> None:
    request_received, children_checked = threading.Event(), threading.Event()

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            request_received.set()
            children_checked.wait(TIMEOUT_S)

        def log_message(self, *args: object) -> None:
            """Keeps the test output clean."""

    with HTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.handle_request).start()
        url = f"http://127.0.0.1:{server.server_port}"
        command = [PYTHON, str(binary), "--admin", url, "status"]
        with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as process:
            assert request_received.wait(TIMEOUT_S)
            children = children_of(process.pid)
            children_checked.set()
            process.communicate(timeout=TIMEOUT_S)
    assert children == []
    assert (
        process.returncode == 3
    )  # the fake entry closes the connection without a reply


def test_an_entry_starts_no_process_and_stops_on_sigterm(
    binary: Path, env: dict[str, str], tmp_path: Path
) -> None:
    platform = PlatformStandIn(
        MemoryPlatform(now_ms).client("test", blocking_watch=True)
    )
    platform.start()
    settings = tmp_path / "entry.toml"
    settings.write_text(SETTINGS.format(url=platform.url))
    command = [PYTHON, str(binary), "entry", "--settings", str(settings)]
    secret = {"AMARANTHTRAY_PEER_SECRET": "s" * 32}
    with subprocess.Popen(command, env=env | secret, cwd="/") as process:
        for _ in range(TIMEOUT_S * 10):
            if platform.calls >= 2 or process.poll() is not None:
                break
            time.sleep(0.1)
        children = children_of(process.pid)
        process.send_signal(signal.SIGTERM)
        code = process.wait(TIMEOUT_S)
    platform.stop()
    assert platform.calls >= 2
    assert children == []
    assert code == 0


def children_of(pid: int) -> list[int]:
    """Returns the ids of the processes whose parent is ``pid``."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(int(stat.parent.name))
    return found


def test_the_same_input_gives_the_same_file(binary: Path, tmp_path: Path) -> None:
    again = tmp_path / "again"
    CliRunner().invoke(build, [str(again)], catch_exceptions=False)
    assert again.read_bytes() == binary.read_bytes()


def test_excluded_distributions_are_not_in_the_closure() -> None:
    names = dependency_closure(declared_requirements())
    assert names.isdisjoint(EXCLUDED)
    assert {"cherrypy", "click", "msgspec", "returns", "websockets"} <= names
