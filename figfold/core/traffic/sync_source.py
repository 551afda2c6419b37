"""Chooses the entry from which the others of a region learn the store's rows."""

from attrs import Factory, define

# Data older than this are no better than this entry's own read of the store.
MAX_SOURCE_AGE_S = 1.5
# Time for which a source that failed or had stale data is not chosen.
SOURCE_BACKOFF_S = 3.0


@define
class SyncSourceSelector:
    """Chooses the entry to ask for the store's rows, the same one at all entries of a region.

    The live entry of the region with the lowest name reads the store, and the others ask it
    instead of reading the store themselves. One that does not answer, or whose data are stale, is
    skipped for a while.
    """

    name: str
    region: str
    region_by_place: dict
    _backoff_until_s: dict = Factory(dict)

    def choose(self, place_by_live_entry, now_s):
        """Return the name of the entry to ask, or this entry's own name to read the store.

        Parameters
        ----------
        place_by_live_entry : dict[str, str]
        now_s : float
        """
        names = [
            name
            for name, place in sorted(place_by_live_entry.items())
            if self.region_by_place.get(place) == self.region
            and now_s >= self._backoff_until_s.get(name, now_s)
        ]
        return min([*names, self.name])

    def fallback(self, place_by_live_entry, now_s):
        """Return an entry to ask if the store cannot be read, or an empty string."""
        names = [
            name
            for name in sorted(place_by_live_entry)
            if name != self.name and now_s >= self._backoff_until_s.get(name, now_s)
        ]
        # Entries of other regions may reach a store that this region is cut off from.
        other_regions = [
            name
            for name in names
            if self.region_by_place.get(place_by_live_entry[name]) != self.region
        ]
        return (other_regions or names or [""])[0]

    def record_failure(self, name, now_s):
        """Skip an entry for a while."""
        self._backoff_until_s[name] = now_s + SOURCE_BACKOFF_S
