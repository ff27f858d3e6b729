"""Commands for hosts."""

from __future__ import annotations

from typing import Any

import click

from .errors import input_error
from .options import GroupWithOutput
from .output import print_records
from .session import Session, pass_session, unwrap


@click.group(cls=GroupWithOutput)
def host() -> None:
    """Hosts, with their pools and states."""


@host.command("list")
@click.option("--pool", help="Only hosts of this pool.")
@click.option("--zone", help="Only hosts of this availability zone.")
@pass_session
def list_hosts(session: Session, pool: str | None, zone: str | None) -> None:
    """Lists the hosts that the entry knows."""
    wanted = {"pool": pool, "zone": zone}
    records = [
        item
        for item in _hosts(session)
        if all(val in (None, item.get(key)) for key, val in wanted.items())
    ]
    print_records(records, session.output)


@host.command("show")
@click.argument("name")
@pass_session
def show_host(session: Session, name: str) -> None:
    """Shows one host."""
    records = [item for item in _hosts(session) if item.get("host_id") == name]
    if not records:
        fix = "see `amaranthtray host list`; the platform's host list is delayed"
        raise input_error(f"no host {name!r}", where="NAME", fix=fix)
    print_records(records, session.output)


def _hosts(session: Session) -> list[dict[str, Any]]:
    """Returns the hosts; the reply is a list or an object with key ``hosts``."""
    data = unwrap(session.client().read("hosts"))
    records = data.get("hosts", []) if isinstance(data, dict) else data
    return list(records)
