"""Exit codes of all commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command says by its exit code."""

    OK = 0
    REFUSED = 1
    """The fleet refused, or a stated outcome does not hold."""

    FAULTY_INPUT = 2
    """The command line or a file is faulty; nothing was sent."""

    UNREACHABLE = 3
    """No entry or no platform store could be reached."""
