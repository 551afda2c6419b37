"""Which service of a split route takes a request, so that each keeps its share."""

from hashlib import blake2b

from attrs import Factory, define

# Requests that one service may be ahead of its share before the next ones go elsewhere.
LEAD_LIMIT = 2.0
# Requests after which old ones count half, so that a share is held over short times too.
MEMORY = 200


@define
class Splitter:
    """Keeps the requests of an object at one service as far as the shares allow it."""

    _count_by_service_by_route: dict = Factory(dict)

    def choose(self, route, key):
        """Return the service for a request of a route.

        Parameters
        ----------
        route : Route
        key : str
            The object of the request, or an empty string.
        """
        if len(route.services) == 1:
            return route.services[0].service
        identity = tuple((one.service, one.weight) for one in route.services)
        counts = self._counts(route.name, identity)
        total_weight = sum(one.weight for one in route.services) or 1.0
        total = sum(counts.values()) + 1.0
        lead_by_service = {
            one.service: counts[one.service] + 1.0 - total * one.weight / total_weight
            for one in route.services
            if one.weight > 0
        }
        preferred = _by_hash(route, key, total_weight) if key else ""
        chosen = min(lead_by_service, key=lead_by_service.get)
        if lead_by_service.get(preferred, LEAD_LIMIT + 1.0) <= LEAD_LIMIT:
            chosen = preferred
        counts[chosen] += 1.0
        return chosen

    def keep_routes(self, names):
        """Forget the counts of routes that are not among the names."""
        for name in set(self._count_by_service_by_route) - set(names):
            del self._count_by_service_by_route[name]

    def _counts(self, name, identity):
        known = self._count_by_service_by_route.get(name)
        if known is None or known[0] != identity:
            known = (identity, {service: 0.0 for service, _ in identity})
            self._count_by_service_by_route[name] = known
        counts = known[1]
        if sum(counts.values()) > MEMORY:
            for service in counts:
                counts[service] /= 2.0
        return counts


def _by_hash(route, key, total_weight):
    digest = blake2b(key.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    position = int.from_bytes(digest) / 2**64 * total_weight
    for one in route.services:
        position -= one.weight
        if position < 0.0:
            return one.service
    return route.services[-1].service
