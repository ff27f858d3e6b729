"""Commits the initial configuration and its changes, as operators do."""

from __future__ import annotations

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
    SetHostLabels,
    TeamKey,
    WithdrawKey,
)
from ..domain.configuration.key_ids import format_key_id
from ..domain.configuration.log import ChangeConflict
from ..domain.errors import Problem, ProblemError
from ..domain.ids import EntryId, HostId, OperationId, Revision, TeamName
from ..domain.keys.minting import MintedKey, key_from_secret
from ..domain.placement import desired_pools
from ..entry.rules import configuration_rules
from ..store.config_log import ConfigLog
from ..store.contract import EffectUnknown

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..store.config_log import CommitFailure, Committed
    from .backend import VirtualBackend
    from .entry import VirtualEntry
    from .loader import Located, Scenario
    from .model import Action, Commit
    from .world import World

STEP = "run-scenario"
OPERATOR = "operator"
RETRY_DELAY_MS = 300
MAX_RETRIES = 10
DELAYED_WRITE_MS = 2_000
FORGED = "forged"


class Operators:
    """Commits configuration records and holds the secrets of keys.

    Attributes:
        keys: Callers' keys by their names in the scenario.
    """

    def __init__(self, scenario: Scenario, world: World) -> None:
        self._scenario = scenario
        self._world = world
        self.keys = {
            key.name: key_from_secret(
                format_key_id(Revision(0), f"n{number}"), key.name
            )
            for number, key in enumerate(scenario.document.key)
        }
        self._initial_cfg = Configuration()
        self._operations = 0

    def key(self, step: Located[Action], name: str) -> MintedKey:
        """Returns a key by its name."""
        found = self.keys.get(name)
        if found is None:
            raise step_error(
                step, f"no key {name!r}", f"known keys: {', '.join(self.keys)}"
            )
        return found

    def credentials(
        self, step: Located[Action], name: str
    ) -> tuple[str | None, TeamName | None]:
        """Returns the text of the key to send and the team that owns it.

        A forged key has the id of a real one, but another secret and no owner.
        """
        if not name:
            return None, None
        if name == FORGED:
            known = next(iter(self.keys.values()), None)
            key_id = known.key_id if known else format_key_id(Revision(0), FORGED)
            return key_from_secret(key_id, FORGED).text, None
        text = self.key(step, name).text
        teams = {key.name: key.team for key in self._scenario.document.key}
        return text, TeamName(teams[name])

    def configure(self) -> None:
        """Commits the initial configuration and the placement of all hosts."""
        document = self._scenario.document
        changes: list[Change] = [PutPool(pool) for pool in document.pool]
        changes += [PutTeam(team) for team in document.team]
        changes += [PutQueue(queue) for queue in document.queue]
        for key in document.key:
            minted = self.keys[key.name]
            team = TeamKey(minted.key_id, key.team, minted.digest)  # type: ignore[arg-type]
            changes.append(AddKey(team))
        self._commit_start(changes)
        hosts = self._world.listed_hosts()
        self._commit_start([PlaceHosts(dict(desired_pools(self._initial_cfg, hosts)))])

    def _commit_start(self, changes: Sequence[Change]) -> None:
        rules = configuration_rules(self._world.listed_hosts)
        store = self._world.platform.client(OPERATOR)
        log = ConfigLog(store, entry=EntryId(OPERATOR), rules=rules)
        op_id = self._next_operation_id()
        done = log.commit(self._initial_cfg, changes, op_id=op_id, operator=OPERATOR)
        self._world.observer.observe_commits()
        if isinstance(done, Failure):
            raise self._start_error(done.failure())
        self._initial_cfg = done.unwrap().cfg

    def _start_error(self, failure: CommitFailure) -> ProblemError:
        name = self._scenario.name
        fix = "correct the teams, pools, queues and keys of the file"
        return ProblemError(Problem(STEP, name, str(failure), name, fix))

    def _next_operation_id(self) -> OperationId:
        self._operations += 1
        return OperationId(f"op-{self._operations}")

    def commit(self, step: Located[Action], commit: Commit) -> None:
        """Commits a record through an entry, and retries if a reply is lost."""
        changes = self._changes(step, commit)
        name = commit.entry
        entry = (
            find_entry(self._world, step, name) if name else self._world.pick_entry("")
        )
        if entry is None:
            raise step_error(
                step, "no entry is ready", "keep an entry running and ready"
            )
        op_id = self._next_operation_id()
        entry.run(lambda: self._try_commit(step, commit, entry, changes, op_id, 0))

    def _try_commit(
        self,
        step: Located[Action],
        commit: Commit,
        entry: VirtualEntry,
        changes: Sequence[Change],
        op_id: OperationId,
        retries: int,
    ) -> None:
        world, control = self._world, entry.control
        done = control.log.commit(
            control.cfg,
            changes,
            op_id=op_id,
            operator=OPERATOR,
            expected=None if commit.as_of is None else Revision(commit.as_of),
        )
        world.observer.observe_commits()
        is_reply_lost = isinstance(done, Failure) and isinstance(
            done.failure(), EffectUnknown
        )
        if is_reply_lost and retries < MAX_RETRIES:
            world.clock.after(DELAYED_WRITE_MS, self._apply_delayed_writes)
            world.clock.after(
                RETRY_DELAY_MS,
                lambda: entry.run(
                    lambda: self._try_commit(
                        step, commit, entry, changes, op_id, retries + 1
                    )
                ),
            )
            return
        if isinstance(done, Success):
            control.view.offer_snapshot(done.unwrap().cfg)
        found = _commit_result(done)
        if found != commit.expect and commit.expect == "committed":
            fix = "correct the change, or set expect"
            raise step_error(step, f"the commit was {found}: {done}", fix)
        world.history.expectations.append((step.where, commit.expect, found))

    def _apply_delayed_writes(self) -> None:
        self._world.platform.apply_delayed_writes()
        self._world.observer.observe_commits()

    def _changes(self, step: Located[Action], commit: Commit) -> list[Change]:
        changes: list[Change] = []
        if commit.put_pool is not None:
            changes.append(PutPool(commit.put_pool))
        if commit.put_team is not None:
            changes.append(PutTeam(commit.put_team))
        if commit.put_queue is not None:
            changes.append(PutQueue(commit.put_queue))
        if commit.withdraw_key:
            changes.append(WithdrawKey(self.key(step, commit.withdraw_key).key_id))
        if commit.label_hosts:
            for name in commit.label_hosts:
                find_host(self._world, step, name)
            labels = {HostId(name): own for name, own in commit.label_hosts.items()}
            changes.append(SetHostLabels(labels))
        changes += [
            CHANGES.from_dict(item, step=STEP, peer=step.where)
            for item in commit.changes
        ]
        if not changes:
            raise step_error(step, "the commit has no changes", "add a change")
        return changes


def find_entry(world: World, step: Located[Action], name: str) -> VirtualEntry:
    """Returns a running entry; for a restart, also one that has ended.

    Raises:
        ProblemError: There is none of that name, or it does not run.
    """
    found = world.entries.get(name)
    if found is None:
        known = ", ".join(world.entries)
        raise step_error(step, f"no entry {name!r}", f"known entries: {known}")
    if not found.is_alive and step.kind != "restart_entry":
        raise step_error(step, f"entry {name} is not running", "restart it first")
    return found


def find_host(world: World, step: Located[Action], name: str) -> VirtualBackend:
    """Returns a host by its name.

    Raises:
        ProblemError: There is none of that name.
    """
    found = world.hosts.get(name)
    if found is None:
        known = ", ".join(world.hosts)
        raise step_error(step, f"no host {name!r}", f"known hosts: {known}")
    return found


def step_error(step: Located[Action], what: str, fix: str) -> ProblemError:
    """Returns the error of a step that can have no effect."""
    text = f"{step.kind} at {step.at_ms} ms: {what}"
    return ProblemError(Problem(STEP, "scenario", text, step.where, fix))


def _commit_result(done: Result[Committed, CommitFailure]) -> str:
    if isinstance(done, Success):
        return "committed"
    match done.failure():
        case ChangeConflict():
            return "conflict"
        case Problem():
            return "refused"
    return "unavailable"
