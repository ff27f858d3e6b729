"""Tagged dictionaries for unions of data classes, checked when they are read."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec

from .errors import Problem, ProblemError

if TYPE_CHECKING:
    from collections.abc import Mapping

TAG_FIELD = "type"


class TaggedUnion:
    """Turns the members of a union of data classes into tagged dictionaries and back.

    Args:
        name: Name of the union, used in errors.
        members: The data classes; their class names are the tags.
    """

    def __init__(self, name: str, *members: type[Any]) -> None:
        self.name = name
        self._members = {member.__name__: member for member in members}

    def to_dict(self, value: object) -> dict[str, Any]:
        """Returns ``value`` as builtin types with its tag.

        Raises:
            TypeError: ``value`` is not a member of the union.
        """
        tag = type(value).__name__
        if self._members.get(tag) is not type(value):
            raise TypeError(f"{tag} is not a member of {self.name}")
        fields: dict[str, Any] = msgspec.to_builtins(value)
        return {TAG_FIELD: tag, **fields}

    def from_dict(self, data: object, *, step: str, peer: str) -> Any:
        """Returns the data class that ``data`` describes.

        Args:
            data: A dictionary as made by ``to_dict``.
            step: Operation named in errors.
            peer: Sender named in errors.

        Raises:
            ProblemError: Unknown tag, unknown field, or a value of a wrong type.
        """
        member = self._member(data, step=step, peer=peer)
        fields = {key: val for key, val in _items(data) if key != TAG_FIELD}
        known = {field.name for field in dataclasses.fields(member)}
        unknown = sorted(set(fields) - known)
        if unknown:
            fix = f"use only {sorted(known)}"
            raise ProblemError(
                Problem(step, peer, f"unknown field {unknown[0]!r}", self.name, fix)
            )
        try:
            return msgspec.convert(fields, member)
        except msgspec.ValidationError as exc:
            where = f"{self.name}.{member.__name__}"
            fix = "send the field with the type named"
            raise ProblemError(Problem(step, peer, str(exc), where, fix)) from exc

    def _member(self, data: object, *, step: str, peer: str) -> type[Any]:
        tag = data.get(TAG_FIELD) if isinstance(data, dict) else None
        member = self._members.get(tag) if isinstance(tag, str) else None
        if member is None:
            fix = f"use one of {sorted(self._members)}"
            raise ProblemError(
                Problem(step, peer, f"unknown type {tag!r}", self.name, fix)
            )
        return member


def _items(data: object) -> list[tuple[str, Any]]:
    mapping: Mapping[str, Any] = data  # type: ignore[assignment]
    return list(mapping.items())
