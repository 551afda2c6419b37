"""An entry's view of the configuration, the backend servers and the other entries."""

from math import inf

from attrs import Factory, define
from eventlet.event import Event

from figfold.core.organisations.access import KeyUse
from figfold.core.traffic.configuration import Configuration
from figfold.core.traffic.fleet import Fleet
from figfold.core.traffic.limiters import ColdServerLimiter, places_sharing_cold_server
from figfold.core.traffic.ranking import FleetRanking
from figfold.entry.clock import now_s

# Round-trip times that are assumed until a peer of the place has answered once.
OWN_PLACE_ROUND_TRIP_S = 0.001
OWN_REGION_ROUND_TRIP_S = 0.01
OTHER_REGION_ROUND_TRIP_S = 0.1
ROUND_TRIP_SMOOTHING = 0.2  # Weight of a new round trip.
# Cost of a large answer for other traffic between data centres, as equivalent waiting time.
BULK_OTHER_PLACE_COST_S = 0.25
BULK_OTHER_REGION_COST_S = 0.4
# Fraction of a region's slots that its entries must report as free before it takes overflow.
MIN_FREE_FRACTION = 0.35
# A server that failed may have restarted, and is then cold, before the store shows it.
RESTART_REPORT_DELAY_S = 5.0


@define(eq=False)
class ClusterView:
    """Configuration in force, fleet of servers and membership of entries, with their ages.

    Attributes
    ----------
    servers_read_s, operator_read_s : float
        When the known rows were read from the store, by this entry or by a peer.
    change_event : Event
        Sent at the next change; replaced by a new one each time.
    on_configuration : callable
        Called with each version that comes into force.
    regions_with_room : callable or None
        ``(service) -> set or None``, the regions with room as far as their demand is known.
    key_use : KeyUse
        Whether API keys are or were in use.
    """

    name: str
    place: str
    region_by_place: dict
    log: object
    fleet: Fleet
    on_configuration: object
    membership: object = None
    regions_with_room: object = None
    configuration: Configuration | None = None
    configuration_text: bytes = b""
    key_use: KeyUse = KeyUse.UNUSED
    servers_read_s: float = -inf
    operator_read_s: float = -inf
    change_event: Event = Factory(Event)
    cold_limiter: ColdServerLimiter = Factory(ColdServerLimiter)
    ranking: FleetRanking = Factory(
        lambda self: FleetRanking(self.fleet, self.region_by_place), takes_self=True
    )
    registered_entries: set = Factory(set)
    _round_trip_s_by_place: dict = Factory(dict)
    _live: dict | None = None
    _live_of_names: dict | None = None
    _live_of_addresses: dict | None = None
    _addresses_near: dict = Factory(dict)
    _live_places: list = Factory(list)
    _live_regions: list = Factory(list)
    _place_by_live_entry: dict = Factory(dict)
    _places_of_sharing: list | None = None
    _sharing_count_by_place: dict = Factory(dict)
    _counted_version: tuple = ()
    _entry_count: int = 1

    @classmethod
    def from_config(cls, settings, log, on_configuration):
        """Return an empty view, before anything was read."""
        return cls(
            settings.name,
            settings.place,
            settings.region_by_place,
            log,
            Fleet(),
            on_configuration,
            key_use=KeyUse.UNKNOWN,
        )

    # Configuration.

    def apply_configuration(self, configuration, text, source):
        """Put a later version in force; return whether it was later than the one in force."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        self.configuration_text = text
        if configuration.has_organisations:
            self.key_use = KeyUse.USED
        self.log.bind(
            version=configuration.version,
            before=known.version if known else None,
            routes=len(configuration.route_by_name),
            source=source,
        ).info("configuration-in-force")
        self.on_configuration(configuration.version)
        self.notify_change()
        return True

    def learn_key_use(self, is_recorded):
        """Learn whether it is recorded that API keys are or were in use."""
        if is_recorded:
            self.key_use = KeyUse.USED
        elif self.key_use is KeyUse.UNKNOWN:
            self.key_use = KeyUse.UNUSED

    def notify_change(self):
        """Wake all waiters for a change of the configuration or of the servers."""
        change_event, self.change_event = self.change_event, Event()
        change_event.send()

    # Round-trip times.

    def record_round_trip(self, entry_name, seconds):
        """Update the round-trip time to the place of another entry."""
        entry = self.membership.entry_by_name.get(entry_name)
        if entry is None:
            return
        known = self._round_trip_s_by_place.get(entry.place, seconds)
        # The shortest round trips show the distance, longer ones include the load of the peer.
        weight = 1.0 if seconds < known else ROUND_TRIP_SMOOTHING * 0.1
        self._round_trip_s_by_place[entry.place] = known + weight * (seconds - known)

    def round_trip_s(self, place):
        """Return the round-trip time to a data centre."""
        if place == self.place:
            return OWN_PLACE_ROUND_TRIP_S
        known = self._round_trip_s_by_place.get(place)
        if known is not None:
            return known
        return OWN_REGION_ROUND_TRIP_S if self._is_own_region(place) else OTHER_REGION_ROUND_TRIP_S

    def server_round_trip_s(self, server_id):
        """Return the round-trip time to a backend server."""
        server = self.fleet.server_by_id.get(server_id)
        return self.round_trip_s(server.record.place) if server else OTHER_REGION_ROUND_TRIP_S

    def transfer_cost_s(self, place):
        """Return the cost of transferring a large answer, as equivalent waiting time."""
        if place == self.place:
            return 0.0
        return BULK_OTHER_PLACE_COST_S if self._is_own_region(place) else BULK_OTHER_REGION_COST_S

    # Backend servers.

    def servers_age_s(self, now):
        """Return the age of the servers' rows."""
        return min(1e6, now - self.servers_read_s)

    def operator_age_s(self, now):
        """Return the age of the operator's rows."""
        return min(1e6, now - self.operator_read_s)

    def knowledge(self):
        """Return the version of the configuration and the age of the operator's rows, for logs."""
        version = self.configuration.version if self.configuration is not None else None
        return {"version": version, "operator_age_s": round(self.operator_age_s(now_s()), 2)}

    def may_use_cold_server(self, server, now):
        """Return whether this entry may send a request to a cold server now."""
        return self._sharing_entry_count(server) > 0 and self.cold_limiter.is_allowed(
            server.record.id, now
        )

    def record_cold_request(self, server_id, now):
        """Record a request to a cold server, whose rate is limited."""
        server = self.fleet.server_by_id.get(server_id)
        if server is None:
            return
        rules = self.configuration.service_by_name.get(server.record.service)
        rate = rules.cold_requests_per_s if rules else 1.0
        self.cold_limiter.record_request(server_id, rate, self._sharing_entry_count(server), now)

    def record_unreachable(self, server_id, now):
        """Treat a server that refused a connection as cold, since it may be restarting."""
        self.fleet.assume_cold(server_id, now + RESTART_REPORT_DELAY_S)

    def _sharing_entry_count(self, server):
        live_places = self.live_entry_places()
        if live_places is not self._places_of_sharing:
            self._places_of_sharing = live_places
            self._sharing_count_by_place.clear()
        place = server.record.place
        count = self._sharing_count_by_place.get(place)
        if count is None:
            region = self.region_by_place.get(place, "")
            places = places_sharing_cold_server(place, region, live_places, self.region_by_place)
            count = len(places) if self.place in places else 0
            self._sharing_count_by_place[place] = count
        return count

    def regions_with_free_slots(self, service):
        """Return the regions of which all recent reports state enough free slots for overflow."""
        if self.regions_with_room is not None:
            known = self.regions_with_room(service)
            if known is not None:
                return known
        slots_by_region = dict(self.ranking.roster(service).slots_by_region)
        free_by_region = {}
        for place, load in self.membership.recent_loads(service, now_s()):
            region = self.region_by_place.get(place, "")
            free_by_region.setdefault(region, []).append(load.room)
        return {
            region
            for region, free in free_by_region.items()
            if min(free) >= MIN_FREE_FRACTION * slots_by_region.get(region, inf)
        }

    # Entries.

    def live_entry_places(self):
        """Return the place of each live entry, this one included."""
        live = self.membership.live_entries(now_s())
        if live is not self._live:
            self._live = live
            others = [entry.place for name, entry in live.items() if name != self.name]
            self._live_places = [self.place, *others]
            self._live_regions = [self.region_by_place.get(one, "") for one in self._live_places]
        return self._live_places

    def live_entry_regions(self):
        """Return the region of each live entry, this one included."""
        self.live_entry_places()
        return self._live_regions

    def entry_addresses(self, place, region, without=""):
        """Return the addresses of live entries in the place, else in the region, else anywhere.

        Parameters
        ----------
        without : str
            An address that is left out.
        """
        live = self.membership.live_entries(now_s())
        if live is not self._live_of_addresses:
            self._live_of_addresses = live
            self._addresses_near = {}
            for entry in live.values():
                if entry.address:
                    own_region = self.region_by_place.get(entry.place)
                    for area in (("place", entry.place), ("region", own_region), None):
                        self._addresses_near.setdefault(area, []).append(entry.address)
        for area in (("place", place), ("region", region), None):
            addresses = self._addresses_near.get(area, ())
            if without in addresses:
                addresses = [one for one in addresses if one != without]
            if addresses:
                return addresses
        return []

    def place_by_live_entry(self):
        """Return the places of the live entries by name, this one included unless it leaves."""
        live = self.membership.live_entries(now_s())
        if live is not self._live_of_names:
            self._live_of_names = live
            self._place_by_live_entry = {name: entry.place for name, entry in live.items()}
        return self._place_by_live_entry

    def entry_count(self):
        """Return the number of entries that may spend from a shared budget."""
        version = (self.membership.known_version, len(self.registered_entries))
        if version != self._counted_version:
            names = self.registered_entries.union(self.membership.entry_by_name, (self.name,))
            self._counted_version, self._entry_count = version, len(names)
        return self._entry_count

    def _is_own_region(self, place):
        return self.region_by_place.get(place) == self.region_by_place.get(self.place)
