"""Listings of the store that come in pages."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from returns.result import Failure, Success

from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.platform import store_client
from amaranthtray.platform.store_client import PlatformStore
from amaranthtray.web.http_peer import Response

KEYS = [f"k/{number}" for number in range(5)]


def a_store(monkeypatch: pytest.MonkeyPatch, *, is_empty: bool) -> PlatformStore:
    """Returns a client of a store with two keys a page, or with empty pages."""
    store = PlatformStore("127.0.0.1:80", MetricsRegistry())

    def call(method: str, path: str, **_: Any) -> Response:
        after = parse_qs(urlsplit(path).query).get("after", [""])[0]
        keys = [key for key in KEYS if key > after]
        items = [] if is_empty else [{"key": key, "revision": 7} for key in keys[:2]]
        page = {"items": items, "hasMore": len(keys) > 2, "currentRev": 9}
        return Response(200, json.dumps(page).encode())

    monkeypatch.setattr(store._peer, "call", call)
    return store


def test_all_pages_of_a_listing_are_read(monkeypatch: pytest.MonkeyPatch) -> None:
    listed = a_store(monkeypatch, is_empty=False).list("k/")
    assert isinstance(listed, Success)
    assert [item.key for item in listed.unwrap().items] == KEYS
    assert listed.unwrap().at_version == 9


@pytest.mark.parametrize(("pages", "is_empty"), [(2, False), (9, True)])
def test_a_listing_without_its_last_page_is_not_read(
    pages: int, *, is_empty: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against jobs or hosts that count as absent as they are on a later page."""
    monkeypatch.setattr(store_client, "MAX_PAGES", pages)
    assert isinstance(a_store(monkeypatch, is_empty=is_empty).list("k/"), Failure)
