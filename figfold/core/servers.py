"""State of each backend server as the entry observes it, and the choice of a server."""

from enum import Enum
from math import inf

from attrs import Factory, define, frozen

from figfold.core.budgets import PoolOptions

SMOOTHING = 0.15  # Weight of a new sample in a server's relative latency.
PROBE_SMOOTHING = 0.5  # Used instead while the server is slow, as samples are rare then.
SAMPLE_LIMIT = 5.0  # Upper bound of a sample, so that a single outlier has little weight.
RECOVERY_FACTOR = 0.5  # A slow server has recovered below this fraction of the slow factor.
RAMP_PENALTY = 2.0  # Added to the load factor of a server that has just become available.
SHORT_TIMEOUT_FACTOR = 5.0  # A time-out below this multiple of the expected time is no failure.
SHORT_TIMEOUT_DEFAULT_S = 0.5  # Used instead while the expected duration is not known.
PROBE_FALLBACK = 5  # Probe intervals after which a non-idempotent request may serve as probe.


class DispatchOutcome(Enum):
    """How one attempt at a backend server ended."""

    OK = "ok"
    CONNECT_FAILED = "connect_failed"  # Nothing was sent.
    WITHHELD = "withheld"  # Nothing was sent, for a reason unrelated to the server.
    SHED = "shed"  # The server refused the request without running it.
    TIMED_OUT = "timed_out"
    RESET = "reset"
    SHORT_ANSWER = "short_answer"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


NOT_RUN_OUTCOMES = frozenset(
    {DispatchOutcome.CONNECT_FAILED, DispatchOutcome.WITHHELD, DispatchOutcome.SHED}
)
# Outcomes after which the server may have crashed while it ran the request.
RESET_OUTCOMES = frozenset({DispatchOutcome.RESET, DispatchOutcome.SHORT_ANSWER})


@frozen
class DispatchReport:
    """How an attempt ended; if ``release_at_s`` is given, its slot stays occupied until then."""

    outcome: DispatchOutcome
    duration_s: float
    fresh_connection: bool = False
    release_at_s: float | None = None


@frozen
class ServerView:
    """A backend server as given in the instance list."""

    name: str
    leaving: bool = False


@define
class Server:
    """State of one backend server as this entry observes it.

    Attributes
    ----------
    suspects_in_progress : int
        Attempts in progress of requests that may have crashed a server before.
    ratio : float
        Smoothed ratio of observed durations to the expected durations of the class keys.
    ramp_start_s : float
        Start of the slow start; minus infinity for a server without one.
    probe_at_s, probe_min_dispatch : float, int
        Time and dispatch number before which a slow server gets no further probe.
    fresh_failures : int
        Consecutive failures on new connections.
    ejections : int
        Ejections in a row, each of which doubles the duration of the next one.
    leaving_seen_s, live_seen_s : float or None
        When it was last reported as leaving, and when it last answered a probe as live.
    listed_live_since_s : float or None
        Since when the instance list has shown it as live without interruption.
    """

    name: str
    slots: int = 0
    in_progress: int = 0
    suspects_in_progress: int = 0
    ratio: float = 1.0
    is_slow: bool = False
    ramp_start_s: float = -inf
    last_used: int = 0
    probe_at_s: float = -inf
    probe_min_dispatch: int = 0
    backoff_until_s: float = -inf
    ejected_until_s: float = -inf
    fresh_failures: int = 0
    ejections: int = 0
    leaving: bool = False
    leaving_first_hand: bool = False
    leaving_seen_s: float = -inf
    live_seen_s: float = -inf
    listed_live_since_s: float | None = None
    absent_since_s: float | None = None

    def takes_work(self):
        """Return whether the server is listed as live and not known to be leaving."""
        return not self.leaving and self.listed_live_since_s is not None


def had_short_timeout(report, expected_s):
    """Return whether a timed-out attempt had too little time for its expected duration.

    Such a time-out is no failure of the server. Otherwise requests that were queued until shortly
    before their deadlines would eject one server after another as soon as it returns.
    """
    return report.duration_s < (SHORT_TIMEOUT_FACTOR * expected_s or SHORT_TIMEOUT_DEFAULT_S)


@define
class Servers:
    """The backend servers of a service by name, and the choice among them."""

    options: PoolOptions
    server_by_name: dict[str, Server] = Factory(dict)
    _dispatch_number: int = 0

    @classmethod
    def from_config(cls, options):
        """Return a state without servers."""
        return cls(options)

    # Instance list, probes and reports of leaving servers.

    def set_servers(self, views, now_s):
        """Update the servers from the instance list; an empty list is ignored as faulty."""
        view_by_name = {view.name: view for view in views}
        if not view_by_name:
            return
        # Servers of the first list get no slow start: a restarted entry would ramp up all of them.
        ramp_start_s = now_s if any(s.takes_work() for s in self.server_by_name.values()) else -inf
        for name, view in view_by_name.items():
            server = self.server_by_name.get(name) or self._add(name, ramp_start_s)
            self._apply_view(server, view, now_s)
        for name in list(self.server_by_name):
            if name not in view_by_name:
                self._mark_absent(self.server_by_name[name], now_s)

    def mark_leaving(self, name, now_s, first_hand):
        """Stop dispatching to a server that is reported as leaving.

        ``first_hand`` tells whether this entry saw it itself, rather than a peer.
        """
        server = self.server_by_name.get(name) or self._add(name, now_s)
        server.leaving = True
        server.leaving_first_hand = server.leaving_first_hand or first_hand
        if first_hand or server.leaving_seen_s == -inf:
            server.leaving_seen_s = now_s

    def mark_live(self, name, now_s):
        """Record that a server answered a health probe as live."""
        server = self.server_by_name.get(name)
        if server is not None:
            server.live_seen_s = now_s
            self._restore_if_live(server, now_s)

    def set_slots(self, slots_by_server):
        """Set the number of slots that this entry may use at each server."""
        for server in self.server_by_name.values():
            server.slots = slots_by_server.get(server.name, 0)

    def _add(self, name, ramp_start_s):
        server = Server(name, ramp_start_s=ramp_start_s)
        self.server_by_name[name] = server
        return server

    def _apply_view(self, server, view, now_s):
        server.absent_since_s = None
        if view.leaving:
            server.listed_live_since_s = None
            self.mark_leaving(view.name, now_s, first_hand=True)
            return
        if server.listed_live_since_s is None:
            server.listed_live_since_s = now_s
        self._restore_if_live(server, now_s)

    def _mark_absent(self, server, now_s):
        server.listed_live_since_s = None
        if server.absent_since_s is None:
            server.absent_since_s = now_s
        is_expired = now_s - server.absent_since_s >= self.options.leaving_grace_s
        if is_expired and server.in_progress == 0:
            del self.server_by_name[server.name]

    def _restore_if_live(self, server, now_s):
        """Use a leaving server again once list and probes have shown it live for the grace time."""
        if not server.leaving or server.listed_live_since_s is None:
            return
        grace_s = self.options.leaving_grace_s
        since_s = max(server.leaving_seen_s, server.listed_live_since_s)
        if now_s >= since_s + grace_s and server.live_seen_s >= since_s + grace_s:
            server.leaving = False
            server.leaving_first_hand = False
            server.leaving_seen_s = -inf
            server.ramp_start_s = now_s

    # Selection.

    def choose(self, now_s, tried, idempotent, is_suspect, queue_length):
        """Return the server for a request, or None if it should wait.

        ``queue_length`` counts the queued requests, this one included. A slow server is chosen if
        waiting for a healthy one would take longer, or to probe whether it is still slow.
        """
        free = [s for s in self.server_by_name.values() if s.in_progress < s.slots]
        usable = [s for s in free if self._is_usable(s, is_suspect, now_s)]
        if not usable:
            return None
        healthy = [s for s in usable if not s.is_slow]
        if len(healthy) == 1 == len(usable):
            return healthy[0]
        slow = [s for s in usable if s.is_slow]
        probed = next((s for s in slow if self._is_probe_due(s, idempotent, now_s)), None)
        if probed is not None and healthy:
            return probed
        if healthy:
            return min(healthy, key=lambda s: self._score(s, tried, now_s))
        best = min(slow, key=lambda s: self._score(s, tried, now_s))
        return best if queue_length > (best.ratio - 1.0) * self.healthy_slots(now_s) else None

    def choose_hedge(self, now_s, tried):
        """Return a healthy server for a hedge, or None."""
        usable = [
            s
            for s in self.server_by_name.values()
            if s.name not in tried and not s.is_slow and self._is_usable(s, False, now_s)
        ]
        return min(usable, key=lambda s: self._score(s, tried, now_s), default=None)

    def _is_usable(self, server, is_suspect, now_s):
        if server.in_progress >= server.slots or not server.takes_work():
            return False
        if now_s < server.backoff_until_s or now_s < server.ejected_until_s:
            return False
        if server.fresh_failures >= self.options.eject_failures and server.in_progress:
            return False  # After an ejection, one request at a time until one succeeds.
        return not (is_suspect and server.suspects_in_progress)

    def _is_probe_due(self, server, idempotent, now_s):
        if server.in_progress or self._dispatch_number < server.probe_min_dispatch:
            return False
        fallback_s = 0.0 if idempotent else PROBE_FALLBACK * self.options.probe_interval_s
        return now_s >= server.probe_at_s + fallback_s

    def _score(self, server, tried, now_s):
        load = (server.in_progress + 1) / server.slots
        ramp_part = min(1.0, (now_s - server.ramp_start_s) / self.options.slow_start_s)
        ramp = 1.0 + RAMP_PENALTY * (1.0 - ramp_part)
        return (server.name in tried, load * server.ratio * ramp, server.last_used)

    def healthy_slots(self, now_s):
        """Return the number of slots, free or in use, of healthy servers that are not ejected."""
        return sum(
            s.slots
            for s in self.server_by_name.values()
            if s.takes_work() and not s.is_slow and now_s >= s.ejected_until_s
        )

    def free_healthy_slots(self, now_s):
        """Return the number of free slots of healthy servers."""
        return sum(
            s.slots - s.in_progress
            for s in self.server_by_name.values()
            if not s.is_slow and self._is_usable(s, False, now_s)
        )

    def any_takes_work(self):
        """Return whether any server takes work."""
        return any(server.takes_work() for server in self.server_by_name.values())

    def leaving_names(self):
        """Return the names of the servers that this entry itself saw leaving."""
        servers = self.server_by_name.values()
        return tuple(server.name for server in servers if server.leaving_first_hand)

    def usable_slots(self):
        """Return the number of slots of all servers that take work."""
        return sum(s.slots for s in self.server_by_name.values() if s.takes_work())

    def next_available_s(self, now_s):
        """Return the next end of a back-off or an ejection, or infinity."""
        times = [inf]
        for server in self.server_by_name.values():
            until_s = max(server.backoff_until_s, server.ejected_until_s)
            if until_s > now_s and server.takes_work():
                times.append(until_s)
        return min(times)

    # Feedback from attempts.

    def record_start(self, server, is_suspect, now_s):
        """Count an attempt that starts."""
        self._dispatch_number += 1
        server.in_progress += 1
        server.suspects_in_progress += is_suspect
        server.last_used = self._dispatch_number
        if server.is_slow:
            self._schedule_probe(server, now_s)

    def record_end(self, server, report, expected_s, now_s):
        """Update the server's state after an attempt; ``expected_s`` is zero if not known."""
        outcome = report.outcome
        if outcome is DispatchOutcome.OK:
            self._record_success(server, now_s)
            self._record_ratio(server, report.duration_s, expected_s, now_s)
        elif outcome is DispatchOutcome.CANCELLED:
            # The full duration is unknown but longer, so only a sample above the ratio is used.
            if report.duration_s > server.ratio * expected_s:
                self._record_ratio(server, report.duration_s, expected_s, now_s)
        elif outcome is DispatchOutcome.SHED:
            server.backoff_until_s = now_s + self.options.backoff_s
        elif outcome is DispatchOutcome.TIMED_OUT and had_short_timeout(report, expected_s):
            # No failure of the server, but a lower bound of the duration.
            if report.duration_s > server.ratio * expected_s:
                self._record_ratio(server, report.duration_s, expected_s, now_s)
        elif outcome is DispatchOutcome.CONNECT_FAILED or report.fresh_connection:
            self._record_failure(server, now_s)
        # Failures on a reused connection do not count against the server: the connection itself
        # may have been stale.

    def _record_success(self, server, now_s):
        if server.ejections:
            server.ramp_start_s = now_s
        server.fresh_failures = 0
        server.ejections = 0

    def _record_failure(self, server, now_s):
        server.fresh_failures += 1
        server.backoff_until_s = now_s + self.options.backoff_s
        if server.fresh_failures >= self.options.eject_failures:
            eject_s = self.options.eject_s * 2**server.ejections
            server.ejected_until_s = now_s + min(self.options.eject_limit_s, eject_s)
            server.ejections = min(server.ejections + 1, 10)

    def _record_ratio(self, server, duration_s, expected_s, now_s):
        if expected_s <= 0.0:
            return
        sample = min(duration_s / expected_s, SAMPLE_LIMIT)
        smoothing = PROBE_SMOOTHING if server.is_slow else SMOOTHING
        server.ratio += smoothing * (sample - server.ratio)
        baseline = self._sibling_ratio(server)
        if baseline is None:
            server.is_slow = False
            return
        factor = self.options.slow_factor * (RECOVERY_FACTOR if server.is_slow else 1.0)
        was_slow = server.is_slow
        server.is_slow = server.ratio > factor * baseline
        if server.is_slow and not was_slow:
            self._schedule_probe(server, now_s)

    def _sibling_ratio(self, server):
        """Return the lower median of the other servers' ratios, None without other servers.

        It is at least one, the expected ratio, as lower ratios are random variation.
        """
        ratios = sorted(
            s.ratio for s in self.server_by_name.values() if s is not server and s.takes_work()
        )
        return max(1.0, ratios[(len(ratios) - 1) // 2]) if ratios else None

    def _schedule_probe(self, server, now_s):
        server.probe_at_s = now_s + self.options.probe_interval_s
        server.probe_min_dispatch = self._dispatch_number + self.options.probe_dispatches
