"""Which entry a region's others learn the store's rows from, instead of each reading the store."""

from attrs import Factory, define

# Knowledge that is older than this is no better than one's own reading of the store.
STALE_S = 1.5
# A source that failed or was stale is left alone for this long.
AVOID_S = 3.0


@define
class KnowledgeSource:
    """The choice of the entry to learn from; all entries of a region choose alike.

    The live entry with the lowest name of the region reads the store, the others ask it. One that
    does not answer, or knows nothing fresh, is passed over for a while.
    """

    name: str
    region: str
    region_by_place: dict
    _avoid_until_s: dict = Factory(dict)

    def choose(self, place_by_live_entry, now_s):
        """Return the name of the entry to ask, or the own name to read the store.

        Parameters
        ----------
        place_by_live_entry : dict[str, str]
        now_s : float
        """
        names = [
            name
            for name, place in sorted(place_by_live_entry.items())
            if self.region_by_place.get(place) == self.region
            and now_s >= self._avoid_until_s.get(name, now_s)
        ]
        return min([*names, self.name])

    def substitute(self, place_by_live_entry, now_s):
        """Return an entry to ask when the store itself fails, or an empty string."""
        names = [
            name
            for name in sorted(place_by_live_entry)
            if name != self.name and now_s >= self._avoid_until_s.get(name, now_s)
        ]
        # Entries of other regions may reach a store that is cut off from this one.
        others = [
            name
            for name in names
            if self.region_by_place.get(place_by_live_entry[name]) != self.region
        ]
        return (others or names or [""])[0]

    def note_failed(self, name, now_s):
        """Pass an entry over for a while."""
        self._avoid_until_s[name] = now_s + AVOID_S
