"""Which backend server takes a request: the one where its answer is expected first.

The pattern: demand stands at the edge of the servers' slots, an object costs a fraction at a
server that holds it warm, and each server holds only a few dozen. Requests of one object therefore
go to the few servers of its placement, and leave the first of them only where waiting there costs
more than a cold run at a free slot elsewhere.
"""

from math import inf

from attrs import Factory, define, frozen

from figfold.core.traffic.server_load import ServerLoad

# What a cold run costs the objects that it displaces, as waiting time.
DISPLACEMENT_S = 0.15
# Time in which a failed attempt is noticed and repeated elsewhere.
FAILED_ATTEMPT_S = 0.5
# Requests that a server lets wait beyond its slots before it rejects more.
SERVER_QUEUE = 8
# An attempt is overdue from this multiple of its expected duration.
OVERDUE_FACTOR = 2.0


@frozen
class Wanted:
    """What is asked of the selection.

    Attributes
    ----------
    is_overflow : bool
        Whether the servers of the object's place are full, so that others with a free slot help.
    helping_regions : frozenset[str]
        The regions with room for that.
    key : str
        The object of the request; requests without one go to the least busy servers.
    tried : frozenset[str]
        Servers that the request was sent to before.
    """

    service: str
    key: str
    tried: frozenset = frozenset()
    home_regions: frozenset = frozenset()
    is_bulk: bool = False
    is_overflow: bool = False
    helping_regions: frozenset = frozenset()


@frozen
class Choice:
    """A server, and when its answer is expected, in seconds from now.

    Attributes
    ----------
    run_s : float
        Expected run alone, without the way and the wait.
    waits : bool
        Whether the request is expected to wait for a slot.
    """

    server_id: str
    address: str
    expected_s: float
    run_s: float
    is_warm: bool
    is_cold_server: bool = False
    waits: bool = False


@define
class Selector:
    """Chooses servers from the fleet and from what this entry has seen of them.

    Attributes
    ----------
    distance_s : callable
        ``(place) -> float``, the time of a round trip from this entry.
    """

    fleet: object
    placement: object
    region_by_place: dict
    distance_s: object
    load_by_server: dict = Factory(dict)
    _born_by_server: dict = Factory(dict)

    def load(self, server):
        """Return the load of a registered server; a new process of it begins anew."""
        record = server.record
        load = self.load_by_server.get(record.id)
        if load is None or self._born_by_server.get(record.id) != record.started_ms:
            load = ServerLoad(max(1, record.slots))
            self.load_by_server[record.id] = load
            self._born_by_server[record.id] = record.started_ms
        return load

    def load_of(self, server_id):
        """Return the load of a server by its id; one that is gone has a load of its own."""
        return self.load_by_server.get(server_id) or ServerLoad(1)

    def free_slots(self, service, region, now_s):
        """Return the slots of a region's servers that are believed free."""
        return sum(
            max(0.0, server.record.slots - self.load(server).busy(now_s))
            for server in self.fleet.usable_servers(service)
            if self.region_by_place.get(server.record.place) == region
        )

    def forget(self, server_id):
        """Forget a server that is gone."""
        self.load_by_server.pop(server_id, None)
        self._born_by_server.pop(server_id, None)

    def choose(self, wanted, durations, now_s, may_use_cold, byte_cost_s=None):
        """Return the best choice for a request, or None when no server may take it.

        Parameters
        ----------
        wanted : Wanted
        durations : RouteDurations
        now_s : float
        may_use_cold : callable
            ``(FleetServer) -> bool``, whether a cold server may be sent a request now.
        byte_cost_s : callable or None
            ``(place) -> float``, what its answer's bytes cost on the way, as waiting time.
        """
        best, best_cost = None, inf
        for rank, server in enumerate(self._candidates(wanted, now_s, may_use_cold)):
            is_home = rank == 0 and not wanted.is_overflow
            choice, cost = self._weigh(server, is_home, wanted.key, durations, now_s)
            if choice.waits and (rank > 0 or wanted.is_overflow) and wanted.key:
                # A cold run that displaces warm objects pays only where a slot is free: otherwise
                # a burst spreads every object over all servers, and none stays warm.
                continue
            if byte_cost_s is not None:
                cost += byte_cost_s(server.record.place)
            if cost < best_cost:
                best, best_cost = choice, cost
        return best

    def _candidates(self, wanted, now_s, may_use_cold):
        usable = [
            one for one in self.fleet.usable_servers(wanted.service) if self._is_home(one, wanted)
        ]
        untried = [one for one in usable if one.record.id not in wanted.tried]
        rested = [one for one in untried if now_s >= self.load(one).backoff_until_s]
        ready = [one for one in rested or untried if not one.is_cold(now_s) or may_use_cold(one)]
        if not wanted.key:
            return ready
        if wanted.is_overflow:
            helpers = [
                one
                for one in ready
                if self.region_by_place.get(one.record.place) in wanted.helping_regions
            ]
            return self.placement.elsewhere(wanted.service, wanted.key, helpers)
        return self.placement.order(wanted.service, wanted.key, usable, ready, wanted.is_bulk)

    def _is_home(self, server, wanted):
        if not wanted.home_regions:
            return True
        return self.region_by_place.get(server.record.place) in wanted.home_regions

    def _weigh(self, server, is_home, key, durations, now_s):
        load = self.load(server)
        is_warm = bool(key) and (is_home or load.is_warm(key))
        usual_s = durations.warm_s() if is_warm else durations.cold_s()
        factor = load.current_pace(now_s) * load.current_slowness(now_s)
        overdue = load.overdue(durations.cold_s(), now_s)
        if overdue > OVERDUE_FACTOR:
            factor = max(factor, overdue)
        is_cold = server.is_cold(now_s)
        run_s = usual_s * factor * (2.0 if is_cold else 1.0)
        ahead = max(0.0, load.busy(now_s) - load.slots + 1.0)
        wait_s = ahead * durations.warm_s() * factor / load.slots
        if load.busy(now_s) >= load.slots + SERVER_QUEUE:
            wait_s += 10.0 * FAILED_ATTEMPT_S
        expected_s = self.distance_s(server.record.place) + wait_s + run_s
        rate = min(0.9, load.current_failure_rate(now_s))
        cost = expected_s + FAILED_ATTEMPT_S * rate / (1.0 - rate)
        if not is_warm:
            cost += DISPLACEMENT_S
        record = server.record
        choice = Choice(
            record.id, record.address, expected_s, usual_s, is_warm, is_cold, ahead > 0.0
        )
        return choice, cost
