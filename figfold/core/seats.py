"""Splits each place's caps into leased seats, so that the permits in use never exceed a cap.

Every place has a fixed number of seats, and every seat two parts: a long one whose lease outlives
an outage of the store, and a short one that is free again soon after its holder has died.
"""

import json
from enum import Enum

from attrs import Factory, define, frozen

from figfold.core.budgets import Permits
from figfold.core.codes import Code
from figfold.core.seat_parts import PartKind, SeatPart, count_permits, list_parts


class SeatStep(Enum):
    """What the daemon should do next about a part."""

    READ = "read"
    TAKE = "take"
    RENEW = "renew"
    RELEASE = "release"


@frozen
class SeatOptions:
    """Lease times in seconds and the number of seats of a place.

    Attributes
    ----------
    margin_s : float
        Added before a lapsed lease is taken over, against clocks that run at unequal rates.
    """

    count: int = 2
    short_ttl_s: float = 10.0
    short_renew_s: float = 3.0
    long_ttl_s: float = 5400.0
    long_renew_s: float = 60.0
    margin_s: float = 2.0
    read_interval_s: float = 1.0

    @classmethod
    def from_config(cls, seats):
        """Return the options of the ``[seats]`` settings."""
        return cls(
            count=seats.count,
            short_ttl_s=seats.short_ttl_s,
            short_renew_s=seats.short_renew_s,
            long_ttl_s=seats.long_ttl_s,
            long_renew_s=seats.long_renew_s,
            margin_s=seats.margin_s,
        )

    def ttl_s(self, kind):
        """Return the lease time of a kind of part."""
        return self.long_ttl_s if kind is PartKind.LONG else self.short_ttl_s

    def renew_s(self, kind):
        """Return the time after which a held part is renewed."""
        return self.long_renew_s if kind is PartKind.LONG else self.short_renew_s


@frozen
class SeatRow:
    """Content of a part's row: who holds it and for how long after the write.

    Attributes
    ----------
    renewed_s : float or None
        The latest that the store's clock can have shown when the write was begun, from which the
        holder counts its lease; None when the holder did not know.
    """

    holder: str
    address: str
    incarnation: int
    ttl_s: float
    renewed_s: float | None = None

    def encode(self):
        """Return the row as JSON bytes."""
        value = {
            "holder": self.holder,
            "address": self.address,
            "incarnation": self.incarnation,
            "ttl_s": self.ttl_s,
            "renewed_s": self.renewed_s,
        }
        return json.dumps(value, sort_keys=True).encode()

    @classmethod
    def decode(cls, data):
        """Return the row, or None for content that is not a seat row."""
        try:
            value = json.loads(data)
            holder, address, incarnation = value["holder"], value["address"], value["incarnation"]
            row = cls(holder, address, incarnation, value["ttl_s"], value.get("renewed_s"))
        except (ValueError, KeyError, TypeError, AttributeError):
            return None
        if row.renewed_s is not None and type(row.renewed_s) not in (int, float):
            return None
        valid = isinstance(row.holder, str) and isinstance(row.address, str)
        valid = valid and type(row.incarnation) is int and type(row.ttl_s) in (int, float)
        return row if valid and 0 <= row.ttl_s < float("inf") else None

    def age_s(self, row_age_s, store_s):
        """Return a lower bound of the time since the holder began to write this.

        Parameters
        ----------
        row_age_s : float
            Lower bound of the time since the write took effect.
        store_s : float or None
            The store's clock when it was read.
        """
        if self.renewed_s is None or store_s is None:
            return row_age_s
        return max(row_age_s, store_s - self.renewed_s)


FREE_ROW = SeatRow("", "", 0, 0.0)


@frozen
class SeatAction:
    """A read or conditional write of a part's row; no etag means that the row must be absent."""

    part: SeatPart
    step: SeatStep
    etag: str = ""
    row: SeatRow = FREE_ROW


# The leases of one entry.


@define
class _PartState:
    """What this entry knows of one part; times are monotonic seconds."""

    etag: str = ""
    held: bool = False
    lease_end_s: float = 0.0
    taken_s: float = 0.0
    after_another: bool = False
    from_predecessor: bool = False
    renew_at_s: float = 0.0
    read_at_s: float = 0.0
    verify: bool = False
    takeable_etag: str | None = None
    giving_up: bool = False


@define
class SeatBook:
    """The parts of one place as one entry holds and sees them.

    Attributes
    ----------
    longest_request_s : float
        The longest that a request dispatched by any holder may still run, of all services.
    """

    name: str
    address: str
    incarnation: int
    options: SeatOptions
    longest_request_s: float
    parts: list[SeatPart]
    state_by_part: dict[SeatPart, _PartState] = Factory(dict)
    rank: int = 0
    entries: int = 1

    @classmethod
    def from_config(cls, name, place, address, incarnation, options, longest_request_s):
        """Return a book that holds nothing yet."""
        parts = list_parts(place, options.count)
        state_by_part = {part: _PartState() for part in parts}
        return cls(name, address, incarnation, options, longest_request_s, parts, state_by_part)

    def set_neighbours(self, names):
        """Take the live entries of the place, own name included; they fix who prefers what."""
        ordered = sorted(set(names) | {self.name})
        self.rank = ordered.index(self.name)
        self.entries = len(ordered)
        for part, state in self._items():
            state.giving_up = state.held and not self._prefers(part)

    def due(self, now_s):
        """Return the reads and writes that should be made now."""
        actions = [self._next_action(part, state, now_s) for part, state in self._items()]
        return [action for action in actions if action is not None]

    def permits(self, cap, slots_by_server, request_limit_s, now_s):
        """Return what this entry may have in progress of a service now.

        Parameters
        ----------
        cap : int
            The place's cap for the service, in requests.
        slots_by_server : dict[str, int]
            Slots of the place's backend servers.
        request_limit_s : float
            The longest that a dispatched request of the service may still run, in seconds.
        """
        usable = self.usable_parts(request_limit_s, now_s)
        quota, permitted = count_permits(
            cap, tuple(slots_by_server.items()), tuple(self.parts), tuple(usable)
        )
        ends = [self.state_by_part[part].lease_end_s for part in usable]
        return Permits(dict(permitted), quota, min(ends, default=now_s))

    def usable_parts(self, request_limit_s, now_s):
        """Return the parts whose permits may be used for a dispatch at ``now_s``."""
        return [
            part
            for part, state in self._items()
            if state.held
            and not state.giving_up
            and self._usable_from_s(state, request_limit_s) <= now_s < state.lease_end_s
        ]

    def held_parts(self):
        """Return the parts whose rows name this process, lapsed or not."""
        return [part for part, state in self._items() if state.held]

    def release_actions(self, now_s, every=False):
        """Return the writes that free the parts being given up, or every held part.

        The caller makes them only when what is in progress fits the parts that remain. A part
        that may not be used yet is kept, because whoever takes a free one uses it at once.
        """
        return [
            SeatAction(part, SeatStep.RELEASE, state.etag, FREE_ROW)
            for part, state in self._items()
            if state.held
            and (every or state.giving_up)
            and self._usable_from_s(state, self.longest_request_s) <= now_s
        ]

    # Outcomes of reads and writes.

    def on_read(self, part, etag, row, age_s, now_s):
        """Take the part's row as read; an empty etag means that there is none."""
        state = self.state_by_part[part]
        state.read_at_s = now_s + self.options.read_interval_s
        state.verify = False
        if row is None or not self._is_own(row):
            state.held = False
            state.giving_up = False
            self._note_takeable(state, etag, row, age_s)
            return
        if not state.held:
            # The answer to our taking was lost, and with it whom we took the part from.
            state.taken_s = now_s
            state.after_another = True
        state.held = True
        state.etag = etag
        state.renew_at_s = now_s

    def on_written(self, action, etag, started_s, now_s):
        """Take a successful write that was begun at ``started_s``."""
        state = self.state_by_part[action.part]
        if action.step is SeatStep.RELEASE:
            read_at_s = now_s + self.options.read_interval_s
            self.state_by_part[action.part] = _PartState(read_at_s=read_at_s)
            return
        state.etag = etag
        state.lease_end_s = started_s + self.options.ttl_s(action.part.kind)
        state.renew_at_s = started_s + self.options.renew_s(action.part.kind)
        if not state.held:
            state.taken_s = now_s
        state.held = True
        state.verify = False
        state.takeable_etag = None

    def on_failed(self, action, code, now_s):
        """Take a failed write.

        A conflict is settled by a read. The lease of the last successful write stays valid,
        because nobody may take the part over before that lease has lapsed.
        """
        state = self.state_by_part[action.part]
        state.takeable_etag = None
        state.renew_at_s = now_s + self.options.read_interval_s
        state.read_at_s = now_s + self.options.read_interval_s
        if code is Code.STORE_CONFLICT:
            state.verify = True
            state.read_at_s = now_s

    # Private decisions.

    def _items(self):
        return self.state_by_part.items()

    def _prefers(self, part):
        return part.index % self.entries == self.rank

    def _next_action(self, part, state, now_s):
        if state.held and not state.verify:
            # A part being given up is renewed too: whoever took it lapsed would wait anew.
            renewal = SeatAction(part, SeatStep.RENEW, state.etag, self._own_row(part))
            return renewal if now_s >= state.renew_at_s else None
        # Nobody else can know that a predecessor has ended, so that its parts are taken in any
        # case; those that another entry prefers are given up afterwards.
        wanted = self._prefers(part) or state.from_predecessor
        if state.takeable_etag is not None and wanted:
            return SeatAction(part, SeatStep.TAKE, state.takeable_etag, self._own_row(part))
        # Each part is read once, as it may be a predecessor's; later only those preferred.
        wanted = state.verify or self._prefers(part) or not state.read_at_s
        return SeatAction(part, SeatStep.READ) if wanted and now_s >= state.read_at_s else None

    def _note_takeable(self, state, etag, row, age_s):
        state.takeable_etag = None
        state.after_another = False
        state.from_predecessor = False
        if row is not None and row.holder:
            lapsed = age_s > row.ttl_s + self.options.margin_s
            state.from_predecessor = self._is_dead_predecessor(row)
            if not lapsed and not state.from_predecessor:
                return
            state.after_another = True
        state.takeable_etag = etag

    def _usable_from_s(self, state, request_limit_s):
        if not state.after_another:
            return state.taken_s
        # Requests of the former holder may still run until their deadlines.
        return state.taken_s + request_limit_s + self.options.margin_s

    def _is_own(self, row):
        own = (self.name, self.address, self.incarnation)
        return own == (row.holder, row.address, row.incarnation)

    def _is_dead_predecessor(self, row):
        """Return whether the holder was an earlier process on this very address.

        Two processes can not be bound to one address, so that process has ended.
        """
        return row.address == self.address and row.incarnation < self.incarnation

    def _own_row(self, part):
        ttl_s = self.options.ttl_s(part.kind)
        return SeatRow(self.name, self.address, self.incarnation, ttl_s)
