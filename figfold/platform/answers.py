"""Strict parsing of the store's HTTP answers; a malformed answer becomes an error value."""

import json
import re

from attrs import frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.store_era import MAX_ERA

HTTP_OK = frozenset({200, 201, 204})
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONFLICTS = frozenset({409, 412})
HTTP_TOO_MANY = 429
HTTP_SERVER_ERROR = 500
ERA_HEADER = "store-era"
ERA_PATTERN = re.compile("[0-9]{1,6}")


@frozen
class Answer:
    """HTTP answer of the store: status, headers by lower-case name, and body."""

    status: int
    header_by_name: dict[str, str]
    body: bytes = b""


def bad_answer(message, value=""):
    """Return Err(STORE_BAD_ANSWER) for an answer that violates the protocol."""
    remedy = "check that the platform address leads to the store"
    return Err(Failure(Code.STORE_BAD_ANSWER, message, remedy, value=str(value)[:100]))


def check_status(answer):
    """Return Ok(None) for a successful status, and the matching failure for any other."""
    status = answer.status
    if status in HTTP_OK:
        return Ok(None)
    if status == HTTP_NOT_FOUND:
        return Err(Failure(Code.STORE_MISSING, "the store has no such row or object"))
    if status == HTTP_GONE:
        message, remedy = (
            "the store no longer has the changes since that version",
            "read the whole table",
        )
        return Err(Failure(Code.STORE_HISTORY_LOST, message, remedy))
    if status in HTTP_CONFLICTS:
        message = f"the precondition of the write failed (status {status})"
        return Err(Failure(Code.STORE_CONFLICT, message, "read the row again before writing"))
    if status == HTTP_TOO_MANY or status >= HTTP_SERVER_ERROR:
        message = f"the store answered with status {status}"
        return Err(Failure(Code.STORE_ERROR, message, "try again later"))
    return bad_answer("unexpected status", status)


def read_era(answer):
    """Return the era of the store that an answer states, or None if it states none."""
    text = answer.header_by_name.get(ERA_HEADER, "").strip()
    if not ERA_PATTERN.fullmatch(text):
        return None
    return int(text) if int(text) <= MAX_ERA else None


def read_json(answer):
    """Return Ok(dict) with the JSON object in the body of a successful answer."""
    status = check_status(answer)
    if status.is_err():
        return status
    try:
        value = json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        return bad_answer(f"the store's answer is not valid JSON: {error}")
    return (
        Ok(value)
        if isinstance(value, dict)
        else bad_answer("the store's answer is not a JSON object")
    )
