"""Limits that all entries keep together without asking: each stays inside its own part."""

from collections import deque

from attrs import Factory, define

# Parts of the shared budget that are used: entries that were replaced inside a window have spent
# from it as well, and entries may disagree on how many they are.
RATIO_PART = 0.8
SLACK_PART = 0.5
# Part of an entry's requests within the window that may overflow to other regions.
OVERFLOW_PART = 0.06
OVERFLOW_WINDOW_S = 2.0


@define
class RetryAllowance:
    """Second sends of one service within a sliding window.

    Attributes
    ----------
    window_s : float
        Length of the window.
    ratio : float
        Second sends per request of the service.
    slack : float
        Second sends allowed on top, over all entries.
    """

    window_s: float
    ratio: float
    slack: float
    _first_s: deque = Factory(deque)
    _second_s: deque = Factory(deque)

    def count_request(self, now_s):
        """Count a request of the service."""
        self._first_s.append(now_s)

    def take(self, entry_count, now_s):
        """Use up a second send; returns whether there was one."""
        _drop_older(self._first_s, now_s - self.window_s)
        _drop_older(self._second_s, now_s - self.window_s)
        allowed = RATIO_PART * self.ratio * len(self._first_s)
        allowed += SLACK_PART * self.slack / max(1, entry_count)
        if len(self._second_s) + 1 > allowed:
            return False
        self._second_s.append(now_s)
        return True


@define
class OverflowAllowance:
    """Requests that go to another region because the servers of their own are full.

    A short wave must not move a large part of a region's requests at once: the other regions'
    servers would be filled with cold runs.
    """

    _requests_s: deque = Factory(deque)
    _moved_s: deque = Factory(deque)

    def count_request(self, now_s):
        """Count a request."""
        self._requests_s.append(now_s)
        _drop_older(self._requests_s, now_s - OVERFLOW_WINDOW_S)

    def take(self, now_s):
        """Use up a move to another region; returns whether there was one."""
        _drop_older(self._requests_s, now_s - OVERFLOW_WINDOW_S)
        _drop_older(self._moved_s, now_s - OVERFLOW_WINDOW_S)
        if len(self._moved_s) + 1 > OVERFLOW_PART * len(self._requests_s) + 1:
            return False
        self._moved_s.append(now_s)
        return True


@define
class ColdAllowance:
    """Requests to cold servers: the entries next to one share the rate that it bears."""

    _next_s_by_server: dict[str, float] = Factory(dict)

    def is_free(self, server_id, now_s):
        """Return whether this entry may send the server a request now."""
        return now_s >= self._next_s_by_server.get(server_id, now_s)

    def take(self, server_id, requests_per_s, sharers, now_s):
        """Count a request to a cold server, whose rate some entries share."""
        interval_s = max(1, sharers) / max(0.01, requests_per_s)
        self._next_s_by_server[server_id] = now_s + interval_s
        if len(self._next_s_by_server) > 1000:
            self._drop_past(now_s)

    def _drop_past(self, now_s):
        past = [one for one, next_s in self._next_s_by_server.items() if next_s <= now_s]
        for one in past:
            del self._next_s_by_server[one]


def cold_sharers(place, region, entry_places, region_by_place):
    """Return the places whose entries may send to a cold server.

    These are the server's own place while entries live there, else its region, else all.

    Parameters
    ----------
    place, region : str
        Where the server is.
    entry_places : iterable of str
        The place of each live entry, the own one included.
    region_by_place : dict[str, str]

    Returns
    -------
    list[str]
        The place of each entry that shares the server's rate.
    """
    entry_places = list(entry_places)
    near = [one for one in entry_places if one == place]
    if not near:
        near = [one for one in entry_places if region_by_place.get(one) == region]
    return near or entry_places


def _drop_older(times, limit_s):
    while times and times[0] < limit_s:
        times.popleft()
