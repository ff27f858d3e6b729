"""The tasks that acquire and keep the entry's duties."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING, Protocol, TypeAlias

from returns.result import Success

from ..domain.duties.holder import DutyHolder, DutySettings, Idle
from ..domain.duties.placement import acquire_delay_ms
from ..store.contract import Compacted
from ..store.cursor import WatchCursor
from ..store.duties import PREFIX, DutyRunner
from .clock import steady_ms
from .steps import run_step
from .times import LATE_RENEWAL_MS, WATCH_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.duties.names import DutyName
    from ..domain.ids import EntryId, Incarnation, Term
    from .context import JobEntryContext
    from .duty_claims import DutyClaims

DUTY_SETTINGS = DutySettings(
    ttl_ms=1_600,
    margin_ms=400,
    renew_every_ms=500,
    renew_retry_ms=120,
    retry_ms=600,
    late_renewal_ms=LATE_RENEWAL_MS,
)
"""The duty of a dead holder is free after its lease, long before runs expire."""

STEP_INTERVAL_MS = 50
RETRY_PAUSE_MS = 150

JITTER_MS = 150


class DutyWork(Protocol):
    """The task that an entry runs while it holds a duty.

    Its term may be uncertain for a while, and then be resumed. Either it pauses, or it
    ends and says so; its duty is released then.
    """

    @property
    def is_over(self) -> bool:
        """Returns whether any part of it has ended by itself, for whatever reason."""

    def resume(self) -> None:
        """Tells it that its term was uncertain, and is certain again after this call.

        It must not act by what it read before.
        """

    def stop(self) -> None:
        """Ends the task soon."""


WorkFactory: TypeAlias = "Callable[[Term, Callable[[], Term | None]], DutyWork]"
"""Starts a duty's work with its term and a function that returns the held term."""


class DutyView:
    """Follows which duties have a holder, by a watch of the store."""

    def __init__(self, context: JobEntryContext) -> None:
        self._context = context
        self._holder_versions: dict[str, int] = {}
        self._free_since_ms: dict[str, int] = {}
        self._cursor: WatchCursor | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def free_for_ms(self, duty: DutyName) -> int | None:
        """Returns how long a duty has had no holder; None if it may have one."""
        if self._cursor is None or f"{PREFIX}{duty}/holder" in self._holder_versions:
            return None
        since_ms = self._free_since_ms.setdefault(duty, steady_ms())
        return steady_ms() - since_ms

    def _run(self) -> None:
        while True:
            if not run_step(self._context.log, "duties", self.step, otherwise=False):
                threading.Event().wait(RETRY_PAUSE_MS / 1_000)

    def step(self) -> bool:
        """Lists the holders or waits for changes once; returns whether it read."""
        cursor = self._cursor
        return self._list() if cursor is None else self._follow(cursor)

    def _list(self) -> bool:
        listed = self._context.store.list(PREFIX)
        if not isinstance(listed, Success):
            return False
        listing = listed.unwrap()
        self._holder_versions = {item.key: item.version for item in listing.items}
        self._free_since_ms = {}
        self._cursor = WatchCursor(listing.at_version)
        return True

    def _follow(self, cursor: WatchCursor) -> bool:
        watched = self._context.store.watch(
            PREFIX, after_version=cursor.version, timeout_ms=WATCH_MS
        )
        if not isinstance(watched, Success):
            if isinstance(watched.failure(), Compacted):
                self._cursor = None
                return True
            return False
        batch = watched.unwrap()
        for event in batch.events:
            if event.value is None:
                self._holder_versions.pop(event.key, None)
            else:
                self._holder_versions[event.key] = event.version
            duty = event.key.removeprefix(PREFIX).removesuffix("/holder")
            self._free_since_ms.pop(duty, None)
        cursor.advance(batch, steady_ms())
        return True


class DutyTask:
    """Acquires one duty when it is free and runs its work while it is held.

    Args:
        name: The duty.
        entry: This entry.
        incarnation: Incarnation of the entry.
        context: Objects that all tasks of the entry share.
        view: Tells whether the duty is free.
        claims: Claims of the entry on this and other duties.
        start_work: Starts the work when the duty is acquired.
    """

    def __init__(
        self,
        name: DutyName,
        entry: EntryId,
        incarnation: Incarnation,
        *,
        context: JobEntryContext,
        view: DutyView,
        claims: DutyClaims,
        start_work: WorkFactory,
    ) -> None:
        self._name = name
        self._context = context
        self._view = view
        self._claims = claims
        self._start_work = start_work
        rng = random.Random(f"{incarnation}/{name}")
        self._jitter_ms = rng.randint(0, JITTER_MS)
        holder = DutyHolder(entry, incarnation, rng=rng, settings=DUTY_SETTINGS)
        self._runner = DutyRunner(name, holder, store=context.store, clock=steady_ms)
        self._term: Term | None = None
        self._work: DutyWork | None = None
        self._known_gaps = 0
        self._resigning = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def is_held(self) -> bool:
        """Returns whether the entry holds the duty."""
        return self._term is not None

    @property
    def lacks_work(self) -> bool:
        """Returns whether the duty is held, but its work has ended or never begun."""
        work = self._work
        return self.is_held and (work is None or work.is_over)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def resign(self) -> None:
        """Releases the duty and doesn't acquire it again."""
        self._resigning.set()

    def join(self, timeout_s: float) -> None:
        """Waits until the duty is released, at most ``timeout_s``."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._resigning.wait(STEP_INTERVAL_MS / 1_000):
            try:
                self.step()
            except Exception as exc:
                self._context.log.event("duty-fault", duty=self._name, why=repr(exc))
        if self._work is not None:
            self._work.stop()
        self._runner.release()

    def step(self) -> None:
        """Makes the store calls that are due and starts or stops the work.

        A duty whose work has ended by itself is released and may be acquired again.
        """
        holder = self._runner.holder
        if self.lacks_work:
            if holder.is_wanted:
                self._record("work_ended", self._term)
            holder.is_wanted = False
        else:
            holder.is_wanted = self.is_held or self._claims.claim(
                self._name, self._may_acquire
            )
        if not holder.is_wanted:
            self._claims.release(self._name)
        term = self._runner.run()
        if term is not None and term != self._term:
            self._begin_work(term)
        elif isinstance(holder.state, Idle) and self._term is not None:
            self._end_work()
        elif holder.late_renewals != self._known_gaps:
            self._resume_work()

    def _held_term(self) -> Term | None:
        """Returns the term that is certainly held; None until the work knows of a gap.

        Any thread may call this.
        """
        term = self._runner.term()
        is_known = self._runner.holder.late_renewals == self._known_gaps
        return term if is_known else None

    def _may_acquire(self, other_duties: int) -> bool:
        free_ms = self._view.free_for_ms(self._name)
        if free_ms is None or self._context.catalog() is None:
            return False
        size = self._context.settings.machine.size
        return free_ms >= self._jitter_ms + acquire_delay_ms(size, other_duties)

    def _begin_work(self, term: Term) -> None:
        self._end_work()
        self._record("taken", term)
        self._term, self._known_gaps = term, self._runner.holder.late_renewals
        self._work = self._start_work(term, self._held_term)

    def _resume_work(self) -> None:
        if self._work is not None:
            self._record("resumed", self._term)
            self._work.resume()
        self._known_gaps = self._runner.holder.late_renewals

    def _end_work(self) -> None:
        """Stops the work if the duty was held."""
        if self._term is None:
            return
        self._record("lost", self._term)
        self._term = None
        if self._work is not None:
            self._work.stop()
            self._work = None

    def _record(self, change: str, term: Term | None) -> None:
        """Logs and counts a change of the duty."""
        self._context.metrics.count("duty_changes", change)
        event = f"duty-{change.replace('_', '-')}"
        self._context.log.event(event, duty=self._name, term=term)
