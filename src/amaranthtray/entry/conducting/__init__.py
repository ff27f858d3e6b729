"""The conductors of an entry: duties, ledgers, hosts and moves."""

from __future__ import annotations

from .conducting import Conducting, ConductingParts
from .ports import HostNews, HostPort

__all__ = ["Conducting", "ConductingParts", "HostNews", "HostPort"]
