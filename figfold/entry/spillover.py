"""Chooses another entry for a request when forwarding it costs less time than queueing it here."""

from attrs import Factory, define, frozen

from figfold.core.steering import LookupEntry
from figfold.entry.clock import now_s
from figfold.entry.live_entry_cache import LiveEntryCache

# Time to read and write a request once more, in addition to the round trip.
FORWARDING_OVERHEAD_S = 0.003
# The expected wait must exceed the cost of forwarding and the wait at the other entry by this
# factor, since these are estimates.
MIN_WAIT_RATIO = 1.5
# An entry whose latest report is older than this is not considered.
MAX_REPORT_AGE_S = 2.0
# Weight of a new value in the exponentially weighted moving averages.
ROUND_TRIP_SMOOTHING = 0.2
ROOM_SMOOTHING = 0.3
# An entry without room gets no offers for this time, doubled with each refusal in a row: short
# enough for a brief peak, and long enough to save useless offers while all entries are overloaded.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.64


@frozen
class Offer:
    """An entry to offer a request to, and how long the request may queue there, in seconds."""

    entry: LookupEntry
    wait_limit_s: float


@define
class Backoff:
    """A time in which an entry gets no offers; the next one in a row lasts twice as long."""

    duration_s: float
    until_s: float


@define(eq=False)
class SpilloverSelector:
    """Selects the entry to offer a request to, by round-trip time and smoothed room.

    A report arrives every one or two seconds, while slots are taken and freed much faster. The
    smoothed room therefore only excludes entries that queue constantly; whether there is room at
    the moment is decided by the other entry when it gets the offer.

    Attributes
    ----------
    places_in_region : frozenset[str]
        Places of the entry's own region.
    smoothed_room_by_key : dict[tuple[str, str], float]
        Smoothed room by entry and service; queued requests count as negative room.
    """

    own_name: str
    places_in_region: frozenset[str]
    live: LiveEntryCache
    round_trip_by_name: dict[str, float] = Factory(dict)
    smoothed_room_by_key: dict[tuple[str, str], float] = Factory(dict)
    backoff_by_key: dict[tuple[str, str], Backoff] = Factory(dict)

    # Observations of other entries.

    def record_loads(self, name, loads):
        """Update the smoothed room from the loads that an entry reports."""
        for load in loads:
            room = float(load.room or -load.queued)
            known = self.smoothed_room_by_key.get((name, load.service), room)
            smoothed = known + ROOM_SMOOTHING * (room - known)
            self.smoothed_room_by_key[name, load.service] = smoothed

    def record_round_trip(self, name, seconds):
        """Update the smoothed round-trip time of an entry."""
        known_s = self.round_trip_by_name.get(name, seconds)
        self.round_trip_by_name[name] = known_s + ROUND_TRIP_SMOOTHING * (seconds - known_s)

    def start_backoff(self, name, service):
        """Make no offers for a while to an entry that refused one for lack of room."""
        last = self.backoff_by_key.get((name, service))
        duration_s = min(MAX_BACKOFF_S, 2 * last.duration_s) if last else INITIAL_BACKOFF_S
        self.backoff_by_key[name, service] = Backoff(duration_s, now_s() + duration_s)

    def clear_backoff(self, name, service):
        """Reset the backoff of an entry that served a request."""
        self.backoff_by_key.pop((name, service), None)

    # Selection of an entry.

    def choose(self, service, wait_s, may_leave_region):
        """Return an offer to the entry of the lowest forwarding cost, or None if none pays off.

        Parameters
        ----------
        service : str
        wait_s : float
            How long the request is expected to wait here.
        may_leave_region : bool
            Whether entries of other regions are considered.
        """
        if wait_s < MIN_WAIT_RATIO * FORWARDING_OVERHEAD_S:
            return None
        view = self.live.refresh()
        now = now_s()
        best = None
        best_s = wait_s / MIN_WAIT_RATIO
        for place, entries in view.entries_by_place.items():
            if not may_leave_region and place not in self.places_in_region:
                continue
            for entry, entry_view in zip(entries, view.views_by_place[place], strict=True):
                cost_s = self._cost_s(entry, service, now)
                if cost_s is not None and cost_s < best_s:
                    best = entry_view
                    best_s = cost_s
        return Offer(best, wait_s / MIN_WAIT_RATIO - best_s) if best else None

    def _cost_s(self, entry, service, now):
        """Return the time that forwarding to an entry costs, None if it is not a candidate."""
        key = (entry.name, service)
        round_trip_s = self.round_trip_by_name.get(entry.name)
        if entry.name == self.own_name or round_trip_s is None:
            return None
        if self.smoothed_room_by_key.get(key, -1.0) < 0.0 or not entry.heard_within(
            now, MAX_REPORT_AGE_S
        ):
            return None
        backoff = self.backoff_by_key.get(key)
        if backoff is not None and now < backoff.until_s:
            return None
        return round_trip_s + FORWARDING_OVERHEAD_S
