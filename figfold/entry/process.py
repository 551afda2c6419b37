"""The process of an entry: listeners, external clients, graceful stop."""

from ipaddress import ip_network

import eventlet
from attrs import define
from eventlet import wsgi
from eventlet.greenio import GreenSocket
from eventlet.greenthread import GreenThread

from figfold.config.section_settings import Settings
from figfold.entry.admin_app import AdminApp
from figfold.entry.app_errors import AppErrors
from figfold.entry.caller_app import CallerApp
from figfold.entry.clock import MS_PER_S, now_s, wall_s
from figfold.entry.connections import Connections
from figfold.entry.dispatcher import SHED_HEADER
from figfold.entry.http_protocol import make_protocol
from figfold.entry.metrics import Metrics
from figfold.entry.node import EntryDependencies, Node
from figfold.entry.probes import make_probe
from figfold.entry.status import explain_caller, read_health, read_status, refresh_plan
from figfold.entry.status import render_metrics as render_node_metrics
from figfold.platform.client import PlatformClient
from figfold.wire.client import PeerClient
from figfold.wire.server import PeerServer, PeerServerSettings

BACKLOG = 1024
CALLER_SOCKET_TIMEOUT_S = 30.0
STOP_POLL_S = 0.05
# Tables and objects of bookings, which must not delay those of plan and seats at a slow store.
BULK_NAMES = ("bookings", "answer-")


@define(eq=False)
class EntryProcess:
    """One entry with its listeners."""

    settings: Settings
    log: object
    node: Node
    caller_app: CallerApp
    admin_app: AdminApp
    caller_listener: GreenSocket
    admin_listener: GreenSocket
    peer_server: PeerServer
    caller_server: GreenThread | None = None

    @classmethod
    def from_config(cls, settings, log):
        """Return an entry that listens but does not answer yet.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        entry = settings.entry
        caller_listener = _listen(entry.address)
        admin_listener = _listen(entry.admin_address)
        node_of = []
        peer_server = _make_peer_server(settings, lambda message: node_of[0].peers.handle(message))
        peer_server.start()
        addresses = {
            "address": _advertised(entry.advertise_address, caller_listener),
            "admin_address": _advertised(entry.advertise_admin_address, admin_listener),
            "peer_address": _advertised_address(entry.advertise_peer_address, peer_server.address),
        }
        metrics = Metrics()
        node = Node.from_config(
            settings, log, _make_dependencies(settings, addresses, metrics), metrics
        )
        node_of.append(node)
        caller_app = _make_caller_app(settings, node)
        return cls(
            settings,
            log,
            node,
            caller_app,
            _make_admin_app(settings, node, caller_app, peer_server),
            caller_listener,
            admin_listener,
            peer_server,
        )

    def start(self):
        """Start the loops and serve callers and operators."""
        self.node.start()
        self.caller_server = eventlet.spawn(self._serve, self.caller_listener, self.caller_app)
        eventlet.spawn_n(self._serve, self.admin_listener, self.admin_app)

    def ready_line(self):
        """Return the fields of the line by which the platform lists this entry."""
        entry = self.settings.entry
        ready = {"event": "ready", "name": entry.name, "place": entry.place}
        return ready | self.node.dependencies.addresses

    def stop(self):
        """Stop gracefully.

        Withdraw from look-ups, serve until the earlier ones have expired, complete the requests
        in progress, and release the seats.
        """
        grace_s = self.settings.entry.stop_grace_s
        limit = now_s() + grace_s
        self.node.leave()
        eventlet.sleep(min(self.settings.lookup.ttl_ms / MS_PER_S, grace_s))
        self._stop_accepting()
        while self.caller_app.in_progress and now_s() < limit:
            eventlet.sleep(STOP_POLL_S)
        self.node.finish(max(0.0, limit - now_s()))
        self.log.info("stopped", in_progress=self.caller_app.in_progress)

    def _stop_accepting(self):
        # The accepting green thread is killed first, since closing a socket that one waits on
        # raises an error in the hub. When killed, it closes idle connections but no busy ones.
        self.caller_server.kill()
        self.caller_listener.close()

    def _serve(self, listener, app):
        wsgi.server(
            listener,
            app,
            log_output=False,
            protocol=make_protocol(self.node.metrics),
            max_size=self.settings.entry.connection_limit,
            socket_timeout=CALLER_SOCKET_TIMEOUT_S,
            keepalive=True,
            debug=False,
        )


def _listen(address):
    host, port = address.rsplit(":", 1)
    # With SO_REUSEPORT, two processes could share a port, and thereby the right to a seat.
    return eventlet.listen((host.strip("[]"), int(port)), backlog=BACKLOG, reuse_port=False)


def _advertised(advertised, listener):
    host, port = listener.getsockname()[:2]
    return _advertised_address(advertised, f"{host}:{port}")


def _advertised_address(advertised, bound):
    return bound if advertised.endswith(":0") else advertised


def _make_peer_server(settings, handler):
    host, port = settings.entry.peer_address.rsplit(":", 1)
    networks = tuple(ip_network(network) for network in settings.peers.allowed_networks)
    return PeerServer.from_config(PeerServerSettings(host, int(port), networks), handler)


def _make_dependencies(settings, addresses, metrics):
    def count_store(code, operation):
        if int(code):
            metrics.count_code(code, operation=operation)

    store = PlatformClient.from_config(
        settings.platform.url,
        settings.entry.name,
        settings.entry.place,
        settings.platform.timeout_s,
        settings.platform.max_connections,
        count_store,
        BULK_NAMES,
    )
    connections = Connections(
        settings.servers.idle_connection_s,
        settings.entry.answer_buffer_bytes,
        # A refusal that a server writes twice would refuse the next request on the connection.
        allows_reuse=lambda get: get(SHED_HEADER) is None,
    )
    incarnation = int(wall_s() * MS_PER_S)
    return EntryDependencies(
        store, PeerClient.from_config(), connections, make_probe(), addresses, incarnation
    )


def _make_caller_app(settings, node):
    return CallerApp(
        entry_name=settings.entry.name,
        place=settings.entry.place,
        service_by_name=settings.topology.service_by_name,
        look_up=node.router.look_up,
        serve=node.router.serve,
        is_leaving=lambda: node.leaving,
        plan_version=lambda: node.plans.version,
        metrics=node.metrics,
        errors=AppErrors("caller", node.metrics, node.log),
    )


def _make_admin_app(settings, node, caller_app, peer_server):
    counters_by_side = {"server": peer_server.counters, "client": node.dependencies.peers.counters}
    return AdminApp.from_config(
        settings.admin,
        health=lambda: read_health(node),
        status=lambda: read_status(node),
        metrics_text=lambda: render_node_metrics(node, caller_app.in_progress, counters_by_side),
        refresh_plan=lambda: refresh_plan(node),
        accept_offer=node.plans.accept_offer,
        explain=lambda query: explain_caller(node, query),
        metrics=node.metrics,
        errors=AppErrors("admin", node.metrics, node.log),
    )
