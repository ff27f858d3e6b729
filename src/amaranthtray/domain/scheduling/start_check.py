"""What keeps a start from being sent, checked right before each of its tries.

A start waits after its decision: until its record is stored, behind other orders to
its host, and between tries. What it was decided on may have changed meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_AGE_SHARE = 0.6
"""Part of a time limit that the age of what a start depends on may take; an order that
gets no reply may still reach its host in the rest."""

MAX_ORDER_WAIT_MS = 2_000
"""Longest wait of a start behind others to its host, whose capacity may shrink
meanwhile; it is longer only where starts before it get no reply."""


class StartHindrance(StrEnum):
    """Why a start is not sent.

    Attributes:
        EVACUATED: The host's zone is evacuated.
        LEAVING: The host is leaving.
        UNLISTED: The list of hosts doesn't have the host.
        LIST_OUTDATED: The host may be leaving, as the list of hosts is too old.
        EVACUATIONS_OUTDATED: Its zone may be evacuated, as the requests were read too
            long ago.
        CANCELLATIONS_OUTDATED: The job may be cancelled, as the pool's jobs were read
            too long ago.
        DELAYED: The order has waited too long.
    """

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    UNLISTED = "unlisted"
    LIST_OUTDATED = "list_outdated"
    EVACUATIONS_OUTDATED = "evacuations_outdated"
    CANCELLATIONS_OUTDATED = "cancellations_outdated"
    DELAYED = "delayed"


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


@dataclass(frozen=True, slots=True, kw_only=True)
class StartLimits:
    """Times after an event within which starts that it forbids must end, in ms.

    Attributes:
        leaving_ms: After a host's report of leaving.
        evacuation_ms: After a request to evacuate the zone; None without evacuations.
        cancellation_ms: After the cancellation of the job.
    """

    leaving_ms: int
    evacuation_ms: int | None
    cancellation_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartInputs:
    """What a start depends on, as it is known right before the start is sent.

    Attributes:
        host: Its host.
        is_evacuated: Whether the host's zone is evacuated.
        evacuations_age_ms: Time since the evacuated zones were certainly known; None if
            they never were.
        cancellations_age_ms: The same of the cancellations of the pool's jobs.
        waited_ms: Time since the start was ordered.
    """

    host: ListedHost
    is_evacuated: bool
    evacuations_age_ms: int | None
    cancellations_age_ms: int | None
    waited_ms: int


def start_hindrance(inputs: StartInputs, limits: StartLimits) -> StartHindrance | None:
    """Returns what keeps a start from being sent; None if nothing does."""
    host = inputs.host
    if inputs.is_evacuated:
        return StartHindrance.EVACUATED
    if _is_outdated(host.age_ms, limits.leaving_ms):
        return StartHindrance.LIST_OUTDATED
    if not host.is_listed:
        return StartHindrance.UNLISTED
    if host.is_leaving:
        return StartHindrance.LEAVING
    if _is_outdated(inputs.evacuations_age_ms, limits.evacuation_ms):
        return StartHindrance.EVACUATIONS_OUTDATED
    if _is_outdated(inputs.cancellations_age_ms, limits.cancellation_ms):
        return StartHindrance.CANCELLATIONS_OUTDATED
    return StartHindrance.DELAYED if inputs.waited_ms > MAX_ORDER_WAIT_MS else None


def _is_outdated(age_ms: int | None, limit_ms: int | None) -> bool:
    if limit_ms is None:
        return False
    return age_ms is None or age_ms > limit_ms * MAX_AGE_SHARE
