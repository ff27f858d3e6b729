"""Carries the steps of a scenario out; one that can take no effect is an error."""

from __future__ import annotations

import dataclasses
from functools import partial
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..domain.configuration import (
    CHANGES,
    AddKey,
    Change,
    Configuration,
    PlaceHosts,
    PutPool,
    PutQueue,
    PutTeam,
    PutWave,
    SetHostLabels,
    SetWaveState,
    TeamKey,
    WithdrawKey,
)
from ..domain.configuration.key_ids import format_key_id
from ..domain.configuration.log import ChangeConflict
from ..domain.errors import Problem, ProblemError
from ..domain.ids import (
    EntryId,
    HostId,
    OperationId,
    QueueName,
    RequestId,
    Revision,
    TeamName,
    WaveName,
)
from ..domain.invariants import EntryStopping, HostBack, HostLeaving
from ..domain.keys.minting import MintedKey, key_from_secret
from ..domain.placement import desired_pools
from ..domain.requests.model import OPEN_TEAM
from ..domain.requests.tracked import RequestKey
from ..entry.rules import configuration_rules
from ..platform.config_log import ConfigLog
from ..platform.store import EffectUnknown
from .history import Call
from .model import (
    Cancel,
    Commit,
    Cut,
    EntryStep,
    Heal,
    HostStep,
    LeaveHost,
    LoseReply,
    SetWave,
    StartWave,
    StoreDown,
    StoreSlow,
    StoreUp,
    Submit,
)
from .work import Work
from .world import World

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..platform.config_log import CommitFailure, Committed
    from .backend import Backend
    from .entry import VirtualEntry
    from .model import Action
    from .reading import Placed, Scenario

STEP = "run-scenario"
OPERATOR = "operator"
REPEAT_MS = 300
MAX_REPEATS = 10
LATE_MS = 2_000
FORGED = "forged"


class StepRunner:
    """A world and the steps that change it.

    Args:
        scenario: What is run.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.world = World(scenario.document.site)
        self._keys = {
            key.name: key_from_secret(
                format_key_id(Revision(0), f"n{number}"), key.name
            )
            for number, key in enumerate(scenario.document.key)
        }
        self._named: dict[str, Work] = {}
        self._start = Configuration()
        self._requests = 0
        self._operations = 0

    def run(self) -> None:
        """Runs the whole scenario.

        Raises:
            ProblemError: A step could take no effect.
        """
        world = self.world
        self._configure()
        world.start_entries()
        for step in self.scenario.steps:
            world.clock.after(step.at_ms, partial(self._take, step))
        world.clock.run(world.site.until_ms)
        self._check_ends()

    # -- configuration ----------------------------------------------------------

    def _configure(self) -> None:
        """Commits the configuration that the scenario begins with."""
        document = self.scenario.document
        changes: list[Change] = [PutPool(pool) for pool in document.pool]
        changes += [PutTeam(team) for team in document.team]
        changes += [PutQueue(queue) for queue in document.queue]
        for key in document.key:
            minted = self._keys[key.name]
            team = TeamKey(minted.key_id, key.team, minted.digest)  # type: ignore[arg-type]
            changes.append(AddKey(team))
        self._commit_start(changes)
        hosts = self.world.listed()
        self._commit_start([PlaceHosts(dict(desired_pools(self._start, hosts)))])

    def _commit_start(self, changes: Sequence[Change]) -> None:
        rules = configuration_rules(self.world.listed)
        store = self.world.platform.client(OPERATOR)
        log = ConfigLog(store, entry=EntryId(OPERATOR), rules=rules)
        op_id = self._operation()
        done = log.commit(self._start, changes, op_id=op_id, operator=OPERATOR)
        self.world.note_commits()
        if isinstance(done, Failure):
            raise self._refuse_start(done.failure())
        self._start = done.unwrap().cfg

    def _refuse_start(self, failure: CommitFailure) -> ProblemError:
        name = self.scenario.name
        fix = "mend the teams, pools, queues and keys of the file"
        return ProblemError(Problem(STEP, name, str(failure), name, fix))

    def _operation(self) -> OperationId:
        self._operations += 1
        return OperationId(f"op-{self._operations}")

    def _commit(self, step: Placed[Action], commit: Commit) -> None:
        changes = self._changes(step, commit)
        entry = self._entry(step, commit.entry) if commit.entry else None
        entry = entry or self.world.pick_entry("")
        if entry is None:
            raise self._void(step, "no entry is ready", "let one run")
        op_id = self._operation()
        entry.run(lambda: self._try_commit(step, commit, entry, changes, op_id, 0))

    def _try_commit(
        self,
        step: Placed[Action],
        commit: Commit,
        entry: VirtualEntry,
        changes: Sequence[Change],
        op_id: OperationId,
        repeats: int,
    ) -> None:
        world, control = self.world, entry.control
        done = control.log.commit(
            control.cfg,
            changes,
            op_id=op_id,
            operator=OPERATOR,
            expected=None if commit.as_of is None else Revision(commit.as_of),
        )
        world.note_commits()
        is_lost = isinstance(done, Failure) and isinstance(
            done.failure(), EffectUnknown
        )
        if is_lost and repeats < MAX_REPEATS:
            world.clock.after(LATE_MS, self._deliver_late)
            world.clock.after(
                REPEAT_MS,
                lambda: entry.run(
                    lambda: self._try_commit(
                        step, commit, entry, changes, op_id, repeats + 1
                    )
                ),
            )
            return
        if isinstance(done, Success):
            control.view.offer_snapshot(done.unwrap().cfg)
        found = _told(done)
        if found != commit.expect and commit.expect == "committed":
            fix = "mend the change, or state what is expected"
            raise self._void(step, f"the commit was {found}: {done}", fix)
        world.history.expectations.append((step.where, commit.expect, found))

    def _deliver_late(self) -> None:
        self.world.platform.deliver_late()
        self.world.note_commits()

    def _changes(self, step: Placed[Action], commit: Commit) -> list[Change]:
        changes: list[Change] = []
        if commit.put_pool is not None:
            changes.append(PutPool(commit.put_pool))
        if commit.put_team is not None:
            changes.append(PutTeam(commit.put_team))
        if commit.put_queue is not None:
            changes.append(PutQueue(commit.put_queue))
        if commit.withdraw_key:
            changes.append(WithdrawKey(self._key(step, commit.withdraw_key).key_id))
        if commit.label_hosts:
            for name in commit.label_hosts:
                self._host(step, name)
            labels = {HostId(name): own for name, own in commit.label_hosts.items()}
            changes.append(SetHostLabels(labels))
        changes += [
            CHANGES.from_dict(item, step=STEP, peer=step.where)
            for item in commit.changes
        ]
        if not changes:
            raise self._void(step, "nothing is changed", "name a change")
        return changes

    # -- steps ------------------------------------------------------------------

    def _take(self, step: Placed[Action]) -> None:
        match step.value:
            case Submit() as submit:
                self._submit(step, submit)
            case Cancel() as cancel:
                self._cancel(step, cancel)
            case Commit() as commit:
                self._commit(step, commit)
            case StartWave(wave=wave):
                change = CHANGES.to_dict(PutWave(wave))
                self._commit(step, Commit(changes=[change]))
            case SetWave(name=name, state=state):
                change = CHANGES.to_dict(SetWaveState(WaveName(name), state))
                self._commit(step, Commit(changes=[change]))
            case EntryStep(entry=name):
                self._change_entry(step, self._entry(step, name))
            case HostStep(host=name):
                self._change_host(step, self._host(step, name))
            case LeaveHost(host=name, refuses=refuses):
                self._leave_host(step, self._host(step, name), refuses=refuses)
            case LoseReply() as lose:
                self._lose_reply(step, lose)
            case Cut() | Heal() as change_of_network:
                self._change_network(step, change_of_network)
            case StoreDown() | StoreSlow() | StoreUp() as change_of_store:
                self._change_store(step, change_of_store)
        self.world.update_store()
        self.world.update_reach()

    def _submit(self, step: Placed[Action], submit: Submit) -> None:
        if submit.queue not in {item.name for item in self.scenario.document.queue}:
            raise self._void(step, f"no queue {submit.queue!r}", "name a [[queue]]")
        if submit.id and submit.count > 1:
            raise self._void(step, "an id names one request", "set count to 1")
        for number in range(submit.count):
            delay_ms = number * submit.every_ms
            self.world.clock.after(delay_ms, lambda: self._call(step, submit))

    def _call(self, step: Placed[Action], submit: Submit) -> None:
        world = self.world
        entry = (
            self._entry(step, submit.entry)
            if submit.entry
            else world.pick_entry(submit.zone)
        )
        if entry is None:
            raise self._void(step, "no entry is ready", "let one run")
        work = self._work(step, submit)
        team = work.true_team
        call = Call(
            work.request_id,
            submit.id,
            team or "",
            submit.key,
            submit.queue,
            submit.work_class,
            entry.name,
            world.now_ms,
        )
        world.call(entry, work, call)

    def _work(self, step: Placed[Action], submit: Submit) -> Work:
        self._requests += 1
        again = self._named.get(submit.id) if submit.id else None
        if again is not None:
            if not again.request_id:
                raise self._void(step, "the id is not issued yet", "send it later")
            return dataclasses.replace(again, accepted_ms=None)
        text, team = self._credentials(step, submit.key)
        work = Work(
            request_id=RequestId("" if submit.issued else f"r{self._requests}"),
            queue=QueueName(submit.queue),
            key_text=text,
            true_team=team,
            work_class=submit.work_class,
            repeatable=submit.repeatable,
            deadline_at_ms=self.world.now_ms + submit.deadline_ms,
            run_ms=self.world.rng.randint(*submit.run_ms),
            fails=submit.fails,
            needs=submit.needs,
        )
        if submit.id:
            self._named[submit.id] = work
        return work

    def _credentials(
        self, step: Placed[Action], name: str
    ) -> tuple[str | None, TeamName | None]:
        if not name:
            return None, None
        if name == FORGED:
            known = next(iter(self._keys.values()), None)
            key_id = known.key_id if known else format_key_id(Revision(0), FORGED)
            return key_from_secret(key_id, FORGED).text, None
        text = self._key(step, name).text
        teams = {key.name: key.team for key in self.scenario.document.key}
        return text, TeamName(teams[name])

    def _cancel(self, step: Placed[Action], cancel: Cancel) -> None:
        calls = self.world.history.calls
        open_calls = [
            call
            for call in calls
            if call.queue == cancel.queue and not call.outcome and call.request_id
        ]
        if not open_calls:
            raise self._void(step, "nothing is in flight", "cancel earlier")
        for call in open_calls[: cancel.count]:
            entry = self.world.entries[call.entry]
            key = RequestKey(call.team or OPEN_TEAM, RequestId(call.request_id))  # type: ignore[arg-type]
            entry.run(partial(entry.cancel, key))

    def _change_entry(self, step: Placed[Action], entry: VirtualEntry) -> None:
        world = self.world
        match step.kind:
            case "restart_entry" if not entry.is_alive:
                world.start_entry(entry.name, entry.zone)
            case "resume_entry" if entry.is_alive and entry.is_paused:
                entry.resume()
            case "kill_entry" if entry.is_alive:
                entry.kill()
            case "pause_entry" if entry.is_alive and not entry.is_paused:
                entry.is_paused = True
            case "leave_entry" if entry.is_alive and entry.is_ready:
                world.history.observe(EntryStopping(world.now_ms, entry.name))
                entry.run(entry.leave)
            case _:
                what = f"{step.kind} of {entry.name}, which is not in a state for it"
                raise self._void(step, what, "look at the steps before")

    def _change_host(self, step: Placed[Action], host: Backend) -> None:
        world = self.world
        match step.kind:
            case "kill_host" if host.is_up:
                host.kill()
                world.maintenance.fail(host.host.host_id)
            case "revive_host" if not host.is_up or host.is_leaving:
                host.is_up, host.is_leaving, host.refuses = True, False, False
                world.history.observe(HostBack(world.now_ms, host.host.host_id))
                world.maintenance.recover(host.host.host_id)
            case "break_host" if not host.is_broken:
                host.is_broken = True
            case "mend_host" if host.is_broken:
                host.is_broken = False
            case _:
                name = host.host.host_id
                what = f"{step.kind} of {name}, which is not in a state for it"
                raise self._void(step, what, "look at the steps before")
        world.list_hosts()

    def _leave_host(
        self, step: Placed[Action], host: Backend, *, refuses: bool
    ) -> None:
        if host.is_leaving or not host.is_up:
            raise self._void(step, "the host is leaving or down", "name another")
        host.is_leaving, host.refuses = True, refuses
        seen = HostLeaving(self.world.now_ms, host.host.host_id)
        self.world.history.observe(seen)
        self.world.list_hosts()

    def _lose_reply(self, step: Placed[Action], lose: LoseReply) -> None:
        if bool(lose.host) == bool(lose.store_of):
            raise self._void(step, "whose replies?", "give host or store_of")
        if lose.host:
            self._host(step, lose.host).replies_to_lose += lose.count
            return
        entry = self._entry(step, lose.store_of)
        self.world.lose_store_replies(entry.name, lose.count, late=lose.late)

    def _change_network(self, step: Placed[Action], change: Cut | Heal) -> None:
        network = self.world.network
        for name in (change.source, change.target):
            if not network.knows(name):
                fix = "name a zone, entry, host or platform"
                raise self._void(step, f"nothing is called {name!r}", fix)
        source, target = change.source, change.target
        match change:
            case Cut(one_way=one_way):
                if not network.cut(source, target, one_way=one_way):
                    raise self._void(step, "this is cut already", "heal it first")
            case Heal():
                if not network.heal(source, target):
                    fix = "name what a cut named"
                    raise self._void(step, "this is not cut", fix)

    def _change_store(
        self, step: Placed[Action], change: StoreDown | StoreSlow | StoreUp
    ) -> None:
        world = self.world
        well_ms = world.site.delay_ms
        is_well = not world.is_store_down and world.store_call_ms == well_ms
        if isinstance(change, StoreUp) == is_well:
            raise self._void(
                step, "the store is so already", "look at the steps before"
            )
        match change:
            case StoreDown():
                world.is_store_down = True
            case StoreSlow(delay_ms=delay_ms):
                world.store_call_ms = delay_ms
            case StoreUp():
                world.is_store_down, world.store_call_ms = False, well_ms

    # -- errors -----------------------------------------------------------------

    def _check_ends(self) -> None:
        """Refuses losses of replies that struck nothing."""
        for step in self.scenario.steps:
            if not isinstance(step.value, LoseReply):
                continue
            lose = step.value
            is_left = (
                self.world.hosts[lose.host].replies_to_lose > 0
                if lose.host
                else self.world.has_planned_loss(lose.store_of)
            )
            if is_left:
                fix = "let something reply there"
                raise self._void(step, "no reply was lost", fix)

    def _entry(self, step: Placed[Action], name: str) -> VirtualEntry:
        found = self.world.entries.get(name)
        if found is None:
            known = ", ".join(self.world.entries)
            raise self._void(step, f"no entry {name!r}", f"known entries: {known}")
        if not found.is_alive and step.kind != "restart_entry":
            raise self._void(step, f"entry {name} does not run", "restart it first")
        return found

    def _host(self, step: Placed[Action], name: str) -> Backend:
        found = self.world.hosts.get(name)
        if found is None:
            known = ", ".join(self.world.hosts)
            raise self._void(step, f"no host {name!r}", f"known hosts: {known}")
        return found

    def _key(self, step: Placed[Action], name: str) -> MintedKey:
        found = self._keys.get(name)
        if found is None:
            known = ", ".join(self._keys)
            raise self._void(step, f"no key {name!r}", f"known keys: {known}")
        return found

    def _void(self, step: Placed[Action], what: str, fix: str) -> ProblemError:
        text = f"{step.kind} at {step.at_ms} ms: {what}"
        return ProblemError(Problem(STEP, self.scenario.name, text, step.where, fix))


def _told(done: Result[Committed, CommitFailure]) -> str:
    if isinstance(done, Success):
        return "committed"
    match done.failure():
        case ChangeConflict():
            return "conflict"
        case Problem():
            return "refused"
    return "unavailable"
