"""Sizes of buckets, durations of leases, and rates of requests."""

from math import exp, inf, sqrt

from attrs import define

# Time for which an entry delegates its base share, from the stamp that its request repeats. The
# stamp can be as old as the longest interval between two requests.
DELEGATION_S = 2.5
ENTRY_LEASE_S = 0.9
# A quota holder grants leases of `ENTRY_LEASE_S` from what it borrows, so that a loan has to last
# for one such lease, a round trip between regions and an interval.
REGION_LEASE_S = 1.4
# Time after its registration from which a process uses its base share. Its predecessor may have
# delegated the same share to a quota holder that still runs, for up to a second longer: then both
# use it. After a restart of all processes no quota
# holder remains, and a longer delay would refuse all requests.
BASE_DELAY_S = 1.0
# Smallest size of a limit's buckets together: requests, and seconds of the limit's rate. The share
# of an entry can hold a whole request only if the buckets of all hold several.
MIN_BURST = 10.0
MIN_BURST_S = 0.25
# Time constants of the rate of requests: one follows changes, the other counts enough requests
# where these are rare.
FAST_WINDOW_S = 0.7
SLOW_WINDOW_S = 4.0
# Smallest weight of the time since the first request, so that one request is no high rate.
MIN_WEIGHT = 0.7
# The fast rate holds if it differs from the slow one by this many usual deviations, and by at
# least this many requests in its time.
FAST_DEVIATIONS = 3.0
MIN_FAST_REQUESTS = 3.0
# Requests that would usually have come in a time without any, from which the rate has fallen.
QUIET_REQUESTS = 3.0
WHOLE_TOKEN = 1.0 - 1e-6


def is_limited(organisation):
    """Return whether the organisation has a limit."""
    return organisation is not None and organisation.rate_per_s > 0.0


def bucket_size(organisation):
    """Return the number of tokens that all buckets of an organisation may hold together."""
    rate = organisation.rate_per_s
    return max(organisation.burst, MIN_BURST + MIN_BURST_S * rate)


@define
class DemandRate:
    """Exponentially weighted rate of requests, over a time that depends on how many there are."""

    _fast: float = 0.0
    _slow: float = 0.0
    _weight: float = 0.0
    _updated_s: float | None = None
    _counted_s: float = -inf

    def count(self, now_s):
        """Count one request."""
        self._decay(now_s)
        self._counted_s = now_s
        self._fast += 1.0 / FAST_WINDOW_S
        self._slow += 1.0 / SLOW_WINDOW_S

    def _decay(self, now_s):
        if self._updated_s is None:
            self._updated_s = now_s
        passed_s = now_s - self._updated_s
        if passed_s > 0.0:
            self._fast *= exp(-passed_s / FAST_WINDOW_S)
            kept = exp(-passed_s / SLOW_WINDOW_S)
            self._slow *= kept
            self._weight = 1.0 - kept * (1.0 - self._weight)
            self._updated_s = now_s

    def per_s(self, now_s):
        """Return the requests per second."""
        self._decay(now_s)
        # The slow average is of the time since the first request alone, which began with one.
        slow = self._slow / (MIN_WEIGHT + (1.0 - MIN_WEIGHT) * self._weight)
        usual = max(FAST_DEVIATIONS * deviation(slow), MIN_FAST_REQUESTS / FAST_WINDOW_S)
        if abs(self._fast - slow) > usual:
            slow = self._restart(self._fast)
        quiet_s = now_s - self._counted_s
        if slow * quiet_s > QUIET_REQUESTS:
            slow = self._restart(QUIET_REQUESTS / quiet_s)
        return slow

    def _restart(self, per_s):
        """Begin the slow average again at a rate."""
        self._slow, self._weight = MIN_WEIGHT * per_s, 0.0
        return per_s


def deviation(per_s, window_s=FAST_WINDOW_S):
    """Return the usual deviation of a rate from its mean, in requests per second."""
    return sqrt(per_s / (2.0 * window_s))
