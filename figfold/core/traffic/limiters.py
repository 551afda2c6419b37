"""Limits that all entries observe together: each entry enforces its own part, without messages."""

from collections import deque

from attrs import Factory, define

# Fractions of the shared retry budget that the entries use. The rest is a reserve: entries that
# were replaced within the window have spent from it too, and entries may disagree on their number.
RETRY_RATIO_FRACTION = 0.8
RETRY_SLACK_FRACTION = 0.5
# Fraction of an entry's requests within the window that may overflow to other regions.
OVERFLOW_FRACTION = 0.06
OVERFLOW_WINDOW_S = 2.0
# Fraction, including these, up to which requests may overflow that would be refused otherwise.
# Together with the steps of a region's shares it stays below 0.15 of the requests.
LAST_RESORT_FRACTION = 0.09


@define
class RetryBudget:
    """Budget for the retries and hedges of one service within a sliding window.

    Attributes
    ----------
    window_s : float
        Length of the window.
    ratio : float
        Retries allowed per request of the service.
    slack : float
        Retries allowed on top of the ratio, over all entries.
    """

    window_s: float
    ratio: float
    slack: float
    _request_times_s: deque = Factory(deque)
    _retry_times_s: deque = Factory(deque)

    def count_request(self, now_s):
        """Count a request of the service."""
        self._request_times_s.append(now_s)
        _drop_older(self._request_times_s, now_s - self.window_s)

    def try_acquire(self, entry_count, now_s):
        """Spend one retry from the budget; return whether the budget allowed it."""
        _drop_older(self._request_times_s, now_s - self.window_s)
        _drop_older(self._retry_times_s, now_s - self.window_s)
        allowed = RETRY_RATIO_FRACTION * self.ratio * len(self._request_times_s)
        allowed += RETRY_SLACK_FRACTION * self.slack / max(1, entry_count)
        if len(self._retry_times_s) + 1 > allowed:
            return False
        self._retry_times_s.append(now_s)
        return True


@define
class OverflowLimiter:
    """Limits the requests that go to another region because their own region's servers are full.

    A short burst must not move a large part of a region's requests at once, because that would
    fill the other regions' servers with cold runs.
    """

    _request_times_s: deque = Factory(deque)
    _overflow_times_s: deque = Factory(deque)

    def count_request(self, now_s):
        """Count a request."""
        self._request_times_s.append(now_s)
        _drop_older(self._request_times_s, now_s - OVERFLOW_WINDOW_S)

    def try_acquire(self, now_s, is_last_resort=False):
        """Count one request as overflowing; return whether the limit allowed it."""
        if not self.has_room(now_s, is_last_resort):
            return False
        self._overflow_times_s.append(now_s)
        return True

    def has_room(self, now_s, is_last_resort=False):
        """Return whether one more request may overflow.

        Parameters
        ----------
        is_last_resort : bool
            Whether the request would be refused otherwise.
        """
        _drop_older(self._request_times_s, now_s - OVERFLOW_WINDOW_S)
        _drop_older(self._overflow_times_s, now_s - OVERFLOW_WINDOW_S)
        requests = len(self._request_times_s)
        allowed = OVERFLOW_FRACTION * requests + 1
        if is_last_resort:
            allowed = max(allowed, LAST_RESORT_FRACTION * requests)
        return len(self._overflow_times_s) + 1 <= allowed


@define
class ColdServerLimiter:
    """Limits the request rate to each cold server, which the entries nearest to it share."""

    _next_s_by_server: dict[str, float] = Factory(dict)

    def is_allowed(self, server_id, now_s):
        """Return whether this entry may send the server a request now."""
        return now_s >= self._next_s_by_server.get(server_id, now_s)

    def record_request(self, server_id, requests_per_s, entry_count, now_s):
        """Record a request to a cold server whose rate is shared by a number of entries."""
        interval_s = max(1, entry_count) / max(0.01, requests_per_s)
        self._next_s_by_server[server_id] = now_s + interval_s
        if len(self._next_s_by_server) > 1000:
            self._evict_expired(now_s)

    def _evict_expired(self, now_s):
        expired = [one for one, next_s in self._next_s_by_server.items() if next_s <= now_s]
        for one in expired:
            del self._next_s_by_server[one]


def places_sharing_cold_server(place, region, entry_places, region_by_place):
    """Return the place of each entry that may send requests to a cold server.

    These are the entries of the server's own place, if there are any live ones, otherwise those of
    its region, otherwise all. A place appears once for each of its entries.

    Parameters
    ----------
    place, region : str
        Where the server is.
    entry_places : iterable of str
        The place of each live entry, this entry included.
    region_by_place : dict[str, str]

    Returns
    -------
    list[str]
    """
    entry_places = list(entry_places)
    near = [one for one in entry_places if one == place]
    if not near:
        near = [one for one in entry_places if region_by_place.get(one) == region]
    return near or entry_places


def _drop_older(times, limit_s):
    while times and times[0] < limit_s:
        times.popleft()
