"""Classifies requests as short or long by the durations that the entry observes."""

from bisect import bisect_left, insort
from collections import deque
from math import inf

from attrs import Factory, define

DURATION_WINDOW = 128  # Requests.
MIN_SAMPLES = 3  # Requests of a key before it can become long.
MIN_QUANTILE_SAMPLES = 20  # Requests of a class before its requests are hedged.
SMOOTHING = 0.1  # Weight of a new duration in a key's average.
OUTLIER_FACTOR = 3.0  # A duration counts at most as this multiple of the key's average.


@define
class DurationWindow:
    """Sliding window of the latest durations in seconds, kept sorted for quantiles."""

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


# Duration that is assumed of an attempt with a short time-out, as a multiple of that time-out.
SHORT_TIMEOUT_SAMPLE_FACTOR = 2.0


@define
class KeyStats:
    """Average duration of the requests that share a class key."""

    mean_s: float
    samples: int = 1
    is_long: bool = False

    def record(self, duration_s):
        """Add a duration; the first few keep the minimum, as a single outlier must not decide."""
        self.samples += 1
        if self.samples <= MIN_SAMPLES:
            self.mean_s = min(self.mean_s, duration_s)
            return
        bounded_s = min(duration_s, OUTLIER_FACTOR * self.mean_s)
        self.mean_s += SMOOTHING * (bounded_s - self.mean_s)


@define
class RequestClasses:
    """Class of a service's requests, short or long, by class key.

    A key is long when its average exceeds a multiple of the service's median duration, and short
    again below a smaller multiple. Unknown keys are short.
    """

    long_factor: float
    reclassify_short_factor: float
    key_limit: int
    hedge_quantile: float
    _stats_by_key: dict[str, KeyStats] = Factory(dict)
    _all: DurationWindow = Factory(DurationWindow)
    _short: DurationWindow = Factory(DurationWindow)
    _long: DurationWindow = Factory(DurationWindow)

    @classmethod
    def from_config(cls, options):
        """Return a state without known keys."""
        return cls(
            options.long_factor,
            options.reclassify_short_factor,
            options.class_key_limit,
            options.hedge_quantile,
        )

    def is_long(self, class_key):
        """Return whether requests with this key are long."""
        stats = self._stats_by_key.get(class_key)
        return stats is not None and stats.is_long

    def expected_s(self, class_key):
        """Return the expected duration, which is the service's median for unknown keys."""
        stats = self._stats_by_key.get(class_key)
        return stats.mean_s if stats else self._all.quantile_s(0.5)

    def is_known(self, class_key):
        """Return whether the key has enough samples to compare servers by its durations."""
        stats = self._stats_by_key.get(class_key)
        return stats is not None and stats.samples >= MIN_SAMPLES

    def class_mean_s(self, is_long):
        """Return the mean duration of short or long requests."""
        return self._window(is_long).mean_s()

    def hedge_delay_s(self, is_long):
        """Return the age at which requests of the class are hedged, infinity with few samples."""
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

    def record_short_timeout(self, class_key, duration_s):
        """Add an attempt whose short time-out passed, so that its full duration is not known.

        Without this, requests that are dispatched with too little time left would all time out,
        and the expected duration would never grow enough to refuse them.
        """
        self.record(class_key, SHORT_TIMEOUT_SAMPLE_FACTOR * duration_s)

    def record_cancelled(self, class_key, duration_s):
        """Add the age of a cancelled request, a lower bound of its full duration.

        Ages below the hedge delay are ignored, as they say nothing about the tail.
        """
        is_long = self.is_long(class_key)
        if duration_s >= self.hedge_delay_s(is_long):
            self._window(is_long).record(duration_s)

    def _classify(self, stats):
        if stats.samples < MIN_SAMPLES:
            return
        median_s = self._all.quantile_s(0.5)
        factor = self.reclassify_short_factor if stats.is_long else self.long_factor
        stats.is_long = stats.mean_s > factor * median_s

    def _evict(self):
        """Evict the least recently used key; the dict is in order of last use."""
        if len(self._stats_by_key) > self.key_limit:
            del self._stats_by_key[next(iter(self._stats_by_key))]

    def _window(self, is_long):
        return self._long if is_long else self._short
