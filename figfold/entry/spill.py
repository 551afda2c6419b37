"""Chooses another entry for a request that would wait here for longer than the way costs."""

from attrs import Factory, define, frozen

from figfold.core.steering import LookupEntry
from figfold.entry.clock import now_s
from figfold.entry.live_view import LiveView

# What passing a request on costs besides the way itself: reading and writing it once more.
HANDLING_S = 0.003
# The wait here must exceed the cost, and the wait there, by this factor: both are estimates.
ADVANTAGE = 1.5
# A report older than this counts for nothing.
REPORT_FRESH_S = 2.0
SMOOTHING = 0.2
ROOM_SMOOTHING = 0.3
# How long an entry is left alone after it had no room, doubled with each time in a row: a few
# milliseconds of a busy moment, and few useless offers while all are overloaded.
PAUSE_S = 0.02
PAUSE_LIMIT_S = 0.64


@frozen
class Offer:
    """An entry that a request is offered to, and how long it may wait there, in seconds."""

    entry: LookupEntry
    wait_limit_s: float


@define
class Pause:
    """How long an entry is left alone, and until when."""

    length_s: float
    until_s: float


@define(eq=False)
class Spill:
    """Round trips and usual room of the other entries.

    Room is smoothed over reports, which come once in a second or two while slots are taken and
    freed many times. So it only tells which entries queue all the time; whether there is room
    now the other entry says itself, when a request is offered to it.

    Attributes
    ----------
    near_places : frozenset[str]
        The places of the own region.
    """

    own_name: str
    near_places: frozenset[str]
    live: LiveView
    round_trip_by_name: dict[str, float] = Factory(dict)
    room_by_key: dict[tuple[str, str], float] = Factory(dict)
    pause_by_key: dict[tuple[str, str], Pause] = Factory(dict)

    # What entries tell.

    def note_loads(self, name, loads):
        """Take the loads that an entry reports; what queues there is negative room."""
        for load in loads:
            room = float(load.room or -load.queued)
            known = self.room_by_key.get((name, load.service), room)
            smoothed = known + ROOM_SMOOTHING * (room - known)
            self.room_by_key[name, load.service] = smoothed

    def note_round_trip(self, name, seconds):
        """Take the time of one exchange with an entry."""
        known_s = self.round_trip_by_name.get(name, seconds)
        self.round_trip_by_name[name] = known_s + SMOOTHING * (seconds - known_s)

    def note_no_room(self, name, service):
        """Leave an entry alone for a while that refused a request for lack of room."""
        last = self.pause_by_key.get((name, service))
        length_s = min(PAUSE_LIMIT_S, 2 * last.length_s) if last else PAUSE_S
        self.pause_by_key[name, service] = Pause(length_s, now_s() + length_s)

    def note_room(self, name, service):
        """Forget that an entry had no room, since it has taken a request."""
        self.pause_by_key.pop((name, service), None)

    # The choice.

    def choose(self, service, wait_s, may_leave_region):
        """Return an offer to the nearest entry that is worth the way, or None.

        Parameters
        ----------
        service : str
        wait_s : float
            How long the request is expected to wait here.
        may_leave_region : bool
            Whether entries of other regions come into question.
        """
        if wait_s < ADVANTAGE * HANDLING_S:
            return None
        view = self.live.refresh()
        now = now_s()
        best = None
        best_s = wait_s / ADVANTAGE
        for place, entries in view.entries_by_place.items():
            if not may_leave_region and place not in self.near_places:
                continue
            for entry, entry_view in zip(entries, view.views_by_place[place], strict=True):
                cost_s = self._cost_s(entry, service, now)
                if cost_s is not None and cost_s < best_s:
                    best = entry_view
                    best_s = cost_s
        return Offer(best, wait_s / ADVANTAGE - best_s) if best else None

    def _cost_s(self, entry, service, now):
        """Return the time that passing on to an entry costs, None when it is to be left alone."""
        key = (entry.name, service)
        round_trip_s = self.round_trip_by_name.get(entry.name)
        if entry.name == self.own_name or round_trip_s is None:
            return None
        if self.room_by_key.get(key, -1.0) < 0.0 or not entry.heard_within(now, REPORT_FRESH_S):
            return None
        pause = self.pause_by_key.get(key)
        if pause is not None and now < pause.until_s:
            return None
        return round_trip_s + HANDLING_S
