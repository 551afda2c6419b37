"""What the product keeps in the platform's store: rows under conditions, objects, instances."""

from attrs import frozen
from result import Ok

from figfold.core.codes import Code
from figfold.entry.clock import now_s
from figfold.platform.http import StoreHttp
from figfold.platform.instances import INSTANCE_TABLE, Listing, listing_tag, read_instances
from figfold.platform.objects import ObjectStore
from figfold.platform.rows import RowStore, ignore_count
from figfold.platform.sightings import Sightings

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_MAX_CONNECTIONS = 4
# Of the connections, those that bulk requests leave to the others.
KEPT_CONNECTIONS = 3
# After one of these, a write may or may not have taken effect: read the row to learn which.
UNSETTLED_CODES = frozenset({Code.STORE_TIMEOUT, Code.STORE_ERROR, Code.STORE_BAD_ANSWER})


def may_have_taken_effect(failure):
    """Return whether a write that failed so may have taken effect all the same.

    A status of 5xx counts as well: a proxy before the store can give one for a write that went
    through.
    """
    return failure.code in UNSETTLED_CODES


@frozen
class Row:
    """A row of a table.

    Attributes
    ----------
    etag : str
        Its version, for the condition of a write.
    age_s : float
        Lower bound of the time since it was last written, when the store answered.
    store_s : float or None
        The store's steady clock when it answered.
    """

    table: str
    row: str
    value: bytes
    etag: str
    age_s: float = 0.0
    store_s: float | None = None


class PlatformClient:
    """The store as the product uses it; each call returns a Result and never raises for its answer.

    Nothing is retried here: only the caller knows whether a repeated write is harmless.
    """

    def __init__(self, kept, bulk, bulk_names, count):
        self._kept = kept
        self._bulk = bulk
        self._bulk_names = bulk_names
        self._count = count
        # How far the store's clock is ahead of the own at most, by the latest answer.
        self._store_lead_s = None
        # The store tells no times of writes, so ages are counted from the first sighting.
        self._sightings = Sightings()

    @classmethod
    def from_config(
        cls,
        url,
        entry,
        place,
        timeout_s=DEFAULT_TIMEOUT_S,
        max_connections=DEFAULT_MAX_CONNECTIONS,
        count=ignore_count,
        bulk_names=(),
    ):
        """Make a client; no connection is opened yet.

        Parameters
        ----------
        url : str
            ``http://host:port`` of the store.
        entry, place : str
            Who asks, for the platform's records.
        timeout_s : float
            Bound on each whole exchange, in seconds.
        max_connections : int
            Bound on open connections; further calls wait for one inside their time.
        count : callable
            Called as ``count(code, operation)`` at the end of each exchange.
        bulk_names : tuple of str
            Beginnings of names of tables and objects whose requests may wait for one another, but
            never hold up the other ones: those keep some of the connections for themselves.
        """
        kept = min(KEPT_CONNECTIONS, max_connections // 2) if bulk_names else 0
        headers = {"Figfold-From": entry, "Figfold-Place": place}
        http = StoreHttp.from_config(url, kept or max_connections, timeout_s, headers)
        bulk_http = StoreHttp.from_config(url, max_connections - kept, timeout_s, headers)
        return cls(http, bulk_http, bulk_names, count)

    def close(self):
        """Close the idle connections."""
        self._kept.close()
        self._bulk.close()

    def store_time_s(self):
        """Return the latest that the store's clock can show now, or None before any answer."""
        return None if self._store_lead_s is None else now_s() + self._store_lead_s

    # Rows.

    def get_row(self, table, row, known=None):
        """Return Ok(Row), or STORE_MISSING when the table has no such row.

        Parameters
        ----------
        table, row : str
        known : Row or None
            The row as it was read before. While the store's is the same, no value is sent and
            ``known`` itself is returned.
        """
        unchanged = self._is_unchanged(table, row, known)
        if unchanged.is_err():
            return self._count_end("get_row", unchanged)
        if unchanged.ok():
            return self._count_end("get_row", Ok(known))
        started_s = now_s()
        read = self._rows(table).read_row(table, row)
        self._take_time(read, started_s)
        found = read.map(lambda rows: self._row(rows.rows[0], rows, known))
        return self._count_end("get_row", found)

    def put_row(self, table, row, value, if_match=None, if_absent=False):
        """Write a row under a condition and return Ok(etag).

        Failures are STORE_CONFLICT when the condition does not hold, STORE_UNREACHABLE when
        nothing was sent, and those of `may_have_taken_effect`.
        """
        wanted = 0 if if_absent else _version_of(if_match)
        started_s = now_s()
        written = self._rows(table).write(table, row, value, wanted)
        self._take_time(written, started_s)
        if written.is_ok():
            at = written.ok()
            self._sightings.note(table, row, str(at.version), at.store_s, at.version)
        return self._count_end("put_row", written.map(lambda one: str(one.version)))

    def delete_row(self, table, row, if_match=None):
        """Delete a row under a condition and return Ok(None)."""
        removed = self._rows(table).remove(table, row, _version_of(if_match))
        return self._count_end("delete_row", removed.map(lambda _: None))

    def list_rows(self, table, prefix=""):
        """Return Ok(tuple of Row) with all rows whose names start with the prefix."""
        read = self._rows(table).read_table(table)
        rows = read.map(lambda one: tuple(self._row(row, one) for row in one.rows))
        chosen = rows.map(lambda all_rows: tuple(r for r in all_rows if r.row.startswith(prefix)))
        return self._count_end("list_rows", chosen)

    # Objects.

    def put_object(self, name, body):
        """Store an immutable object; the same content again is Ok, other is STORE_CONFLICT."""
        return self._count_end("put_object", ObjectStore(self._http(name)).put(name, body))

    def get_object(self, name):
        """Return Ok(bytes) of an object; the caller checks its digest."""
        return self._count_end("get_object", ObjectStore(self._http(name)).get(name))

    # Instances.

    def list_instances(self):
        """Return Ok(tuple of Instance) of the platform's list, which lags."""
        return self.read_listing().map(lambda listing: listing.instances)

    def read_listing(self, known=None):
        """Return Ok(Listing) of the platform's list, which lags.

        Parameters
        ----------
        known : Listing or None
            The list as it was read before. While the platform's is the same, no row is sent and
            ``known`` itself is returned.
        """
        unchanged = self._is_unchanged(INSTANCE_TABLE, "", known)
        if unchanged.is_err():
            return self._count_end("list_instances", unchanged)
        if unchanged.ok():
            return self._count_end("list_instances", Ok(known))
        read = self._rows(INSTANCE_TABLE).read_table(INSTANCE_TABLE)
        listing = read.and_then(lambda rows: self._listing(rows, known))
        return self._count_end("list_instances", listing)

    # Private.

    def _http(self, name):
        return self._bulk if name.startswith(self._bulk_names) else self._kept

    def _rows(self, table):
        return RowStore(self._http(table), self._http(table))

    def _take_time(self, outcome, started_s):
        # The store's clock showed this after the call was begun, so that it can lead by no more.
        if outcome.is_ok():
            self._store_lead_s = outcome.ok().store_s - started_s

    def _count_end(self, operation, outcome):
        self._count(outcome.err().code if outcome.is_err() else Code.OK, operation)
        return outcome

    def _is_unchanged(self, table, key, known):
        """Return Ok(bool), whether the store's changes since the last sighting spare the row."""
        sighting = self._sightings.find(table, key, known.etag) if known is not None else None
        if sighting is None:
            return Ok(False)
        changes = self._rows(table).read_changes(table, sighting.store_version, 0.0, slack_s=0.0)
        if changes.is_err():
            is_forgotten = changes.err().code is Code.STORE_HISTORY_LOST
            return Ok(False) if is_forgotten else changes
        if any(row.key == key or not key for row in changes.ok().rows):
            return Ok(False)
        sighting.store_version = changes.ok().version
        return Ok(True)

    def _row(self, stored, rows, known=None):
        tag = str(stored.version)
        sighting = self._sightings.note(stored.table, stored.key, tag, rows.store_s, rows.version)
        if known is not None and known.etag == tag:
            return known
        age_s = max(0.0, rows.store_s - sighting.first_s)
        return Row(stored.table, stored.key, stored.data or b"", tag, age_s, rows.store_s)

    def _listing(self, rows, known):
        tag = listing_tag(rows.rows)
        self._sightings.note(INSTANCE_TABLE, "", tag, rows.store_s, rows.version)
        if known is not None and known.etag == tag:
            return Ok(known)
        instances = read_instances([row.value for row in rows.rows])
        return instances.map(lambda found: Listing(found, tag))


def _version_of(etag):
    """Return the version that a row must have; an empty tag stands for no row at all."""
    return None if etag is None else int(etag or 0)
