"""How busy, slow or unreliable each backend server is, from its answers and reports."""

from collections import OrderedDict
from math import exp, inf

from attrs import Factory, define, frozen

# Time constant with which a reported queue of other entries' requests loses its weight.
REPORT_LIFE_S = 1.0
# The same for the reported pace of a machine, which changes several times a second.
PACE_LIFE_S = 0.6
# The same for a server's own slowness, which lasts for seconds.
SLOWNESS_LIFE_S = 4.0
SLOWNESS_SMOOTHING = 0.4  # Weight of a new sample.
SLOWNESS_LIMIT = 12.0  # A sample counts as at most this, so that one straggler does not decide.
FAILURE_SMOOTHING = 0.25  # Weight of the latest attempt in a server's failure rate.
FAILURE_LIFE_S = 4.0  # Time constant with which a failure rate is forgotten.
BACKOFF_S = 0.3  # Pause after the first failure to reach a server; doubles with each more.
BACKOFF_LIMIT_S = 3.0
# Objects that a server is taken to hold warm: the smallest memory that the services are built for.
WARM_OBJECTS = 16


@frozen
class LoadReport:
    """What a server says of its load in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests at the server and how many it runs at once.
    pace : float
        How long work takes on its machine at this moment, relative to the usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@define
class ServerLoad:
    """One server as this entry sees it; times are monotonic seconds.

    Attributes
    ----------
    in_flight : dict[int, float]
        Start of each own attempt in progress, by attempt.
    """

    slots: int
    in_flight: dict[int, float] = Factory(dict)
    others: float = 0.0
    pace: float = 1.0
    reported_s: float = -inf
    slowness: float = 1.0
    slowness_s: float = -inf
    failure_rate: float = 0.0
    failure_s: float = -inf
    failures_in_row: int = 0
    backoff_until_s: float = -inf
    warm_keys: OrderedDict = Factory(OrderedDict)

    def start(self, attempt_id, key, now_s):
        """Count an attempt that starts."""
        self.in_flight[attempt_id] = now_s
        if key:
            self.warm_keys[key] = now_s
            self.warm_keys.move_to_end(key)
            while len(self.warm_keys) > WARM_OBJECTS:
                self.warm_keys.popitem(last=False)

    def end(self, attempt_id):
        """Forget an attempt that ended, however it did."""
        self.in_flight.pop(attempt_id, None)

    def is_warm(self, key):
        """Return whether this entry sent a request for the object here lately."""
        return key in self.warm_keys

    def take_report(self, report, now_s):
        """Take the load that an answer carries."""
        if report.slots > 0:
            self.slots = report.slots
        self.others = max(0.0, report.running + report.waiting - len(self.in_flight))
        self.pace = max(0.1, report.pace)
        self.reported_s = now_s

    def take_shed(self, now_s):
        """Take that the server rejected a request as full."""
        self.others = max(self.others, self.slots + 1.0 - len(self.in_flight))
        self.reported_s = now_s
        self._take_attempt(True, now_s)

    def take_success(self, duration_s, expected_s, now_s):
        """Take how long an attempt ran, and how long it was expected to."""
        self.failures_in_row = 0
        self.backoff_until_s = -inf
        self._take_attempt(False, now_s)
        if expected_s > 0.0:
            sample = min(SLOWNESS_LIMIT, duration_s / expected_s)
            current = self.current_slowness(now_s)
            self.slowness = current + SLOWNESS_SMOOTHING * (sample - current)
            self.slowness_s = now_s

    def take_failure(self, now_s, is_unreachable):
        """Take that an attempt failed; one that could not be reached rests for a while."""
        self._take_attempt(True, now_s)
        self.failures_in_row += 1
        if is_unreachable or self.failures_in_row > 1:
            pause_s = BACKOFF_S * 2 ** min(self.failures_in_row - 1, 5)
            self.backoff_until_s = now_s + min(BACKOFF_LIMIT_S, pause_s)

    def busy(self, now_s):
        """Return how many requests are believed at the server, those of other entries included."""
        return len(self.in_flight) + self.others * _weight(now_s - self.reported_s, REPORT_LIFE_S)

    def current_pace(self, now_s):
        """Return how long work is believed to take on the machine, relative to the usual."""
        return 1.0 + (self.pace - 1.0) * _weight(now_s - self.reported_s, PACE_LIFE_S)

    def current_slowness(self, now_s):
        """Return how much longer than expected the server's attempts take."""
        weight = _weight(now_s - self.slowness_s, SLOWNESS_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * weight

    def overdue(self, expected_s, now_s):
        """Return the age of the oldest own attempt relative to what one is expected to take."""
        if not self.in_flight or expected_s <= 0.0:
            return 0.0
        return (now_s - min(self.in_flight.values())) / expected_s

    def current_failure_rate(self, now_s):
        """Return which part of attempts fails at the server."""
        return self.failure_rate * _weight(now_s - self.failure_s, FAILURE_LIFE_S)

    def _take_attempt(self, failed, now_s):
        rate = self.current_failure_rate(now_s)
        self.failure_rate = rate + FAILURE_SMOOTHING * (float(failed) - rate)
        self.failure_s = now_s


def _weight(age_s, life_s):
    return exp(-max(0.0, age_s) / life_s) if age_s < inf else 0.0
