"""Options, arguments and classes that several commands share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

from .output import Output
from .session import Session

if TYPE_CHECKING:
    from collections.abc import Iterable


def _set_output(ctx: click.Context, param: click.Parameter, value: str | None) -> None:
    if value:
        ctx.ensure_object(Session).output = Output(value)


class FleetCommand(click.Command):
    """A command that also takes ``--output`` after its own name."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        option = click.Option(
            ["--output", "-o"],
            type=click.Choice([form.value for form in Output]),
            help="Form of the result.",
            expose_value=False,
            callback=_set_output,
        )
        self.params.append(option)


class FleetGroup(click.Group):
    """A group of fleet commands."""

    command_class = FleetCommand


yes_option = click.option(
    "--yes", is_flag=True, help="Do it without a preview and a question."
)


class Labels(click.ParamType[tuple[str, str]]):
    """A label as ``name=value``."""

    name = "label"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, str]:
        """Returns the label's name and value."""
        if isinstance(value, tuple):
            return value
        name, equals, content = str(value).partition("=")
        if not name or not equals:
            self.fail(f"{value!r} is no label; write name=value", param, ctx)
        return name, content


LABEL = Labels()


def label_map(labels: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Returns labels as a map; the last value of a name wins."""
    return dict(labels)
