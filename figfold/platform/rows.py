"""Calls of the platform's metadata store: rows, their changes, and conditional writes."""

import base64
import json
from urllib.parse import urlencode

from attrs import define, frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.platform.answers import bad_answer
from figfold.platform.decoding import FieldError, StoredRow, read_row
from figfold.platform.http import StoreHttp

OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# The table in which entries find each other.
ENTRY_TABLE = "figfold-entries"
HTTP_GONE = 410
HTTP_TOO_MANY = 429
HTTP_CONFLICT = 412
ROWS_LIMIT = 500
# What an answer may take on top of the time that the store was asked to wait.
FEED_SLACK_S = 1.0
MS_PER_S = 1000


@frozen
class Rows:
    """Rows, and the version of the store up to which they are complete."""

    rows: tuple[StoredRow, ...]
    version: int


@define(eq=False)
class RowStore:
    """The store's rows; nothing is retried here.

    Attributes
    ----------
    http, feed_http : StoreHttp
        Connections for calls that are answered at once, and for those that wait for changes.
    count : callable
        Called as ``count(code, operation)`` at the end of each call.
    """

    http: StoreHttp
    feed_http: StoreHttp
    count: object

    @classmethod
    def from_config(cls, address, timeout_s, count):
        """Return a client of the store at ``host:port``; no connection is opened yet."""
        url = f"http://{address}"
        return cls(
            StoreHttp.from_config(url, 4, timeout_s, {}),
            StoreHttp.from_config(url, 4, timeout_s, {}),
            count,
        )

    def read_table(self, table):
        """Return Ok(Rows) with all rows of a table, as of the first of its pages."""
        rows, start, version = [], None, None
        while True:
            query = {"table": table, "part": "", "limit": ROWS_LIMIT}
            if start is not None:
                query["from"] = start
            page = self._call("read_table", "GET", f"/rows-get?{urlencode(query)}")
            if page.is_err():
                return page
            value = page.ok()
            read = _read_rows(value)
            if read.is_err():
                return read
            rows += read.ok().rows
            version = read.ok().version if version is None else version
            if value.get("hasMore") is not True or not read.ok().rows:
                return Ok(Rows(tuple(rows), version))
            # The least text that follows the last key.
            start = rows[-1].key + "\0"

    def read_changes(self, table, after, wait_s):
        """Return Ok(Rows) with what has changed after a version, waiting for the first change.

        Fails with STORE_HISTORY_LOST when the store no longer knows; then the table must be read.
        """
        wait_ms = int(wait_s * MS_PER_S)
        query = urlencode({"table": table, "after": after, "waitMs": wait_ms})
        timeout_s = wait_s + self.http.timeout_s + FEED_SLACK_S
        path = f"/rows-feed?{query}"
        http = self.feed_http if wait_ms else self.http
        return self._call("read_changes", "GET", path, None, http, timeout_s).and_then(_read_rows)

    def write(self, table, key, value):
        """Write a row whatever it held; harmless when it is done twice."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode("ascii")
        row = {"table": table, "part": "", "key": key, "value": encoded}
        return self._write("write", {"precondition": [], "writes": [row], "remove": []})

    def remove(self, table, key):
        """Remove a row."""
        row = {"table": table, "part": "", "key": key}
        return self._write("remove", {"precondition": [], "writes": [], "remove": [row]})

    def _write(self, operation, entries):
        return self._call(operation, "POST", "/rows-tx", json.dumps(entries).encode())

    def _call(self, operation, method, path, body=None, http=None, timeout_s=None):
        headers = {"Content-Type": "application/json"} if body is not None else {}
        http = http or self.http
        answer = http.send(operation, method, path, body, headers, timeout_s)
        outcome = answer.and_then(_read_answer)
        self.count(outcome.err().code if outcome.is_err() else Code.OK, operation)
        return outcome


def _read_answer(answer):
    if answer.status == HTTP_GONE:
        message, remedy = "the store no longer has that history", "read the whole table"
        return Err(Failure(Code.STORE_HISTORY_LOST, message, remedy))
    if answer.status == HTTP_CONFLICT:
        return Err(Failure(Code.STORE_CONFLICT, "a row has another version", "read it again"))
    if answer.status != 200:
        message = f"the store answered with status {answer.status}"
        return Err(Failure(Code.STORE_ERROR, message, "try again after a pause"))
    try:
        value = json.loads(answer.body)
    except ValueError as error:
        return bad_answer(f"the store's answer is no JSON: {error}")
    if not isinstance(value, dict):
        return bad_answer("the store's answer is no object")
    return Ok(value)


def _read_rows(value):
    rows, version = value.get("rows"), value.get("ver")
    if not isinstance(rows, list) or isinstance(version, bool) or not isinstance(version, int):
        return bad_answer("the store's answer has no rows or no version")
    try:
        return Ok(Rows(tuple(read_row(item) for item in rows), version))
    except FieldError as error:
        return bad_answer(f"a row cannot be read: {error}")
