"""Command classes, options and parameter types shared by several commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

from .output import OutputFormat
from .session import Session

if TYPE_CHECKING:
    from collections.abc import Iterable


def _set_output(ctx: click.Context, param: click.Parameter, value: str | None) -> None:
    if value:
        ctx.ensure_object(Session).output = OutputFormat(value)


class CommandWithOutput(click.Command):
    """Command that accepts ``--output`` after its own name as well."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        option = click.Option(
            ["--output", "-o"],
            type=click.Choice([form.value for form in OutputFormat]),
            help="Format of the result.",
            expose_value=False,
            callback=_set_output,
        )
        self.params.append(option)


class GroupWithOutput(click.Group):
    """Group whose commands accept ``--output`` after their names."""

    command_class = CommandWithOutput


yes_option = click.option(
    "--yes", is_flag=True, help="Skip the preview and the confirmation."
)


class LabelType(click.ParamType[tuple[str, str]]):
    """Parameter type of a label, written ``name=value``."""

    name = "label"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, str]:
        """Returns the name and the value of the label."""
        if isinstance(value, tuple):
            return value
        name, equals, content = str(value).partition("=")
        if not name or not equals:
            self.fail(f"{value!r} is not a label; write name=value", param, ctx)
        return name, content


LABEL_TYPE = LabelType()


def label_map(labels: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Returns labels as a dictionary; the last value of a name wins."""
    return dict(labels)
