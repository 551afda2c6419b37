"""Rate limits of the bytes that this entry sends over the links between regions."""

from attrs import Factory, define
from result import Err, Ok

from figfold.core.codes import Code, Failure

BURST_S = 0.25  # Capacity of a bucket, in seconds of its rate.


@define
class TokenBucket:
    """Token bucket of one link; a transfer larger than its capacity leaves it negative."""

    bytes_per_s: float
    tokens: float
    refilled_s: float | None = None

    def capacity(self):
        """Return the capacity of the bucket, in bytes."""
        return self.bytes_per_s * BURST_S

    def refill(self, now_s):
        """Add the bytes that the time since the last call allows."""
        elapsed_s = 0.0 if self.refilled_s is None else max(0.0, now_s - self.refilled_s)
        self.tokens = min(self.capacity(), self.tokens + elapsed_s * self.bytes_per_s)
        self.refilled_s = max(now_s, self.refilled_s or now_s)


@define
class LinkBudget:
    """Token buckets by ordered pair of regions.

    Traffic inside a region uses no link. A pair without a rate is refused, as an unknown link
    must not become an unlimited one.
    """

    _bucket_by_pair: dict[tuple[str, str], TokenBucket] = Factory(dict)

    @classmethod
    def from_config(cls, rate_by_pair):
        """Return full buckets for rates in bytes per second by (from region, to region)."""
        budget = cls()
        for pair, bytes_per_s in rate_by_pair.items():
            budget._bucket_by_pair[pair] = TokenBucket(bytes_per_s, bytes_per_s * BURST_S)
        return budget

    def set_rate(self, from_region, to_region, bytes_per_s, now_s):
        """Change a link's rate, such as when the number of entries that share it changes."""
        bucket = self._bucket_by_pair.setdefault(
            (from_region, to_region), TokenBucket(bytes_per_s, 0.0)
        )
        bucket.refill(now_s)
        bucket.bytes_per_s = bytes_per_s

    def admit(self, from_region, to_region, size_bytes, now_s):
        """Reserve bytes for a transfer, or refuse with ``LINK_FULL``.

        A transfer larger than the bucket is admitted when the bucket is full. The negative
        balance delays later transfers, so that the rate holds on average.
        """
        if from_region == to_region:
            return Ok(None)
        bucket = self._bucket_by_pair.get((from_region, to_region))
        if bucket is None:
            return Err(_link_full(from_region, to_region, "the link has no rate"))
        bucket.refill(now_s)
        if bucket.tokens < min(size_bytes, bucket.capacity()) or bucket.bytes_per_s <= 0:
            return Err(_link_full(from_region, to_region, "the link has no room"))
        bucket.tokens -= size_bytes
        return Ok(None)

    def charge(self, from_region, to_region, size_bytes, now_s):
        """Count bytes that were sent without a reservation, such as an answer's body."""
        bucket = self._bucket_by_pair.get((from_region, to_region))
        if bucket is not None:
            bucket.refill(now_s)
            bucket.tokens -= size_bytes

    def room_bytes(self, from_region, to_region, now_s):
        """Return the number of bytes that the link admits now."""
        bucket = self._bucket_by_pair.get((from_region, to_region))
        if bucket is None:
            return 0
        bucket.refill(now_s)
        return max(0, int(bucket.tokens))


def _link_full(from_region, to_region, message):
    remedy = "send the request to an entry in its own region"
    return Failure(Code.LINK_FULL, f"{from_region} to {to_region}: {message}", remedy)
