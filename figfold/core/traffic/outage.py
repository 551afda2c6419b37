"""Recognises outages of the store, after which the rows of live servers may be missing."""

from math import inf

from attrs import define

# Outage after which the rows of live servers may have expired.
MIN_OUTAGE_S = 1.5
# Time after an outage in which a missing row may have expired during it.
EXPIRY_WINDOW_S = 1.5
# Failures that are further apart do not belong to one outage: an entry that learns of the rows from
# its peers calls the store only now and then.
MAX_FAILURE_GAP_S = 3.0


@define
class OutageTracker:
    """Tracks the failed calls of the store by one entry.

    The time since the last successful call does not show an outage, since an entry that gets the
    rows from a peer makes no calls.
    """

    _failing_since_s: float = inf
    _last_failure_s: float = -inf
    _last_success_s: float = -inf
    _outage_ended_s: float = -inf

    def record_failure(self, started_s, now_s):
        """Record a failed call that was started at ``started_s``."""
        if started_s - self._last_failure_s > MAX_FAILURE_GAP_S:
            # A call that waited for changes may have started before others succeeded.
            self._failing_since_s = max(started_s, self._last_success_s)
        self._last_failure_s = now_s

    def record_success(self, now_s):
        """Record a successful call."""
        is_recent = now_s - self._last_failure_s <= MAX_FAILURE_GAP_S
        if is_recent and now_s - self._failing_since_s > MIN_OUTAGE_S:
            self._outage_ended_s = now_s
        self._last_failure_s = -inf
        self._last_success_s = now_s

    def has_just_ended(self, now_s):
        """Return whether a row that is missing now may have expired during an outage."""
        return now_s - self._outage_ended_s < EXPIRY_WINDOW_S
