"""How long attempts take relative to what was expected: a histogram whose samples lose weight."""

from bisect import bisect_left

from attrs import Factory, define

# Upper bounds of the buckets: 8 for each doubling, so that a quantile is at most 9 % too high.
BUCKETS_PER_DOUBLING = 8
LOWEST_EXPONENT, HIGHEST_EXPONENT = -4, 6
BOUNDS = tuple(
    2.0 ** (number / BUCKETS_PER_DOUBLING)
    for number in range(
        LOWEST_EXPONENT * BUCKETS_PER_DOUBLING, HIGHEST_EXPONENT * BUCKETS_PER_DOUBLING + 1
    )
)
# Time after which a sample counts half.
HALF_LIFE_S = 15.0
# Time between two adjustments of the weights.
DECAY_INTERVAL_S = 1.0


@define
class DurationRatios:
    """Decaying histogram of the durations of attempts as multiples of the expected ones."""

    _weights: list = Factory(lambda: [0.0] * (len(BOUNDS) + 1))
    _total: float = 0.0
    _decayed_s: float = 0.0

    def add(self, ratio, now_s):
        """Add a sample."""
        self._decay(now_s)
        self._weights[bisect_left(BOUNDS, ratio)] += 1.0
        self._total += 1.0

    def sample_count(self, now_s):
        """Return the number of samples by their present weight."""
        self._decay(now_s)
        return self._total

    def quantile(self, fraction, now_s):
        """Return the ratio that a fraction of the samples does not exceed; 0 without samples."""
        self._decay(now_s)
        missing = fraction * self._total
        if missing <= 0.0:
            return 0.0
        for bound, weight in zip(BOUNDS, self._weights, strict=False):
            missing -= weight
            if missing <= 0.0:
                return bound
        return BOUNDS[-1]

    def _decay(self, now_s):
        elapsed_s = now_s - self._decayed_s
        if elapsed_s < DECAY_INTERVAL_S:
            return
        self._decayed_s = now_s
        if self._total <= 0.0:
            return
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._weights = [factor * one for one in self._weights]
        self._total = sum(self._weights)
