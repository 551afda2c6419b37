"""Adaptive limit on the requests of one entry in progress at a service."""

from math import inf

from attrs import define

MIN_LIMIT = 1.0
MAX_LIMIT = 10_000.0
# Factor of a decrease after a rejection, and bounds of the one after an answer of a crowded server,
# which is smaller the longer requests have waited there.
REJECTED_FACTOR = 0.75
MIN_CROWDED_FACTOR = 0.5
MAX_CROWDED_FACTOR = 0.9
# Increase for one round of answers, that is as many as the limit. Even the least limits must rise
# more slowly than an answer of a crowded server lowers them.
ROUND_STEP = 0.25
# Increase for one answer of a server that has reported a free slot. Only the entry that gets the
# answer learns of this slot, and a small step leaves it to few entries.
FREE_SLOT_STEP = 0.25
# The limit rises only while at least this part of it is used.
MIN_USED_FRACTION = 0.8
# A limit aims at this multiple of what would be in progress if nothing waited at servers.
HEADROOM = 1.5
# Weight of a new duration in the means.
SMOOTHING = 0.1
INITIAL_DURATION_S = 0.5


@define
class ConcurrencyLimit:
    """Limit with additive increase and multiplicative decrease; times are monotonic seconds.

    Attributes
    ----------
    value : float
        The limit, of which whole requests count; never below 1.
    mean_run_s, mean_duration_s : float
        Usual run time of recent answers, and time until they came.
    """

    value: float = MIN_LIMIT
    mean_run_s: float = 0.0
    mean_duration_s: float = 0.0
    _decreased_s: float = -inf

    @property
    def slots(self):
        """The number of requests that may be in progress."""
        return int(self.value)

    @property
    def drain_per_s(self):
        """Requests that end per second while the limit is used up."""
        return self.value / max(0.001, self.mean_duration_s or INITIAL_DURATION_S)

    def start(self, in_progress, now_s):
        """Set the first limit of a shortage from the requests in progress.

        Of these, the part that waits at servers is left out, with some headroom.
        """
        self.value = max(MIN_LIMIT, min(1.0, self._needed_part()) * in_progress)
        self._decreased_s = now_s

    def observe_duration(self, run_s, duration_s):
        """Update the means after an answer."""
        weight = SMOOTHING if self.mean_duration_s > 0.0 else 1.0
        self.mean_run_s += weight * (run_s - self.mean_run_s)
        self.mean_duration_s += weight * (duration_s - self.mean_duration_s)

    def increase(self, in_progress, has_free_slot):
        """Raise the limit after an answer.

        Parameters
        ----------
        has_free_slot : bool
            Whether the server reported a free slot, after which the limit rises faster.
        """
        if in_progress < MIN_USED_FRACTION * self.value:
            return
        step = FREE_SLOT_STEP if has_free_slot else ROUND_STEP / self.value
        self.value = min(MAX_LIMIT, self.value + step)

    def decrease_by_rejection(self, now_s):
        """Lower the limit after a rejection, at most once per round-trip time."""
        self._decrease(REJECTED_FACTOR, now_s)

    def decrease_by_crowding(self, now_s):
        """Lower the limit after an answer of a crowded server, at most once per round-trip time."""
        factor = max(MIN_CROWDED_FACTOR, min(MAX_CROWDED_FACTOR, self._needed_part()))
        self._decrease(factor, now_s)

    def _needed_part(self):
        return HEADROOM * self.mean_run_s / self.mean_duration_s if self.mean_duration_s else 1.0

    def _decrease(self, factor, now_s):
        if now_s - self._decreased_s < self.mean_duration_s:
            return
        self.value = max(MIN_LIMIT, factor * self.value)
        self._decreased_s = now_s
