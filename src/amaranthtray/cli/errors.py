"""Errors that end a command with an exit code and say how to correct the cause."""

from __future__ import annotations

from typing import IO, Any

import click

from ..domain.errors import Problem
from .exits import ExitCode


class CliError(click.ClickException):
    """Ends the command; prints what is wrong, where, and how to correct it.

    Attributes:
        problem: The problem to print.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the problem to standard error."""
        problem = self.problem
        click.echo(f"error: {problem.what}", err=True)
        click.echo(f"  step:  {problem.step} ({problem.peer})", err=True)
        click.echo(f"  where: {problem.where}", err=True)
        click.echo(f"  fix:   {problem.fix}", err=True)


class RefusedError(CliError):
    """The fleet refused the call."""

    exit_code = int(ExitCode.REFUSED)


class InvalidInputError(CliError):
    """The command line or a file is invalid."""

    exit_code = int(ExitCode.INVALID_INPUT)


class UnreachableError(CliError):
    """No entry or no store could be reached."""

    exit_code = int(ExitCode.UNREACHABLE)


def input_error(what: str, *, where: str, fix: str, step: str = "command") -> CliError:
    """Returns the error for invalid input on the command line."""
    return InvalidInputError(Problem(step, "command line", what, where, fix))
