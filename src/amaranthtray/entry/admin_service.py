"""The operations of the administration interface, independent of HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Success

from ..domain.configuration import CHANGES, Record
from ..domain.configuration.codec import record_to_dict, snapshot_to_dict
from ..domain.configuration.log import AlreadyCommitted, ChangeConflict, propose
from ..domain.errors import Problem, ProblemError
from ..domain.ids import OperationId, Revision
from ..domain.keys import authorize
from . import admin_replies as replies
from .operator_login import authenticate_operator, prepend_first_operator

if TYPE_CHECKING:
    from ..domain.configuration import Change, Configuration, Operator
    from ..store.config_log import Committed, ConfigLog
    from .admin_replies import AdminReply
    from .admin_view import AdminView
    from .context import EntryContext

CONFIRM_TIMEOUT_MS = 3_000
MAX_WATCH_TIMEOUT_MS = 30_000


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a change or a preview."""

    changes: list[dict[str, Any]]
    op_id: str = ""
    expected: int | None = None
    dry_run: bool = False


class AdminService:
    """Commits changes of operators and answers their queries.

    Args:
        context: Objects that all tasks of the entry share.
        log: The configuration log.
        admin_view: The state that operators can read.
    """

    def __init__(
        self, context: EntryContext, log: ConfigLog, admin_view: AdminView
    ) -> None:
        self._context = context
        self._log = log
        self._admin_view = admin_view

    def change(self, body: bytes, key: str | None) -> AdminReply:
        """Commits changes and returns which zones have them in force."""
        operator = self._operator(key)
        if operator is None:
            return _unauthorized()
        try:
            request = _decode(body, operator.name)
            changes = _changes(request, operator.name)
        except ProblemError as exc:
            return replies.problem(exc.problem)
        if request.dry_run:
            return self._dry_run(request, changes, operator)
        return self._commit(request, changes, operator)

    def preview(self, body: bytes, key: str | None) -> AdminReply:
        """Returns what changes would do, without committing them."""
        operator = self._operator(key)
        if operator is None:
            return _unauthorized()
        try:
            changes = _changes(_decode(body, operator.name), operator.name)
        except ProblemError as exc:
            return replies.problem(exc.problem)
        return replies.ok(self._admin_view.preview(changes, operator.name))

    def read(self, path: str, key: str | None) -> AdminReply:
        """Returns the object at a path."""
        if self._operator(key) is None:
            return _unauthorized()
        if path == "configuration":
            return replies.ok(_without_digests(self._context.view.current))
        payload = self._admin_view.read(path)
        if payload is None:
            fix = "see docs/OPERATING.md for the paths"
            missing = Problem("read", "operator", "no such object", path, fix)
            return replies.problem(missing, status=replies.NOT_FOUND)
        return replies.ok(payload)

    def watch(self, after: str, timeout_ms: str, key: str | None) -> AdminReply:
        """Returns the records after a revision, waiting up to the timeout for one."""
        if self._operator(key) is None:
            return _unauthorized()
        if not (after.isdecimal() and timeout_ms.isdecimal()):
            fix = "send whole numbers"
            wrong = Problem("watch", "operator", "not a number", "after, timeout", fix)
            return replies.problem(wrong)
        revision = Revision(int(after))
        wait_s = min(int(timeout_ms), MAX_WATCH_TIMEOUT_MS) / 1_000
        cfg = self._context.view.wait_for_newer(revision, wait_s)
        records = self._context.view.updates_since(revision).records
        payload = {
            "records": [record_to_dict(record) for record in records],
            "revision": int(cfg.revision),
        }
        return replies.ok(payload)

    def _operator(self, key: str | None) -> Operator | None:
        settings = self._context.settings.bootstrap
        return authenticate_operator(self._context.view.current, key, settings)

    def _dry_run(
        self, request: ChangeBody, changes: tuple[Change, ...], operator: Operator
    ) -> AdminReply:
        cfg = self._context.view.current
        refused = authorize(operator, changes)
        if refused is not None:
            return replies.problem(refused, status=replies.FORBIDDEN)
        proposed = propose(
            cfg,
            prepend_first_operator(cfg, operator, changes),
            rules=self._context.rules,
            op_id=OperationId(request.op_id),
            operator=operator.name,
            entry=self._context.entry,
            expected=_revision(request.expected),
        )
        match proposed:
            case Success(Record(revision=revision)):
                return replies.ok({"revision": int(revision)})
            case Failure(refusal):
                return _refused(refusal)
        raise AssertionError("a result is a success or a failure")

    def _commit(
        self, request: ChangeBody, changes: tuple[Change, ...], operator: Operator
    ) -> AdminReply:
        cfg = self._context.view.current
        refused = authorize(operator, changes)
        if refused is not None:
            return replies.problem(refused, status=replies.FORBIDDEN)
        committed = self._log.commit(
            cfg,
            prepend_first_operator(cfg, operator, changes),
            op_id=OperationId(request.op_id),
            operator=operator.name,
            expected=_revision(request.expected),
        )
        match committed:
            case Success(commit):
                return self._confirm(commit)
            case Failure(refusal):
                return _refused(refusal)
        raise AssertionError("a result is a success or a failure")

    def _confirm(self, committed: Committed) -> AdminReply:
        """Puts the commit in force here and waits for the other zones."""
        self._context.view.offer_records(committed.records)
        self._context.view.offer_snapshot(committed.cfg)
        zones = self._admin_view.wait_for_zones(committed.revision, CONFIRM_TIMEOUT_MS)
        unreached = [zone for zone, held in zones.items() if held < committed.revision]
        payload = {
            "revision": int(committed.revision),
            "zones": {zone: int(held) for zone, held in zones.items()},
            "unreached": sorted(unreached),
        }
        return replies.ok(payload)


def _decode(body: bytes, peer: str) -> ChangeBody:
    try:
        return msgspec.json.decode(body, type=ChangeBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        fix = "send {op_id, expected, changes, dry_run}"
        raise ProblemError(Problem("change", peer, str(exc), "body", fix)) from exc


def _changes(request: ChangeBody, peer: str) -> tuple[Change, ...]:
    return tuple(
        CHANGES.from_dict(item, step="change", peer=peer) for item in request.changes
    )


def _revision(number: int | None) -> Revision | None:
    return None if number is None else Revision(number)


def _refused(refusal: object) -> AdminReply:
    match refusal:
        case Problem():
            return replies.problem(refusal)
        case ChangeConflict():
            return replies.conflict(refusal)
        case AlreadyCommitted(revision=revision):
            return replies.ok({"revision": int(revision)})
        case failure:
            return replies.store_failure(failure)  # type: ignore[arg-type]


def _unauthorized() -> AdminReply:
    fix = "send an operator key as a bearer token"
    what = "the operator key is missing or not known"
    refused = Problem("log-in", "operator", what, "Authorization", fix)
    return replies.problem(refused, status=replies.UNAUTHORIZED)


def _without_digests(cfg: Configuration) -> dict[str, Any]:
    snapshot = snapshot_to_dict(cfg)
    for group in ("keys", "operators"):
        for credential in snapshot[group].values():
            del credential["digest"]
    return snapshot
