"""Settings of an entry on loopback, for the demo, tests and benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings import (
    BootstrapSettings,
    EntrySettings,
    PlatformSettings,
    Settings,
    TraceSettings,
)

if TYPE_CHECKING:
    from ..domain.ids import RegionId, ZoneId

LOOPBACK = "127.0.0.1"
READ_TIMEOUT_MS = 10_000


def loopback_settings(
    platform_url: str,
    *,
    zone: ZoneId,
    region: RegionId,
    entry: str = "e1",
    threads: int = 64,
    read_timeout_ms: int = READ_TIMEOUT_MS,
    operator_digest: str | None = None,
    trace: str = "",
) -> Settings:
    """Returns settings with free TCP ports and no wait for a load balancer to drain."""
    return Settings(
        entry=EntrySettings(
            id=entry,
            zone=zone,
            region=region,
            address=LOOPBACK,
            caller_port=0,
            admin_port=0,
            peer_port=0,
            threads=threads,
            patient_threads=threads // 2,
            read_timeout_ms=read_timeout_ms,
            balancer_drain_ms=0,
        ),
        platform=PlatformSettings(endpoints=[platform_url]),
        trace=TraceSettings(path=trace),
        bootstrap=BootstrapSettings(operator_digest=operator_digest),
    )
