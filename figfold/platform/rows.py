"""Client of the platform's metadata store: reads, change feed and conditional writes of rows."""

import base64
import json
from urllib.parse import urlencode

from attrs import Factory, define, evolve, frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.store_era import MAX_VERSION, EraTracker
from figfold.entry.clock import now_s
from figfold.platform.answers import bad_answer, read_era, read_json
from figfold.platform.decoding import MAX_INTEGER, StoredRow, decode_row
from figfold.platform.http import StoreHttp

OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# Table in which entries register, so that they find each other.
ENTRY_TABLE = "figfold-entries"
# Row of that table that records that API keys are or were in use; no entry can have its name.
KEY_USE_ROW = "record/api-keys"
PAGE_SIZE = 500
MAX_CONNECTIONS = 8
MS_PER_S = 1000
# Whole reads of a table that are begun again, since the store was restored between two pages.
MAX_TABLE_READS = 4


@frozen
class RowBatch:
    """Rows read from the store, and the store version up to which they are complete.

    Versions are packed; see `figfold.core.store_era`.

    Attributes
    ----------
    store_s : float
        The store's steady clock when it answered, in seconds.
    failures : tuple[Failure, ...]
        One for each item of the answer that is not a row; it is left out.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_s: float
    failures: tuple = ()


@frozen
class WriteResult:
    """Packed version of the store after a write, and its steady clock in seconds."""

    version: int
    store_s: float


def ignore_count(_code, _operation):
    """Count nothing."""


@define(eq=False)
class RowStore:
    """Client of the store's rows; nothing is retried here.

    Versions are packed; see `figfold.core.store_era`. An answer of an earlier era than the known
    one fails with STORE_EARLIER_ERA.

    Attributes
    ----------
    http : StoreHttp
    count : callable
        Called as ``count(code, operation)`` at the end of each call.
    eras : EraTracker
        Shared by all clients of the process.
    orders_copies : bool
        Whether rows of the copy from which the store was restored get versions of an earlier era.
        Otherwise their versions suit conditional writes.
    """

    http: StoreHttp
    count: object = ignore_count
    eras: EraTracker = Factory(EraTracker)
    orders_copies: bool = True

    @classmethod
    def from_config(cls, address, timeout_s, count=ignore_count):
        """Return a client of the store at ``host:port``; no connection is opened yet."""
        url = f"http://{address}"
        return cls(StoreHttp.from_config(url, MAX_CONNECTIONS, timeout_s, {}), count)

    def read_table(self, table):
        """Return Ok(RowBatch) with all rows of a table.

        Its version is the one of the first page; rows of later pages can be newer. Pages of
        different eras do not belong together, so that the read then begins again.
        """
        for _ in range(MAX_TABLE_READS):
            read = self._read_pages(table)
            if read.is_err() or read.ok() is not None:
                return read
        message = f"the store was restored during each of {MAX_TABLE_READS} reads of {table!r}"
        return Err(Failure(Code.STORE_ERROR, message, "try again later"))

    def _read_pages(self, table):
        """Return Ok(RowBatch), or Ok(None) if the era of the store changed between two pages."""
        rows, failures, start, version, era = [], [], None, None, None
        while True:
            query = {"table": table, "part": "", "limit": PAGE_SIZE}
            if start is not None:
                query["from"] = start
            page = self._call("read_table", "GET", f"/rows-get?{urlencode(query)}")
            if page.is_err():
                return page
            value = page.ok()
            read = self._read_rows(value)
            if read.is_err():
                return read
            if start is not None and self.eras.era != era:
                return Ok(None)
            era = self.eras.era
            rows += read.ok().rows
            failures += read.ok().failures
            version = read.ok().version if version is None else version
            if value.get("hasMore") is not True:
                return Ok(RowBatch(tuple(rows), version, read.ok().store_s, tuple(failures)))
            if not read.ok().rows:
                return bad_answer("the store's answer has no row after which to go on")
            start = _next_key(rows[-1].key)

    def read_changes(self, table, after, wait_s):
        """Return Ok(RowBatch) with the changes after a version; waits until there is one.

        Fails with STORE_HISTORY_LOST if the store no longer has these changes, or the version is
        of another era; the table must then be read as a whole.

        Parameters
        ----------
        table : str
        after : int
            Version of the store after which changes are returned.
        wait_s : float
            Longest time that the store waits for a change, in seconds.
        """
        era, version = self.eras.era, self.eras.unpack(after)
        if version is None:
            return _history_lost()
        wait_ms = int(wait_s * MS_PER_S)
        query = urlencode({"table": table, "after": version, "waitMs": wait_ms})
        timeout_s = wait_s + self.http.timeout_s
        path = f"/rows-feed?{query}"
        answer = self._call("read_changes", "GET", path, None, timeout_s)
        read = answer.and_then(self._read_rows)
        return _history_lost() if read.is_ok() and self.eras.era != era else read

    def read_row(self, table, key):
        """Return Ok(RowBatch) with the one row, or STORE_MISSING if it does not exist."""
        bounds = {"table": table, "part": "", "from": key, "target": _next_key(key), "limit": 1}
        answer = self._call("read_row", "GET", f"/rows-get?{urlencode(bounds)}")
        read = answer.and_then(self._read_rows)
        return read.and_then(lambda rows: _require_single(rows, table, key))

    def write(self, table, key, data, version=None):
        """Write a row and return Ok(WriteResult).

        Fails with STORE_CONFLICT if the required version is of another era than the store's, and
        with STORE_EARLIER_ERA if the store was restored meanwhile, so that the condition may have
        held for another row of the same version.

        Parameters
        ----------
        table, key : str
        data : bytes
        version : int or None
            The version that the row must have, 0 if it must not exist. None replaces any content;
            such a write is idempotent.
        """
        encoded = base64.b64encode(data).decode("ascii")
        row = {"table": table, "part": "", "key": key, "value": encoded}
        return self._transact("write", {"writes": [row]}, row, version)

    def remove(self, table, key, version=None):
        """Remove a row; if a version is given, only if the row has that version."""
        row = {"table": table, "part": "", "key": key}
        return self._transact("remove", {"remove": [row]}, row, version)

    def _transact(self, operation, changes, row, version):
        call = {"precondition": [], "writes": [], "remove": []} | changes
        era = self.eras.era
        if version is not None:
            # No row has the version 0, in any era.
            own_version = self.eras.unpack(version) if version else 0
            if own_version is None:
                self.count(Code.STORE_CONFLICT, operation)
                return _era_conflict()
            row_id = {name: row[name] for name in ("table", "part", "key")}
            call["precondition"] = [row_id | {"ver": own_version}]
        done = self._call(operation, "POST", "/rows-tx", json.dumps(call).encode())
        if done.is_ok() and version and self.eras.era != era:
            return _earlier_era()
        return done.and_then(self._read_write_result)

    def _call(self, operation, method, path, body=None, timeout_s=None):
        headers = {"Content-Type": "application/json"} if body is not None else {}
        answer = self.http.send(operation, method, path, body, headers, timeout_s)
        outcome = answer.and_then(self._check_era).and_then(read_json)
        self.count(outcome.err().code if outcome.is_err() else Code.OK, operation)
        return outcome

    def _check_era(self, answer):
        is_current = self.eras.record_answer(read_era(answer), now_s())
        return Ok(answer) if is_current else _earlier_era()

    def _read_rows(self, value):
        return _read_rows(value).and_then(self._pack_rows)

    def _pack_rows(self, batch):
        """Return Ok(RowBatch) with packed versions, from an answer of the current era."""
        if not self._fits(batch.version):
            return bad_answer("the store's version is too large for a store with eras")
        version = self.eras.pack(batch.version)
        if not self.eras.era:
            return Ok(batch)
        rows = [row for row in batch.rows if self._fits(row.version)]
        failures = [
            Failure(Code.STORE_BAD_ANSWER, f"the version of row {row.key[:60]!r} is too large")
            for row in batch.rows
            if not self._fits(row.version)
        ]
        pack_row = self.eras.pack_row if self.orders_copies else self.eras.pack
        packed = tuple(evolve(row, version=pack_row(row.version)) for row in rows)
        return Ok(RowBatch(packed, version, batch.store_s, (*batch.failures, *failures)))

    def _read_write_result(self, value):
        read = _read_write_result(value)
        if read.is_err() or not self._fits(read.ok().version):
            return read if read.is_err() else bad_answer("the store's version is too large")
        return Ok(evolve(read.ok(), version=self.eras.pack(read.ok().version)))

    def _fits(self, version):
        return not self.eras.era or version <= MAX_VERSION


def require_all_rows(rows):
    """Return Ok(RowBatch) if each item of the answer was a row, else the first failure.

    For calling code to which a row that was left out would seem not to exist.
    """
    return Err(rows.failures[0]) if rows.failures else Ok(rows)


def _history_lost():
    message = "the store was restored from a copy since that version"
    return Err(Failure(Code.STORE_HISTORY_LOST, message, "read the whole table"))


def _era_conflict():
    message = "the row was read in another era of the store"
    return Err(Failure(Code.STORE_CONFLICT, message, "read the row again before writing"))


def _earlier_era():
    message = "the answer is of another era of the store than the known one"
    return Err(Failure(Code.STORE_EARLIER_ERA, message, "read the row again before writing"))


def _next_key(key):
    """Return the smallest string that sorts after a key."""
    return key + "\0"


def _require_single(rows, table, key):
    """Return Ok(rows) if they hold exactly the requested row, else a failure."""
    if rows.failures:
        return Err(rows.failures[0])
    found = [(row.table, row.key) for row in rows.rows]
    if found == [(table, key)]:
        return Ok(rows)
    if found:
        return bad_answer("the store answered with other rows than the requested one", found)
    return Err(Failure(Code.STORE_MISSING, f"table {table!r} has no row {key!r}"))


def _is_version(value):
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_INTEGER


def _store_time(value):
    now_s = value.get("nowS")
    is_time = isinstance(now_s, (int, float)) and not isinstance(now_s, bool)
    return float(now_s) if is_time and abs(now_s) <= MAX_INTEGER else None


def _read_write_result(value):
    version, store_s = value.get("ver"), _store_time(value)
    if not _is_version(version) or store_s is None:
        return bad_answer("the store's answer to a write has no version or no time")
    return Ok(WriteResult(version, store_s))


def _read_rows(value):
    rows, version, store_s = value.get("rows"), value.get("ver"), _store_time(value)
    if not isinstance(rows, list) or not _is_version(version) or store_s is None:
        return bad_answer("the store's answer has no rows, no version or no time")
    read = [decode_row(item) for item in rows]
    return Ok(
        RowBatch(
            tuple(one.ok() for one in read if one.is_ok()),
            version,
            store_s,
            tuple(one.err() for one in read if one.is_err()),
        )
    )
