"""The process of an entry on the users' platform: listeners, loops and the graceful stop."""

from ipaddress import ip_network
from random import Random

import eventlet
from attrs import define, evolve, field
from eventlet import wsgi

from figfold.core.confirmation import Confirmation
from figfold.core.entries import MembershipSettings
from figfold.core.membership import Membership
from figfold.core.model import EntryReport, Instance, Role, ServiceLoad
from figfold.core.quarantine import Quarantine
from figfold.core.traffic.configuration import CallerLimits
from figfold.core.traffic.placement import Placement
from figfold.core.traffic.selection import Selector
from figfold.core.traffic.splitting import Splitter
from figfold.entry.clock import MS_PER_S, now_s, wall_s
from figfold.entry.connections import Connections
from figfold.entry.http_protocol import HEADER_LINE_BYTES, make_protocol
from figfold.entry.loops import run_every
from figfold.entry.metrics import Metrics
from figfold.entry.peer_keeper import PeerKeeper
from figfold.gateway.apps import (
    LookupApp,
    MetricsApp,
    ReadyApp,
    RequestApp,
    make_gateway_protocol,
)
from figfold.gateway.beliefs import Beliefs
from figfold.gateway.knowledge import KnowledgeKeeper
from figfold.gateway.runner import Runner
from figfold.gateway.sender import CONNECT_TIMEOUT_S, Sender
from figfold.gateway.store_watch import StoreWatch
from figfold.platform.headers import server_headers
from figfold.platform.rows import RowStore
from figfold.wire.client import PeerClient
from figfold.wire.messages import KnowledgeRequest
from figfold.wire.server import PeerServer, PeerServerSettings

BACKLOG = 1024
CONNECTION_LIMIT = 1500  # Open connections of callers, inside the platform's descriptors.
# Longer than the longest idle time that a configuration may grant callers.
CALLER_IDLE_S = 120.0
ANSWER_BUFFER_BYTES = 1 << 20
IDLE_CONNECTION_S = 30.0
IDLE_SWEEP_S = 5.0
# Parts of the grace time of a stop: until new requests are refused, and until the process ends.
SERVE_PART = 0.5
FINISH_PART = 0.95
STOP_POLL_S = 0.02
REGISTER_PAUSE_S = 1.0
UNCONFIRMED_S = 4.0
# What an entry tells of itself in the store.
REGISTERED = ("place", "peer_address", "metrics_address")
# Options that a running process cannot change.
FIXED = (
    "name",
    "place",
    "caller_address",
    "ready_address",
    "lookup_address",
    "peer_address",
    "metrics_address",
    "store_address",
    "store_timeout_s",
    "region_by_place",
    "peers",
)


@define(eq=False)
class GatewayProcess:
    """One entry with its listeners."""

    settings: object
    log: object
    event_log: object
    metrics: Metrics
    beliefs: Beliefs = None
    runner: Runner = None
    watch: StoreWatch = None
    peers: PeerKeeper = None
    app: RequestApp = None
    lookup: LookupApp = None
    peer_server: PeerServer = None
    connections: Connections = None
    knowledge: KnowledgeKeeper = None
    confirmation: Confirmation = None
    quarantine: Quarantine = None
    stage: str = "serving"
    _listeners: list = field(factory=list)

    @classmethod
    def from_config(cls, settings, log, event_log):
        """Return an entry whose parts are made and that does not listen yet."""
        process = cls(settings, log, event_log, Metrics())
        process._make_beliefs()
        process._make_peers()
        process._make_runner()
        return process

    # Assembly.

    def _make_beliefs(self):
        self.confirmation = Confirmation.from_config(UNCONFIRMED_S)
        self.beliefs = Beliefs.from_config(self.settings, self.log, self._on_configuration)
        store = RowStore.from_config(
            self.settings.store_address, self.settings.store_timeout_s, self._count_store
        )
        self.watch = StoreWatch(
            store,
            self.beliefs,
            self.settings,
            self.metrics,
            self.log,
            on_confirmed=self.confirmation.store_confirmed,
            on_server_gone=self._on_server_gone,
        )

    def _make_peers(self):
        settings = self.settings
        own = EntryReport(
            name=settings.name,
            place=settings.place,
            incarnation=int(wall_s() * MS_PER_S),
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
        )
        self.beliefs.membership = Membership.from_config(options, own)
        self.quarantine = Quarantine.from_config()
        self.peers = PeerKeeper(
            membership=self.beliefs.membership,
            confirmation=self.confirmation,
            client=PeerClient.from_config(),
            metrics=self.metrics,
            log=self.log,
            timeout_s=settings.peers.timeout_s,
            report_parts=self._report_parts,
            # Seeded by the name, so that each entry draws others and a test can be repeated.
            random=Random(settings.name),
            on_leaving_servers=lambda _server, from_peer: None,
            on_quarantine=self._on_quarantine,
            on_strike=self.quarantine.merge_strike,
            on_round_trip=self.beliefs.note_round_trip,
            on_loads=lambda _name, _loads: None,
            on_later_plan=lambda _version, _address: None,
        )
        host, port = settings.peer_address.rsplit(":", 1)
        networks = tuple(ip_network(text) for text in settings.peers.allowed_networks)
        self.peer_server = PeerServer.from_config(
            PeerServerSettings(host, int(port), networks), self.peers.handle
        )

        self.knowledge = KnowledgeKeeper.from_config(
            settings,
            self.beliefs,
            self.watch,
            self.peers.client,
            self.metrics,
            self.log,
            own.incarnation,
        )
        self.peers.handler_by_type = {KnowledgeRequest: self.knowledge.answer}

    def _make_runner(self):
        settings = self.settings
        self.connections = Connections(
            IDLE_CONNECTION_S,
            ANSWER_BUFFER_BYTES,
            headers_at_send=server_headers,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self.runner = Runner(
            beliefs=self.beliefs,
            selector=Selector(
                self.beliefs.fleet,
                Placement(settings.region, settings.place, settings.region_by_place),
                settings.region_by_place,
                self.beliefs.distance_s,
            ),
            sender=Sender(self.connections, self.beliefs.fleet),
            splitter=Splitter(),
            quarantine=self.quarantine,
            metrics=self.metrics,
            log=self.log,
            settings=settings,
            on_crash_sign=self.peers.announce_crash,
        )
        self.app = RequestApp(
            serve=self.runner.serve,
            stage=lambda: self.stage,
            metrics=self.metrics,
            log=self.log,
            limits=self._limits,
        )

    # Running.

    def start(self):
        """Listen, and start every loop."""
        settings = self.settings
        self.peer_server.start()
        protocol = make_protocol(self.metrics)
        self._serve(
            settings.caller_address, self.app, make_gateway_protocol(self.metrics, self._limits)
        )
        self._serve(settings.ready_address, ReadyApp(self.is_ready), protocol)
        self.lookup = LookupApp(self.look_up, settings.lookup_ttl_s, self.metrics)
        self._serve(settings.lookup_address, self.lookup, protocol)
        self._serve(settings.metrics_address, MetricsApp(self._render), protocol)
        self.knowledge.start()
        eventlet.spawn_n(self._register)
        self._loop("peers", settings.peers.interval_s, self.peers.contact)
        self._loop("idle", IDLE_SWEEP_S, lambda: self.connections.close_idle(now_s()))
        self.log.bind(place=settings.place, store=settings.store_address).info("started")

    def stop(self):
        """Leave: out of look-ups, serve on, then refuse what comes, and end."""
        grace_s = self.settings.stop_grace_s
        began = now_s()
        self.stage = "leaving"
        self.log.bind(in_progress=self.app.in_progress, grace_s=grace_s).info("leaving")
        own = self.beliefs.membership.own
        self.beliefs.membership.own = evolve(own, leaving=True)
        self.peers.announce()
        while now_s() < began + SERVE_PART * grace_s:
            eventlet.sleep(STOP_POLL_S)
        self.stage = "closed"
        while self.app.in_progress and now_s() < began + FINISH_PART * grace_s:
            eventlet.sleep(STOP_POLL_S)
        self.log.bind(in_progress=self.app.in_progress).info("stopped")
        self.event_log.flush()

    def reload(self, settings):
        """Put checked settings in force, whole or not at all; return the options that forbid it.

        Addresses and names are bound or told to others at the start, and need a new process.
        """
        fixed = [one for one in FIXED if getattr(settings, one) != getattr(self.settings, one)]
        if fixed:
            return fixed
        self.settings = settings
        self.runner.take_settings(settings)
        self.knowledge.settings = settings
        self.watch.settings = settings
        self.lookup.ttl_s = settings.lookup_ttl_s
        return []

    def is_ready(self):
        """Return whether callers may be sent here."""
        known = self.beliefs.configuration is not None and self.beliefs.fleet.is_known
        return known and self.stage == "serving"

    def look_up(self, place, region):
        """Return the addresses of live entries, those next to the caller or else all."""
        live = self.beliefs.membership.live_entries(now_s())
        entries = [(entry.place, entry.address) for entry in live.values() if entry.address]
        regions = self.settings.region_by_place
        near = [address for where, address in entries if where == place]
        if not near:
            near = [address for where, address in entries if regions.get(where) == region]
        return near or [address for _, address in entries]

    def _serve(self, address, app, protocol):
        host, port = address.rsplit(":", 1)
        listener = eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)
        self._listeners.append(listener)
        eventlet.spawn_n(
            wsgi.server,
            listener,
            app,
            log_output=False,
            protocol=protocol,
            max_size=CONNECTION_LIMIT,
            socket_timeout=CALLER_IDLE_S,
            url_length_limit=HEADER_LINE_BYTES,
            keepalive=True,
            debug=False,
            capitalize_response_headers=False,
        )

    def _loop(self, name, interval_s, step):
        eventlet.spawn_n(run_every, interval_s, step, name, self.metrics, self.log)

    def _register(self):
        """Write the own row until the store has it, and learn of the others."""
        settings = self.settings
        value = {name: getattr(settings, name) for name in REGISTERED}
        while True:
            rows = self.watch.register(self.settings.name, value)
            if rows is not None:
                break
            eventlet.sleep(REGISTER_PAUSE_S)
        self.beliefs.registered_entries = {row.name for row in rows}
        instances = [
            Instance(row.name, Role.ENTRY, row.place, peer_address=row.peer_address)
            for row in rows
            if row.name != self.settings.name
        ]
        self.beliefs.membership.update_list(instances, now_s())
        self.peers.announce()
        self.log.bind(entries=len(rows)).info("registered")

    # What the parts ask of each other.

    def _on_configuration(self, version):
        self.confirmation.plan_taken(version)
        self.runner.keep_routes(self.beliefs.configuration.route_by_name)
        membership = self.beliefs.membership
        membership.own = evolve(membership.own, plan_version=version)
        self.peers.announce_plan(version)

    def _on_server_gone(self, server_id):
        self.runner.selector.forget(server_id)
        self.runner.sender.forget(server_id)

    def _on_quarantine(self, fingerprint, expires_in_s):
        self.quarantine.merge(fingerprint, expires_in_s, now_s())

    def _report_parts(self, now):
        return {
            "leaving": self.stage != "serving",
            "plan_digest": "",
            "loads": self._loads(now),
            "quarantined": self.quarantine.entries(now),
            "strikes": self.quarantine.strikes(now),
        }

    def _loads(self, now):
        """Return the slots of the own region that are free, for entries whose own are not."""
        configuration = self.beliefs.configuration
        services = sorted(configuration.service_by_name) if configuration else ()
        selector = self.runner.selector
        return tuple(
            ServiceLoad(name, 0, 0, int(selector.free_slots(name, self.settings.region, now)))
            for name in services
        )

    def _limits(self):
        configuration = self.beliefs.configuration
        return configuration.limits if configuration else CallerLimits()

    def _count_store(self, code, operation):
        self.metrics.count("store_calls", operation=operation, code=str(int(code)))

    def _render(self):
        now = now_s()
        configuration = self.beliefs.configuration
        return self.metrics.render(
            (
                ("requests_in_progress", {}, self.app.in_progress),
                ("configuration_version", {}, configuration.version if configuration else 0),
                ("servers", {}, len(self.beliefs.fleet.server_by_id)),
                ("servers_age_seconds", {}, self.beliefs.servers_age_s(now)),
                ("live_entries", {}, len(self.beliefs.live_places())),
                ("request_body_bytes", {}, self.app.bodies.held_bytes),
                ("connections_opened", {}, self.connections.opened),
                ("log_lines_dropped", {}, self.event_log.total_dropped),
            )
        )
