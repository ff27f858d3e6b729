"""The configuration is followed past a compaction, and never backwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from amaranthtray.jobs.config_follower import ConfigFollower
from jobs.store_site import StoreSite
from scheduling.parts import a_catalog

if TYPE_CHECKING:
    from amaranthtray.domain.jobs.catalog import Catalog

KEY = "config"


class FakePlatform:
    """Fake platform whose configuration document is just a version number."""

    configuration_key = KEY

    def decode_configuration(self, data: bytes, store_version: int) -> Catalog:
        version = msgspec.json.decode(data, type=int)
        return _catalog(version, store_version)


def _catalog(version: int, store_version: int) -> Catalog:
    from dataclasses import replace

    return replace(a_catalog(), version=version, store_version=store_version)


def a_follower(site: StoreSite) -> ConfigFollower:
    return ConfigFollower(site.store, FakePlatform(), site.log)  # type: ignore[arg-type]


def test_a_change_is_applied() -> None:
    site = StoreSite()
    follower = a_follower(site)
    version = site.store.create(KEY, b"1").unwrap()
    follower.step()
    site.store.compare_and_swap(KEY, b"2", version=version)
    follower.step()
    catalog = follower.catalog()
    assert catalog is not None
    assert catalog.version == 2


def test_a_compaction_costs_one_listing() -> None:
    site = StoreSite()
    follower = a_follower(site)
    site.store.create(KEY, b"1")
    for number in range(20):
        site.store.create(f"other{number}", b"")
    site.platform.compact_events()
    for _ in range(10):
        follower.step()
    assert site.platform.calls["list"] == 1


def test_an_unreadable_document_leaves_the_last_one_in_force() -> None:
    site = StoreSite()
    follower = a_follower(site)
    version = site.store.create(KEY, b"1").unwrap()
    follower.step()
    site.store.compare_and_swap(KEY, b"{", version=version)
    follower.step()
    catalog = follower.catalog()
    assert catalog is not None
    assert catalog.version == 1


def test_the_view_is_not_confirmed_while_the_store_is_down() -> None:
    site = StoreSite()
    follower = a_follower(site)
    site.store.create(KEY, b"1")
    follower.step()
    confirmed_ms = follower.confirmed_ms
    site.platform.is_down = True
    follower.step()
    assert follower.confirmed_ms == confirmed_ms
