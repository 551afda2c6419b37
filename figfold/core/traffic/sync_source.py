"""Chooses the entry from which the others of a region learn the store's rows."""

from bisect import bisect_left

from attrs import Factory, define

# Data older than this are no better than this entry's own read of the store.
MAX_SOURCE_AGE_S = 1.5
# Time for which a source that failed or had stale data is not chosen.
SOURCE_BACKOFF_S = 3.0


# Entries that learn from one other entry. With more in a region, the rows pass through several.
MAX_LISTENERS = 8


@define
class SyncSourceSelector:
    """Chooses the entry to ask for the store's rows.

    The live entries of a region, sorted by name, form a tree. The first one reads the store, and
    each other one asks an earlier one, so that none answers more than `MAX_LISTENERS` and none asks
    in a circle. One that does not answer, or whose data are stale, is left out for a while.
    """

    name: str
    region: str
    region_by_place: dict
    _backoff_until_s: dict = Factory(dict)
    _live: dict | None = None
    _region_names: list = Factory(list)
    _source: str = ""

    def choose(self, place_by_live_entry, now_s):
        """Return the name of the entry to ask, or this entry's own name to read the store.

        Parameters
        ----------
        place_by_live_entry : dict[str, str]
            Sorted by name; a changed one is another object.
        now_s : float
        """
        names = self._names_of_region(place_by_live_entry)
        skipped = self._skipped(now_s)
        position = bisect_left(names, self.name)
        if skipped:
            names = [one for one in names[:position] if one not in skipped]
            position = len(names)
        self._source = self._kept_source(names, position) or (
            names[(position - 1) // MAX_LISTENERS] if position else self.name
        )
        return self._source

    def _kept_source(self, names, position):
        """Return the source so far, unless it is no longer live or too far from the one in turn.

        A new source has to be asked for all servers, and each entry that starts or ends shifts the
        ones behind it. The first entries always ask the one that reads the store.
        """
        if position <= MAX_LISTENERS:
            return ""
        index = bisect_left(names, self._source, 0, position)
        if index >= position or names[index] != self._source:
            return ""
        first = index * MAX_LISTENERS + 1
        is_near = first - MAX_LISTENERS <= position < first + 2 * MAX_LISTENERS
        return self._source if is_near else ""

    def has_levels(self, place_by_live_entry):
        """Return whether rows pass through several entries of the region."""
        return len(self._names_of_region(place_by_live_entry)) > MAX_LISTENERS + 1

    def _names_of_region(self, place_by_live_entry):
        if place_by_live_entry is not self._live:
            self._live = place_by_live_entry
            self._region_names = sorted(
                name
                for name, place in place_by_live_entry.items()
                if self.region_by_place.get(place) == self.region
            )
        return self._region_names

    def _skipped(self, now_s):
        for name in [one for one, until_s in self._backoff_until_s.items() if now_s >= until_s]:
            del self._backoff_until_s[name]
        return self._backoff_until_s

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
