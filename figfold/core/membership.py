"""Membership of the entries: which are known, which are live and which to contact next."""

from bisect import bisect_right
from math import ceil

from attrs import Factory, define, field

from figfold.core.entries import Entry, KnownEntry, MembershipSettings
from figfold.core.model import EntryReport, Role, State

# The most known entries that one report lists. Peers accept up to `MAX_KNOWN_ENTRIES`.
KNOWN_ENTRIES_PER_REPORT = 4
# The most entries of other places that are notified of a new plan at once.
REMOTE_NOTIFY_LIMIT = 3


@define
class Membership:
    """The entries that this entry knows, by name, and the rotation in which it contacts them.

    Attributes
    ----------
    own : EntryReport
        The latest report of this entry itself.
    entry_by_name : dict[str, Entry]
        All other known entries.
    list_was_read : bool
        Whether the platform's instance list has been read since the start.
    """

    settings: MembershipSettings
    own: EntryReport
    entry_by_name: dict[str, Entry] = Factory(dict)
    list_was_read: bool = False
    _contact_cursor: str = ""
    _known_entries_cursor: str = ""
    _last_call_at: float | None = None
    _requests_stale_until: float = field(default=float("-inf"))

    @classmethod
    def from_config(cls, settings, own):
        """Return a membership that holds only this entry.

        Parameters
        ----------
        settings : MembershipSettings
        own : EntryReport
        """
        return cls(settings, own)

    # Updates.

    def update_from_list(self, instances, now_s):
        """Update the known entries from the platform's instance list, which may be out of date.

        Parameters
        ----------
        instances : iterable of Instance
        now_s : float
        """
        self._detect_pause(now_s)
        self.list_was_read = True
        listed = {one.name: one for one in instances if one.role is Role.ENTRY}
        listed.pop(self.own.name, None)
        for instance in listed.values():
            self._apply_listed(instance, now_s)
        for name in [name for name in self.entry_by_name if name not in listed]:
            self._apply_unlisted(name, now_s)

    def record_report(self, report, now_s, request_sent_at_s=None):
        """Update an entry from a report that it sent itself.

        Parameters
        ----------
        report : EntryReport
        now_s : float
        request_sent_at_s : float or None
            When the request was sent to which this report is the reply; None for a report that
            came as a request, whose age is unknown.

        Returns
        -------
        bool
            Whether the report was accepted. A report of this entry itself is not, nor is one of
            an earlier incarnation while the later one is still heard.
        """
        self._detect_pause(now_s)
        if report.name == self.own.name:
            return False
        entry = self.entry_by_name.get(report.name)
        if entry is None:
            entry = Entry(report.name, report.place, known_since=now_s)
            self.entry_by_name[report.name] = entry
        if report.incarnation < entry.incarnation and self._was_heard_recently(entry, now_s):
            # The replaced process may still run, or its report may have been delayed. Once the
            # later incarnation is silent, the report is from its successor on an instance whose
            # clock is behind.
            return False
        if entry.was_heard and report.incarnation != entry.incarnation:
            entry.replaced_at = now_s
        _copy_report(entry, report)
        # A reply may have waited in the socket, so it proves contact only at the time of its
        # request.
        heard_at = now_s if request_sent_at_s is None else request_sent_at_s
        entry.heard_at = _latest(entry.heard_at, heard_at)
        if request_sent_at_s is not None or now_s >= self._requests_stale_until:
            entry.contact_at = _latest(entry.contact_at, heard_at)
        return True

    def add_known_entries(self, known_entries, now_s):
        """Add entries that a peer knows, so that they are contacted.

        Entries known already are not changed: second-hand information neither keeps an entry
        live nor replaces its incarnation.
        """
        for known in known_entries:
            if known.name == self.own.name or known.name in self.entry_by_name:
                continue
            entry = Entry(known.name, known.place, known_since=now_s)
            entry.peer_address = known.peer_address
            self.entry_by_name[known.name] = entry

    # Queries.

    def is_live(self, name, now_s):
        """Return whether look-ups may name the entry."""
        if name == self.own.name:
            return not self.own.leaving
        entry = self.entry_by_name.get(name)
        return entry is not None and self._entry_is_live(entry, now_s)

    def live_entries(self, now_s):
        """Return the entries that look-ups may name, this one included, by name.

        Returns
        -------
        dict[str, Entry]
        """
        live_by_name = {
            entry.name: entry
            for entry in self.entry_by_name.values()
            if self._entry_is_live(entry, now_s)
        }
        if not self.own.leaving:
            live_by_name[self.own.name] = self._own_entry(now_s)
        return dict(sorted(live_by_name.items()))

    def place_is_dead(self, place, now_s):
        """Return whether no live entry is left at the place."""
        if place == self.own.place and not self.own.leaving:
            return False
        entries = self.entry_by_name.values()
        return not any(e.place == place and self._entry_is_live(e, now_s) for e in entries)

    def room(self, service, place, now_s):
        """Return the free room that live entries reported recently, or None without a report."""
        fresh = [
            entry.load_by_service.get(service)
            for entry in self._live_at(place, now_s)
            if entry.heard_within(now_s, self.settings.load_fresh_s)
        ]
        if not fresh:
            return None
        return sum(load.room for load in fresh if load)

    def peers_to_contact(self, now_s):
        """Return the entries to contact in this round, whether or not they are live.

        These are all other entries of the own place, and so many entries of other places, in
        rotation, that each is contacted before it would be suspected for silence.

        Returns
        -------
        list[Entry]
        """
        self._detect_pause(now_s)
        reachable = {one.name: one for one in self.entry_by_name.values() if one.reach_peer_address}
        own_place = [one for one in reachable.values() if one.place == self.own.place]
        others = sorted(name for name, one in reachable.items() if one.place != self.own.place)
        chosen = self._next_in_rotation(others)
        return own_place + [reachable[name] for name in chosen]

    def peers_to_notify(self, version, sample):
        """Return the entries to notify at once that this plan version is in force here.

        These are the other entries of the own place and a random few of the other places,
        without those that already reported the version. Each entry that applies the plan
        notifies as many in turn, so that the plan reaches nearly all entries in a few hops;
        regular contacts and reads of the store reach the rest.

        Parameters
        ----------
        version : int
        sample : callable
            ``(entries, count) -> list[Entry]``, which returns a random sample of the entries.

        Returns
        -------
        list[Entry]
        """
        behind = [
            entry
            for _, entry in sorted(self.entry_by_name.items())
            if entry.reach_peer_address and entry.plan_version < version
        ]
        own_place = [entry for entry in behind if entry.place == self.own.place]
        others = [entry for entry in behind if entry.place != self.own.place]
        return own_place + sample(others, min(REMOTE_NOTIFY_LIMIT, len(others)))

    def has_majority_contact(self, now_s, within_s):
        """Return whether more than half of all known entries were in contact recently.

        This entry counts as one of them. The answer is False while it knows no other entry and
        has never read the instance list.
        """
        if not self.entry_by_name and not self.list_was_read:
            return False
        recent = [
            entry
            for entry in self.entry_by_name.values()
            if entry.contact_at is not None and now_s - entry.contact_at < within_s
        ]
        return 2 * (len(recent) + 1) > len(self.entry_by_name) + 1

    def known_entries(self, now_s, limit=KNOWN_ENTRIES_PER_REPORT):
        """Return a few recently heard entries for a report to peers, in rotation over calls.

        Peers need them only while the platform's instance list is not available, and each item
        takes processing time at every peer. Callers therefore send one result to several peers,
        and each call continues where the last one ended.

        Returns
        -------
        tuple[KnownEntry, ...]
        """
        # Silent entries are left out; otherwise peers would pass on a removed entry for ever.
        window_s = self.settings.suspect_after_s
        known = self.entry_by_name.values()
        names = sorted(one.name for one in known if one.heard_within(now_s, window_s))
        chosen = _names_after(names, self._known_entries_cursor, limit)
        if chosen:
            self._known_entries_cursor = chosen[-1]
        return tuple(_to_known(self.entry_by_name[name], now_s) for name in chosen)

    # Internals.

    def _detect_pause(self, now_s):
        # After a pause of the process the sockets may hold requests that are as old as the pause
        # and prove no recent contact.
        last = self._last_call_at
        if last is not None and now_s - last > self.settings.suspect_after_s:
            self._requests_stale_until = now_s + self.settings.tick_s
        self._last_call_at = now_s

    def _apply_listed(self, instance, now_s):
        entry = self.entry_by_name.get(instance.name)
        if entry is None:
            entry = Entry(instance.name, instance.place, known_since=now_s)
            self.entry_by_name[instance.name] = entry
        if entry.listed_since is None:
            entry.listed_since = now_s
        # The list may be out of date, so an entry's own recent report takes precedence.
        if not self._was_heard_recently(entry, now_s):
            entry.place = instance.place
            entry.address = instance.address
            entry.peer_address = instance.peer_address
            entry.admin_address = instance.admin_address
        entry.listed_leaving = instance.state is State.LEAVING
        listed = (instance.address, instance.peer_address)
        if listed != (entry.listed_address, entry.listed_peer_address):
            entry.listed_address, entry.listed_peer_address = listed
            entry.listed_address_is_stale = False

    def _apply_unlisted(self, name, now_s):
        entry = self.entry_by_name[name]
        entry.listed_since = None
        last_sign = entry.known_since if entry.heard_at is None else entry.heard_at
        if now_s - last_sign > self.settings.forget_after_s:
            del self.entry_by_name[name]

    def _entry_is_live(self, entry, now_s):
        if entry.leaving:
            return False
        if self._was_heard_recently(entry, now_s):
            return True
        if entry.was_heard or entry.listed_since is None:
            return False
        return now_s - entry.listed_since < self.settings.start_grace_s

    def _was_heard_recently(self, entry, now_s):
        return entry.heard_within(now_s, self.settings.suspect_after_s)

    def _live_at(self, place, now_s):
        live = [
            entry
            for entry in self.entry_by_name.values()
            if entry.place == place and self._entry_is_live(entry, now_s)
        ]
        if place == self.own.place and not self.own.leaving:
            live.append(self._own_entry(now_s))
        return live

    def _own_entry(self, now_s):
        entry = Entry(self.own.name, self.own.place, known_since=now_s)
        _copy_report(entry, self.own)
        entry.heard_at = now_s
        entry.contact_at = now_s
        return entry

    def _next_in_rotation(self, names):
        if not names:
            return []
        ticks = max(1, int(self.settings.suspect_after_s / self.settings.tick_s) - 1)
        count = min(len(names), max(self.settings.fanout, ceil(len(names) / ticks)))
        chosen = _names_after(names, self._contact_cursor, count)
        self._contact_cursor = chosen[-1]
        return chosen


def _names_after(names, cursor, count):
    """Return the next ``count`` of the sorted names after the cursor, wrapping around."""
    start = bisect_right(names, cursor)
    return (names[start:] + names[:start])[:count]


def _copy_report(entry, report):
    is_new = report.incarnation != entry.incarnation or not entry.was_heard
    # A delayed report of the same incarnation must not make a leaving entry live again.
    entry.reported_leaving = report.leaving or (entry.reported_leaving and not is_new)
    previous_address = entry.reported_peer_address
    entry.listed_address_is_stale |= (
        bool(previous_address) and previous_address != report.peer_address
    )
    entry.reported_peer_address = report.peer_address
    entry.place = report.place
    entry.incarnation = report.incarnation
    entry.address = report.address
    entry.peer_address = report.peer_address
    entry.admin_address = report.admin_address
    entry.plan_version = report.plan_version
    entry.load_by_service = {load.service: load for load in report.loads}
    entry.was_heard = True


def _latest(first, second):
    return second if first is None else max(first, second)


def _to_known(entry, now_s):
    age_ms = int(max(0.0, now_s - entry.heard_at) * 1000)
    return KnownEntry(entry.name, entry.place, entry.incarnation, age_ms, entry.peer_address)
