"""Faults of one soak run, drawn from its seed; they come in series and overlap."""

from __future__ import annotations

import signal
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak.site import Site

DEEP_JSON = b'{"x":' * 4_000
"""An entry of another writer that no decoder reads to its end."""


@dataclass(frozen=True, slots=True)
class HostsLeave:
    """Hosts say that they leave, serve on and end; others replace them."""

    count: int
    serve_s: float


@dataclass(frozen=True, slots=True)
class HostsCrash:
    """Hosts end without a word; they are back under their ids, or never."""

    count: int
    back_after_s: float | None


@dataclass(frozen=True, slots=True)
class StartsUnanswered:
    """Hosts don't carry out, carry out late, or refuse part of the starts."""

    count: int
    lost_share: float
    late_share: float
    refused_share: float
    lasts_s: float


@dataclass(frozen=True, slots=True)
class EntrySignalled:
    """An entry gets a signal: it ends and starts again, or stands still for a while."""

    number: signal.Signals
    is_conductor: bool
    lasts_s: float


@dataclass(frozen=True, slots=True)
class StoreSilent:
    """The store answers nothing."""

    lasts_s: float


@dataclass(frozen=True, slots=True)
class StoreSlow:
    """Each answer of the store takes longer, and it refuses part of the calls."""

    answer_s: float
    refused_share: float
    lasts_s: float


@dataclass(frozen=True, slots=True)
class ConnectionsSilent:
    """All open connections to the store go silent; new ones work."""


@dataclass(frozen=True, slots=True)
class HistoryForgotten:
    """Watches hear nothing for a while; then the store's history is dropped."""

    gap_s: float


@dataclass(frozen=True, slots=True)
class ForeignEntries:
    """Another writer adds entries to the list of hosts that name no host."""


Fault: TypeAlias = (
    HostsLeave
    | HostsCrash
    | StartsUnanswered
    | EntrySignalled
    | StoreSilent
    | StoreSlow
    | ConnectionsSilent
    | HistoryForgotten
    | ForeignEntries
)


def draw_fault(rng: random.Random) -> Fault:
    """Draws one fault."""
    lasts_s = rng.uniform(0.5, 5)
    signals = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
    shares = [rng.random() / 3 for _ in range(3)]
    choices: tuple[Fault, ...] = (
        HostsLeave(rng.randint(1, 3), rng.uniform(2.5, 7)),
        HostsCrash(rng.randint(1, 2), rng.choice((None, 0.1, 3.0))),
        StartsUnanswered(rng.randint(1, 3), *shares, lasts_s),
        EntrySignalled(rng.choice(signals), rng.random() < 0.7, lasts_s),
        StoreSilent(rng.uniform(0.3, 3)),
        StoreSlow(rng.uniform(0.02, 0.25), rng.random() / 3, lasts_s),
        ConnectionsSilent(),
        HistoryForgotten(rng.uniform(0.3, 1)),
        ForeignEntries(),
    )
    return rng.choice(choices)


def inject(fault: Fault, site: Site, rng: random.Random) -> None:
    """Injects a fault and plans its end."""
    match fault:
        case HostsLeave(count, serve_s):
            for host in site.choose_hosts(count, rng):
                host.leave(serve_s)
                site.add_host(host.pool)
        case HostsCrash(count, back_after_s):
            for host in site.choose_hosts(count, rng):
                host.crash(back_after_s)
                if back_after_s is None:
                    site.add_host(host.pool)
        case StartsUnanswered(count, lost_share, late_share, refused_share, lasts_s):
            hosts = site.choose_hosts(count, rng)
            for host in hosts:
                host.unanswered_share, host.late_share = lost_share, late_share
                host.refused_share = refused_share
            _after(lasts_s, lambda: [host.answer_all() for host in hosts])
        case EntrySignalled(number, is_conductor, lasts_s):
            entry = site.choose_entry(rng, is_conductor=is_conductor)
            if number is signal.SIGSTOP:
                entry.signal(number)
                _after(lasts_s, lambda: entry.signal(signal.SIGCONT))
            else:
                _after(0, lambda: entry.restart(number))
        case StoreSilent(lasts_s):
            site.store.is_silent = True
            _after(lasts_s, lambda: setattr(site.store, "is_silent", False))
        case StoreSlow(answer_s, refused_share, lasts_s):
            site.store.answer_s, site.store.refused_share = answer_s, refused_share
            _after(lasts_s, site.store.recover)
        case ConnectionsSilent():
            site.store.server.silence_connections()
        case HistoryForgotten(gap_s):
            site.store.forget_history(gap_s)
        case ForeignEntries():
            site.store.write("servers/foreign-a", {"service": "pool"})
            site.store.write("servers/foreign-b", DEEP_JSON)


def _after(delay_s: float, act: Callable[[], object]) -> None:
    timer = threading.Timer(delay_s, act)
    timer.daemon = True
    timer.start()
