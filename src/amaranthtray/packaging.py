"""Builds the single executable file, ``dist/amaranthtray``, from installed packages.

It runs in the source tree with the locked libraries installed: it copies both into
a staging folder and packs that with shiv. Nothing is downloaded.
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
    "pbr": "used only to install hdrhistogram",
    "pygments": "used by rich only to colour source code",
    "setuptools": "used only to install other packages",
    "typer-slim": "used by jaraco.text only for its own command line",
    "tzdata": "no time zone is looked up by name",
}
"""Distributions left out of the file, and why they are not needed."""

SKIPPED_FOLDERS = frozenset({"__pycache__", "test", "tests", "bin"})


@click.command()
@click.argument("target", type=click.Path(dir_okay=False, path_type=Path))
def build(target: Path) -> None:
    """Packs this package and its libraries into TARGET."""
    with tempfile.TemporaryDirectory() as folder:
        staging = Path(folder)
        for name in sorted(dependency_closure(declared_requirements())):
            copy_distribution(name, staging)
        copy_package(staging / PACKAGE.name)
        target.parent.mkdir(parents=True, exist_ok=True)
        pack(staging, target)
    click.echo(f"{target}: {target.stat().st_size:,} bytes")


def declared_requirements() -> list[str]:
    """Returns the dependencies declared in ``pyproject.toml``."""
    project = tomllib.loads(PROJECT_FILE.read_text(encoding="utf-8"))
    requirements: list[str] = project["project"]["dependencies"]
    return requirements


def dependency_closure(requirements: list[str]) -> set[str]:
    """Returns the names of all direct and transitive dependencies to package."""
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
        dependencies = metadata.requires(name) or []
        waiting += [Requirement(text) for text in dependencies]
    return found


def copy_distribution(name: str, staging: Path) -> None:
    """Copies the installed files of a distribution, without tests and scripts."""
    for file in metadata.files(name) or []:
        parts = set(file.parts)
        source = Path(str(file.locate()))
        if ".." in parts or parts & SKIPPED_FOLDERS or not source.is_file():
            continue
        _copy_file(source, staging / file)


def copy_package(staging: Path) -> None:
    """Copies the source of this package."""
    for source in PACKAGE.rglob("*"):
        if source.is_file() and "__pycache__" not in source.parts:
            _copy_file(source, staging / source.relative_to(PACKAGE))


def pack(staging: Path, target: Path) -> None:
    """Packs a staging folder into an executable file; the build is reproducible."""
    from shiv.cli import main as shiv  # type: ignore[import-untyped]

    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    shiv(
        [
            f"--site-packages={staging}",
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
