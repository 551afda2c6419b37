"""Limits of a pool: its settings, occupied slots, and budgets of retries and hedges."""

from math import inf

from attrs import Factory, define, frozen

TOKEN_PERCENT = 100  # A token costs this many percent points.


QUEUE_LIMIT = 200  # Requests.
AGING_S = 2.0  # A request that has waited this long precedes all newer ones.
LONG_SHARE_PERCENT = 75  # Of the quota, for long requests.
LONG_FACTOR = 4.0  # A class key is long above this multiple of the service's median duration.
SHORT_AGAIN_FACTOR = 2.5
CLASS_KEY_LIMIT = 1000  # Class keys.
HEDGE_PERCENT = 5  # Of dispatches.
HEDGE_BURST = 10  # Hedges.
HEDGE_QUANTILE = 0.95  # Of the durations of the request's class at healthy servers.
RETRY_PERCENT = 20  # Of dispatches.
RETRY_BURST = 10  # Retries.
MAX_ATTEMPTS = 3  # Per request, without hedges.
SLOW_FACTOR = 3.0  # A server is slow above this multiple of its siblings' relative latency.
SLOW_START_S = 10.0
PROBE_INTERVAL_S = 1.0
PROBE_DISPATCHES = 100  # Dispatches between two probes of a slow server.
BACKOFF_S = 0.1
EJECT_FAILURES = 3  # Failures on fresh connections in a row.
EJECT_S = 2.0
EJECT_LIMIT_S = 30.0
LEAVING_GRACE_S = 30.0


@frozen
class PoolOptions:
    """Settings of a pool; times in seconds."""

    queue_limit: int = QUEUE_LIMIT
    aging_s: float = AGING_S
    long_share_percent: int = LONG_SHARE_PERCENT
    long_factor: float = LONG_FACTOR
    short_again_factor: float = SHORT_AGAIN_FACTOR
    class_key_limit: int = CLASS_KEY_LIMIT
    hedge_percent: int = HEDGE_PERCENT
    hedge_burst: int = HEDGE_BURST
    hedge_quantile: float = HEDGE_QUANTILE
    retry_percent: int = RETRY_PERCENT
    retry_burst: int = RETRY_BURST
    max_attempts: int = MAX_ATTEMPTS
    slow_factor: float = SLOW_FACTOR
    slow_start_s: float = SLOW_START_S
    probe_interval_s: float = PROBE_INTERVAL_S
    probe_dispatches: int = PROBE_DISPATCHES
    backoff_s: float = BACKOFF_S
    eject_failures: int = EJECT_FAILURES
    eject_s: float = EJECT_S
    eject_limit_s: float = EJECT_LIMIT_S
    leaving_grace_s: float = LEAVING_GRACE_S


@frozen
class Permits:
    """What this entry may have in progress, for dispatches decided before ``valid_until_s``.

    Attributes
    ----------
    awaited_quota : int
        A quota that is expected within a fraction of a second, so that requests wait for it.
    """

    slots_by_server: dict[str, int]
    quota: int
    valid_until_s: float
    awaited_quota: int = 0


@define
class SlotUse:
    """Slots of the quota that attempts occupy, also after an attempt whose end is unknown."""

    long_share_percent: int
    quota: int = 0
    in_progress: int = 0
    long_in_progress: int = 0
    _held: list = Factory(list)

    @classmethod
    def from_config(cls, options):
        """Return a use of no slots under a quota of zero."""
        return cls(options.long_share_percent)

    def has_room(self):
        """Return whether the quota allows another attempt."""
        return self.in_progress < self.quota

    def has_long_room(self):
        """Return whether another long request may start."""
        return self.long_in_progress < self.long_limit()

    def long_limit(self):
        """Return how many long requests may be in progress; one slot stays free of them."""
        return max(1, min(self.quota - 1, self.quota * self.long_share_percent // 100))

    def occupy(self, attempt):
        """Count an attempt that starts."""
        self.in_progress += 1
        self.long_in_progress += attempt.is_long

    def free(self, attempt, release_at_s, now_s):
        """Free the slot of an attempt, now or at ``release_at_s`` when that is later."""
        if release_at_s is not None and release_at_s > now_s:
            self._held.append((release_at_s, attempt))
        else:
            self._release(attempt)

    def release_due(self, now_s):
        """Free the slots whose time has come."""
        if not self._held:
            return
        due = [attempt for release_at_s, attempt in self._held if release_at_s <= now_s]
        self._held = [held for held in self._held if held[0] > now_s]
        for attempt in due:
            self._release(attempt)

    def next_release_s(self):
        """Return when the next held slot is freed, or infinity."""
        return min((release_at_s for release_at_s, _ in self._held), default=inf)

    def _release(self, attempt):
        attempt.server.in_progress -= 1
        attempt.server.suspects -= attempt.is_suspect
        self.in_progress -= 1
        self.long_in_progress -= attempt.is_long


@define
class TokenBudget:
    """Allows extra attempts up to a percentage of the dispatches, with a bounded reserve.

    The balance is kept in whole percent points, so that the bound is exact.
    """

    percent: int
    limit: int
    _balance: int

    @classmethod
    def from_config(cls, percent, burst, initial):
        """Return a budget of ``percent`` that saves at most ``burst`` attempts."""
        return cls(percent, burst * TOKEN_PERCENT, initial * TOKEN_PERCENT)

    def record_dispatch(self):
        """Earn the part of an attempt that a dispatch allows."""
        self._balance = min(self.limit, self._balance + self.percent)

    def has_token(self):
        """Return whether an extra attempt is allowed."""
        return self._balance >= TOKEN_PERCENT

    def try_spend(self):
        """Use up one extra attempt; returns whether it was allowed."""
        if not self.has_token():
            return False
        self._balance -= TOKEN_PERCENT
        return True
