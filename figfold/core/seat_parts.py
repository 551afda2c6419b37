"""Splits a place's caps and its servers' slots among the parts of its seats.

Each split depends on names and counts alone, so that entries with different views of the instance
list still never assign one slot to two parts.
"""

from enum import Enum
from functools import lru_cache

from attrs import frozen

# Number of cached splits. Permits are computed several times a second for each service.
SPLIT_CACHE_SIZE = 256


class PartKind(Enum):
    """Length of the lease of a part."""

    LONG = "long"
    SHORT = "short"


@frozen(cache_hash=True)
class SeatPart:
    """One leased part of a seat of a place."""

    place: str
    index: int
    kind: PartKind

    @property
    def row(self):
        """Return the name of the part's row in the seats table."""
        return f"{self.place}.{self.index}.{self.kind.value}"


def list_parts(place, count):
    """Return all parts of a place; the two parts of a seat are adjacent."""
    kinds = (PartKind.LONG, PartKind.SHORT)
    return [SeatPart(place, index, kind) for index in range(count) for kind in kinds]


def split_cap(cap, parts):
    """Return the quota of each part; the quotas add up to the cap exactly."""
    total = len(parts)
    # Rounding up gives the remainder to the long parts, which come first.
    bounds = [-(-cap * position // total) for position in range(total + 1)]
    return {part: bounds[i + 1] - bounds[i] for i, part in enumerate(parts)}


def split_slots(server, slots, parts):
    """Return the slots of one server for each part; they add up to ``slots`` exactly.

    The split depends only on the server's name and slots, see the module's description.
    """
    total = len(parts)
    # In this order the remainders of consecutive servers go to the same parts as in `split_cap`.
    ordered = sorted(parts, key=lambda part: (part.kind.value, part.index), reverse=True)
    base, extra = divmod(slots, total)
    slots_by_part = dict.fromkeys(ordered, base)
    start = _ordinal(server)
    for offset in range(extra):
        slots_by_part[ordered[(start + offset) % total]] += 1
    return slots_by_part


@lru_cache(SPLIT_CACHE_SIZE)
def split_permits(cap, slots_by_server_items, parts, usable):
    """Return the quota of the usable parts, and (server, slots of the usable parts) pairs."""
    quota_by_part = split_cap(cap, parts)
    quota = sum(quota_by_part[part] for part in usable)
    permitted = []
    for server, slots in slots_by_server_items:
        slots_by_part = split_slots(server, slots, parts)
        permitted.append((server, sum(slots_by_part[part] for part in usable)))
    return quota, tuple(permitted)


def _ordinal(name):
    digits = name[len(name.rstrip("0123456789")) :]
    if digits:
        return int(digits)
    return sum(name.encode())
