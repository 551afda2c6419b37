"""Reads the store's tables and applies their rows to the view of the cluster.

During an outage of the store the last rows stay in use.
"""

import json

from attrs import define, field

from figfold.core.codes import Code
from figfold.core.confirmation import StoreHealth
from figfold.core.organisations.access import KeyUse
from figfold.core.store_era import EraTracker, era_of, era_start
from figfold.core.traffic.fleet import FleetUpdate, MissingServer
from figfold.core.traffic.outage import OutageTracker
from figfold.entry.clock import now_s
from figfold.platform.rows import ENTRY_TABLE, KEY_USE_ROW, OPERATOR_TABLE, SERVER_TABLE
from figfold.platform.tables import read_entry_rows, read_operator_rows, read_server_rows

RETRY_PAUSE_S = 0.2  # Grows by half with each failed call of the store.
MAX_RETRY_PAUSE_S = 0.4
# Longest wait for a change of the configuration that a peer has announced.
PEER_CHANGE_WAIT_S = 0.3
# Age of the operator's rows from which they are read without waiting for a change.
UNCONFIRMED_S = 0.5
NO_ERA = -1
MAX_REPORTED_FAILURES = 100  # Unreadable rows that are remembered as logged.
# Failed reads of changes after which the whole table is read.
WHOLE_READ_CODES = frozenset({Code.STORE_HISTORY_LOST, Code.STORE_EARLIER_ERA})


@define(eq=False)
class StoreReader:
    """Reads the rows of the operator, the servers and the entries.

    Attributes
    ----------
    cluster : ClusterView
    on_confirmed : callable
        ``(version, started_s)``, called after each read of the operator's rows.
    operator_version : int or None
        Version of the operator's table as last read; None before the first read.
    late_rows : int
        Number of servers' rows that were not applied, since these were written before known ones.
    eras : EraTracker
        That of the store's client.
    on_new_era : callable
        Called when the store or a peer shows that the store was restored from an older copy, so
        that this entry's row may be lost.
    """

    store: object
    cluster: object
    settings: object
    metrics: object
    log: object
    on_confirmed: object
    on_server_removed: object
    health: StoreHealth = field(factory=StoreHealth)
    operator_version: int | None = None
    late_rows: int = 0
    outage: OutageTracker = field(factory=OutageTracker)
    eras: EraTracker = field(factory=EraTracker)
    on_new_era: object = lambda: None
    _is_configuration_readable: bool = True
    _retry_pause_s: float = RETRY_PAUSE_S
    _reported_messages: set = field(factory=set)
    _peer_era: int = 0
    # Era in which this entry's row was last written.
    _registered_era: int = NO_ERA
    # Era in which the use of API keys was last recorded; None until the entries' rows were read.
    _key_use_era: int | None = None
    # Data centres that the store names as evacuated since it was restored, while others may be
    # missing.
    _evacuated_since_restore: frozenset = frozenset()

    def __attrs_post_init__(self):
        self.cluster.fleet.on_late_row = self._report_late_row
        self.eras.on_new_era = self._report_new_era

    # Rows of the operator.

    def read_operator_changes(self):
        """Read the operator's rows or wait for changes; return the pause before the next call."""
        started = now_s()
        # A long poll confirms the rows only when it ends, so old rows are read without waiting.
        is_confirmed = started - self.cluster.operator_read_s <= UNCONFIRMED_S
        wait_s = self.settings.configuration_wait_s if is_confirmed else 0.0
        if self.eras.is_settling(started):
            # No reading confirms the rows in this time.
            wait_s = min(self.settings.configuration_wait_s, self.eras.settling_s(started))
        read, is_full = self._read_rows(OPERATOR_TABLE, self.operator_version, wait_s)
        if read.is_err():
            return self._record_failure(read.err(), started)
        self._record_success(started)
        rows = read.ok()
        self.operator_version = rows.version
        self._report_unreadable_rows(rows.failures)
        self._apply_operator_rows(read_operator_rows(rows.rows), is_full, rows.version)
        # The store has waited for all of the time if there was no change, but no longer. An answer
        # with a change may have been written at once.
        has_waited = not rows.rows and not is_full and now_s() - started >= wait_s
        self._confirm_operator_rows(started + wait_s if has_waited else started)
        if self.cluster.configuration is not None and not self.eras.is_settling(started):
            self.on_confirmed(self.cluster.configuration.version, started)
        return 0.0

    def reread_operator_rows(self):
        """Read the changes of the operator's rows now, without waiting for one."""
        started = now_s()
        read, is_full = self._read_rows(OPERATOR_TABLE, self.operator_version, 0.0)
        if read.is_err():
            self._record_failure(read.err(), started)
            return
        self._record_success(started)
        rows = read.ok()
        self.operator_version = rows.version
        self._report_unreadable_rows(rows.failures)
        self._apply_operator_rows(read_operator_rows(rows.rows), is_full, rows.version)
        self._confirm_operator_rows(started)

    def _confirm_operator_rows(self, read_s):
        """Record when the operator's rows were read, if they confirm the configuration.

        They do not if it was unreadable, or an older one may have come back with a restore of the
        store.
        """
        if self._is_configuration_readable and not self.eras.is_settling(read_s):
            self.cluster.operator_read_s = max(self.cluster.operator_read_s, read_s)

    def skip_operator_changes(self, store_version):
        """Skip the changes up to a version in the next read, since a peer has sent them."""
        self.operator_version = max(self.operator_version or 0, store_version)

    def _apply_operator_rows(self, changes, is_full, store_version):
        self._report_unreadable_rows(changes.failures)
        if changes.has_configuration:
            # The one in force then holds keys that may have been withdrawn.
            self._is_configuration_readable = changes.configuration is not None
        if changes.configuration is not None:
            self.cluster.apply_configuration(
                changes.configuration, changes.configuration_text, "store"
            )
        self._apply_evacuation_rows(changes, is_full, store_version)

    def _apply_evacuation_rows(self, changes, is_full, store_version):
        """Apply rows of evacuations; while rows may be missing after a restore, only add to them.

        The version then is the start of the era, so that peers do the same.
        """
        fleet = self.cluster.fleet
        evacuated = {place for place, is_on in changes.evacuation_by_place.items() if is_on}
        restored = {place for place, is_on in changes.evacuation_by_place.items() if not is_on}
        start = era_start(store_version)
        was_added_to = 0 < start == fleet.evacuations_version
        known = self._evacuated_since_restore if was_added_to else fleet.evacuated_places
        if not self.eras.is_settling(now_s()) or fleet.evacuations_version > start:
            places = evacuated if is_full else (known - restored) | evacuated
            self.apply_evacuations(places, store_version, "store")
            return
        evacuated -= {
            place
            for place in evacuated
            if fleet.is_restored_since(place, changes.version_by_place[place])
        }
        places = evacuated if is_full else (known - restored) | evacuated
        self._evacuated_since_restore = frozenset(places)
        self.apply_evacuations(places | fleet.evacuated_places, start, "store")

    def apply_evacuations(self, places, store_version, source):
        """Set the data centres that are being evacuated as of a version of the store."""
        before = self.cluster.fleet.evacuated_places
        start = era_start(store_version)
        if start == self.cluster.fleet.evacuations_version > 0:
            # This entry has read later changes than the peer, and knows that some may be missing.
            is_behind = store_version < (self.operator_version or 0)
            store_version = start if is_behind else store_version
        if self.cluster.fleet.set_evacuated(places, now_s(), store_version):
            self.log.bind(before=sorted(before), now=sorted(places), source=source).info(
                "evacuations-changed"
            )
            self.cluster.notify_change()

    # Rows of the servers.

    def read_servers(self):
        """Read the servers' rows, or their changes; return whether the store answered."""
        started = now_s()
        fleet = self.cluster.fleet
        # Changes that peers have already sent need not be read again.
        known_version = fleet.store_version if fleet.is_loaded else None
        read, is_full = self._read_rows(SERVER_TABLE, known_version, 0.0)
        if read.is_err():
            self._record_failure(read.err(), started)
            return False
        self._record_success(started)
        rows = read.ok()
        changes = read_server_rows(rows.rows)
        self._report_unreadable_rows(rows.failures + changes.failures)
        after_outage = self.outage.has_just_ended(now_s()) or self.eras.is_settling(now_s())
        if rows.rows:
            self.log.bind(
                rows=len(rows.rows),
                removed=len(changes.removed_ids),
                version=rows.version,
                whole=is_full,
                after_outage=after_outage,
                ms=round((now_s() - started) * 1000),
            ).info("servers-read")
        update = FleetUpdate(
            generation=0,
            is_snapshot=is_full,
            records=changes.records,
            removed_ids=changes.removed_ids,
            evacuated_places=fleet.evacuated_places,
            store_version=rows.version,
            # Such a row names no server to use. A server that is up writes its row again.
            missing=tuple(MissingServer(one, 0.0) for one in changes.unreadable_ids),
        )
        self.apply_servers(update, after_outage, "store")
        self.cluster.servers_read_s = max(self.cluster.servers_read_s, started)
        return True

    def apply_servers(self, update, after_outage, source):
        """Apply the servers that the store or a peer has sent to the fleet.

        Parameters
        ----------
        update : FleetUpdate
        after_outage : bool
            Whether the rows of live servers may be missing, as the store has just come back.
        source : str
            ``store`` or the name of a peer, for the log.
        """
        fleet = self.cluster.fleet
        now = now_s()
        generation, missing_before = fleet.generation, fleet.missing_ids()
        was_loaded = fleet.is_loaded
        if update.is_snapshot:
            changed, removed = fleet.apply_snapshot(
                update.records,
                now,
                after_outage and was_loaded,
                update.store_version,
                update.missing,
            )
        else:
            changed, removed = fleet.apply_changes(
                update.records,
                update.removed_ids,
                now,
                after_outage,
                update.store_version,
                update.missing,
            )
        if was_loaded:
            for record in changed:
                self._log_changed(record, source)
        removed += fleet.evict_missing(now)
        fleet.release_held(now)
        for server_id in fleet.missing_ids() - missing_before:
            self.log.bind(server=server_id, whole=update.is_snapshot, source=source).info(
                "server-missing"
            )
        for server_id in removed:
            self.on_server_removed(server_id)
            self.log.bind(server=server_id, whole=update.is_snapshot, source=source).info(
                "server-gone"
            )
        if fleet.generation != generation:
            self.cluster.notify_change()

    def _log_changed(self, record, source):
        self.log.bind(
            server=record.id,
            service=record.service,
            place=record.place,
            leaving=record.is_leaving,
            cold_s=round(record.cold_remaining_s, 2),
            row_version=record.row_version,
            started_ms=record.started_ms,
            sequence=record.sequence,
            source=source,
        ).info("server-changed")

    def _report_late_row(self, record, known):
        self.late_rows += 1
        self.metrics.count("late_rows")
        self.log.bind(
            server=record.id,
            row_version=record.row_version,
            started_ms=record.started_ms,
            sequence=record.sequence,
            known_version=known.row_version,
            known_started_ms=known.started_ms,
            known_sequence=known.sequence,
        ).info("server-row-late")

    # Rows of the entries.

    def register(self, name, value):
        """Write this entry's row and return the rows of all entries, or None if the store fails."""
        if not self.write_entry_row(name, value):
            return None
        read = self.store.read_table(ENTRY_TABLE)
        if read.is_err():
            return None
        rows = read.ok().rows
        is_recorded = any(row.key == KEY_USE_ROW for row in rows)
        self.cluster.learn_key_use(is_recorded)
        self._key_use_era = self.eras.era if is_recorded else NO_ERA
        return read_entry_rows(rows)

    def lacks_key_use_record(self):
        """Return whether API keys are or were in use, and the store has no record of it."""
        is_known = self._key_use_era in (None, self.eras.era)
        return self.cluster.key_use is KeyUse.USED and not is_known

    def record_key_use(self):
        """Record in the store that API keys are or were in use.

        An entry that starts while the configuration has no organisations learns it from there.
        """
        era = self.eras.era
        if self.store.write(ENTRY_TABLE, KEY_USE_ROW, b"{}").is_ok():
            self._key_use_era = era
            self.log.info("key-use-recorded")

    def write_entry_row(self, name, value):
        """Write this entry's row; return whether the store has it."""
        written = self.store.write(ENTRY_TABLE, name, json.dumps(value).encode())
        if written.is_ok():
            self._registered_era = self.eras.era
        return written.is_ok()

    def is_registered(self):
        """Return whether this entry's row was written since the store was last restored."""
        return self._registered_era == self.eras.era

    # Eras of the store.

    def note_peer_version(self, store_version):
        """Learn from a version that a peer states whether the store was restored."""
        era = era_of(store_version)
        # The versions of a store without eras can be as large.
        if self.eras.has_eras and era > max(self.eras.era, self._peer_era):
            self._peer_era = era
            self._registered_era = NO_ERA
            self.on_new_era()

    def _report_new_era(self, era, before):
        self.log.bind(era=era, before=before).info("store-era-changed")
        self.on_new_era()

    def _read_rows(self, table, version, wait_s):
        """Read the changes of a table since a version, or all rows if the store has lost these.

        Returns
        -------
        tuple[Result, bool]
            Rows or a failure, and whether the rows are those of the whole table.
        """
        if version is not None:
            read = self.store.read_changes(table, version, wait_s)
            if read.is_ok() or read.err().code not in WHOLE_READ_CODES:
                return read, False
            self.log.bind(reader=table).info("store-history-lost")
        return self.store.read_table(table), True

    # Availability of the store.

    def _record_success(self, started):
        now = now_s()
        self.outage.record_success(now)
        self._retry_pause_s = RETRY_PAUSE_S
        if self.health.record_success(now):
            self.log.bind(ms=round((now - started) * 1000)).info("store-reachable")

    def _record_failure(self, failure, started):
        self.outage.record_failure(started, now_s())
        if self.health.record_failure(now_s()):
            self.log.bind(code=int(failure.code), why=failure.message).warning("store-lost")
        self._retry_pause_s = min(MAX_RETRY_PAUSE_S, 1.5 * self._retry_pause_s)
        return self._retry_pause_s

    def _report_unreadable_rows(self, failures):
        for failure in failures:
            if failure.message not in self._reported_messages:
                if len(self._reported_messages) >= MAX_REPORTED_FAILURES:
                    self._reported_messages.clear()
                self._reported_messages.add(failure.message)
                self.log.bind(why=failure.message).warning("row-unreadable")
            self.metrics.count_code(failure.code)
