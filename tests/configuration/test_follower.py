"""Applying records and snapshots that arrive in any order."""

from __future__ import annotations

import builders
from amaranthtray.domain.configuration import Configuration
from amaranthtray.domain.configuration.follower import (
    MAX_PENDING_RECORDS,
    MAX_TAIL_RECORDS,
    ConfigFollower,
)
from amaranthtray.domain.configuration.log import apply
from amaranthtray.domain.ids import Revision

RECORDS = [builders.record(number) for number in range(1, 400)]


def state_at(revision: int) -> Configuration:
    cfg = Configuration()
    for record in RECORDS[:revision]:
        cfg = apply(cfg, record)
    return cfg


def test_records_in_any_order_are_applied_in_order_once() -> None:
    follower = ConfigFollower()

    assert not follower.offer_records([RECORDS[2], RECORDS[1]]).has_changed
    assert follower.missing_after() == Revision(0)
    applied = follower.offer_records([RECORDS[0], RECORDS[0]]).records

    assert [record.revision for record in applied] == [1, 2, 3]
    assert not follower.offer_records(RECORDS[:3]).has_changed
    assert follower.missing_after() is None


def test_an_old_snapshot_is_ignored() -> None:
    follower = ConfigFollower(state_at(5))

    assert not follower.offer_snapshot(state_at(4)).has_changed
    assert follower.cfg.revision == 5


def test_pending_records_are_applied_after_a_snapshot() -> None:
    follower = ConfigFollower()
    follower.offer_records([RECORDS[6], RECORDS[5]])

    update = follower.offer_snapshot(state_at(5))

    assert update.adopted
    assert follower.cfg == state_at(7)


def test_pending_records_are_bounded() -> None:
    follower = ConfigFollower()
    follower.offer_records(RECORDS[1:])

    assert follower.offer_records(RECORDS[:1]).records[-1].revision == (
        MAX_PENDING_RECORDS
    )
    assert follower.missing_after() == Revision(MAX_PENDING_RECORDS)


def test_a_divergent_record_is_counted_and_ignored() -> None:
    follower = ConfigFollower(state_at(5))
    other = builders.record(4, op="another")

    assert not follower.offer_records([other, RECORDS[3]]).has_changed
    assert follower.divergent_records == 1


def test_a_lagging_peer_gets_recent_records_or_a_snapshot() -> None:
    follower = ConfigFollower()
    follower.offer_records(RECORDS[:MAX_PENDING_RECORDS])
    follower.offer_records(RECORDS[MAX_PENDING_RECORDS:])
    last = RECORDS[-1].revision

    assert follower.updates_since(last).records == ()
    assert follower.updates_since(Revision(last - 2)).records == tuple(RECORDS[-2:])
    too_old = follower.updates_since(Revision(last - MAX_TAIL_RECORDS - 1))
    assert too_old.snapshot is follower.cfg
