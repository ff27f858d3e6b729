"""State shared by all commands: entries to call, operator key, output format."""

from __future__ import annotations

import os
import sys
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click
from returns.pipeline import is_successful

from ..domain.errors import Problem
from ..domain.ids import OperationId
from .client import (
    STATUS_UNAVAILABLE,
    AdminClient,
    AdminFailure,
    Conflicted,
    EffectUnknown,
    Refused,
    Unreachable,
)
from .errors import CliError, RefusedError, UnreachableError, input_error
from .output import OutputFormat, print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from ..domain.configuration import Change, Configuration
    from .client import Committed

ValueT = TypeVar("ValueT")

ADMIN_VARIABLE = "AMARANTHTRAY_ADMIN"
KEY_VARIABLE = "AMARANTHTRAY_OPERATOR_KEY"
KEY_FILE_VARIABLE = "AMARANTHTRAY_OPERATOR_KEY_FILE"


@dataclass(slots=True)
class Session:
    """Options of the root command, and the calls that most commands make.

    Attributes:
        admin: Base URLs of the entries' administration APIs.
        key_file: File with the operator key; the environment takes precedence.
        timeout_ms: Timeout of one call.
        op_id: Operation id of an earlier try that the operator repeats.
        output: Format of the result.
    """

    admin: tuple[str, ...] = ()
    key_file: str | None = None
    timeout_ms: int = 10_000
    op_id: str | None = None
    output: OutputFormat = OutputFormat.TABLE

    def client(self) -> AdminClient:
        """Returns a client of all entries given.

        Raises:
            CliError: No entry was given, or the key file is unreadable.
        """
        if not self.admin:
            fix = f"give --admin URL or set {ADMIN_VARIABLE}"
            raise input_error("no entry to call", where="--admin", fix=fix)
        return self.client_for(*self.admin)

    def client_for(self, *endpoints: str) -> AdminClient:
        """Returns a client of the entries at ``endpoints`` only."""
        return AdminClient(endpoints, self._key(), timeout_ms=self.timeout_ms)

    def configuration(self) -> Configuration:
        """Reads the configuration.

        Raises:
            CliError: It could not be read.
        """
        return unwrap(self.client().configuration())

    def commit(
        self,
        changes: Sequence[Change],
        *,
        expected: int | None = None,
        warning: str = "",
        yes: bool = False,
    ) -> Committed:
        """Commits changes; those with a warning are previewed and confirmed first.

        Args:
            changes: Applied together or not at all.
            expected: Revision that the changes are based on.
            warning: Disruption that the operator must confirm; empty if there is none.
            yes: Whether the operator gave ``--yes``.

        Raises:
            CliError: It was refused or not confirmed, or its outcome is unknown.
        """
        client = self.client()
        if warning and not yes:
            self.preview(changes)
            self._confirm(warning)
        op_id = OperationId(self.op_id or uuid.uuid4().hex)
        return unwrap(client.commit(changes, op_id=op_id, expected=expected))

    def preview(self, changes: Sequence[Change]) -> None:
        """Prints the hosts that ``changes`` would move to standard error.

        Raises:
            CliError: The changes would be refused.
        """
        found = unwrap(self.client().preview(changes))
        rows = [(move.host, move.source, move.target) for move in found.moves]
        click.echo(f"preview: {len(rows)} host(s) would move", err=True)
        if rows:
            print_table(("host", "from", "to"), rows, is_error=True)
        if found.problems:
            raise RefusedError(found.problems[0])

    def print_committed(self, committed: Committed, **fields: Any) -> None:
        """Prints the result of a commit and the zones that did not confirm it."""
        if self.output is OutputFormat.JSON:
            print_json({**fields, **_as_dict(committed)})
        else:
            for name, value in fields.items():
                click.echo(f"{name}: {value}")
            click.echo(f"committed: revision {committed.revision}")
            in_force = _zones_in_force(committed)
            click.echo(f"in force: {', '.join(in_force) or 'no zone confirmed yet'}")
        if committed.unreached:
            names = ", ".join(committed.unreached)
            click.echo(f"warning: not confirmed by zone(s) {names}", err=True)

    def _confirm(self, warning: str) -> None:
        if sys.stdin.isatty():
            click.confirm(f"{warning} Continue?", abort=True, err=True)
            return
        fix = "check the preview, then repeat the command with --yes"
        raise input_error(f"not confirmed: {warning}", where="--yes", fix=fix)

    def _key(self) -> str:
        given = os.environ.get(KEY_VARIABLE, "").strip()
        if given or not self.key_file:
            return given
        try:
            return Path(self.key_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            fix = f"name a readable file, or set {KEY_VARIABLE}"
            raise input_error(str(exc), where="--key-file", fix=fix) from exc


pass_session = click.make_pass_decorator(Session, ensure=True)


def unwrap(result: Result[ValueT, AdminFailure]) -> ValueT:
    """Returns the value of a successful call.

    Raises:
        CliError: The call failed.
    """
    if is_successful(result):
        return result.unwrap()
    raise _error(result.failure())


def _error(failure: AdminFailure) -> CliError:
    match failure:
        case Conflicted(name, revision, operator):
            what = f"{name} was changed by {operator} in revision {revision}"
            fix = "check its current state, then repeat the command"
            return RefusedError(Problem("commit", operator, what, name, fix))
        case Refused(status, problem):
            is_unavailable = status == STATUS_UNAVAILABLE
            return (
                UnreachableError(problem) if is_unavailable else RefusedError(problem)
            )
        case Unreachable(tried):
            fix = "check the URLs and that the entries run, or name another entry"
            what = "no entry could be reached; nothing was changed"
            where = "; ".join(tried)
            return UnreachableError(Problem("call", "entries", what, where, fix))
        case EffectUnknown(op_id, tried):
            fix = f"repeat the command with --op-id {op_id}; it takes effect once"
            what = "the reply was lost; the change may be in force"
            where = "; ".join(tried)
            return UnreachableError(Problem("commit", "entries", what, where, fix))


def _as_dict(committed: Committed) -> dict[str, Any]:
    return {
        "revision": committed.revision,
        "zones": committed.zones,
        "unreached": list(committed.unreached),
    }


def _zones_in_force(committed: Committed) -> list[str]:
    return sorted(
        zone for zone, rev in committed.zones.items() if rev >= committed.revision
    )
