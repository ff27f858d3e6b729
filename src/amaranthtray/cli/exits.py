"""Exit codes of all commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of a command."""

    OK = 0
    REFUSED = 1
    """The fleet refused the call, or a stated outcome does not hold."""

    INVALID_INPUT = 2
    """The command line or a file is invalid; nothing was sent."""

    UNREACHABLE = 3
    """No entry or no platform store could be reached."""
