"""Limits of a pool: its options, the slots in use, and token budgets of retries and hedges."""

from math import inf

from attrs import Factory, define, frozen

TOKEN_PERCENT = 100  # Percent points per token.

QUEUE_LIMIT = 200  # Requests per service.
AGING_S = 2.0  # A request that has waited for this time precedes all newer ones.
LONG_SHARE_PERCENT = 75  # Largest share of the quota for long requests.
# A class key is long above this multiple of the service's median duration, and short again below
# the smaller one.
LONG_FACTOR = 4.0
RECLASSIFY_SHORT_FACTOR = 2.5
CLASS_KEY_LIMIT = 1000
HEDGE_PERCENT = 5  # Hedges per 100 dispatches.
HEDGE_BURST = 10  # Most hedges that the budget saves up.
HEDGE_QUANTILE = 0.95  # Hedge delay, as a quantile of the class's durations at healthy servers.
RETRY_PERCENT = 20  # Retries per 100 dispatches.
RETRY_BURST = 10  # Most retries that the budget saves up.
MAX_ATTEMPTS = 3  # Per request, not counting hedges.
SLOW_FACTOR = 3.0  # A server is slow above this multiple of the other servers' relative latency.
SLOW_START_S = 10.0  # Ramp-up time of a server that has become available.
PROBE_INTERVAL_S = 1.0
PROBE_DISPATCHES = 100  # Least dispatches between two probes of a slow server.
BACKOFF_S = 0.1  # After a failure of a server, or a request that it shed.
EJECT_FAILURES = 3  # Consecutive failures on new connections.
EJECT_S = 2.0  # Doubles with each ejection in a row, up to the limit.
EJECT_LIMIT_S = 30.0
# Time for which a server must be listed and probed as live to take work again after it was leaving.
LEAVING_GRACE_S = 30.0


@frozen
class PoolOptions:
    """Settings of a pool; times in seconds."""

    queue_limit: int = QUEUE_LIMIT
    aging_s: float = AGING_S
    long_share_percent: int = LONG_SHARE_PERCENT
    long_factor: float = LONG_FACTOR
    reclassify_short_factor: float = RECLASSIFY_SHORT_FACTOR
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
    """What this entry may have in progress, valid for dispatches before ``valid_until_s``.

    Attributes
    ----------
    awaited_quota : int
        Quota expected within a fraction of a second. Requests are queued for it, not refused.
    """

    slots_by_server: dict[str, int]
    quota: int
    valid_until_s: float
    awaited_quota: int = 0


@define
class SlotUse:
    """Slots of the quota that are in use.

    The slot of an attempt that timed out stays in use until the server has stopped the request.
    """

    long_share_percent: int
    quota: int = 0
    in_progress: int = 0
    long_in_progress: int = 0
    _deferred: list = Factory(list)

    @classmethod
    def from_config(cls, options):
        """Return a state without slots in use, under a quota of zero."""
        return cls(options.long_share_percent)

    def has_room(self):
        """Return whether the quota allows another attempt."""
        return self.in_progress < self.quota

    def has_long_room(self):
        """Return whether another long request may start."""
        return self.long_in_progress < self.long_limit()

    def long_limit(self):
        """Return the most long requests in progress; at least one slot is kept for short ones."""
        return max(1, min(self.quota - 1, self.quota * self.long_share_percent // 100))

    def occupy(self, attempt):
        """Occupy a slot for an attempt that starts."""
        self.in_progress += 1
        self.long_in_progress += attempt.is_long

    def free(self, attempt, release_at_s, now_s):
        """Free the slot of an attempt, now or at ``release_at_s`` when that is later."""
        if release_at_s is not None and release_at_s > now_s:
            self._deferred.append((release_at_s, attempt))
        else:
            self._release(attempt)

    def release_expired(self, now_s):
        """Free the slots whose ``release_at_s`` has passed."""
        if not self._deferred:
            return
        due = [attempt for release_at_s, attempt in self._deferred if release_at_s <= now_s]
        self._deferred = [entry for entry in self._deferred if entry[0] > now_s]
        for attempt in due:
            self._release(attempt)

    def next_release_s(self):
        """Return when the next slot with a ``release_at_s`` is freed, or infinity."""
        return min((release_at_s for release_at_s, _ in self._deferred), default=inf)

    def _release(self, attempt):
        attempt.server.in_progress -= 1
        attempt.server.suspects_in_progress -= attempt.is_suspect
        self.in_progress -= 1
        self.long_in_progress -= attempt.is_long


@define
class TokenBudget:
    """Token bucket that allows extra attempts up to a percentage of the dispatches.

    The balance is an integer in percent points, so that the bound is exact.
    """

    percent: int
    limit: int
    _balance: int

    @classmethod
    def from_config(cls, percent, burst, initial):
        """Return a budget that earns ``percent`` and saves up at most ``burst`` attempts."""
        return cls(percent, burst * TOKEN_PERCENT, initial * TOKEN_PERCENT)

    def record_dispatch(self):
        """Add the fraction of a token that a dispatch earns."""
        self._balance = min(self.limit, self._balance + self.percent)

    def has_token(self):
        """Return whether an extra attempt is allowed now."""
        return self._balance >= TOKEN_PERCENT

    def try_spend(self):
        """Spend a token for an extra attempt and return whether there was one."""
        if not self.has_token():
            return False
        self._balance -= TOKEN_PERCENT
        return True
