"""Decides when, and whether, a request that may be repeated gets an extra attempt."""

from enum import Enum
from math import inf

from attrs import Factory, define

from figfold.core.hedging.duration_ratios import DurationRatios
from figfold.core.hedging.hedge_budget import HedgeBudget

# Part of the ratio that slow requests take up on average, so that uneven ones stay within it too.
RATIO_FRACTION = 0.8
# Bounds of the quantile after which an extra attempt is sent. A higher one than the upper bound
# lies within the durations of the stragglers, where there are some percent of them.
LOWEST_QUANTILE = 0.9
HIGHEST_QUANTILE = 0.96
# Samples from which on the quantile is used.
MIN_SAMPLES = 20
# Latest time of an extra attempt, as a multiple of the expected duration, and the time without
# enough samples.
LATEST_FACTOR = 2.5
# Earliest time of an extra attempt, above the jitter of the network and of the event loop.
MIN_DELAY_S = 0.05
# Earliest time without enough samples.
MIN_DELAY_WITHOUT_SAMPLES_S = 0.3
# Time for which a rejection shows that the service is short of capacity.
REJECTION_S = 1.0
# Fraction of the slots that must be free for the service not to be short of capacity.
MIN_FREE_FRACTION = 0.15


class HedgeRefusal(Enum):
    """Why a request gets no extra attempt, though it takes long."""

    REJECTIONS = "rejections"  # Servers, or the entry, have just rejected requests of the service.
    NO_ROOM = "no-room"  # Few slots of the service are free.
    HEDGE_BUDGET = "hedge-budget"
    RETRY_BUDGET = "retry-budget"
    NO_SERVER = "no-free-server"
    TIME = "time"  # The answer would come after the time limit.
    SUSPECT = "suspect"  # The request may have crashed a server.
    KEY = "key"  # The API key of the request is no longer accepted.

    @property
    def is_final(self):
        """Whether the request cannot get an extra attempt later either."""
        return self in (HedgeRefusal.TIME, HedgeRefusal.SUSPECT, HedgeRefusal.KEY)


@define
class _ServiceState:
    budget: HedgeBudget = Factory(HedgeBudget)
    rejected_s: float = -inf


@define
class HedgePolicy:
    """What the decisions on extra attempts depend on, by service and by route."""

    _state_by_service: dict = Factory(dict)
    _ratios_by_route: dict = Factory(dict)

    def count_request(self, service, now_s):
        """Count a request of a service, which allows a fraction of an extra attempt."""
        self._state(service).budget.count_request(now_s)

    def record_rejection(self, service, now_s):
        """Record that a request of a service was rejected for lack of capacity."""
        self._state(service).rejected_s = now_s

    def observe_answer(self, route_name, service, duration_s, expected_s, now_s):
        """Add the duration of an attempt that was answered."""
        if expected_s > 0.0:
            self._ratios(route_name, service).add(duration_s / expected_s, now_s)

    def observe_unfinished(self, route_name, service, duration_s, expected_s, now_s):
        """Add the duration of an attempt that ended without an answer, as by its cancellation.

        Left out, the slow attempts that lose to their extra ones would lower the quantile further
        and further. A duration below the quantile says nothing about it.
        """
        ratios = self._ratios(route_name, service)
        if expected_s <= 0.0 or ratios.sample_count(now_s) < MIN_SAMPLES:
            return
        if duration_s / expected_s >= ratios.quantile(LOWEST_QUANTILE, now_s):
            ratios.add(duration_s / expected_s, now_s)

    def delay_s(self, route_name, service, expected_s, hedge_ratio, now_s):
        """Return the time after which a request gets an extra attempt.

        Parameters
        ----------
        expected_s : float
            Expected duration of the attempt in progress, at the present speed of its server.
        hedge_ratio : float
            Extra attempts that are allowed per request.
        """
        ratios = self._ratios(route_name, service)
        if ratios.sample_count(now_s) < MIN_SAMPLES:
            return max(MIN_DELAY_WITHOUT_SAMPLES_S, LATEST_FACTOR * expected_s)
        fraction = min(HIGHEST_QUANTILE, max(LOWEST_QUANTILE, 1.0 - RATIO_FRACTION * hedge_ratio))
        factor = min(LATEST_FACTOR, ratios.quantile(fraction, now_s))
        return max(MIN_DELAY_S, factor * expected_s)

    def find_refusal(self, service, hedge_ratio, room, now_s):
        """Return the `HedgeRefusal` that forbids an extra attempt now, or None.

        Parameters
        ----------
        hedge_ratio : float
            Extra attempts that are allowed per request, within a sliding window.
        room : SlotRoom
            Free slots of the servers that the request may use, as far as they are known.
        """
        state = self._state(service)
        if now_s - state.rejected_s < REJECTION_S:
            return HedgeRefusal.REJECTIONS
        if room.slots and room.free < MIN_FREE_FRACTION * room.slots:
            return HedgeRefusal.NO_ROOM
        if not state.budget.has_room(hedge_ratio, now_s):
            return HedgeRefusal.HEDGE_BUDGET
        return None

    def record_hedge(self, service, now_s):
        """Count an extra attempt that is sent."""
        self._state(service).budget.record_hedge(now_s)

    def retain_routes(self, route_by_name):
        """Drop the state of routes and services that no longer exist."""
        for name, service in list(self._ratios_by_route):
            if name not in route_by_name:
                del self._ratios_by_route[name, service]
        used = {one.service for route in route_by_name.values() for one in route.services}
        for service in self._state_by_service.keys() - used:
            del self._state_by_service[service]

    def _state(self, service):
        return self._state_by_service.setdefault(service, _ServiceState())

    def _ratios(self, route_name, service):
        return self._ratios_by_route.setdefault((route_name, service), DurationRatios())
