"""Client of the administration API that fails over between entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from ..domain.configuration import CHANGES, Configuration
from ..domain.errors import Problem

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..domain.configuration import Change
    from ..domain.ids import OperationId

ReplyT = TypeVar("ReplyT")

API = "/admin/v1"
MAX_WRITE_ROUNDS = 2
"""Maximum tries of a write at each entry while its outcome is unknown."""

STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
MAX_SUCCESS_STATUS = 299


class Committed(msgspec.Struct, frozen=True):
    """Reply to a committed change.

    Attributes:
        revision: Revision of the change, or the one it would get in a dry run.
        zones: Revision in force in each availability zone.
        unreached: Zones that did not confirm the revision.
    """

    revision: int
    zones: dict[str, int] = {}
    unreached: tuple[str, ...] = ()


class HostMove(msgspec.Struct, frozen=True, rename={"source": "from", "target": "to"}):
    """A host that would move to another pool."""

    host: str
    source: str
    target: str


class Preview(msgspec.Struct, frozen=True):
    """Effect that a set of changes would have."""

    moves: tuple[HostMove, ...] = ()
    problems: tuple[Problem, ...] = ()


class WatchReply(msgspec.Struct, frozen=True):
    """Records of the configuration log and the latest revision at the entry."""

    records: tuple[dict[str, Any], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Another operator changed the object in the meantime."""

    object: str
    revision: int
    operator: str


@dataclass(frozen=True, slots=True)
class Refused:
    """An entry refused the call."""

    status: int
    problem: Problem


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry could be reached; nothing was sent."""

    tried: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EffectUnknown:
    """The reply to a write was lost and no entry could tell its outcome."""

    op_id: str
    tried: tuple[str, ...]


AdminFailure: TypeAlias = Conflicted | Refused | Unreachable | EffectUnknown


class AdminClient:
    """Calls the administration API of one of several entries.

    Args:
        endpoints: Base URLs of the entries, tried in order.
        key: Operator key, sent as a bearer token unless it is empty.
        timeout_ms: Timeout of one call.
    """

    def __init__(self, endpoints: Sequence[str], key: str, *, timeout_ms: int) -> None:
        self.endpoints = tuple(url.rstrip("/") for url in endpoints)
        self._timeout_ms = timeout_ms
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._pool = urllib3.PoolManager(headers=headers, retries=False)

    def read(
        self, path: str, query: Mapping[str, str] | None = None, *, wait_ms: int = 0
    ) -> Result[Any, AdminFailure]:
        """Reads ``path`` under the API root; ``wait_ms`` extends the read timeout."""
        return self._call("GET", path, query=query, wait_ms=wait_ms)

    def configuration(self) -> Result[Configuration, AdminFailure]:
        """Reads the whole configuration; the entry leaves out digests of keys."""
        return self.read("configuration").bind(_decode_configuration)

    def preview(self, changes: Sequence[Change]) -> Result[Preview, AdminFailure]:
        """Requests the effect that ``changes`` would have."""
        body = {"changes": [CHANGES.to_dict(change) for change in changes]}
        reply = self._call("POST", "preview", body=body)
        return reply.bind(lambda data: _convert(data, Preview, "preview"))

    def watch(self, after: int, *, wait_ms: int) -> Result[WatchReply, AdminFailure]:
        """Long-polls for records after a revision; there are none after ``wait_ms``."""
        query = {"after": str(after), "timeout_ms": str(wait_ms)}
        reply = self.read("watch", query, wait_ms=wait_ms)
        return reply.bind(lambda data: _convert(data, WatchReply, "watch"))

    def commit(
        self,
        changes: Sequence[Change],
        *,
        op_id: OperationId,
        expected: int | None = None,
        dry_run: bool = False,
    ) -> Result[Committed, AdminFailure]:
        """Commits ``changes`` atomically; retries with ``op_id`` after a lost reply.

        Args:
            changes: Applied together or not at all.
            op_id: Operation id, the same for every try, so that it takes effect once.
            expected: Revision that the changes are based on; later changes of the
                same objects are conflicts.
            dry_run: Only validate the changes.
        """
        body = {
            "op_id": op_id,
            "expected": expected,
            "changes": [CHANGES.to_dict(change) for change in changes],
            "dry_run": dry_run,
        }
        reply = self._call("POST", "changes", body=body, op_id=op_id)
        return reply.bind(lambda data: _convert(data, Committed, "changes"))

    def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: dict[str, Any] | None = None,
        op_id: str = "",
        wait_ms: int = 0,
    ) -> Result[Any, AdminFailure]:
        """Calls the entries in order until one gives a final reply.

        No reply, an undecodable reply and status 503 are not final.
        """
        tried: list[str] = []
        unavailable: Refused | None = None
        may_have_run = False
        for endpoint in self.endpoints * (MAX_WRITE_ROUNDS if op_id else 1):
            url = f"{endpoint}{API}/{path}"
            try:
                status, data = self._send(method, url, query, body, wait_ms)
            except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
                tried.append(f"{endpoint}: {exc}")
                may_have_run = may_have_run or not _is_unsent(exc)
                continue
            if status <= MAX_SUCCESS_STATUS:
                return Success(data)
            failure = _failure_from(status, data, endpoint)
            if status != STATUS_UNAVAILABLE or not isinstance(failure, Refused):
                return Failure(failure)
            unavailable = failure
            tried.append(f"{endpoint}: {failure.problem.what}")
        if op_id and may_have_run:
            return Failure(EffectUnknown(op_id, tuple(tried)))
        return Failure(unavailable or Unreachable(tuple(tried)))

    def _send(
        self,
        method: str,
        url: str,
        query: Mapping[str, str] | None,
        body: dict[str, Any] | None,
        wait_ms: int,
    ) -> tuple[int, Any]:
        seconds = (self._timeout_ms + wait_ms) / 1_000
        timeout = urllib3.Timeout(connect=self._timeout_ms / 1_000, read=seconds)
        if body is None:
            fields = dict(query or {})
            reply = self._pool.request(
                method, url, fields=fields, timeout=timeout, redirect=False
            )
        else:
            reply = self._pool.request(
                method, url, json=body, timeout=timeout, redirect=False
            )
        return reply.status, msgspec.json.decode(reply.data or b"null")


def _is_unsent(exc: Exception) -> bool:
    """Returns whether the request was certainly not sent."""
    kinds = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.LocationValueError,
    )
    return isinstance(exc, kinds)


def _failure_from(status: int, data: object, endpoint: str) -> AdminFailure:
    """Decodes the failure from a reply with an error status."""
    fields = dict(data) if isinstance(data, dict) else {}
    fields.pop("type", None)
    try:
        if status == STATUS_CONFLICT:
            return msgspec.convert(fields, Conflicted)
        return Refused(status, msgspec.convert(fields, Problem))
    except msgspec.ValidationError:
        what = f"HTTP status {status} with a body of unknown form"
        fix = "check that the URL is the administration API of an entry"
        return Refused(status, Problem("call", endpoint, what, endpoint, fix))


def _convert(
    data: object, kind: type[ReplyT], path: str
) -> Result[ReplyT, AdminFailure]:
    try:
        return Success(msgspec.convert(data, kind))
    except msgspec.ValidationError as exc:
        fix = "use a command line and an entry of the same version"
        return Failure(
            Refused(200, Problem("read-reply", "entry", str(exc), path, fix))
        )


def _decode_configuration(data: object) -> Result[Configuration, AdminFailure]:
    """Decodes a configuration without digests; they become empty strings."""
    if isinstance(data, dict):
        for group in ("keys", "operators"):
            for item in data.get(group, {}).values():
                item.setdefault("digest", "")
    return _convert(data, Configuration, "configuration")
