"""All links of an entry, on one event loop that owns the sockets.

Other threads talk to the hub by commands; the hub talks to its owner by posting
events to the mailbox that was passed in.
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

Post: TypeAlias = Callable[[PeerEvent], None]
"""Puts an event into the owner's mailbox; must not block."""

DIAL_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
START_TIMEOUT_S = 5.0
OVERFLOW = "overflow"
BAD_FRAME = "bad_frame"
SWALLOWED = "swallowed"
"""Counts messages that a simulated cut took."""


@dataclass(frozen=True, slots=True)
class HubSettings:
    """Who this entry is towards its peers.

    Attributes:
        entry: Unique name.
        zone: Availability zone.
        incarnation: This run of the process.
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
    """Counters since the start.

    Attributes:
        bytes_in: Bytes of frames received.
        bytes_out: Bytes of frames sent.
        refusals: Refused connections and ended links by cause.
        links: Links now.
    """

    bytes_in: int
    bytes_out: int
    refusals: dict[str, int]
    links: int


class PeerHub:
    """Listens, dials, authenticates and passes messages.

    Args:
        settings: Who this entry is.
        post: Receives the events, on the hub's thread.
    """

    def __init__(self, settings: HubSettings, post: Post) -> None:
        self.settings = settings
        self._post = post
        self._admission = Admission()
        self._links: dict[EntryId, Link] = {}
        self._dialing: set[PeerAddress] = set()
        self._refusals: Counter[str] = Counter()
        self._closed_bytes = [0, 0]
        self._deaf_to: set[EntryId] = set()
        self._mute_to: set[EntryId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="peer-hub", daemon=True)
        self._started = threading.Event()
        self._port = settings.port
        self._start_error: OSError | None = None

    def start(self) -> int:
        """Listens; returns the port.

        Raises:
            OSError: The address cannot be listened on.
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
        """Carries out a command; returns at once. Safe from any thread."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._execute, command)

    def send(self, to: EntryId, message: PeerMessage) -> None:
        """Sends a message to a peer; without a link it is dropped."""
        self.submit(Send(to, message))

    def set_admission(self, admission: Admission) -> None:
        """Replaces what new peers are checked against."""
        self._admission = admission

    def block(
        self, entry: EntryId, *, inbound: bool = True, outbound: bool = True
    ) -> None:
        """Simulates a cut: messages vanish in the directions named, links stay up."""
        if inbound:
            self._deaf_to.add(entry)
        if outbound:
            self._mute_to.add(entry)

    def unblock(self, entry: EntryId) -> None:
        """Ends a simulated cut."""
        self._deaf_to.discard(entry)
        self._mute_to.discard(entry)

    def stats(self) -> HubStats:
        """Returns the counters."""
        links = list(self._links.values())
        return HubStats(
            bytes_in=self._closed_bytes[0] + sum(link.bytes_in for link in links),
            bytes_out=self._closed_bytes[1] + sum(link.bytes_out for link in links),
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
                self._put(to, message)
            case Dial(target, entry):
                self._begin(self._dial(target, entry))
            case CloseLink(entry):
                self._hang_up(entry)

    def _put(self, to: EntryId, message: PeerMessage) -> None:
        link = self._links.get(to)
        if link is None or to in self._mute_to:
            return
        if not link.put(message):
            self._refusals[OVERFLOW] += 1
            self._hang_up(to)

    def _hang_up(self, entry: EntryId) -> None:
        link = self._links.get(entry)
        if link is not None:
            self._begin(link.close())

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
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
        if peer in self._deaf_to | self._mute_to:
            raise LinkRefusedError(LinkRefusal.BLOCKED, peer=peer)
        older = self._links.get(peer)
        if older is not None and not self._replaces(link, older):
            raise LinkRefusedError(LinkRefusal.DUPLICATE, peer=peer)
        self._links[peer] = link
        if older is not None:
            self._begin(older.close())
        self._post(LinkUp(peer, link.peer.zone, link.peer.incarnation))
        await self._keep(link)

    async def _keep(self, link: Link) -> None:
        peer = link.peer.entry
        reason = "closed"
        try:
            await link.run(lambda message: self._receive(peer, message))
        except FrameError as exc:
            self._refusals[BAD_FRAME] += 1
            reason = str(exc)
        finally:
            self._closed_bytes[0] += link.bytes_in
            self._closed_bytes[1] += link.bytes_out
            if self._links.get(peer) is link:
                del self._links[peer]
                self._post(LinkDown(peer, reason))

    def _receive(self, peer: EntryId, message: PeerMessage) -> None:
        if peer in self._deaf_to:
            self._refusals[SWALLOWED] += 1
            return
        self._post(Received(peer, message))

    def _credentials(self, side: Side, expected: EntryId | None) -> Credentials:
        settings = self.settings
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(settings.entry, settings.zone, settings.incarnation, nonce)
        return Credentials(settings.secret, hello, side, self._admission, expected)

    def _replaces(self, newer: Link, older: Link) -> bool:
        """Decides as the other side does: the smaller entry's dial is kept."""
        if newer.peer.incarnation != older.peer.incarnation:
            return True
        if newer.side is older.side:
            return True
        return (newer.side is Side.DIALER) == (self.settings.entry < newer.peer.entry)
