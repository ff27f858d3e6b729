"""Findings about a configuration that is valid but cannot do what it says."""

from __future__ import annotations

from .catalog import TaskSize, catalog_differences, catalog_findings
from .findings import Finding, FindingKind
from .fleet import fleet_findings, lost_access

__all__ = [
    "Finding",
    "FindingKind",
    "TaskSize",
    "catalog_differences",
    "catalog_findings",
    "fleet_findings",
    "lost_access",
]
