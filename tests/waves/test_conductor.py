"""What a conductor does step by step: fencing, order of acts, waves and moves."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

import builders
from amaranthtray.domain.budgets import Ledger, OutCause, Stage
from amaranthtray.domain.configuration import (
    SPARE_POOL,
    Configuration,
    WaveAction,
    WaveState,
)
from amaranthtray.domain.ids import HostId, Millis, PoolName, Revision, Term, WaveName
from amaranthtray.domain.placement import PoolView, pool_views
from amaranthtray.domain.waves import (
    CasLedger,
    CommitMoves,
    Conductor,
    ConductorMessage,
    DrainHost,
    DutyGained,
    DutyRenewed,
    EndUnknown,
    HealthChanged,
    HealthListed,
    HostBack,
    HostDrained,
    HostReturned,
    LedgerRead,
    LedgerSwapped,
    MovesCommitted,
    MovesRefused,
    OrderDropped,
    ReadLedger,
    RebootHost,
    ReturnHost,
    StepDown,
    StoreAway,
    SwapConflict,
    SwapUnknown,
    Tick,
    ViewChanged,
    combine,
    progress,
)

if TYPE_CHECKING:
    from amaranthtray.domain.inventory import Host

WEB = PoolName("web")
PATCH = WaveName("patch")
LEASE_MS = 1_000_000_000
HOSTS = tuple(
    builders.host(
        n, zone=f"z{n % 3}", rack=f"r{n}", labels={"pool": "web", "n": str(n)}
    )
    for n in range(6)
)
NAMES = tuple(host.host_id for host in HOSTS)


def config(**options: object) -> Configuration:
    wave = builders.wave(**options)  # type: ignore[arg-type]
    pools = tuple(
        builders.pool(name, max_out=2, max_out_per_zone=2) for name in ("web", "db")
    )
    cfg = builders.configuration(
        pools=pools, placement={host.host_id: "web" for host in HOSTS}
    )
    return replace(cfg, waves={wave.name: wave})


def view_of(cfg: Configuration, hosts: tuple[Host, ...] = HOSTS) -> PoolView:
    return pool_views(cfg, hosts, only=frozenset({WEB}))[WEB]


class Driver:
    """Steps a conductor against a store that answers at once."""

    def __init__(
        self, cfg: Configuration, *, term: int = 1, ledger: Ledger | None = None
    ) -> None:
        self.cfg = cfg
        self.now_ms = 0
        self.effects: list[object] = []
        self.ledger = ledger
        self.version = 0 if ledger is None else 5
        self.is_manual = False
        self.conductor = Conductor(WEB)
        self.send(DutyGained(Term(term), Millis(LEASE_MS)))
        self.send(ViewChanged(view_of(cfg)))
        self.send(HealthListed())

    def send(self, message: ConductorMessage) -> list[object]:
        """Returns the effects of a message, those after store replies included."""
        self.conductor, effects = self.conductor.step(
            message, now_ms=Millis(self.now_ms), wall_ms=self.now_ms
        )
        seen: list[object] = []
        for effect in effects:
            seen.append(effect)
            self.effects.append(effect)
            if not self.is_manual:
                seen += self._answer(effect)
        return seen

    def _answer(self, effect: object) -> list[object]:
        match effect:
            case ReadLedger(_, op_id):
                return self.send(LedgerRead(op_id, self.ledger, self.version))
            case CasLedger(ledger, version, fence):
                assert version == self.version
                self.ledger, self.version = ledger, version + 1
                return self.send(LedgerSwapped(fence.op_id, self.version))
        return []

    def change(self, cfg: Configuration) -> list[object]:
        self.cfg = replace(cfg, revision=Revision(self.cfg.revision + 1))
        return self.send(ViewChanged(view_of(self.cfg)))

    def steer(self, state: WaveState) -> list[object]:
        wave = replace(self.cfg.waves[PATCH], state=state)
        return self.change(replace(self.cfg, waves={PATCH: wave}))

    def stages(self) -> dict[str, str]:
        assert self.ledger is not None
        return {host: out.stage.value for host, out in self.ledger.out.items()}

    def op(self, host: HostId) -> str:
        assert self.ledger is not None
        return self.ledger.out[host].op_id

    def drained(self, host: HostId) -> list[object]:
        return self.send(HostDrained(host, self.op(host)))  # type: ignore[arg-type]

    def back(self, host: HostId) -> list[object]:
        return self.send(HostBack(host, self.op(host)))  # type: ignore[arg-type]

    def returned(self, host: HostId) -> list[object]:
        return self.send(HostReturned(host, self.op(host)))  # type: ignore[arg-type]

    def first_out(self) -> HostId:
        assert self.ledger is not None
        return next(iter(self.ledger.out))


def kinds(effects: list[object]) -> list[str]:
    return [type(effect).__name__ for effect in effects]


def test_a_drain_begins_only_after_its_write_took_effect() -> None:
    driver = Driver(config())
    assert kinds(driver.effects) == [
        "ReadLedger",
        "CasLedger",
        "DrainHost",
        "DrainHost",
    ]
    driver.is_manual = True
    effects = driver.drained(driver.first_out())
    assert kinds(effects) == ["CasLedger"]
    assert kinds(driver.send(Tick())) == []
    cas = effects[0]
    assert isinstance(cas, CasLedger)
    done = driver.send(LedgerSwapped(cas.fence.op_id, 3))
    assert kinds(done) == ["RebootHost"]


def test_a_new_holder_claims_the_ledger_before_it_gives_any_order() -> None:
    before = Driver(config(), term=1)
    after = Driver(config(), term=2, ledger=before.ledger)
    assert kinds(after.effects) == ["ReadLedger", "CasLedger", "DrainHost", "DrainHost"]
    drains = [effect for effect in after.effects if isinstance(effect, DrainHost)]
    assert {drain.fence.term for drain in drains} == {2}
    assert {drain.fence.op_id for drain in drains} == {before.op(NAMES[0])}


def test_no_order_is_given_for_a_ledger_of_another_term() -> None:
    before = Driver(config(), term=1)
    driver = Driver(config(), term=2)
    driver.is_manual = True
    driver.send(DutyGained(Term(3), Millis(LEASE_MS)))
    read = driver.effects[-1]
    assert isinstance(read, ReadLedger)
    effects = driver.send(LedgerRead(read.op_id, before.ledger, 9))
    assert kinds(effects) == []
    assert kinds(driver.send(HealthListed())) == ["CasLedger"]


@pytest.mark.parametrize("reply", ["read", "conflict"])
def test_a_higher_term_in_the_ledger_ends_the_duty(reply: str) -> None:
    newer = Driver(config(), term=9).ledger
    driver = Driver(config(), term=2)
    driver.is_manual = True
    cas = driver.drained(driver.first_out())[0]
    assert isinstance(cas, CasLedger)
    if reply == "conflict":
        effects = driver.send(SwapConflict(cas.fence.op_id, newer, 99))
    else:
        driver.send(SwapUnknown(cas.fence.op_id))
        driver.now_ms += 20_000
        read = driver.send(Tick())[0]
        assert isinstance(read, ReadLedger)
        effects = driver.send(LedgerRead(read.op_id, newer, 99))
    assert effects == [StepDown(Term(9))]
    assert driver.send(Tick()) == []


@pytest.mark.parametrize("took_effect", [True, False])
def test_a_lost_reply_is_settled_by_reading_and_fenced_by_writing(
    took_effect: bool,
) -> None:
    driver = Driver(config())
    old, version = driver.ledger, driver.version
    host = driver.first_out()
    driver.is_manual = True
    cas = driver.drained(host)[0]
    assert isinstance(cas, CasLedger)
    assert driver.send(SwapUnknown(cas.fence.op_id)) == []
    assert driver.steer(WaveState.PAUSED) == []
    driver.now_ms += 1_000
    read = driver.send(Tick())[0]
    assert isinstance(read, ReadLedger)
    found = (cas.ledger, version + 1) if took_effect else (old, version)
    effects = driver.send(LedgerRead(read.op_id, *found))
    assert cas.ledger.was_written_by(cas.fence.op_id)
    assert kinds(effects) == (["RebootHost"] if took_effect else []) + ["CasLedger"]
    assert driver.conductor.is_unsure
    swap = effects[-1]
    assert isinstance(swap, CasLedger)
    driver.send(LedgerSwapped(swap.fence.op_id, swap.version + 1))
    assert driver.conductor.is_settled


def test_an_answer_older_than_what_is_known_is_not_believed() -> None:
    driver = Driver(config())
    driver.is_manual = True
    cas = driver.drained(driver.first_out())[0]
    assert isinstance(cas, CasLedger)
    driver.send(SwapUnknown(cas.fence.op_id))
    driver.now_ms += 1_000
    read = driver.send(Tick())[0]
    assert isinstance(read, ReadLedger)
    assert driver.send(LedgerRead(read.op_id, None, 0)) == []


def test_nothing_is_done_near_the_end_of_the_lease_until_it_is_renewed() -> None:
    driver = Driver(config())
    driver.now_ms = LEASE_MS - 1_000
    host = driver.first_out()
    assert driver.drained(host) == []
    driver.send(DutyRenewed(Term(1), Millis(2 * LEASE_MS)))
    assert "RebootHost" in kinds(driver.send(Tick()))


def test_orders_that_were_dropped_are_given_again() -> None:
    driver = Driver(config())
    assert kinds(driver.send(OrderDropped())) == ["DrainHost", "DrainHost"]


def test_no_drain_before_the_health_of_all_hosts_is_known() -> None:
    driver = Driver(config(state=WaveState.PAUSED))
    driver.send(DutyGained(Term(2), Millis(LEASE_MS)))
    driver.steer(WaveState.RUNNING)
    assert driver.stages() == {}
    driver.send(HealthListed({NAMES[0]: OutCause.FAILED, NAMES[1]: OutCause.EJECTED}))
    assert driver.stages() == {NAMES[0]: "out", NAMES[1]: "out"}


def test_a_holder_with_an_older_configuration_writes_nothing() -> None:
    ledger = replace(builders.ledger(term=0), revision=Revision(50))
    driver = Driver(config(), ledger=ledger)
    assert kinds(driver.effects) == ["ReadLedger"]
    driver.cfg = replace(driver.cfg, revision=Revision(49))
    assert "CasLedger" in kinds(driver.change(driver.cfg))


def test_store_away_means_no_new_drain_and_a_growing_delay() -> None:
    driver = Driver(config())
    driver.is_manual = True
    cas = driver.drained(driver.first_out())[0]
    delays = []
    for _ in range(8):
        assert isinstance(cas, CasLedger)
        assert driver.send(StoreAway(cas.fence.op_id)) == []
        delays.append(driver.conductor.retry_at_ms - driver.now_ms)
        driver.now_ms = driver.conductor.retry_at_ms
        cas = driver.send(Tick())[-1]
    assert delays == [500, 1_000, 2_000, 4_000, 8_000, 15_000, 15_000, 15_000]


def test_failures_cancel_drains_but_nothing_past_the_point_of_no_return() -> None:
    driver = Driver(config())
    first, second = driver.stages()
    driver.drained(HostId(first))
    effects = driver.send(HealthChanged(HostId("z2-h5"), OutCause.FAILED))
    assert driver.stages() == {first: "rebooting", second: "returning", "z2-h5": "out"}
    assert kinds(effects) == ["CasLedger", "ReturnHost"]
    driver.returned(HostId(second))
    assert driver.stages() == {first: "rebooting", "z2-h5": "out"}


def test_a_smaller_budget_cancels_drains() -> None:
    driver = Driver(config())
    pool = builders.pool("web", max_out=1)
    driver.change(replace(driver.cfg, pools={**driver.cfg.pools, WEB: pool}))
    assert sorted(driver.stages().values()) == ["draining", "returning"]


def test_pause_lets_drains_go_on_and_abort_gives_hosts_back() -> None:
    driver = Driver(config())
    first, second = driver.stages()
    driver.steer(WaveState.PAUSED)
    driver.drained(HostId(first))
    driver.back(HostId(first))
    assert driver.stages() == {second: "draining"}
    driver.steer(WaveState.ABORTED)
    assert driver.stages() == {second: "returning"}
    driver.returned(HostId(second))
    assert driver.stages() == {}


def test_each_host_is_maintained_once_across_holders() -> None:
    driver = Driver(config())
    rebooted: list[str] = []
    for term in range(2, 40):
        for host, stage in driver.stages().items():
            if stage == "draining":
                rebooted += kinds(driver.drained(HostId(host))).count("RebootHost") * [
                    host
                ]
            elif stage == "rebooting":
                driver.back(HostId(host))
        driver = Driver(config(), term=term, ledger=driver.ledger)
    assert sorted(rebooted) == sorted(NAMES)
    assert driver.ledger is not None
    assert driver.ledger.wave_log(PATCH).done == set(NAMES)


def test_a_host_that_never_comes_back_stays_counted_and_is_reported() -> None:
    driver = Driver(config())
    lost = driver.first_out()
    driver.drained(lost)
    for _ in range(5):
        driver.now_ms += 10 * 60_000
        host = next(host for host in driver.stages() if host != lost)
        driver.drained(HostId(host))
        driver.back(HostId(host))
    assert driver.stages() == {lost: "rebooting"}
    assert driver.ledger is not None
    seen = progress(driver.ledger, view_of(driver.cfg), PATCH, wall_ms=driver.now_ms)
    assert (seen.done, seen.overdue, seen.end_ms) == (5, (lost,), None)
    assert seen.end_unknown is EndUnknown.HOSTS_OUT


def test_a_long_drain_gives_way_once() -> None:
    driver = Driver(config())
    slow = driver.first_out()
    driver.now_ms += 60 * 60_000
    driver.send(Tick())
    assert driver.stages()[slow] == "returning"
    driver.returned(slow)
    assert slow not in driver.stages()
    for _ in range(20):
        for host, stage in driver.stages().items():
            if host != slow and stage == "draining":
                driver.drained(HostId(host))
            elif host != slow and stage == "rebooting":
                driver.back(HostId(host))
            elif host != slow:
                driver.returned(HostId(host))
    driver.now_ms += 600 * 60_000
    driver.send(Tick())
    assert driver.stages() == {slow: "draining"}


def test_order_label_and_drain_action() -> None:
    driver = Driver(config(order="n", selector="n notin (0)", action=WaveAction.DRAIN))
    taken: list[str] = []
    while driver.stages():
        host = driver.first_out()
        taken.append(host)
        assert "RebootHost" not in kinds(driver.drained(host))
        driver.returned(host)
    assert [name[-1] for name in taken] == ["1", "2", "3", "4", "5"]


def test_hosts_done_in_another_pool_are_not_done_again() -> None:
    cfg = config()
    done = {PoolName("db"): {PATCH: frozenset(NAMES[:5])}}
    view = pool_views(cfg, HOSTS, done=done, only=frozenset({WEB}))[WEB]
    driver = Driver(replace(cfg, waves={}))
    driver.send(ViewChanged(replace(view, revision=Revision(5))))
    assert list(driver.stages()) == [NAMES[5]]


def test_a_move_is_a_drain_and_one_record_and_its_refusal_returns_hosts() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    labels = {name: {"pool": "db"} for name in NAMES[:2]}
    driver.change(replace(cfg, host_labels=labels))
    driver.is_manual = True
    driver.drained(NAMES[0])
    driver.is_manual = False
    cas = driver.effects[-1]
    assert isinstance(cas, CasLedger)
    driver.drained(NAMES[1])
    driver.ledger, driver.version = cas.ledger, cas.version + 1
    effects = driver.send(LedgerSwapped(cas.fence.op_id, driver.version))
    commits = [effect for effect in effects if isinstance(effect, CommitMoves)]
    assert [set(commit.moves) for commit in commits] == [{NAMES[0]}, {NAMES[1]}]
    driver.send(MovesRefused(commits[0].fence.op_id))
    assert driver.stages() == {NAMES[0]: "returning", NAMES[1]: "placing"}
    placement = {**driver.cfg.placement, NAMES[1]: PoolName("db")}
    driver.change(replace(driver.cfg, placement=placement))
    assert driver.stages()[NAMES[1]] == "left"
    driver.send(HostReturned(NAMES[1], driver.op(NAMES[1]), takes_work=False))  # type: ignore[arg-type]
    assert NAMES[1] not in driver.stages()


def test_a_host_that_moved_away_and_back_is_not_waited_for() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    driver.change(replace(cfg, host_labels={NAMES[0]: {"pool": "db"}}))
    (commit,) = [
        effect for effect in driver.drained(NAMES[0]) if isinstance(effect, CommitMoves)
    ]
    driver.change(cfg)
    assert driver.stages() == {NAMES[0]: "placing"}
    driver.send(MovesCommitted(commit.fence.op_id, Revision(99)))
    assert driver.stages() == {NAMES[0]: "placing"}
    driver.send(MovesCommitted(commit.fence.op_id, driver.cfg.revision))
    assert driver.stages() == {NAMES[0]: "returning"}


def test_hosts_ready_at_once_move_with_one_record() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    driver.change(
        replace(cfg, host_labels={name: {"pool": "db"} for name in NAMES[:2]})
    )
    ops = [driver.op(name) for name in NAMES[:2]]
    driver.now_ms = LEASE_MS - 1_000
    for name, op_id in zip(NAMES, ops, strict=False):
        driver.send(HostDrained(name, op_id))  # type: ignore[arg-type]
    driver.now_ms = 0
    effects = driver.send(Tick())
    commits = [effect for effect in effects if isinstance(effect, CommitMoves)]
    assert [commit.moves for commit in commits] == [dict.fromkeys(NAMES[:2], "db")]


def test_a_host_that_vanished_for_long_goes_to_the_spare_pool() -> None:
    cfg = replace(config(), waves={})
    driver = Driver(cfg)
    view = replace(view_of(cfg, HOSTS[1:]), revision=Revision(2))
    driver.send(ViewChanged(view))
    assert driver.stages() == {NAMES[0]: "out"}
    driver.now_ms += 60 * 60_000
    effects = driver.send(Tick())
    commits = [effect for effect in effects if isinstance(effect, CommitMoves)]
    assert [commit.moves for commit in commits] == [{NAMES[0]: SPARE_POOL}]


def test_an_estimate_is_given_only_when_it_can_be_honest() -> None:
    driver = Driver(config())
    view = view_of(driver.cfg)

    def end() -> int | EndUnknown | None:
        assert driver.ledger is not None
        seen = progress(
            driver.ledger, view_of(driver.cfg), PATCH, wall_ms=driver.now_ms
        )
        return seen.end_ms if seen.end_unknown is None else seen.end_unknown

    assert end() is EndUnknown.NOT_MEASURED
    for _ in range(4):
        driver.now_ms += 50_000
        host = driver.first_out()
        driver.drained(host)
        driver.back(host)
    estimate = end()
    assert isinstance(estimate, int)
    assert driver.now_ms < estimate <= driver.now_ms + 200_000
    driver.steer(WaveState.PAUSED)
    assert end() is EndUnknown.PAUSED
    driver.steer(WaveState.RUNNING)
    driver.send(HealthChanged(driver.first_out(), OutCause.FAILED))
    assert end() is EndUnknown.HOSTS_OUT
    assert driver.ledger is not None
    part = progress(driver.ledger, view, PATCH, wall_ms=driver.now_ms)
    whole = combine([part, replace(part, end_ms=5, end_unknown=None)])
    assert (whole.done, whole.end_ms) == (2 * part.done, None)


def test_stages_that_hosts_pass_are_what_entries_withhold_work_by() -> None:
    driver = Driver(config())
    host = driver.first_out()
    assert driver.ledger is not None
    assert host in driver.ledger.withheld_hosts()
    driver.drained(host)
    assert host in driver.ledger.withheld_hosts()
    driver.back(host)
    assert host not in driver.ledger.withheld_hosts()
    assert Stage.REBOOTING.value not in driver.stages().values()
    assert {type(effect) for effect in driver.effects} >= {DrainHost, RebootHost}
    assert ReturnHost not in {type(effect) for effect in driver.effects}
