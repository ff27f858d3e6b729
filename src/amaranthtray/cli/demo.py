"""The ``demo`` command."""

from __future__ import annotations

import click


@click.command()
@click.pass_context
def demo(ctx: click.Context) -> None:
    """Runs a small fleet in this process, injects faults and counts the outcomes."""
    from ..demo.fleet import Fleet
    from ..demo.script import DemoScript

    fleet = Fleet()
    fleet.start()
    try:
        summary = DemoScript(fleet, click.echo).run()
    finally:
        fleet.stop()
    click.echo(str(summary))
    ctx.exit(0 if summary.is_good else 1)
