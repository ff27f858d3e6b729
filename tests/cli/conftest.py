"""Fake entries and a runner of the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from amaranthtray.cli import main
from builders import configuration, pool, queue, team
from cli.fake_admin import KEY, FakeAdmin, Fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from click.testing import Result


@pytest.fixture
def fleet() -> Fleet:
    return Fleet(configuration(pools=(pool(),), teams=(team(),), queues=(queue(),)))


@pytest.fixture
def entries(fleet: Fleet) -> Iterator[tuple[FakeAdmin, FakeAdmin]]:
    with FakeAdmin(fleet) as first, FakeAdmin(fleet) as second:
        yield first, second


@pytest.fixture
def run(
    entries: tuple[FakeAdmin, FakeAdmin], monkeypatch: pytest.MonkeyPatch
) -> Callable[[str], Result]:
    monkeypatch.setenv("AMARANTHTRAY_ADMIN", " ".join(item.url for item in entries))
    monkeypatch.setenv("AMARANTHTRAY_OPERATOR_KEY", KEY)
    return lambda line: CliRunner().invoke(main, line.split())
