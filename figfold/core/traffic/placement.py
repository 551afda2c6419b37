"""Chooses the region and the servers at which each object is kept warm.

Objects belong to the users of a region, and a region may have fewer backend servers than its users
need. Each region serves as many of its own objects as its share of the slots allows, and assigns
the rest to regions with spare slots. All entries of a region compute the same placement from the
registered servers alone, so that they disagree at most until their next read of the store, and
objects move only when servers are added or removed.
"""

from functools import lru_cache

from attrs import define

from figfold.core.traffic.ranking import hash_position, rendezvous_weights

# A region serves this multiple of its share of all slots by itself before it assigns objects to
# other regions. Demand is not known here, but no region has more than twice its neighbours' users.
LOCAL_HEADROOM = 1.3
# Number of candidate servers in the object's region. Servers of other regions get its requests
# only if no server of the region is available, because each cold run there displaces warm objects.
REGION_CANDIDATES = 2

# Number of candidate servers of other regions, when those of the object's region are full.
OVERFLOW_CANDIDATES = 3
# Number of candidate servers of each region for a request that would be refused otherwise. Fewer
# than are kept for each object, so that one that may not be used does not lead to a look at all.
LAST_RESORT_CANDIDATES = 4


@define
class Placement:
    """Ranks the servers for each object, for the entries of one region.

    Attributes
    ----------
    region : str
        Where this entry is.
    region_by_place : dict[str, str]
    balanced_shares : callable or None
        ``(service, slots_by_region) -> tuple[tuple[str, float], ...] or None``, the shares of this
        region's objects by region in order; None for shares by slots.
    """

    region: str
    region_by_place: dict
    balanced_shares: object = None

    def rank(self, service, key, usable, ready):
        """Return the candidate servers for an object, the preferred one first.

        They are the same for all data centres of the region: servers keep few objects warm, and a
        home in each data centre would multiply the objects that each server has to hold.

        Parameters
        ----------
        usable : list[FleetServer]
            All usable servers of the service; they determine the region of the object.
        ready : list[FleetServer]
            Those of them that may get this request now.
        """
        target_region = self.target_region(service, key, self._slots_by_region(usable))
        in_region = [one for one in ready if self._region_of(one) == target_region] or ready

        return _sort_by_weight(service, key, in_region)[:REGION_CANDIDATES]

    def _region_of(self, server):
        return self.region_by_place.get(server.record.place, "")

    def rank_overflow(self, service, key, servers):
        """Return the candidate servers of other regions, the preferred one first."""
        other_regions = [
            one for one in servers if self.region_by_place.get(one.record.place) != self.region
        ]
        return _sort_by_weight(service, key, other_regions)[:OVERFLOW_CANDIDATES]

    def part_by_region(self, server_region, slots_by_region):
        """Return the part of each region's objects whose servers are in a region.

        Parameters
        ----------
        slots_by_region : tuple[tuple[str, int], ...]
            Of all usable servers of the service, sorted.
        """
        return {
            region: dict(shares_by_slots(region, self.regions(), slots_by_region)).get(
                server_region, 0.0
            )
            for region in self.regions()
        }

    def regions(self):
        """Return all regions of the deployment, sorted."""
        return tuple(sorted(set(self.region_by_place.values())))

    def _slots_by_region(self, servers):
        """Return the slots of each region, as sorted pairs."""
        slots_by_region = {}
        for server in servers:
            region = self._region_of(server)
            slots_by_region[region] = slots_by_region.get(region, 0) + server.record.slots
        return tuple(sorted(slots_by_region.items()))

    def target_region(self, service, key, slots_by_region):
        """Return the region whose servers hold an object.

        Parameters
        ----------
        slots_by_region : tuple[tuple[str, int], ...]
            Of the usable servers of the service, sorted.
        """
        position = hash_position(service, key)
        shares = None
        if self.balanced_shares is not None:
            shares = self.balanced_shares(service, slots_by_region)
        if shares is None:
            shares = shares_by_slots(self.region, self.regions(), slots_by_region)
        for region, share in shares:
            position -= share
            if position < 0.0:
                return region
        return shares[-1][0] if shares else ""


def _sort_by_weight(service, key, servers):
    server_by_id = {one.record.id: one for one in servers}
    slots_by_id = ((one.record.id, one.record.slots) for one in servers)
    ranked = sorted(rendezvous_weights(service, key, slots_by_id), reverse=True)
    return [server_by_id[one] for _, one in ranked]


@lru_cache(maxsize=4096)
def shares_by_slots(own_region, regions, slots_by_region):
    """Return the share of a region's objects that each region serves, its own share first.

    The demand of all regions is assumed to be equal.
    """
    slots = dict(slots_by_region)
    total = sum(slots.values())
    if not total:
        return ()
    demand = 1.0 / max(1, len(regions))
    capacity = {region: LOCAL_HEADROOM * slots.get(region, 0) / total for region in regions}
    own_share = min(1.0, capacity.get(own_region, 0.0) / demand)
    spare = {one: max(0.0, capacity[one] - demand) for one in regions if one != own_region}
    if not sum(spare.values()):
        spare = {one: capacity[one] for one in regions if one != own_region}
    total_spare = sum(spare.values())
    if not total_spare:
        return ((own_region, 1.0),)
    others = ((one, (1.0 - own_share) * part / total_spare) for one, part in spare.items() if part)
    return ((own_region, own_share), *others)
