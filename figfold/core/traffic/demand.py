"""How many requests a second the callers of each region send for a service.

The pattern: the regions' waves of demand run against each other, so that their sum hardly changes
while each region by itself is now above and now below what its servers can do. Entries tell each
other what they count; all derive the same shares from it without asking anyone.
"""

from collections import deque
from math import inf

from attrs import Factory, define

# Time over which requests are counted: long against the gaps between single requests, short against
# the half minute in which demand rises and falls.
RATE_WINDOW_S = 3.0
# How long the regions' demand is kept before it is summed again; entries report once a second.
DEMAND_LIFE_S = 0.5


@define
class RequestRates:
    """Requests that callers sent to this entry, by service."""

    _times_by_service: dict[str, deque] = Factory(dict)
    _since_s: float | None = None

    def count(self, service, now_s):
        """Count a request."""
        if self._since_s is None:
            self._since_s = now_s
        self._times_by_service.setdefault(service, deque()).append(now_s)

    def per_s(self, service, now_s):
        """Return the requests a second for a service over the last few seconds."""
        times = self._times_by_service.get(service)
        if not times:
            return 0.0
        while times and times[0] < now_s - RATE_WINDOW_S:
            times.popleft()
        # Right after the first request less time than the window has been seen.
        return len(times) / min(RATE_WINDOW_S, max(1.0, now_s - self._since_s))


@define
class RegionalDemand:
    """Requests a second by region, summed anew now and then.

    Attributes
    ----------
    region_by_place : dict[str, str]
    rates : callable
        ``(service, now_s)``, an iterable of place and requests a second of each live entry.
    """

    region_by_place: dict
    rates: object
    _sum_by_service: dict = Factory(dict)

    def by_region(self, service, now_s):
        """Return the demand of each region whose entries are known, as sorted pairs."""
        summed_s, demand = self._sum_by_service.get(service, (-inf, ()))
        if now_s - summed_s >= DEMAND_LIFE_S:
            demand = self._sum(service, now_s)
            self._sum_by_service[service] = (now_s, demand)
        return demand

    def _sum(self, service, now_s):
        total_by_region = {}
        for place, per_s in self.rates(service, now_s):
            region = self.region_by_place.get(place, "")
            total_by_region[region] = total_by_region.get(region, 0.0) + per_s
        return tuple(sorted((region, round(per_s, 1)) for region, per_s in total_by_region.items()))
