"""Splits the requests of a route among its services according to their weights."""

from hashlib import blake2b

from attrs import Factory, define

# Requests that a service may be ahead of its share before further ones go to other services.
MAX_LEAD = 2.0
# Counts are halved beyond this total, so that the shares also hold over short times.
DECAY_REQUESTS = 200


@define
class ServiceSplitter:
    """Sends the requests for an object to the same service as far as the shares allow it."""

    _count_by_service_by_route: dict = Factory(dict)

    def choose(self, route, key):
        """Return the service for a request of a route.

        Parameters
        ----------
        route : Route
        key : str
            Object of the request, or an empty string.
        """
        if len(route.services) == 1:
            return route.services[0].service
        weights = tuple((one.service, one.weight) for one in route.services)
        counts = self._counts(route.name, weights)
        total_weight = sum(one.weight for one in route.services) or 1.0
        total = sum(counts.values()) + 1.0
        lead_by_service = {
            one.service: counts[one.service] + 1.0 - total * one.weight / total_weight
            for one in route.services
            if one.weight > 0
        }
        preferred = _service_by_hash(route, key, total_weight) if key else ""
        chosen = min(lead_by_service, key=lead_by_service.get)
        if lead_by_service.get(preferred, MAX_LEAD + 1.0) <= MAX_LEAD:
            chosen = preferred
        counts[chosen] += 1.0
        return chosen

    def retain_routes(self, names):
        """Drop the counts of routes that are not among the names."""
        for name in set(self._count_by_service_by_route) - set(names):
            del self._count_by_service_by_route[name]

    def _counts(self, name, weights):
        known = self._count_by_service_by_route.get(name)
        if known is None or known[0] != weights:
            known = (weights, {service: 0.0 for service, _ in weights})
            self._count_by_service_by_route[name] = known
        counts = known[1]
        if sum(counts.values()) > DECAY_REQUESTS:
            for service in counts:
                counts[service] /= 2.0
        return counts


def _service_by_hash(route, key, total_weight):
    digest = blake2b(key.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    position = int.from_bytes(digest) / 2**64 * total_weight
    for one in route.services:
        position -= one.weight
        if position < 0.0:
            return one.service
    return route.services[-1].service
