"""What an entry believes of the configuration, the backend servers and the other entries."""

from math import inf

from attrs import Factory, define
from eventlet.event import Event

from figfold.core.traffic.configuration import Configuration
from figfold.core.traffic.fleet import Fleet
from figfold.core.traffic.limiters import ColdServerLimiter, places_sharing_cold_server
from figfold.entry.clock import now_s

# Round trips that are taken until a peer of the place has answered once.
OWN_PLACE_S = 0.001
OWN_REGION_S = 0.01
OTHER_REGION_S = 0.1
DISTANCE_SMOOTHING = 0.2  # Weight of a new round trip.
# What a large answer that crosses data centres costs others on the way, as waiting time.
BULK_OTHER_PLACE_S = 0.25
BULK_OTHER_REGION_S = 0.4
# Part of a region's slots that its entries must believe free before it helps out another region.
HELPING_PART = 0.35
# A server that failed may have started again, and is then cold, before the store tells so.
RESTART_NEWS_S = 5.0


@define(eq=False)
class Beliefs:
    """Everything that the entry has learned, with its age.

    Attributes
    ----------
    servers_read_s, operator_read_s : float
        When what is known of the rows was read from the store, here or by another entry.
    changed : Event
        Sent at the next change.
    on_configuration : callable
        Called with each version that comes into force.
    """

    name: str
    place: str
    region_by_place: dict
    log: object
    fleet: Fleet
    on_configuration: object
    membership: object = None
    configuration: Configuration | None = None
    configuration_text: bytes = b""
    servers_read_s: float = -inf
    operator_read_s: float = -inf
    changed: Event = Factory(Event)
    cold: ColdServerLimiter = Factory(ColdServerLimiter)
    registered_entries: set = Factory(set)
    _distance_by_place: dict = Factory(dict)
    _place_by_entry: dict = Factory(dict)

    @classmethod
    def from_config(cls, settings, log, on_configuration):
        """Return an entry's beliefs before anything was read."""
        return cls(
            settings.name, settings.place, settings.region_by_place, log, Fleet(), on_configuration
        )

    # The configuration.

    def take_configuration(self, configuration, text, source):
        """Put a version in force unless it is older; return whether it is a new one."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        self.configuration_text = text
        self.log.bind(
            version=configuration.version,
            before=known.version if known else None,
            routes=len(configuration.route_by_name),
            source=source,
        ).info("configuration-in-force")
        self.on_configuration(configuration.version)
        self.note_change()
        return True

    def note_change(self):
        """Wake those that wait for news of the configuration or of the servers."""
        changed, self.changed = self.changed, Event()
        changed.send()

    # Distances.

    def note_round_trip(self, entry_name, seconds):
        """Take how long an exchange with another entry took."""
        entry = self.membership.entry_by_name.get(entry_name)
        if entry is None:
            return
        known = self._distance_by_place.get(entry.place, seconds)
        # The shortest ones tell the distance, the others tell how busy the peer is.
        weight = 1.0 if seconds < known else DISTANCE_SMOOTHING * 0.1
        self._distance_by_place[entry.place] = known + weight * (seconds - known)

    def distance_s(self, place):
        """Return the time of a round trip to a data centre."""
        if place == self.place:
            return OWN_PLACE_S
        known = self._distance_by_place.get(place)
        if known is not None:
            return known
        return OWN_REGION_S if self._is_own_region(place) else OTHER_REGION_S

    def distance_of(self, server_id):
        """Return the time of a round trip to a backend server."""
        server = self.fleet.server_by_id.get(server_id)
        return self.distance_s(server.record.place) if server else OTHER_REGION_S

    def byte_cost_s(self, place):
        """Return what a large answer from a data centre costs on the way, as waiting time."""
        if place == self.place:
            return 0.0
        return BULK_OTHER_PLACE_S if self._is_own_region(place) else BULK_OTHER_REGION_S

    # Backend servers.

    def servers_age_s(self, now):
        """Return how long ago the servers' rows were read."""
        return min(1e6, now - self.servers_read_s)

    def may_use_cold(self, server, now):
        """Return whether this entry may send a cold server a request now."""
        return self._shares(server) > 0 and self.cold.is_allowed(server.record.id, now)

    def take_cold(self, server_id, now):
        """Count a request to a cold server."""
        server = self.fleet.server_by_id.get(server_id)
        if server is None:
            return
        rules = self.configuration.service_by_name.get(server.record.service)
        rate = rules.cold_requests_per_s if rules else 1.0
        self.cold.record_request(server_id, rate, self._shares(server), now)

    def note_unreachable(self, server_id, now):
        """Take that a server refused a connection: it may come back cold."""
        self.fleet.assume_cold(server_id, now + RESTART_NEWS_S)

    def _shares(self, server):
        place = server.record.place
        places = places_sharing_cold_server(
            place,
            self.region_by_place.get(place, ""),
            self.live_places(),
            self.region_by_place,
        )
        return len(places) if self.place in places else 0

    def regions_with_room(self, service):
        """Return the regions whose own entries say that a good part of the slots is free."""
        slots_by_region, free_by_region = {}, {}
        for server in self.fleet.usable_servers(service):
            region = self.region_by_place.get(server.record.place, "")
            slots_by_region[region] = slots_by_region.get(region, 0) + server.record.slots
        for entry in self.membership.live_entries(now_s()).values():
            load = entry.load_by_service.get(service)
            if load is not None:
                region = self.region_by_place.get(entry.place, "")
                free_by_region.setdefault(region, []).append(load.room)
        return {
            region
            for region, free in free_by_region.items()
            if min(free) >= HELPING_PART * slots_by_region.get(region, inf)
        }

    # Entries.

    def live_places(self):
        """Return the place of each live entry, the own one included."""
        live = self.membership.live_entries(now_s())
        others = [entry.place for name, entry in live.items() if name != self.name]
        return [self.place, *others]

    def entry_count(self):
        """Return how many entries may be spending from a shared budget."""
        known = set(self.membership.entry_by_name) | {self.name} | self.registered_entries
        return len(known)

    def _is_own_region(self, place):
        return self.region_by_place.get(place) == self.region_by_place.get(self.place)
