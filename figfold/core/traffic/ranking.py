"""Servers of each service by region, and the servers that rank first for an object.

What depends on the fleet alone is computed when the fleet changes. The first servers of an object
are kept while the object is in use; a server that is added later is compared with them.
"""

from collections import OrderedDict
from functools import lru_cache
from hashlib import blake2b
from heapq import nlargest
from math import log

from attrs import Factory, define, frozen

# Servers that are kept for each object. Those that may not be used now are passed over.
KEPT_SERVERS = 6
MAX_OBJECTS = 2048
# Additions that are remembered for objects that have not been looked up since.
MAX_ADDITIONS = 2000


def unit_hash(*parts):
    """Return a hash of the parts, as a number above 0 and up to 1."""
    text = "\0".join(parts).encode("utf-8", "surrogateescape")
    return _to_unit(blake2b(text, digest_size=8).digest())


@lru_cache(maxsize=65536)
def hash_position(service, key):
    """Return the position of an object between 0 and 1, which does not depend on the servers."""
    return unit_hash(service, key)


def _to_unit(digest):
    return (int.from_bytes(digest) + 1) / (2**64 + 1)


def rendezvous_weights(service, key, slots_by_id):
    """Yield (weight, id) of servers for an object (weighted rendezvous hashing).

    Parameters
    ----------
    slots_by_id : iterable of tuple[str, int]
    """
    ids_by_slots = {}
    for server_id, slots in slots_by_id:
        ids_by_slots.setdefault(slots, []).append(server_id)
    for slots, ids in ids_by_slots.items():
        for digest, server_id in _digests(service, key, ids):
            yield -slots / log(_to_unit(digest)), server_id


def _digests(service, key, ids):
    """Return (digest, id) of servers for an object; a greater digest gives a greater weight."""
    copy = blake2b(f"{service}\0{key}\0".encode("utf-8", "surrogateescape"), digest_size=8).copy
    digests = []
    for server_id in ids:
        hashed = copy()
        hashed.update(server_id.encode())
        digests.append((hashed.digest(), server_id))
    return digests


def _first_weights(service, key, ids_by_slots):
    """Return the greatest (weight, id) of servers for an object, as many as are kept."""
    weights = [
        (-slots / log(_to_unit(digest)), server_id)
        for slots, ids in ids_by_slots.items()
        for digest, server_id in nlargest(KEPT_SERVERS, _digests(service, key, ids))
    ]
    return nlargest(KEPT_SERVERS, weights)


@frozen
class ServiceRoster:
    """The usable servers of a service, as of one state of the fleet.

    Attributes
    ----------
    servers : list[FleetServer]
    servers_by_region : dict[str, dict[str, FleetServer]]
        By id.
    slots_by_region : tuple[tuple[str, int], ...]
        Sorted pairs.
    """

    servers: list
    servers_by_region: dict
    slots_by_region: tuple


@define
class _RegionServers:
    """Servers of a service in a region, and those that were added since the start, in order."""

    slots_by_id: dict[str, int] = Factory(dict)
    ids_by_slots: dict[int, list] = Factory(dict)
    additions: list = Factory(list)
    generation: int = 0

    def update(self, slots_by_id):
        """Set the servers; those that are new, or have other slots, count as added."""
        added = [one for one in slots_by_id.items() if self.slots_by_id.get(one[0]) != one[1]]
        if len(self.additions) + len(added) > MAX_ADDITIONS:
            self.additions, added = [], []
            self.generation += 1
        self.additions += added
        self.slots_by_id = slots_by_id
        self.ids_by_slots = {}
        for server_id, slots in slots_by_id.items():
            self.ids_by_slots.setdefault(slots, []).append(server_id)


@define
class _ObjectRank:
    generation: int
    seen_additions: int
    first: list  # Of (weight, id), the greatest first.


@define
class FleetRanking:
    """Ranks the servers of a fleet for each object.

    Attributes
    ----------
    fleet : Fleet
    region_by_place : dict[str, str]
    """

    fleet: object
    region_by_place: dict
    _version: tuple = ()
    _roster_by_service: dict = Factory(dict)
    _region_servers: dict = Factory(dict)
    _rank_by_object: OrderedDict = Factory(OrderedDict)

    def roster(self, service):
        """Return the `ServiceRoster` of a service."""
        if self.fleet.usable_version != self._version:
            self._version = self.fleet.usable_version
            self._roster_by_service.clear()
        known = self._roster_by_service.get(service)
        if known is None:
            known = self._roster_by_service[service] = self._make_roster(service)
        return known

    def _make_roster(self, service):
        servers = self.fleet.usable_servers(service)
        by_region = {}
        for server in servers:
            region = self.region_by_place.get(server.record.place, "")
            by_region.setdefault(region, {})[server.record.id] = server
        slots = {
            region: {one: server.record.slots for one, server in by_id.items()}
            for region, by_id in by_region.items()
        }
        for region in {*slots, *(one for name, one in self._region_servers if name == service)}:
            known = self._region_servers.setdefault((service, region), _RegionServers())
            known.update(slots.get(region, {}))
        slots_by_region = sorted((one, sum(by_id.values())) for one, by_id in slots.items())
        return ServiceRoster(servers, by_region, tuple(slots_by_region))

    def ranked(self, service, region, key, is_allowed, count):
        """Return the first servers of a region for an object, the preferred one first.

        Parameters
        ----------
        is_allowed : callable
            ``(FleetServer) -> bool``; others are passed over.
        count : int
            The most servers to return.

        Returns
        -------
        list[tuple[float, FleetServer]]
            With their weights.
        """
        by_id = self.roster(service).servers_by_region.get(region)
        if not by_id:
            return []
        first = self._first(service, region, key)
        found = _take_allowed(first, by_id, is_allowed, count)
        if len(found) < count and len(by_id) > len(found):
            slots_by_id = self._region_servers[service, region].slots_by_id.items()
            every = sorted(rendezvous_weights(service, key, slots_by_id), reverse=True)
            # Those that were kept may have left.
            self._rank_by_object[service, region, key].first = every[:KEPT_SERVERS]
            found = _take_allowed(every, by_id, is_allowed, count)
        return found

    def _first(self, service, region, key):
        servers = self._region_servers[service, region]
        rank_id = (service, region, key)
        rank = self._rank_by_object.get(rank_id)
        if rank is None or rank.generation != servers.generation:
            first = _first_weights(service, key, servers.ids_by_slots)
            rank = _ObjectRank(servers.generation, len(servers.additions), first)
            self._rank_by_object[rank_id] = rank
            if len(self._rank_by_object) > MAX_OBJECTS:
                self._rank_by_object.popitem(last=False)
        elif rank.seen_additions < len(servers.additions):
            self._add(rank, service, key, servers)
        self._rank_by_object.move_to_end(rank_id)
        return rank.first

    def _add(self, rank, service, key, servers):
        added = dict(servers.additions[rank.seen_additions :])
        weight_by_id = {one: weight for weight, one in rank.first}
        weights = list(rendezvous_weights(service, key, added.items()))
        if any(weight < weight_by_id.get(one, 0.0) for weight, one in weights):
            # A server that is kept has fewer slots now, so that one that is not may come before it.
            weight_by_id, added = {}, servers.slots_by_id
            weights = list(rendezvous_weights(service, key, added.items()))
        kept = [(weight, one) for one, weight in weight_by_id.items() if one not in added]
        rank.first = nlargest(KEPT_SERVERS, kept + weights)
        rank.seen_additions = len(servers.additions)


def _take_allowed(ranked, server_by_id, is_allowed, count):
    found = []
    for weight, server_id in ranked:
        server = server_by_id.get(server_id)
        if server is not None and is_allowed(server):
            found.append((weight, server))
            if len(found) == count:
                break
    return found
