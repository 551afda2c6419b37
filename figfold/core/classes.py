"""Short and long requests, learned from the durations that the entry observes."""

from bisect import bisect_left, insort
from collections import deque
from math import inf

from attrs import Factory, define

DURATION_WINDOW = 128  # Requests.
MIN_SAMPLES = 3  # Requests of a key before it can be long.
MIN_QUANTILE_SAMPLES = 20  # Requests of a class before it can be hedged.
SMOOTHING = 0.1  # Weight of a new duration in a key's average.
OUTLIER_FACTOR = 3.0  # A duration counts as at most this multiple of the key's average.


@define
class DurationWindow:
    """The latest durations of a class in seconds, kept sorted for quantiles."""

    _latest: deque = Factory(deque)
    _sorted: list = Factory(list)
    _sum_s: float = 0.0

    def __len__(self):
        return len(self._sorted)

    def record(self, duration_s):
        """Add a duration, dropping the oldest when the window is full."""
        self._latest.append(duration_s)
        insort(self._sorted, duration_s)
        self._sum_s += duration_s
        if len(self._latest) > DURATION_WINDOW:
            oldest_s = self._latest.popleft()
            del self._sorted[bisect_left(self._sorted, oldest_s)]
            self._sum_s -= oldest_s

    def mean_s(self):
        """Return the mean duration, zero without samples."""
        return max(0.0, self._sum_s) / len(self._sorted) if self._sorted else 0.0

    def quantile_s(self, quantile):
        """Return a quantile of the durations, zero without samples."""
        if not self._sorted:
            return 0.0
        index = min(len(self._sorted) - 1, int(quantile * len(self._sorted)))
        return self._sorted[index]


HURRIED_SAMPLE_FACTOR = 2.0  # What a time-out after little time counts as, in multiples of it.


@define
class KeyStats:
    """Average duration of the requests that share a class key."""

    mean_s: float
    samples: int = 1
    is_long: bool = False

    def record(self, duration_s):
        """Add a duration; the first few keep the smallest, as one straggler must not decide."""
        self.samples += 1
        if self.samples <= MIN_SAMPLES:
            self.mean_s = min(self.mean_s, duration_s)
            return
        bounded_s = min(duration_s, OUTLIER_FACTOR * self.mean_s)
        self.mean_s += SMOOTHING * (bounded_s - self.mean_s)


@define
class RequestClasses:
    """Classes of a service's requests by class key.

    A key is long when its average exceeds a multiple of the service's median duration, and short
    again below a smaller multiple. Unknown keys are short.
    """

    long_factor: float
    short_again_factor: float
    key_limit: int
    hedge_quantile: float
    _stats_by_key: dict[str, KeyStats] = Factory(dict)
    _all: DurationWindow = Factory(DurationWindow)
    _short: DurationWindow = Factory(DurationWindow)
    _long: DurationWindow = Factory(DurationWindow)

    @classmethod
    def from_config(cls, options):
        """Return classes that know no key yet."""
        return cls(
            options.long_factor,
            options.short_again_factor,
            options.class_key_limit,
            options.hedge_quantile,
        )

    def is_long(self, class_key):
        """Return whether requests with this key are long."""
        stats = self._stats_by_key.get(class_key)
        return stats is not None and stats.is_long

    def expected_s(self, class_key):
        """Return the expected duration; the service's median for unknown keys."""
        stats = self._stats_by_key.get(class_key)
        return stats.mean_s if stats else self._all.quantile_s(0.5)

    def is_known(self, class_key):
        """Return whether enough durations of this key were seen to compare servers by them."""
        stats = self._stats_by_key.get(class_key)
        return stats is not None and stats.samples >= MIN_SAMPLES

    def class_mean_s(self, is_long):
        """Return the mean duration of short or long requests."""
        return self._window(is_long).mean_s()

    def hedge_delay_s(self, is_long):
        """Return the age at which a request of the class is hedged, infinity until learned."""
        window = self._window(is_long)
        if len(window) < MIN_QUANTILE_SAMPLES:
            return inf
        return window.quantile_s(self.hedge_quantile)

    def record(self, class_key, duration_s):
        """Add the duration of a request that a healthy server answered."""
        self._all.record(duration_s)
        stats = self._stats_by_key.pop(class_key, None)
        if stats is None:
            stats = KeyStats(duration_s)
        else:
            stats.record(duration_s)
        self._stats_by_key[class_key] = stats
        self._evict()
        self._classify(stats)
        self._window(stats.is_long).record(duration_s)

    def record_hurried(self, class_key, duration_s):
        """Add the age of a request whose time ran out soon; its full duration is not known.

        Without this, requests that are dispatched with too little time left would all time out
        and the expected duration would never grow to tell so.
        """
        self.record(class_key, HURRIED_SAMPLE_FACTOR * duration_s)

    def record_cancelled(self, class_key, duration_s):
        """Add the age of a cancelled request, which its full duration would have exceeded.

        Ages below the hedge delay say nothing about the tail and are left out.
        """
        is_long = self.is_long(class_key)
        if duration_s >= self.hedge_delay_s(is_long):
            self._window(is_long).record(duration_s)

    def _classify(self, stats):
        if stats.samples < MIN_SAMPLES:
            return
        median_s = self._all.quantile_s(0.5)
        factor = self.short_again_factor if stats.is_long else self.long_factor
        stats.is_long = stats.mean_s > factor * median_s

    def _evict(self):
        """Drop the key that was not seen for longest; the dict is in order of last use."""
        if len(self._stats_by_key) > self.key_limit:
            del self._stats_by_key[next(iter(self._stats_by_key))]

    def _window(self, is_long):
        return self._long if is_long else self._short
