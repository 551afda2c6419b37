"""Rows of the platform's metadata store, served through its published protocol."""

import base64
import json
import time
from collections import deque
from urllib.parse import parse_qsl

import eventlet
from attrs import define, field
from eventlet.event import Event

from standins.process import STATUS_LINE_BY_STATUS

HISTORY_ROWS = 1000
PAGE_ROWS = 500
WAIT_LIMIT_S = 30.0
JOURNAL_ROWS = 20000


@define(eq=False)
class RowTables:
    """All rows by table and key, and the history of changes in order of version.

    Attributes
    ----------
    is_down : bool
        Whether every call is refused with status 503.
    calls : int
        Number of calls since the start.
    dropped_until_version : int
        Changes up to this version are no longer in the history.
    era : int or None
        Number of restores from older copies, which each response states; None states none.
    clock : callable
        Steady clock in seconds.
    """

    row_by_key: dict = field(factory=dict)
    changes: deque = field(factory=lambda: deque(maxlen=HISTORY_ROWS))
    version: int = 0
    dropped_until_version: int = 0
    is_down: bool = False
    calls: int = 0
    era: int | None = None
    clock: object = time.monotonic
    _changed: Event = field(factory=Event)
    # Time and version of each change, and the row that it replaced; kept if there are eras.
    _journal: deque = field(factory=lambda: deque(maxlen=JOURNAL_ROWS))

    def put(self, table, key, value):
        """Write the JSON value of a row."""
        self.put_content(table, key, json.dumps(value).encode())

    def put_content(self, table, key, content):
        """Write the bytes of a row, which need not be JSON."""
        encoded = base64.b64encode(content).decode()
        self._apply({"table": table, "part": "", "key": key, "value": encoded})

    def remove(self, table, key):
        """Remove a row."""
        self._apply({"table": table, "part": "", "key": key, "tombstone": True})

    def drop_history(self):
        """Drop the history, so that readers have to read whole tables."""
        self.changes.clear()
        self.dropped_until_version = self.version

    def restore(self, age_s):
        """Go back to the copy taken ``age_s`` ago and start the next era.

        Later changes are lost, and their versions are assigned again.
        """
        since_s = self.clock() - age_s
        while self._journal and self._journal[-1][0] > since_s:
            _, version, key, replaced = self._journal.pop()
            if replaced is None:
                self.row_by_key.pop(key, None)
            else:
                self.row_by_key[key] = replaced
            self.version = version - 1
        while self.changes and self.changes[-1]["ver"] > self.version:
            self.changes.pop()
        self.era += 1
        self._notify_change()

    def _apply(self, row):
        self.version += 1
        row["ver"] = self.version
        key = row["table"], row["key"]
        replaced = self.row_by_key.pop(key, None)
        if self.era is not None:
            self._journal.append((self.clock(), self.version, key, replaced))
        if not row.get("tombstone"):
            self.row_by_key[key] = row
        if len(self.changes) == self.changes.maxlen:
            self.dropped_until_version = self.changes[0]["ver"]
        self.changes.append(row)
        self._notify_change()

    def _notify_change(self):
        changed, self._changed = self._changed, Event()
        changed.send()

    def app(self, environ, start_response):
        """Handle one call (WSGI)."""
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        status, value = self.answer(environ["PATH_INFO"], query, environ["wsgi.input"].read())
        return _answer(start_response, status, value, self.header_by_name())

    def header_by_name(self):
        """Return the headers that each response carries now."""
        return {} if self.era is None else {"Store-Era": str(self.era)}

    def answer(self, path, query, body):
        """Return the status and the JSON value of the response to one call."""
        self.calls += 1
        if self.is_down:
            return 503, {}
        if path == "/rows-get":
            return self._get(query)
        if path == "/rows-feed":
            return self._feed(query)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        start, end = query.get("from", ""), query.get("target")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        keys = sorted(
            key
            for table, key in self.row_by_key
            if table == query["table"] and key >= start and (end is None or key < end)
        )
        rows = [self.row_by_key[query["table"], key] for key in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit} | self._version_and_time()

    def _version_and_time(self):
        return {"ver": self.version, "nowS": self.clock()}

    def _feed(self, query):
        after = int(query["after"])
        if after < self.dropped_until_version or after > self.version:
            return 410, {}
        rows = self._changes_since(query["table"], after)
        wait_s = min(WAIT_LIMIT_S, int(query.get("waitMs", 0)) / 1000)
        with eventlet.Timeout(wait_s or 0.001, False):
            while not rows:
                self._changed.wait()
                if after > self.version:
                    break
                rows = self._changes_since(query["table"], after)
        if after > self.version:
            return 410, {}
        # The version that is answered includes a change at the very end of the wait.
        rows = rows or self._changes_since(query["table"], after)
        return 200, {"rows": rows} | self._version_and_time()

    def _changes_since(self, table, after):
        latest_by_key = {
            row["key"]: row for row in self.changes if row["table"] == table and row["ver"] > after
        }
        return list(latest_by_key.values())

    def _transact(self, call):
        for row in call["precondition"]:
            known = self.row_by_key.get((row["table"], row["key"]))
            if (known["ver"] if known else 0) != row["ver"]:
                return 412, {"rows": [known] if known else []} | self._version_and_time()
        for row in call["writes"]:
            self._apply(dict(row))
        for row in call["remove"]:
            self.remove(row["table"], row["key"])
        return 200, self._version_and_time()


def _answer(start_response, status, value, header_by_name):
    body = json.dumps(value).encode()
    headers = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    start_response(STATUS_LINE_BY_STATUS[status], list((headers | header_by_name).items()))
    return [body]
