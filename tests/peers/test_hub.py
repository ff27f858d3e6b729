"""Links on the loopback interface: authentication, partitions, replacement."""

from __future__ import annotations

import asyncio
import queue
from contextlib import contextmanager
from typing import TYPE_CHECKING

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from amaranthtray.domain.ids import EntryId, Incarnation, Revision, Term, ZoneId
from amaranthtray.peers.codec import decode, encode
from amaranthtray.peers.events import (
    CloseLink,
    Dial,
    DialFailed,
    LinkDown,
    LinkUp,
    PeerAddress,
    PeerEvent,
    Received,
)
from amaranthtray.peers.handshake import Admission, Side, make_proof
from amaranthtray.peers.hub import HubSettings, PeerHub
from amaranthtray.peers.messages import ConfigWanted, Heartbeat, Hello

if TYPE_CHECKING:
    from collections.abc import Iterator

WAIT_S = 5.0
HEARTBEAT = Heartbeat(Revision(7), Term(0), 0)


class HubHarness:
    """A hub on loopback, and the mailbox that receives its events."""

    def __init__(
        self, name: str, *, secret: str = "s", incarnation: str = "i1", zone: str = "z1"
    ) -> None:
        self.entry = EntryId(name)
        self.mailbox: queue.Queue[PeerEvent] = queue.Queue()
        settings = HubSettings(
            self.entry, ZoneId(zone), Incarnation(incarnation), secret.encode()
        )
        self.hub = PeerHub(settings, self.mailbox.put)
        self.address = PeerAddress("127.0.0.1", self.hub.start())

    def dial(self, other: HubHarness, *, entry: str | None = None) -> None:
        self.hub.submit(Dial(other.address, EntryId(entry or other.entry)))

    def next(self) -> PeerEvent:
        return self.mailbox.get(timeout=WAIT_S)

    def next_of(self, kind: type[PeerEvent]) -> PeerEvent:
        while not isinstance(event := self.next(), kind):
            pass
        return event


@contextmanager
def running(*harnesses: HubHarness) -> Iterator[tuple[HubHarness, ...]]:
    try:
        yield harnesses
    finally:
        for harness in harnesses:
            harness.hub.stop()


def test_peers_authenticate_and_exchange_messages() -> None:
    with running(HubHarness("a"), HubHarness("b", zone="z2")) as (first, second):
        first.dial(second)

        assert first.next() == LinkUp(EntryId("b"), ZoneId("z2"), Incarnation("i1"))
        assert second.next() == LinkUp(EntryId("a"), ZoneId("z1"), Incarnation("i1"))
        first.hub.send(second.entry, HEARTBEAT)
        second.hub.send(first.entry, ConfigWanted(Revision(3)))
        assert second.next() == Received(first.entry, HEARTBEAT)
        assert first.next() == Received(second.entry, ConfigWanted(Revision(3)))
        first.hub.submit(CloseLink(second.entry))
        assert isinstance(first.next(), LinkDown)
        assert isinstance(second.next(), LinkDown)
        assert second.hub.stats().bytes_in > 0


@pytest.mark.parametrize(
    ("expected", "admission", "refusal"),
    [
        ("b", Admission(), "stranger"),
        ("x", Admission(), "wrong_entry"),
        ("b", Admission(zones={EntryId("b"): ZoneId("z9")}), "wrong_zone"),
        (
            "b",
            Admission(superseded={EntryId("b"): frozenset({Incarnation("i1")})}),
            "old_incarnation",
        ),
    ],
)
def test_wrong_identities_are_refused_and_counted(
    expected: str, admission: Admission, refusal: str
) -> None:
    other = HubHarness("b", secret="wrong" if refusal == "stranger" else "s")
    with running(HubHarness("a"), other) as (first, second):
        first.hub.set_admission(admission)
        first.dial(second, entry=expected)

        assert isinstance(first.next(), DialFailed)
        seen = first.hub.stats().refusals | second.hub.stats().refusals
        assert refusal in seen
        assert first.hub.stats().links == 0


def test_a_replayed_proof_and_a_reflected_one_are_refused() -> None:
    """The attacker records a dialer's handshake frames and sends them again.

    Another attacker sends back the frames that it receives.
    """
    recorded: list[bytes] = []

    async def record(address: PeerAddress) -> None:
        async with connect(f"ws://{address.address}:{address.port}") as conn:
            theirs = decode(await conn.recv(), peer="t")
            assert isinstance(theirs, Hello)
            nonce = theirs.nonce[::-1]
            hello = Hello(EntryId("c"), ZoneId("z1"), Incarnation("i1"), nonce)
            recorded.append(encode(hello))
            proof = make_proof(b"s", side=Side.DIALER, own=hello, other=theirs)
            recorded.append(encode(proof))
            for frame in recorded:
                await conn.send(frame)
            await conn.recv()

    async def replay(address: PeerAddress, frames: list[bytes]) -> None:
        async with connect(f"ws://{address.address}:{address.port}") as conn:
            await conn.recv()
            for frame in frames:
                await conn.send(frame)
            while True:
                await conn.recv()

    async def reflect(address: PeerAddress) -> None:
        async with connect(f"ws://{address.address}:{address.port}") as conn:
            while True:
                await conn.send(await conn.recv())

    with running(HubHarness("a")) as (first,):
        asyncio.run(record(first.address))
        assert isinstance(first.next(), LinkUp)
        with pytest.raises(ConnectionClosed):
            asyncio.run(replay(first.address, recorded))
        with pytest.raises(ConnectionClosed):
            asyncio.run(reflect(first.address))

        refusals = first.hub.stats().refusals
        assert refusals["stranger"] == 1
        assert refusals["own_identity"] == 1


def test_a_frame_with_a_wrong_authentication_tag_ends_the_link() -> None:
    async def inject(address: PeerAddress) -> None:
        async with connect(f"ws://{address.address}:{address.port}") as conn:
            theirs = decode(await conn.recv(), peer="t")
            assert isinstance(theirs, Hello)
            hello = Hello(EntryId("c"), ZoneId("z1"), Incarnation("i1"), b"n" * 16)
            await conn.send(encode(hello))
            proof = make_proof(b"s", side=Side.DIALER, own=hello, other=theirs)
            await conn.send(encode(proof))
            await conn.recv()
            await conn.send(b"0" * 8 + encode(HEARTBEAT))
            async with asyncio.timeout(WAIT_S):
                await conn.wait_closed()

    with running(HubHarness("a")) as (first,):
        asyncio.run(inject(first.address))
        assert isinstance(first.next(), LinkUp)
        assert isinstance(first.next(), LinkDown)
        assert first.hub.stats().refusals == {"bad_frame": 1}


def test_a_new_incarnation_of_an_entry_replaces_the_old_one() -> None:
    old, new = HubHarness("b"), HubHarness("b", incarnation="i2")
    with running(HubHarness("a"), old, new) as (first, _, _):
        old.dial(first)
        assert first.next_of(LinkUp).incarnation == "i1"
        new.dial(first)
        assert first.next_of(LinkUp).incarnation == "i2"
        assert isinstance(old.next_of(LinkDown), LinkDown)
        first.hub.send(EntryId("b"), HEARTBEAT)
        assert new.next_of(Received) == Received(first.entry, HEARTBEAT)


def test_one_link_remains_if_both_sides_dial() -> None:
    with running(HubHarness("a"), HubHarness("b")) as (first, second):
        for _ in range(5):
            first.dial(second)
            second.dial(first)
        first.next_of(LinkUp)
        second.next_of(LinkUp)
        for number in range(20):
            first.hub.send(second.entry, ConfigWanted(Revision(number)))
            try:
                second.next_of(Received)
                break
            except queue.Empty:
                continue
        assert first.hub.stats().links == second.hub.stats().links == 1


def test_a_simulated_partition_drops_messages_in_one_direction() -> None:
    with running(HubHarness("a"), HubHarness("b")) as (first, second):
        first.dial(second)
        first.next()
        second.next()
        second.hub.block(first.entry, outbound=False)
        first.hub.send(second.entry, HEARTBEAT)
        second.hub.send(first.entry, ConfigWanted(Revision(1)))
        assert isinstance(first.next(), Received)
        while "swallowed" not in second.hub.stats().refusals:
            assert second.mailbox.empty()
        second.hub.unblock(first.entry)
        first.hub.send(second.entry, ConfigWanted(Revision(2)))
        assert second.next() == Received(first.entry, ConfigWanted(Revision(2)))


def test_a_dial_without_listener_fails() -> None:
    with running(HubHarness("a"), HubHarness("b")) as (first, second):
        second.hub.stop()
        first.dial(second)
        assert isinstance(first.next(), DialFailed)
