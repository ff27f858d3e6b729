"""Reads the files that ``config`` checks: fleet files and operators' documents.

The operator's document is decoded by the adapter of the platform, as entries do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from ..domain.configuration import Configuration
from ..platform.document_check import OperatorDocument, read_document
from ..settings import TomlDocument, read_text
from .errors import InvalidInputError
from .fleet_file import Fleet, parse_fleet

if TYPE_CHECKING:
    from returns.result import Result

    from ..domain.errors import Problem

STEP = "check"
GROUPS = {"pool": "pools", "team": "teams", "queue": "queues"}


@dataclass(frozen=True, slots=True)
class FleetText:
    """A fleet file and its text."""

    file: str
    text: str
    fleet: Fleet

    def locate(self, obj: str, key: str) -> str:
        """Returns the file, line and key of an object, given as ``kind/name``."""
        kind, _, name = obj.partition("/")
        group = GROUPS.get(kind)
        document = TomlDocument(self.text, self.file, STEP)
        if kind == "labels" and name in self.fleet.host_labels:
            return document.where(("host_labels", name))
        if group is None:
            return self.file
        tables = document.parse().unwrap().get(group, [])
        index = next((i for i, t in enumerate(tables) if t["name"] == name), None)
        if index is None:
            return self.file
        is_set = key in tables[index]
        return document.where((group, index, key if is_set else "name"))


@dataclass(frozen=True, slots=True)
class CatalogText:
    """A file with an operator's document."""

    file: str
    document: OperatorDocument

    def locate(self, obj: str, key: str) -> str:
        """Returns the file, line and key of an object, given as ``kind/name``."""
        kind, _, name = obj.partition("/")
        place = self.document.locate(kind, name, key)
        return f"{self.file}:{place}" if place else self.file


def read_file(path: str) -> Result[FleetText | CatalogText, Problem]:
    """Reads a file; one that begins with ``{`` is an operator's document.

    Raises:
        CliError: The file cannot be read.
    """
    read = read_text(path, step=STEP)
    if not is_successful(read):
        raise InvalidInputError(read.failure())
    text = read.unwrap()
    if not text.lstrip().startswith("{"):
        return parse_fleet(text, path).map(lambda fleet: FleetText(path, text, fleet))
    return read_document(text, path).map(lambda document: CatalogText(path, document))


def fleet_configuration(fleet: Fleet) -> Configuration:
    """Returns the configuration that a fleet file describes on its own."""
    return Configuration(
        pools=fleet.pools,
        teams=fleet.teams,
        queues=fleet.queues,
        host_labels=fleet.host_labels,
    )
