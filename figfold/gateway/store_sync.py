"""Keeps the view of the cluster current from the store, or from a peer that reads the store."""

import eventlet
from attrs import define, evolve, field
from eventlet import Timeout

from figfold.core.store_era import REREGISTRATION_GRACE_S, is_era_start
from figfold.core.traffic.sync_source import MAX_SOURCE_AGE_S, SyncSourceSelector
from figfold.entry.clock import now_s
from figfold.platform.tables import decode_configuration_text
from figfold.wire.codec import try_encode
from figfold.wire.messages import KnowledgeReply, KnowledgeRequest

# Longest time that a request of a peer is held open until there is a change to report.
REPLY_WAIT_S = 0.5
# Includes the peer's wait and the round trip to another region.
PEER_TIMEOUT_S = 0.9
SOURCE_POLL_S = 0.2  # Between two checks of whether this entry reads the store for its region.
ERROR_PAUSE_S = 0.4
# Between two snapshots of all servers: the shortest time, and the time for each server, so that
# their cost a second is bounded.
SNAPSHOT_INTERVAL_S = 4.0
SNAPSHOT_S_PER_SERVER = 0.04
# The operator's rows count as current until they are older than the long poll for their next
# change by more than this.
OPERATOR_SLACK_S = 1.5
UNKNOWN_AGE_S = 1e6
# How often an entry that reads the store asks a peer after its start, a late row or a restore of
# the store. A peer that reads the store itself may be one read behind.
ASKS_AFTER_LATE_ROW = 3


@define(eq=False)
class StoreSync:
    """Loops that read the store's rows, or get them from a peer, and the answers to peers.

    Attributes
    ----------
    incarnation : int
        Incarnation of this process; generations of the fleet are valid only within one.
    """

    settings: object
    cluster: object
    store_reader: object
    client: object
    metrics: object
    log: object
    incarnation: int
    source_selector: SyncSourceSelector
    # Generations of peers whose changes since then can be applied. A peer that never knew a server
    # does not tell that it was removed, so a server that was added from elsewhere voids them.
    _generation_by_source: dict = field(factory=dict)
    _last_source: str = ""
    # Set by the servers' loop for the operator's loop, so that one read does not delay the other.
    _needs_operator_rows: bool = False
    _last_snapshot_s: float = float("-inf")
    # Green thread that reads the servers' rows while a peer is asked for them.
    _background_read: object = None
    # Green thread that records the use of API keys in the store.
    _recording: object = None
    _asks_left: int = ASKS_AFTER_LATE_ROW
    _late_rows: int = 0
    _era: int = 0

    @classmethod
    def from_config(cls, settings, cluster, store_reader, client, metrics, log, incarnation):
        """Return a synchronisation whose loops have not been started."""
        source_selector = SyncSourceSelector(
            settings.name, settings.region, settings.region_by_place
        )
        return cls(
            settings, cluster, store_reader, client, metrics, log, incarnation, source_selector
        )

    def start(self):
        """Start the loops."""
        eventlet.spawn_n(self._run, "configuration", self._sync_operator_rows)
        eventlet.spawn_n(self._run, "servers", self._sync_servers)

    def handle_request(self, request):
        """Return the reply to a peer, once there is a change for it or after a short wait."""
        started = now_s()
        generation = request.generation if request.incarnation == self.incarnation else 0
        # A stale reply is of no use, so the peer gets it at once and can read the store.
        fresh_s = MAX_SOURCE_AGE_S - self._servers_age_s(started)
        if fresh_s > 0.0 and not self._has_changes(request, generation):
            with Timeout(min(REPLY_WAIT_S, fresh_s), False):
                self.cluster.change_event.wait()
        now = now_s()
        text = b""
        if self._configuration_version() > request.configuration_version:
            text = self.cluster.configuration_text
        reply = KnowledgeReply(
            configuration=text,
            fleet_changes=self.cluster.fleet.update_since(generation, now),
            incarnation=self.incarnation,
            servers_age_s=self._servers_age_s(now),
            operator_age_s=self._operator_age_s(now),
            held_s=now - started,
            configuration_version=self._configuration_version(),
        )
        if text and try_encode(reply).is_err():
            # The peer then reads the configuration from the store.
            return evolve(reply, configuration=b"")
        return reply

    def _has_changes(self, request, generation):
        if self._configuration_version() > request.configuration_version:
            return True
        return generation != self.cluster.fleet.generation

    def _configuration_version(self):
        configuration = self.cluster.configuration
        return configuration.version if configuration else 0

    def _servers_age_s(self, now):
        is_loaded = self.cluster.fleet.is_loaded
        return self.cluster.servers_age_s(now) if is_loaded else UNKNOWN_AGE_S

    def _operator_age_s(self, now):
        if self.cluster.configuration is None:
            return UNKNOWN_AGE_S
        return self.cluster.operator_age_s(now)

    # Synchronisation loops.

    def _run(self, name, step):
        while True:
            try:
                pause_s = step()
            except Exception as error:
                self.metrics.count("loop_errors", loop=name)
                self.log.opt(exception=error).error("loop step failed", loop=name)
                pause_s = ERROR_PAUSE_S
            eventlet.sleep(pause_s)

    def _sync_operator_rows(self):
        if self._current_source() == self.settings.name:
            pause_s = self.store_reader.read_operator_changes()
            self._record_key_use()
            return pause_s
        if self._needs_operator_rows:
            self._needs_operator_rows = False
            self.store_reader.reread_operator_rows()
        return SOURCE_POLL_S

    def _record_key_use(self):
        """Have the use of API keys recorded in the store, without delaying the next reading."""
        is_idle = self._recording is None or self._recording.dead
        if is_idle and self.store_reader.lacks_key_use_record():
            self._recording = eventlet.spawn(self.store_reader.record_key_use)

    def _sync_servers(self):
        started = now_s()
        source = self._current_source()
        if source != self._last_source:
            self.log.bind(source=source, before=self._last_source).info("source-changed")
            self._last_source = source
        peer = source if source != self.settings.name else ""
        if self.cluster.servers_age_s(started) > MAX_SOURCE_AGE_S:
            return SOURCE_POLL_S if self._renew_old_rows(peer) else ERROR_PAUSE_S
        if peer and self._ask_peer(peer):
            self._notify_confirmed()
            return 0.0
        is_read = self._read_servers()
        self._notify_confirmed()
        if not is_read:
            is_renewed = self._ask_fallback()
            return SOURCE_POLL_S if peer and is_renewed else ERROR_PAUSE_S
        self._ask_for_replaced_rows()
        if peer:
            return SOURCE_POLL_S
        return max(0.0, self.settings.server_read_interval_s - (now_s() - started))

    def _notify_confirmed(self):
        """Wake the entries that wait for a reply, since the rows are known to be newer.

        Otherwise the waits of the entries through which rows pass would add up.
        """
        if self.source_selector.has_levels(self.cluster.place_by_live_entry()):
            self.cluster.notify_change()

    def _renew_old_rows(self, peer):
        """Read the store and ask a peer at the same time; return whether the rows are fresh then.

        Either can take as long as its timeout, and the rows are needed at once.
        """
        if self._background_read is None or self._background_read.dead:
            self._background_read = eventlet.spawn(self._read_servers)
        if peer and self._ask_peer(peer):
            return True
        if self._background_read.dead and self._background_read.wait():
            return True
        is_renewed = self._ask_fallback() or self._background_read.wait()
        self._ask_for_replaced_rows()
        return is_renewed

    def _read_servers(self):
        """Read the servers' rows from the store; return whether that succeeded."""
        additions = self.cluster.fleet.additions
        try:
            if not self.store_reader.read_servers():
                return False
        except Exception as error:
            self.metrics.count("loop_errors", loop="servers")
            self.log.opt(exception=error).error("loop step failed", loop="servers")
            return False
        if self.cluster.fleet.additions != additions:
            self._generation_by_source.clear()
        if now_s() - self.cluster.operator_read_s > MAX_SOURCE_AGE_S:
            self._needs_operator_rows = True
        return True

    def _ask_for_replaced_rows(self):
        """Ask a peer for all servers, since it may have seen rows that are no longer in the store.

        A row that the store performs late replaces others, which an entry that has just started or
        was cut off has never read. So does a restore of the store from an older copy.
        """
        late_rows, era = self.store_reader.late_rows, self.store_reader.eras.era
        if (late_rows, era) != (self._late_rows, self._era):
            self._late_rows, self._era = late_rows, era
            self._asks_left = ASKS_AFTER_LATE_ROW
        name = self.source_selector.fallback(self.cluster.place_by_live_entry(), now_s())
        if self._asks_left and name:
            self._generation_by_source.pop(name, None)
            self._asks_left -= self._ask_peer(name)

    def _ask_fallback(self):
        name = self.source_selector.fallback(self.cluster.place_by_live_entry(), now_s())
        return bool(name) and self._ask_peer(name)

    def _current_source(self):
        return self.source_selector.choose(self.cluster.place_by_live_entry(), now_s())

    # Requests to peers.

    def _ask_peer(self, name):
        entry = self.cluster.membership.entry_by_name.get(name)
        if entry is None:
            return False
        servers = len(self.cluster.fleet.server_by_id)
        interval_s = max(SNAPSHOT_INTERVAL_S, SNAPSHOT_S_PER_SERVER * servers)
        if now_s() - self._last_snapshot_s >= interval_s:
            # A regular snapshot corrects whatever an update has missed or got wrong.
            self._generation_by_source.pop(name, None)
            self._last_snapshot_s = now_s()
        incarnation, generation = self._generation_by_source.get(name, (0, 0))
        request = KnowledgeRequest(self._configuration_version(), generation, incarnation)
        asked_s = now_s()
        reply = self.client.call(entry.reach_peer_address, request, PEER_TIMEOUT_S)
        if reply.is_err() or not isinstance(reply.ok(), KnowledgeReply):
            self._skip_source(name, "no-answer")
            return False
        return self._apply_reply(name, reply.ok(), asked_s)

    def _apply_reply(self, name, reply, asked_s):
        """Apply the reply to a request that was sent at ``asked_s``; return whether it was fresh.

        What is newer than the known rows is applied also from a reply that is not fresh.

        The ages count from the earliest time at which the peer can have created the reply, so that
        the transit time can only increase them. Otherwise, entries that ask each other would count
        old rows as fresh without end.
        """
        replied_s = asked_s + reply.held_s
        servers_read_s = replied_s - reply.servers_age_s
        operator_read_s = replied_s - reply.operator_age_s
        if not reply.fleet_changes.store_version:
            # The peer has read nothing, or is of an earlier version, and its rows have no order.
            self._skip_source(name, "no-version")
            return False
        changes = reply.fleet_changes
        is_restored = is_era_start(changes.evacuations_version)
        is_fresh = self._is_fresh(servers_read_s, operator_read_s, is_restored)
        if not is_fresh and not self.cluster.fleet.is_loaded:
            # An entry that knows nothing must not begin with old rows.
            self._skip_stale_source(name, servers_read_s)
            return False
        self._generation_by_source[name] = (reply.incarnation, reply.fleet_changes.generation)
        if reply.configuration:
            read = decode_configuration_text(reply.configuration)
            if read.is_ok():
                self.cluster.apply_configuration(read.ok(), reply.configuration, name)
            else:
                self.metrics.count_code(read.err().code)
        self.store_reader.note_peer_version(changes.store_version)
        self.store_reader.apply_evacuations(
            changes.evacuated_places, changes.evacuations_version, name
        )
        additions = self.cluster.fleet.additions
        self.store_reader.apply_servers(changes, False, name)
        if self.cluster.fleet.additions != additions:
            generation = self._generation_by_source[name]
            self._generation_by_source = {name: generation}
        self.cluster.servers_read_s = max(self.cluster.servers_read_s, servers_read_s)
        if reply.configuration_version > self._configuration_version():
            self._needs_operator_rows = True
        elif reply.configuration_version == self._configuration_version():
            # A peer with an earlier configuration confirms nothing about the one in force.
            self.cluster.operator_read_s = max(self.cluster.operator_read_s, operator_read_s)
            if not is_restored:
                self.store_reader.skip_operator_changes(changes.evacuations_version)
        if not is_fresh:
            # Its rows were applied all the same, since they can be newer than the known ones.
            self._skip_stale_source(name, servers_read_s)
        return is_fresh

    def _is_fresh(self, servers_read_s, operator_read_s, is_restored):
        """Return whether the rows of a peer are fresh.

        Parameters
        ----------
        servers_read_s, operator_read_s : float
        is_restored : bool
            Whether the peer waits for the operator's rows after a restore of the store. What it
            reads meanwhile confirms nothing.
        """
        now = now_s()
        # The operator's rows are confirmed only when the long poll for their next change ends.
        max_operator_age_s = self.settings.configuration_wait_s + OPERATOR_SLACK_S
        if is_restored:
            max_operator_age_s += REREGISTRATION_GRACE_S
        return (
            now - servers_read_s <= MAX_SOURCE_AGE_S and now - operator_read_s <= max_operator_age_s
        )

    def _skip_stale_source(self, name, servers_read_s):
        self._skip_source(name, "stale", round(now_s() - servers_read_s, 2))

    def _skip_source(self, name, why, age_s=None):
        self.source_selector.record_failure(name, now_s())
        self.metrics.count("sources_failed", why=why)
        self.log.bind(source=name, why=why, age_s=age_s).info("source-passed-over")
