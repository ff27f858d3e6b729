"""Commands for queues."""

from __future__ import annotations

from dataclasses import asdict, replace

import click

from ..domain.configuration import (
    Configuration,
    Objective,
    PutQueue,
    Queue,
    RemoveQueue,
)
from ..domain.ids import PoolName, QueueName
from .errors import input_error
from .options import GroupWithOutput, yes_option
from .output import print_records
from .session import Session, pass_session


@click.group(cls=GroupWithOutput)
def queue() -> None:
    """Queues, to which callers submit work."""


@queue.command("list")
@pass_session
def list_queues(session: Session) -> None:
    """Lists all queues."""
    queues = session.configuration().queues.values()
    print_records([_to_record(item) for item in queues], session.output)


@queue.command("show")
@click.argument("name")
@pass_session
def show_queue(session: Session, name: str) -> None:
    """Shows one queue."""
    print_records([_to_record(find(session.configuration(), name))], session.output)


@queue.command("put")
@click.argument("name")
@click.option("--pool", help="Pool whose hosts run the work; required for a new queue.")
@click.option(
    "--open/--keyed",
    "is_open",
    default=None,
    help="Accept work without a key, or require one.",
)
@click.option("--selector", help="Label selector of the teams that may use the queue.")
@click.option(
    "--target",
    type=click.FloatRange(0, 1, min_open=True, max_open=True),
    help="Service-level objective, as the fraction of good requests.",
)
@yes_option
@pass_session
def put_queue(
    session: Session,
    name: str,
    pool: str | None,
    is_open: bool | None,
    selector: str | None,
    target: float | None,
    yes: bool,
) -> None:
    """Creates a queue, or changes only the options given."""
    cfg = session.configuration()
    old = cfg.queues.get(QueueName(name))
    if old is None and pool is None:
        fix = "give --pool"
        raise input_error("a new queue needs a pool", where="--pool", fix=fix)
    base = old or Queue(QueueName(name), PoolName(pool or ""))
    new = replace(
        base,
        pool=base.pool if pool is None else PoolName(pool),
        is_open=base.is_open if is_open is None else is_open,
        selector=base.selector if selector is None else selector,
        objective=base.objective if target is None else Objective(target),
    )
    committed = session.commit(
        [PutQueue(new)], expected=cfg.revision, warning=_warning(old, new), yes=yes
    )
    session.print_committed(committed, queue=name)


@queue.command("remove")
@click.argument("name")
@yes_option
@pass_session
def remove_queue(session: Session, name: str, yes: bool) -> None:
    """Removes a queue; new work for it is refused from then on."""
    cfg = session.configuration()
    found = find(cfg, name)
    committed = session.commit(
        [RemoveQueue(found.name)],
        expected=cfg.revision,
        warning=f"Work for queue {name} is refused.",
        yes=yes,
    )
    session.print_committed(committed, queue=name)


def find(cfg: Configuration, name: str) -> Queue:
    """Returns the queue of that name.

    Raises:
        CliError: The queue does not exist.
    """
    found = cfg.queues.get(QueueName(name))
    if found is None:
        fix = "see `amaranthtray queue list`"
        raise input_error(f"no queue {name!r}", where="NAME", fix=fix)
    return found


def _warning(old: Queue | None, new: Queue) -> str:
    """Returns how the change affects callers, or ``""`` if it does not."""
    if old is None:
        return f"Anyone may submit to {new.name}." if new.is_open else ""
    if new.is_open and not old.is_open:
        return f"Anyone may submit to {new.name}."
    if old.is_open and not new.is_open:
        return f"Work for {new.name} without a key is refused."
    if old.selector != new.selector:
        return f"Teams that the selector leaves out are refused at {new.name}."
    if old.pool != new.pool:
        return f"Work for {new.name} goes to pool {new.pool}."
    return ""


def _to_record(item: Queue) -> dict[str, object]:
    fields = asdict(item)
    return {**fields, **fields.pop("objective")}
