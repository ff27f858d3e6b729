"""Settings of the worker registry and of task leases."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Limits for ejecting hosts and for sharing their slots between entries.

    Attributes:
        eject_after: Distinct requests that must fail in a row to eject a host.
        window: Number of latest results over which the failure ratio is computed.
        eject_ratio: Fraction of a full window that must fail to eject a host.
        max_ejected_share: Largest fraction of a pool that may be ejected at once.
        ejection_first_ms: Length of a first ejection; it doubles with each further
            ejection until the host has recovered.
        ejection_cap_ms: Longest ejection.
        probe_patience_ms: Time after an ejection until a host that got no probe
            returns with one slot anyway.
        leaving_ms: Time for which a host gets no work after it refused some because
            it is leaving.
        decay_ms: Time after which one more of the slots held by other entries is
            assumed to be free again; it doubles with each refusal in a row.
        decay_cap_ms: Upper bound of the doubled ``decay_ms``.
        patient_trust_ms: Time for which patient work is sent to no slot that other
            entries were seen to hold, so that it does not race their urgent work.
        return_steps: Number of equal steps in which the hosts of a zone are loaded
            after its evacuation.
        return_step_ms: Duration of each of these steps except the last.
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
    return_steps: int = 4
    return_step_ms: int = 1_000


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Timing of the leases under which hosts run tasks.

    Attributes:
        ttl_ms: Time to live that the start and each renewal grant.
        renew_every_ms: Interval between two renewals to the same host.
        call_ms: Timeout of one renewal or start call, enforced by its sender.
        margin_ms: Allowance for clock drift and for the time in which the host
            stops a task whose lease has expired.
    """

    ttl_ms: int = 15_000
    renew_every_ms: int = 5_000
    call_ms: int = 2_000
    margin_ms: int = 1_000
