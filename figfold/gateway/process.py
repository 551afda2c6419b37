"""Process of a gateway entry: its parts, listeners, loops and graceful stop."""

from ipaddress import ip_network
from random import Random

import eventlet
from attrs import define, evolve, field
from eventlet import wsgi

from figfold.core.confirmation import ConfirmationTracker
from figfold.core.crash_announcements import MAX_RECIPIENTS
from figfold.core.entries import MembershipSettings
from figfold.core.members import NEWS_LIMIT, Members
from figfold.core.model import EntryReport, Instance, Role, ServiceLoad
from figfold.core.names import is_name
from figfold.core.organisations.access import KeyUse, are_keys_confirmed
from figfold.core.quarantine import Quarantine
from figfold.core.regions.balancer import STEP_S
from figfold.core.traffic.configuration import CallerLimits
from figfold.core.traffic.placement import Placement
from figfold.core.traffic.selection import Selector
from figfold.core.traffic.server_limits import ServerLimits
from figfold.core.traffic.server_load import UsualSlowdown
from figfold.core.traffic.splitting import ServiceSplitter
from figfold.entry.answer_memory import AnswerMemory
from figfold.entry.clock import MS_PER_S, now_s, wall_s
from figfold.entry.connections import Connections
from figfold.entry.http_protocol import HEADER_LINE_BYTES, make_protocol
from figfold.entry.loops import run_every
from figfold.entry.metrics import Metrics
from figfold.entry.peer_gossip import PeerGossip
from figfold.gateway.apps import (
    LookupApp,
    MetricsApp,
    ReadyApp,
    RequestApp,
)
from figfold.gateway.bodies import BodyMemoryLimiter
from figfold.gateway.cluster_view import ClusterView
from figfold.gateway.entry_prober import EntryProber
from figfold.gateway.listener import StoppableListener
from figfold.gateway.loop_watch import LoopWatch, WaitingTime
from figfold.gateway.protocol import make_gateway_protocol
from figfold.gateway.quota_exchange import QuotaExchange
from figfold.gateway.region_shares import RegionShares
from figfold.gateway.request_runner import RequestRunner
from figfold.gateway.sender import CONNECT_TIMEOUT_S, Sender
from figfold.gateway.stopping import POLL_S, finish_requests
from figfold.gateway.store_reader import StoreReader
from figfold.gateway.store_sync import StoreSync
from figfold.platform.headers import names_its_request, server_headers
from figfold.platform.rows import RowStore
from figfold.wire.client import PeerClient
from figfold.wire.messages import KnowledgeRequest, MembersRequest, ProbeRequest, QuotaRequest
from figfold.wire.server import PeerServer, PeerServerSettings

BACKLOG = 1024
MAX_CALLER_CONNECTIONS = 1500  # Within the platform's limit on file descriptors.
# Longer than the longest idle time that a configuration may set for callers.
CALLER_SOCKET_TIMEOUT_S = 120.0
ANSWER_BUFFER_BYTES = 1 << 20
# Fractions of the process's memory that all answers of backend servers, and all bodies of callers'
# requests, may take up together.
ANSWER_MEMORY_FRACTION = 0.2
BODY_MEMORY_FRACTION = 0.35
BYTES_PER_MB = 1 << 20
IDLE_CONNECTION_S = 30.0
IDLE_SWEEP_INTERVAL_S = 5.0
# Fractions of the stop's grace time: until new requests are refused, until all requests have their
# final answer, and until the process ends.
SERVE_FRACTION = 0.5
ANSWER_FRACTION = 0.93
FINISH_FRACTION = 0.98
REGISTER_RETRY_S = 1.0
CONFIRMATION_TTL_S = 4.0
# Time after which an entry that is dead or has left is forgotten.
FORGET_ENTRY_S = 120.0
MAX_LOGGED_CAUSES = 100  # Causes of failed peer messages that are logged once each.
MAX_CAUSE_CHARS = 400
# Between two estimates of the region's free slots, which look at all of its servers.
LOADS_INTERVAL_S = 1.0
# Settings that an entry writes to its row in the store.
REGISTERED_SETTINGS = ("place", "peer_address", "metrics_address")
# Settings that need a restart to change.
RESTART_SETTINGS = (
    "name",
    "place",
    "caller_address",
    "ready_address",
    "lookup_address",
    "peer_address",
    "metrics_address",
    "store_address",
    "store_timeout_s",
    "memory_mb",
    "region_by_place",
    "peers",
)


@define(eq=False)
class GatewayProcess:
    """One entry with all its parts and listeners.

    Attributes
    ----------
    stage : str
        ``serving``, ``leaving`` or ``closed``; see `RequestApp`.
    """

    settings: object
    log: object
    event_log: object
    metrics: Metrics
    cluster: ClusterView = None
    request_runner: RequestRunner = None
    store_reader: StoreReader = None
    peers: PeerGossip = None
    prober: EntryProber = None
    app: RequestApp = None
    lookup: LookupApp = None
    peer_server: PeerServer = None
    connections: Connections = None
    store_sync: StoreSync = None
    quota_exchange: QuotaExchange = None
    confirmation: ConfirmationTracker = None
    quarantine: Quarantine = None
    stage: str = "serving"
    _listeners: list = field(factory=list)
    _caller_listener: StoppableListener = None
    _loads_at_s: float = float("-inf")
    _last_loads: tuple = ()
    _logged_causes: set = field(factory=set)
    _is_registering_again: bool = False

    @classmethod
    def from_config(cls, settings, log, event_log):
        """Return an entry with all its parts, which does not listen yet."""
        process = cls(settings, log, event_log, Metrics())
        process._make_cluster_view()
        process._make_peers()
        process._make_request_runner()
        return process

    # Assembly.

    def _make_cluster_view(self):
        self.confirmation = ConfirmationTracker.from_config(CONFIRMATION_TTL_S)
        self.cluster = ClusterView.from_config(self.settings, self.log, self._on_configuration)
        store = RowStore.from_config(
            self.settings.store_address, self.settings.store_timeout_s, self._count_store_call
        )
        self.store_reader = StoreReader(
            store,
            self.cluster,
            self.settings,
            self.metrics,
            self.log,
            on_confirmed=self.confirmation.record_store_read,
            on_server_removed=self._on_server_removed,
            eras=store.eras,
            on_new_era=lambda: eventlet.spawn_n(self._register_again),
        )

    def _make_peers(self):
        settings = self.settings
        started_ms = int(wall_s() * MS_PER_S)
        own_report = EntryReport(
            name=settings.name,
            place=settings.place,
            incarnation=started_ms,
            revision=started_ms,
            address=settings.caller_address,
            peer_address=settings.peer_address,
            admin_address=settings.metrics_address,
            leaving=False,
            plan_version=0,
            plan_digest="",
            store_age_s=0.0,
        )
        options = MembershipSettings(
            tick_s=settings.peers.interval_s,
            suspect_after_s=settings.peers.suspect_after_s,
            start_grace_s=0.0,
            fanout=settings.peers.fanout,
            forget_after_s=FORGET_ENTRY_S,
        )
        random = Random(settings.name)
        # Entries draw different numbers, and tests are repeatable.
        members = Members.from_config(options, own_report, random.sample)
        self.cluster.membership = members
        self.quarantine = Quarantine.from_config()
        self.peers = PeerGossip(
            membership=self.cluster.membership,
            confirmation=self.confirmation,
            client=PeerClient.from_config(),
            metrics=self.metrics,
            log=self.log,
            timeout_s=settings.peers.timeout_s,
            report_parts=self._report_parts,
            random=random,
            on_leaving_servers=lambda _server, from_peer: None,
            on_quarantine=self._on_quarantine,
            on_strike=self.quarantine.merge_strike,
            on_round_trip=self.cluster.record_round_trip,
            on_loads=lambda _name, _loads: None,
            on_later_plan=lambda _version, _address: None,
            known_entries_limit=NEWS_LIMIT,
        )
        self.prober = EntryProber(self.peers, members, self.metrics, self.log)
        self.peers.on_merged = self.prober.after_merge
        self.peers.corrections = self.prober.corrections
        self.peers.crash_recipients = lambda: members.others(MAX_RECIPIENTS, now_s())
        host, port = settings.peer_address.rsplit(":", 1)
        networks = tuple(ip_network(text) for text in settings.peers.allowed_networks)
        self.peer_server = PeerServer.from_config(
            PeerServerSettings(host, int(port), networks),
            self.peers.handle,
            self._on_peer_message_failure,
        )

        self.store_sync = StoreSync.from_config(
            settings,
            self.cluster,
            self.store_reader,
            self.peers.client,
            self.metrics,
            self.log,
            own_report.incarnation,
        )
        self.quota_exchange = QuotaExchange.from_config(
            settings,
            self.cluster,
            self.peers.client,
            self.metrics,
            self.log,
            own_report.incarnation,
        )
        self.peers.handler_by_type = {
            KnowledgeRequest: self.store_sync.handle_request,
            ProbeRequest: self.prober.handle_probe,
            MembersRequest: self.prober.handle_members_request,
            QuotaRequest: self.quota_exchange.handle_request,
        }

    def _make_request_runner(self):
        settings = self.settings
        self.connections = Connections(
            IDLE_CONNECTION_S,
            ANSWER_BUFFER_BYTES,
            AnswerMemory(_memory_bytes(settings, ANSWER_MEMORY_FRACTION)),
            headers_at_send=server_headers,
            allows_reuse=names_its_request,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        selector = Selector(
            self.cluster.fleet,
            Placement(settings.region, settings.region_by_place),
            settings.region_by_place,
            self.cluster.round_trip_s,
            ServerLimits(settings.name),
            self.cluster.ranking,
            usual_slowdown=UsualSlowdown(settings.region_balancing),
        )

        def part_of_limit(server_id):
            return selector.part_of_limit(server_id, self.cluster.live_entry_regions())

        selector.body_part = part_of_limit
        sender = Sender(
            self.connections, self.cluster.fleet, selector.limits, part_of_limit, self.log
        )
        self.request_runner = RequestRunner(
            cluster=self.cluster,
            selector=selector,
            sender=sender,
            splitter=ServiceSplitter(),
            quarantine=self.quarantine,
            metrics=self.metrics,
            log=self.log,
            settings=settings,
            on_suspected_crash=self.peers.announce_crash,
            region_shares=RegionShares.from_config(
                settings, self.cluster, selector.placement, self.log
            ),
            acquire_quota=self.quota_exchange.acquire,
        )
        self.app = RequestApp(
            serve=self.request_runner.serve,
            stage=lambda: self.stage,
            metrics=self.metrics,
            log=self.log,
            limits=self._limits,
            knowledge=self.cluster.knowledge,
            answer_memory=self.connections.memory,
            body_memory=BodyMemoryLimiter(_memory_bytes(settings, BODY_MEMORY_FRACTION)),
        )

    # Running.

    def start(self):
        """Start the listeners and the loops."""
        settings = self.settings
        self.peer_server.start()
        protocol = make_protocol(self.metrics)
        self._caller_listener = self._serve(
            settings.caller_address,
            self.app,
            make_gateway_protocol(self.metrics, self._limits, self._may_overlap),
        )
        self._serve(settings.ready_address, ReadyApp(self.is_ready), protocol)
        self.lookup = LookupApp(self.look_up, settings.lookup_ttl_s, self.metrics)
        self._serve(settings.lookup_address, self.lookup, protocol)
        self._serve(settings.metrics_address, MetricsApp(self._render), protocol)
        self.store_sync.start()
        eventlet.spawn_n(LoopWatch(self.metrics, self.log, WaitingTime()).run)
        eventlet.spawn_n(self._register)
        self._start_loop("peers", settings.peers.interval_s, self.prober.start_round)
        self._start_loop("regions", STEP_S, self.request_runner.region_shares.update)
        self._start_loop(
            "idle", IDLE_SWEEP_INTERVAL_S, lambda: self.connections.close_idle(now_s())
        )
        self.log.bind(place=settings.place, store=settings.store_address).info("started")

    def stop(self):
        """Stop gracefully.

        The entry leaves the look-ups but keeps serving, then refuses new requests, and ends once
        those in progress have ended or most of the grace time is over. Requests that would still
        be in progress then get their final answer before.
        """
        grace_s = self.settings.stop_grace_s
        began = now_s()
        self.stage = "leaving"
        self.log.bind(in_progress=self.app.in_progress, grace_s=grace_s).info("leaving")
        own = self.cluster.membership.own
        self.cluster.membership.own = evolve(own, leaving=True)
        self.prober.announce()
        self.request_runner.answer_until(began + ANSWER_FRACTION * grace_s)
        while now_s() < began + SERVE_FRACTION * grace_s:
            eventlet.sleep(POLL_S)
        self.stage = "closed"
        finish_requests(
            self.app,
            self._caller_listener,
            began + ANSWER_FRACTION * grace_s,
            began + FINISH_FRACTION * grace_s,
        )
        self.log.bind(in_progress=self.app.in_progress).info("stopped")
        self.event_log.flush()

    def reload(self, settings):
        """Put all settings in force, or none; return the changed ones that need a restart.

        Names and addresses are bound or announced to peers at the start, and need a new process.
        """
        needing_restart = [
            one for one in RESTART_SETTINGS if getattr(settings, one) != getattr(self.settings, one)
        ]
        if needing_restart:
            return needing_restart
        self.settings = settings
        self.request_runner.apply_settings(settings)
        self.request_runner.selector.usual_slowdown.set_learned(settings.region_balancing)
        self.quota_exchange.apply_settings(settings)
        self.store_sync.settings = settings
        self.store_reader.settings = settings
        self.lookup.ttl_s = settings.lookup_ttl_s
        return []

    def is_ready(self):
        """Return whether this entry is ready for callers."""
        is_loaded = self.cluster.configuration is not None and self.cluster.fleet.is_loaded
        return is_loaded and self.stage == "serving"

    def look_up(self, place, region):
        """Return the addresses of live entries in the place, else in the region, else anywhere."""
        without = "" if self._serves_keys() else self.settings.caller_address
        return self.cluster.entry_addresses(place, region, without)

    def _serves_keys(self):
        """Return whether this entry is of use to callers, as far as API keys are concerned."""
        configuration = self.cluster.configuration
        if configuration is None or not configuration.has_organisations:
            return True
        return configuration.has_anonymous_routes or self._confirms_keys()

    def _confirms_keys(self):
        """Return whether requests with API keys are not refused as unconfirmed."""
        key_use = self.cluster.key_use
        if key_use is not KeyUse.USED:
            return key_use is KeyUse.UNUSED
        return are_keys_confirmed(
            self.cluster.operator_age_s(now_s()), self.settings.revocation_bound_s
        )

    def _serve(self, address, app, protocol):
        host, port = address.rsplit(":", 1)
        listener = StoppableListener(
            eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)
        )
        self._listeners.append(listener)
        eventlet.spawn_n(
            wsgi.server,
            listener,
            app,
            log_output=False,
            protocol=protocol,
            max_size=MAX_CALLER_CONNECTIONS,
            socket_timeout=CALLER_SOCKET_TIMEOUT_S,
            url_length_limit=HEADER_LINE_BYTES,
            keepalive=True,
            debug=False,
            capitalize_response_headers=False,
        )
        return listener

    def _start_loop(self, name, interval_s, step):
        eventlet.spawn_n(run_every, interval_s, step, name, self.metrics, self.log)

    def _register(self):
        """Write this entry's row until the store has it, and add the other entries as peers."""
        while True:
            rows = self.store_reader.register(self.settings.name, self._registration())
            if rows is not None:
                break
            eventlet.sleep(REGISTER_RETRY_S)
        self.cluster.registered_entries = {row.name for row in rows}
        instances = [
            Instance(row.name, Role.ENTRY, row.place, peer_address=row.peer_address)
            for row in rows
            if row.name != self.settings.name
        ]
        members = self.cluster.membership
        members.update_from_list(instances, now_s())
        registered = [members.entry_by_name[one.name] for one in instances]
        self.prober.announce(members.sample(registered, len(registered)))
        self.log.bind(entries=len(rows)).info("registered")

    def _register_again(self):
        """Write this entry's row again, since the store was restored from an older copy."""
        if self._is_registering_again:
            return
        self._is_registering_again = True
        try:
            while not self.store_reader.is_registered():
                if not self.store_reader.write_entry_row(self.settings.name, self._registration()):
                    eventlet.sleep(REGISTER_RETRY_S)
        finally:
            self._is_registering_again = False

    def _registration(self):
        return {name: getattr(self.settings, name) for name in REGISTERED_SETTINGS}

    # Callbacks between the parts.

    def _on_configuration(self, version):
        self.confirmation.set_version_in_force(version)
        self.request_runner.retain_routes(self.cluster.configuration.route_by_name)
        self.quota_exchange.apply_configuration(self.cluster.configuration)
        membership = self.cluster.membership
        membership.own = evolve(membership.own, plan_version=version)

    def _on_server_removed(self, server_id):
        self.request_runner.selector.remove_server(server_id)
        self.request_runner.sender.remove_server(server_id)

    def _on_peer_message_failure(self, kind, cause):
        self.metrics.count("peer_message_failures", kind=kind)
        if len(self._logged_causes) < MAX_LOGGED_CAUSES and cause not in self._logged_causes:
            self._logged_causes.add(cause)
            self.log.bind(kind=kind, cause=cause[:MAX_CAUSE_CHARS]).error("peer-message-failed")

    def _on_quarantine(self, fingerprint, expires_in_s):
        self.quarantine.merge_quarantined(fingerprint, expires_in_s, now_s())

    def _report_parts(self, now):
        return {
            "leaving": self.stage != "serving",
            "plan_digest": "",
            "loads": self._loads(now),
            "quarantined": self.quarantine.entries(now),
            "strikes": self.quarantine.strikes(now),
            "members_digest": self.cluster.membership.own_digest(),
            "settled_s": self.cluster.membership.settled_s(now),
        }

    def _loads(self, now):
        """Return the free slots of this region by service, and what is measured of its demand."""
        configuration = self.cluster.configuration
        if now - self._loads_at_s < LOADS_INTERVAL_S:
            return self._last_loads
        names = configuration.service_by_name if configuration else ()
        services = sorted(name for name in names if is_name(name))
        selector = self.request_runner.selector
        self._loads_at_s = now
        self._last_loads = tuple(
            ServiceLoad(
                name,
                0,
                0,
                int(selector.free_slots(name, self.settings.region, now)),
                self.request_runner.region_shares.statement(name, now),
            )
            for name in services
        )
        return self._last_loads

    def _may_overlap(self, host, path):
        # While the entry stops, each answer ends its connection.
        return self.stage == "serving" and self.request_runner.is_repeatable(host, path)

    def _limits(self):
        configuration = self.cluster.configuration
        return configuration.limits if configuration else CallerLimits()

    def _count_store_call(self, code, operation):
        self.metrics.count("store_calls", operation=operation, code=str(int(code)))

    def _render(self):
        now = now_s()
        configuration = self.cluster.configuration
        return self.metrics.render(
            (
                ("requests_in_progress", {}, self.app.in_progress),
                ("configuration_version", {}, configuration.version if configuration else 0),
                ("servers", {}, len(self.cluster.fleet.server_by_id)),
                ("servers_age_seconds", {}, self.cluster.servers_age_s(now)),
                ("operator_age_seconds", {}, self.cluster.operator_age_s(now)),
                (
                    "organisations",
                    {},
                    len(configuration.organisation_by_name) if configuration else 0,
                ),
                ("keys_confirmed", {}, int(self._confirms_keys())),
                ("store_era", {}, self.store_reader.eras.era),
                ("quota_borrowers", {}, self.quota_exchange.ledger.borrower_count),
                ("live_entries", {}, len(self.cluster.live_entry_places())),
                ("answer_bytes", {}, self.connections.memory.held_bytes),
                ("request_body_bytes", {}, self.app.body_memory.held_bytes),
                ("connections_opened", {}, self.connections.opened),
                ("log_lines_dropped", {}, self.event_log.total_dropped),
                *self.request_runner.admission.gauges(),
                *self.request_runner.region_shares.gauges(),
            )
        )


def _memory_bytes(settings, fraction):
    return int(fraction * settings.memory_mb * BYTES_PER_MB)
