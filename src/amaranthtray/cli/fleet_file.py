"""Parser of the declarative fleet file that ``apply`` reads."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..domain.configuration import Budget, Objective, Pool, Queue, Team
from ..domain.errors import Problem
from ..domain.ids import HostId, PoolName, QueueName, TeamName
from ..domain.selectors import parse, parse_for_pool
from ..settings import TomlDocument, read_text
from .errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..settings.toml_document import KeyPath

STEP = "read-fleet"

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Count = Annotated[int, Meta(ge=0)]


class BudgetTable(Struct, frozen=True, kw_only=True):
    """Table ``budget`` of a pool."""

    max_out: Count = 1
    max_out_per_zone: Count = 1
    max_out_per_rack: Count = 1


class PoolTable(Struct, frozen=True, kw_only=True):
    """One ``[[pools]]`` table."""

    name: Name
    selector: str
    priority: int = 100
    budget: BudgetTable = BudgetTable()


class TeamTable(Struct, frozen=True, kw_only=True):
    """One ``[[teams]]`` table."""

    name: Name
    share: Annotated[int, Meta(ge=1)] = 1
    limit: Count = 1_000
    labels: dict[str, str] = {}
    cutoff_grace_ms: Count | None = None


class QueueTable(Struct, frozen=True, kw_only=True):
    """One ``[[queues]]`` table; ``target`` is the service-level objective."""

    name: Name
    pool: Name
    is_open: bool = False
    selector: str = ""
    target: Annotated[float, Meta(gt=0, lt=1)] = 0.999


class FleetTable(Struct, frozen=True, kw_only=True):
    """Model of the whole file."""

    pools: list[PoolTable] = []
    teams: list[TeamTable] = []
    queues: list[QueueTable] = []
    host_labels: dict[str, dict[str, str]] = {}


class Fleet(msgspec.Struct, frozen=True):
    """Objects that the file declares."""

    pools: dict[PoolName, Pool]
    teams: dict[TeamName, Team]
    queues: dict[QueueName, Queue]
    host_labels: dict[HostId, dict[str, str]]

    @property
    def is_empty(self) -> bool:
        """Returns whether the file declares nothing."""
        return not (self.pools or self.teams or self.queues or self.host_labels)


def load_fleet(path: str) -> Fleet:
    """Reads a fleet file.

    Raises:
        CliError: The file is invalid.
    """
    result = read_text(path, step=STEP).bind(lambda text: parse_fleet(text, path))
    if not is_successful(result):
        raise InvalidInputError(result.failure())
    return result.unwrap()


def parse_fleet(text: str, name: str = "fleet") -> Result[Fleet, Problem]:
    """Parses the text of a fleet file; ``name`` is the file name in problems."""
    document = TomlDocument(text, name, STEP)
    return (
        document.parse()
        .bind(lambda data: document.convert(data, FleetTable))
        .bind(lambda table: _validate(table, document))
    )


def _validate(table: FleetTable, document: TomlDocument) -> Result[Fleet, Problem]:
    for group, names in (
        ("pools", [item.name for item in table.pools]),
        ("teams", [item.name for item in table.teams]),
        ("queues", [item.name for item in table.queues]),
    ):
        name, count = next(iter(Counter(names).most_common(1)), ("", 0))
        if count > 1:
            second = names.index(name, names.index(name) + 1)
            where = document.where((group, second, "name"))
            what = f"{group} names {name!r} {count} times"
            return Failure(Problem(STEP, document.name, what, where, "name it once"))
    invalid = next(_invalid_selectors(table), None)
    if invalid:
        path, found = invalid
        where = f"{document.where(path)}, {found.where}"
        problem = Problem(STEP, document.name, found.what, where, found.fix)
        return Failure(problem)
    return Success(_build_fleet(table))


def _invalid_selectors(table: FleetTable) -> Iterator[tuple[KeyPath, Problem]]:
    """Yields the key path and the problem of each selector that does not parse."""
    groups = (
        ("pools", [item.selector for item in table.pools], parse_for_pool),
        ("queues", [item.selector for item in table.queues], parse),
    )
    for group, texts, read in groups:
        for index, text in enumerate(texts):
            result = read(text)
            if not is_successful(result):
                yield (group, index, "selector"), result.failure()


def _build_fleet(table: FleetTable) -> Fleet:
    return Fleet(
        pools={PoolName(item.name): _pool(item) for item in table.pools},
        teams={TeamName(item.name): _team(item) for item in table.teams},
        queues={QueueName(item.name): _queue(item) for item in table.queues},
        host_labels={HostId(key): val for key, val in table.host_labels.items()},
    )


def _pool(item: PoolTable) -> Pool:
    budget_table = item.budget
    budget = Budget(
        budget_table.max_out,
        budget_table.max_out_per_zone,
        budget_table.max_out_per_rack,
    )
    return Pool(PoolName(item.name), item.selector, item.priority, budget)


def _team(item: TeamTable) -> Team:
    return Team(
        TeamName(item.name),
        share=item.share,
        limit=item.limit,
        labels=item.labels,
        cutoff_grace_ms=item.cutoff_grace_ms,
    )


def _queue(item: QueueTable) -> Queue:
    return Queue(
        QueueName(item.name),
        PoolName(item.pool),
        is_open=item.is_open,
        selector=item.selector,
        objective=Objective(item.target),
    )
