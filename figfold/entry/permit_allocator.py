"""Computes the pools' permits from the seats held, the plan's caps and the backend servers."""

import eventlet
from attrs import Factory, define, evolve

from figfold.config.section_settings import Settings
from figfold.core.earlier_plans import highest_caps, recently_replaced_plans
from figfold.core.lowered_caps import LoweredCaps
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.peer_gossip import PeerGossip
from figfold.entry.plan_tracker import PlanTracker
from figfold.entry.seat_manager import TICK_S, SeatManager
from figfold.entry.server_tracker import ServerTracker

# Interval of report exchanges with the place's other entries while a lowered cap limits dispatch.
LOWERED_CAP_POLL_S = 0.2
# Time after a plan was applied in which reports of the place's other entries are expected.
REPORTS_AWAITED_S = 0.5
# Interval between attempts to read the caps of plans that this entry never applied.
EARLIER_PLANS_RETRY_S = 0.2


@define(eq=False)
class PermitAllocator:
    """Sets the permits of all services of one entry.

    A plan that lowers a cap does not stop requests that were dispatched under the earlier cap.
    Until these have ended, new dispatches are limited so that they do not add to what the other
    entries of the place still run under the earlier cap.

    Attributes
    ----------
    held_back : bool
        Whether a lowered cap limits new dispatches now.
    plan_applied_s : float
        When the plan in force was applied.
    """

    settings: Settings
    plans: PlanTracker
    peers: PeerGossip
    servers: ServerTracker
    dispatcher: Dispatcher
    seats: SeatManager = None
    lowered_caps: LoweredCaps = Factory(LoweredCaps)
    held_back: bool = False
    plan_applied_s: float = float("-inf")
    _polling: bool = False

    def apply(self):
        """Set the current permits of each pool."""
        if self.plans.plan is None:
            return
        now = now_s()
        held_back = False
        for name, service in self.settings.topology.service_by_name.items():
            slots = {
                server.name: service.slots
                for server in self.servers.server_by_name.values()
                if server.service == name
            }
            cap = self.plans.plan.cap(name, self.settings.entry.place)
            permits = self.seats.book.permits(cap, slots, service.deadline_s, now)
            quota = self._quota(service, cap, permits.quota, now)
            held_back = held_back or quota < permits.quota
            awaited = permits.quota if now < self.plan_applied_s + REPORTS_AWAITED_S else 0
            self.dispatcher.set_permits(name, evolve(permits, quota=quota, awaited_quota=awaited))
            if now < permits.valid_until_s < now + TICK_S:
                # The permits end with the first lease to expire, and are then computed again from
                # the remaining leases.
                eventlet.spawn_after(permits.valid_until_s - now, self.seats.refresh_permits)
        self.held_back = held_back
        if held_back and not self._polling:
            self._polling = True
            eventlet.spawn_n(self._poll_neighbours)

    def apply_plan(self):
        """Apply the caps of a plan that has just come into force."""
        self.plan_applied_s = now_s()
        self._record_caps()
        self._guard_earlier_plans()
        self.apply()

    def fits(self):
        """Return whether the requests in progress are within the permits of each service."""
        now = now_s()
        return all(
            pool.load(now).in_progress <= self.dispatcher.quota(name)
            for name, pool in self.dispatcher.pool_by_service.items()
        )

    # Limits while requests under a higher cap may still run.

    def _quota(self, service, cap, quota, now):
        neighbours = self._known_neighbours()
        for lowered in self.lowered_caps.find_active(service.name, now):
            limit_s = service.deadline_s
            before = self.seats.book.permits(lowered.cap_before, {}, limit_s, now).quota
            quota = min(quota, lowered.quota(service.name, cap, quota, before, neighbours))
        return quota

    def _known_neighbours(self):
        """Return the other known entries of the place, live or not."""
        known = self.peers.membership.entry_by_name.values()
        return [entry for entry in known if entry.place == self.settings.entry.place]

    def _max_overlap_by_service(self):
        """Return how long requests under earlier plans may run after a plan's acceptance."""
        # Other entries apply the earlier plan until its confirmation expires.
        late_s = self.settings.plan.confirm_ttl_s + self.settings.seats.margin_s
        services = self.settings.topology.service_by_name.values()
        return {service.name: late_s + service.deadline_s for service in services}

    def _record_caps(self):
        place = self.settings.entry.place
        max_overlap_by_service = self._max_overlap_by_service()
        self.lowered_caps.set_plan_caps(
            self.plans.version,
            {service: self.plans.plan.cap(service, place) for service in max_overlap_by_service},
            max_overlap_by_service,
            self._known_neighbours(),
            now_s(),
        )

    def _poll_neighbours(self):
        """Exchange reports with the place's other entries while a lowered cap limits dispatch."""
        while self.held_back:
            report = self.peers.own_report()
            for entry in self._known_neighbours():
                if entry.reach_peer_address:
                    eventlet.spawn_n(self.peers.exchange, entry.reach_peer_address, report)
            eventlet.sleep(LOWERED_CAP_POLL_S)
            self.apply()
        self._polling = False

    # Caps of plans that were in force at other entries but never here.

    def _guard_earlier_plans(self):
        """Limit dispatch until the caps are known under which others' requests may still run."""
        overlap_end_by_service = self._overlap_end_by_service()
        version = self.plans.version
        if not overlap_end_by_service or not self._earlier_entries():
            self.lowered_caps.resolve_earlier_caps(version, {}, {}, now_s())
            return
        max_overlap_s = max(self._max_overlap_by_service().values())
        started_by_ms = self.peers.membership.own.incarnation - max_overlap_s * MS_PER_S
        self.lowered_caps.assume_earlier_caps(
            version,
            overlap_end_by_service,
            self._known_neighbours(),
            now_s() - max_overlap_s,
            started_by_ms,
        )
        eventlet.spawn_n(self._fetch_earlier_caps, version, max(overlap_end_by_service.values()))

    def _fetch_earlier_caps(self, version, until_s):
        """Read the caps of earlier plans, with retries while requests under them may still run."""
        highest_by_service = self._read_highest_caps()
        while highest_by_service is None and self._overlap_end_by_service() and now_s() < until_s:
            eventlet.sleep(EARLIER_PLANS_RETRY_S)
            highest_by_service = self._read_highest_caps()
        if self.plans.version != version:
            # A later plan was applied meanwhile and has started a fetch of its own.
            return
        self.lowered_caps.resolve_earlier_caps(
            version, highest_by_service or {}, self._overlap_end_by_service(), now_s()
        )
        self.apply()

    def _read_highest_caps(self):
        """Return the highest caps of earlier plans by service, or None if they cannot be read."""
        if self.plans.latest_acceptance_s is None:
            return None
        digests = {entry.digest for entry in self._earlier_entries()}
        bodies = self.plans.read_bodies(sorted(digests))
        return None if bodies is None else highest_caps(bodies, self.settings.entry.place)

    def _earlier_entries(self):
        window_s = max(self._max_overlap_by_service().values())
        return recently_replaced_plans(self.plans.head, self.lowered_caps.known_version, window_s)

    def _overlap_end_by_service(self):
        """Return when requests under earlier plans will have ended, by service.

        Services whose requests under earlier plans have all ended already are left out.
        """
        now = now_s()
        latest_acceptance_s = self.plans.latest_acceptance_s
        latest_acceptance_s = now if latest_acceptance_s is None else latest_acceptance_s
        max_overlap_by_service = self._max_overlap_by_service()
        overlap_end_by_service = {
            service: latest_acceptance_s + max_overlap_s
            for service, max_overlap_s in max_overlap_by_service.items()
        }
        return {
            service: overlap_end_s
            for service, overlap_end_s in overlap_end_by_service.items()
            if now < overlap_end_s
        }
