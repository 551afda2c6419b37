"""What was seen of rows: since when in the store's time, and at which version of the store last."""

from collections import OrderedDict

from attrs import Factory, define

# Rows that are remembered; the oldest are forgotten, so that their age counts anew.
ROWS_KEPT = 4096


@define
class Sighting:
    """One row, or one whole table, as it was seen.

    Attributes
    ----------
    tag : str
        What tells its state from any other.
    first_s : float
        The store's steady clock when this state was seen first.
    store_version : int
        The latest version of the store at which it was known to be in this state.
    """

    tag: str
    first_s: float
    store_version: int


@define
class Sightings:
    """The latest sighting of each row, by table and key; the key of a whole table is empty."""

    _by_key: OrderedDict = Factory(OrderedDict)

    def find(self, table, key, tag):
        """Return the sighting of a row in this state, or None."""
        sighting = self._by_key.get((table, key))
        return sighting if sighting is not None and sighting.tag == tag else None

    def note(self, table, key, tag, store_s, store_version):
        """Note that a row was seen in this state, and return its sighting."""
        sighting = self.find(table, key, tag)
        if sighting is None:
            sighting = Sighting(tag, store_s, store_version)
        sighting.store_version = store_version
        self._by_key[table, key] = sighting
        self._by_key.move_to_end((table, key))
        if len(self._by_key) > ROWS_KEPT:
            self._by_key.popitem(last=False)
        return sighting
