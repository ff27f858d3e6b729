"""Models of the tables that a scenario file may contain."""

from __future__ import annotations

from typing import Annotated, Any, Literal, TypeAlias

from msgspec import Meta, Struct, field

from ..domain.configuration import Pool, Queue, Team, Wave, WaveState
from ..domain.requests.model import Needs, WorkClass

Millis: TypeAlias = Annotated[int, Meta(ge=0)]
Count: TypeAlias = Annotated[int, Meta(ge=0)]
Positive: TypeAlias = Annotated[int, Meta(ge=1)]
Name: TypeAlias = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class Site(Struct, frozen=True, kw_only=True):
    """Table ``[site]``: hosts ``<zone>-h<n>``, entries ``<zone>-e<n>`` and delays.

    Attributes:
        hosts_per_zone: Number of hosts in each zone, by their label ``pool``.
        list_lag_ms: Time until a change shows in the platform's host list.
        delay_ms: One-way delay between any two processes, and of a store call.
        until_ms: End of the scenario.
    """

    zones: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("z1",)
    entries_per_zone: Positive = 1
    hosts_per_zone: dict[Name, Positive] = field(default_factory=lambda: {"web": 2})
    hosts_per_rack: Positive = 2
    slots: Positive = 4
    cores: Positive = 16
    list_lag_ms: Millis = 30_000
    delay_ms: Positive = 1
    seed: int = 1
    until_ms: Positive = 20_000


class Key(Struct, frozen=True, kw_only=True):
    """Table ``[[key]]``: a caller's key that is configured from the start."""

    name: Name
    team: Name


class Submit(Struct, frozen=True, kw_only=True):
    """Sends ``count`` requests, ``every_ms`` apart.

    Attributes:
        entry: Entry to send to; if empty, ready entries of ``zone`` (if empty,
            of all zones) in turn.
        key: Name of a key, ``forged`` for one that was never issued, or empty for
            none.
        id: Name of the request; a later step with the same name sends a copy of it.
            Needs ``count`` 1.
        issued: Whether the entry issues the request id, not the caller.
        run_ms: Range from which the actual run time is drawn.
        needs: Resources that the caller declares.
        fails: Whether the request fails on every worker.
    """

    queue: str
    entry: str = ""
    zone: str = ""
    key: str = ""
    count: Positive = 1
    every_ms: Millis = 0
    id: str = ""
    issued: bool = False
    work_class: WorkClass = WorkClass.URGENT
    repeatable: bool = True
    deadline_ms: Positive = 5_000
    run_ms: tuple[Positive, Positive] = (50, 150)
    needs: Needs = Needs()
    fails: bool = False


class Cancel(Struct, frozen=True, kw_only=True):
    """Cancels up to ``count`` requests to a queue that have no outcome yet."""

    queue: str
    count: Positive = 1


class Cut(Struct, frozen=True, kw_only=True):
    """Drops all messages between two zones, entries, hosts or ``platform``.

    Attributes:
        one_way: Whether messages from ``target`` to ``source`` still arrive.
    """

    source: str
    target: str
    one_way: bool = False


class Heal(Struct, frozen=True, kw_only=True):
    """Ends a cut with the same ``source`` and ``target``."""

    source: str
    target: str


class EntryStep(Struct, frozen=True, kw_only=True):
    """Kills, restarts, pauses, resumes or gracefully shuts down an entry."""

    entry: str


class HostStep(Struct, frozen=True, kw_only=True):
    """Kills, revives, breaks or repairs a host."""

    host: str


class LeaveHost(Struct, frozen=True, kw_only=True):
    """Marks a host as leaving the fleet.

    Attributes:
        refuses: Whether its backend server refuses new work.
    """

    host: str
    refuses: bool = True


class LoseReply(Struct, frozen=True, kw_only=True):
    """Loses replies of a host's tasks, or of an entry's creates in the store.

    Attributes:
        host: Host whose next task replies are cut or lost, in turn.
        store_of: Entry whose next creates take effect without a reply.
        late: Whether such a create takes effect only after a delay.
    """

    host: str = ""
    store_of: str = ""
    count: Positive = 1
    late: bool = False


class StoreDown(Struct, frozen=True, kw_only=True):
    """Fails every store call until ``store_up``."""


class StoreSlow(Struct, frozen=True, kw_only=True):
    """Delays configuration reads, claims and ledger calls until ``store_up``."""

    delay_ms: Positive


class StoreUp(Struct, frozen=True, kw_only=True):
    """Ends ``store_down`` or ``store_slow``."""


class Commit(Struct, frozen=True, kw_only=True):
    """Commits one configuration record through an entry, as an operator does.

    Attributes:
        changes: Changes as tagged dictionaries; the other fields are short forms.
        as_of: Revision that the change is based on, if the operator states one.
        expect: Result that the operator must receive.
    """

    entry: str = ""
    put_team: Team | None = None
    put_pool: Pool | None = None
    put_queue: Queue | None = None
    withdraw_key: str = ""
    label_hosts: dict[str, dict[str, str]] = {}
    changes: list[dict[str, Any]] = []
    as_of: int | None = None
    expect: Literal["committed", "conflict", "refused", "unavailable"] = "committed"


class StartWave(Struct, frozen=True, kw_only=True):
    """Starts a maintenance wave."""

    wave: Wave


class SetWave(Struct, frozen=True, kw_only=True):
    """Pauses, resumes or aborts a wave."""

    name: str
    state: WaveState


Action: TypeAlias = (
    Submit
    | Cancel
    | Cut
    | Heal
    | EntryStep
    | HostStep
    | LeaveHost
    | LoseReply
    | StoreDown
    | StoreSlow
    | StoreUp
    | Commit
    | StartWave
    | SetWave
)

ACTIONS: dict[str, type[Action]] = {
    "submit": Submit,
    "burst": Submit,
    "cancel": Cancel,
    "cut": Cut,
    "heal": Heal,
    "kill_entry": EntryStep,
    "restart_entry": EntryStep,
    "pause_entry": EntryStep,
    "resume_entry": EntryStep,
    "leave_entry": EntryStep,
    "kill_host": HostStep,
    "revive_host": HostStep,
    "break_host": HostStep,
    "mend_host": HostStep,
    "leave_host": LeaveHost,
    "lose_reply": LoseReply,
    "store_down": StoreDown,
    "store_slow": StoreSlow,
    "store_up": StoreUp,
    "commit": Commit,
    "start_wave": StartWave,
    "set_wave": SetWave,
}


class Bounds(Struct, frozen=True, kw_only=True):
    """Bounds of a count."""

    exactly: Count | None = None
    at_least: Count | None = None
    at_most: Count | None = None

    def allows(self, number: int) -> bool:
        """Returns whether a number is within all bounds."""
        return (
            self.exactly in (None, number)
            and (self.at_least is None or number >= self.at_least)
            and (self.at_most is None or number <= self.at_most)
        )

    def __str__(self) -> str:
        named = [
            ("exactly", self.exactly),
            ("at least", self.at_least),
            ("at most", self.at_most),
        ]
        return ", ".join(
            f"{name} {bound}" for name, bound in named if bound is not None
        )


class Promises(Struct, frozen=True, kw_only=True):
    """Promises that must hold, by the names of their checkers; all by default."""

    names: list[str] = []


class Requests(Bounds, frozen=True, kw_only=True):
    """Bounds the number of requests with a given outcome.

    Attributes:
        outcome: How they ended; ``broken`` means that the entry was killed and the
            connection closed.
    """

    outcome: Literal["answered", "not_run", "unknown", "broken", "rejected"]
    reason: str = ""
    queue: str = ""
    team: str = ""
    id: str = ""
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class Runs(Bounds, frozen=True, kw_only=True):
    """Bounds the number of tasks that were started on hosts."""

    id: str = ""
    host: str = ""
    team: str = ""
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class Sends(Bounds, frozen=True, kw_only=True):
    """Bounds the number of attempts that reached a host, accepted or refused."""

    host: str
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class KeyRefused(Struct, frozen=True, kw_only=True):
    """Every request with the key is refused from a time on; needs at least one."""

    key: str
    after_ms: Millis


class LimitUsed(Bounds, frozen=True, kw_only=True):
    """Bounds the most tasks of a team that ran at once over the whole fleet."""

    team: str
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class InForce(Struct, frozen=True, kw_only=True):
    """All running entries of a zone have a revision in force in time."""

    zone: str
    revision: Positive
    by_ms: Millis


class StartWait(Struct, frozen=True, kw_only=True):
    """Bounds the p99 of the time from acceptance to the first start."""

    at_most_ms: Millis
    work_class: WorkClass = WorkClass.URGENT
    queue: str = ""


class Share(Struct, frozen=True, kw_only=True):
    """A team's part of all slot time within a period."""

    team: str
    part: Annotated[float, Meta(ge=0, le=1)]
    within: Annotated[float, Meta(gt=0, le=1)]
    from_ms: Millis
    to_ms: Millis


class WaveDone(Bounds, frozen=True, kw_only=True):
    """Bounds the number of hosts that a wave has maintained."""

    wave: str
    by_ms: Millis = 1 << 40


class Placed(Struct, frozen=True, kw_only=True):
    """A host is in a pool at the end of the scenario."""

    host: str
    pool: str


Expectation: TypeAlias = (
    Promises
    | Requests
    | Runs
    | Sends
    | KeyRefused
    | LimitUsed
    | InForce
    | StartWait
    | Share
    | WaveDone
    | Placed
)

EXPECTATIONS: dict[str, type[Expectation]] = {
    "promises": Promises,
    "requests": Requests,
    "runs": Runs,
    "sends": Sends,
    "key_refused": KeyRefused,
    "limit_used": LimitUsed,
    "in_force": InForce,
    "start_wait": StartWait,
    "share": Share,
    "wave_done": WaveDone,
    "placed": Placed,
}


class Document(Struct, frozen=True, kw_only=True):
    """The whole file; steps and outcomes are converted to their models later."""

    title: str = ""
    site: Site = Site()
    team: list[Team] = []
    pool: list[Pool] = []
    queue: list[Queue] = []
    key: list[Key] = []
    step: list[dict[str, Any]] = []
    outcome: list[dict[str, Any]] = []
