"""Client of the platform's store: conditional writes of rows, objects, and the instance list."""

from attrs import frozen
from result import Ok

from figfold.core.codes import Code
from figfold.core.store_era import EraTracker
from figfold.entry.clock import now_s
from figfold.platform.http import StoreHttp
from figfold.platform.instances import INSTANCE_TABLE, Listing, listing_tag, read_instances
from figfold.platform.objects import ObjectStore
from figfold.platform.row_states import RowStateCache
from figfold.platform.rows import RowStore, ignore_count, require_all_rows

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_MAX_CONNECTIONS = 4
# Connections that bulk requests may not use.
RESERVED_CONNECTIONS = 3
# The outcome of a write that failed with one of these is unknown until the row is read again.
AMBIGUOUS_CODES = frozenset(
    {Code.STORE_TIMEOUT, Code.STORE_ERROR, Code.STORE_BAD_ANSWER, Code.STORE_EARLIER_ERA}
)


def may_have_taken_effect(failure):
    """Return whether a write that failed with this failure may still have taken effect.

    This includes 5xx responses: a proxy in front of the store can return one for a write that
    succeeded.
    """
    return failure.code in AMBIGUOUS_CODES


@frozen
class Row:
    """A row of a table.

    Attributes
    ----------
    etag : str
        Version of the row, for conditional writes.
    age_s : float
        Lower bound on the time from the last write of the row to the store's answer.
    store_s : float or None
        The store's steady clock, in seconds, when it answered.
    """

    table: str
    row: str
    value: bytes
    etag: str
    age_s: float = 0.0
    store_s: float | None = None


class PlatformClient:
    """Client of the store; calls return a Result and never raise because of the store's answer.

    Nothing is retried here: only the calling code knows whether a write may be repeated.
    """

    def __init__(self, main_http, bulk_http, bulk_prefixes, count):
        self._main_http = main_http
        self._bulk_http = bulk_http
        self._bulk_prefixes = bulk_prefixes
        self._count = count
        # Upper bound on the store's clock minus the local clock, from the latest answer.
        self._max_clock_offset_s = None
        # The store does not report when a row was written: ages count from the first read.
        self._row_states = RowStateCache()
        self._eras = EraTracker()

    @classmethod
    def from_config(
        cls,
        url,
        entry,
        place,
        timeout_s=DEFAULT_TIMEOUT_S,
        max_connections=DEFAULT_MAX_CONNECTIONS,
        count=ignore_count,
        bulk_prefixes=(),
    ):
        """Make a client; no connection is opened yet.

        Parameters
        ----------
        url : str
            ``http://host:port`` of the store.
        entry, place : str
            Name and place of the client, sent in request headers for the platform's records.
        timeout_s : float
            Limit on each request including its answer, in seconds.
        max_connections : int
            Limit on open connections; further calls wait for a free one within their timeout.
        count : callable
            Called as ``count(code, operation)`` at the end of each call.
        bulk_prefixes : tuple of str
            Prefixes of the names of tables and objects with bulk traffic. Their requests may queue
            behind one another, but not delay other requests, which have reserved connections.
        """
        reserved = min(RESERVED_CONNECTIONS, max_connections // 2) if bulk_prefixes else 0
        headers = {"Figfold-From": entry, "Figfold-Place": place}
        http = StoreHttp.from_config(url, reserved or max_connections, timeout_s, headers)
        bulk_http = StoreHttp.from_config(url, max_connections - reserved, timeout_s, headers)
        return cls(http, bulk_http, bulk_prefixes, count)

    def close(self):
        """Close the idle connections."""
        self._main_http.close()
        self._bulk_http.close()

    def store_time_s(self):
        """Return an upper bound on the store's clock now, or None before the first answer."""
        return None if self._max_clock_offset_s is None else now_s() + self._max_clock_offset_s

    # Rows: conditional reads and writes.

    def get_row(self, table, row, known=None):
        """Return Ok(Row), or STORE_MISSING when the table has no such row.

        Parameters
        ----------
        table, row : str
        known : Row or None
            The row as read before. If it has not changed, the store sends no value and ``known``
            itself is returned.
        """
        unchanged = self._is_unchanged(table, row, known)
        if unchanged.is_err():
            return self._record_outcome("get_row", unchanged)
        if unchanged.ok():
            return self._record_outcome("get_row", Ok(known))
        started_s = now_s()
        read = self._row_store(table).read_row(table, row)
        self._update_clock_offset(read, started_s)
        found = read.map(lambda rows: self._make_row(rows.rows[0], rows, known))
        return self._record_outcome("get_row", found)

    def put_row(self, table, row, value, if_match=None, if_absent=False):
        """Write a row under a condition and return Ok(etag).

        Failures are STORE_CONFLICT when the condition does not hold or was read before the store
        was restored from a copy, STORE_UNREACHABLE when nothing was sent, and those of
        `may_have_taken_effect`.
        """
        expected_version = 0 if if_absent else _version_of(if_match)
        started_s = now_s()
        written = self._row_store(table).write(table, row, value, expected_version)
        self._update_clock_offset(written, started_s)
        if written.is_ok():
            result = written.ok()
            self._row_states.record(table, row, str(result.version), result.store_s, result.version)
        return self._record_outcome("put_row", written.map(lambda one: str(one.version)))

    def delete_row(self, table, row, if_match=None):
        """Delete a row under a condition and return Ok(None)."""
        removed = self._row_store(table).remove(table, row, _version_of(if_match))
        return self._record_outcome("delete_row", removed.map(lambda _: None))

    def list_rows(self, table, prefix=""):
        """Return Ok(tuple of Row) with all rows whose names start with the prefix."""
        read = self._row_store(table).read_table(table).and_then(require_all_rows)
        rows = read.map(lambda one: tuple(self._make_row(row, one) for row in one.rows))
        chosen = rows.map(lambda all_rows: tuple(r for r in all_rows if r.row.startswith(prefix)))
        return self._record_outcome("list_rows", chosen)

    # Objects: immutable, by name.

    def put_object(self, name, body):
        """Store an immutable object; STORE_CONFLICT if it exists with other content."""
        return self._record_outcome("put_object", ObjectStore(self._http_for(name)).put(name, body))

    def get_object(self, name):
        """Return Ok(bytes) of an object; the caller checks its digest."""
        return self._record_outcome("get_object", ObjectStore(self._http_for(name)).get(name))

    # Instances: the list that the platform keeps.

    def list_instances(self):
        """Return Ok(tuple of Instance) from the platform's list, which lags behind."""
        return self.read_listing().map(lambda listing: listing.instances)

    def read_listing(self, known=None):
        """Return Ok(Listing) of the platform's list, which lags behind.

        Parameters
        ----------
        known : Listing or None
            The list as read before. If it has not changed, the store sends no rows and ``known``
            itself is returned.
        """
        unchanged = self._is_unchanged(INSTANCE_TABLE, "", known)
        if unchanged.is_err():
            return self._record_outcome("list_instances", unchanged)
        if unchanged.ok():
            return self._record_outcome("list_instances", Ok(known))
        read = self._row_store(INSTANCE_TABLE).read_table(INSTANCE_TABLE).and_then(require_all_rows)
        listing = read.and_then(lambda rows: self._make_listing(rows, known))
        return self._record_outcome("list_instances", listing)

    def _http_for(self, name):
        return self._bulk_http if name.startswith(self._bulk_prefixes) else self._main_http

    def _row_store(self, table):
        return RowStore(self._http_for(table), eras=self._eras, orders_copies=False)

    def _update_clock_offset(self, outcome, started_s):
        # The store read its clock after the call started, so this is an upper bound.
        if outcome.is_ok():
            self._max_clock_offset_s = outcome.ok().store_s - started_s

    def _record_outcome(self, operation, outcome):
        self._count(outcome.err().code if outcome.is_err() else Code.OK, operation)
        return outcome

    def _is_unchanged(self, table, key, known):
        """Return Ok(bool), whether the row is unchanged since its state was last recorded."""
        state = self._row_states.find(table, key, known.etag) if known is not None else None
        if state is None:
            return Ok(False)
        changes = self._row_store(table).read_changes(table, state.store_version, 0.0)
        changes = changes.and_then(require_all_rows)
        if changes.is_err():
            is_history_lost = changes.err().code is Code.STORE_HISTORY_LOST
            return Ok(False) if is_history_lost else changes
        if any(row.key == key or not key for row in changes.ok().rows):
            return Ok(False)
        state.store_version = changes.ok().version
        return Ok(True)

    def _make_row(self, stored, rows, known=None):
        tag = str(stored.version)
        state = self._row_states.record(stored.table, stored.key, tag, rows.store_s, rows.version)
        if known is not None and known.etag == tag:
            return known
        age_s = max(0.0, rows.store_s - state.first_seen_s)
        return Row(stored.table, stored.key, stored.data or b"", tag, age_s, rows.store_s)

    def _make_listing(self, rows, known):
        tag = listing_tag(rows.rows)
        self._row_states.record(INSTANCE_TABLE, "", tag, rows.store_s, rows.version)
        if known is not None and known.etag == tag:
            return Ok(known)
        instances = read_instances([row.value for row in rows.rows])
        return instances.map(lambda found: Listing(found, tag))


def _version_of(etag):
    """Return the version of an entity tag; the empty tag means that no row may exist."""
    return None if etag is None else int(etag or 0)
