"""At most one run of a request id, whatever its copies do.

The table of one run of an entry. It decides who starts the work of an id; it does no
store or network call and relies on no clock but its own monotonic one.
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
    ClaimEnded,
    ClaimHeld,
    ClaimOutcomeUnknown,
    ClaimUnavailable,
    ClaimWon,
    CreateClaim,
    ExpireRecords,
    Forward,
    ForwardCancel,
    ForwardEnded,
    ReadClaim,
    Reject,
    Reply,
    StartWork,
    SubmissionReceived,
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
    """Who starts the work of each request id.

    Args:
        home: This run of this entry.
        cfg: Bounds.
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
        """Returns a new id, whose home is this run of this entry."""
        self._last_seq += 1
        request_id = IssuedId(self._home, self._last_seq).to_request_id()
        key = RequestKey(team, request_id)
        record = self._records.add(key, IdRecord(Stage.ISSUED, is_home=True))
        self._records.keep_until(key, record, now_ms + self._cfg.issued_id_ttl_ms)
        return request_id

    def handle(
        self, message: IdempotencyMessage, now_ms: Millis
    ) -> list[IdempotencyEffect]:
        """Takes one message and returns what to do, in order.

        Args:
            message: What happened.
            now_ms: Now, on the entry's monotonic clock.
        """
        match message:
            case SubmissionReceived():
                self._handle_submission(message, now_ms)
            case ClaimEnded():
                self._end_claim(message, now_ms)
            case WorkEnded(key=key, outcome=outcome):
                self._end_work(key, outcome, now_ms)
            case ForwardEnded(key=key, outcome=outcome):
                self._end_forward(key, outcome, now_ms)
            case CallerLeft(key=key, caller=caller):
                self._remove_caller(key, caller, now_ms)
            case CancelRequested(key=key):
                self._cancel(key, now_ms)
            case AnswerEvicted(key=key):
                self._evict_answer(key, now_ms)
            case ExpireRecords():
                self._records.remove_expired(now_ms)
        effects, self._effects = self._effects, []
        return effects

    def _handle_submission(self, received: SubmissionReceived, now_ms: Millis) -> None:
        key = RequestKey(received.team, received.request_id)
        if received.addressed_to not in (None, self._home.incarnation):
            self._reply_unknown(key, received, UnknownReason.HOME_GONE)
            return
        record = self._records.get(key, now_ms)
        if record is not None:
            self._handle_known_id(key, record, received, now_ms)
            return
        parsed = parse_request_id(received.request_id, peer=received.team)
        match parsed:
            case Success(IssuedId() as issued):
                self._handle_unknown_issued_id(key, issued, received)
            case Success(_):
                self._handle_unknown_chosen_id(key, received, now_ms)
            case _:
                self._effects.append(Reject(received.caller, parsed.failure()))

    def _handle_unknown_issued_id(
        self, key: RequestKey, issued: IssuedId, received: SubmissionReceived
    ) -> None:
        """Takes an issued id that this entry knows nothing of."""
        home = issued.home
        if home == self._home:
            if issued.seq > self._last_seq:
                self._reject(received, "the id was never issued", "use ids as issued")
                return
            self._reply_unknown(key, received, UnknownReason.ID_SPENT)
        elif home.entry == self._home.entry or received.addressed_to is not None:
            self._reply_unknown(key, received, UnknownReason.HOME_GONE)
        else:
            record = self._records.add(key, _record(Stage.FORWARDED, received))
            self._forward(key, record, home)

    def _handle_unknown_chosen_id(
        self, key: RequestKey, received: SubmissionReceived, now_ms: Millis
    ) -> None:
        """Takes a chosen id that this entry knows nothing of."""
        if received.addressed_to is not None:
            self._reply_unknown(key, received, UnknownReason.ID_SPENT)
        elif received.repeatable:
            self._records.add(key, _record(Stage.RUNNING, received))
            self._effects.append(StartWork(key))
        elif received.deadline_ms - now_ms > self._cfg.max_deadline_ms:
            fix = f"set a deadline within {self._cfg.max_deadline_ms} ms"
            self._reject(received, "the deadline is too far for a chosen id", fix)
        else:
            record = self._records.add(key, _record(Stage.CLAIMING, received))
            self._claim(key, record, now_ms)

    def _handle_known_id(
        self,
        key: RequestKey,
        record: IdRecord,
        received: SubmissionReceived,
        now_ms: Millis,
    ) -> None:
        if record.fingerprint and record.fingerprint != received.fingerprint:
            what = "the id belongs to a request with other content"
            self._reject(received, what, "send the same content or choose another id")
            return
        if record.stage is Stage.ISSUED:
            self._begin(key, record, received)
            self._run(key, record)
        elif record.stage is not Stage.DONE:
            record.callers[received.caller] = received.submission
            record.submission = max(record.submission, received.submission)
        elif self._may_run_again(record, received):
            self._begin(key, record, received)
            self._run_again(key, record, now_ms)
        elif record.outcome is not None:
            self._effects.append(Reply(key, (received.caller,), record.outcome))

    def _may_run_again(self, record: IdRecord, received: SubmissionReceived) -> bool:
        match record.outcome:
            case NotRun():
                return received.submission > record.submission
            case Unknown(reason=UnknownReason.STORE_UNAVAILABLE):
                return True
        return False

    def _begin(
        self, key: RequestKey, record: IdRecord, received: SubmissionReceived
    ) -> None:
        self._records.cancel_expiry(key)
        record.fingerprint = received.fingerprint
        record.repeatable = received.repeatable
        record.submission = received.submission
        record.callers[received.caller] = received.submission
        record.outcome = None
        record.is_cancelled = False

    def _run(self, key: RequestKey, record: IdRecord) -> None:
        record.stage = Stage.RUNNING
        self._effects.append(StartWork(key))

    def _run_again(self, key: RequestKey, record: IdRecord, now_ms: Millis) -> None:
        if not record.is_home:
            self._claim(key, record, now_ms)
        elif self._is_claim_usable(record.claimed_ms, now_ms):
            self._run(key, record)
        else:
            self._reply_and_remove(key, record, Unknown(UnknownReason.ID_SPENT))

    def _is_claim_usable(self, claimed_ms: int | None, now_ms: Millis) -> bool:
        """Returns whether the claim outlives any work that begins now."""
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

    def _end_claim(self, ended: ClaimEnded, now_ms: Millis) -> None:
        record = self._records.get(ended.key, now_ms)
        if record is None or record.stage is not Stage.CLAIMING:
            return
        if ended.op_id != record.op_id:
            return
        match ended.result:
            case ClaimWon():
                self._use_claim(ended.key, record, ended.op_id, now_ms)
            case ClaimHeld(claim=claim):
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
        """Runs the work under a claim that is this entry's for sure."""
        decided_ms = record.claims[record.op_id or op_id]
        is_prompt = now_ms - decided_ms <= self._cfg.claim_timeout_ms
        if not is_prompt or not self._is_claim_usable(record.claims[op_id], now_ms):
            self._fail_claim(key, record, None, now_ms)
            return
        record.is_home = True
        record.claimed_ms = record.claims[op_id]
        if record.is_cancelled:
            self._finish(key, record, NotRun(NotRunReason.CANCELLED), now_ms)
        else:
            self._run(key, record)

    def _handle_existing_claim(
        self, key: RequestKey, record: IdRecord, claim: Claim, now_ms: Millis
    ) -> None:
        if claim.home == self._home:
            if claim.op_id in record.claims:
                self._use_claim(key, record, claim.op_id, now_ms)
                return
            self._reply_and_remove(key, record, Unknown(UnknownReason.ID_SPENT))
        elif claim.home.entry == self._home.entry:
            self._reply_and_remove(key, record, Unknown(UnknownReason.HOME_GONE))
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
        """Gives up on the claim; a copy may run where the store can be reached.

        The record stays, since a delayed claim may yet take effect.
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

    def _end_work(self, key: RequestKey, outcome: Outcome, now_ms: Millis) -> None:
        record = self._records.get(key, now_ms)
        if record is None or record.stage is not Stage.RUNNING:
            return
        if record.is_home:
            self._finish(key, record, outcome, now_ms)
        else:
            self._reply_and_remove(key, record, outcome)

    def _end_forward(self, key: RequestKey, outcome: Outcome, now_ms: Millis) -> None:
        record = self._records.get(key, now_ms)
        if record is None or record.stage is not Stage.FORWARDED:
            return
        later = {
            c: n for c, n in record.callers.items() if n > record.forwarded_submission
        }
        if record.home is None or not later or not isinstance(outcome, NotRun):
            self._reply_and_remove(key, record, outcome)
            return
        refused = tuple(c for c in record.callers if c not in later)
        record.callers = later
        if refused:
            self._effects.append(Reply(key, refused, outcome))
        self._forward(key, record, record.home)

    def _finish(
        self, key: RequestKey, record: IdRecord, outcome: Outcome, now_ms: Millis
    ) -> None:
        """Gives the outcome to all who wait and keeps it for later copies."""
        callers = tuple(record.callers)
        record.callers = {}
        record.stage = Stage.DONE
        record.outcome = outcome
        self._records.keep_until(key, record, now_ms + self._cfg.outcome_ttl_ms)
        if callers:
            self._effects.append(Reply(key, callers, outcome))

    def _reply_and_remove(
        self, key: RequestKey, record: IdRecord, outcome: Outcome
    ) -> None:
        """Gives the outcome to all who wait; nothing is kept here."""
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

    def _cancel(self, key: RequestKey, now_ms: Millis) -> None:
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
        self, key: RequestKey, received: SubmissionReceived, reason: UnknownReason
    ) -> None:
        self._effects.append(Reply(key, (received.caller,), Unknown(reason)))

    def _reject(self, received: SubmissionReceived, what: str, fix: str) -> None:
        problem = Problem(
            _STEP, received.team, what, f"request id {received.request_id}", fix
        )
        self._effects.append(Reject(received.caller, problem))


def _record(stage: Stage, received: SubmissionReceived) -> IdRecord:
    return IdRecord(
        stage,
        fingerprint=received.fingerprint,
        repeatable=received.repeatable,
        submission=received.submission,
        callers={received.caller: received.submission},
    )
