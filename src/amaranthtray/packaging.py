"""Builds the one executable file from what is installed: ``dist/amaranthtray``.

Run it where the source tree and the locked libraries are: it copies both into a
staging folder and packs that with shiv. Nothing is downloaded.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import tomllib
from importlib import metadata
from pathlib import Path

import click

PACKAGE = Path(__file__).parent
PROJECT_FILE = PACKAGE.parents[1] / "pyproject.toml"
ENTRY_POINT = "amaranthtray.cli.main:main"
FILE_MODE = 0o644

EXCLUDED = {
    "pbr": "used by hdrhistogram only to install it",
    "pygments": "used by rich only to colour source code",
    "setuptools": "used only to install others",
    "typer-slim": "used by jaraco.text only for its own command line",
    "tzdata": "time zones are never named",
}
"""Distributions left out of the file, and why nothing misses them."""

SKIPPED_FOLDERS = frozenset({"__pycache__", "test", "tests", "bin"})


@click.command()
@click.argument("target", type=click.Path(dir_okay=False, path_type=Path))
def build(target: Path) -> None:
    """Packs this package and its libraries into TARGET."""
    with tempfile.TemporaryDirectory() as folder:
        stage = Path(folder)
        for name in sorted(closure(declared())):
            copy_distribution(name, stage)
        copy_package(stage / PACKAGE.name)
        target.parent.mkdir(parents=True, exist_ok=True)
        pack(stage, target)
    click.echo(f"{target}: {target.stat().st_size:,} bytes")


def declared() -> list[str]:
    """Returns the requirements that the project file declares."""
    project = tomllib.loads(PROJECT_FILE.read_text(encoding="utf-8"))
    requirements: list[str] = project["project"]["dependencies"]
    return requirements


def closure(requirements: list[str]) -> set[str]:
    """Returns the distributions that ``requirements`` need, directly or not."""
    from packaging.requirements import Requirement

    found: set[str] = set()
    waiting = [Requirement(text) for text in requirements]
    while waiting:
        item = waiting.pop()
        name = item.name.lower().replace("_", "-")
        applies = item.marker is None or item.marker.evaluate({"extra": ""})
        if not applies or name in found or name in EXCLUDED:
            continue
        found.add(name)
        needs = metadata.requires(name) or []
        waiting += [Requirement(text) for text in needs]
    return found


def copy_distribution(name: str, stage: Path) -> None:
    """Copies the installed files of a distribution, without tests and scripts."""
    for file in metadata.files(name) or []:
        parts = set(file.parts)
        source = Path(str(file.locate()))
        if ".." in parts or parts & SKIPPED_FOLDERS or not source.is_file():
            continue
        _copy_file(source, stage / file)


def copy_package(stage: Path) -> None:
    """Copies this package's own source."""
    for source in PACKAGE.rglob("*"):
        if source.is_file() and "__pycache__" not in source.parts:
            _copy_file(source, stage / source.relative_to(PACKAGE))


def pack(stage: Path, target: Path) -> None:
    """Packs a staging folder into one executable file, the same for the same input."""
    from shiv.cli import main as shiv  # type: ignore[import-untyped]

    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    shiv(
        [
            f"--site-packages={stage}",
            f"--entry-point={ENTRY_POINT}",
            f"--output-file={target}",
            f"--python=/usr/bin/env python{version}",
            "--compressed",
            "--reproducible",
        ],
        standalone_mode=False,
    )


def _copy_file(source: Path, target: Path) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, target)
    target.chmod(FILE_MODE)


if __name__ == "__main__":
    build()
