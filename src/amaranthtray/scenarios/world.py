"""The fleet of a scenario: real decision logic of entries, simulated surroundings."""

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
from .backend import VirtualBackend
from .entry import VirtualEntry
from .history import Call, History
from .maintenance import Maintenance
from .network import PLATFORM, Network
from .observer import Observer
from .simulated_request import NoOutcome, SimulatedRequest

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
"""Time until an attempt to connect to an unreachable host fails."""


class VirtualPlatform(MemoryPlatform):
    """In-memory store whose replies can be kept from some clients.

    Attributes:
        replyless_clients: Clients whose calls take effect but whose replies are lost.
    """

    replyless_clients: frozenset[str] = frozenset()

    def next_fault(self, client: ClientName, step: str) -> PlannedFault | None:
        """Removes and returns the fault that applies to this call, if there is one."""
        if client in self.replyless_clients:
            return PlannedFault(Fault.LOST_REPLY, step)
        return super().next_fault(client, step)


class World:
    """Entries, hosts, the platform and the network between them.

    Args:
        site: Sizes and delays of the fleet.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.seed = site.seed
        self.rng = random.Random(site.seed)
        self.clock = VirtualClock()
        self.history = History()
        self.network = Network()
        self.platform = VirtualPlatform(lambda: self.clock.now_ms)
        self.is_store_down = False
        self.store_call_ms = site.delay_ms
        self.hosts: dict[str, VirtualBackend] = {}
        self.entries: dict[str, VirtualEntry] = {}
        self._incarnations: Counter[str] = Counter()
        self._pick_count = 0
        self._host_lists: list[tuple[int, list[Host]]] = []
        self._request_of_answer: dict[AttemptId, str] = {}
        self.observer = Observer(self)
        for zone in site.zones:
            self._build_zone(zone)
        self.maintenance = Maintenance(self)
        self.record_host_list(at_once=True)

    @property
    def now_ms(self) -> int:
        """Returns the current time of the virtual clock."""
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
                self.hosts[name] = VirtualBackend(host, self.clock, self.history)
                self.network.zones[name] = zone

    def start_entries(self) -> None:
        """Starts all entries of all zones."""
        for zone in self.site.zones:
            for number in range(self.site.entries_per_zone):
                self.start_entry(f"{zone}-e{number + 1}", zone)
        self.observer.update_reachability()

    def start_entry(self, name: str, zone: str) -> None:
        """Starts the next incarnation of an entry."""
        self._incarnations[name] += 1
        self.history.in_force.setdefault(name, []).append((self.now_ms, 0))
        self.network.zones[name] = zone
        self.entries[name] = VirtualEntry(self, name, zone, self._incarnations[name])

    # -- platform ---------------------------------------------------------------

    def store_of(self, entry: EntryId) -> MemoryStore:
        """Returns an entry's client of the store."""
        return self.platform.client(entry)

    def can_use_platform(self, entry: VirtualEntry) -> bool:
        """Returns whether calls of the entry to the platform succeed."""
        return not self.is_store_down and self.network.is_connected(
            entry.name, PLATFORM
        )

    def update_store_faults(self) -> None:
        """Applies outages and cuts to the store; if replies are cut, writes succeed."""
        self.platform.is_down = self.is_store_down
        delivers = self.network.delivers
        cut = {name for name in self.entries if not delivers(name, PLATFORM)}
        replyless = {name for name in self.entries if not delivers(PLATFORM, name)}
        self.platform.disconnected_clients = {ClientName(name) for name in cut}
        self.platform.replyless_clients = frozenset(replyless)

    def lose_store_replies(self, entry: str, count: int, *, late: bool) -> None:
        """Plans the loss of the replies to an entry's next creates in the store."""
        fault = Fault.LATE_EFFECT if late else Fault.LOST_REPLY
        self.platform.plan(entry, *[PlannedFault(fault, "create")] * count)

    def has_pending_reply_loss(self, entry: str) -> bool:
        """Returns whether a planned loss of a reply has not occurred yet."""
        return self.platform.next_fault(ClientName(entry), "create") is not None

    def wave_done(self, wave: str, by_ms: int) -> int:
        """Returns how many hosts a wave had maintained by a time."""
        done = self.maintenance.done
        return sum(name == wave and at <= by_ms for (name, _), at in done.items())

    def pool_at_end(self, host: str) -> str:
        """Returns the pool of a host in the latest configuration of any entry."""
        latest = max(
            (entry.control.cfg for entry in self.entries.values()),
            key=lambda cfg: cfg.revision,
        )
        return latest.pool_of(HostId(host))

    def listed_hosts(self) -> list[Host]:
        """Returns the platform's host list, which lags behind the hosts."""
        published = [hosts for at_ms, hosts in self._host_lists if at_ms <= self.now_ms]
        return published[-1]

    def record_host_list(self, *, at_once: bool = False) -> None:
        """Records the hosts as they are; the platform lists them after its lag."""
        lag_ms = 0 if at_once else self.site.list_lag_ms
        hosts = [
            replace(item.host, state=HostState.LEAVING)
            if item.is_leaving
            else item.host
            for item in self.hosts.values()
            if item.is_up
        ]
        self._host_lists.append((self.now_ms + lag_ms, hosts))

    # -- entries ----------------------------------------------------------------

    def send(
        self, sender: VirtualEntry, receiver: VirtualEntry, act: Callable[[], Any]
    ) -> None:
        """Delivers a message unless a cut separates the two entries."""
        if sender is receiver or self.network.delivers(sender.name, receiver.name):
            delay_ms = 0 if sender is receiver else self.site.delay_ms
            self.clock.after(delay_ms, lambda: receiver.run(act))

    def forward(
        self,
        entry: VirtualEntry,
        simulated: SimulatedRequest,
        key: RequestKey,
        home: Home,
    ) -> None:
        """Forwards a request to its home entry."""
        unreachable = Unknown(UnknownReason.HOME_UNREACHABLE)
        other = self.entries.get(home.entry)
        if other is None or not other.is_alive:
            self.send(
                entry, entry, lambda: entry.handle_forward_result(key, unreachable)
            )
            return

        def reply(outcome: Outcome | NoOutcome) -> None:
            result = unreachable if isinstance(outcome, NoOutcome) else outcome
            self.send(other, entry, lambda: entry.handle_forward_result(key, result))

        incarnation = home.incarnation
        self.send(
            entry,
            other,
            lambda: other.handle_submission(simulated, key, incarnation, reply),
        )
        remaining_ms = max(1, simulated.deadline_at_ms - self.now_ms)
        self.clock.after(
            remaining_ms,
            lambda: entry.run(lambda: entry.handle_forward_result(key, unreachable)),
        )

    # -- callers ----------------------------------------------------------------

    def pick_entry(self, zone: str) -> VirtualEntry | None:
        """Returns the next ready entry, as a round-robin load balancer does."""
        ready = [
            item
            for item in self.entries.values()
            if item.is_ready and zone in ("", item.zone)
        ]
        self._pick_count += 1
        return ready[self._pick_count % len(ready)] if ready else None

    def call(
        self, entry: VirtualEntry, simulated: SimulatedRequest, call: Call
    ) -> None:
        """Sends a request to an entry and records how it ends."""
        self.history.calls.append(call)

        def reply(outcome: Outcome | NoOutcome) -> None:
            call.accepted_ms = simulated.accepted_ms
            call.request_id = simulated.request_id
            self._end_call(call, outcome)

        def arrive() -> None:
            if entry.is_alive:
                entry.run(lambda: entry.submit(simulated, reply))
            else:
                reply(NoOutcome.BROKEN)

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
                    observation = RefusedNotRun(self.now_ms, call.request_id)  # type: ignore[arg-type]
                    self.history.observe(observation)
            case Unknown(reason=unknown):
                call.outcome, call.reason = "unknown", unknown.value

    def observe_answer(self, request: Request, outcome: Answered) -> None:
        """Observes which request the answer of an outcome belongs to."""
        answered_id = self._request_of_answer.get(outcome.attempt_id)
        observation = AnswerGiven(
            self.now_ms,
            request.request_id,
            request.request_id if answered_id is None else answered_id,  # type: ignore[arg-type]
            answered_id is not None,
        )
        self.history.observe(observation)

    # -- hosts ------------------------------------------------------------------

    def start_attempt(
        self, entry: VirtualEntry, start: StartAttempt, simulated: SimulatedRequest
    ) -> None:
        """Sends an attempt to its host, and its result back unless a cut drops it."""
        host = self.hosts[start.host]
        name = entry.name

        def answer(result: AttemptResult, free_slots: int) -> None:
            if isinstance(result, WholeAnswer):
                self._request_of_answer[start.attempt_id] = start.request.request_id
            if self.network.delivers(start.host, name):
                self.clock.after(
                    self.site.delay_ms,
                    lambda: entry.run(
                        lambda: entry.end_attempt(start, result, free_slots)
                    ),
                )

        if not self.network.delivers(name, start.host):
            not_sent = NothingSent("no connection")
            self.clock.after(
                CONNECT_MS,
                lambda: entry.run(lambda: entry.end_attempt(start, not_sent, None)),
            )
            return

        def arrive() -> None:
            self.history.record_arrival(self.now_ms, start.host)
            host.start(start, simulated.run_ms, answer, fails=simulated.fails)

        self.clock.after(self.site.delay_ms, arrive)

    def send_order(
        self, entry: VirtualEntry, order: StopTask | CheckpointTask | RenewLeases
    ) -> None:
        """Sends an order about running tasks to their host, unless a cut drops it."""
        if not self.network.delivers(entry.name, order.host):
            return
        self.clock.after(self.site.delay_ms, lambda: self._execute_order(entry, order))

    def _execute_order(
        self, entry: VirtualEntry, order: StopTask | CheckpointTask | RenewLeases
    ) -> None:
        host = self.hosts[order.host]
        match order:
            case StopTask(attempt_id=attempt_id):
                host.stop(attempt_id)
                if host.is_up and self.network.delivers(order.host, entry.name):
                    delay_ms = self.site.delay_ms
                    self.clock.after(
                        delay_ms,
                        lambda: entry.run(lambda: entry.handle_task_stopped(order)),
                    )
            case CheckpointTask(attempt_id=attempt_id):
                host.checkpoint(attempt_id)
            case RenewLeases(attempt_ids=attempt_ids, ttl_ms=ttl_ms):
                host.renew(attempt_ids, ttl_ms)
