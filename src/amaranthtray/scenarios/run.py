"""Runs scenario files and prints a line for each outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from returns.result import Failure

from ..domain.errors import ProblemError
from .loader import load
from .outcomes import check_outcomes
from .steps import StepRunner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .outcomes import CheckResult

EXIT_ALL_HOLD = 0
EXIT_DOES_NOT_HOLD = 1
EXIT_INVALID = 2


def run_files(paths: Sequence[str]) -> int:
    """Runs scenarios and prints the result of each outcome.

    Returns:
        0 if all outcomes hold, 1 if one does not, 2 if a file is invalid.
    """
    worst = EXIT_ALL_HOLD
    for path in paths:
        try:
            results = run(path)
        except ProblemError as exc:
            click.echo(f"error: {exc.problem}", err=True)
            worst = EXIT_INVALID
            continue
        for result in results:
            click.echo(str(result))
        if not all(result.holds for result in results):
            worst = max(worst, EXIT_DOES_NOT_HOLD)
    return worst


def run(path: str) -> list[CheckResult]:
    """Runs one scenario.

    Raises:
        ProblemError: The file is invalid, or a step could have no effect.
    """
    read = load(path)
    if isinstance(read, Failure):
        raise ProblemError(read.failure())
    scenario = read.unwrap()
    runner = StepRunner(scenario)
    runner.run()
    return list(check_outcomes(scenario, runner.world))
