"""Encodes records and snapshots as builtin types and as JSON."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from ..errors import Problem, ProblemError
from ..ids import EntryId, OperationId, Revision
from .changes import CHANGES, Record
from .model import Configuration

MAX_SNAPSHOT_BYTES = 16_000_000
"""Maximum size of a decompressed snapshot; larger ones are refused."""


def record_to_dict(record: Record) -> dict[str, Any]:
    """Returns ``record`` as builtin types that JSON and CBOR can carry."""
    return {
        "revision": int(record.revision),
        "op_id": record.op_id,
        "operator": record.operator,
        "entry": record.entry,
        "changes": [CHANGES.to_dict(change) for change in record.changes],
    }


def record_from_dict(data: object, *, step: str, peer: str) -> Record:
    """Returns the record that ``data`` describes.

    Raises:
        ProblemError: A field is missing, unknown or of a wrong type.
    """
    if not isinstance(data, dict) or not isinstance(data.get("changes"), list | tuple):
        raise _codec_error("not a record", step=step, peer=peer)
    changes = tuple(
        CHANGES.from_dict(item, step=step, peer=peer) for item in data["changes"]
    )
    header = {key: val for key, val in data.items() if key != "changes"}
    try:
        record = msgspec.convert(header, _RecordHeader)
    except msgspec.ValidationError as exc:
        raise _codec_error(str(exc), step=step, peer=peer) from exc
    return record.to_record(changes)


def record_to_json(record: Record) -> bytes:
    """Returns ``record`` as JSON, as the platform's store holds it."""
    return msgspec.json.encode(record_to_dict(record))


def record_from_json(data: bytes, *, step: str, peer: str) -> Record:
    """Returns the record that ``data`` from the store encodes.

    Raises:
        ProblemError: ``data`` is not a valid record.
    """
    try:
        fields = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise _codec_error(str(exc), step=step, peer=peer) from exc
    return record_from_dict(fields, step=step, peer=peer)


def snapshot_to_dict(cfg: Configuration) -> dict[str, Any]:
    """Returns ``cfg`` as builtin types that JSON and CBOR can carry."""
    fields: dict[str, Any] = msgspec.to_builtins(cfg)
    return fields


def snapshot_from_dict(data: object, *, step: str, peer: str) -> Configuration:
    """Returns the configuration that ``data`` describes.

    Raises:
        ProblemError: ``data`` is not a valid snapshot.
    """
    try:
        return msgspec.convert(data, Configuration)
    except msgspec.ValidationError as exc:
        raise _codec_error(str(exc), step=step, peer=peer) from exc


def snapshot_to_json(cfg: Configuration) -> bytes:
    """Returns ``cfg`` as compressed JSON, well below the store's limit of a value."""
    return zlib.compress(msgspec.json.encode(cfg))


def snapshot_from_json(data: bytes, *, step: str, peer: str) -> Configuration:
    """Returns the configuration that ``data`` from the store encodes.

    Raises:
        ProblemError: ``data`` is not a valid snapshot.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
        return msgspec.json.decode(decompressed, type=Configuration)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise _codec_error(str(exc), step=step, peer=peer) from exc


class _RecordHeader(msgspec.Struct, forbid_unknown_fields=True):
    """The fields of a record except its changes."""

    revision: int
    op_id: str
    operator: str
    entry: str

    def to_record(self, changes: tuple[Any, ...]) -> Record:
        return Record(
            revision=Revision(self.revision),
            op_id=OperationId(self.op_id),
            operator=self.operator,
            entry=EntryId(self.entry),
            changes=changes,
        )


def _codec_error(what: str, *, step: str, peer: str) -> ProblemError:
    fix = "send a value that this version of the codec can decode"
    return ProblemError(Problem(step, peer, what, "configuration", fix))
