"""Entries that exchange shares of limits in virtual time, over links that cut, delay and lose."""

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import Factory, define

from figfold.core.organisations.organisation import Organisation
from figfold.core.quotas.holders import HolderChoice
from figfold.core.quotas.ledger import QuotaLedger
from figfold.core.quotas.limiter import QuotaLimiter
from figfold.core.quotas.limits import bucket_size
from figfold.wire.codec import decode, encode

TICK_S = 0.25
WAIT_S = 0.15
ASK_SPACING_S = 0.05
TIMEOUT_S = 0.4
OWN_REGION_DELAY_S = 0.0005
OTHER_REGION_DELAY_S = 0.055
# Time after which entries that live know of one that has died, or of a new one.
NEWS_S = 2.5
# Bounds of the platform.
WINDOW_S = 5.0
OVERSHOOT = 1.1
SLACK = 20.0


@define(eq=False)
class Node:
    """The parts of one process of an entry that deal with limits."""

    name: str
    region: str
    incarnation: int
    limiter: QuotaLimiter
    ledger: QuotaLedger
    holders: HolderChoice = Factory(HolderChoice)
    is_asking: bool = False
    frozen_until_s: float = 0.0
    asked_s: float = -1e9
    regions_asked: set = Factory(set)
    waiting: list = Factory(list)


@define(eq=False)
class VirtualQuotas:
    """Entries by name, the links between them and the callers.

    Attributes
    ----------
    delay_s : callable
        ``(sender, receiver) -> float or None``: delay of one message beyond that of the link;
        None if it is lost.
    admitted_s_by_organisation : dict
        Times of the admitted requests.
    results : Counter
        Requests by (organisation, is admitted).
    """

    organisations: dict
    region_by_entry: dict
    random: Random
    now_s: float = 0.0
    node_by_name: dict = Factory(dict)
    delay_s: object = None
    admitted_s_by_organisation: dict = Factory(dict)
    results: Counter = Factory(Counter)
    retry_after_s: list = Factory(list)
    messages: Counter = Factory(Counter)
    bytes: Counter = Factory(Counter)
    encodes: bool = False
    known_count: int = 0
    _events: list = Factory(list)
    _ids: object = Factory(lambda: count(1))

    @classmethod
    def from_config(cls, organisations, entries_by_region, seed=1):
        """Return entries that have just started and are known to one another."""
        regions = {
            f"{region}-{number}": region
            for region, entries in entries_by_region.items()
            for number in range(entries)
        }
        cluster = cls({one.name: one for one in organisations}, regions, Random(seed))
        cluster.delay_s = lambda _sender, _receiver: 0.0
        cluster.known_count = len(regions)
        for name in regions:
            cluster.start(name, is_known=True)
        cluster._tell_live_entries()
        return cluster

    # Time.

    def at(self, time_s, action, *arguments):
        """Call an action at a time."""
        heappush(self._events, (time_s, next(self._ids), action, arguments))

    def run_until(self, time_s):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= time_s:
            self.now_s, _, action, arguments = heappop(self._events)
            action(*arguments)
        self.now_s = time_s

    # Processes.

    def start(self, name, is_known=False):
        """Start a process of an entry; one that runs ends before."""
        incarnation = next(self._ids)
        limiter = QuotaLimiter.from_config(name, incarnation)
        ledger = QuotaLedger.from_config(name, incarnation)
        node = Node(name, self.region_by_entry[name], incarnation, limiter, ledger)
        self.node_by_name[name] = node
        self._apply_limits(node)
        if not is_known:
            self._tell_live_entries()
        delay_s = self.random.random() * TICK_S
        self.at(self.now_s + delay_s, self._run_on, node, self._tick, node)

    def add(self, name, region):
        """Start an entry of a new name, of which the others hear at once."""
        self.region_by_entry[name] = region
        self.known_count += 1
        self.start(name)

    def kill(self, name):
        """End a process; the others hear of it later."""
        self.node_by_name.pop(name, None)
        self.at(self.now_s + NEWS_S, self._tell_live_entries)

    def freeze(self, name, duration_s):
        """Suspend a process, which then finds what has arrived meanwhile."""
        if name in self.node_by_name:
            self.node_by_name[name].frozen_until_s = self.now_s + duration_s

    def _run_on(self, node, action, *arguments):
        """Call an action of a process, once it is not suspended, unless it has ended."""
        if node is None or not self._is_running(node):
            return
        if node.frozen_until_s > self.now_s:
            self.at(node.frozen_until_s, self._run_on, node, action, *arguments)
            return
        action(*arguments)

    def _tell_live_entries(self):
        regions = {name: self.region_by_entry[name] for name in self.node_by_name}
        for node in self.node_by_name.values():
            node.holders.update(regions)

    def set_limits(self, organisations, spread_s=0.0):
        """Put other limits in force at each entry, within a time."""
        self.organisations = {one.name: one for one in organisations}
        for node in self.node_by_name.values():
            self.at(self.now_s + self.random.random() * spread_s, self._apply_limits, node)

    def _apply_limits(self, node):
        node.limiter.apply_limits(self.organisations, self.now_s)
        node.ledger.apply_limits(self.organisations, self.now_s)

    def _is_running(self, node):
        return self.node_by_name.get(node.name) is node

    # Exchange, as the gateway does it.

    def _tick(self, node):
        node.limiter.set_entry_count(self.known_count, True, self.now_s)
        node.ledger.tick(self.now_s)
        self._ask_regions(node)
        self._ask(node)
        self.at(self.now_s + TICK_S, self._run_on, node, self._tick, node)

    def _ask(self, node, is_urgent=False):
        holder = node.holders.holder(node.region, self.now_s)
        if node.is_asking or holder is None:
            return
        request = node.limiter.next_request(holder, self.now_s, is_urgent)
        if request is None:
            return
        node.is_asking, node.asked_s = True, self.now_s
        asked_s = self.now_s

        def on_reply(reply):
            node.is_asking = False
            if reply is None:
                node.limiter.record_failure(holder)
                node.holders.record_failure(holder, self.now_s)
            else:
                node.limiter.apply_reply(holder, request, reply, asked_s, self.now_s)
            self._answer_waiting(node)

        self._call(node, holder, request, on_reply)

    def _ask_regions(self, node):
        for region in node.holders.regions():
            holder = node.holders.holder(region, self.now_s)
            if region == node.region or region in node.regions_asked:
                continue
            request = node.ledger.next_region_request(region, holder, self.now_s)
            if request is not None:
                node.regions_asked.add(region)
                self._ask_region(node, region, holder, request)

    def _ask_region(self, node, region, holder, request):
        asked_s = self.now_s

        def on_reply(reply):
            node.regions_asked.discard(region)
            if reply is None:
                node.ledger.record_region_failure(region)
                node.holders.record_failure(holder, self.now_s)
            else:
                node.ledger.apply_region_reply(region, holder, request, reply, asked_s, self.now_s)
                node.ledger.tick(self.now_s)

        self._call(node, holder, request, on_reply)

    def _call(self, node, receiver, request, on_reply):
        """Send a request; call ``on_reply`` once, with None after the timeout."""
        if receiver == node.name:
            on_reply(node.ledger.handle(request, self.now_s))
            return
        done = []

        def finish(reply):
            if not done:
                done.append(True)
                on_reply(reply)

        def handle(other):
            reply = self._pass(other.name, other.ledger.handle(request, self.now_s))
            self._transmit(receiver, node.name, self._run_on, node, finish, reply)

        def receive():
            other = self.node_by_name.get(receiver)
            self._run_on(other, handle, other)

        self._transmit(node.name, receiver, receive)
        self._pass(node.name, request)
        self.at(self.now_s + TIMEOUT_S, self._run_on, node, finish, None)

    def _pass(self, sender, message):
        self.messages[sender] += 1
        if not self.encodes:
            return message
        data = encode(message)
        self.bytes[sender] += len(data)
        return decode(data).unwrap()

    def _transmit(self, sender, receiver, action, *arguments):
        extra_s = self.delay_s(sender, receiver)
        if extra_s is not None:
            is_near = self.region_by_entry[sender] == self.region_by_entry[receiver]
            delay_s = OWN_REGION_DELAY_S if is_near else OTHER_REGION_DELAY_S
            self.at(self.now_s + delay_s + extra_s, action, *arguments)

    # Callers.

    def request(self, entry, organisation):
        """Make one request of an organisation at an entry, if that runs."""
        node = self.node_by_name.get(entry)
        self._run_on(node, self._request, node, organisation)

    def _request(self, node, organisation):
        known = self.organisations[organisation]
        admission = node.limiter.try_acquire(known, self.now_s)
        if admission.is_admitted or not node.limiter.should_ask(known, self.now_s):
            self._record(organisation, admission)
            return
        node.limiter.begin_wait(known)
        node.waiting.append((known, self.now_s))
        self.at(self.now_s + WAIT_S, self._run_on, node, self._give_up, node)
        ask_s = max(self.now_s, node.asked_s + ASK_SPACING_S)
        self.at(ask_s, self._run_on, node, self._ask_urgently, node)

    def _ask_urgently(self, node):
        if node.waiting:
            self._ask(node, True)

    def _give_up(self, node):
        if node.waiting and node.waiting[0][1] <= self.now_s - WAIT_S + 1e-9:
            self._answer_waiting(node)

    def _answer_waiting(self, node):
        waiting, node.waiting = node.waiting, []
        for organisation, _ in waiting:
            admission = node.limiter.end_wait(organisation, self.now_s)
            self._record(organisation.name, admission)

    def _record(self, organisation, admission):
        self.results[organisation, admission.is_admitted] += 1
        if admission.is_admitted:
            self.admitted_s_by_organisation.setdefault(organisation, []).append(self.now_s)
        else:
            self.retry_after_s.append(admission.retry_after_s)

    def load(self, entry, organisation, per_s, from_s, until_s, is_even=False):
        """Make requests at a rate, at random times unless these are even."""
        time_s = from_s
        while True:
            time_s += 1.0 / per_s if is_even else self.random.expovariate(per_s)
            if time_s >= until_s:
                return
            self.at(time_s, self.request, entry, organisation)

    # Findings.

    def admitted(self, organisation, from_s, until_s):
        """Return the number of requests of an organisation that were admitted in a time."""
        times = self.admitted_s_by_organisation.get(organisation, ())
        return sum(from_s <= one < until_s for one in times)

    def largest_excess(self, organisation, rate, burst, from_s=0.0):
        """Return by how much any window exceeds what the platform allows; negative if none."""
        allowed = (rate * WINDOW_S + burst) * OVERSHOOT + SLACK
        window, largest = deque(), 0
        times = self.admitted_s_by_organisation.get(organisation, ())
        for time_s in (one for one in times if one >= from_s):
            window.append(time_s)
            while window[0] <= time_s - WINDOW_S:
                window.popleft()
            largest = max(largest, len(window))
        return largest - allowed

    def highest_level(self, organisation):
        """Return the highest level of a bucket that each request fills and the rate empties.

        In every window, the requests are at most this level and what the rate allows.
        """
        rate = self.organisations[organisation].rate_per_s
        level = highest = 0.0
        before_s = 0.0
        for time_s in self.admitted_s_by_organisation.get(organisation, ()):
            level = max(0.0, level - rate * (time_s - before_s)) + 1.0
            highest, before_s = max(highest, level), time_s
        return highest


def make_organisation(name="a", rate_per_s=100.0, burst=50.0):
    """Return an organisation with a limit."""
    return Organisation(name, rate_per_s=rate_per_s, burst=burst)


def allowed_level(organisation):
    """Return the level that `VirtualQuotas.highest_level` may reach."""
    return bucket_size(organisation)
