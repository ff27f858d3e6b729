"""What keeps a start from being sent, checked right before each of its tries.

A start waits after its decision: until its record is stored, behind other orders to
its host, and between tries. What it was decided on may have changed meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_LIST_AGE_SHARE = 0.6
"""Part of the time limit for starts on leaving hosts that the list's age may take; an
order that gets no reply may still reach its host in the rest."""


class StartHindrance(StrEnum):
    """Why a start is not sent.

    Attributes:
        EVACUATED: The host's zone is evacuated.
        LEAVING: The host is leaving.
        UNLISTED: The list of hosts doesn't have the host.
        LIST_OUTDATED: The host may be leaving, as the list of hosts is too old.
    """

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    UNLISTED = "unlisted"
    LIST_OUTDATED = "list_outdated"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the list of hosts, as its entry knows it now.

    Attributes:
        is_listed: Whether the list has the host.
        is_leaving: Whether the host has said that it leaves.
        age_ms: Time since the list was certainly the newest; None if it was not read.
    """

    is_listed: bool
    is_leaving: bool
    age_ms: int | None


def start_hindrance(
    host: ListedHost, leaving_start_limit_ms: int
) -> StartHindrance | None:
    """Returns what keeps a start from being sent to a host; None if nothing does.

    Args:
        host: The host.
        leaving_start_limit_ms: Time after a host's report of leaving within which
            starts on it must end.
    """
    max_age_ms = leaving_start_limit_ms * MAX_LIST_AGE_SHARE
    if host.age_ms is None or host.age_ms > max_age_ms:
        return StartHindrance.LIST_OUTDATED
    if not host.is_listed:
        return StartHindrance.UNLISTED
    return StartHindrance.LEAVING if host.is_leaving else None
