"""The fleet of a scenario: decisions of entries, stand-ins for all around them."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ..bench._waves_clock import VirtualClock
from ..domain.ids import EntryId, HostId, RackId, RegionId, ZoneId
from ..domain.invariants import (
    AnswerGiven,
    RefusedNotRun,
)
from ..domain.inventory import Host, HostState
from ..domain.requests.messages import (
    CheckpointTask,
    NothingSent,
    RenewLeases,
    StopTask,
    WholeAnswer,
)
from ..domain.requests.model import Answered, NotRun, Unknown, UnknownReason
from ..store.memory import ClientName, Fault, MemoryPlatform, PlannedFault
from .backend import Backend
from .entry import VirtualEntry
from .history import Call, History
from .maintenance import Maintenance
from .network import PLATFORM, Network
from .observer import Observer
from .work import NoOutcome, Work

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.ids import AttemptId
    from ..domain.requests.ids import Home
    from ..domain.requests.messages import AttemptResult, StartAttempt
    from ..domain.requests.model import Outcome, Request
    from ..domain.requests.tracked_request import RequestKey
    from ..store.memory import MemoryStore
    from .model import Site

REGION = RegionId("r1")
CONNECT_MS = 200


class Platform(MemoryPlatform):
    """The store with clients that its replies do not reach.

    Attributes:
        deaf_clients: Clients whose calls arrive while the replies do not.
    """

    deaf_clients: frozenset[str] = frozenset()

    def next_fault(self, client: ClientName, step: str) -> PlannedFault | None:
        """Takes the fault that strikes this call."""
        if client in self.deaf_clients:
            return PlannedFault(Fault.LOST_REPLY, step)
        return super().next_fault(client, step)


class World:
    """Entries, hosts, the platform and the network between them.

    Args:
        site: Sizes.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.seed = site.seed
        self.rng = random.Random(site.seed)
        self.clock = VirtualClock()
        self.history = History()
        self.network = Network()
        self.platform = Platform(lambda: self.clock.now_ms)
        self.is_store_down = False
        self.store_call_ms = site.delay_ms
        self.hosts: dict[str, Backend] = {}
        self.entries: dict[str, VirtualEntry] = {}
        self._runs: Counter[str] = Counter()
        self._turn = 0
        self._list: list[tuple[int, list[Host]]] = []
        self._answers: dict[AttemptId, str] = {}
        self.observer = Observer(self)
        for zone in site.zones:
            self._build_zone(zone)
        self.maintenance = Maintenance(self)
        self.list_hosts(at_once=True)

    @property
    def now_ms(self) -> int:
        """Returns the time of the one clock."""
        return self.clock.now_ms

    def _build_zone(self, zone: str) -> None:
        number = 0
        for label, count in self.site.hosts_per_zone.items():
            for _ in range(count):
                number += 1
                name = f"{zone}-h{number}"
                rack = (number - 1) // self.site.hosts_per_rack
                host = Host(
                    HostId(name),
                    ZoneId(zone),
                    RackId(f"{zone}-r{rack}"),
                    REGION,
                    slots=self.site.slots,
                    cores=self.site.cores,
                    labels={"pool": label},
                )
                self.hosts[name] = Backend(host, self.clock, self.history)
                self.network.zones[name] = zone

    def start_entries(self) -> None:
        """Starts all entries."""
        for zone in self.site.zones:
            for number in range(self.site.entries_per_zone):
                self.start_entry(f"{zone}-e{number + 1}", zone)
        self.observer.update_reach()

    def start_entry(self, name: str, zone: str) -> None:
        """Starts the next run of an entry."""
        self._runs[name] += 1
        self.history.in_force.setdefault(name, []).append((self.now_ms, 0))
        self.network.zones[name] = zone
        self.entries[name] = VirtualEntry(self, name, zone, self._runs[name])

    # -- platform ---------------------------------------------------------------

    def store_of(self, entry: EntryId) -> MemoryStore:
        """Returns the store as an entry sees it."""
        return self.platform.client(entry)

    def reads_platform(self, entry: VirtualEntry) -> bool:
        """Returns whether a call of the entry to the platform gets its reply."""
        return not self.is_store_down and self.network.joins(entry.name, PLATFORM)

    def update_store(self) -> None:
        """Tells the store of cuts; a cut of the replies alone lets writes through."""
        self.platform.is_down = self.is_store_down
        passes = self.network.passes
        cut = {name for name in self.entries if not passes(name, PLATFORM)}
        deaf = {name for name in self.entries if not passes(PLATFORM, name)}
        self.platform.disconnected_clients = {ClientName(name) for name in cut}
        self.platform.deaf_clients = frozenset(deaf)

    def lose_store_replies(self, entry: str, count: int, *, late: bool) -> None:
        """Loses the replies of the entry's next creates."""
        fault = Fault.LATE_EFFECT if late else Fault.LOST_REPLY
        self.platform.plan(entry, *[PlannedFault(fault, "create")] * count)

    def has_planned_loss(self, entry: str) -> bool:
        """Returns whether a planned loss of a reply struck nothing yet."""
        return self.platform.next_fault(ClientName(entry), "create") is not None

    def wave_done(self, wave: str, by_ms: int) -> int:
        """Returns how many hosts a wave had maintained by a time."""
        done = self.maintenance.done
        return sum(name == wave and at <= by_ms for (name, _), at in done.items())

    def pool_at_end(self, host: str) -> str:
        """Returns the pool that the entries' latest configuration has a host in."""
        latest = max(
            (entry.control.cfg for entry in self.entries.values()),
            key=lambda cfg: cfg.revision,
        )
        return latest.pool_of(HostId(host))

    def listed(self) -> list[Host]:
        """Returns the platform's host list as it shows now."""
        shown = [hosts for at_ms, hosts in self._list if at_ms <= self.now_ms]
        return shown[-1]

    def list_hosts(self, *, at_once: bool = False) -> None:
        """Takes down the hosts as they are; the list shows them after its lag."""
        lag_ms = 0 if at_once else self.site.list_lag_ms
        hosts = [
            replace(item.host, state=HostState.LEAVING)
            if item.is_leaving
            else item.host
            for item in self.hosts.values()
            if item.is_up
        ]
        self._list.append((self.now_ms + lag_ms, hosts))

    # -- entries ----------------------------------------------------------------

    def send(
        self, sender: VirtualEntry, receiver: VirtualEntry, act: Callable[[], Any]
    ) -> None:
        """Delivers a message unless a cut is in between."""
        if sender is receiver or self.network.passes(sender.name, receiver.name):
            delay_ms = 0 if sender is receiver else self.site.delay_ms
            self.clock.after(delay_ms, lambda: receiver.run(act))

    def forward(
        self, entry: VirtualEntry, work: Work, key: RequestKey, home: Home
    ) -> None:
        """Hands a request to the entry that is its home."""
        unreachable = Unknown(UnknownReason.HOME_UNREACHABLE)
        other = self.entries.get(home.entry)
        if other is None or not other.is_alive:
            self.send(entry, entry, lambda: entry.forwarded(key, unreachable))
            return

        def tell(outcome: Outcome | NoOutcome) -> None:
            heard = unreachable if isinstance(outcome, NoOutcome) else outcome
            self.send(other, entry, lambda: entry.forwarded(key, heard))

        incarnation = home.incarnation
        self.send(entry, other, lambda: other.ask(work, key, incarnation, tell))
        left_ms = max(1, work.deadline_at_ms - self.now_ms)
        self.clock.after(
            left_ms, lambda: entry.run(lambda: entry.forwarded(key, unreachable))
        )

    # -- callers ----------------------------------------------------------------

    def pick_entry(self, zone: str) -> VirtualEntry | None:
        """Returns the next entry as the balancer takes turns."""
        ready = [
            item
            for item in self.entries.values()
            if item.is_ready and zone in ("", item.zone)
        ]
        self._turn += 1
        return ready[self._turn % len(ready)] if ready else None

    def call(self, entry: VirtualEntry, work: Work, call: Call) -> None:
        """Sends a request to an entry and records how it ends."""
        self.history.calls.append(call)

        def tell(outcome: Outcome | NoOutcome) -> None:
            call.accepted_ms = work.accepted_ms
            call.request_id = work.request_id
            self._end_call(call, outcome)

        def arrive() -> None:
            if entry.is_alive:
                entry.run(lambda: entry.submit(work, tell))
            else:
                tell(NoOutcome.BROKEN)

        self.clock.after(self.site.delay_ms, arrive)

    def _end_call(self, call: Call, outcome: Outcome | NoOutcome) -> None:
        call.ended_ms = self.now_ms
        match outcome:
            case NoOutcome():
                call.outcome = outcome.value
            case Answered():
                call.outcome = "answered"
            case NotRun(reason=reason):
                call.outcome, call.reason = "not_run", reason.value
                if call.request_id:
                    seen = RefusedNotRun(self.now_ms, call.request_id)  # type: ignore[arg-type]
                    self.history.observe(seen)
            case Unknown(reason=unknown):
                call.outcome, call.reason = "unknown", unknown.value

    def check_answer(self, request: Request, outcome: Answered) -> None:
        """Observes which answer a request is given."""
        answers = self._answers.get(outcome.attempt_id)
        seen = AnswerGiven(
            self.now_ms,
            request.request_id,
            request.request_id if answers is None else answers,  # type: ignore[arg-type]
            answers is not None,
        )
        self.history.observe(seen)

    # -- hosts ------------------------------------------------------------------

    def start_attempt(
        self, entry: VirtualEntry, start: StartAttempt, work: Work
    ) -> None:
        """Sends an attempt to its host."""
        host = self.hosts[start.host]
        name = entry.name

        def answer(result: AttemptResult, free_slots: int) -> None:
            if isinstance(result, WholeAnswer):
                self._answers[start.attempt_id] = start.request.request_id
            if self.network.passes(start.host, name):
                self.clock.after(
                    self.site.delay_ms,
                    lambda: entry.run(lambda: entry.end(start, result, free_slots)),
                )

        if not self.network.passes(name, start.host):
            nothing = NothingSent("no connection")
            self.clock.after(
                CONNECT_MS, lambda: entry.run(lambda: entry.end(start, nothing, None))
            )
            return

        def arrive() -> None:
            self.history.note_sending(self.now_ms, start.host)
            host.start(start, work.run_ms, answer, fails=work.fails)

        self.clock.after(self.site.delay_ms, arrive)

    def order(
        self, entry: VirtualEntry, order: StopTask | CheckpointTask | RenewLeases
    ) -> None:
        """Sends an order about running tasks to their host."""
        if not self.network.passes(entry.name, order.host):
            return
        self.clock.after(self.site.delay_ms, lambda: self._obey(entry, order))

    def _obey(
        self, entry: VirtualEntry, order: StopTask | CheckpointTask | RenewLeases
    ) -> None:
        host = self.hosts[order.host]
        match order:
            case StopTask(attempt_id=attempt_id):
                host.stop(attempt_id)
                if host.is_up and self.network.passes(order.host, entry.name):
                    delay_ms = self.site.delay_ms
                    self.clock.after(
                        delay_ms, lambda: entry.run(lambda: entry.freed(order))
                    )
            case CheckpointTask(attempt_id=attempt_id):
                host.checkpoint(attempt_id)
            case RenewLeases(attempt_ids=attempt_ids, ttl_ms=ttl_ms):
                host.renew(attempt_ids, ttl_ms)
