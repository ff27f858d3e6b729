"""Keys that only the holder of the highest term can write.

A new holder first writes its term into the value. This makes every write that an
earlier holder has prepared fail, because the key is no longer at the version that the
earlier holder read.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from ..domain.ids import Term
from .contract import StoreFailure, Unavailable, Versioned

if TYPE_CHECKING:
    from .contract import Store

STEP = "fenced-write"

CurrentTerm: TypeAlias = Callable[[], Term | None]
"""Returns the term that is held at this moment by a monotonic clock, if any."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """The write was refused: no term is held, or a higher one has written."""

    step: str
    peer: str
    highest: Term


@dataclass(frozen=True, slots=True)
class FencedValue:
    """A value as the holder of the duty last read or wrote it."""

    term: Term
    data: bytes
    version: int


FencedFailure: TypeAlias = Fenced | StoreFailure


class _Envelope(msgspec.Struct):
    """Stored form; ``writer`` is unique, so that a write is recognized when read."""

    term: int
    writer: str
    data: bytes


class FencedKey:
    """A key that is written under the terms of a duty.

    Args:
        store: A store that resolves lost replies by reading back.
        key: The key.
        writer: Unique name of this incarnation of the entry.
        current_term: Returns the term to act under, if it is held.
    """

    def __init__(
        self, store: Store, key: str, *, writer: str, current_term: CurrentTerm
    ) -> None:
        self._store = store
        self._key = key
        self._writer = writer
        self._current_term = current_term
        self._writes = 0

    def read(self) -> Result[FencedValue, FencedFailure]:
        """Reads the value; an absent one is empty, with term and version 0."""
        stored = self._store.get(self._key)
        if isinstance(stored, Failure):
            return Failure(stored.failure())
        return _decode(stored.unwrap())

    def take_over(self) -> Result[FencedValue, FencedFailure]:
        """Writes the new holder's term into the value and returns its data."""
        found = self.read()
        if isinstance(found, Failure):
            return found
        return self.write(found.unwrap(), found.unwrap().data)

    def write(
        self, before: FencedValue, data: bytes
    ) -> Result[FencedValue, FencedFailure]:
        """Replaces the value that was read or written ``before``.

        Returns:
            The value as written. ``Fenced`` or ``Conflict`` means that another
            holder is active; after ``EffectUnknown``, call ``take_over`` again.
        """
        term = self._current_term()
        if term is None or before.term > term:
            return Failure(Fenced(STEP, self._key, before.term))
        self._writes += 1
        writer = f"{self._writer}/{self._writes}"
        value = msgspec.json.encode(_Envelope(term, writer, data))
        if before.version == 0:
            written = self._store.create(self._key, value)
        else:
            written = self._store.compare_and_swap(
                self._key, value, version=before.version
            )
        return written.map(lambda version: FencedValue(term, data, version))


def _decode(stored: Versioned | None) -> Result[FencedValue, FencedFailure]:
    if stored is None:
        return Success(FencedValue(Term(0), b"", 0))
    try:
        value = msgspec.json.decode(stored.value, type=_Envelope)
    except msgspec.DecodeError as exc:
        return Failure(Unavailable(STEP, stored.key, str(exc)))
    return Success(FencedValue(Term(value.term), value.data, stored.version))
