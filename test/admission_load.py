"""Loads on a service with admission control, in virtual time and without a network."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import Factory, define, frozen

from figfold.core.admission.service_admission import AdmissionRequest, ServiceAdmission, State
from figfold.core.admission.shortage import has_free_slot, is_crowded
from figfold.core.traffic.server_load import LoadReport

SLOTS = 3
SERVER_QUEUE = 9
ROUND_TRIP_S = 0.004
MAX_ATTEMPTS = 2


@frozen
class Kind:
    """Requests of one kind and organisation.

    Attributes
    ----------
    rate : callable
        ``(now_s) -> float``, requests per second over all entries.
    patience_s : float or None
        Time after which a caller disconnects.
    repeat_after_s : float or None
        Time after which a refused caller sends the request again, instead of the time it was told.
    """

    name: str
    rate: object
    work_s: float = 0.3
    target_s: float = 0.8
    timeout_s: float = 3.0
    priority: int = 0
    organisation: str = ""
    patience_s: float | None = None
    repeat_after_s: float | None = None


@define(eq=False)
class Call:
    """One request of a caller and its end."""

    kind: Kind
    entry: object
    fingerprint: str
    arrived_s: float
    asked: object = None
    attempts: int = 0
    end: str = ""
    ended_s: float = 0.0
    is_repeat: bool = False


@define(eq=False)
class _Server:
    running: int = 0
    waiting: list = Factory(list)


@define
class Tally:
    """What happened to the requests of one kind."""

    offered: int = 0
    answered: int = 0
    in_time: int = 0
    refused: int = 0
    gone: int = 0

    @property
    def ratio(self):
        """Part of the requests that was answered."""
        return self.answered / max(1, self.offered)


@define(eq=False)
class Load:
    """Entries and servers of one service under generated load.

    Attributes
    ----------
    candidates : int
        Servers of which the least busy one gets a request; 1 for a random one.
    """

    kinds: list
    servers: int
    entries: int
    is_on: bool = True
    seed: int = 1
    candidates: int = 2
    now_s: float = 0.0
    calls: list = Factory(list)
    changes: list = Factory(list)
    rejected: int = 0
    _events: list = Factory(list)
    _numbers: object = Factory(lambda: count())
    _random: Random = Factory(lambda self: Random(self.seed), takes_self=True)
    fleet: list = Factory(lambda self: [_Server() for _ in range(self.servers)], takes_self=True)
    admissions: list = Factory(
        lambda self: [
            ServiceAdmission(lambda one, now_s: self.changes.append((now_s, one.shortage.is_short)))
            for _ in range(self.entries)
        ],
        takes_self=True,
    )

    def at(self, time_s, action):
        """Schedule an action."""
        heappush(self._events, (time_s, next(self._numbers), action))

    def run(self, until_s):
        """Generate the load and run it; return self."""
        for kind in self.kinds:
            self._schedule_arrival(kind, until_s)
        return self.resume(until_s)

    def resume(self, until_s):
        """Run further, with the arrivals that are scheduled; return self."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heappop(self._events)
            action()
        self.now_s = until_s
        return self

    def tally(self, name="", since_s=0.0, until_s=1e9):
        """Return the `Tally` of a kind, or of all, for the calls that arrived in an interval."""
        tally = Tally()
        for call in self.calls:
            if name not in ("", call.kind.name) or not since_s <= call.arrived_s < until_s:
                continue
            tally.offered += 1
            tally.answered += call.end == "answered"
            tally.refused += call.end == "refused"
            tally.gone += call.end == "gone"
            in_time = call.ended_s - call.arrived_s <= call.kind.target_s
            tally.in_time += call.end == "answered" and in_time
        return tally

    def queued(self):
        """Return the number of requests that wait at entries."""
        return sum(len(one.queue) for one in self.admissions)

    def busy_slots(self):
        """Return the number of busy slots."""
        return sum(one.running for one in self.fleet)

    # Callers.

    def _schedule_arrival(self, kind, until_s):
        rate = kind.rate(self.now_s)
        step_s = self._random.expovariate(rate) if rate > 0.0 else 0.05
        at_s = self.now_s + min(step_s, 0.05)
        if at_s >= until_s:
            return
        arrives = rate > 0.0 and step_s <= 0.05

        def arrive():
            if arrives:
                self.call(kind)
            self._schedule_arrival(kind, until_s)

        self.at(at_s, arrive)

    def call(self, kind, entry=None, fingerprint=None, is_repeat=False):
        """Let a caller send a request; return the `Call`."""
        entry = self._random.choice(self.admissions) if entry is None else entry
        fingerprint = fingerprint or f"f{next(self._numbers)}"
        call = Call(kind, entry, fingerprint, self.now_s, is_repeat=is_repeat)
        self.calls.append(call)
        if kind.patience_s is not None:
            self.at(self.now_s + kind.patience_s, lambda: self._end(call, "gone"))
        call.asked = AdmissionRequest(
            kind.organisation,
            kind.priority,
            fingerprint,
            kind.target_s,
            self.now_s + kind.timeout_s,
            kind.work_s,
            lambda: self._send(call),
        )
        if not self.is_on:
            self._send(call)
            return call
        entry.request(call.asked, self.now_s)
        if call.asked.state is State.ADMITTED:
            self._send(call)
        elif call.asked.state is State.REFUSED:
            self._end(call, "refused")
        else:
            self.at(call.asked.latest_start_s, lambda: self._give_up(call))
        return call

    def _give_up(self, call):
        if call.asked.state is State.WAITING:
            call.entry.give_up(call.asked, self.now_s)
            self._end(call, "refused")

    def _end(self, call, end):
        if call.end:
            return
        call.end, call.ended_s = end, self.now_s
        if self.is_on:
            call.entry.end(call.asked, self.now_s)
        if end == "refused" and call.kind.repeat_after_s is not None:
            again_s = self.now_s + call.kind.repeat_after_s
            self.at(again_s, lambda: self.call(call.kind, call.entry, call.fingerprint, True))

    # Servers.

    def _send(self, call):
        call.attempts += 1
        candidates = [self._random.choice(self.fleet) for _ in range(self.candidates)]
        server = min(candidates, key=lambda server: server.running + len(server.waiting))
        call_started_s = self.now_s
        if server.running < SLOTS:
            self._start(server, call, call_started_s)
        elif len(server.waiting) < SERVER_QUEUE:
            server.waiting.append((call, call_started_s))
        else:
            self.at(self.now_s + ROUND_TRIP_S, lambda: self._reject(call))

    def _reject(self, call):
        self.rejected += 1
        if self.is_on:
            call.entry.observe_attempt(True, False, self.now_s)
            call.entry.observe_rejection(self.now_s)
        if call.attempts < MAX_ATTEMPTS and not call.end:
            self._send(call)
        else:
            self._end(call, "refused")

    def _start(self, server, call, sent_s):
        server.running += 1
        run_s = call.kind.work_s * self._random.uniform(0.6, 1.4) + ROUND_TRIP_S
        self.at(self.now_s + run_s, lambda: self._finish(server, call, sent_s))

    def _finish(self, server, call, sent_s):
        server.running -= 1
        while server.waiting and server.running < SLOTS:
            next_call, next_sent_s = server.waiting.pop(0)
            if not next_call.end:  # A server does not run what its caller has left.
                self._start(server, next_call, next_sent_s)
        if call.end:
            return
        if self.is_on:
            self._observe(server, call, sent_s)
        self._end(call, "answered")

    def _observe(self, server, call, sent_s):
        kind, entry = call.kind, call.entry
        report = LoadReport(server.running, len(server.waiting), SLOTS)
        crowded = is_crowded(report, kind.work_s, kind.target_s)
        entry.observe_attempt(crowded, has_free_slot(report), self.now_s)
        entry.observe_answer(
            kind.work_s,
            self.now_s - sent_s,
            crowded,
            has_free_slot(report),
            self.now_s,
        )
