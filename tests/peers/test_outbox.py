"""Replacement of queued messages, the bound of the queue, and the frame codec."""

from __future__ import annotations

import pytest

from amaranthtray.domain.ids import (
    Incarnation,
    Millis,
    PoolName,
    Revision,
    TeamName,
    Term,
)
from amaranthtray.domain.shares import UsageFrame
from amaranthtray.peers.codec import PeerMessage, decode, encode
from amaranthtray.peers.messages import (
    ConfigWanted,
    ForwardReply,
    Heartbeat,
    MemberList,
)
from amaranthtray.peers.outbox import Outbox


def heartbeat(revision: int) -> Heartbeat:
    return Heartbeat(Revision(revision), Term(0), 0)


def usage_frame(team: str, used_ms: int, run: str = "i1") -> UsageFrame:
    used = {PoolName("web"): {TeamName(team): used_ms}}
    return UsageFrame(Incarnation(run), Millis(used_ms), used)


def drain(outbox: Outbox) -> list[PeerMessage]:
    return [outbox.get() for _ in range(len(outbox))]


@pytest.mark.parametrize(
    ("put", "left"),
    [
        ([heartbeat(1), ConfigWanted(Revision(0)), heartbeat(2)], [1, 2]),
        ([MemberList(5, ()), MemberList(6, ())], [1]),
        ([MemberList(6, ()), MemberList(5, ())], [0, 1]),
        ([usage_frame("red", 1), usage_frame("red", 2, run="i2")], [0, 1]),
        ([ForwardReply(1, 200, {}, b""), ForwardReply(1, 200, {}, b"")], [0, 1]),
    ],
)
def test_only_superseding_kinds_are_replaced(
    put: list[PeerMessage], left: list[int]
) -> None:
    outbox = Outbox()

    assert all(outbox.put(message) for message in put)
    assert drain(outbox) == [put[index] for index in left]


def test_merged_usage_frames_keep_sums_of_the_older_frame() -> None:
    outbox = Outbox()
    outbox.put(usage_frame("red", 1))
    outbox.put(usage_frame("blue", 2))

    (merged,) = drain(outbox)

    assert merged.sums == {"web": {"red": 1, "blue": 2}}


def test_a_full_outbox_refuses_messages_and_drops_none() -> None:
    outbox = Outbox(limit=2)
    assert outbox.put(heartbeat(1))
    assert outbox.put(ConfigWanted(Revision(1)))

    assert not outbox.put(ConfigWanted(Revision(2)))
    assert outbox.put(heartbeat(2))
    assert len(drain(outbox)) == 2


@pytest.mark.parametrize(
    "message",
    [
        ForwardReply(1, 200, {"a": "b"}, b"\xff\x00"),
        usage_frame("red", 1),
        heartbeat(3),
    ],
)
def test_messages_round_trip_through_frames(message: PeerMessage) -> None:
    assert decode(encode(message), peer="p") == message
