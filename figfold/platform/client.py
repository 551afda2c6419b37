"""Client of the platform's table service, object store and instance list, over HTTP."""

from urllib.parse import quote, urlencode

from result import Ok

from figfold.core.codes import Code
from figfold.platform.answers import (
    HTTP_NOT_MODIFIED,
    read_etag,
    read_listing,
    read_row,
    read_rows,
    read_status,
    read_unchanged,
)
from figfold.platform.http import StoreHttp

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


def ignore_count(_code, _operation):
    """Count nothing."""


class PlatformClient:
    """Connections to the platform; each call returns a Result and never raises for its answer.

    Nothing is retried here: only the caller knows whether a repeated write is harmless.
    """

    def __init__(self, kept, bulk, bulk_prefixes, count):
        self._kept = kept
        self._bulk = bulk
        self._bulk_prefixes = bulk_prefixes
        self._count = count

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
            ``http://host:port`` of the platform.
        entry, place : str
            Who asks, for the platform's records.
        timeout_s : float
            Bound on each whole exchange, in seconds.
        max_connections : int
            Bound on open connections; further calls wait for one inside their time.
        count : callable
            Called as ``count(code, operation)`` at the end of each exchange.
        bulk_prefixes : tuple of str
            Paths whose requests may wait for one another, but never hold up the other ones: those
            keep some of the connections for themselves.
        """
        kept = min(KEPT_CONNECTIONS, max_connections // 2) if bulk_prefixes else 0
        headers = {"Figfold-From": entry, "Figfold-Place": place}
        pool = StoreHttp.from_config(url, kept or max_connections, timeout_s, headers)
        bulk_pool = StoreHttp.from_config(url, max_connections - kept, timeout_s, headers)
        return cls(pool, bulk_pool, bulk_prefixes, count)

    def close(self):
        """Close the idle connections."""
        self._kept.close()
        self._bulk.close()

    # Tables.

    def get_row(self, table, row, known=None):
        """Return Ok(Row), or STORE_MISSING when the table has no such row.

        Parameters
        ----------
        table, row : str
        known : Row or None
            The row as it was read before. While the store's is the same, no value is sent and
            ``known`` itself is returned.
        """
        path = _row_path(table, row)
        return self._read("get_row", path, lambda a: read_row(a, table, row), known)

    def put_row(self, table, row, value, if_match=None, if_absent=False):
        """Write a row under a condition and return Ok(etag).

        Failures are STORE_CONFLICT when the condition does not hold, STORE_UNREACHABLE when
        nothing was sent, and those of `may_have_taken_effect`.
        """
        headers = {"If-None-Match": "*"} if if_absent else {}
        if if_match is not None:
            headers["If-Match"] = if_match
        answer = self._exchange("put_row", "PUT", _row_path(table, row), value, headers)
        return self._finish("put_row", answer, read_etag)

    def delete_row(self, table, row, if_match=None):
        """Delete a row under a condition and return Ok(None)."""
        headers = {} if if_match is None else {"If-Match": if_match}
        answer = self._exchange("delete_row", "DELETE", _row_path(table, row), None, headers)
        return self._finish("delete_row", answer, _read_nothing)

    def list_rows(self, table, prefix=""):
        """Return Ok(tuple of Row) with all rows whose names start with the prefix."""
        path = f"/table/{_quoted(table)}?{urlencode({'prefix': prefix})}"
        answer = self._exchange("list_rows", "GET", path)
        return self._finish("list_rows", answer, lambda a: read_rows(a, table, prefix))

    # Objects.

    def put_object(self, name, body):
        """Store an immutable object; the same content again is Ok, other is STORE_CONFLICT."""
        answer = self._exchange("put_object", "PUT", f"/object/{_quoted(name)}", body)
        return self._finish("put_object", answer, _read_nothing)

    def get_object(self, name):
        """Return Ok(bytes) of an object; the caller checks its digest."""
        answer = self._exchange("get_object", "GET", f"/object/{_quoted(name)}")
        return self._finish("get_object", answer, lambda a: Ok(a.body))

    # Instances.

    def list_instances(self):
        """Return Ok(tuple of Instance) of the platform's list, which lags."""
        return self.read_listing().map(lambda listing: listing.instances)

    def read_listing(self, known=None):
        """Return Ok(Listing) of the platform's list, which lags.

        Parameters
        ----------
        known : Listing or None
            The list as it was read before. While the platform's is the same, no body is sent and
            ``known`` itself is returned.
        """
        return self._read("list_instances", "/instances", read_listing, known)

    # Exchange of one request and answer.

    def _read(self, operation, path, read, known):
        etag = known.etag if known is not None else ""
        headers = {"If-None-Match": etag} if etag else {}

        def read_whole_or_unchanged(answer):
            # Without a tag in the request, 304 is a status like any other unexpected one.
            if etag and answer.status == HTTP_NOT_MODIFIED:
                return read_unchanged(answer, known)
            return read_status(answer).and_then(lambda _: read(answer))

        answer = self._exchange(operation, "GET", path, headers=headers)
        return self._count_end(operation, answer.and_then(read_whole_or_unchanged))

    def _finish(self, operation, answer, read):
        outcome = answer.and_then(lambda a: read_status(a).and_then(lambda _: read(a)))
        return self._count_end(operation, outcome)

    def _count_end(self, operation, outcome):
        code = outcome.unwrap_err().code if outcome.is_err() else Code.OK
        self._count(code, operation)
        return outcome

    def _exchange(self, operation, method, path, body=None, headers=None):
        exchange = self._bulk if path.startswith(self._bulk_prefixes) else self._kept
        return exchange.send(operation, method, path, body, headers)


def _read_nothing(_answer):
    return Ok(None)


def _quoted(name):
    return quote(name, safe="")


def _row_path(table, row):
    return f"/table/{_quoted(table)}/{_quoted(row)}"
