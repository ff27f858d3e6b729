"""The served OpenAPI document matches the code."""

from __future__ import annotations

import inspect
import re
from typing import TYPE_CHECKING

import pytest
import urllib3

from amaranthtray.domain.requests.model import NotRunReason, UnknownReason
from amaranthtray.entry import openapi, submission
from raw_http import get

if TYPE_CHECKING:
    from raw_http import RunningEntry

PATHS = [
    (path, method)
    for path, ops in openapi.describe()["paths"].items()
    for method in ops
]
MISSING_PATH_TEXT = b"was not found"


def test_document_is_served(running: RunningEntry) -> None:
    url = f"http://127.0.0.1:{running.one_entry.caller_port}/openapi.json"
    assert urllib3.request("GET", url).json() == openapi.describe()


@pytest.mark.parametrize(("path", "method"), PATHS)
def test_each_described_path_is_served(
    running: RunningEntry, path: str, method: str
) -> None:
    concrete_path = path.replace("{queue}", "echo").replace("{request_id}", "none")
    data = get(concrete_path.encode()).replace(b"GET", method.upper().encode(), 1)
    if method == "post":
        data = data.replace(b"\r\n\r\n", b"\r\nContent-Length: 0\r\n\r\n")
    reply = running.exchange(data)
    assert MISSING_PATH_TEXT not in reply
    assert b" 405 " not in reply.partition(b"\r\n")[0]


def test_each_header_that_is_read_is_described() -> None:
    source = inspect.getsource(submission)
    read = set(re.findall(r"^[A-Z_]+ = \"([A-Z][A-Za-z-]+)\"$", source, re.MULTILINE))
    operation = openapi.describe()["paths"]["/v1/queues/{queue}/requests"]["post"]
    described = {item["name"] for item in operation["parameters"]}
    assert read
    assert read <= described


def test_each_reason_is_described() -> None:
    schema = openapi.describe()["components"]["schemas"]["RefusalBody"]
    reasons = {item.value for item in (*NotRunReason, *UnknownReason)}
    assert reasons <= set(schema["properties"]["reason"]["enum"])
