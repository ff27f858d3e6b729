"""Test driver for one conductor, with a ledger store that replies at once."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import builders
from amaranthtray.domain.ids import HostId, Millis, PoolName, Revision, Term, WaveName
from amaranthtray.domain.placement import PoolView, pool_views
from amaranthtray.domain.waves import (
    CasLedger,
    Conductor,
    ConductorMessage,
    DutyGained,
    HealthListed,
    HostDrained,
    HostRebooted,
    HostReturned,
    LedgerRead,
    LedgerSwapped,
    ReadLedger,
    ViewChanged,
)

if TYPE_CHECKING:
    from amaranthtray.domain.budgets import OutageLedger
    from amaranthtray.domain.configuration import (
        Configuration,
        WaveState,
    )
    from amaranthtray.domain.inventory import Host

WEB = PoolName("web")
PATCH = WaveName("patch")
LEASE_MS = 1_000_000_000
HOSTS = tuple(
    builders.host(
        n, zone=f"z{n % 3}", rack=f"r{n}", labels={"pool": "web", "n": str(n)}
    )
    for n in range(6)
)
NAMES = tuple(host.host_id for host in HOSTS)


def config(**options: object) -> Configuration:
    wave = builders.wave(**options)  # type: ignore[arg-type]
    pools = tuple(
        builders.pool(name, max_out=2, max_out_per_zone=2) for name in ("web", "db")
    )
    cfg = builders.configuration(
        pools=pools, placement={host.host_id: "web" for host in HOSTS}
    )
    return replace(cfg, waves={wave.name: wave})


def view_of(cfg: Configuration, hosts: tuple[Host, ...] = HOSTS) -> PoolView:
    return pool_views(cfg, hosts, only=frozenset({WEB}))[WEB]


class Driver:
    """Steps a conductor and replies to its ledger calls.

    Attributes:
        withholds_replies: Whether the test itself sends the replies of the store.
    """

    def __init__(
        self, cfg: Configuration, *, term: int = 1, ledger: OutageLedger | None = None
    ) -> None:
        self.cfg = cfg
        self.now_ms = 0
        self.effects: list[object] = []
        self.ledger = ledger
        self.version = 0 if ledger is None else 5
        self.withholds_replies = False
        self.conductor = Conductor(WEB)
        self.send(DutyGained(Term(term), Millis(LEASE_MS)))
        self.send(ViewChanged(view_of(cfg)))
        self.send(HealthListed())

    def send(self, message: ConductorMessage) -> list[object]:
        """Returns the effects of a message, with those of the store's replies."""
        self.conductor, effects = self.conductor.step(
            message, now_ms=Millis(self.now_ms), wall_ms=self.now_ms
        )
        seen: list[object] = []
        for effect in effects:
            seen.append(effect)
            self.effects.append(effect)
            if not self.withholds_replies:
                seen += self._reply_to(effect)
        return seen

    def _reply_to(self, effect: object) -> list[object]:
        match effect:
            case ReadLedger(_, op_id):
                return self.send(LedgerRead(op_id, self.ledger, self.version))
            case CasLedger(ledger, version, fence):
                assert version == self.version
                self.ledger, self.version = ledger, version + 1
                return self.send(LedgerSwapped(fence.op_id, self.version))
        return []

    def change(self, cfg: Configuration) -> list[object]:
        self.cfg = replace(cfg, revision=Revision(self.cfg.revision + 1))
        return self.send(ViewChanged(view_of(self.cfg)))

    def set_wave_state(self, state: WaveState) -> list[object]:
        wave = replace(self.cfg.waves[PATCH], state=state)
        return self.change(replace(self.cfg, waves={PATCH: wave}))

    def stages(self) -> dict[str, str]:
        assert self.ledger is not None
        return {host: out.stage.value for host, out in self.ledger.out.items()}

    def op(self, host: HostId) -> str:
        assert self.ledger is not None
        return self.ledger.out[host].op_id

    def report_drained(self, host: HostId) -> list[object]:
        return self.send(HostDrained(host, self.op(host)))  # type: ignore[arg-type]

    def report_rebooted(self, host: HostId) -> list[object]:
        return self.send(HostRebooted(host, self.op(host)))  # type: ignore[arg-type]

    def report_returned(self, host: HostId) -> list[object]:
        return self.send(HostReturned(host, self.op(host)))  # type: ignore[arg-type]

    def first_out(self) -> HostId:
        assert self.ledger is not None
        return next(iter(self.ledger.out))


def effect_names(effects: list[object]) -> list[str]:
    return [type(effect).__name__ for effect in effects]
