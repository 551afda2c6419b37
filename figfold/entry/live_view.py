"""The live entries by place, read from the membership now and then instead of at each look-up."""

from attrs import Factory, define

from figfold.core.membership import Membership
from figfold.core.steering import LookupEntry
from figfold.entry.clock import now_s

# How long look-ups go by one reading, so that their cost does not grow with the membership.
CACHE_S = 0.1


@define(eq=False)
class LiveView:
    """One reading of the membership.

    Attributes
    ----------
    entries_by_place : dict[str, list[Entry]]
        The live entries as the membership knows them.
    views_by_place : dict[str, list[EntryView]]
        The same entries as look-ups name them.
    """

    membership: Membership
    entries_by_place: dict = Factory(dict)
    views_by_place: dict = Factory(dict)
    room_by_key: dict = Factory(dict)
    read_s: float = float("-inf")

    def refresh(self):
        """Read the membership again if the last reading has grown old; return this view."""
        now = now_s()
        if 0.0 <= now - self.read_s < CACHE_S:
            return self
        self.read_s = now
        self.entries_by_place = {}
        self.views_by_place = {}
        self.room_by_key = {}
        for entry in self.membership.live_entries(now).values():
            view = LookupEntry(entry.name, entry.place, entry.address)
            self.entries_by_place.setdefault(entry.place, []).append(entry)
            self.views_by_place.setdefault(entry.place, []).append(view)
        return self

    def reach_address(self, view):
        """Return the address at which this place reaches an entry."""
        for entry in self.entries_by_place.get(view.place, ()):
            if entry.name == view.name:
                return entry.reach_address
        return view.address

    def may_have_room(self, service, place):
        """Return whether the entries of a place told of room lately, or told nothing."""
        key = (service, place)
        if key not in self.room_by_key:
            self.room_by_key[key] = self.membership.room(service, place, self.read_s)
        return self.room_by_key[key] != 0

    def neighbours_with_room(self, service, place, own_name):
        """Return the other entries of a place that told of room, most room first."""
        rooms = [
            (entry.load_by_service[service].room, entry.name, view)
            for entry, view in zip(
                self.entries_by_place.get(place, ()),
                self.views_by_place.get(place, ()),
                strict=True,
            )
            if entry.name != own_name and service in entry.load_by_service
        ]
        rooms.sort(key=lambda item: (-item[0], item[1]))
        return [view for room, _, view in rooms if room > 0]
