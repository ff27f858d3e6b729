"""Commands for pools."""

from __future__ import annotations

from dataclasses import asdict, replace

import click

from ..domain.configuration import Budget, Configuration, Pool, PutPool, RemovePool
from ..domain.ids import PoolName
from .errors import faulty
from .options import FleetGroup, yes_option
from .output import print_records
from .session import Session, pass_session


@click.group(cls=FleetGroup)
def pool() -> None:
    """Pools of hosts and their availability budgets."""


@pool.command("list")
@pass_session
def list_pools(session: Session) -> None:
    """Lists all pools."""
    cfg = session.configuration()
    print_records([_record(item) for item in cfg.pools.values()], session.output)


@pool.command("show")
@click.argument("name")
@pass_session
def show_pool(session: Session, name: str) -> None:
    """Shows one pool."""
    print_records([_record(find(session.configuration(), name))], session.output)


@pool.command("put")
@click.argument("name")
@click.option("--selector", help="Label selector of the hosts that belong here.")
@click.option("--priority", type=int, help="The lowest number that matches wins.")
@click.option("--max-out", type=click.IntRange(min=0), help="Hosts out at once.")
@click.option("--max-out-per-zone", type=click.IntRange(min=0))
@click.option("--max-out-per-rack", type=click.IntRange(min=0))
@yes_option
@pass_session
def put_pool(
    session: Session,
    name: str,
    selector: str | None,
    priority: int | None,
    max_out: int | None,
    max_out_per_zone: int | None,
    max_out_per_rack: int | None,
    yes: bool,
) -> None:
    """Creates a pool, or changes only the options given."""
    cfg = session.configuration()
    old = cfg.pools.get(PoolName(name)) or Pool(PoolName(name), selector or "")
    budget = Budget(
        _given(max_out, old.budget.max_out),
        _given(max_out_per_zone, old.budget.max_out_per_zone),
        _given(max_out_per_rack, old.budget.max_out_per_rack),
    )
    new = replace(
        old,
        selector=old.selector if selector is None else selector,
        priority=_given(priority, old.priority),
        budget=budget,
    )
    moves = (old.selector, old.priority) != (new.selector, new.priority)
    is_new = PoolName(name) not in cfg.pools
    harm = "Hosts that the selector claims will be drained and moved."
    committed = session.commit(
        [PutPool(new)],
        expected=cfg.revision,
        harm=harm if moves or is_new else "",
        yes=yes,
    )
    session.done(committed, pool=name)


@pool.command("remove")
@click.argument("name")
@yes_option
@pass_session
def remove_pool(session: Session, name: str, yes: bool) -> None:
    """Removes a pool that no queue uses and that has no hosts."""
    cfg = session.configuration()
    found = find(cfg, name)
    committed = session.commit(
        [RemovePool(found.name)],
        expected=cfg.revision,
        harm=f"Pool {name} will be gone.",
        yes=yes,
    )
    session.done(committed, pool=name)


def find(cfg: Configuration, name: str) -> Pool:
    """Returns the pool of that name.

    Raises:
        CliError: There is none.
    """
    found = cfg.pools.get(PoolName(name))
    if found is None:
        fix = "see `amaranthtray pool list`"
        raise faulty(f"no pool {name!r}", where="NAME", fix=fix)
    return found


def _given(value: int | None, old: int) -> int:
    return old if value is None else value


def _record(item: Pool) -> dict[str, object]:
    fields = asdict(item)
    return {**fields, **fields.pop("budget")}
