"""Assembles one entry from its settings and its external dependencies, and runs its loops."""

from collections.abc import Callable
from itertools import count
from random import Random

import eventlet
from attrs import define, evolve, frozen

from figfold.config.section_settings import Settings
from figfold.core.bookings import ClaimRegistry
from figfold.core.confirmation import ConfirmationTracker, StoreHealth
from figfold.core.entries import MembershipSettings
from figfold.core.membership import Membership
from figfold.core.model import EntryReport
from figfold.core.plan import PlanInForce
from figfold.core.pool import PoolOptions, ServicePool
from figfold.core.quarantine import Quarantine
from figfold.core.seats import SeatLeases, SeatOptions
from figfold.core.steering import SteeringCache
from figfold.entry.booking_runner import BookingRunner
from figfold.entry.claim_finalizer import ClaimFinalizer
from figfold.entry.clock import now_s
from figfold.entry.connections import Connections
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.forwarding import Forwarder
from figfold.entry.link_admission import LinkAdmission
from figfold.entry.live_entry_cache import LiveEntryCache
from figfold.entry.loops import run_every
from figfold.entry.metrics import Metrics
from figfold.entry.peer_gossip import PeerGossip
from figfold.entry.permit_allocator import PermitAllocator
from figfold.entry.plan_tracker import PlanTracker
from figfold.entry.router import Router
from figfold.entry.seat_manager import TICK_S as SEAT_TICK_S
from figfold.entry.seat_manager import SeatManager
from figfold.entry.server_tracker import ServerTracker
from figfold.entry.spillover import SpilloverSelector
from figfold.platform.client import PlatformClient
from figfold.wire.client import PeerClient
from figfold.wire.messages import KeyQuery, PlanRequest

CLOSE_IDLE_INTERVAL_S = 5.0
DRAIN_POLL_S = 0.05


@frozen
class EntryDependencies:
    """Clients and identity of an entry that the process provides; tests replace them by fakes.

    Attributes
    ----------
    store : PlatformClient
    peers : PeerClient
    connections : Connections
    probe : callable
        Returns the state that the backend server at an address reports, or None.
    addresses : dict[str, str]
        The advertised addresses for callers, entries and operators, by the name of their option.
    incarnation : int
        Start time of the process in milliseconds.
    """

    store: PlatformClient
    peers: PeerClient
    connections: Connections
    probe: Callable
    addresses: dict
    incarnation: int


@define(eq=False)
class Node:
    """One entry: the components that its loops and listeners share."""

    settings: Settings
    log: object
    dependencies: EntryDependencies
    metrics: Metrics
    dispatcher: Dispatcher = None
    plans: PlanTracker = None
    peers: PeerGossip = None
    seats: SeatManager = None
    servers: ServerTracker = None
    bookings: BookingRunner = None
    finalizer: ClaimFinalizer = None
    router: Router = None
    quarantine: Quarantine = None
    leaving: bool = False
    permits: PermitAllocator = None

    @classmethod
    def from_config(cls, settings, log, dependencies, metrics):
        """Return an entry with all its components, whose loops do not run yet."""
        node = cls(settings, log, dependencies, metrics)
        node._make_plans()
        node._make_dispatcher()
        node._make_peers()
        node._make_seats()
        node._make_bookings()
        node._make_router()
        return node

    # Assembly of the components.

    def _make_plans(self):
        self.plans = PlanTracker(
            store=self.dependencies.store,
            peers=self.dependencies.peers,
            metrics=self.metrics,
            log=self.log,
            state=PlanInForce(),
            confirmation=ConfirmationTracker.from_config(self.settings.plan.confirm_ttl_s),
            health=StoreHealth(),
            on_change=self._on_plan_change,
            peer_timeout_s=self.settings.peers.timeout_s,
        )

    def _make_dispatcher(self):
        settings = self.settings
        self.quarantine = Quarantine.from_config(quarantine_s=settings.quarantine.expiry_s)
        options = PoolOptions(
            queue_limit=settings.queue.limit,
            long_share_percent=int(settings.queue.long_share_percent),
            hedge_percent=settings.hedge.percent,
            retry_percent=settings.retry.percent,
            slow_factor=settings.servers.slow_factor,
            slow_start_s=settings.servers.slow_start_s,
        )
        services = settings.topology.service_by_name
        pools = {
            service.name: ServicePool.from_config(service, options, self.quarantine)
            for service in services.values()
        }
        self.dispatcher = Dispatcher(
            pools,
            self.dependencies.connections,
            self.metrics,
            settings.entry.name,
            settings.entry.place,
            service_by_name=services,
            may_dispatch=self._may_dispatch,
            on_suspected_crash=lambda: self.peers.announce_crash(),
        )
        self.servers = ServerTracker(
            self.dependencies.store,
            self.metrics,
            self.log,
            settings.entry.place,
            self.dispatcher,
            lambda instances: self.peers.membership.update_from_list(instances, now_s()),
            self.dependencies.probe,
        )

    def _make_peers(self):
        entry = self.settings.entry
        peers = self.settings.peers
        own = EntryReport(
            name=entry.name,
            place=entry.place,
            incarnation=self.dependencies.incarnation,
            address=self.dependencies.addresses["address"],
            peer_address=self.dependencies.addresses["peer_address"],
            admin_address=self.dependencies.addresses["admin_address"],
            leaving=False,
            plan_version=0,
            plan_digest="",
            store_age_s=0.0,
        )
        options = MembershipSettings(
            tick_s=peers.interval_s, suspect_after_s=peers.suspect_after_s, fanout=peers.fanout
        )
        self.peers = PeerGossip(
            membership=Membership.from_config(options, own),
            confirmation=self.plans.confirmation,
            client=self.dependencies.peers,
            metrics=self.metrics,
            log=self.log,
            timeout_s=peers.timeout_s,
            report_parts=self._report_parts,
            # Seeded by the name, so that entries draw differently and tests are repeatable.
            random=Random(entry.name),
            on_leaving_servers=self.servers.mark_leaving,
            on_quarantine=self._on_quarantine,
            on_strike=self.quarantine.merge_strike,
            on_loads=lambda name, loads: self.router.spillover_selector.record_loads(name, loads),
            on_round_trip=lambda name, seconds: self.router.spillover_selector.record_round_trip(
                name, seconds
            ),
            on_later_plan=self.plans.fetch_from_peer,
        )
        self.peers.handler_by_type = {
            PlanRequest: self.plans.answer_request,
            KeyQuery: lambda query: self.bookings.answer_query(query),
        }

    def _make_seats(self):
        entry = self.settings.entry
        options = SeatOptions.from_config(self.settings.seats)
        services = self.settings.topology.service_by_name.values()
        book = SeatLeases.from_config(
            entry.name,
            entry.place,
            self.dependencies.addresses["peer_address"],
            self.dependencies.incarnation,
            options,
            max((service.deadline_s for service in services), default=0.0),
        )
        permits = PermitAllocator(
            self.settings, self.plans, self.peers, self.servers, self.dispatcher
        )
        self.permits = permits
        self.seats = SeatManager(
            self.dependencies.store,
            book,
            self.log,
            self._live_entries_here,
            permits.apply,
            permits.fits,
        )
        permits.seats = self.seats

    def _make_bookings(self):
        settings = self.settings
        self.finalizer = ClaimFinalizer(self.dependencies.store, self.metrics)
        self.bookings = BookingRunner(
            store=self.dependencies.store,
            peers=self.dependencies.peers,
            run=self.dispatcher.run,
            metrics=self.metrics,
            entry_name=settings.entry.name,
            peer_address=self.dependencies.addresses["peer_address"],
            incarnation=self.dependencies.incarnation,
            claim_timeout_s=settings.bookings.claim_timeout_s,
            kept_answer_limit_bytes=settings.bookings.kept_answer_limit_bytes,
            peer_timeout_s=settings.peers.timeout_s,
            ledger=ClaimRegistry(),
            nonces=count(1),
            finalizer=self.finalizer,
        )

    def _make_router(self):
        settings = self.settings
        entry = settings.entry
        live = LiveEntryCache(self.peers.membership)
        region = settings.topology.place_by_name[entry.place].region
        places_in_region = frozenset(settings.topology.places_in(region))
        self.router = Router(
            own=settings.entry,
            settings=settings,
            steering=SteeringCache.from_topology(settings.topology),
            blocks=settings.topology.blocks,
            plans=self.plans,
            membership=self.peers.membership,
            live=live,
            spillover_selector=SpilloverSelector(entry.name, places_in_region, live),
            dispatcher=self.dispatcher,
            bookings=self.bookings,
            forwarder=Forwarder(
                place=entry.place,
                live=live,
                connections=self.dispatcher.connections,
                links=LinkAdmission.from_config(settings.links, settings.topology, settings.seats),
                metrics=self.metrics,
                reused_connection_timeout_s=self.dispatcher.reused_connection_timeout_s,
            ),
            metrics=self.metrics,
        )

    # Loops and shutdown.

    def start(self):
        """Start all periodic loops."""
        settings = self.settings
        self._loop("plan", settings.plan.refresh_interval_s, self.plans.refresh)
        self._loop("list", settings.platform.list_interval_s, self.servers.read_list)
        self._loop("probes", settings.servers.poll_interval_s, self.servers.probe_all)
        self._loop("peers", settings.peers.interval_s, self.peers.start_round)
        self._loop("seats", SEAT_TICK_S, self.seats.step)
        self._loop("permits", SEAT_TICK_S, self.seats.refresh_permits)
        self._loop("idle", CLOSE_IDLE_INTERVAL_S, self._close_idle_connections)

    def _loop(self, name, interval_s, step):
        eventlet.spawn_n(run_every, interval_s, step, name, self.metrics, self.log)

    def _close_idle_connections(self):
        self.dispatcher.connections.close_idle(now_s())

    def leave(self):
        """Withdraw from look-ups; requests are still served."""
        self.leaving = True
        self.peers.membership.own = evolve(self.peers.membership.own, leaving=True)
        self.peers.announce_leaving()
        self.log.info("leaving")

    def finish(self, limit_s):
        """Release the seats and write the final claims, once no attempt is in progress.

        An attempt that lost to its hedge or timed out may still run at a backend server after
        its caller was answered. The method returns after ``limit_s`` even if the store does not
        answer; seats that were not released expire by themselves.
        """
        ends_s = now_s() + limit_s
        with eventlet.Timeout(limit_s, False):
            while not self._is_drained():
                eventlet.sleep(DRAIN_POLL_S)
            # Without the store, this would exceed the time limit.
            self.seats.release_all()
        self.finalizer.wait_until_drained(max(0.0, ends_s - now_s()))

    def _is_drained(self):
        now = now_s()
        return not any(
            pool.load(now).in_progress for pool in self.dispatcher.pool_by_service.values()
        )

    # Callbacks between the components.

    def _live_entries_here(self):
        own = self.settings.entry
        live = self.peers.membership.live_entries(now_s())
        return [entry.name for entry in live.values() if entry.place == own.place]

    def _may_dispatch(self):
        """Return whether requests that were already admitted may be dispatched now."""
        return self.settings.plan.unconfirmed_reads == "serve" or self.router.is_confirmed()

    def _on_plan_change(self):
        self.permits.apply_plan()
        self.peers.membership.own = evolve(
            self.peers.membership.own,
            plan_version=self.plans.version,
            plan_digest=self.plans.digest,
        )
        self.peers.announce_plan(self.plans.version)

    def _on_quarantine(self, fingerprint, expires_in_s):
        self.quarantine.merge_quarantined(fingerprint, expires_in_s, now_s())

    def _report_parts(self, now):
        pools = self.dispatcher.pool_by_service.values()
        return {
            "leaving": self.leaving,
            "plan_digest": self.plans.digest,
            "loads": tuple(pool.load(now) for pool in pools),
            "quarantined": self.quarantine.entries(now),
            "strikes": self.quarantine.strikes(now),
            "leaving_servers": tuple(name for p in pools for name in p.leaving_servers()),
        }
