"""Splits each place's caps into leased seats, so that the permits in use never exceed a cap.

Every place has a fixed number of seats, and every seat has two parts: a long one, whose lease
outlives an outage of the store, and a short one, whose lease expires soon after its holder died.
"""

import json
from enum import Enum

from attrs import Factory, define, frozen

from figfold.core.budgets import Permits
from figfold.core.codes import Code
from figfold.core.seat_parts import PartKind, SeatPart, list_parts, split_permits


class SeatStep(Enum):
    """The next operation on a part's row."""

    READ = "read"
    ACQUIRE = "take"
    RENEW = "renew"
    RELEASE = "release"


@frozen
class SeatOptions:
    """Lease times in seconds and the number of seats of a place.

    Attributes
    ----------
    margin_s : float
        Time after the expiry of a lease before another entry acquires the part, because clocks
        may run at different rates.
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
        """Return the lease time of a kind of part, in seconds."""
        return self.long_ttl_s if kind is PartKind.LONG else self.short_ttl_s

    def renew_s(self, kind):
        """Return the renewal interval of a kind of part, in seconds."""
        return self.long_renew_s if kind is PartKind.LONG else self.short_renew_s


@frozen
class SeatRow:
    """Content of a part's row: its holder, and the lease time counted from the write.

    Attributes
    ----------
    renewed_s : float or None
        Upper bound of the store's clock at the start of the write, from which the holder counts
        its lease; None if the holder did not know the store's clock.
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
        """Return a lower bound of the time since the holder began to write the row, in seconds.

        Parameters
        ----------
        row_age_s : float
            Lower bound of the time since the write took effect, in seconds.
        store_s : float or None
            The store's clock when the row was read, None if not known.
        """
        if self.renewed_s is None or store_s is None:
            return row_age_s
        return max(row_age_s, store_s - self.renewed_s)


FREE_ROW = SeatRow("", "", 0, 0.0)


@frozen
class SeatAction:
    """A read or conditional write of a part's row; without an etag, the row must not exist."""

    part: SeatPart
    step: SeatStep
    etag: str = ""
    row: SeatRow = FREE_ROW


# Leases of one entry.


@define
class _PartLease:
    """Local state of one part; times are monotonic seconds.

    Attributes
    ----------
    acquired_from_other : bool
        Whether the part was acquired from another holder, whose requests may still run.
    held_by_predecessor : bool
        Whether the row names an earlier process on this entry's address.
    needs_read : bool
        Whether the row must be read before the next write, as after a conflict.
    acquirable_etag : str or None
        Etag of the row while the part may be acquired.
    to_release : bool
        Whether the part is held but preferred by another entry.
    """

    etag: str = ""
    held: bool = False
    lease_end_s: float = 0.0
    acquired_at_s: float = 0.0
    acquired_from_other: bool = False
    held_by_predecessor: bool = False
    renew_at_s: float = 0.0
    read_at_s: float = 0.0
    needs_read: bool = False
    acquirable_etag: str | None = None
    to_release: bool = False


@define
class SeatLeases:
    """The leases of one entry on the parts of its place.

    Attributes
    ----------
    longest_request_s : float
        Longest time that a dispatched request of any service and holder may still run.
    """

    name: str
    address: str
    incarnation: int
    options: SeatOptions
    longest_request_s: float
    parts: list[SeatPart]
    state_by_part: dict[SeatPart, _PartLease] = Factory(dict)
    rank: int = 0
    entry_count: int = 1

    @classmethod
    def from_config(cls, name, place, address, incarnation, options, longest_request_s):
        """Return the state of an entry that holds no part."""
        parts = list_parts(place, options.count)
        state_by_part = {part: _PartLease() for part in parts}
        return cls(name, address, incarnation, options, longest_request_s, parts, state_by_part)

    def set_place_entries(self, names):
        """Set the live entries of the place, which determine the parts that each entry prefers."""
        ordered = sorted(set(names) | {self.name})
        self.rank = ordered.index(self.name)
        self.entry_count = len(ordered)
        for part, state in self._items():
            state.to_release = state.held and not self._is_preferred(part)

    def due_actions(self, now_s):
        """Return the reads and writes to perform now."""
        actions = [self._next_action(part, state, now_s) for part, state in self._items()]
        return [action for action in actions if action is not None]

    def permits(self, cap, slots_by_server, request_limit_s, now_s):
        """Return the permits of this entry for a service.

        Parameters
        ----------
        cap : int
            The place's cap for the service, in requests.
        slots_by_server : dict[str, int]
            Slots of the place's backend servers.
        request_limit_s : float
            Longest time that a dispatched request of the service may still run, in seconds.
        """
        usable = self.usable_parts(request_limit_s, now_s)
        quota, permitted = split_permits(
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
            and not state.to_release
            and self._usable_from_s(state, request_limit_s) <= now_s < state.lease_end_s
        ]

    def held_parts(self):
        """Return the parts whose rows name this process, including those with expired leases."""
        return [part for part, state in self._items() if state.held]

    def release_actions(self, now_s, all_held=False):
        """Return the writes that free the parts marked for release, or all held parts.

        The caller performs them only when the requests in progress fit the remaining parts. A
        part that may not be used yet is kept, because the next holder of a free part uses it
        immediately.
        """
        return [
            SeatAction(part, SeatStep.RELEASE, state.etag, FREE_ROW)
            for part, state in self._items()
            if state.held
            and (all_held or state.to_release)
            and self._usable_from_s(state, self.longest_request_s) <= now_s
        ]

    # Results of reads and writes.

    def record_read(self, part, etag, row, age_s, now_s):
        """Record the part's row as read; ``row`` is None and ``etag`` empty if there is none."""
        state = self.state_by_part[part]
        state.read_at_s = now_s + self.options.read_interval_s
        state.needs_read = False
        if row is None or not self._is_own(row):
            state.held = False
            state.to_release = False
            self._update_acquirable(state, etag, row, age_s)
            return
        if not state.held:
            # The answer to the acquiring write was lost, and the former holder is not known.
            state.acquired_at_s = now_s
            state.acquired_from_other = True
        state.held = True
        state.etag = etag
        state.renew_at_s = now_s

    def record_write(self, action, etag, started_s, now_s):
        """Record a successful write that began at ``started_s``."""
        state = self.state_by_part[action.part]
        if action.step is SeatStep.RELEASE:
            read_at_s = now_s + self.options.read_interval_s
            self.state_by_part[action.part] = _PartLease(read_at_s=read_at_s)
            return
        state.etag = etag
        state.lease_end_s = started_s + self.options.ttl_s(action.part.kind)
        state.renew_at_s = started_s + self.options.renew_s(action.part.kind)
        if not state.held:
            state.acquired_at_s = now_s
        state.held = True
        state.needs_read = False
        state.acquirable_etag = None

    def record_write_failure(self, action, code, now_s):
        """Record a failed write.

        After a conflict the row is read again. The lease of the last successful write stays
        valid, because no other entry may acquire the part before that lease has expired.
        """
        state = self.state_by_part[action.part]
        state.acquirable_etag = None
        state.renew_at_s = now_s + self.options.read_interval_s
        state.read_at_s = now_s + self.options.read_interval_s
        if code is Code.STORE_CONFLICT:
            state.needs_read = True
            state.read_at_s = now_s

    # Next operations.

    def _items(self):
        return self.state_by_part.items()

    def _is_preferred(self, part):
        return part.index % self.entry_count == self.rank

    def _next_action(self, part, state, now_s):
        if state.held and not state.needs_read:
            # A part marked for release is renewed too: an entry that acquires a part with an
            # expired lease has to wait for the former holder's requests.
            renewal = SeatAction(part, SeatStep.RENEW, state.etag, self._own_row(part))
            return renewal if now_s >= state.renew_at_s else None
        # Only this process knows that its predecessor has ended, so it acquires all parts of the
        # predecessor and then releases those that another entry prefers.
        should_acquire = self._is_preferred(part) or state.held_by_predecessor
        if state.acquirable_etag is not None and should_acquire:
            return SeatAction(part, SeatStep.ACQUIRE, state.acquirable_etag, self._own_row(part))
        # Each part is read once, as a predecessor may hold it; later only the preferred ones.
        should_read = state.needs_read or self._is_preferred(part) or not state.read_at_s
        return SeatAction(part, SeatStep.READ) if should_read and now_s >= state.read_at_s else None

    def _update_acquirable(self, state, etag, row, age_s):
        state.acquirable_etag = None
        state.acquired_from_other = False
        state.held_by_predecessor = False
        if row is not None and row.holder:
            expired = age_s > row.ttl_s + self.options.margin_s
            state.held_by_predecessor = self._is_dead_predecessor(row)
            if not expired and not state.held_by_predecessor:
                return
            state.acquired_from_other = True
        state.acquirable_etag = etag

    def _usable_from_s(self, state, request_limit_s):
        if not state.acquired_from_other:
            return state.acquired_at_s
        # Requests of the former holder may run until their deadlines.
        return state.acquired_at_s + request_limit_s + self.options.margin_s

    def _is_own(self, row):
        own = (self.name, self.address, self.incarnation)
        return own == (row.holder, row.address, row.incarnation)

    def _is_dead_predecessor(self, row):
        """Return whether the holder was an earlier process on this address.

        Two processes can not be bound to one address, so that process has ended.
        """
        return row.address == self.address and row.incarnation < self.incarnation

    def _own_row(self, part):
        ttl_s = self.options.ttl_s(part.kind)
        return SeatRow(self.name, self.address, self.incarnation, ttl_s)
