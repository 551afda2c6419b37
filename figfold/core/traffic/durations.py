"""Estimates how long a route's requests run at servers with and without a warm object."""

from attrs import Factory, define

SMOOTHING = 0.05  # Smallest weight of a new sample; the first samples are weighted equally.
INITIAL_COLD_S = 0.5  # Estimate for a cold run before any sample.
# Ratio of a warm run to a cold run that is assumed before any warm sample.
INITIAL_WARM_RATIO = 0.5
# A cold run is estimated at no less than this multiple of a warm run. The mean of the runs that
# this entry takes for cold is too low, because other entries may have warmed the object at the
# server. Typical medians are 719 ms for cold and 238 ms for warm runs.
MIN_COLD_FACTOR = 2.5
# Samples are capped at this multiple of the mean, so that stragglers do not distort it.
STRAGGLER_FACTOR = 3.0


@define
class _RunningMean:
    value: float = 0.0
    count: int = 0

    def add(self, sample):
        if self.count >= 5:
            sample = min(sample, STRAGGLER_FACTOR * self.value)
        self.count += 1
        self.value += max(SMOOTHING, 1.0 / self.count) * (sample - self.value)


@define
class RouteDurations:
    """Mean run times of one route's requests in seconds, adjusted to a machine at usual pace."""

    cold: _RunningMean = Factory(_RunningMean)
    warm: _RunningMean = Factory(_RunningMean)

    def add(self, duration_s, is_warm):
        """Add the duration of a run at a server that was assumed to be warm or cold."""
        (self.warm if is_warm else self.cold).add(duration_s)

    def cold_s(self):
        """Return the expected run time at a server that does not hold the object."""
        cold_s = self.cold.value if self.cold.count else INITIAL_COLD_S
        return max(cold_s, MIN_COLD_FACTOR * self.warm.value)

    def warm_s(self):
        """Return the expected run time at a server that holds the object."""
        if self.warm.count:
            return self.warm.value
        return INITIAL_WARM_RATIO * self.cold_s()
