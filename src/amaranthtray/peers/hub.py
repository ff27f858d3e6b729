"""All links of an entry, on one event loop that owns the sockets.

Other threads submit commands to the hub. The hub reports events to its owner through
the callback that it was created with, which puts them into a mailbox.
"""

from __future__ import annotations

import asyncio
import secrets
import threading
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeAlias

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from ..domain.ids import EntryId, Incarnation, ZoneId
from .codec import MAX_FRAME_BYTES, FrameError
from .events import (
    CloseLink,
    Dial,
    DialFailed,
    HubCommand,
    LinkDown,
    LinkUp,
    PeerAddress,
    PeerEvent,
    Received,
    Send,
)
from .handshake import NONCE_BYTES, Admission, LinkRefusal, Side
from .link import Credentials, Link, LinkRefusedError, open_link
from .messages import Hello

if TYPE_CHECKING:
    from websockets.asyncio.server import Server, ServerConnection

    from .codec import PeerMessage
    from .link import Connection

PostEvent: TypeAlias = Callable[[PeerEvent], None]
"""Callback that puts an event into the owner's mailbox; it must not block."""

DIAL_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
START_TIMEOUT_S = 5.0
OVERFLOW = "overflow"
BAD_FRAME = "bad_frame"
BLOCKED_MESSAGE = "swallowed"
"""Cause under which messages dropped by a simulated partition are counted."""


@dataclass(frozen=True, slots=True)
class HubSettings:
    """Identity and listening address of this entry.

    Attributes:
        entry: Unique name of this entry.
        zone: Availability zone.
        incarnation: Incarnation of this process.
        secret: The fleet's peer secret.
        address: IP address to listen on.
        port: TCP port to listen on; 0 chooses a free one.
    """

    entry: EntryId
    zone: ZoneId
    incarnation: Incarnation
    secret: bytes = field(repr=False)
    address: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True, slots=True)
class HubStats:
    """Counters since the start, and the number of links.

    Attributes:
        bytes_in: Bytes of frames received.
        bytes_out: Bytes of frames sent.
        refusals: Refused connections, links ended for a fault and messages that a
            simulated partition dropped, by cause.
        links: Number of open links.
    """

    bytes_in: int
    bytes_out: int
    refusals: dict[str, int]
    links: int


class PeerHub:
    """Accepts and dials connections, authenticates peers and transfers messages.

    Args:
        settings: Identity and listening address of this entry.
        post: Receives the events; called on the hub's thread.
    """

    def __init__(self, settings: HubSettings, post: PostEvent) -> None:
        self.settings = settings
        self._post = post
        self._admission = Admission()
        self._links: dict[EntryId, Link] = {}
        self._dialing: set[PeerAddress] = set()
        self._refusals: Counter[str] = Counter()
        self._closed_link_bytes = [0, 0]
        self._blocked_inbound: set[EntryId] = set()
        self._blocked_outbound: set[EntryId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="peer-hub", daemon=True)
        self._started = threading.Event()
        self._port = settings.port
        self._start_error: OSError | None = None

    def start(self) -> int:
        """Starts the thread and listens; returns the port.

        Raises:
            OSError: Listening on the address failed.
        """
        self._thread.start()
        self._started.wait(START_TIMEOUT_S)
        if self._start_error is not None:
            raise self._start_error
        return self._port

    def stop(self) -> None:
        """Closes all links and ends the thread."""
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def submit(self, command: HubCommand) -> None:
        """Schedules a command and returns at once; callable from any thread."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._execute, command)

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message to a peer; it is dropped if there is no link."""
        self.submit(Send(to, message))

    def set_admission(self, admission: Admission) -> None:
        """Replaces the members that a connecting peer is checked against."""
        self._admission = admission

    def block(
        self, entry: EntryId, *, inbound: bool = True, outbound: bool = True
    ) -> None:
        """Simulates a partition: drops messages in the given directions.

        An existing link stays up; new connections with the peer are refused.
        """
        if inbound:
            self._blocked_inbound.add(entry)
        if outbound:
            self._blocked_outbound.add(entry)

    def unblock(self, entry: EntryId) -> None:
        """Ends a simulated partition."""
        self._blocked_inbound.discard(entry)
        self._blocked_outbound.discard(entry)

    def stats(self) -> HubStats:
        """Returns the counters and the number of open links."""
        links = list(self._links.values())
        return HubStats(
            bytes_in=self._closed_link_bytes[0] + sum(link.bytes_in for link in links),
            bytes_out=self._closed_link_bytes[1]
            + sum(link.bytes_out for link in links),
            refusals=dict(self._refusals),
            links=len(links),
        )

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(self._listen())
        self._started.set()
        if server is not None:
            self._loop.run_forever()
            self._loop.run_until_complete(self._close(server))
        self._loop.close()

    async def _listen(self) -> Server | None:
        try:
            server = await serve(
                self._accept,
                self.settings.address,
                self.settings.port,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
            )
        except OSError as exc:
            self._start_error = exc
            return None
        self._port = next(iter(server.sockets)).getsockname()[1]
        return server

    async def _close(self, server: Server) -> None:
        server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await server.wait_closed()

    def _execute(self, command: HubCommand) -> None:
        match command:
            case Send(to, message):
                self._queue_message(to, message)
            case Dial(target, entry):
                self._start_task(self._dial(target, entry))
            case CloseLink(entry):
                self._close_link(entry)

    def _queue_message(self, to: EntryId, message: PeerMessage) -> None:
        link = self._links.get(to)
        if link is None or to in self._blocked_outbound:
            return
        if not link.put(message):
            self._refusals[OVERFLOW] += 1
            self._close_link(to)

    def _close_link(self, entry: EntryId) -> None:
        link = self._links.get(entry)
        if link is not None:
            self._start_task(link.close())

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, conn: ServerConnection) -> None:
        try:
            await self._run_link(conn, Side.LISTENER, None)
        except LinkRefusedError as exc:
            self._refusals[exc.refusal.value] += 1
            await conn.close()

    async def _dial(self, target: PeerAddress, entry: EntryId | None) -> None:
        if target in self._dialing:
            return
        self._dialing.add(target)
        try:
            conn = await connect(
                f"ws://{target.address}:{target.port}",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                open_timeout=DIAL_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                proxy=None,
            )
        except (OSError, WebSocketException) as exc:
            self._post(DialFailed(target, entry, type(exc).__name__))
            return
        finally:
            self._dialing.discard(target)
        try:
            await self._run_link(conn, Side.DIALER, entry)
        except LinkRefusedError as exc:
            self._refusals[exc.refusal.value] += 1
            self._post(DialFailed(target, entry, exc.refusal.value))
            await conn.close()

    async def _run_link(
        self, conn: Connection, side: Side, expected: EntryId | None
    ) -> None:
        link = await open_link(conn, self._credentials(side, expected))
        peer = link.peer.entry
        if peer in self._blocked_inbound | self._blocked_outbound:
            raise LinkRefusedError(LinkRefusal.BLOCKED, peer=peer)
        older = self._links.get(peer)
        if older is not None and not self._should_replace(link, older):
            raise LinkRefusedError(LinkRefusal.DUPLICATE, peer=peer)
        self._links[peer] = link
        if older is not None:
            self._start_task(older.close())
        self._post(LinkUp(peer, link.peer.zone, link.peer.incarnation))
        await self._serve_link(link)

    async def _serve_link(self, link: Link) -> None:
        peer = link.peer.entry
        reason = "closed"
        try:
            await link.run(lambda message: self._receive(peer, message))
        except FrameError as exc:
            self._refusals[BAD_FRAME] += 1
            reason = str(exc)
        finally:
            self._closed_link_bytes[0] += link.bytes_in
            self._closed_link_bytes[1] += link.bytes_out
            if self._links.get(peer) is link:
                del self._links[peer]
                self._post(LinkDown(peer, reason))

    def _receive(self, peer: EntryId, message: PeerMessage) -> None:
        if peer in self._blocked_inbound:
            self._refusals[BLOCKED_MESSAGE] += 1
            return
        self._post(Received(peer, message))

    def _credentials(self, side: Side, expected: EntryId | None) -> Credentials:
        settings = self.settings
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(settings.entry, settings.zone, settings.incarnation, nonce)
        return Credentials(settings.secret, hello, side, self._admission, expected)

    def _should_replace(self, newer: Link, older: Link) -> bool:
        """Returns whether a new link replaces the existing one to the same entry.

        A link to another incarnation or from the same side does. If both sides dialed,
        both keep the connection that the entry with the smaller name dialed.
        """
        if newer.peer.incarnation != older.peer.incarnation:
            return True
        if newer.side is older.side:
            return True
        return (newer.side is Side.DIALER) == (self.settings.entry < newer.peer.entry)
