"""Latency targets of the service pool, in virtual time."""

import unittest
from heapq import heappop, heappush
from math import inf
from random import Random

from test.pools import end, make_pool, make_request


class Simulation:
    """Runs a pool in virtual time; a server is equally fast however many slots are in use."""

    def __init__(self, pool, seed):
        self.pool = pool
        self.random = Random(seed)
        self.slow_factor_by_server = {}
        self.events = []
        self.work_by_id = {}
        self.submitted_by_id = {}
        self.latencies = []
        self.refused = 0

    def run(self, count, rate, work, start_s, deadline_s=60.0):
        """Submit ``count`` requests at ``rate`` per second; return when the last one ended."""
        at_s = start_s
        for _ in range(count):
            at_s += self.random.expovariate(rate)
            self.push(at_s, "submit", work(self.random))
        now_s = start_s
        while self.events:
            now_s, _, kind, value = heappop(self.events)
            if kind == "submit":
                self.submit(*value, now_s, deadline_s)
            elif kind == "finish":
                self.finish(value, now_s)
            for dispatch in self.pool.next_dispatches(now_s):
                factor = self.slow_factor_by_server.get(dispatch.server, 1.0)
                duration_s = self.work_by_id[dispatch.request_id][1]() * factor
                self.push(now_s + duration_s, "finish", (dispatch, now_s))
            wakeup_s = self.pool.next_wakeup_s(now_s)
            if wakeup_s < inf and (not self.events or wakeup_s < self.events[0][0]):
                self.push(wakeup_s, "wake", None)
            self.pool.pop_refused(now_s)
        return now_s

    def push(self, at_s, kind, value):
        self.counter = getattr(self, "counter", 0) + 1
        heappush(self.events, (at_s, self.counter, kind, value))

    def submit(self, key, draw_duration_s, now_s, deadline_s):
        name = f"r{len(self.submitted_by_id)}"
        self.submitted_by_id[name] = now_s
        self.work_by_id[name] = (key, draw_duration_s)
        result = self.pool.submit(make_request(name, key, now_s + deadline_s), now_s)
        self.refused += result.is_err()

    def finish(self, value, now_s):
        dispatch, started_s = value
        if dispatch.dispatch_id not in self.pool._attempts.attempt_by_id:
            return
        end(self.pool, dispatch, now_s, duration_s=now_s - started_s)
        name = dispatch.request_id
        # The slower of an attempt and its hedge runs to its end and occupies its slot until then.
        if self.submitted_by_id[name] is not None:
            key = self.work_by_id[name][0]
            self.latencies.append((key, now_s - self.submitted_by_id[name]))
            self.submitted_by_id[name] = None

    def p99(self, key="short"):
        values = sorted(latency for k, latency in self.latencies if k == key)
        return values[int(0.99 * len(values))]


def short_work(random):
    return "short", lambda: random.expovariate(100.0)


def mixed_work(random):
    if random.random() < 0.1:
        return "long", lambda: 50.0 * random.expovariate(100.0)
    return short_work(random)


def simulate(servers, work, rate, seed, slow=False, count=6000):
    """Return a simulation of 3-slot servers, and its hedges as a fraction of the dispatches."""
    pool = make_pool(servers, 3, 3 * servers)
    simulation = Simulation(pool, seed)
    start_s = simulation.run(2000, rate, work, 0.0)
    simulation.latencies.clear()
    if slow:
        simulation.slow_factor_by_server[next(iter(pool.servers.server_by_name))] = 10.0
    simulation.run(count, rate, work, start_s)
    return simulation, pool.counters["hedged"] / pool.counters["dispatched"]


class TestTargets(unittest.TestCase):
    """Targets at half load; service times are exponential with a mean of 10 ms."""

    def test_long_requests_do_not_delay_short_ones(self):
        for servers in (3, 4):
            rate = 0.5 * 3 * servers / (0.01 * 5.9)
            with self.subTest(servers=servers):
                alone, _ = simulate(servers, short_work, 0.9 * rate, seed=1)
                mixed, _ = simulate(servers, mixed_work, rate, seed=1)
                self.assertLessEqual(mixed.p99(), 1.5 * alone.p99())
                self.assertEqual(mixed.refused, 0)

    def test_slow_server_does_not_raise_the_tail(self):
        for servers in (3, 4):
            rate = 0.5 * 3 * servers / 0.01
            with self.subTest(servers=servers):
                healthy, _ = simulate(servers, short_work, rate, seed=1)
                with_slow, hedge_fraction = simulate(servers, short_work, rate, seed=1, slow=True)
                self.assertLessEqual(with_slow.p99(), 2.0 * healthy.p99())
                self.assertLessEqual(hedge_fraction, 0.05)

    def test_overload_uses_the_whole_quota(self):
        pool = make_pool(4, 3, 12)
        simulation = Simulation(pool, 1)
        now_s = simulation.run(6000, 1.5 * 12 / 0.01, short_work, 0.0, deadline_s=0.1)
        self.assertGreaterEqual(len(simulation.latencies) * 0.01 / (12 * now_s), 0.9)
        self.assertGreater(simulation.refused, 0)


if __name__ == "__main__":
    unittest.main()
