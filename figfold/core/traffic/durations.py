"""How long requests of a route run, where their object is held warm and where it is not."""

from attrs import Factory, define

SMOOTHING = 0.05  # Weight of a new sample once there are enough.
FIRST_COLD_S = 0.5  # Expected run before any was seen.
# Part of a cold run that a warm one is taken to need before any was seen.
FIRST_WARM_PART = 0.5
# A run at a server that does not hold the object takes at least this multiple of one that does.
# Those that an entry takes for cold are often warm, since other entries sent the object there, so
# that their mean is no guide. Source: medians of 719 and 238 ms on Carrick's quiet day.
LEAST_COLD_FACTOR = 2.5
# A run that took longer than this multiple of the mean is a straggler and tells little of it.
STRAGGLER_FACTOR = 3.0


@define
class _Mean:
    value: float = 0.0
    count: int = 0

    def add(self, sample):
        if self.count >= 5:
            sample = min(sample, STRAGGLER_FACTOR * self.value)
        self.count += 1
        self.value += max(SMOOTHING, 1.0 / self.count) * (sample - self.value)


@define
class RouteDurations:
    """Mean run times of one route's requests, in seconds at the usual pace."""

    cold: _Mean = Factory(_Mean)
    warm: _Mean = Factory(_Mean)

    def add(self, duration_s, is_warm):
        """Add a run, with the belief that it was chosen by."""
        (self.warm if is_warm else self.cold).add(duration_s)

    def cold_s(self):
        """Return the expected run at a server that does not hold the object."""
        cold_s = self.cold.value if self.cold.count else FIRST_COLD_S
        return max(cold_s, LEAST_COLD_FACTOR * self.warm.value)

    def warm_s(self):
        """Return the expected run at a server that holds the object."""
        if self.warm.count:
            return self.warm.value
        return FIRST_WARM_PART * self.cold_s()
