"""Executes the steps of a scenario; a step that has no effect is an error."""

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
from .operators import Operators, find_entry, find_host, step_error
from .simulated_request import SimulatedRequest
from .world import World

if TYPE_CHECKING:
    from .backend import VirtualBackend
    from .entry import VirtualEntry
    from .loader import Located, Scenario
    from .model import Action


class StepRunner:
    """Runs a scenario: builds its world and executes its steps in time.

    Args:
        scenario: The scenario to run.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.world = World(scenario.document.site)
        self.operators = Operators(scenario, self.world)
        self._requests_by_name: dict[str, SimulatedRequest] = {}
        self._request_count = 0

    def run(self) -> None:
        """Runs the whole scenario.

        Raises:
            ProblemError: A step could have no effect.
        """
        world = self.world
        self.operators.configure()
        world.start_entries()
        for step in self.scenario.steps:
            world.clock.after(step.at_ms, partial(self._execute, step))
        world.clock.run(world.site.until_ms)
        self._check_reply_losses()

    # -- steps ------------------------------------------------------------------

    def _execute(self, step: Located[Action]) -> None:
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
            case Cut() | Heal() as network_change:
                self._change_network(step, network_change)
            case StoreDown() | StoreSlow() | StoreUp() as store_change:
                self._change_store(step, store_change)
        self.world.update_store_faults()
        self.world.observer.update_reachability()

    def _submit(self, step: Located[Action], submit: Submit) -> None:
        if submit.queue not in {item.name for item in self.scenario.document.queue}:
            raise step_error(step, f"no queue {submit.queue!r}", "name a [[queue]]")
        if submit.id and submit.count > 1:
            raise step_error(step, "an id names one request", "set count to 1")
        for number in range(submit.count):
            delay_ms = number * submit.every_ms
            self.world.clock.after(delay_ms, lambda: self._send_request(step, submit))

    def _send_request(self, step: Located[Action], submit: Submit) -> None:
        world = self.world
        entry = (
            find_entry(self.world, step, submit.entry)
            if submit.entry
            else world.pick_entry(submit.zone)
        )
        if entry is None:
            raise step_error(
                step, "no entry is ready", "keep an entry running and ready"
            )
        simulated = self._build_request(step, submit)
        team = simulated.true_team
        call = Call(
            simulated.request_id,
            submit.id,
            team or "",
            submit.key,
            submit.queue,
            submit.work_class,
            entry.name,
            world.now_ms,
        )
        world.call(entry, simulated, call)

    def _build_request(self, step: Located[Action], submit: Submit) -> SimulatedRequest:
        self._request_count += 1
        original = self._requests_by_name.get(submit.id) if submit.id else None
        if original is not None:
            if not original.request_id:
                raise step_error(
                    step, "the id is not issued yet", "send the copy later"
                )
            return dataclasses.replace(original, accepted_ms=None)
        text, team = self.operators.credentials(step, submit.key)
        simulated = SimulatedRequest(
            request_id=RequestId("" if submit.issued else f"r{self._request_count}"),
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
            self._requests_by_name[submit.id] = simulated
        return simulated

    def _cancel(self, step: Located[Action], cancel: Cancel) -> None:
        calls = self.world.history.calls
        open_calls = [
            call
            for call in calls
            if call.queue == cancel.queue and not call.outcome and call.request_id
        ]
        if not open_calls:
            raise step_error(
                step, "no request to the queue is in flight", "cancel earlier"
            )
        for call in open_calls[: cancel.count]:
            entry = self.world.entries[call.entry]
            key = RequestKey(call.team or OPEN_TEAM, RequestId(call.request_id))  # type: ignore[arg-type]
            entry.run(partial(entry.cancel, key))

    def _change_entry(self, step: Located[Action], entry: VirtualEntry) -> None:
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
                what = f"{step.kind}: the state of {entry.name} does not allow it"
                raise step_error(step, what, "check the earlier steps")

    def _change_host(self, step: Located[Action], host: VirtualBackend) -> None:
        world = self.world
        match step.kind:
            case "kill_host" if host.is_up:
                host.kill()
                world.maintenance.fail_host(host.host.host_id)
            case "revive_host" if not host.is_up or host.is_leaving:
                host.is_up, host.is_leaving, host.refuses = True, False, False
                world.history.observe(HostBack(world.now_ms, host.host.host_id))
                world.maintenance.recover_host(host.host.host_id)
            case "break_host" if not host.is_broken:
                host.is_broken = True
            case "mend_host" if host.is_broken:
                host.is_broken = False
            case _:
                name = host.host.host_id
                what = f"{step.kind}: the state of {name} does not allow it"
                raise step_error(step, what, "check the earlier steps")
        world.record_host_list()

    def _leave_host(
        self, step: Located[Action], host: VirtualBackend, *, refuses: bool
    ) -> None:
        if host.is_leaving or not host.is_up:
            raise step_error(
                step, "the host is already leaving or down", "name another host"
            )
        host.is_leaving, host.refuses = True, refuses
        observation = HostLeaving(self.world.now_ms, host.host.host_id)
        self.world.history.observe(observation)
        self.world.record_host_list()

    def _lose_reply(self, step: Located[Action], lose: LoseReply) -> None:
        if bool(lose.host) == bool(lose.store_of):
            raise step_error(
                step, "needs either host or store_of", "set exactly one of them"
            )
        if lose.host:
            find_host(self.world, step, lose.host).replies_to_lose += lose.count
            return
        entry = find_entry(self.world, step, lose.store_of)
        self.world.lose_store_replies(entry.name, lose.count, late=lose.late)

    def _change_network(self, step: Located[Action], change: Cut | Heal) -> None:
        network = self.world.network
        for name in (change.source, change.target):
            if not network.has_name(name):
                fix = "name a zone, an entry, a host or 'platform'"
                raise step_error(step, f"unknown name {name!r}", fix)
        source, target = change.source, change.target
        match change:
            case Cut(one_way=one_way):
                if not network.cut(source, target, one_way=one_way):
                    raise step_error(step, "this cut exists already", "heal it first")
            case Heal():
                if not network.heal(source, target):
                    fix = "use the source and target of an earlier cut"
                    raise step_error(step, "there is no such cut", fix)

    def _change_store(
        self, step: Located[Action], change: StoreDown | StoreSlow | StoreUp
    ) -> None:
        world = self.world
        usual_ms = world.site.delay_ms
        is_available = not world.is_store_down and world.store_call_ms == usual_ms
        if isinstance(change, StoreUp) == is_available:
            raise step_error(
                step, "the store is already in this state", "check the earlier steps"
            )
        match change:
            case StoreDown():
                world.is_store_down = True
            case StoreSlow(delay_ms=delay_ms):
                world.store_call_ms = delay_ms
            case StoreUp():
                world.is_store_down, world.store_call_ms = False, usual_ms

    # -- errors -----------------------------------------------------------------

    def _check_reply_losses(self) -> None:
        """Raises an error for a planned loss of a reply that never occurred."""
        for step in self.scenario.steps:
            if not isinstance(step.value, LoseReply):
                continue
            lose = step.value
            is_pending = (
                self.world.hosts[lose.host].replies_to_lose > 0
                if lose.host
                else self.world.has_pending_reply_loss(lose.store_of)
            )
            if is_pending:
                fix = "send something that is replied to there"
                raise step_error(step, "no reply was lost", fix)
