"""One authenticated connection to a peer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeVar

from websockets.exceptions import ConnectionClosed

from ..domain.errors import AmaranthtrayError
from ..domain.ids import EntryId
from .codec import FrameError, decode, encode
from .handshake import (
    MAX_HANDSHAKE_FRAME_BYTES,
    Admission,
    FrameAuthenticator,
    LinkRefusal,
    Side,
    check_hello,
    is_valid_proof,
    make_proof,
)
from .messages import Hello, Proof
from .outbox import Outbox

if TYPE_CHECKING:
    from collections.abc import Callable

    from .codec import PeerMessage

T = TypeVar("T")

HANDSHAKE_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 5.0


class Connection(Protocol):
    """The part of a websocket connection that a link uses."""

    async def recv(self) -> str | bytes:
        """Receives one frame."""

    async def send(self, message: bytes) -> None:
        """Sends one frame."""

    async def close(self) -> None:
        """Closes the connection."""


class LinkRefusedError(AmaranthtrayError):
    """The handshake with a peer failed."""

    def __init__(self, refusal: LinkRefusal, *, peer: str) -> None:
        super().__init__(refusal.value, step="handshake", peer=peer)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class Credentials:
    """How this side authenticates itself and its peer on one connection.

    Attributes:
        secret: The fleet's peer secret.
        hello: Identity of this side, with a fresh nonce.
        side: Whether this side dialed or listened.
        admission: Registered entries that the identity of the peer is checked against.
        expected: The entry that was dialed, if known.
    """

    secret: bytes
    hello: Hello
    side: Side
    admission: Admission
    expected: EntryId | None = None


class Link:
    """Sends and receives authenticated frames; created by ``open_link``."""

    def __init__(self, conn: Connection, credentials: Credentials, peer: Hello) -> None:
        self.peer = peer
        self.side = credentials.side
        self.bytes_in = 0
        self.bytes_out = 0
        self._conn = conn
        self._outbox = Outbox()
        self._has_messages = asyncio.Event()
        self._outbound_auth = FrameAuthenticator(
            credentials.secret,
            sender=credentials.side,
            sent=credentials.hello,
            received=peer,
        )
        self._inbound_auth = FrameAuthenticator(
            credentials.secret,
            sender=credentials.side.other,
            sent=peer,
            received=credentials.hello,
        )

    def put(self, message: PeerMessage) -> bool:
        """Queues a message; False if the queue is full and the link must close."""
        has_room = self._outbox.put(message)
        self._has_messages.set()
        return has_room

    async def run(self, receive: Callable[[PeerMessage], None]) -> None:
        """Sends queued messages and passes received ones to ``receive`` until the end.

        Raises:
            FrameError: The peer sent a frame that is malformed or not authentic.
        """
        sending = asyncio.create_task(self._send_all())
        receiving = asyncio.create_task(self._receive_all(receive))
        tasks = (sending, receiving)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            await self.close()
        for outcome in ended:
            if isinstance(outcome, FrameError):
                raise outcome

    async def close(self) -> None:
        """Closes the connection."""
        await self._conn.close()

    async def _send_all(self) -> None:
        while True:
            message = self._outbox.get()
            if message is None:
                self._has_messages.clear()
                await self._has_messages.wait()
                continue
            frame = self._outbound_auth.sign(encode(message))
            self.bytes_out += len(frame)
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._conn.send(frame)

    async def _receive_all(self, receive: Callable[[PeerMessage], None]) -> None:
        name = self.peer.entry
        while True:
            frame = await self._conn.recv()
            if isinstance(frame, str):
                raise FrameError(
                    "text frame instead of binary", step="receive", peer=name
                )
            self.bytes_in += len(frame)
            receive(decode(self._inbound_auth.verify(frame, peer=name), peer=name))


async def open_link(conn: Connection, credentials: Credentials) -> Link:
    """Runs the handshake: authenticates this side and its peer to each other.

    Raises:
        LinkRefusedError: The peer lacks the secret, or its identity is refused.
    """
    peer = "unknown"
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            await conn.send(encode(credentials.hello))
            hello = await _receive(conn, Hello, peer)
            peer = hello.entry
            refusal = check_hello(
                hello,
                own=credentials.hello,
                admission=credentials.admission,
                expected=credentials.expected,
            )
            if refusal is None:
                await _exchange_proofs(conn, credentials, hello)
    except TimeoutError as exc:
        raise LinkRefusedError(LinkRefusal.TIMEOUT, peer=peer) from exc
    except FrameError as exc:
        raise LinkRefusedError(LinkRefusal.MALFORMED, peer=peer) from exc
    except ConnectionClosed as exc:
        raise LinkRefusedError(LinkRefusal.REFUSED_BY_PEER, peer=peer) from exc
    if refusal is not None:
        raise LinkRefusedError(refusal, peer=peer)
    return Link(conn, credentials, hello)


async def _exchange_proofs(
    conn: Connection, credentials: Credentials, hello: Hello
) -> None:
    secret, side, own = credentials.secret, credentials.side, credentials.hello
    if side is Side.DIALER:
        await conn.send(encode(make_proof(secret, side=side, own=own, other=hello)))
    proof = await _receive(conn, Proof, hello.entry)
    if not is_valid_proof(proof, secret, side=side, own=own, other=hello):
        raise LinkRefusedError(LinkRefusal.INVALID_PROOF, peer=hello.entry)
    if side is Side.LISTENER:
        await conn.send(encode(make_proof(secret, side=side, own=own, other=hello)))


async def _receive(conn: Connection, kind: type[T], peer: str) -> T:
    frame = await conn.recv()
    if isinstance(frame, str) or len(frame) > MAX_HANDSHAKE_FRAME_BYTES:
        raise FrameError(
            "text frame or too large for a handshake", step="handshake", peer=peer
        )
    message = decode(frame, peer=peer)
    if not isinstance(message, kind):
        name = type(message).__name__
        raise FrameError(
            f"unexpected {name} during the handshake", step="handshake", peer=peer
        )
    return message
