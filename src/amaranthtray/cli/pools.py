"""Commands for pools."""

from __future__ import annotations

from dataclasses import asdict, replace

import click

from ..domain.configuration import Budget, Configuration, Pool, PutPool, RemovePool
from ..domain.ids import PoolName
from .errors import input_error
from .options import GroupWithOutput, yes_option
from .output import print_records
from .session import Session, pass_session


@click.group(cls=GroupWithOutput)
def pool() -> None:
    """Pools of hosts and their availability budgets."""


@pool.command("list")
@pass_session
def list_pools(session: Session) -> None:
    """Lists all pools."""
    cfg = session.configuration()
    print_records([_to_record(item) for item in cfg.pools.values()], session.output)


@pool.command("show")
@click.argument("name")
@pass_session
def show_pool(session: Session, name: str) -> None:
    """Shows one pool."""
    print_records([_to_record(find(session.configuration(), name))], session.output)


@pool.command("put")
@click.argument("name")
@click.option("--selector", help="Label selector of the hosts that belong to the pool.")
@click.option(
    "--priority",
    type=int,
    help="Of several pools that match a host, the lowest number wins.",
)
@click.option(
    "--max-out",
    type=click.IntRange(min=0),
    help="Maximum number of hosts out of service at once.",
)
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
        _value_or_old(max_out, old.budget.max_out),
        _value_or_old(max_out_per_zone, old.budget.max_out_per_zone),
        _value_or_old(max_out_per_rack, old.budget.max_out_per_rack),
    )
    new = replace(
        old,
        selector=old.selector if selector is None else selector,
        priority=_value_or_old(priority, old.priority),
        budget=budget,
    )
    moves = (old.selector, old.priority) != (new.selector, new.priority)
    is_new = PoolName(name) not in cfg.pools
    warning = "Hosts that match the selector will be drained and moved."
    committed = session.commit(
        [PutPool(new)],
        expected=cfg.revision,
        warning=warning if moves or is_new else "",
        yes=yes,
    )
    session.print_committed(committed, pool=name)


@pool.command("remove")
@click.argument("name")
@yes_option
@pass_session
def remove_pool(session: Session, name: str, yes: bool) -> None:
    """Removes a pool; it must have no hosts and no queue may use it."""
    cfg = session.configuration()
    found = find(cfg, name)
    committed = session.commit(
        [RemovePool(found.name)],
        expected=cfg.revision,
        warning=f"Pool {name} will be removed.",
        yes=yes,
    )
    session.print_committed(committed, pool=name)


def find(cfg: Configuration, name: str) -> Pool:
    """Returns the pool of that name.

    Raises:
        CliError: The pool does not exist.
    """
    found = cfg.pools.get(PoolName(name))
    if found is None:
        fix = "see `amaranthtray pool list`"
        raise input_error(f"no pool {name!r}", where="NAME", fix=fix)
    return found


def _value_or_old(value: int | None, old: int) -> int:
    return old if value is None else value


def _to_record(item: Pool) -> dict[str, object]:
    fields = asdict(item)
    return {**fields, **fields.pop("budget")}
