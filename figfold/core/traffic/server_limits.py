"""Limits that backend servers name in their answers: requests per second, and pauses.

A server's limit holds for all entries together. Each entry uses its part of it and does not ask the
others, so that the limit also holds while entries cannot reach each other.
"""

from collections import Counter
from math import inf

from attrs import Factory, define

from figfold.core.traffic.ranking import unit_hash

# Fraction of a limit that the entries use. The rest is a reserve for entries that do not know the
# others yet, or that have just been replaced.
LIMIT_FRACTION = 0.85
# An entry may save up requests for this time, or one request if that is more.
MAX_SAVED_S = 1.0
# A limit that no answer has confirmed for this time is tried out with one request.
LIMIT_LIFETIME_S = 30.0
# The least part of a region's requests that is assumed to go to a server of another region.
MIN_REGION_PART = 0.05
MAX_REMEMBERED_SERVERS = 1000


@define
class _RateLimit:
    """Limit of one server, with the requests that this entry has saved up."""

    per_s: float
    part: float
    named_s: float
    saved: float = 0.0
    saved_s: float = 0.0

    def save(self, now_s):
        """Add the requests that the time since the last call allows."""
        most = max(1.0, self.rate * MAX_SAVED_S)
        self.saved = min(most, self.saved + self.rate * max(0.0, now_s - self.saved_s))
        self.saved_s = now_s

    @property
    def rate(self):
        """Requests per second that this entry may send."""
        return LIMIT_FRACTION * self.per_s * self.part

    def wait_s(self, now_s):
        """Return the time until this entry may send a request."""
        if now_s - self.named_s >= LIMIT_LIFETIME_S:
            return 0.0
        self.save(now_s)
        if self.saved >= 1.0:
            return 0.0
        expires_s = self.named_s + LIMIT_LIFETIME_S - now_s
        return min(expires_s, (1.0 - self.saved) / self.rate) if self.rate else expires_s


@define
class _ServerState:
    started_ms: int
    limit: _RateLimit | None = None
    paused_until_s: float = -inf


@define
class ServerLimits:
    """Limits and pauses by server; times are monotonic seconds.

    They are kept while a server's row is missing, and end with the server's process.

    Attributes
    ----------
    entry_name : str
        Name of this entry.
    """

    entry_name: str
    _state_by_id: dict[str, _ServerState] = Factory(dict)

    def name_limit(self, server_id, started_ms, per_s, part, now_s):
        """Set a server's limit, or remove it with None; return the limit before.

        Parameters
        ----------
        started_ms : int
            Start of the process that has answered.
        per_s : float or None
            Requests per second that the server takes from all entries together.
        part : float
            This entry's part of the limit, from 0 to 1.
        """
        if per_s is None and server_id not in self._state_by_id:
            return None
        state = self._state(server_id, started_ms)
        known = state.limit
        if known is None:
            if per_s is not None:
                # Entries that are told at the same time must not send at the same time afterwards.
                saved = unit_hash(self.entry_name, server_id)
                state.limit = _RateLimit(per_s, part, now_s, saved, now_s)
            return None
        known_per_s = known.per_s
        if per_s is None:
            state.limit = None
        else:
            known.save(now_s)
            known.per_s, known.part, known.named_s = per_s, part, now_s
        return known_per_s

    def pause(self, server_id, started_ms, pause_s, now_s):
        """Send a server no requests for a time."""
        state = self._state(server_id, started_ms)
        state.paused_until_s = max(state.paused_until_s, now_s + pause_s)

    def wait_s(self, server_id, started_ms, now_s):
        """Return the time until this entry may send the server a request; 0 for now."""
        state = self._state_by_id.get(server_id)
        if state is None or state.started_ms != started_ms:
            return 0.0
        limit_wait_s = state.limit.wait_s(now_s) if state.limit is not None else 0.0
        return max(0.0, state.paused_until_s - now_s, limit_wait_s)

    def record_request(self, server_id, now_s):
        """Record a request to a server, which uses up what was saved of its limit."""
        state = self._state_by_id.get(server_id)
        limit = state.limit if state is not None else None
        if limit is None:
            return
        limit.save(now_s)
        if now_s - limit.named_s >= LIMIT_LIFETIME_S:
            # Until this request is answered, no other one is sent.
            limit.named_s, limit.saved = now_s, 1.0
        limit.saved -= 1.0

    def _state(self, server_id, started_ms):
        state = self._state_by_id.pop(server_id, None)
        if state is None or state.started_ms != started_ms:
            state = _ServerState(started_ms)
        self._state_by_id[server_id] = state
        if len(self._state_by_id) > MAX_REMEMBERED_SERVERS:
            del self._state_by_id[next(iter(self._state_by_id))]
        return state


def part_of_limit(own_region, entry_regions, part_by_region):
    """Return the part of a server's limit that this entry may use.

    Each region's entries together get a part of the limit that is proportional to the requests that
    they are expected to send to the server, and share it equally.

    Parameters
    ----------
    own_region : str
    entry_regions : iterable of str
        The region of each live entry, this one included.
    part_by_region : dict[str, float]
        Part of each region's requests that goes to servers of the server's region.
    """
    entries_by_region = Counter(entry_regions)
    weight_by_region = {
        region: max(MIN_REGION_PART, part_by_region.get(region, 0.0))
        for region in entries_by_region
    }
    region_part = weight_by_region[own_region] / sum(weight_by_region.values())
    return region_part / entries_by_region[own_region]
