"""Chooses the quota holder of each region among the live entries."""

from hashlib import blake2b
from math import inf

from attrs import Factory, define

# Time for which an entry that did not reply is passed over. Its share that it has delegated there
# is not available elsewhere for most of that time.
SKIP_S = 2.0


@define(eq=False)
class HolderChoice:
    """Quota holders by region, chosen by rendezvous hashing.

    Entries with the same view of the live entries choose the same ones.
    """

    _names_by_region: dict[str, list[str]] = Factory(dict)
    _skipped_until_s_by_name: dict[str, float] = Factory(dict)

    def update(self, region_by_live_entry):
        """Set the live entries and their regions."""
        names_by_region = {}
        for name, region in region_by_live_entry.items():
            names_by_region.setdefault(region, []).append(name)
        self._names_by_region = {
            region: sorted(names, key=lambda name: (_score(region, name), name))
            for region, names in names_by_region.items()
        }

    def holder(self, region, now_s):
        """Return the name of a region's quota holder, or None without live entries."""
        names = self._names_by_region.get(region, ())
        for name in names:
            if self._skipped_until_s_by_name.get(name, -inf) <= now_s:
                return name
        return names[0] if names else None

    def regions(self):
        """Return the regions that have live entries."""
        return list(self._names_by_region)

    def record_failure(self, name, now_s):
        """Pass over an entry for a while, since it did not reply."""
        self._skipped_until_s_by_name = {
            one: until_s
            for one, until_s in self._skipped_until_s_by_name.items()
            if until_s > now_s
        }
        self._skipped_until_s_by_name[name] = now_s + SKIP_S


def _score(region, name):
    return blake2b(f"{region}\0{name}".encode(), digest_size=8).digest()
