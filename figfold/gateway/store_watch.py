"""Reads the store's tables and takes what they tell, whatever state the store is in."""

import json

from attrs import define, field

from figfold.core.codes import Code
from figfold.core.confirmation import StoreHealth
from figfold.entry.clock import now_s
from figfold.platform.rows import ENTRY_TABLE, OPERATOR_TABLE, SERVER_TABLE
from figfold.platform.tables import read_entry_rows, read_operator_rows, read_server_rows

RETRY_PAUSE_S = 0.2  # Between two calls of a store that fails.
RETRY_PAUSE_LIMIT_S = 0.4
# A silence of the store after which entries of live servers may have lapsed.
OUTAGE_S = 1.5
# A change of the configuration that a peer tells is waited for in the feed this long.
PEER_NEWS_S = 0.3
REPORTED_FAILURES = 100  # Unreadable rows that are remembered as reported.


@define(eq=False)
class StoreWatch:
    """The readers of the operator's and of the servers' rows.

    Attributes
    ----------
    beliefs : Beliefs
    on_confirmed : callable
        ``(version, started_s)``, after each reading of the operator's rows.
    """

    store: object
    beliefs: object
    settings: object
    metrics: object
    log: object
    on_confirmed: object
    on_server_gone: object
    health: StoreHealth = field(factory=StoreHealth)
    operator_version: int | None = None
    server_version: int | None = None
    last_read_s: float = float("-inf")
    _outage_ended_s: float = float("-inf")
    _pause_s: float = RETRY_PAUSE_S
    _reported: set = field(factory=set)

    # The operator's rows.

    def read_operator(self):
        """Read the operator's rows, whole or what has changed; return the pause after it."""
        started = now_s()
        whole = self.operator_version is None
        if whole:
            read = self.store.read_table(OPERATOR_TABLE)
        else:
            wait_s = self.settings.configuration_wait_s
            read = self.store.read_changes(OPERATOR_TABLE, self.operator_version, wait_s)
        if read.is_err():
            return self._fail(read.err(), "operator_version")
        self._succeed(started)
        rows = read.ok()
        self.operator_version = rows.version
        self._take_operator(read_operator_rows(rows.rows), whole)
        self.beliefs.operator_read_s = now_s()
        if self.beliefs.configuration is not None:
            self.on_confirmed(self.beliefs.configuration.version, started)
        return 0.0

    def read_operator_again(self):
        """Read the operator's rows whole: a peer has a later version than the feed has told."""
        started = now_s()
        read = self.store.read_table(OPERATOR_TABLE)
        if read.is_err():
            return
        self._succeed(started)
        self._take_operator(read_operator_rows(read.ok().rows), True)
        self.beliefs.operator_read_s = started

    def _take_operator(self, news, whole):
        self._report(news.failures)
        if news.configuration is not None:
            self.beliefs.take_configuration(news.configuration, news.configuration_text, "store")
        named = {place for place, is_on in news.evacuation_by_place.items() if is_on}
        lifted = {place for place, is_on in news.evacuation_by_place.items() if not is_on}
        fleet = self.beliefs.fleet
        self.take_evacuated(named if whole else (fleet.evacuated_places - lifted) | named, "store")

    def take_evacuated(self, places, source):
        """Take the data centres that are being evacuated."""
        before = self.beliefs.fleet.evacuated_places
        if self.beliefs.fleet.set_evacuated(places, now_s()):
            self.log.bind(before=sorted(before), now=sorted(places), source=source).info(
                "evacuations-changed"
            )
            self.beliefs.note_change()

    # The servers' rows.

    def read_servers(self):
        """Read the servers' rows, whole or what has changed; return whether that went well."""
        started = now_s()
        whole = self.server_version is None
        if whole:
            read = self.store.read_table(SERVER_TABLE)
        else:
            read = self.store.read_changes(SERVER_TABLE, self.server_version, 0.0)
        if read.is_err():
            self._fail(read.err(), "server_version")
            return False
        self._succeed(started)
        rows = read.ok()
        self.server_version = rows.version
        news = read_server_rows(rows.rows)
        self._report(news.failures)
        after_outage = now_s() - self._outage_ended_s < OUTAGE_S
        self.take_servers(news.records, news.removed_ids, whole, after_outage, "store")
        self.beliefs.servers_read_s = started
        return True

    def take_servers(self, records, removed_ids, whole, after_outage, source):
        """Take what the store or another entry tells of the servers."""
        fleet = self.beliefs.fleet
        now = now_s()
        generation = fleet.generation
        if whole:
            gone = fleet.take_listing(records, now, after_outage and fleet.is_known)
        else:
            for record in records:
                self._take_record(record, now, source)
            gone = [one for one in removed_ids if fleet.take_removal(one, now, after_outage)]
        gone += fleet.drop_missing(now)
        for server_id in gone:
            self.on_server_gone(server_id)
            self.log.bind(server=server_id, whole=whole, source=source).info("server-gone")
        if fleet.generation != generation:
            self.beliefs.note_change()

    def _take_record(self, record, now, source):
        if self.beliefs.fleet.take_record(record, now):
            self.log.bind(
                server=record.id,
                service=record.service,
                place=record.place,
                leaving=record.is_leaving,
                cold_s=round(record.cold_remaining_s, 2),
                source=source,
            ).info("server-changed")

    # The other entries' rows.

    def register(self, name, value):
        """Write the own row and return the rows of the others; None when the store fails."""
        written = self.store.write(ENTRY_TABLE, name, json.dumps(value).encode())
        if written.is_err():
            return None
        read = self.store.read_table(ENTRY_TABLE)
        return None if read.is_err() else read_entry_rows(read.ok().rows)

    # The store itself.

    def _succeed(self, started):
        now = now_s()
        if now - self.last_read_s > OUTAGE_S and self.last_read_s > float("-inf"):
            self._outage_ended_s = now
        self.last_read_s = now
        self._pause_s = RETRY_PAUSE_S
        if self.health.succeeded(now):
            self.log.bind(ms=round((now - started) * 1000)).info("store-reachable")

    def _fail(self, failure, version_name):
        if failure.code is Code.STORE_HISTORY_LOST:
            self.log.bind(reader=version_name).info("store-history-lost")
            setattr(self, version_name, None)
            return 0.0
        if self.health.failed(now_s()):
            self.log.bind(code=int(failure.code), why=failure.message).warning("store-lost")
        self._pause_s = min(RETRY_PAUSE_LIMIT_S, 1.5 * self._pause_s)
        return self._pause_s

    def _report(self, failures):
        for failure in failures:
            if failure.message not in self._reported:
                if len(self._reported) >= REPORTED_FAILURES:
                    self._reported.clear()
                self._reported.add(failure.message)
                self.log.bind(why=failure.message).warning("row-unreadable")
            self.metrics.count_code(failure.code)
