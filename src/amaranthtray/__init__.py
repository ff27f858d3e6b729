"""Fleet manager that schedules callers' work and the maintenance of hosts."""

from __future__ import annotations

__version__ = "0.1.0"
