"""Tracks the platform's instance list and the health of this place's backend servers."""

from collections.abc import Callable

import eventlet
from attrs import Factory, define

from figfold.core.codes import Code
from figfold.core.model import Role, State
from figfold.core.pool import ServerView
from figfold.entry.clock import now_s
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.metrics import Metrics
from figfold.platform.client import PlatformClient
from figfold.platform.instances import Listing

CONCURRENT_PROBES = 16


@define(eq=False)
class ServerTracker:
    """Keeps the pools' backend servers up to date.

    Attributes
    ----------
    on_instances : callable
        Called with each instance list that was read.
    probe : callable
        Returns the state that the backend server at an address reports, or None.
    server_by_name : dict[str, Instance]
        Backend servers of the entry's place.
    leaving : set[str]
        Names of the servers that showed a sign of leaving.
    """

    store: PlatformClient
    metrics: Metrics
    log: object
    place: str
    dispatcher: Dispatcher
    on_instances: Callable
    probe: Callable
    server_by_name: dict = Factory(dict)
    leaving: set = Factory(set)
    _cached_listing: Listing | None = None

    def read_list(self):
        """Read the instance list once and apply it, even if it has not changed."""
        listed = self.store.read_listing(self._cached_listing)
        if listed.is_ok():
            self._cached_listing = listed.ok()
            # An unchanged list is applied again, since other sources have changed the state
            # meanwhile: entries stop reporting, and servers show signs of leaving.
            self.apply_list(listed.ok().instances)
        elif listed.err().code is Code.STORE_BAD_ANSWER:
            self._cached_listing = None

    def probe_all(self):
        """Probe the health of every backend server of the place once."""
        pool = eventlet.GreenPool(CONCURRENT_PROBES)
        for server in list(self.server_by_name.values()):
            pool.spawn_n(self._probe, server)
        pool.waitall()

    def apply_list(self, instances):
        """Apply the instance list to the membership and to the pools' backend servers."""
        self.on_instances(instances)
        here = [i for i in instances if i.role is Role.SERVER and i.place == self.place]
        self.server_by_name = {instance.name: instance for instance in here}
        for instance in here:
            self.dispatcher.address_by_server[instance.name] = instance.address
        for service, pool in self.dispatcher.pool_by_service.items():
            views = [
                ServerView(i.name, i.state is State.LEAVING) for i in here if i.service == service
            ]
            pool.set_servers(views, now_s())
            self.dispatcher.dispatch_ready(service)
        for instance in here:
            if instance.state is State.LEAVING:
                self.mark_leaving(instance.name)

    def mark_leaving(self, name, from_peer=False):
        """Stop new requests to a server that shows a sign of leaving, seen here or by a peer."""
        server = self.server_by_name.get(name)
        if server is None or server.service not in self.dispatcher.pool_by_service:
            return
        if name not in self.leaving:
            self.leaving.add(name)
            self.log.info("server leaving", server=name)
        self.dispatcher.pool_by_service[server.service].mark_leaving(name, now_s(), from_peer)
        self.dispatcher.dispatch_ready(server.service)

    def _probe(self, server):
        state = self.probe(server.address)
        if state is None:
            self.metrics.count("probes_failed")
        elif state is State.LEAVING:
            self.mark_leaving(server.name)
        elif server.service in self.dispatcher.pool_by_service:
            self.dispatcher.pool_by_service[server.service].mark_live(server.name, now_s())
            self._clear_leaving(server)

    def _clear_leaving(self, server):
        if server.name in self.leaving and server.state is State.LIVE:
            self.leaving.discard(server.name)
            self.log.info("server live again", server=server.name)
