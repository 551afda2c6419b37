"""Admission of forwarded requests to this entry's share of the links between regions."""

from attrs import define

from figfold.core.links import LinkBudget

BITS_PER_BYTE = 8
# Estimated size of a request's headers, and of an answer before its length is known.
NOMINAL_BYTES = 2048


@define(eq=False)
class LinkAdmission:
    """Byte budgets by pair of regions; the entries of a region share its links equally."""

    budget: LinkBudget
    region_by_place: dict[str, str]
    unlimited_pairs: frozenset

    @classmethod
    def from_config(cls, links, topology, seats):
        """Return the share of one entry under the ``[links]`` settings."""
        rate_by_pair = {}
        unlimited_pairs = set()
        for one in topology.region_by_name:
            entries = max(1, len(topology.places_in(one)) * seats.count)
            for other in topology.region_by_name:
                bits_per_s = links.bits_per_s_between(one, other)
                if bits_per_s:
                    rate_by_pair[one, other] = bits_per_s / BITS_PER_BYTE / entries
                    rate_by_pair.setdefault((other, one), bits_per_s / BITS_PER_BYTE / entries)
                else:
                    unlimited_pairs.add((one, other))
        region_by_place = {place.name: place.region for place in topology.place_by_name.values()}
        return cls(
            LinkBudget.from_config(rate_by_pair), region_by_place, frozenset(unlimited_pairs)
        )

    def admit(self, from_place, to_place, request, now_s):
        """Charge a request to its link; return False if the link is full in either direction."""
        pair = (self.region_by_place[from_place], self.region_by_place[to_place])
        if pair in self.unlimited_pairs:
            return True
        size = len(request.body) + NOMINAL_BYTES
        back = pair[::-1]
        if pair[0] != pair[1] and self.budget.room_bytes(*back, now_s) <= 0:
            return False
        return self.budget.admit(*pair, size, now_s).is_ok()

    def charge(self, from_place, to_place, answer, now_s):
        """Charge an answer to the link that it came over."""
        pair = (self.region_by_place[from_place], self.region_by_place[to_place])
        self.budget.charge(*pair, answer.length + NOMINAL_BYTES, now_s)
