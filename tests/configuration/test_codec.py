"""Encoding and decoding of records and snapshots, as CBOR and as JSON."""

from __future__ import annotations

import cbor2
import pytest

import builders
from amaranthtray.domain.configuration import (
    AddKey,
    AddOperator,
    Configuration,
    EndEvacuation,
    EvacuateZone,
    PlaceHosts,
    PutPool,
    PutTeam,
    PutWave,
    SetHostLabels,
    Wave,
)
from amaranthtray.domain.configuration.codec import (
    record_from_dict,
    record_from_json,
    record_to_dict,
    record_to_json,
    snapshot_from_dict,
    snapshot_from_json,
    snapshot_to_dict,
    snapshot_to_json,
)
from amaranthtray.domain.configuration.log import apply
from amaranthtray.domain.errors import ProblemError
from amaranthtray.domain.ids import HostId, PoolName, WaveName, ZoneId

RECORD = builders.record(
    1,
    PutPool(builders.pool("web")),
    PutTeam(builders.team("red", labels={"tier": "gold"})),
    AddKey(builders.key(1)[0]),
    AddOperator(builders.operator(1)[0]),
    SetHostLabels({HostId("h1"): {"rack": "r1"}}),
    PlaceHosts({HostId("h1"): PoolName("web")}),
    PutWave(Wave(WaveName("w1"), "rack=r1")),
    EvacuateZone(ZoneId("z1"), all_zones=True),
    EndEvacuation(ZoneId("z1")),
    EvacuateZone(ZoneId("z2")),
)


def test_a_record_round_trips_through_json_and_cbor() -> None:
    by_cbor = cbor2.loads(cbor2.dumps(record_to_dict(RECORD)))

    assert record_from_dict(by_cbor, step="t", peer="p") == RECORD
    assert record_from_json(record_to_json(RECORD), step="t", peer="p") == RECORD


def test_a_snapshot_round_trips_through_json_and_cbor() -> None:
    cfg = apply(Configuration(), RECORD)
    by_cbor = cbor2.loads(cbor2.dumps(snapshot_to_dict(cfg)))

    assert snapshot_from_dict(by_cbor, step="t", peer="p") == cfg
    assert snapshot_from_json(snapshot_to_json(cfg), step="t", peer="p") == cfg


def test_a_snapshot_written_before_evacuations_existed_has_none() -> None:
    fields = snapshot_to_dict(apply(Configuration(), RECORD))
    del fields["evacuations"]

    assert snapshot_from_dict(fields, step="t", peer="p").evacuations == {}


@pytest.mark.parametrize(
    "data",
    [
        None,
        {},
        {"changes": []},
        {**record_to_dict(RECORD), "extra": 1},
        {**record_to_dict(RECORD), "revision": "one"},
        {**record_to_dict(RECORD), "changes": [{"type": "Nothing"}]},
    ],
)
def test_a_malformed_record_is_refused(data: object) -> None:
    with pytest.raises(ProblemError):
        record_from_dict(data, step="t", peer="p")


@pytest.mark.parametrize("data", [b"", b"{}", b"x" * 100])
def test_a_malformed_snapshot_is_refused(data: bytes) -> None:
    with pytest.raises(ProblemError):
        snapshot_from_json(data, step="t", peer="p")
