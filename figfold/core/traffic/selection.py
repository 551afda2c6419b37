"""Chooses the backend server from which a request's answer is expected first.

Demand is close to the number of the servers' slots, an object costs a fraction at a server that
holds it warm, and each server holds only a few dozen objects. Requests for an object therefore go
to the few servers of its placement, and leave the preferred one only if waiting there costs more
than a cold run at a free slot elsewhere.
"""

from heapq import nlargest
from math import inf

from attrs import Factory, define, frozen

from figfold.core.traffic.placement import (
    LAST_RESORT_CANDIDATES,
    OVERFLOW_CANDIDATES,
    REGION_CANDIDATES,
)
from figfold.core.traffic.ranking import FleetRanking
from figfold.core.traffic.server_limits import ServerLimits, part_of_limit
from figfold.core.traffic.server_load import ServerLoad, UsualSlowdown

# Cost of a cold run for the objects that it displaces, as equivalent waiting time.
DISPLACEMENT_COST_S = 0.15
# Time to notice a failed attempt and to retry at another server.
FAILED_ATTEMPT_COST_S = 0.5
# Requests that a server queues beyond its slots before it rejects more.
SERVER_QUEUE_LIMIT = 8
# Age up to which a server's report counts for the room that a service has.
ROOM_REPORT_AGE_S = 1.0
# Size of the bodies in progress at one server, those of all entries together. A server holds the
# bodies of its requests, and ends if its memory is too small for them.
SERVER_BODY_BYTES = 64 << 20
# Size up to which the bodies of one entry need no part of that.
SMALL_BODY_BYTES = 256 << 10
# Time after which a request for whose body there is no room should be sent again.
BODY_RETRY_AFTER_S = 0.5
# An attempt is overdue after this multiple of its expected duration.
OVERDUE_FACTOR = 2.0


@frozen
class SelectionRequest:
    """Properties of a request that the choice of its server depends on.

    Attributes
    ----------
    key : str
        The object of the request; requests without one go to the least busy servers.
    tried : frozenset[str]
        Servers that the request has been sent to.
    home_regions : frozenset[str]
        The only regions in which the request may run; empty if all are allowed.
    is_overflow : bool
        Whether to choose a server of another region, since those of the object's region are full.
    overflow_regions : frozenset[str]
        Regions with enough free slots to take overflow.
    is_last_resort : bool
        Whether overflow may also go to the own region, and to more servers of each one, because
        the request would be refused otherwise.
    needs_free_slot : bool
        Whether to choose only a server that is expected to start the request at once and is not
        within its cold start.
    body_bytes : int
        Size of its body.
    """

    service: str
    key: str
    tried: frozenset = frozenset()
    home_regions: frozenset = frozenset()
    is_overflow: bool = False
    overflow_regions: frozenset = frozenset()
    is_last_resort: bool = False
    needs_free_slot: bool = False
    body_bytes: int = 0


@frozen
class SlotRoom:
    """Free slots, and all slots, of the servers that have reported their load recently."""

    free: float
    slots: int


@frozen
class ServerChoice:
    """Chosen server, with the expected durations in seconds.

    Attributes
    ----------
    expected_s : float
        Time until the answer is expected: round trip, wait for a slot, and run.
    run_s : float
        Usual run time alone.
    is_warm : bool
        Whether the server is assumed to hold the object warm.
    will_queue : bool
        Whether the request is expected to wait for a slot.
    started_ms : int
        Unix time of the server's start in milliseconds, which identifies its process.
    """

    server_id: str
    address: str
    expected_s: float
    run_s: float
    is_warm: bool
    is_cold_server: bool = False
    will_queue: bool = False
    started_ms: int = 0


@define
class Selector:
    """Chooses servers by their placement and by the load that this entry estimates.

    Attributes
    ----------
    round_trip_s : callable
        ``(place) -> float``, the round-trip time from this entry in seconds.
    load_by_server : dict[str, ServerLoad]
    limits : ServerLimits
    ranking : FleetRanking
    body_part : callable
        ``(server_id) -> float``, this entry's part of `SERVER_BODY_BYTES`.
    """

    fleet: object
    placement: object
    region_by_place: dict
    round_trip_s: object
    limits: ServerLimits
    ranking: FleetRanking = Factory(
        lambda self: FleetRanking(self.fleet, self.region_by_place), takes_self=True
    )
    load_by_server: dict = Factory(dict)
    usual_slowdown: UsualSlowdown = Factory(UsualSlowdown)
    body_part: object = lambda _server_id: 1.0
    _started_ms_by_server: dict = Factory(dict)

    def load(self, server):
        """Return the `ServerLoad` of a registered server, a new one for a new process of it."""
        record = server.record
        load = self.load_by_server.get(record.id)
        if load is None or self._started_ms_by_server.get(record.id) != record.started_ms:
            load = ServerLoad(max(1, record.slots), usual_slowdown=self.usual_slowdown)
            self.load_by_server[record.id] = load
            self._started_ms_by_server[record.id] = record.started_ms
        return load

    def load_by_id(self, server_id):
        """Return the `ServerLoad` of a server id, an unregistered one if the server is gone."""
        return self.load_by_server.get(server_id) or ServerLoad(1)

    def free_slots(self, service, region, now_s):
        """Return the estimated number of free slots at a region's servers."""
        servers = self.ranking.roster(service).servers_by_region.get(region, {})
        return sum(
            max(0.0, server.record.slots - self.load(server).estimated_requests(now_s))
            for server in servers.values()
        )

    def known_room(self, request, now_s):
        """Return the `SlotRoom` of the servers that a request may use."""
        free, slots = 0.0, 0
        for server in self.ranking.roster(request.service).servers:
            load = self.load_by_server.get(server.record.id)
            if load is None or now_s - load.reported_s > ROOM_REPORT_AGE_S:
                continue
            if self._is_in_home_region(server, request):
                slots += load.slots
                free += max(0.0, load.slots - len(load.in_flight) - load.other_requests)
        return SlotRoom(free, slots)

    def remove_server(self, server_id):
        """Drop the load of a server that was removed from the fleet."""
        self.load_by_server.pop(server_id, None)
        self._started_ms_by_server.pop(server_id, None)

    def part_of_limit(self, server_id, entry_regions):
        """Return the part of a server's limit that this entry may use.

        Parameters
        ----------
        entry_regions : list[str]
            The region of each live entry, this one included.
        """
        server = self.fleet.server_by_id.get(server_id)
        if server is None:
            return 1.0 / len(entry_regions)
        parts = self.placement.part_by_region(
            self.region_by_place.get(server.record.place, ""),
            self.ranking.roster(server.record.service).slots_by_region,
        )
        return part_of_limit(self.placement.region, entry_regions, parts)

    def limit_wait_s(self, request, now_s):
        """Return the time until a limit permits a request; 0 if no limit is the reason."""
        waits_s = [
            self._limit_wait_s(one, now_s)
            or (0.0 if self._has_body_room(one, request) else BODY_RETRY_AFTER_S)
            for one in self.ranking.roster(request.service).servers
            if self._is_in_home_region(one, request) and one.record.id not in request.tried
        ]
        return min(waits_s, default=0.0)

    def _has_body_room(self, server, request):
        """Return whether a server can take the request's body beside this entry's other ones.

        A body alone always fits, since a request that no server may get would never run.
        """
        load = self.load_by_server.get(server.record.id) if request.body_bytes else None
        if load is None or not load.body_bytes:
            return True
        total_bytes = load.body_bytes + request.body_bytes
        if total_bytes <= SMALL_BODY_BYTES:
            return True
        return total_bytes <= SERVER_BODY_BYTES * self.body_part(server.record.id)

    def _limit_wait_s(self, server, now_s):
        return self.limits.wait_s(server.record.id, server.record.started_ms, now_s)

    def choose(self, request, durations, now_s, may_use_cold_server, transfer_cost_s=None):
        """Return the `ServerChoice` of the lowest cost, or None if no server may get the request.

        Parameters
        ----------
        request : SelectionRequest
        durations : RouteDurations
        now_s : float
        may_use_cold_server : callable
            ``(FleetServer) -> bool``, whether a cold server may get a request now.
        transfer_cost_s : callable or None
            ``(place) -> float``, transfer cost of a large answer, as equivalent waiting time.
        """
        best, best_cost = None, inf
        for rank, server in enumerate(self._candidates(request, now_s, may_use_cold_server)):
            # For a wish for a free slot, servers that were tried may rank above the first one here.
            is_preferred = rank == 0 and not (request.is_overflow or request.needs_free_slot)
            choice, cost = self._estimate_cost(server, is_preferred, request.key, durations, now_s)
            if choice.will_queue and (rank > 0 or request.is_overflow) and request.key:
                # A cold run displaces warm objects, which is worth it only at a free slot.
                # Otherwise a burst spreads every object over all servers, and none stays warm.
                continue
            if request.needs_free_slot and (choice.will_queue or choice.is_cold_server):
                continue
            if transfer_cost_s is not None:
                cost += transfer_cost_s(server.record.place)
            if cost < best_cost:
                best, best_cost = choice, cost
        return best

    def _candidates(self, request, now_s, may_use_cold_server):
        if not request.key:
            return self._all_candidates(request, now_s, may_use_cold_server)

        def is_allowed(server):
            return (
                server.record.id not in request.tried
                and self._limit_wait_s(server, now_s) <= 0.0
                and self._has_body_room(server, request)
                and now_s >= self.load(server).backoff_until_s
                and (not server.is_cold(now_s) or may_use_cold_server(server))
            )

        first = self._first_candidates(request, is_allowed)
        if request.needs_free_slot:
            first += self._warm_candidates(request, is_allowed, first)
        # Only if none of these is allowed do all servers have to be looked at.
        return first or self._all_candidates(request, now_s, may_use_cold_server)

    def _first_candidates(self, request, is_allowed):
        service, key, homes = request.service, request.key, request.home_regions
        if request.is_overflow:
            is_last = request.is_last_resort
            regions = request.overflow_regions - (set() if is_last else {self.placement.region})
            per_region = LAST_RESORT_CANDIDATES if is_last else OVERFLOW_CANDIDATES
            ranked = [
                one
                for region in (regions & homes if homes else regions)
                for one in self.ranking.ranked(service, region, key, is_allowed, per_region)
            ]
            count = len(ranked) if is_last else OVERFLOW_CANDIDATES
            first = nlargest(count, ranked, key=lambda one: one[0])
        else:
            slots = self.ranking.roster(service).slots_by_region
            if homes:
                slots = tuple(one for one in slots if one[0] in homes)
            region = self.placement.target_region(service, key, slots)
            first = self.ranking.ranked(service, region, key, is_allowed, REGION_CANDIDATES)
        return [server for _, server in first]

    def _warm_candidates(self, request, is_allowed, without):
        """Return the further servers that are assumed to hold the object warm."""
        known = {one.record.id for one in without}
        return [
            one
            for one in self.ranking.roster(request.service).servers
            if one.record.id in self.load_by_server
            and one.record.id not in known
            and self.load_by_server[one.record.id].is_warm(request.key)
            and self._is_in_home_region(one, request)
            and is_allowed(one)
        ]

    def _all_candidates(self, request, now_s, may_use_cold_server):
        usable = [
            one
            for one in self.ranking.roster(request.service).servers
            if self._is_in_home_region(one, request)
        ]
        untried = [
            one
            for one in usable
            if one.record.id not in request.tried
            and self._limit_wait_s(one, now_s) <= 0.0
            and self._has_body_room(one, request)
        ]
        available = [one for one in untried if now_s >= self.load(one).backoff_until_s]
        ready = [
            one
            for one in available or untried
            if not one.is_cold(now_s) or may_use_cold_server(one)
        ]
        if not request.key:
            return ready
        if request.is_overflow:
            overflow_servers = [
                one
                for one in ready
                if self.region_by_place.get(one.record.place) in request.overflow_regions
            ]
            return self.placement.rank_overflow(request.service, request.key, overflow_servers)
        return self.placement.rank(request.service, request.key, usable, ready)

    def _is_in_home_region(self, server, request):
        if not request.home_regions:
            return True
        return self.region_by_place.get(server.record.place) in request.home_regions

    def _estimate_cost(self, server, is_preferred, key, durations, now_s):
        load = self.load(server)
        is_warm = bool(key) and (is_preferred or load.is_warm(key))
        usual_run_s = durations.warm_s() if is_warm else durations.cold_s()
        slowdown = load.current_machine_slowdown(now_s) * load.current_server_slowdown(now_s)
        overdue_ratio = load.overdue_ratio(durations.cold_s(), now_s)
        if overdue_ratio > OVERDUE_FACTOR:
            slowdown = max(slowdown, overdue_ratio)
        is_cold = server.is_cold(now_s)
        run_s = usual_run_s * slowdown * (2.0 if is_cold else 1.0)
        queued_ahead = max(0.0, load.estimated_requests(now_s) - load.slots + 1.0)
        wait_s = queued_ahead * durations.warm_s() * slowdown / load.slots
        if load.estimated_requests(now_s) >= load.slots + SERVER_QUEUE_LIMIT:
            wait_s += 10.0 * FAILED_ATTEMPT_COST_S
        expected_s = self.round_trip_s(server.record.place) + wait_s + run_s
        failure_rate = min(0.9, load.current_failure_rate(now_s))
        cost = expected_s + FAILED_ATTEMPT_COST_S * failure_rate / (1.0 - failure_rate)
        if not is_warm:
            cost += DISPLACEMENT_COST_S
        record = server.record
        choice = ServerChoice(
            record.id,
            record.address,
            expected_s,
            usual_run_s,
            is_warm,
            is_cold_server=is_cold,
            will_queue=queued_ahead > 0.0,
            started_ms=record.started_ms,
        )
        return choice, cost
