"""Which entries are live, found out by a few probes per second and news that entries pass on.

Each entry probes a few others in each round, in an order drawn anew for each pass over all of them.
One that does not answer, not even through others, is suspected; it can refute that by a higher
revision of itself, and is dead if it does not in time. Changes are news, which each entry adds to a
limited number of its messages. The cost of an entry does not depend on the number of entries.
"""

from collections import deque
from enum import IntEnum
from hashlib import blake2b

from attrs import Factory, define, evolve

from figfold.core.entries import KnownEntry, MembershipSettings
from figfold.core.model import EntryReport, ServiceLoad
from figfold.core.news import News

# Most entries of which one message tells news.
NEWS_LIMIT = 32
# Reports that carry one piece of news: one more than this fraction of the binary logarithm of the
# number of entries, two at least. Each report reaches several entries, and digests show what has
# been missed.
NEWS_REPEATS = 0.5
# Fraction of the time without a message, after which an entry counts as dead, for which it is only
# suspected. The rest is for the probes that have to fail before.
SUSPICION_FRACTION = 0.5
# A round that starts later than this shows that this entry is slow itself.
LATE_ROUND_S = 0.5
# Time after a late round in which probes that fail raise no suspicion.
LATE_PAUSE_S = 2.0
# Views of two entries are compared when neither has changed for this long.
SETTLED_S = 1.0
SYNC_INTERVAL_S = 2.0
# Time for which loads that an entry reported are used, and the most entries of which they are kept.
LOAD_FRESH_S = 5.0
MAX_REVISION = 2**53


class EntryState(IntEnum):
    """State of an entry; of two statements about one revision, the greater holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@define
class Member:
    """Another entry, as far as it is known; times are monotonic seconds.

    Attributes
    ----------
    revision : int
        Number that the entry raises to refute a statement about it, and at each start.
    since_s : float
        When the state was set, or when the suspicion was raised elsewhere.
    """

    name: str
    place: str
    peer_address: str = ""
    address: str = ""
    state: EntryState = EntryState.DEAD
    revision: int = 0
    since_s: float = 0.0
    load_by_service: dict[str, ServiceLoad] = Factory(dict)

    @property
    def is_live(self):
        """Whether look-ups may name the entry."""
        return self.state <= EntryState.SUSPECT

    @property
    def reach_peer_address(self):
        """The address for messages to the entry."""
        return self.peer_address


@define
class Members:
    """The other entries by name, and the news and rotations of this entry.

    Attributes
    ----------
    own : EntryReport
        The latest report of this entry itself.
    sample : callable
        ``(items, count) -> list``, a random sample of a list, in random order.
    live_version : int
        Rises with each change of the live entries.
    known_version : int
        Rises when an entry is added or forgotten.
    changed_at_s : float
        Time of the latest change of any entry.
    digest : int
        Combines the names and revisions of the other live entries.
    changes : int
        Number of changes of any entry, which are news.
    """

    settings: MembershipSettings
    own: EntryReport
    sample: object
    entry_by_name: dict[str, Member] = Factory(dict)
    live_version: int = 0
    known_version: int = 0
    changed_at_s: float = float("-inf")
    digest: int = 0
    changes: int = 0
    _news: News = Factory(News)
    _probe_order: deque = Factory(deque)
    _silent_order: deque = Factory(deque)
    _suspects: dict[str, None] = Factory(dict)
    _silent: dict[str, float] = Factory(dict)
    _reported: dict[str, float] = Factory(dict)
    _live: tuple[int, bool, dict, list] | None = None
    _last_round_s: float | None = None
    _late_until_s: float = float("-inf")
    _synced_at_s: float = float("-inf")

    @classmethod
    def from_config(cls, settings, own, sample):
        """Return the view of an entry that knows no other one.

        Parameters
        ----------
        settings : MembershipSettings
        own : EntryReport
        sample : callable
        """
        return cls(settings, own, sample)

    # Updates.

    def update_from_list(self, instances, now_s):
        """Add registered entries, which are silent until something is heard of them."""
        for one in instances:
            if one.name != self.own.name and one.name not in self.entry_by_name:
                member = Member(one.name, one.place, one.peer_address, since_s=now_s)
                self._add(member)
                self._silent[one.name] = now_s

    def record_report(self, report, now_s, _request_sent_at_s=None):
        """Update an entry from a report that it sent itself; return whether it was accepted."""
        if report.name == self.own.name:
            return False
        state = EntryState.LEFT if report.leaving else EntryState.ALIVE
        # Entries of earlier versions state no revision.
        revision = report.revision or report.incarnation
        self._merge(_statement_of(report, state, revision), now_s)
        member = self.entry_by_name[report.name]
        if revision < member.revision:
            return False
        member.load_by_service = {load.service: load for load in report.loads}
        self._reported.pop(report.name, None)
        self._reported[report.name] = now_s
        self._drop_old_reports(now_s)
        return True

    def add_known_entries(self, known_entries, now_s):
        """Apply what a peer states of other entries."""
        for known in known_entries:
            self._merge(known, now_s)

    def suspect(self, name, revision, now_s):
        """Suspect an entry that answered no probe at a revision; return whether that is new."""
        member = self.entry_by_name.get(name)
        is_late = now_s < self._late_until_s
        if member is None or is_late or member.revision != revision:
            return False
        if member.state is not EntryState.ALIVE:
            return False
        self._set_state(member, EntryState.SUSPECT, revision, now_s, now_s)
        return True

    def _merge(self, known, now_s):
        state = EntryState(known.state)
        if known.name == self.own.name:
            self._refute(known.revision, state, now_s)
            return
        if not known.revision:
            # An entry of an earlier version only states that the other one exists.
            self.update_from_list((known,), now_s)
            return
        member = self.entry_by_name.get(known.name)
        if member is None:
            member = Member(known.name, known.place)
            self._add(member)
        elif (known.revision, state) <= (member.revision, member.state):
            return
        before = (member.place, member.address)
        member.place = known.place
        member.peer_address = known.peer_address or member.peer_address
        member.address = known.address or member.address
        age_s = known.heard_age_ms / 1000.0 if state is EntryState.SUSPECT else 0.0
        self._set_state(member, state, known.revision, now_s - age_s, now_s)
        if (member.place, member.address) != before:
            self.live_version += 1

    def _add(self, member):
        self.entry_by_name[member.name] = member
        self.known_version += 1

    def _refute(self, revision, state, now_s):
        own_state = EntryState.LEFT if self.own.leaving else EntryState.ALIVE
        if (revision, state) > (self.own.revision, own_state):
            self.own = evolve(self.own, revision=min(revision + 1, MAX_REVISION))
            self.announce_own(now_s)

    def _set_state(self, member, state, revision, since_s, now_s):
        if member.is_live:
            self.digest ^= _hash_of(member.name, member.revision)
        was_live = member.is_live
        member.state, member.revision, member.since_s = state, revision, since_s
        if member.is_live:
            self.digest ^= _hash_of(member.name, revision)
        self._suspects.pop(member.name, None)
        self._silent.pop(member.name, None)
        if state is EntryState.SUSPECT:
            self._suspects[member.name] = None
        elif not member.is_live:
            self._silent[member.name] = now_s
        if not was_live and member.is_live:
            self._probe_order.append(member.name)
        if was_live != member.is_live:
            self.live_version += 1
        self._add_news(member.name, now_s)

    # Rounds.

    def peers_to_contact(self, now_s):
        """Return the entries to probe in this round: a few live ones, and one silent one."""
        self._detect_late_round(now_s)
        self._expire(now_s)
        live = self._next_of(
            self._probe_order, lambda: [m.name for m in self.entry_by_name.values() if m.is_live]
        )
        silent = self._next_of(self._silent_order, lambda: list(self._silent))
        chosen = _take_distinct(live, self.settings.fanout)
        # Without a live entry, this one has to find the others.
        return chosen + _take_distinct(silent, 1 if chosen else self.settings.fanout)

    def _next_of(self, order, names):
        """Yield the members of a rotation, which is drawn anew after each pass."""
        is_silent = order is self._silent_order
        for _ in range(2):
            while order:
                member = self.entry_by_name.get(order.popleft())
                is_due = member is not None and member.is_live is not is_silent
                if is_due and member.peer_address and member.state is not EntryState.LEFT:
                    yield member
            known = names()
            order.extend(self.sample(known, len(known)))

    def _detect_late_round(self, now_s):
        last_s, self._last_round_s = self._last_round_s, now_s
        if last_s is None or now_s - last_s - self.settings.tick_s <= LATE_ROUND_S:
            return
        self._late_until_s = now_s + LATE_PAUSE_S
        # Refutations may wait unread.
        for name in self._suspects:
            self.entry_by_name[name].since_s = max(now_s, self.entry_by_name[name].since_s)

    def _expire(self, now_s):
        limit_s = self.settings.suspect_after_s * SUSPICION_FRACTION
        for name in list(self._suspects):
            member = self.entry_by_name[name]
            if now_s - member.since_s >= limit_s:
                self._set_state(member, EntryState.DEAD, member.revision, now_s, now_s)
        while self._silent:
            name, since_s = next(iter(self._silent.items()))
            if now_s - since_s <= self.settings.forget_after_s:
                break
            del self._silent[name]
            del self.entry_by_name[name]
            self.known_version += 1

    def others(self, count, now_s, excluded=""):
        """Return a random few of the other live entries."""
        names = self._live_names(now_s)
        drawn = self.sample(names, min(count + 2, len(names)))
        kept = [one for one in drawn if one not in (excluded, self.own.name)]
        return [self.entry_by_name[one] for one in kept[:count]]

    # News.

    def _add_news(self, name, now_s):
        self.changed_at_s = now_s
        self.changes += 1
        self._news.add(name)

    def known_entries(self, now_s, limit=NEWS_LIMIT):
        """Return the news for one message, as a tuple of `KnownEntry`."""
        most = max(2, 1 + int(NEWS_REPEATS * len(self.entry_by_name).bit_length()))
        names = self._news.take(limit, most)
        return tuple(one for one in (self.statement(name, now_s) for name in names) if one)

    def statement(self, name, now_s):
        """Return what is known of an entry, to be told to others; None if it is not known."""
        if name == self.own.name:
            state = EntryState.LEFT if self.own.leaving else EntryState.ALIVE
            return _statement_of(self.own, state, self.own.revision)
        member = self.entry_by_name.get(name)
        if member is None or not member.revision:
            return None
        age_ms = int(max(0.0, now_s - member.since_s) * 1000)
        return KnownEntry(
            name,
            member.place,
            0,
            age_ms,
            member.peer_address,
            member.address,
            member.state,
            member.revision,
        )

    def correction_for(self, report, now_s):
        """Return the statement that the sender of a report has to refute, or None."""
        member = self.entry_by_name.get(report.name)
        if member is None or report.leaving:
            return None
        stated = (report.revision or report.incarnation, EntryState.ALIVE)
        is_outdated = (member.revision, member.state) > stated
        return self.statement(report.name, now_s) if is_outdated else None

    def announce_own(self, now_s):
        """Make a change of this entry itself news."""
        self._add_news(self.own.name, now_s)

    # Comparison of whole views.

    def all_statements(self, now_s):
        """Return what is known of all entries, for a peer whose view differs."""
        names = [self.own.name, *self.entry_by_name]
        return tuple(one for one in (self.statement(name, now_s) for name in names) if one)

    def own_digest(self):
        """Return a digest of the live entries and their revisions, this one included."""
        own_hash = 0 if self.own.leaving else _hash_of(self.own.name, self.own.revision)
        return self.digest ^ own_hash

    def settled_s(self, now_s):
        """Return the time since the last change, at most an hour."""
        return min(3600.0, max(0.0, now_s - self.changed_at_s))

    def should_sync(self, report, now_s):
        """Return whether the view of the sender of a report has to be read as a whole."""
        if not report.members_digest or report.members_digest == self.own_digest():
            return False
        if min(report.settled_s, self.settled_s(now_s)) < SETTLED_S:
            return False
        if now_s - self._synced_at_s < SYNC_INTERVAL_S:
            return False
        self._synced_at_s = now_s
        return True

    # Queries.

    def live_entries(self, now_s):
        """Return the entries that look-ups may name, this one included, by name.

        The same dictionary is returned until there is a change.
        """
        cached = self._live
        if cached is None or cached[:2] != (self.live_version, self.own.leaving):
            by_name = {one.name: one for one in self.entry_by_name.values() if one.is_live}
            if not self.own.leaving:
                own = self.own
                by_name[own.name] = Member(
                    own.name, own.place, own.peer_address, own.address, EntryState.ALIVE
                )
            by_name = dict(sorted(by_name.items()))
            self._live = (self.live_version, self.own.leaving, by_name, list(by_name))
        return self._live[2]

    def _live_names(self, now_s):
        self.live_entries(now_s)
        return self._live[3]

    def recent_loads(self, service, now_s):
        """Return (place, load) of the live entries that have reported their load recently."""
        self._drop_old_reports(now_s)
        members = (self.entry_by_name[name] for name in self._reported)
        return [
            (one.place, one.load_by_service[service])
            for one in members
            if one.is_live and service in one.load_by_service
        ]

    def _drop_old_reports(self, now_s):
        while self._reported:
            name, heard_s = next(iter(self._reported.items()))
            if now_s - heard_s <= LOAD_FRESH_S and name in self.entry_by_name:
                break
            del self._reported[name]


def _statement_of(report, state, revision):
    """Return what a report states of its sender."""
    return KnownEntry(
        report.name,
        report.place,
        report.incarnation,
        0,
        report.peer_address,
        report.address,
        state,
        revision,
    )


def _take_distinct(members, count):
    taken = []
    for _ in range(count):
        member = next(members, None)
        if member is None or any(member is one for one in taken):
            break
        taken.append(member)
    return taken


def _hash_of(name, revision):
    return int.from_bytes(blake2b(f"{name}\0{revision}".encode(), digest_size=8).digest())
