"""Runs scenario files and prints a line for each outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from returns.result import Failure

from ..domain.errors import ProblemError
from .outcomes import judge
from .reading import load
from .steps import StepRunner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .outcomes import Verdict

EXIT_ALL_HOLD = 0
EXIT_DOES_NOT_HOLD = 1
EXIT_FAULTY = 2


def run_files(paths: Sequence[str]) -> int:
    """Runs scenarios and prints every verdict.

    Returns:
        0 if all outcomes hold, 1 if one does not, 2 if a file is faulty.
    """
    worst = EXIT_ALL_HOLD
    for path in paths:
        try:
            verdicts = run(path)
        except ProblemError as exc:
            click.echo(f"error: {exc.problem}", err=True)
            worst = EXIT_FAULTY
            continue
        for verdict in verdicts:
            click.echo(str(verdict))
        if not all(verdict.holds for verdict in verdicts):
            worst = max(worst, EXIT_DOES_NOT_HOLD)
    return worst


def run(path: str) -> list[Verdict]:
    """Runs one scenario.

    Raises:
        ProblemError: The file is faulty, or a step could take no effect.
    """
    read = load(path)
    if isinstance(read, Failure):
        raise ProblemError(read.failure())
    scenario = read.unwrap()
    runner = StepRunner(scenario)
    runner.run()
    return list(judge(scenario, runner.world))
