"""OpenAPI document of the HTTP interface for callers."""

from __future__ import annotations

from typing import Any

import msgspec

from .. import __version__
from ..domain.requests.model import NotRunReason, UnknownReason, WorkClass
from . import replies, submission

OPENAPI_VERSION = "3.1.0"
_JSON = replies.JSON_TYPE


def describe() -> dict[str, Any]:
    """Returns the OpenAPI document as builtin types."""
    schemas = msgspec.json.schema_components(
        [replies.RefusalBody, replies.ProblemBody],
        ref_template="#/components/schemas/{name}",
    )[1]
    schemas["RefusalBody"]["properties"]["reason"] = {"enum": _reasons()}
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "amaranthtray callers", "version": __version__},
        "components": {"schemas": schemas, "securitySchemes": _security_schemes()},
        "security": [{"key": []}, {}],
        "paths": {
            "/health": {"get": _health_operation()},
            "/v1/queues/{queue}/requests": {"post": _submit_operation()},
            "/v1/requests/{request_id}": {
                "get": _read_back_operation(),
                "delete": _cancel_operation(),
            },
            "/v1/request-ids": {"post": _issue_operation()},
        },
    }


def _reasons() -> list[str]:
    return [item.value for item in (*NotRunReason, *UnknownReason)]


def _security_schemes() -> dict[str, Any]:
    return {"key": {"type": "http", "scheme": "bearer"}}


def _health_operation() -> dict[str, Any]:
    return {
        "summary": "Whether the balancer should send callers here",
        "responses": {"200": {"description": "ready"}, "503": {"description": "no"}},
    }


def _submit_operation() -> dict[str, Any]:
    return {
        "summary": "Run a request and answer with its whole result",
        "parameters": [
            _parameter("queue", "path", {"type": "string"}),
            _header(submission.REQUEST_ID, {"type": "string", "maxLength": 128}),
            _header(submission.DEADLINE_MS, {"type": "integer", "minimum": 1}),
            _header(
                submission.WORK_CLASS, {"enum": [item.value for item in WorkClass]}
            ),
            _header(submission.REPEATABLE, {"type": "boolean", "default": False}),
            _header(submission.SUBMISSION, {"type": "integer", "minimum": 1}),
            _header(submission.NEEDS_CORES, {"type": "integer", "minimum": 0}),
            _header(submission.NEEDS_MEMORY_MB, {"type": "integer", "minimum": 0}),
            _header(submission.NEEDS_ACCELERATORS, {"type": "integer", "minimum": 0}),
            _header(submission.PREFER, {"enum": [submission.RESPOND_ASYNC]}),
        ],
        "requestBody": {"content": {"*/*": {}}},
        "responses": {
            "202": {"description": "accepted; read the answer back"},
            "400": _problem_response("a field is malformed"),
            "413": _problem_response("the body or the head is too large"),
            "default": _outcome_response(),
        },
    }


def _read_back_operation() -> dict[str, Any]:
    return {
        "summary": "Read a final reply back",
        "parameters": [_parameter("request_id", "path", {"type": "string"})],
        "responses": {
            "202": {"description": "still in flight"},
            "404": _refusal_response("no such request here"),
            "default": _outcome_response(),
        },
    }


def _cancel_operation() -> dict[str, Any]:
    return {
        "summary": "Cancel a request; its caller gets a final reply at once",
        "parameters": [_parameter("request_id", "path", {"type": "string"})],
        "responses": {
            "202": {"description": "the cancellation was taken"},
            "404": _refusal_response("no such request here"),
        },
    }


def _issue_operation() -> dict[str, Any]:
    return {
        "summary": "Issue ids for unrepeatable requests",
        "parameters": [_parameter("count", "query", {"type": "integer", "minimum": 1})],
        "responses": {
            "200": {"description": "the ids"},
            "400": _problem_response("the count is out of range"),
            "401": _refusal_response("the key is not known"),
        },
    }


def _outcome_response() -> dict[str, Any]:
    description = "the backend server's answer, or a refusal; see the Outcome header"
    return {
        "description": description,
        "headers": {replies.OUTCOME: {"schema": {"enum": _outcome_names()}}},
        "content": {"*/*": {}, _JSON: {"schema": _schema_ref("RefusalBody")}},
    }


def _outcome_names() -> list[str]:
    names = replies.OutcomeName
    return [names.ANSWERED, names.NOT_RUN, names.UNKNOWN, names.ACCEPTED]


def _refusal_response(description: str) -> dict[str, Any]:
    content = {_JSON: {"schema": _schema_ref("RefusalBody")}}
    return {"description": description, "content": content}


def _problem_response(description: str) -> dict[str, Any]:
    content = {_JSON: {"schema": _schema_ref("ProblemBody")}}
    return {"description": description, "content": content}


def _schema_ref(name: str) -> dict[str, str]:
    return {"$ref": f"#/components/schemas/{name}"}


def _header(name: str, schema: dict[str, Any]) -> dict[str, Any]:
    return {**_parameter(name, "header", schema), "required": False}


def _parameter(name: str, location: str, schema: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": name,
        "in": location,
        "required": location == "path",
        "schema": schema,
    }
