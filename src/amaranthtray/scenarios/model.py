"""The scenario language as validated models."""

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
    """Table ``[site]``; hosts are ``<zone>-h<n>`` and entries ``<zone>-e<n>``.

    Attributes:
        hosts_per_zone: Hosts of each zone by the value of their label ``pool``.
        list_lag_ms: How far the platform's host list lags behind.
        delay_ms: One way between any two processes.
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
    """One ``[[key]]``: a caller's key that is in the configuration from the start."""

    name: Name
    team: Name


class Submit(Struct, frozen=True, kw_only=True):
    """Sends requests, all at once or ``every_ms``.

    Attributes:
        entry: Entry to send to; else one of ``zone``, else any by turns.
        key: Name of a key, or ``forged`` for one that was never given out.
        id: Name of the request, to send the same again; needs ``count`` 1.
        issued: Whether the entry issues the id before.
        run_ms: Range of the true run time.
        needs: Declared needs.
        fails: Whether the job fails wherever it runs.
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
    """Cancels requests that were sent to a queue and have no outcome yet."""

    queue: str
    count: Positive = 1


class Cut(Struct, frozen=True, kw_only=True):
    """Cuts ``source`` from ``target``: zones, entries, hosts or ``platform``."""

    source: str
    target: str
    one_way: bool = False


class Heal(Struct, frozen=True, kw_only=True):
    """Ends a cut that was made with the same names."""

    source: str
    target: str


class EntryStep(Struct, frozen=True, kw_only=True):
    """Kills, pauses, resumes, restarts an entry or lets it leave."""

    entry: str


class HostStep(Struct, frozen=True, kw_only=True):
    """Kills, revives, breaks, mends a host or lets it leave."""

    host: str


class LeaveHost(Struct, frozen=True, kw_only=True):
    """Lets a host leave.

    Attributes:
        refuses: Whether it refuses new work itself.
    """

    host: str
    refuses: bool = True


class LoseReply(Struct, frozen=True, kw_only=True):
    """Loses replies after their effect: of a host's tasks or of the store's writes.

    Attributes:
        late: Whether the store's write takes effect only later.
    """

    host: str = ""
    store_of: str = ""
    count: Positive = 1
    late: bool = False


class StoreDown(Struct, frozen=True, kw_only=True):
    """The store is down for all until ``store_up``."""


class StoreSlow(Struct, frozen=True, kw_only=True):
    """Each store call takes this long until ``store_up``."""

    delay_ms: Positive


class StoreUp(Struct, frozen=True, kw_only=True):
    """The store is well again."""


class Commit(Struct, frozen=True, kw_only=True):
    """Commits one configuration record, as an operator does through an entry.

    Attributes:
        changes: Tagged dictionaries; the other fields are short forms.
        as_of: Revision that the operator looked at, if any.
        expect: What the operator must be told.
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
    """Asks for a maintenance wave."""

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
    """How often something must be seen."""

    exactly: Count | None = None
    at_least: Count | None = None
    at_most: Count | None = None

    def hold(self, number: int) -> bool:
        """Returns whether a number fits."""
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
    """Promises that must hold, by checker; all of them by default."""

    names: list[str] = []


class Requests(Bounds, frozen=True, kw_only=True):
    """How many requests ended in this way.

    Attributes:
        outcome: How they ended; ``broken`` is a connection cut by a killed entry.
    """

    outcome: Literal["answered", "not_run", "unknown", "broken", "rejected"]
    reason: str = ""
    queue: str = ""
    team: str = ""
    id: str = ""
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class Runs(Bounds, frozen=True, kw_only=True):
    """How often tasks were started on hosts."""

    id: str = ""
    host: str = ""
    team: str = ""
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class Sends(Bounds, frozen=True, kw_only=True):
    """How often a host was sent work, whether it took it or not."""

    host: str
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class KeyRefused(Struct, frozen=True, kw_only=True):
    """The key is refused from a moment on; at least one request must show it."""

    key: str
    after_ms: Millis


class LimitUsed(Bounds, frozen=True, kw_only=True):
    """Most tasks of a team that ran at once over the whole fleet."""

    team: str
    from_ms: Millis = 0
    to_ms: Millis = 1 << 40


class InForce(Struct, frozen=True, kw_only=True):
    """All running entries of a zone have a revision in force."""

    zone: str
    revision: Positive
    by_ms: Millis


class StartWait(Struct, frozen=True, kw_only=True):
    """The p99 of the time from acceptance to the first start."""

    at_most_ms: Millis
    work_class: WorkClass = WorkClass.URGENT
    queue: str = ""


class Share(Struct, frozen=True, kw_only=True):
    """A team's part of all slot time over some time."""

    team: str
    part: Annotated[float, Meta(ge=0, le=1)]
    within: Annotated[float, Meta(gt=0, le=1)]
    from_ms: Millis
    to_ms: Millis


class WaveDone(Bounds, frozen=True, kw_only=True):
    """How many hosts a wave has maintained."""

    wave: str
    by_ms: Millis = 1 << 40


class Placed(Struct, frozen=True, kw_only=True):
    """A host is in a pool at the end."""

    host: str
    pool: str


Claim: TypeAlias = (
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

CLAIMS: dict[str, type[Claim]] = {
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
    """The whole file; steps and outcomes are read by their own models."""

    title: str = ""
    site: Site = Site()
    team: list[Team] = []
    pool: list[Pool] = []
    queue: list[Queue] = []
    key: list[Key] = []
    step: list[dict[str, Any]] = []
    outcome: list[dict[str, Any]] = []
