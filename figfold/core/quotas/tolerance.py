"""Requests beyond a limit that the operator tolerates, divided among the entries."""

from attrs import frozen

from figfold.core.quotas.limits import bucket_size
from figfold.core.traffic.ranking import unit_hash

# Part of what is tolerated that entries use. The rest covers requests that reach servers later than
# they were admitted, and entries that count each other differently.
USED_FRACTION = 0.7


@frozen
class Tolerance:
    """Requests beyond a limit that are tolerated in any window, over all entries together.

    Attributes
    ----------
    window_s : float
        Length of the sliding window.
    fraction : float
        Part of what the limit allows in a window.
    requests : float
        Number of requests on top of that.
    """

    window_s: float = 5.0
    fraction: float = 0.0
    requests: float = 0.0

    def entry_part(self, organisation, entry, entry_count):
        """Return how many requests one entry may admit in any window without a token.

        Where there is less than one for each entry, a hash tells which ones have it.
        """
        limit = organisation.rate_per_s * self.window_s + organisation.burst
        used_by_buckets = bucket_size(organisation) - organisation.burst
        spare = USED_FRACTION * (self.fraction * limit + self.requests) - used_by_buckets
        part = max(0.0, spare) / max(1, entry_count)
        return int(part) + (unit_hash(organisation.name, entry) <= part % 1.0)
