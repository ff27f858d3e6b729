"""Who an operator key belongs to, including the first operator's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.configuration import AddOperator, Operator
from ..domain.keys import bootstrap_operator, identify_operator
from ..domain.keys.authentication import key_id_of, matches_digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..domain.configuration import Change, Configuration
    from ..settings import BootstrapSettings


def log_in(
    cfg: Configuration, key_text: str | None, settings: BootstrapSettings
) -> Operator | None:
    """Returns the operator of a key; none if it is not known.

    While the configuration holds no operator, the key whose digest the settings
    name is the first administrator's.
    """
    if not key_text:
        return None
    if cfg.operators:
        return identify_operator(cfg, key_text)
    key_id = key_id_of(key_text)
    digest = settings.operator_digest
    if key_id is None or not matches_digest(key_text, digest) or digest is None:
        return None
    return bootstrap_operator(key_id, digest).operator


def with_first_operator(
    cfg: Configuration, operator: Operator, changes: Sequence[Change]
) -> tuple[Change, ...]:
    """Returns the changes, and the first operator's key ahead of them if needed."""
    if cfg.operators:
        return tuple(changes)
    return (AddOperator(operator), *changes)
