"""Idempotency: unrepeatable work of a request id runs at most once.

Each incarnation of an entry has one table, which decides whether the entry may run the
work of an id. It makes no store or network calls and uses only the entry's monotonic
clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from ..errors import Problem
from ..ids import Millis, OperationId
from ._records import IdRecord, RecordTable, Stage
from .idempotency_messages import (
    AnswerEvicted,
    CallerLeft,
    CancelRequested,
    CancelWork,
    Claim,
    ClaimAbsent,
    ClaimCreated,
    ClaimEnded,
    ClaimFound,
    ClaimOutcomeUnknown,
    ClaimUnavailable,
    CreateClaim,
    ExpireRecords,
    Forward,
    ForwardCancel,
    ForwardEnded,
    ReadClaim,
    Reject,
    Reply,
    StartWork,
    Submitted,
    WorkEnded,
)
from .idempotency_settings import IdempotencySettings
from .ids import IssuedId, parse_request_id
from .model import NotRun, NotRunReason, Unknown, UnknownReason
from .tracked_request import RequestKey

if TYPE_CHECKING:
    from ..ids import RequestId, TeamName
    from .idempotency_messages import CallerRef, IdempotencyEffect, IdempotencyMessage
    from .ids import Home
    from .model import Outcome

__all__ = ["IdempotencySettings", "IdempotencyTable"]

_STEP = "submit"


class IdempotencyTable:
    """Decides which entry runs the work of each request id.

    Args:
        home: This incarnation of this entry.
        cfg: Settings.
    """

    def __init__(self, home: Home, cfg: IdempotencySettings | None = None) -> None:
        self._home = home
        self._cfg = cfg or IdempotencySettings()
        self._records = RecordTable(self._cfg.max_kept_records)
        self._last_seq = 0
        self._last_op = 0
        self._effects: list[IdempotencyEffect] = []

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, team: TeamName, now_ms: Millis) -> RequestId:
        """Returns a new id, whose home is this incarnation of this entry."""
        self._last_seq += 1
        request_id = IssuedId(self._home, self._last_seq).to_request_id()
        key = RequestKey(team, request_id)
        record = self._records.add(key, IdRecord(Stage.ISSUED, is_home=True))
        self._records.keep_until(key, record, now_ms + self._cfg.issued_id_ttl_ms)
        return request_id

    def handle(
        self, message: IdempotencyMessage, now_ms: Millis
    ) -> list[IdempotencyEffect]:
        """Handles a message and returns the effects to carry out, in order.

        Args:
            message: What happened.
            now_ms: Current time on the entry's monotonic clock.
        """
        match message:
            case Submitted():
                self._handle_submission(message, now_ms)
            case ClaimEnded():
                self._finish_claim(message, now_ms)
            case WorkEnded(key=key, outcome=outcome):
                self._finish_work(key, outcome, now_ms)
            case ForwardEnded(key=key, outcome=outcome):
                self._finish_forward(key, outcome, now_ms)
            case CallerLeft(key=key, caller=caller):
                self._remove_caller(key, caller, now_ms)
            case CancelRequested(key=key):
                self._handle_cancel(key, now_ms)
            case AnswerEvicted(key=key):
                self._evict_answer(key, now_ms)
            case ExpireRecords():
                self._records.remove_expired(now_ms)
        effects, self._effects = self._effects, []
        return effects

    def _handle_submission(self, submitted: Submitted, now_ms: Millis) -> None:
        key = RequestKey(submitted.team, submitted.request_id)
        if submitted.addressed_to not in (None, self._home.incarnation):
            self._reply_unknown(key, submitted, UnknownReason.HOME_GONE)
            return
        record = self._records.get(key, now_ms)
        if record is not None:
            self._handle_known_id(key, record, submitted, now_ms)
            return
        parsed = parse_request_id(submitted.request_id, peer=submitted.team)
        match parsed:
            case Success(IssuedId() as issued):
                self._handle_issued_id(key, issued, submitted)
            case Success(_):
                self._handle_chosen_id(key, submitted, now_ms)
            case _:
                self._effects.append(Reject(submitted.caller, parsed.failure()))

    def _handle_issued_id(
        self, key: RequestKey, issued: IssuedId, submitted: Submitted
    ) -> None:
        """Handles an issued id of which this entry has no record."""
        home = issued.home
        if home == self._home:
            if issued.seq > self._last_seq:
                self._reject(submitted, "the id was never issued", "send an issued id")
                return
            self._reply_unknown(key, submitted, UnknownReason.ID_SPENT)
        elif home.entry == self._home.entry or submitted.addressed_to is not None:
            self._reply_unknown(key, submitted, UnknownReason.HOME_GONE)
        else:
            record = self._records.add(key, _new_record(Stage.FORWARDED, submitted))
            self._forward(key, record, home)

    def _handle_chosen_id(
        self, key: RequestKey, submitted: Submitted, now_ms: Millis
    ) -> None:
        """Handles a chosen id of which this entry has no record."""
        if submitted.addressed_to is not None:
            self._reply_unknown(key, submitted, UnknownReason.ID_SPENT)
        elif submitted.repeatable:
            self._records.add(key, _new_record(Stage.RUNNING, submitted))
            self._effects.append(StartWork(key))
        elif submitted.deadline_ms - now_ms > self._cfg.max_deadline_ms:
            fix = f"set a deadline within {self._cfg.max_deadline_ms} ms"
            self._reject(submitted, "the deadline is too far away for a chosen id", fix)
        else:
            record = self._records.add(key, _new_record(Stage.CLAIMING, submitted))
            self._claim(key, record, now_ms)

    def _handle_known_id(
        self, key: RequestKey, record: IdRecord, submitted: Submitted, now_ms: Millis
    ) -> None:
        if record.fingerprint and record.fingerprint != submitted.fingerprint:
            what = "the id belongs to a request with different content"
            self._reject(submitted, what, "send the same content or choose another id")
            return
        if record.stage is Stage.ISSUED:
            self._accept_submission(key, record, submitted)
            self._start_work(key, record)
        elif record.stage is not Stage.DONE:
            record.callers[submitted.caller] = submitted.submission
            record.submission = max(record.submission, submitted.submission)
        elif self._may_restart(record, submitted):
            self._accept_submission(key, record, submitted)
            self._restart_work(key, record, now_ms)
        elif record.outcome is not None:
            self._effects.append(Reply(key, (submitted.caller,), record.outcome))

    def _may_restart(self, record: IdRecord, submitted: Submitted) -> bool:
        match record.outcome:
            case NotRun():
                return submitted.submission > record.submission
            case Unknown(reason=UnknownReason.STORE_UNAVAILABLE):
                return True
        return False

    def _accept_submission(
        self, key: RequestKey, record: IdRecord, submitted: Submitted
    ) -> None:
        self._records.cancel_expiry(key)
        record.fingerprint = submitted.fingerprint
        record.repeatable = submitted.repeatable
        record.submission = submitted.submission
        record.callers[submitted.caller] = submitted.submission
        record.outcome = None
        record.is_cancelled = False

    def _start_work(self, key: RequestKey, record: IdRecord) -> None:
        record.stage = Stage.RUNNING
        self._effects.append(StartWork(key))

    def _restart_work(self, key: RequestKey, record: IdRecord, now_ms: Millis) -> None:
        if not record.is_home:
            self._claim(key, record, now_ms)
        elif self._is_claim_usable(record.claimed_ms, now_ms):
            self._start_work(key, record)
        else:
            self._reply_final(key, record, Unknown(UnknownReason.ID_SPENT))

    def _is_claim_usable(self, claimed_ms: int | None, now_ms: Millis) -> bool:
        """Returns whether the claim outlives any work that starts now."""
        return claimed_ms is None or now_ms - claimed_ms <= self._cfg.max_claim_age_ms

    def _claim(self, key: RequestKey, record: IdRecord, now_ms: Millis) -> None:
        self._last_op += 1
        home = self._home
        op_id = OperationId(f"{home.entry}/{home.incarnation}/{self._last_op}")
        record.stage = Stage.CLAIMING
        record.op_id = op_id
        record.claims[op_id] = now_ms
        record.claim_reads = 0
        self._effects.append(CreateClaim(key, Claim(home, op_id)))

    def _finish_claim(self, ended: ClaimEnded, now_ms: Millis) -> None:
        record = self._records.get(ended.key, now_ms)
        if record is None or record.stage is not Stage.CLAIMING:
            return
        if ended.op_id != record.op_id:
            return
        match ended.result:
            case ClaimCreated():
                self._use_claim(ended.key, record, ended.op_id, now_ms)
            case ClaimFound(claim=claim):
                self._handle_existing_claim(ended.key, record, claim, now_ms)
            case ClaimOutcomeUnknown() if (
                record.claim_reads < self._cfg.max_claim_reads
            ):
                record.claim_reads += 1
                self._effects.append(ReadClaim(ended.key, ended.op_id))
            case ClaimUnavailable(retry_after_ms=retry_after_ms):
                self._fail_claim(ended.key, record, retry_after_ms, now_ms)
            case ClaimOutcomeUnknown() | ClaimAbsent():
                self._fail_claim(ended.key, record, None, now_ms)

    def _use_claim(
        self, key: RequestKey, record: IdRecord, op_id: OperationId, now_ms: Millis
    ) -> None:
        """Starts the work under a claim that certainly belongs to this entry."""
        decided_ms = record.claims[record.op_id or op_id]
        is_in_time = now_ms - decided_ms <= self._cfg.claim_timeout_ms
        if not is_in_time or not self._is_claim_usable(record.claims[op_id], now_ms):
            self._fail_claim(key, record, None, now_ms)
            return
        record.is_home = True
        record.claimed_ms = record.claims[op_id]
        if record.is_cancelled:
            self._finish(key, record, NotRun(NotRunReason.CANCELLED), now_ms)
        else:
            self._start_work(key, record)

    def _handle_existing_claim(
        self, key: RequestKey, record: IdRecord, claim: Claim, now_ms: Millis
    ) -> None:
        if claim.home == self._home:
            if claim.op_id in record.claims:
                self._use_claim(key, record, claim.op_id, now_ms)
                return
            self._reply_final(key, record, Unknown(UnknownReason.ID_SPENT))
        elif claim.home.entry == self._home.entry:
            self._reply_final(key, record, Unknown(UnknownReason.HOME_GONE))
        else:
            record.stage = Stage.FORWARDED
            self._forward(key, record, claim.home)

    def _fail_claim(
        self,
        key: RequestKey,
        record: IdRecord,
        retry_after_ms: int | None,
        now_ms: Millis,
    ) -> None:
        """Ends a submission whose id could not be claimed.

        A copy may run at an entry that reaches the store. The record is kept, since a
        delayed create may still take effect.
        """
        advice_ms = retry_after_ms or self._cfg.store_retry_ms
        detail = "the id could not be claimed"
        unclaimed = Unknown(UnknownReason.STORE_UNAVAILABLE, detail, advice_ms)
        self._finish(key, record, unclaimed, now_ms)

    def _forward(self, key: RequestKey, record: IdRecord, home: Home) -> None:
        record.home = home
        record.forwarded_submission = record.submission
        self._effects.append(Forward(key, home, record.submission))
        if record.is_cancelled:
            self._effects.append(ForwardCancel(key, home))

    def _finish_work(self, key: RequestKey, outcome: Outcome, now_ms: Millis) -> None:
        record = self._records.get(key, now_ms)
        if record is None or record.stage is not Stage.RUNNING:
            return
        if record.is_home:
            self._finish(key, record, outcome, now_ms)
        else:
            self._reply_final(key, record, outcome)

    def _finish_forward(
        self, key: RequestKey, outcome: Outcome, now_ms: Millis
    ) -> None:
        record = self._records.get(key, now_ms)
        if record is None or record.stage is not Stage.FORWARDED:
            return
        later = {
            c: n for c, n in record.callers.items() if n > record.forwarded_submission
        }
        if record.home is None or not later or not isinstance(outcome, NotRun):
            self._reply_final(key, record, outcome)
            return
        refused = tuple(c for c in record.callers if c not in later)
        record.callers = later
        if refused:
            self._effects.append(Reply(key, refused, outcome))
        self._forward(key, record, record.home)

    def _finish(
        self, key: RequestKey, record: IdRecord, outcome: Outcome, now_ms: Millis
    ) -> None:
        """Sends the outcome to all waiting callers and keeps it for later copies."""
        callers = tuple(record.callers)
        record.callers = {}
        record.stage = Stage.DONE
        record.outcome = outcome
        self._records.keep_until(key, record, now_ms + self._cfg.outcome_ttl_ms)
        if callers:
            self._effects.append(Reply(key, callers, outcome))

    def _reply_final(self, key: RequestKey, record: IdRecord, outcome: Outcome) -> None:
        """Sends the outcome to all waiting callers and removes the record."""
        self._records.remove(key)
        if record.callers:
            self._effects.append(Reply(key, tuple(record.callers), outcome))

    def _remove_caller(
        self, key: RequestKey, caller: CallerRef, now_ms: Millis
    ) -> None:
        record = self._records.get(key, now_ms)
        if record is None or caller not in record.callers:
            return
        del record.callers[caller]
        is_wanted = bool(record.callers) or not record.repeatable
        if record.stage is Stage.RUNNING and not is_wanted:
            self._effects.append(CancelWork(key))

    def _handle_cancel(self, key: RequestKey, now_ms: Millis) -> None:
        record = self._records.get(key, now_ms)
        if record is None:
            return
        match record.stage:
            case Stage.ISSUED:
                self._records.cancel_expiry(key)
                self._finish(key, record, NotRun(NotRunReason.CANCELLED), now_ms)
            case Stage.CLAIMING:
                record.is_cancelled = True
            case Stage.RUNNING:
                self._effects.append(CancelWork(key))
            case Stage.FORWARDED if record.home is not None:
                self._effects.append(ForwardCancel(key, record.home))

    def _evict_answer(self, key: RequestKey, now_ms: Millis) -> None:
        record = self._records.get(key, now_ms)
        if record is not None and record.stage is Stage.DONE:
            record.outcome = Unknown(UnknownReason.ID_SPENT)

    def _reply_unknown(
        self, key: RequestKey, submitted: Submitted, reason: UnknownReason
    ) -> None:
        self._effects.append(Reply(key, (submitted.caller,), Unknown(reason)))

    def _reject(self, submitted: Submitted, what: str, fix: str) -> None:
        problem = Problem(
            _STEP, submitted.team, what, f"request id {submitted.request_id}", fix
        )
        self._effects.append(Reject(submitted.caller, problem))


def _new_record(stage: Stage, submitted: Submitted) -> IdRecord:
    return IdRecord(
        stage,
        fingerprint=submitted.fingerprint,
        repeatable=submitted.repeatable,
        submission=submitted.submission,
        callers={submitted.caller: submitted.submission},
    )
