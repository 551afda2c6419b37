"""Fake of the platform's tables and objects, with faults."""

import random
from itertools import count

import eventlet
from attrs import Factory, define, field
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.platform.client import Row
from figfold.platform.instances import Listing
from test.virtual import VirtualHub

SLUGGISH_DELAY_RANGE_S = (1.0, 3.0)  # Range of the response time.
SLUGGISH_LOSS_PROBABILITY = 0.1  # Part of the responses that never arrive.


@define
class FakeStore:
    """Tables and objects that all entries share; ``mode_by_entry`` overrides ``mode``."""

    hub: VirtualHub
    row_by_name: dict = Factory(dict)
    object_by_name: dict = Factory(dict)
    instance_by_name: dict = Factory(dict)
    mode_by_entry: dict = Factory(dict)
    mode: str = "up"
    on_write: object = None
    etags: object = field(factory=lambda: count(1))
    random: object = field(factory=lambda: random.Random(1))

    def client(self, entry):
        """Return the platform client of an entry."""
        return FakeStoreClient(self, entry)

    def put(self, name, value, if_match, if_absent):
        """Write a row if its condition holds."""
        known = self.row_by_name.get(name)
        if (if_absent and known) or (if_match is not None and (not known or known[1] != if_match)):
            return Err(Failure(Code.STORE_CONFLICT, "condition"))
        etag = f'"{next(self.etags)}"'
        self.row_by_name[name] = (value, etag, self.hub.now)
        if self.on_write is not None:
            self.on_write(name, value)
        return Ok(etag)


@define
class FakeStoreClient:
    """Platform client of one entry, with the faults of its mode.

    Modes: ``up``; ``slow`` (extra latency); ``down`` (connections fail); ``silent`` (time-out
    without effect); ``lossy`` (a response may be lost after the effect); ``late`` (a write may take
    effect after its time-out); ``sluggish`` (each response takes seconds, some longer than the
    time-out, and some are lost; the effect happens at any moment in between).
    """

    store: FakeStore
    entry: str
    timeout_s: float = 2.0

    def _perform(self, effect, write=False):
        mode = self.store.mode_by_entry.get(self.entry, self.store.mode)
        eventlet.sleep(0.001)
        if mode == "down":
            return Err(Failure(Code.STORE_UNREACHABLE, "down"))
        if mode == "slow":
            eventlet.sleep(self.store.random.uniform(0.1, 1.5))
        if mode == "sluggish":
            return self._perform_slowly(effect)
        if mode == "lossy" and self.store.random.random() < 0.4:
            effect()
            return self._time_out()
        if mode == "late" and write and self.store.random.random() < 0.4:
            delay_s = self.timeout_s + self.store.random.uniform(0, 3)
            self.store.hub.run_as("", eventlet.spawn_after, delay_s, effect)
            return self._time_out()
        if mode == "silent":
            return self._time_out()
        return effect()

    def _perform_slowly(self, effect):
        random = self.store.random
        answer_s = random.uniform(*SLUGGISH_DELAY_RANGE_S)
        if random.random() < SLUGGISH_LOSS_PROBABILITY:
            answer_s = self.timeout_s + SLUGGISH_DELAY_RANGE_S[1]
        answers = []
        self.store.hub.run_as(
            "",
            eventlet.spawn_after,
            random.uniform(0.0, min(answer_s, SLUGGISH_DELAY_RANGE_S[1])),
            lambda: answers.append(effect()),
        )
        eventlet.sleep(min(answer_s, self.timeout_s))
        if answer_s > self.timeout_s:
            return Err(Failure(Code.STORE_TIMEOUT, "slow"))
        return answers[0]

    def _time_out(self):
        eventlet.sleep(self.timeout_s)
        return Err(Failure(Code.STORE_TIMEOUT, "silent"))

    def get_row(self, table, row, known=None):
        """Read a row; its age is rounded down to whole seconds, as from the platform's dates."""

        def effect():
            stored = self.store.row_by_name.get(f"{table}/{row}")
            if stored is None:
                return Err(Failure(Code.STORE_MISSING, "missing"))
            if known is not None and known.etag == stored[1]:
                return Ok(known)
            age_s = max(0.0, float(int(self.store.hub.now - stored[2])) - 1.0)
            return Ok(Row(table, row, stored[0], stored[1], age_s))

        return self._perform(effect)

    def store_time_s(self):
        """Return None: the age of a row shows when it was written."""
        return None

    def put_row(self, table, row, value, if_match=None, if_absent=False):
        """Write a row if its condition holds."""
        name = f"{table}/{row}"
        return self._perform(lambda: self.store.put(name, value, if_match, if_absent), write=True)

    def put_object(self, name, body):
        """Store an object."""
        return self._perform(lambda: Ok(self.store.object_by_name.setdefault(name, body) and None))

    def get_object(self, name):
        """Read an object."""

        def effect():
            if name not in self.store.object_by_name:
                return Err(Failure(Code.STORE_MISSING, "missing"))
            return Ok(self.store.object_by_name[name])

        return self._perform(effect)

    def read_listing(self, known=None):
        """Read the instance list; return ``known`` itself if nothing has changed."""

        def effect():
            instances = tuple(self.store.instance_by_name.values())
            if known is not None and known.instances == instances:
                return Ok(known)
            return Ok(Listing(instances))

        return self._perform(effect)
