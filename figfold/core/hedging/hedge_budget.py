"""Limit on the extra attempts of a service within a sliding window."""

from collections import deque

from attrs import Factory, define

# Length of the window. Within a shorter one, the few stragglers of an entry come too unevenly.
WINDOW_S = 30.0


@define
class HedgeBudget:
    """Extra attempts of a service at one entry, as a fraction of its requests there.

    Each extra attempt is backed by requests of the window before it, which back no other one. The
    sum over all entries and any time therefore keeps the ratio as well, without messages.
    """

    _request_times_s: deque = Factory(deque)
    _hedge_times_s: deque = Factory(deque)

    def count_request(self, now_s):
        """Count a request of the service."""
        self._request_times_s.append(now_s)
        self._drop_older(now_s - WINDOW_S)

    def has_room(self, ratio, now_s):
        """Return whether one more extra attempt keeps the ratio in the window that ends now."""
        self._drop_older(now_s - WINDOW_S)
        return len(self._hedge_times_s) + 1 <= ratio * len(self._request_times_s)

    def record_hedge(self, now_s):
        """Count an extra attempt."""
        self._hedge_times_s.append(now_s)

    def _drop_older(self, limit_s):
        for times in (self._request_times_s, self._hedge_times_s):
            while times and times[0] < limit_s:
                times.popleft()
