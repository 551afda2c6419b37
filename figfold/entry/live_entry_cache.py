"""A short-lived cache of the live entries by place."""

from attrs import Factory, define

from figfold.core.membership import Membership
from figfold.core.steering import LookupEntry
from figfold.entry.clock import now_s

# Look-ups share a snapshot for this long, so that their cost does not grow with the membership.
MAX_AGE_S = 0.1


@define(eq=False)
class LiveEntryCache:
    """A snapshot of the live entries in the membership, renewed by `refresh`.

    Attributes
    ----------
    entries_by_place : dict[str, list[Entry]]
        The live entries as they stand in the membership.
    views_by_place : dict[str, list[EntryView]]
        The same entries, in the same order, as look-ups return them.
    room_by_key : dict[tuple[str, str], int or None]
        Room by service and place, computed on demand.
    """

    membership: Membership
    entries_by_place: dict = Factory(dict)
    views_by_place: dict = Factory(dict)
    room_by_key: dict = Factory(dict)
    refreshed_s: float = float("-inf")

    def refresh(self):
        """Read the membership again if the snapshot is older than `MAX_AGE_S`; return the cache."""
        now = now_s()
        if 0.0 <= now - self.refreshed_s < MAX_AGE_S:
            return self
        self.refreshed_s = now
        self.entries_by_place = {}
        self.views_by_place = {}
        self.room_by_key = {}
        for entry in self.membership.live_entries(now).values():
            entry_view = LookupEntry(entry.name, entry.place, entry.address)
            self.entries_by_place.setdefault(entry.place, []).append(entry)
            self.views_by_place.setdefault(entry.place, []).append(entry_view)
        return self

    def reachable_address(self, entry_view):
        """Return the address under which this place reaches an entry."""
        for entry in self.entries_by_place.get(entry_view.place, ()):
            if entry.name == entry_view.name:
                return entry.reach_address
        return entry_view.address

    def may_have_room(self, service, place):
        """Return whether the entries of a place reported room lately, or reported nothing."""
        key = (service, place)
        if key not in self.room_by_key:
            self.room_by_key[key] = self.membership.room(service, place, self.refreshed_s)
        return self.room_by_key[key] != 0

    def neighbours_with_room(self, service, place, own_name):
        """Return the other entries of a place that reported room, most room first."""
        rooms = [
            (entry.load_by_service[service].room, entry.name, entry_view)
            for entry, entry_view in zip(
                self.entries_by_place.get(place, ()),
                self.views_by_place.get(place, ()),
                strict=True,
            )
            if entry.name != own_name and service in entry.load_by_service
        ]
        rooms.sort(key=lambda item: (-item[0], item[1]))
        return [entry_view for room, _, entry_view in rooms if room > 0]
