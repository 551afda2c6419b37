"""Calls of the platform's metadata store: rows, their changes, and conditional writes."""

import base64
import json
import math
from urllib.parse import urlencode

from attrs import define, frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.platform.answers import bad_answer, read_json
from figfold.platform.decoding import FieldError, StoredRow, read_row
from figfold.platform.http import StoreHttp

OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# The table in which entries find each other.
ENTRY_TABLE = "figfold-entries"
ROWS_LIMIT = 500
# What an answer may take on top of the time that the store was asked to wait.
FEED_SLACK_S = 1.0
MS_PER_S = 1000


@frozen
class Rows:
    """Rows, and the version of the store up to which they are complete.

    Attributes
    ----------
    store_s : float
        The store's steady clock when it answered, in seconds.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_s: float


@frozen
class Written:
    """The store's version after a write, and its steady clock in seconds."""

    version: int
    store_s: float


def ignore_count(_code, _operation):
    """Count nothing."""


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
    count: object = ignore_count

    @classmethod
    def from_config(cls, address, timeout_s, count=ignore_count):
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
                return Ok(Rows(tuple(rows), version, read.ok().store_s))
            start = _after(rows[-1].key)

    def read_changes(self, table, after, wait_s, slack_s=FEED_SLACK_S):
        """Return Ok(Rows) with what has changed after a version, waiting for the first change.

        Fails with STORE_HISTORY_LOST when the store no longer knows; then the table must be read.

        Parameters
        ----------
        table : str
        after : int
        wait_s : float
            Longest time that the store is to wait, in seconds.
        slack_s : float
            What the call may take on top of that and of the time of other calls.
        """
        wait_ms = int(wait_s * MS_PER_S)
        query = urlencode({"table": table, "after": after, "waitMs": wait_ms})
        timeout_s = wait_s + self.http.timeout_s + slack_s
        path = f"/rows-feed?{query}"
        http = self.feed_http if wait_ms else self.http
        return self._call("read_changes", "GET", path, None, http, timeout_s).and_then(_read_rows)

    def read_row(self, table, key):
        """Return Ok(Rows) with the one row, or STORE_MISSING when there is none."""
        bounds = {"table": table, "part": "", "from": key, "target": _after(key), "limit": 1}
        read = self._call("read_row", "GET", f"/rows-get?{urlencode(bounds)}").and_then(_read_rows)
        return read.and_then(lambda rows: _only(rows, table, key))

    def write(self, table, key, data, version=None):
        """Write a row's bytes and return Ok(Written).

        Parameters
        ----------
        table, key : str
        data : bytes
        version : int or None
            The version that the row must have, 0 for none at all. Without it, whatever the row
            held is replaced, which is harmless when it is done twice.
        """
        encoded = base64.b64encode(data).decode("ascii")
        row = {"table": table, "part": "", "key": key, "value": encoded}
        return self._transact("write", {"writes": [row]}, row, version)

    def remove(self, table, key, version=None):
        """Remove a row, on the condition that it has the version if one is given."""
        row = {"table": table, "part": "", "key": key}
        return self._transact("remove", {"remove": [row]}, row, version)

    def _transact(self, operation, changes, row, version):
        call = {"precondition": [], "writes": [], "remove": []} | changes
        if version is not None:
            named = {name: row[name] for name in ("table", "part", "key")}
            call["precondition"] = [named | {"ver": version}]
        done = self._call(operation, "POST", "/rows-tx", json.dumps(call).encode())
        return done.and_then(_read_written)

    def _call(self, operation, method, path, body=None, http=None, timeout_s=None):
        headers = {"Content-Type": "application/json"} if body is not None else {}
        http = http or self.http
        answer = http.send(operation, method, path, body, headers, timeout_s)
        outcome = answer.and_then(read_json)
        self.count(outcome.err().code if outcome.is_err() else Code.OK, operation)
        return outcome


def _after(key):
    """Return the least text that follows a key."""
    return key + "\0"


def _only(rows, table, key):
    """Return Ok of the reading when it holds the one row that was asked for."""
    found = [(row.table, row.key) for row in rows.rows]
    if found == [(table, key)]:
        return Ok(rows)
    if found:
        return bad_answer("the store answered with other rows than were asked for", found)
    return Err(Failure(Code.STORE_MISSING, f"table {table!r} has no row {key!r}"))


def _is_version(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _store_time(value):
    now_s = value.get("nowS")
    is_time = isinstance(now_s, (int, float)) and not isinstance(now_s, bool)
    return float(now_s) if is_time and math.isfinite(now_s) else None


def _read_written(value):
    version, store_s = value.get("ver"), _store_time(value)
    if not _is_version(version) or store_s is None:
        return bad_answer("the store's answer to a write has no version or no time")
    return Ok(Written(version, store_s))


def _read_rows(value):
    rows, version, store_s = value.get("rows"), value.get("ver"), _store_time(value)
    if not isinstance(rows, list) or not _is_version(version) or store_s is None:
        return bad_answer("the store's answer has no rows, no version or no time")
    try:
        return Ok(Rows(tuple(read_row(item) for item in rows), version, store_s))
    except FieldError as error:
        return bad_answer(f"a row cannot be read: {error}")
