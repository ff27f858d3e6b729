"""Runs the command line with ``python -m amaranthtray``."""

from __future__ import annotations

from .cli import main

if __name__ == "__main__":
    main()
