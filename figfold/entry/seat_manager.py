"""Acquires, renews and releases this entry's seats, which are leases on rows of the table."""

from collections.abc import Callable

import eventlet
from attrs import define, evolve

from figfold.core.codes import Code
from figfold.core.seats import SeatLeases, SeatRow, SeatStep
from figfold.entry.clock import now_s
from figfold.platform.client import PlatformClient

TABLE = "seats"
TICK_S = 0.25


@define(eq=False)
class SeatManager:
    """Performs the reads and writes that the seat book asks for.

    Attributes
    ----------
    neighbours : callable
        Returns the names of the live entries of the place, this one included unless it leaves.
    apply_permits : callable
        Called with no argument after each change, to update the permits of the pools.
    fits : callable
        Returns whether the requests in progress are within the remaining permits.
    """

    store: PlatformClient
    book: SeatLeases
    log: object
    neighbours: Callable
    apply_permits: Callable
    fits: Callable
    releasing: bool = False
    _held: frozenset = frozenset()

    def step(self):
        """Perform the due reads and writes, and update the permits."""
        if self.releasing:
            return
        self.book.set_place_entries(self.neighbours())
        self.apply_permits()
        actions = self.book.due_actions(now_s())
        if actions:
            self._perform_all(actions)
            self.apply_permits()
        released = self.book.release_actions(now_s())
        if released and self.fits():
            self._release(released)
        self._log_change()

    def refresh_permits(self):
        """Update the permits independently of `step`, which may block while a lease expires."""
        if not self.releasing:
            self.apply_permits()

    def release_all(self):
        """Release every part of the seats; called when no request is in progress any more."""
        self.releasing = True
        self._release(self.book.release_actions(now_s(), all_held=True))

    def _release(self, actions):
        for action in actions:
            self._perform(action)

    def _perform_all(self, actions):
        pool = eventlet.GreenPool()
        for action in actions:
            pool.spawn_n(self._perform, action)
        pool.waitall()

    def _perform(self, action):
        if action.step is SeatStep.READ:
            self._read(action)
        else:
            self._write(action)

    def _read(self, action):
        read = self.store.get_row(TABLE, action.part.row)
        if read.is_ok():
            row = SeatRow.decode(read.ok().value)
            if row is None:
                self.log.warning("seat row is malformed", row=action.part.row)
                return
            age_s = row.age_s(read.ok().age_s, read.ok().store_s)
            self.book.record_read(action.part, read.ok().etag, row, age_s, now_s())
        elif read.err().code is Code.STORE_MISSING:
            self.book.record_read(action.part, "", None, 0.0, now_s())

    def _write(self, action):
        started = now_s()
        value = evolve(action.row, renewed_s=self.store.store_time_s()).encode()
        if action.etag:
            written = self.store.put_row(TABLE, action.part.row, value, if_match=action.etag)
        else:
            written = self.store.put_row(TABLE, action.part.row, value, if_absent=True)
        if written.is_ok():
            self.book.record_write(action, written.ok(), started, now_s())
        else:
            self.book.record_write_failure(action, written.err().code, now_s())

    def _log_change(self):
        held = frozenset(part.row for part in self.book.held_parts())
        if held != self._held:
            self._held = held
            self.log.info("seats held", parts=sorted(held))
