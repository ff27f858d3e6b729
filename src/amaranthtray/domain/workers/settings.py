"""Bounds of the worker book."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Bounds on how hosts are judged and shared.

    Attributes:
        eject_after: Distinct requests that must fail in a row before ejection.
        window: Latest results that the failure ratio looks at.
        eject_ratio: Part of a full window that must fail before ejection.
        max_ejected_share: Largest part of a pool that may be ejected at once.
        ejection_first_ms: Time out after a first ejection; it doubles each time.
        ejection_cap_ms: Longest time out.
        probe_patience_ms: Time after which a host that got no probe comes back
            with one slot.
        leaving_ms: Time for which a host that refused as leaving gets no work.
        decay_ms: Time in which one of the slots that others hold is assumed to
            be free again; it doubles with each refusal in a row.
        decay_cap_ms: Longest such time.
        patient_trust_ms: Time for which patient work tries no slot that others
            held; it must not race urgent work of other entries.
    """

    eject_after: int = 5
    window: int = 20
    eject_ratio: float = 0.6
    max_ejected_share: float = 0.34
    ejection_first_ms: int = 5_000
    ejection_cap_ms: int = 120_000
    probe_patience_ms: int = 20_000
    leaving_ms: int = 60_000
    decay_ms: int = 250
    decay_cap_ms: int = 4_000
    patient_trust_ms: int = 5_000


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Worker leases of tasks.

    Attributes:
        ttl_ms: Time to live granted at the start and at each renewal.
        renew_every_ms: Pause between the renewals to one host.
        call_ms: Longest time of one renewal or start call; the caller enforces it.
        margin_ms: Slack for clock rates and for the host to stop a lapsed task.
    """

    ttl_ms: int = 15_000
    renew_every_ms: int = 5_000
    call_ms: int = 2_000
    margin_ms: int = 1_000
