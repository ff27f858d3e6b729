"""Fixtures: two fake entries and a function that runs a command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from amaranthtray.cli import main
from builders import configuration, pool, queue, team
from cli.fake_admin import KEY, FakeAdmin, FakeFleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from click.testing import Result


@pytest.fixture
def fleet() -> FakeFleet:
    return FakeFleet(configuration(pools=(pool(),), teams=(team(),), queues=(queue(),)))


@pytest.fixture
def entries(fleet: FakeFleet) -> Iterator[tuple[FakeAdmin, FakeAdmin]]:
    with FakeAdmin(fleet) as first, FakeAdmin(fleet) as second:
        yield first, second


@pytest.fixture
def run(
    entries: tuple[FakeAdmin, FakeAdmin], monkeypatch: pytest.MonkeyPatch
) -> Callable[[str], Result]:
    monkeypatch.setenv("AMARANTHTRAY_ADMIN", " ".join(item.url for item in entries))
    monkeypatch.setenv("AMARANTHTRAY_OPERATOR_KEY", KEY)
    return lambda line: CliRunner().invoke(main, line.split())
