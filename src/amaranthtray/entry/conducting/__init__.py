"""Runs the pool conductors of an entry against the store and the hosts."""

from __future__ import annotations

from .conducting import ConductorContext, EntryConductors
from .ports import HostEvent, HostMonitor

__all__ = ["ConductorContext", "EntryConductors", "HostEvent", "HostMonitor"]
