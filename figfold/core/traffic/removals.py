"""Backend servers whose rows were removed from the store, for rows that reach an entry later."""

from attrs import Factory, define, evolve, frozen

from figfold.core.traffic.row_order import is_late_write

# Removed servers that are remembered.
MAX_REMEMBERED_REMOVALS = 500
# Usual time between two rows of a server.
HEARTBEAT_S = 1.5
# With a row that was read longer before the removal, others may have been missed.
LAST_ROW_AGE_S = 2 * HEARTBEAT_S


@frozen
class _Removal:
    """A removed server.

    Attributes
    ----------
    store_version : int
        Version of the store as of which the row does not exist.
    last_record : ServerRecord or None
        The last row that was known before the removal.
    last_seen_s : float
        When that row was read.
    """

    store_version: int
    removed_s: float
    last_record: object = None
    last_seen_s: float = 0.0


@define
class Removals:
    """Removed servers by id, the latest last.

    Attributes
    ----------
    on_late_row : callable
        ``(record, known)``, called with a row that its server wrote before the known one.
    """

    on_late_row: object
    _removal_by_id: dict[str, _Removal] = Factory(dict)

    def record(self, server_id, store_version, server, now_s):
        """Remember that a row does not exist as of a version.

        Parameters
        ----------
        server : FleetServer or None
            The server as it was known until now; None if it was not.
        """
        removal = _Removal(store_version, now_s)
        if server is not None:
            removal = evolve(removal, last_record=server.record, last_seen_s=server.last_seen_s)
        known = self._removal_by_id.pop(server_id, None)
        if known is not None:
            latest = max(store_version, known.store_version)
            removal = evolve(known if server is None else removal, store_version=latest)
        self._removal_by_id[server_id] = removal
        if len(self._removal_by_id) > MAX_REMEMBERED_REMOVALS:
            del self._removal_by_id[next(iter(self._removal_by_id))]

    def follows(self, record, now_s):
        """Return whether a row was written before its removal."""
        removal = self._removal_by_id.get(record.id)
        if removal is None:
            return False
        if record.row_version <= removal.store_version:
            return True
        last = removal.last_record
        if last is None or not is_late_write(record, last, now_s - removal.removed_s):
            return False
        self.on_late_row(record, last)
        return True

    def is_return(self, record):
        """Return whether a row is of the process whose row was removed."""
        removal = self._removal_by_id.get(record.id)
        last = removal.last_record if removal is not None else None
        return last is not None and last.started_ms == record.started_ms

    def is_return_in_doubt(self, record):
        """Return whether a row may be a late write of before the removal, as far as is known."""
        if not self.is_return(record):
            return False
        removal = self._removal_by_id[record.id]
        last = removal.last_record
        if None in (record.sequence, last.sequence):
            return False
        missed_s = removal.removed_s - removal.last_seen_s
        # The rows that the server may have written between its last known one and the removal.
        most_rows = missed_s / HEARTBEAT_S + 1
        return missed_s > LAST_ROW_AGE_S or 0 < record.sequence - last.sequence <= most_rows
