"""Which backend servers exist and may be sent requests, as the store tells it."""

from collections import deque
from math import inf

from attrs import Factory, define, evolve, frozen

# An entry that is missing right after an outage of the store may only have lapsed meanwhile; live
# servers are back within two seconds of its return.
LAPSE_GRACE_S = 2.2
# Removals that are remembered for entries that ask what has changed.
REMOVALS_KEPT = 500
# Knowledge of another entry counts as later than a removal only by more than the time that a
# message takes on its way, which its age does not tell.
NEWS_DELAY_S = 0.3
# A cold time that the store tells was written up to a heartbeat and one reading ago.
COLD_NEWS_S = 3.0


@frozen
class ServerRecord:
    """What a backend server has registered of itself.

    Attributes
    ----------
    cold_remaining_s : float
        How much longer the server stays slow after its start, when it wrote this.
    sequence : int
        Number of its heartbeat since its start.
    born_ms : int
        Unix time of its start in milliseconds; another one means another process.
    """

    id: str
    service: str
    address: str
    place: str
    slots: int
    is_leaving: bool = False
    sequence: int = 0
    cold_remaining_s: float = 0.0
    born_ms: int = 0
    software_version: str = ""


@define
class FleetServer:
    """A registered server; times are monotonic seconds.

    Attributes
    ----------
    seen_s : float
        When its latest record was read.
    cold_until_s : float
        Until when it must be taken as cold.
    missing_since_s : float or None
        When it was first missing from the store after an outage.
    changed : int
        Generation of the fleet in which more than its heartbeat changed.
    """

    record: ServerRecord
    seen_s: float
    changed: int = 0
    cold_until_s: float = -inf
    missing_since_s: float | None = None

    def is_cold(self, now_s):
        """Return whether the server bears only a few requests a second."""
        return now_s < self.cold_until_s


@frozen
class FleetNews:
    """What has changed of a fleet, for another entry.

    Attributes
    ----------
    generation : int
        What to ask for next time.
    is_whole : bool
        Whether the records are all there are.
    records : tuple[ServerRecord, ...]
        With the cold time that remains now.
    """

    generation: int
    is_whole: bool
    records: tuple[ServerRecord, ...]
    removed_ids: tuple[str, ...]
    evacuated_places: frozenset


@define
class Fleet:
    """Registered servers by id, and the data centres that are being evacuated."""

    server_by_id: dict[str, FleetServer] = Factory(dict)
    evacuated_places: frozenset = frozenset()
    is_known: bool = False
    generation: int = 0
    _removals: deque = Factory(lambda: deque(maxlen=REMOVALS_KEPT))
    _removed_s_by_id: dict[str, float] = Factory(dict)

    def take_record(self, record, now_s):
        """Take a server's record; return whether anything but its heartbeat changed."""
        known = self.server_by_id.get(record.id)
        if known is None or known.record.born_ms != record.born_ms:
            self.generation += 1
            server = FleetServer(record, now_s, self.generation)
            self.server_by_id[record.id] = server
            self._note_cold(server, now_s)
            return True
        if record.sequence < known.record.sequence:
            # An older word of the same process, from a reading that was overtaken.
            return False
        before = known.record
        was_missing = known.missing_since_s is not None
        known.record = record
        known.seen_s = now_s
        known.missing_since_s = None
        is_colder = self._note_cold(known, now_s)
        if was_missing or is_colder or _without_heartbeat(before) != _without_heartbeat(record):
            self.generation += 1
            known.changed = self.generation
            return True
        return False

    def take_listing(self, records, now_s, after_outage):
        """Take a whole reading; return the ids that are gone.

        Parameters
        ----------
        records : iterable of ServerRecord
        now_s : float
        after_outage : bool
            Whether the store was away until just now, so that live servers may be missing.
        """
        ids = set()
        for record in records:
            ids.add(record.id)
            self.take_record(record, now_s)
        self.is_known = True
        missing = [one for one in self.server_by_id if one not in ids]
        return [one for one in missing if self.take_removal(one, now_s, after_outage)]

    def take_removal(self, server_id, now_s, after_outage):
        """Take that a server's entry is missing; return whether it is gone for good."""
        server = self.server_by_id.get(server_id)
        if server is None:
            return False
        if after_outage and not server.record.is_leaving:
            if server.missing_since_s is None:
                server.missing_since_s = now_s
            return False
        self._remove(server_id, now_s)
        return True

    def is_revival(self, record, read_s):
        """Return whether a record brings back a server by knowledge older than its removal.

        Parameters
        ----------
        record : ServerRecord
            As another entry told it.
        read_s : float
            When that entry's knowledge was read from the store.
        """
        removed_s = self._removed_s_by_id.get(record.id)
        if record.id in self.server_by_id or removed_s is None:
            return False
        return read_s <= removed_s + NEWS_DELAY_S

    def drop_missing(self, now_s):
        """Forget the servers that are still missing some time after an outage; return their ids."""
        gone = [
            one
            for one, server in self.server_by_id.items()
            if server.missing_since_s is not None
            and now_s - server.missing_since_s >= LAPSE_GRACE_S
        ]
        for one in gone:
            self._remove(one, now_s)
        return gone

    def set_evacuated(self, places, now_s):
        """Take the data centres that nothing may be sent to; return whether they changed."""
        places = frozenset(places)
        if places == self.evacuated_places:
            return False
        for place in self.evacuated_places - places:
            for server in self.server_by_id.values():
                if server.record.place == place:
                    # It may have become cold during the evacuation, and tell so a little later.
                    server.cold_until_s = max(server.cold_until_s, now_s + COLD_NEWS_S)
        self.evacuated_places = places
        self.generation += 1
        return True

    def usable(self, service):
        """Return the servers of a service that may be sent requests.

        Servers that are missing since an outage of the store are left out as if they were gone,
        unless they are so many that the outage must have lapsed them.
        """
        servers = [
            server
            for server in self.server_by_id.values()
            if server.record.service == service
            and not server.record.is_leaving
            and server.record.place not in self.evacuated_places
        ]
        present = [server for server in servers if server.missing_since_s is None]
        return present if 2 * len(present) >= len(servers) else servers

    def may_send(self, server_id):
        """Return whether the server may be sent a request at this moment."""
        server = self.server_by_id.get(server_id)
        return (
            server is not None
            and not server.record.is_leaving
            and server.record.place not in self.evacuated_places
        )

    def suspect_cold(self, server_id, until_s):
        """Take a server as cold: it has failed and may have started again."""
        server = self.server_by_id.get(server_id)
        if server is not None:
            server.cold_until_s = max(server.cold_until_s, until_s)

    def news_since(self, generation, now_s):
        """Return what has changed after a generation, or everything when that is unknown.

        Parameters
        ----------
        generation : int
            As a former `FleetNews` told it; zero asks for everything.
        now_s : float

        Returns
        -------
        FleetNews
        """
        oldest = self._removals[0][0] if len(self._removals) == REMOVALS_KEPT else 0
        is_whole = not oldest < generation <= self.generation
        after = 0 if is_whole else generation
        servers = [
            server
            for server in self.server_by_id.values()
            if server.changed > after and not (is_whole and server.missing_since_s is not None)
        ]
        removed = {one for number, one in self._removals if number > after}
        return FleetNews(
            self.generation,
            is_whole,
            tuple(_with_cold_left(server, now_s) for server in servers),
            () if is_whole else tuple(sorted(removed - set(self.server_by_id))),
            self.evacuated_places,
        )

    def _remove(self, server_id, now_s):
        del self.server_by_id[server_id]
        self._removed_s_by_id.pop(server_id, None)
        self._removed_s_by_id[server_id] = now_s
        if len(self._removed_s_by_id) > REMOVALS_KEPT:
            del self._removed_s_by_id[next(iter(self._removed_s_by_id))]
        self.generation += 1
        self._removals.append((self.generation, server_id))

    def _note_cold(self, server, now_s):
        """Take the cold time that a record tells; return whether it ends later than known."""
        if server.record.cold_remaining_s <= 0.0:
            return False
        until_s = now_s + server.record.cold_remaining_s
        is_colder = until_s > server.cold_until_s + COLD_NEWS_S / 2
        server.cold_until_s = max(server.cold_until_s, until_s)
        return is_colder


def _without_heartbeat(record):
    return evolve(record, sequence=0, cold_remaining_s=0.0)


def _with_cold_left(server, now_s):
    cold_s = max(0.0, server.cold_until_s - now_s)
    return evolve(server.record, cold_remaining_s=cold_s)
