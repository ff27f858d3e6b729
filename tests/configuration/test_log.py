"""Proposing and applying records of the configuration log."""

from __future__ import annotations

import pytest
from returns.result import Failure, Result, Success

import builders
from amaranthtray.domain.configuration import (
    SPARE_POOL,
    AddKey,
    AddOperator,
    Change,
    Configuration,
    PlaceHosts,
    PutPool,
    PutQueue,
    PutTeam,
    PutWave,
    Record,
    RemovePool,
    RemoveTeam,
    SetHostLabels,
    SetWaveState,
    Wave,
    WaveState,
    WithdrawKey,
    WithdrawOperator,
)
from amaranthtray.domain.configuration.key_ids import KEY_ID_LIFETIME_REVISIONS
from amaranthtray.domain.configuration.log import (
    HISTORY_RECORDS,
    AlreadyCommitted,
    ChangeConflict,
    InvalidChange,
    PoolCheck,
    Refusal,
    RevisionGapError,
    apply,
    propose,
)
from amaranthtray.domain.errors import Problem
from amaranthtray.domain.ids import (
    EntryId,
    HostId,
    OperationId,
    PoolName,
    Revision,
    TeamName,
    WaveName,
)

KEY, _ = builders.key(1)
ADMIN, _ = builders.operator(1)


def configuration_after(
    *changes: Change, cfg: Configuration | None = None
) -> Configuration:
    state = cfg or Configuration()
    for change in changes:
        state = apply(state, builders.record(state.revision + 1, change))
    return state


def propose_changes(
    cfg: Configuration,
    *changes: Change,
    op: str = "new",
    expected: int | None = None,
    pools: PoolCheck | None = None,
) -> Result[Record, Refusal]:
    return propose(
        cfg,
        changes,
        rules=builders.rules(pools=pools),
        op_id=OperationId(op),
        operator="ana",
        entry=EntryId("e1"),
        expected=None if expected is None else Revision(expected),
    )


BASE = configuration_after(
    PutPool(builders.pool("web")),
    PutTeam(builders.team("red")),
    PutQueue(builders.queue("bookings")),
    AddKey(KEY),
    AddOperator(ADMIN),
    PlaceHosts({HostId("h1"): PoolName("web")}),
    PutWave(Wave(WaveName("w1"), "rack=r1")),
)


@pytest.mark.parametrize(
    ("change", "where"),
    [
        (PutPool(builders.pool("Bad Name")), "pool/Bad Name"),
        (PutPool(builders.pool("x", selector="!")), "pool/x.selector"),
        (PutPool(builders.pool("x", max_out=-1)), "pool/x.budget"),
        (PutPool(builders.pool("x", priority=-1)), "pool/x.priority"),
        (PutPool(builders.pool("spare", selector="a=b")), "pool/spare"),
        (RemovePool(PoolName("web")), "pool/web"),
        (RemovePool(PoolName("none")), "pool/none"),
        (RemovePool(SPARE_POOL), "pool/spare"),
        (PutTeam(builders.team("x", share=0)), "team/x.share"),
        (PutTeam(builders.team("x", limit=-1)), "team/x.limit"),
        (PutTeam(builders.team("-open-")), "team/-open-"),
        (PutTeam(builders.team("x", labels={"a b": "c"})), "team/x.labels"),
        (RemoveTeam(TeamName("none")), "team/none"),
        (AddKey(KEY), f"key/{KEY.key_id}"),
        (AddKey(builders.key(2, team="none")[0]), "team/none"),
        (AddKey(builders.key(2, minted=8)[0]), "key/k8-n2"),
        (WithdrawKey(builders.key(9)[0].key_id), "key/k0-n9"),
        (PutQueue(builders.queue("q", pool="none")), "queue/q.pool"),
        (PutQueue(builders.queue("q", selector="!")), "queue/q.selector"),
        (SetHostLabels({HostId("h1"): {"a": "b c"}}), "host/h1.labels"),
        (PlaceHosts({HostId("h1"): PoolName("none")}), "placement/h1"),
        (WithdrawOperator(ADMIN.key_id), "operator/k0-op1"),
        (PutWave(Wave(WaveName("w1"), "rack=r2")), "wave/w1"),
        (PutWave(Wave(WaveName("w2"), "!")), "wave/w2.selector"),
        (SetWaveState(WaveName("w9"), WaveState.PAUSED), "wave/w9"),
    ],
)
def test_an_invalid_change_is_refused_with_object_and_fix(
    change: Change, where: str
) -> None:
    problem = propose_changes(BASE, change).failure()

    assert isinstance(problem, Problem)
    assert problem.where == where
    assert problem.fix


def test_each_change_of_a_record_is_checked_after_those_before_it() -> None:
    first = PutPool(builders.pool("batch"))
    second = PutQueue(builders.queue("q", pool="batch"))

    assert isinstance(propose_changes(BASE, first, second), Success)
    assert isinstance(propose_changes(BASE, second, first), Failure)


def test_ambiguous_pools_are_refused_by_the_injected_check() -> None:
    def refuse(before: Configuration, now: Configuration) -> InvalidChange:
        return InvalidChange(
            f"{sorted(now.pools)} match one host", "pool", "tell them apart"
        )

    problem = propose_changes(BASE, PutPool(builders.pool("b")), pools=refuse).failure()

    assert "'b', 'web'" in problem.what


def test_a_conflict_names_the_object_and_the_other_change() -> None:
    cfg = apply(
        BASE,
        builders.record(8, PutTeam(builders.team("red", limit=5)), operator="bo"),
    )

    conflict = propose_changes(
        cfg, PutTeam(builders.team("red", limit=9)), expected=7
    ).failure()

    assert conflict == ChangeConflict("propose", "e1", "team/red", Revision(8), "bo")
    assert isinstance(
        propose_changes(cfg, RemovePool(PoolName("x")), expected=7), Failure
    )
    blue = PutTeam(builders.team("blue"))
    assert isinstance(propose_changes(cfg, blue, expected=7), Success)


def test_a_repeated_operation_is_recognised_and_not_applied_again() -> None:
    assert propose_changes(BASE, RemoveTeam(TeamName("red")), op="op-2").failure() == (
        AlreadyCommitted(Revision(2))
    )


def test_a_withdrawn_key_id_can_never_be_added_again() -> None:
    cfg = configuration_after(WithdrawKey(KEY.key_id), cfg=BASE)
    assert (
        propose_changes(cfg, AddKey(KEY)).failure().what == "the key id was withdrawn"
    )

    for number in range(KEY_ID_LIFETIME_REVISIONS):
        other, _ = builders.key(number + 10, minted=cfg.revision)
        cfg = configuration_after(AddKey(other), WithdrawKey(other.key_id), cfg=cfg)

    assert KEY.key_id not in cfg.withdrawn
    assert len(cfg.withdrawn) <= KEY_ID_LIFETIME_REVISIONS
    assert propose_changes(cfg, AddKey(KEY)).failure().what == (
        "the key id is malformed or too old"
    )


def test_removing_a_team_withdraws_its_keys() -> None:
    cfg = configuration_after(RemoveTeam(TeamName("red")), cfg=BASE)

    assert not cfg.keys
    assert KEY.key_id in cfg.withdrawn


def test_history_is_bounded_and_an_expected_revision_before_it_conflicts() -> None:
    cfg = BASE
    for number in range(HISTORY_RECORDS + 10):
        cfg = configuration_after(PutTeam(builders.team(f"t{number}")), cfg=cfg)

    assert len(cfg.recent_ops) == len(cfg.recent_operators) == HISTORY_RECORDS
    assert len(cfg.touched) <= HISTORY_RECORDS
    assert isinstance(
        propose_changes(cfg, PutTeam(builders.team("red")), expected=7).failure(),
        ChangeConflict,
    )


def test_apply_refuses_a_gap_and_shares_unchanged_maps() -> None:
    with pytest.raises(RevisionGapError):
        apply(BASE, builders.record(9))

    cfg = apply(BASE, builders.record(8, PutTeam(builders.team("blue"))))

    assert cfg.placement is BASE.placement
    assert TeamName("blue") not in BASE.teams


def test_moving_a_host_to_the_spare_pool_removes_its_placement() -> None:
    cfg = configuration_after(PlaceHosts({HostId("h1"): SPARE_POOL}), cfg=BASE)

    assert cfg.placement == {}
    assert cfg.pool_of(HostId("h1")) == SPARE_POOL
