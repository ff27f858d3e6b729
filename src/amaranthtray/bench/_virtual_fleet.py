"""Entries and the platform in virtual time, with encoded peer frames."""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..domain.configuration.follower import ConfigFollower
from ..domain.configuration.log import Rules
from ..domain.duties import DutyHolder, steward_duty
from ..domain.ids import EntryId, Incarnation, OperationId, Revision, ZoneId
from ..domain.invariants import (
    ConfigApplied,
    ConfigCommitted,
    ReachChanged,
    Watchdog,
)
from ..peers.codec import PeerMessage, decode, encode
from ..peers.control import ConfigUpdated, ControlCommand, Deliver, PeerControl
from ..peers.events import CloseLink, Dial, LinkDown, LinkUp, PeerEvent, Received, Send
from ..peers.handshake import FRAME_TAG_BYTES
from ..peers.messages import ConfigRecords, Member, MemberList
from ..peers.sync import SyncSettings
from ..store.config_log import ConfigLog, ConfigLogWatcher
from ..store.duties import DutyRunner
from ..store.memory import ClientName, MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.configuration.changes import Change
    from ..domain.configuration.model import Configuration

TICK_MS = 50
DUTY_PERIOD_MS = 250
MEMBER_LIST_PERIOD_MS = 1_000
DELAY_MS = 1
WEBSOCKET_BYTES = 8
"""Header of a masked websocket frame."""
TCP_IP_BYTES = 52
"""IP and TCP headers of one segment with the TCP timestamps option."""

RULES = Rules(selector=lambda _: None, pools=lambda *_: None)
PORT_BASE = 10_000


@dataclass
class VirtualEntry:
    """One run of an entry, with its links and the cost of its control plane.

    Attributes:
        revision: Latest revision recorded as applied.
        delivered: Messages that the control plane passed on to the entry.
        frames: Number of frames sent and received.
        busy_s: Time spent on decisions and the codec.
    """

    member: Member
    control: PeerControl
    log: ConfigLog
    log_watcher: ConfigLogWatcher
    duty: DutyRunner
    revision: int = 0
    links: set[EntryId] = field(default_factory=set)
    is_paused: bool = False
    delivered: list[Deliver] = field(default_factory=list)
    bytes_sent: int = 0
    bytes_received: int = 0
    frames: int = 0
    busy_s: float = 0.0

    @property
    def bytes_total(self) -> int:
        """Returns the bytes sent and received, with the headers of all layers."""
        return self.bytes_sent + self.bytes_received


class VirtualFleet:
    """A fleet on a virtual clock; every frame is encoded and decoded.

    Args:
        zones: Entries of each availability zone.
        seed: Seed of all random choices.
        loss: Probability that pushed configuration records are lost.
        sync: Settings of the configuration sync between peers.
        cfg: Initial configuration of every entry.
    """

    def __init__(
        self,
        zones: dict[str, int],
        *,
        seed: int = 1,
        loss: float = 0.0,
        sync: SyncSettings | None = None,
        cfg: Configuration | None = None,
    ) -> None:
        self.now_ms = 0
        self.loss = loss
        self.watchdog = Watchdog()
        self.platform = MemoryPlatform(lambda: self.now_ms)
        self.blocked: set[tuple[EntryId, EntryId]] = set()
        self.committed_ms: dict[Revision, int] = {}
        self.applied_ms: dict[tuple[EntryId, Revision], int] = {}
        self._rng = random.Random(seed)
        self._sync = sync or SyncSettings()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._cfg = cfg
        self._operation_count = 0
        self.entries: dict[EntryId, VirtualEntry] = {}
        for zone, count in zones.items():
            for number in range(count):
                self.start(f"{zone}-e{number}", zone)

    def start(self, name: str, zone: str, run: int = 0) -> VirtualEntry:
        """Starts an entry, or a new run of an entry."""
        port = PORT_BASE + len(self.entries)
        incarnation = Incarnation(f"i{run}")
        member = Member(EntryId(name), ZoneId(zone), incarnation, "10.0.0.1", port)
        rng = random.Random(self._rng.random())
        store = self.platform.client(name)
        follower = ConfigFollower(self._cfg)
        log = ConfigLog(store, entry=member.entry, rules=RULES)
        holder = DutyHolder(member.entry, incarnation, rng=rng)
        entry = VirtualEntry(
            member,
            PeerControl(member, follower=follower, rng=rng, sync=self._sync),
            log,
            ConfigLogWatcher(log, store),
            DutyRunner(
                steward_duty(member.zone),
                holder,
                store=store,
                clock=lambda: self.now_ms,
            ),
        )
        self.entries[member.entry] = entry
        return entry

    def stop(self, name: str) -> VirtualEntry:
        """Stops an entry without notice; its links break."""
        entry = self.entries.pop(EntryId(name))
        for peer in list(entry.links):
            self._break_link(entry.member.entry, peer)
        return entry

    def disconnect_platform(self, *names: str) -> None:
        """Disconnects entries from the platform."""
        self.platform.disconnected_clients.update(ClientName(name) for name in names)

    def partition_zones(
        self, source: str, target: str, *, is_one_way: bool = False
    ) -> None:
        """Drops all frames between two zones, or only those from the source."""
        for sender in self.in_zone(source):
            for receiver in self.in_zone(target):
                self.blocked.add((sender, receiver))
                if not is_one_way:
                    self.blocked.add((receiver, sender))

    def heal(self) -> None:
        """Ends all partitions and reconnects the platform."""
        self.blocked.clear()
        self.platform.disconnected_clients.clear()
        self.platform.is_down = False

    def in_zone(self, zone: str) -> list[EntryId]:
        """Returns the entries of a zone."""
        return [key for key, entry in self.entries.items() if entry.member.zone == zone]

    def record_reachability(self, *, is_reachable: bool, zone: str) -> None:
        """Reports to the watchdog whether the entries of a zone are reachable."""
        for entry in self.in_zone(zone):
            self.watchdog.observe(ReachChanged(self.now_ms, entry, is_reachable))

    def run(self, for_ms: int) -> None:
        """Advances time."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            for entry in list(self.entries.values()):
                if not entry.is_paused:
                    self._tick(entry)
            self._advance_to(min(self.now_ms + TICK_MS, end_ms))

    def commit(self, name: str, *changes: Change) -> Revision | None:
        """Commits changes at an entry; returns None if the commit failed."""
        entry = self.entries[EntryId(name)]
        self._operation_count += 1
        outcome = entry.log.commit(
            entry.control.cfg,
            changes,
            op_id=OperationId(f"op-{self._operation_count}"),
            operator="bench",
        )
        committed = outcome.value_or(None)
        if committed is None:
            return None
        self.committed_ms[committed.revision] = self.now_ms
        self.watchdog.observe(ConfigCommitted(self.now_ms, committed.revision))
        commands = entry.control.apply_log_updates(
            committed.records, committed.cfg, self.now_ms
        )
        self._execute(entry, commands)
        return committed.revision

    def propagation_ms(self, revision: Revision) -> int | None:
        """Returns the time until all entries applied a revision, if they all did."""
        times = [self.applied_ms.get((entry, revision), None) for entry in self.entries]
        known = [at for at in times if at is not None]
        if len(known) < len(times):
            return None
        return max(known) - self.committed_ms[revision]

    def platform_call_count(self) -> int:
        """Returns the number of platform calls; watches, polled here, do not count."""
        return sum(n for step, n in self.platform.calls.items() if step != "watch")

    def _tick(self, entry: VirtualEntry) -> None:
        start_s = time.perf_counter()
        control, now_ms = entry.control, self.now_ms
        commands: list[ControlCommand] = []
        if now_ms % DUTY_PERIOD_MS == 0:
            entry.duty.holder.is_wanted = control.wants_stewardship(now_ms)
            control.set_steward_term(entry.duty.run())
        if control.must_follow_platform(now_ms):
            commands += self._follow_platform(entry)
        commands += control.tick(now_ms)
        self._execute(entry, commands)
        entry.busy_s += time.perf_counter() - start_s

    def _follow_platform(self, entry: VirtualEntry) -> list[ControlCommand]:
        control = entry.control
        updates = entry.log_watcher.poll(timeout_ms=0).value_or(None)
        if updates is None:
            control.mark_platform_unavailable()
            return []
        commands = control.apply_log_updates(
            updates.records, updates.snapshot, self.now_ms
        )
        control.mark_platform_current(self.now_ms)
        if self.now_ms % MEMBER_LIST_PERIOD_MS == 0:
            members = tuple(other.member for other in self.entries.values())
            if set(members) != set(control.members.members.values()):
                commands += control.update_members(MemberList(self.now_ms, members))
        return commands

    def _execute(self, entry: VirtualEntry, commands: list[ControlCommand]) -> None:
        own = entry.member.entry
        for command in commands:
            match command:
                case Send(to, message):
                    self._send(entry, to, message)
                case Dial(target):
                    self._dial(own, target.port)
                case CloseLink(peer):
                    self._break_link(own, peer)
                case ConfigUpdated(cfg=cfg):
                    self._record_applied(entry, cfg)
                case Deliver():
                    entry.delivered.append(command)

    def _record_applied(self, entry: VirtualEntry, cfg: Configuration) -> None:
        """Records all revisions up to the one in force, with those of a snapshot."""
        own = entry.member
        for number in range(entry.revision + 1, cfg.revision + 1):
            self.applied_ms[own.entry, Revision(number)] = self.now_ms
        entry.revision = cfg.revision
        applied = ConfigApplied(self.now_ms, own.entry, own.incarnation, cfg.revision)
        self.watchdog.observe(applied)

    def _send(self, entry: VirtualEntry, to: EntryId, message: PeerMessage) -> None:
        own = entry.member.entry
        if to not in entry.links:
            return
        frame = encode(message)
        size = len(frame) + FRAME_TAG_BYTES + WEBSOCKET_BYTES + TCP_IP_BYTES
        entry.bytes_sent += size
        entry.frames += 1
        is_push = isinstance(message, ConfigRecords)
        if (own, to) in self.blocked or (is_push and self._rng.random() < self.loss):
            return
        self._schedule(DELAY_MS, lambda: self._deliver_frame(own, to, frame, size))

    def _deliver_frame(
        self, source: EntryId, to: EntryId, frame: bytes, size: int
    ) -> None:
        entry = self.entries.get(to)
        if entry is None or source not in entry.links:
            return
        if entry.is_paused:
            self._schedule(
                TICK_MS, lambda: self._deliver_frame(source, to, frame, size)
            )
            return
        entry.bytes_received += size
        entry.frames += 1
        start_s = time.perf_counter()
        self._handle_event(entry, Received(source, decode(frame, peer=source)))
        entry.busy_s += time.perf_counter() - start_s

    def _dial(self, own: EntryId, port: int) -> None:
        peers = [
            key for key, entry in self.entries.items() if entry.member.port == port
        ]
        for peer in peers:
            is_cut = (own, peer) in self.blocked or (peer, own) in self.blocked
            if not is_cut and peer not in self.entries[own].links:
                self._schedule(3 * DELAY_MS, lambda peer=peer: self._connect(own, peer))  # type: ignore[misc]

    def _connect(self, one: EntryId, other: EntryId) -> None:
        for own, peer in ((one, other), (other, one)):
            if own not in self.entries or peer not in self.entries:
                return
        for own, peer in ((one, other), (other, one)):
            entry, member = self.entries[own], self.entries[peer].member
            entry.links.add(peer)
            self._handle_event(entry, LinkUp(peer, member.zone, member.incarnation))

    def _break_link(self, one: EntryId, other: EntryId) -> None:
        for own, peer in ((one, other), (other, one)):
            entry = self.entries.get(own)
            if entry is not None and peer in entry.links:
                entry.links.discard(peer)
                self._handle_event(entry, LinkDown(peer, "broken"))

    def _handle_event(self, entry: VirtualEntry, event: PeerEvent) -> None:
        self._execute(entry, entry.control.handle(event, self.now_ms))

    def _schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, action))

    def _advance_to(self, end_ms: int) -> None:
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = end_ms
