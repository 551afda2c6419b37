"""Load, slowness and failure rate of each backend server, from its answers and reports."""

from collections import OrderedDict
from math import exp, inf

from attrs import Factory, define, frozen

# Time constants of the exponential decay with which estimates lose their weight.
REPORT_DECAY_S = 1.0  # Other entries' requests, as a server reports them.
MACHINE_SLOWDOWN_DECAY_S = 0.6  # A machine's slowdown changes several times a second.
USUAL_SLOWDOWN_SMOOTHING = 0.01  # Weight of a report in the mean over all servers.
SERVER_SLOWDOWN_DECAY_S = 4.0  # A server's own slowdown lasts for seconds.
SLOWDOWN_SMOOTHING = 0.4  # Weight of a new sample.
MAX_SLOWDOWN_SAMPLE = 12.0  # Samples are capped, so that one straggler does not decide.
FAILURE_SMOOTHING = 0.25  # Weight of the latest attempt in a server's failure rate.
FAILURE_RATE_DECAY_S = 4.0
INITIAL_BACKOFF_S = 0.3  # After the first failure to reach a server; doubles with each further one.
MAX_BACKOFF_S = 3.0
# Objects that a server is assumed to hold warm: as many as the smallest memory that services are
# designed for can hold.
MAX_WARM_KEYS = 16


@frozen
class LoadReport:
    """Load of a server, as reported in an answer.

    Attributes
    ----------
    running, waiting : int
        Requests that run and that wait at the server.
    slots : int
        Requests that the server runs at once.
    slowdown : float
        Current duration of work on the server's machine, as a multiple of the usual duration.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@define
class UsualSlowdown:
    """Mean slowdown of the machines of all servers, for those whose own is not known now.

    Attributes
    ----------
    is_learned : bool
        Whether it follows the reports; otherwise it is 1.
    """

    is_learned: bool = True
    value: float = 1.0

    def set_learned(self, is_learned):
        """Follow the reports, or count 1 from now on."""
        self.is_learned = is_learned
        if not is_learned:
            self.value = 1.0

    def add(self, slowdown):
        """Add what an answer reports."""
        if not self.is_learned:
            return
        sample = min(MAX_SLOWDOWN_SAMPLE, slowdown)
        self.value += USUAL_SLOWDOWN_SMOOTHING * (sample - self.value)


@define
class ServerLoad:
    """Load and health of one server as this entry estimates them; times are monotonic seconds.

    Attributes
    ----------
    in_flight : dict[int, float]
        Start time of each of this entry's attempts in progress, by attempt.
    other_requests : float
        Requests of other entries at the server, at the latest report.
    machine_slowdown : float
        Slowdown of the server's machine, at the latest report of it.
    machine_slowdown_s : float
        When that was.
    usual_slowdown : UsualSlowdown
        Of all servers' machines.
    server_slowdown : float
        Mean ratio of the attempts' durations to the expected ones.
    warm_keys : OrderedDict
        Objects that this entry has sent requests for, the most recent last.
    body_bytes : int
        Size of the bodies of this entry's attempts in progress.
    """

    slots: int
    in_flight: dict[int, float] = Factory(dict)
    other_requests: float = 0.0
    machine_slowdown: float = 1.0
    machine_slowdown_s: float = -inf
    usual_slowdown: UsualSlowdown = Factory(UsualSlowdown)
    reported_s: float = -inf
    server_slowdown: float = 1.0
    server_slowdown_s: float = -inf
    failure_rate: float = 0.0
    failure_rate_s: float = -inf
    consecutive_failures: int = 0
    backoff_until_s: float = -inf
    warm_keys: OrderedDict = Factory(OrderedDict)
    body_bytes: int = 0
    _body_bytes_by_attempt: dict[int, int] = Factory(dict)

    def start(self, attempt_id, key, now_s, body_bytes=0):
        """Record the start of an attempt."""
        self.in_flight[attempt_id] = now_s
        if body_bytes:
            self._body_bytes_by_attempt[attempt_id] = body_bytes
            self.body_bytes += body_bytes
        if key:
            self.warm_keys[key] = now_s
            self.warm_keys.move_to_end(key)
            while len(self.warm_keys) > MAX_WARM_KEYS:
                self.warm_keys.popitem(last=False)

    def end(self, attempt_id):
        """Record the end of an attempt, whatever its outcome."""
        self.in_flight.pop(attempt_id, None)
        self.body_bytes -= self._body_bytes_by_attempt.pop(attempt_id, 0)

    def is_warm(self, key):
        """Return whether this entry has recently sent the server a request for the object."""
        return key in self.warm_keys

    def observe_report(self, report, now_s):
        """Update the load from the report in an answer."""
        if report.slots > 0:
            self.slots = report.slots
        self.other_requests = max(0.0, report.running + report.waiting - len(self.in_flight))
        self.machine_slowdown = max(0.1, report.slowdown)
        self.usual_slowdown.add(self.machine_slowdown)
        self.machine_slowdown_s = self.reported_s = now_s

    def observe_shed(self, now_s):
        """Update the load after the server has rejected a request because it was full."""
        self.other_requests = max(self.other_requests, self.slots + 1.0 - len(self.in_flight))
        self.reported_s = now_s
        self._update_failure_rate(True, now_s)

    def observe_success(self, duration_s, expected_s, now_s):
        """Update the slowdown and the failure rate after a successful attempt."""
        self.consecutive_failures = 0
        self.backoff_until_s = -inf
        self._update_failure_rate(False, now_s)
        if expected_s > 0.0:
            sample = min(MAX_SLOWDOWN_SAMPLE, duration_s / expected_s)
            current = self.current_server_slowdown(now_s)
            self.server_slowdown = current + SLOWDOWN_SMOOTHING * (sample - current)
            self.server_slowdown_s = now_s

    def observe_failure(self, now_s, is_unreachable):
        """Update the failure rate, and back off if the server is unreachable or failed before."""
        self._update_failure_rate(True, now_s)
        self.consecutive_failures += 1
        if is_unreachable or self.consecutive_failures > 1:
            backoff_s = INITIAL_BACKOFF_S * 2 ** min(self.consecutive_failures - 1, 5)
            self.backoff_until_s = now_s + min(MAX_BACKOFF_S, backoff_s)

    def estimated_requests(self, now_s):
        """Return the estimated number of requests at the server, from all entries."""
        return len(self.in_flight) + self.other_requests * _decay(
            now_s - self.reported_s, REPORT_DECAY_S
        )

    def current_machine_slowdown(self, now_s):
        """Return the machine's slowdown, which decays to the usual one with the report's age."""
        usual = self.usual_slowdown.value
        return usual + (self.machine_slowdown - usual) * _decay(
            now_s - self.machine_slowdown_s, MACHINE_SLOWDOWN_DECAY_S
        )

    def current_server_slowdown(self, now_s):
        """Return the server's slowdown, which decays to 1 with the age of the latest success."""
        decay = _decay(now_s - self.server_slowdown_s, SERVER_SLOWDOWN_DECAY_S)
        return 1.0 + (self.server_slowdown - 1.0) * decay

    def overdue_ratio(self, expected_s, now_s):
        """Return the age of this entry's oldest attempt as a multiple of the expected duration."""
        if not self.in_flight or expected_s <= 0.0:
            return 0.0
        return (now_s - min(self.in_flight.values())) / expected_s

    def current_failure_rate(self, now_s):
        """Return the share of attempts that fail, which decays to 0 over time."""
        return self.failure_rate * _decay(now_s - self.failure_rate_s, FAILURE_RATE_DECAY_S)

    def _update_failure_rate(self, failed, now_s):
        rate = self.current_failure_rate(now_s)
        self.failure_rate = rate + FAILURE_SMOOTHING * (float(failed) - rate)
        self.failure_rate_s = now_s


def _decay(age_s, time_constant_s):
    return exp(-max(0.0, age_s) / time_constant_s) if age_s < inf else 0.0
