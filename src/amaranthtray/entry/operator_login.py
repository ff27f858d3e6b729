"""Authentication of operators, including the first one's bootstrap key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.configuration import AddOperator, Operator
from ..domain.keys import bootstrap_operator, identify_operator
from ..domain.keys.authentication import key_id_of, matches_digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..domain.configuration import Change, Configuration
    from ..settings import BootstrapSettings


def authenticate_operator(
    cfg: Configuration, key_text: str | None, settings: BootstrapSettings
) -> Operator | None:
    """Returns the operator whose key it is, None if the key is unknown.

    While the configuration holds no operator, the key whose digest the settings
    give belongs to the first operator, an administrator.
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


def prepend_first_operator(
    cfg: Configuration, operator: Operator, changes: Sequence[Change]
) -> tuple[Change, ...]:
    """Returns the changes, after one that adds the first operator if there is none."""
    if cfg.operators:
        return tuple(changes)
    return (AddOperator(operator), *changes)
