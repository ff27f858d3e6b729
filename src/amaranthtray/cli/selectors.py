"""Commands for the selectors of pools and queues."""

from __future__ import annotations

from dataclasses import replace

import click

from ..domain.configuration import Change, Configuration, PutPool, PutQueue
from .options import GroupWithOutput, yes_option
from .output import print_records
from .pools import find as find_pool
from .queues import find as find_queue
from .session import Session, pass_session

POOL = "pool"
QUEUE = "queue"
KIND_TYPE = click.Choice([POOL, QUEUE])
WARNING = "Hosts that move are drained; teams that no longer match are refused."


@click.group(cls=GroupWithOutput)
def selector() -> None:
    """Selectors: the hosts that belong to a pool, the teams that may use a queue."""


@selector.command("list")
@pass_session
def list_selectors(session: Session) -> None:
    """Lists the selectors of pools, queues and waves."""
    cfg = session.configuration()
    groups = (
        (POOL, cfg.pools.values()),
        (QUEUE, cfg.queues.values()),
        ("wave", cfg.waves.values()),
    )
    records = [
        {"kind": kind, "name": item.name, "selector": item.selector}
        for kind, items in groups
        for item in items
    ]
    print_records(records, session.output)


@selector.command("set")
@click.argument("kind", type=KIND_TYPE)
@click.argument("name")
@click.argument("text", metavar="SELECTOR")
@yes_option
@pass_session
def set_selector(session: Session, kind: str, name: str, text: str, yes: bool) -> None:
    """Sets a selector, after a preview of the hosts that would move."""
    cfg = session.configuration()
    change = _change(cfg, kind, name, text)
    committed = session.commit(
        [change], expected=cfg.revision, warning=WARNING, yes=yes
    )
    session.print_committed(committed, **{kind: name})


@selector.command("preview")
@click.argument("kind", type=KIND_TYPE)
@click.argument("name")
@click.argument("text", metavar="SELECTOR")
@pass_session
def preview_selector(session: Session, kind: str, name: str, text: str) -> None:
    """Prints the hosts that a selector would move, without changing anything."""
    cfg = session.configuration()
    session.preview([_change(cfg, kind, name, text)])


def _change(cfg: Configuration, kind: str, name: str, text: str) -> Change:
    if kind == POOL:
        return PutPool(replace(find_pool(cfg, name), selector=text))
    return PutQueue(replace(find_queue(cfg, name), selector=text))
