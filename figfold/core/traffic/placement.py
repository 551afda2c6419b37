"""In which region and at which servers an object is kept warm.

The pattern: objects belong to the users of a region, whose backend servers may be fewer than its
users need. Each region serves its own objects as far as its share of the slots goes, and gives the
rest to regions with room. All entries of a region derive the same places from the registered
servers alone, so that a disagreement lasts no longer than a reading of the store, and objects move
only when servers come or go.
"""

from functools import lru_cache
from hashlib import blake2b
from math import log

from attrs import define

# How much of its share of all requests a region with just its share of the slots serves itself,
# before objects go to others: the users of no region are over twice as many as its neighbours'.
LOCAL_HEADROOM = 1.3
# Servers of the object's region that are weighed against each other; those of other regions only
# take its requests when none is left there, since each cold run elsewhere displaces warm objects.
IN_REGION = 2

# Servers of other regions that are weighed when those of the object's region are full.
OUTSIDE = 3


@define
class Placement:
    """The order of servers for each object, as an entry of one region sees it.

    Attributes
    ----------
    region, place : str
        Of this entry.
    region_by_place : dict[str, str]
    """

    region: str
    place: str
    region_by_place: dict

    def order(self, service, key, usable, ready, is_bulk=False):
        """Return the servers to weigh for an object, the best place first.

        Parameters
        ----------
        usable : list[FleetServer]
            All servers of the service that may be used; they decide where the object belongs.
        ready : list[FleetServer]
            Those of them that may be sent this request now.
        is_bulk : bool
            Whether the answers are large: then servers of the own data centre come first.
        """
        target = self._target(service, key, usable)
        inside = [one for one in ready if self._region_of(one) == target] or ready

        def rank(server):
            is_near = is_bulk and server.record.place == self.place
            return is_near, _preference(service, key, server.record.id, server.record.slots)

        return sorted(inside, key=rank, reverse=True)[:IN_REGION]

    def _region_of(self, server):
        return self.region_by_place.get(server.record.place, "")

    def elsewhere(self, service, key, servers):
        """Return servers of other regions that may help out when the object's own are full."""
        outside = [
            one for one in servers if self.region_by_place.get(one.record.place) != self.region
        ]
        return sorted(
            outside,
            key=lambda one: _preference(service, key, one.record.id, one.record.slots),
            reverse=True,
        )[:OUTSIDE]

    def _target(self, service, key, usable):
        slots_by_region = {}
        for server in usable:
            region = self._region_of(server)
            slots_by_region[region] = slots_by_region.get(region, 0) + server.record.slots
        regions = tuple(sorted(set(self.region_by_place.values())))
        position = _position(service, key)
        shares = _shares(self.region, regions, tuple(sorted(slots_by_region.items())))
        for region, share in shares:
            position -= share
            if position < 0.0:
                return region
        return shares[-1][0] if shares else ""


@lru_cache(maxsize=4096)
def _shares(own, regions, slots_by_region):
    """Return which part of a region's objects each region serves, the own one first.

    Every region is taken to have the same demand.
    """
    slots = dict(slots_by_region)
    total = sum(slots.values())
    if not total:
        return ()
    demand = 1.0 / max(1, len(regions))
    room = {region: LOCAL_HEADROOM * slots.get(region, 0) / total for region in regions}
    own_part = min(1.0, room.get(own, 0.0) / demand)
    spare = {one: max(0.0, room[one] - demand) for one in regions if one != own}
    if not sum(spare.values()):
        spare = {one: room[one] for one in regions if one != own}
    total_spare = sum(spare.values())
    if not total_spare:
        return ((own, 1.0),)
    others = ((one, (1.0 - own_part) * part / total_spare) for one, part in spare.items() if part)
    return ((own, own_part), *others)


def _digest(*parts):
    text = "\0".join(parts).encode("utf-8", "surrogateescape")
    return (int.from_bytes(blake2b(text, digest_size=8).digest()) + 1) / (2**64 + 1)


@lru_cache(maxsize=65536)
def _position(service, key):
    """Return where an object lies between 0 and 1; it stays there whatever servers there are."""
    return _digest(service, key)


@lru_cache(maxsize=65536)
def _preference(service, key, server_id, slots):
    """Return the weight of a server in an object's order of servers (rendezvous hashing)."""
    return -slots / log(_digest(service, key, server_id))
