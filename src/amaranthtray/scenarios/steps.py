"""Carries the steps of a scenario out; one that can take no effect is an error."""

from __future__ import annotations

import dataclasses
from functools import partial
from typing import TYPE_CHECKING

from ..domain.configuration import CHANGES, PutWave, SetWaveState
from ..domain.ids import QueueName, RequestId, WaveName
from ..domain.invariants import EntryStopping, HostBack, HostLeaving
from ..domain.requests.model import OPEN_TEAM
from ..domain.requests.tracked_request import RequestKey
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
from .operators import Operators, find_entry, find_host, void
from .work import Work
from .world import World

if TYPE_CHECKING:
    from .backend import Backend
    from .entry import VirtualEntry
    from .model import Action
    from .reading import Placed, Scenario


class StepRunner:
    """A world and the steps that change it.

    Args:
        scenario: What is run.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.world = World(scenario.document.site)
        self.operators = Operators(scenario, self.world)
        self._named: dict[str, Work] = {}
        self._requests = 0

    def run(self) -> None:
        """Runs the whole scenario.

        Raises:
            ProblemError: A step could take no effect.
        """
        world = self.world
        self.operators.configure()
        world.start_entries()
        for step in self.scenario.steps:
            world.clock.after(step.at_ms, partial(self._take, step))
        world.clock.run(world.site.until_ms)
        self._check_ends()

    # -- steps ------------------------------------------------------------------

    def _take(self, step: Placed[Action]) -> None:
        match step.value:
            case Submit() as submit:
                self._submit(step, submit)
            case Cancel() as cancel:
                self._cancel(step, cancel)
            case Commit() as commit:
                self.operators.commit(step, commit)
            case StartWave(wave=wave):
                change = CHANGES.to_dict(PutWave(wave))
                self.operators.commit(step, Commit(changes=[change]))
            case SetWave(name=name, state=state):
                change = CHANGES.to_dict(SetWaveState(WaveName(name), state))
                self.operators.commit(step, Commit(changes=[change]))
            case EntryStep(entry=name):
                self._change_entry(step, find_entry(self.world, step, name))
            case HostStep(host=name):
                self._change_host(step, find_host(self.world, step, name))
            case LeaveHost(host=name, refuses=refuses):
                self._leave_host(
                    step, find_host(self.world, step, name), refuses=refuses
                )
            case LoseReply() as lose:
                self._lose_reply(step, lose)
            case Cut() | Heal() as change_of_network:
                self._change_network(step, change_of_network)
            case StoreDown() | StoreSlow() | StoreUp() as change_of_store:
                self._change_store(step, change_of_store)
        self.world.update_store()
        self.world.observer.update_reach()

    def _submit(self, step: Placed[Action], submit: Submit) -> None:
        if submit.queue not in {item.name for item in self.scenario.document.queue}:
            raise void(step, f"no queue {submit.queue!r}", "name a [[queue]]")
        if submit.id and submit.count > 1:
            raise void(step, "an id names one request", "set count to 1")
        for number in range(submit.count):
            delay_ms = number * submit.every_ms
            self.world.clock.after(delay_ms, lambda: self._call(step, submit))

    def _call(self, step: Placed[Action], submit: Submit) -> None:
        world = self.world
        entry = (
            find_entry(self.world, step, submit.entry)
            if submit.entry
            else world.pick_entry(submit.zone)
        )
        if entry is None:
            raise void(step, "no entry is ready", "let one run")
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
                raise void(step, "the id is not issued yet", "send it later")
            return dataclasses.replace(again, accepted_ms=None)
        text, team = self.operators.credentials(step, submit.key)
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

    def _cancel(self, step: Placed[Action], cancel: Cancel) -> None:
        calls = self.world.history.calls
        open_calls = [
            call
            for call in calls
            if call.queue == cancel.queue and not call.outcome and call.request_id
        ]
        if not open_calls:
            raise void(step, "nothing is in flight", "cancel earlier")
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
                raise void(step, what, "look at the steps before")

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
                raise void(step, what, "look at the steps before")
        world.list_hosts()

    def _leave_host(
        self, step: Placed[Action], host: Backend, *, refuses: bool
    ) -> None:
        if host.is_leaving or not host.is_up:
            raise void(step, "the host is leaving or down", "name another")
        host.is_leaving, host.refuses = True, refuses
        seen = HostLeaving(self.world.now_ms, host.host.host_id)
        self.world.history.observe(seen)
        self.world.list_hosts()

    def _lose_reply(self, step: Placed[Action], lose: LoseReply) -> None:
        if bool(lose.host) == bool(lose.store_of):
            raise void(step, "whose replies?", "give host or store_of")
        if lose.host:
            find_host(self.world, step, lose.host).replies_to_lose += lose.count
            return
        entry = find_entry(self.world, step, lose.store_of)
        self.world.lose_store_replies(entry.name, lose.count, late=lose.late)

    def _change_network(self, step: Placed[Action], change: Cut | Heal) -> None:
        network = self.world.network
        for name in (change.source, change.target):
            if not network.knows(name):
                fix = "name a zone, entry, host or platform"
                raise void(step, f"nothing is called {name!r}", fix)
        source, target = change.source, change.target
        match change:
            case Cut(one_way=one_way):
                if not network.cut(source, target, one_way=one_way):
                    raise void(step, "this is cut already", "heal it first")
            case Heal():
                if not network.heal(source, target):
                    fix = "name what a cut named"
                    raise void(step, "this is not cut", fix)

    def _change_store(
        self, step: Placed[Action], change: StoreDown | StoreSlow | StoreUp
    ) -> None:
        world = self.world
        well_ms = world.site.delay_ms
        is_well = not world.is_store_down and world.store_call_ms == well_ms
        if isinstance(change, StoreUp) == is_well:
            raise void(step, "the store is so already", "look at the steps before")
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
                raise void(step, "no reply was lost", fix)
