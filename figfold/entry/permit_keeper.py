"""Hands the pools their permits, from the seats, the plan's caps and the backend servers."""

import eventlet
from attrs import Factory, define, evolve

from figfold.config.section_settings import Settings
from figfold.core.earlier_plans import earlier_entries, highest_caps
from figfold.core.lowered_caps import LoweredCaps
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.peer_keeper import PeerKeeper
from figfold.entry.plan_keeper import PlanKeeper
from figfold.entry.seat_keeper import TICK_S, SeatKeeper
from figfold.entry.server_keeper import ServerKeeper

# Time between two exchanges with the place's other entries while a lowered cap holds work back.
LOWERED_CAP_POLL_S = 0.2
# Time after a plan was taken in which the place's other entries are expected to tell what they run.
WORDS_AWAITED_S = 0.5
# Time between two attempts to learn the caps of plans that this entry never had.
EARLIER_PLANS_RETRY_S = 0.2


@define(eq=False)
class PermitKeeper:
    """The permits of all services of one entry.

    Attributes
    ----------
    held_back : bool
        Whether a lowered cap holds new work back now.
    plan_taken_s : float
        When the plan in force was taken.
    """

    settings: Settings
    plans: PlanKeeper
    peers: PeerKeeper
    servers: ServerKeeper
    dispatcher: Dispatcher
    seats: SeatKeeper = None
    lowered_caps: LoweredCaps = Factory(LoweredCaps)
    held_back: bool = False
    plan_taken_s: float = float("-inf")
    _following: bool = False

    def apply(self):
        """Give each pool what the entry may have in progress now."""
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
            awaited = permits.quota if now < self.plan_taken_s + WORDS_AWAITED_S else 0
            self.dispatcher.set_permits(name, evolve(permits, quota=quota, awaited_quota=awaited))
            if now < permits.valid_until_s < now + TICK_S:
                # The permits end with the first lease; those of the other leases follow at once.
                eventlet.spawn_after(permits.valid_until_s - now, self.seats.recount)
        self.held_back = held_back
        if held_back and not self._following:
            self._following = True
            eventlet.spawn_n(self._follow_mates)

    def take_plan(self):
        """Apply the caps of a plan that has just come into force."""
        self.plan_taken_s = now_s()
        self._note_caps()
        self._expect_earlier()
        self.apply()

    def fits(self):
        """Return whether what is in progress fits the permits."""
        now = now_s()
        return all(
            pool.load(now).in_progress <= self.dispatcher.quota(name)
            for name, pool in self.dispatcher.pool_by_service.items()
        )

    # Lowered caps.

    def _quota(self, service, cap, quota, now):
        mates = self._mates()
        for lowered in self.lowered_caps.find(service.name, now):
            limit_s = service.deadline_s
            before = self.seats.book.permits(lowered.cap_before, {}, limit_s, now).quota
            quota = min(quota, lowered.quota(service.name, cap, quota, before, mates))
        return quota

    def _mates(self):
        """Return the other entries of the place, live or not."""
        known = self.peers.membership.entry_by_name.values()
        return [entry for entry in known if entry.place == self.settings.entry.place]

    def _longest_by_service(self):
        """Return how long after the acceptance of a plan requests under earlier ones may run."""
        # Others act on the earlier plan until they can not confirm it any more.
        late_s = self.settings.plan.confirm_ttl_s + self.settings.seats.margin_s
        services = self.settings.topology.service_by_name.values()
        return {service.name: late_s + service.deadline_s for service in services}

    def _note_caps(self):
        place = self.settings.entry.place
        longest_by_service = self._longest_by_service()
        self.lowered_caps.take_plan(
            self.plans.version,
            {service: self.plans.plan.cap(service, place) for service in longest_by_service},
            longest_by_service,
            self._mates(),
            now_s(),
        )

    def _follow_mates(self):
        """Exchange reports with the place's other entries while a lowered cap holds work back."""
        while self.held_back:
            report = self.peers.own_report()
            for entry in self._mates():
                if entry.reach_peer_address:
                    eventlet.spawn_n(self.peers.exchange, entry.reach_peer_address, report)
            eventlet.sleep(LOWERED_CAP_POLL_S)
            self.apply()
        self._following = False

    # Caps of plans that were in force elsewhere and never here.

    def _expect_earlier(self):
        """Hold new work back while caps are unknown under which others' requests may still run."""
        until_by_service = self._until_by_service()
        version = self.plans.version
        if not until_by_service or not self._earlier_entries():
            self.lowered_caps.learn_earlier(version, {}, {}, now_s())
            return
        longest_s = max(self._longest_by_service().values())
        started_by_ms = self.peers.membership.own.incarnation - longest_s * MS_PER_S
        self.lowered_caps.expect_earlier(
            version, until_by_service, self._mates(), now_s() - longest_s, started_by_ms
        )
        eventlet.spawn_n(self._learn_earlier, version, max(until_by_service.values()))

    def _learn_earlier(self, version, until_s):
        """Read the plans that may still be in use, as long as some may be."""
        highest_by_service = self._read_highest_caps()
        while highest_by_service is None and self._until_by_service() and now_s() < until_s:
            eventlet.sleep(EARLIER_PLANS_RETRY_S)
            highest_by_service = self._read_highest_caps()
        if self.plans.version != version:
            # The later plan has begun this anew.
            return
        self.lowered_caps.learn_earlier(
            version, highest_by_service or {}, self._until_by_service(), now_s()
        )
        self.apply()

    def _read_highest_caps(self):
        """Return the highest caps of earlier plans by service, None while they are not known."""
        if self.plans.accepted_by_s is None:
            return None
        digests = {entry.digest for entry in self._earlier_entries()}
        bodies = self.plans.read_bodies(sorted(digests))
        return None if bodies is None else highest_caps(bodies, self.settings.entry.place)

    def _earlier_entries(self):
        window_s = max(self._longest_by_service().values())
        return earlier_entries(self.plans.head, self.lowered_caps.known_version, window_s)

    def _until_by_service(self):
        """Return when requests under earlier plans have ended, of services that may have some."""
        now = now_s()
        accepted_by_s = self.plans.accepted_by_s
        accepted_by_s = now if accepted_by_s is None else accepted_by_s
        longest_by_service = self._longest_by_service()
        until_by_service = {
            service: accepted_by_s + longest_s for service, longest_s in longest_by_service.items()
        }
        return {service: until for service, until in until_by_service.items() if now < until}
