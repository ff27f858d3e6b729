"""Serializes unions of data classes as tagged dictionaries."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec

from .errors import Problem, ProblemError

if TYPE_CHECKING:
    from collections.abc import Mapping

TAG_FIELD = "type"
"""Key of the dictionary that holds the class name."""


class TaggedUnion:
    """Converts members of a union of data classes to tagged dictionaries and back.

    Args:
        name: Name of the union, for error messages.
        members: The data classes; their class names are the tags.
    """

    def __init__(self, name: str, *members: type[Any]) -> None:
        self.name = name
        self._members = {data_class.__name__: data_class for data_class in members}

    def to_dict(self, value: object) -> dict[str, Any]:
        """Returns ``value`` as a dictionary of builtin types with its tag.

        Raises:
            TypeError: ``value`` is not a member of the union.
        """
        tag = type(value).__name__
        if self._members.get(tag) is not type(value):
            raise TypeError(f"{tag} is not a member of {self.name}")
        fields: dict[str, Any] = msgspec.to_builtins(value)
        return {TAG_FIELD: tag, **fields}

    def from_dict(self, data: object, *, step: str, peer: str) -> Any:
        """Returns the member of the union that ``data`` describes.

        Args:
            data: A dictionary as returned by ``to_dict``.
            step: Operation, for error messages.
            peer: Sender, for error messages.

        Raises:
            ProblemError: The tag or a field is unknown, a required field is missing,
                or a value has the wrong type.
        """
        data_class = self._member(data, step=step, peer=peer)
        fields = {key: val for key, val in _items(data) if key != TAG_FIELD}
        known_fields = {field.name for field in dataclasses.fields(data_class)}
        unknown_fields = sorted(set(fields) - known_fields)
        if unknown_fields:
            fix = f"use only {sorted(known_fields)}"
            raise ProblemError(
                Problem(
                    step, peer, f"unknown field {unknown_fields[0]!r}", self.name, fix
                )
            )
        try:
            return msgspec.convert(fields, data_class)
        except msgspec.ValidationError as exc:
            where = f"{self.name}.{data_class.__name__}"
            fix = "send the field with the expected type"
            raise ProblemError(Problem(step, peer, str(exc), where, fix)) from exc

    def _member(self, data: object, *, step: str, peer: str) -> type[Any]:
        tag = data.get(TAG_FIELD) if isinstance(data, dict) else None
        data_class = self._members.get(tag) if isinstance(tag, str) else None
        if data_class is None:
            fix = f"use one of {sorted(self._members)}"
            raise ProblemError(
                Problem(step, peer, f"unknown type {tag!r}", self.name, fix)
            )
        return data_class


def _items(data: object) -> list[tuple[str, Any]]:
    mapping: Mapping[str, Any] = data  # type: ignore[assignment]
    return list(mapping.items())
