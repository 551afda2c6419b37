"""Cache of the last known states of rows, for their ages and for conditional reads."""

from collections import OrderedDict

from attrs import Factory, define

# The least recently recorded rows are evicted beyond this; the ages of these restart from zero.
MAX_ROWS = 4096


@define
class RowState:
    """Last known state of one row, or of one whole table.

    Attributes
    ----------
    tag : str
        Entity tag of the state.
    first_seen_s : float
        The store's steady clock when this state was first read.
    store_version : int
        Latest version of the store at which the row was known to be in this state.
    """

    tag: str
    first_seen_s: float
    store_version: int


@define
class RowStateCache:
    """Last known state of each row, by table and key; the key of a whole table is empty."""

    _by_key: OrderedDict = Factory(OrderedDict)

    def find(self, table, key, tag):
        """Return the state of a row if it has this tag, or None."""
        state = self._by_key.get((table, key))
        return state if state is not None and state.tag == tag else None

    def record(self, table, key, tag, store_s, store_version):
        """Record that a row was in this state, and return the cached state."""
        state = self.find(table, key, tag)
        if state is None:
            state = RowState(tag, store_s, store_version)
        state.store_version = store_version
        self._by_key[table, key] = state
        self._by_key.move_to_end((table, key))
        if len(self._by_key) > MAX_ROWS:
            self._by_key.popitem(last=False)
        return state
