"""Extra attempts for slow requests: when, whether and where, without a network."""

import unittest
from collections import Counter
from math import exp, inf
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock, patch

import eventlet
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.hedging.duration_ratios import BOUNDS, HALF_LIFE_S, DurationRatios
from figfold.core.hedging.hedge_budget import WINDOW_S, HedgeBudget
from figfold.core.hedging.policy import (
    LATEST_FACTOR,
    MIN_DELAY_S,
    MIN_DELAY_WITHOUT_SAMPLES_S,
    MIN_SAMPLES,
    REJECTION_S,
    HedgePolicy,
    HedgeRefusal,
)
from figfold.core.organisations.access import Access
from figfold.core.traffic.configuration import Repeatability, Route, ServiceWeight
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.core.traffic.selection import SelectionRequest, ServerChoice, SlotRoom
from figfold.core.traffic.server_load import LoadReport, ServerLoad
from figfold.entry.clock import now_s
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import ServerAnswer
from figfold.gateway.request_run import HEDGE_FACTOR, MIN_HEDGE_DELAY_S, RequestRun
from figfold.gateway.request_runner import RequestRunner
from figfold.gateway.requests import AttemptEnded, GatewayRequest
from figfold.gateway.sender import AttemptResult
from test.test_traffic_selection import SLOTS, make_durations, make_selector

RATIO = 0.05
ROOM = SlotRoom(50.0, 100)
ENTRIES = 3


class BudgetTest(unittest.TestCase):
    # A limit that counts hedges and requests of different times lets a burst of hedges through
    # when the demand falls.
    @settings(deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, ENTRIES - 1),
                st.booleans(),
                st.sampled_from((0.0, 0.01, 0.3, 4.0, WINDOW_S - 0.01, WINDOW_S, WINDOW_S + 0.01)),
            ),
            max_size=200,
        ),
        st.sampled_from((0.05, 0.25, 1.0 / 3.0, 1.0)),
    )
    def test_sum_over_entries_keeps_the_ratio_in_any_window(self, events, ratio):
        budgets = [HedgeBudget() for _ in range(ENTRIES)]
        now, requests, hedges = 0.0, [], []
        for entry, is_hedge, wait_s in events:
            now += wait_s
            if not is_hedge:
                budgets[entry].count_request(now)
                requests.append(now)
            elif budgets[entry].has_room(ratio, now):
                budgets[entry].record_hedge(now)
                hedges.append(now)
        for first, start in enumerate(hedges):
            for last in range(first, len(hedges)):
                backing = sum(start - WINDOW_S <= one <= hedges[last] for one in requests)
                self.assertLessEqual(last + 1 - first, ratio * backing + 1e-9)

    def test_ratio_is_used_up_when_all_requests_are_slow(self):
        """A limit that is far lower than the operator's leaves slow requests without a hedge."""
        budget, hedges = HedgeBudget(), 0
        for number in range(4000):
            now = number * 0.01
            budget.count_request(now)
            if budget.has_room(RATIO, now):
                budget.record_hedge(now)
                hedges += 1
        self.assertGreaterEqual(hedges, 0.95 * RATIO * 4000)
        self.assertLessEqual(hedges, RATIO * 4000)


class DurationRatiosTest(unittest.TestCase):
    @given(st.lists(st.floats(0.07, 60.0), min_size=1, max_size=60), st.floats(0.01, 1.0))
    def test_quantile_is_that_of_the_samples_within_one_bucket(self, samples, fraction):
        ratios = DurationRatios()
        for sample in samples:
            ratios.add(sample, 0.0)
        count = len(samples)
        expected = next(
            one for rank, one in enumerate(sorted(samples), 1) if rank >= fraction * count - 1e-6
        )
        found = ratios.quantile(fraction, 0.0)
        self.assertLessEqual(expected / 1.1, found)
        self.assertLessEqual(found, max(samples) * 1.1)

    def test_memory_is_bounded_and_odd_samples_are_kept_in_range(self):
        """A duration of zero, or one of hours, must not raise or grow the histogram."""
        ratios = DurationRatios()
        for number in range(1000):
            ratios.add((0.0, 1e9, inf)[number % 3], number * 1000.0)
        self.assertEqual(ratios.quantile(0.99, 999e3), BOUNDS[0])
        ratios.add(inf, 999e3)
        self.assertEqual(ratios.quantile(0.99, 999e3), BOUNDS[-1])
        self.assertEqual(ratios.quantile(0.0, 999e3), 0.0)
        self.assertEqual(len(ratios._weights), len(BOUNDS) + 1)

    def test_samples_lose_weight_with_their_age(self):
        """The samples of a night without stragglers must not decide in the morning."""
        ratios = DurationRatios()
        for _ in range(1000):
            ratios.add(1.0, 0.0)
        self.assertAlmostEqual(ratios.sample_count(HALF_LIFE_S), 500.0)
        self.assertEqual(ratios.sample_count(1e6), 0.0)


class PolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = HedgePolicy()

    def observe(self, ratio, start_s, count=200, expected_s=0.2, interval_s=0.1):
        for number in range(count):
            now = start_s + number * interval_s
            self.policy.observe_answer("read", "stock", ratio * expected_s, expected_s, now)
        return start_s + count * interval_s

    def delay_s(self, now, expected_s=0.2, hedge_ratio=RATIO):
        return self.policy.delay_s("read", "stock", expected_s, hedge_ratio, now)

    def find_refusal(self, now, room=ROOM):
        return self.policy.find_refusal("stock", RATIO, room, now)

    def allow_hedges(self, now):
        for _ in range(100):
            self.policy.count_request("stock", now)

    def test_few_samples_give_the_delay_without_a_ratio(self):
        """After a start, the quantile of one or two durations would hedge half of the requests."""
        self.assertEqual(self.delay_s(0.0), max(MIN_DELAY_WITHOUT_SAMPLES_S, LATEST_FACTOR * 0.2))
        now = self.observe(1.0, 0.0, MIN_SAMPLES - 1)
        self.assertEqual(self.delay_s(now), LATEST_FACTOR * 0.2)
        self.assertEqual(self.delay_s(now, expected_s=0.01), MIN_DELAY_WITHOUT_SAMPLES_S)

    def test_quantile_follows_servers_that_slow_down(self):
        """A quantile of the whole past would hedge everything once all servers are slower."""
        now = self.observe(1.0, 0.0)
        self.assertAlmostEqual(self.delay_s(now), 0.2, delta=0.02)
        now = self.observe(2.0, now)
        self.assertAlmostEqual(self.delay_s(now), 0.4, delta=0.04)
        now = self.observe(1.0, now, count=1000)
        self.assertAlmostEqual(self.delay_s(now), 0.2, delta=0.02)

    def test_delay_follows_the_expectation_at_the_server(self):
        """A fixed delay would hedge every request to a machine that is known to be slow."""
        now = self.observe(1.0, 0.0)
        self.assertAlmostEqual(self.delay_s(now, expected_s=1.4), 1.4, delta=0.14)

    def test_delay_has_bounds(self):
        """Hedges earlier than the jitter, or later than without a ratio, help nobody."""
        now = self.observe(0.1, 0.0, expected_s=0.01)
        self.assertEqual(self.delay_s(now, expected_s=0.01), MIN_DELAY_S)
        now = self.observe(30.0, now)
        self.assertEqual(self.delay_s(now), LATEST_FACTOR * 0.2)

    def test_cancelled_attempts_do_not_lower_the_quantile(self):
        """Without the losers, each round of hedges makes the next one earlier."""
        random = Random(1)
        now, delays_s = 0.0, []
        for _ in range(6000):
            now += 0.1
            duration_s = 0.2 * exp(random.gauss(0.0, 0.4))
            delay_s = self.delay_s(now)
            delays_s.append(delay_s)
            if duration_s <= delay_s:
                self.policy.observe_answer("read", "stock", duration_s, 0.2, now)
            else:
                self.policy.observe_unfinished("read", "stock", delay_s + 0.01, 0.2, now)
        # The 96 % quantile of the drawn durations is 0.403 s. Without the losers, it is 0.29 s.
        self.assertAlmostEqual(sum(delays_s[3000:]) / 3000, 0.2 * exp(0.4 * 1.751), delta=0.04)

    def test_short_unfinished_attempts_are_no_samples(self):
        """Callers that disconnect early would make the route look fast."""
        now = self.observe(1.0, 0.0)
        for _ in range(10000):
            self.policy.observe_unfinished("read", "stock", 0.001, 0.2, now)
        self.assertAlmostEqual(self.delay_s(now), 0.2, delta=0.02)

    def test_no_hedge_while_the_service_is_short(self):
        """Hedges in a burst add load where there is none to spare."""
        self.allow_hedges(0.0)
        self.assertIsNone(self.find_refusal(0.0))
        self.assertIs(self.find_refusal(0.0, SlotRoom(5.0, 100)), HedgeRefusal.NO_ROOM)
        self.assertIsNone(self.find_refusal(0.0, SlotRoom(0.0, 0)))
        self.policy.record_rejection("other", 0.0)
        self.assertIsNone(self.find_refusal(0.0))
        self.policy.record_rejection("stock", 0.0)
        self.assertIs(self.find_refusal(REJECTION_S - 0.01), HedgeRefusal.REJECTIONS)
        self.assertIsNone(self.find_refusal(REJECTION_S))

    def test_budgets_of_services_are_separate(self):
        """The requests of one service must not allow extra attempts at another."""
        self.allow_hedges(0.0)
        for _ in range(5):
            self.assertIsNone(self.find_refusal(0.0))
            self.policy.record_hedge("stock", 0.0)
        self.assertIs(self.find_refusal(0.0), HedgeRefusal.HEDGE_BUDGET)
        refusal = self.policy.find_refusal("other", RATIO, ROOM, 0.0)
        self.assertIs(refusal, HedgeRefusal.HEDGE_BUDGET)

    def test_state_of_removed_routes_and_services_is_dropped(self):
        """Routes come and go for months; their state would fill the memory."""
        self.observe(1.0, 0.0)
        self.allow_hedges(0.0)
        self.policy.retain_routes({})
        self.assertEqual((self.policy._ratios_by_route, self.policy._state_by_service), ({}, {}))

    # Drawn durations, without queues: it shows the rule, not the gain of a deployment.
    def test_stragglers_are_hedged_within_the_limit(self):
        """3 % of the runs take seven times as long; hedging all slow ones must stay affordable."""
        random = Random(1)
        expected_s, requests = 0.3, 20000
        counts, alone_s, hedged_s, extra_s, work_s = Counter(), [], [], 0.0, 0.0

        def draw():
            factor = 7.0 if random.random() < 0.03 else 1.0
            return expected_s * factor * exp(random.gauss(0.0, 0.15)), factor > 1.0

        for number in range(requests):
            now = number * 0.1
            self.policy.count_request("stock", now)
            duration_s, is_straggler = draw()
            alone_s.append(duration_s)
            work_s += duration_s
            delay_s = self.delay_s(now, expected_s)
            counts["stragglers"] += is_straggler
            while duration_s > delay_s and self.find_refusal(now + delay_s) is not None:
                delay_s *= 2.0
            if duration_s <= delay_s:
                self.policy.observe_answer("read", "stock", duration_s, expected_s, now)
                hedged_s.append(duration_s)
                continue
            self.policy.record_hedge("stock", now + delay_s)
            counts["hedges"] += 1
            counts["hedged stragglers"] += is_straggler
            second_s = draw()[0]
            hedged_s.append(min(duration_s, delay_s + second_s))
            extra_s += min(duration_s - delay_s, second_s)
            work_s -= max(0.0, duration_s - hedged_s[-1])
            if hedged_s[-1] < duration_s:
                self.policy.observe_unfinished("read", "stock", hedged_s[-1], expected_s, now)
            else:
                self.policy.observe_answer("read", "stock", duration_s, expected_s, now)
        self.assertLessEqual(counts["hedges"], RATIO * requests)
        self.assertGreater(counts["hedged stragglers"], 0.85 * counts["stragglers"])
        self.assertLess(extra_s, 1.5 * RATIO * expected_s * requests)
        # Cancelled stragglers save more work than the hedges cost.
        self.assertLess(work_s + extra_s, sum(alone_s))
        self.assertLess(quantile_of(hedged_s, 0.98), 0.5 * quantile_of(alone_s, 0.98))


def quantile_of(samples, fraction):
    """Return the quantile of drawn durations."""
    return sorted(samples)[int(fraction * len(samples))]


class SelectionTest(unittest.TestCase):
    """Where an extra attempt goes: a free server elsewhere."""

    def setUp(self):
        self.selector = make_selector(8)
        self.durations = make_durations()

    def choose(self, tried, homes=frozenset(), now=0.0):
        request = SelectionRequest("stock", "7", frozenset(tried), homes, needs_free_slot=True)
        return self.selector.choose(request, self.durations, now, lambda _server: True)

    def fill(self, server_id):
        load = self.selector.load(self.selector.fleet.server_by_id[server_id])
        for number in range(SLOTS):
            load.start(f"{server_id}-{number}", "other", 0.0)

    def first(self):
        request = SelectionRequest("stock", "7")
        return self.selector.choose(request, self.durations, 0.0, lambda _server: True).server_id

    def test_full_servers_get_no_hedge(self):
        """An extra attempt in a queue takes the slot of a first one."""
        first = self.first()
        second = self.choose({first}).server_id
        self.assertNotEqual(second, first)
        self.fill(second)
        third = self.choose({first}).server_id
        self.assertNotIn(third, (first, second))
        for server_id in self.selector.fleet.server_by_id:
            self.fill(server_id)
        self.assertIsNone(self.choose({first}))

    def test_warm_server_is_found_wherever_it_is(self):
        """A cold run takes three times as long and displaces the objects of others."""
        first = self.first()
        warm = next(one for one in self.selector.fleet.server_by_id if one != first)
        for one in self.selector.fleet.server_by_id:
            warm = one if one not in (first, self.choose({first}).server_id) else warm
        load = self.selector.load(self.selector.fleet.server_by_id[warm])
        load.start("x", "7", 0.0)
        load.end("x")
        choice = self.choose({first})
        self.assertEqual((choice.server_id, choice.is_warm), (warm, True))
        self.assertIsNone(self.choose({first}, frozenset({"elsewhere"})))

    def test_no_hedge_goes_to_a_server_in_its_cold_start(self):
        """Servers in their cold start may get a few requests per second, and run them slowly."""
        first = self.first()
        for server in self.selector.fleet.server_by_id.values():
            server.cold_until_s = 100.0
        self.assertIsNone(self.choose({first}))

    def test_room_counts_servers_that_reported_within_the_last_second(self):
        """Servers that this entry knows nothing of look free, however full they are."""
        request = SelectionRequest("stock", "7")
        self.assertEqual(self.selector.known_room(request, 0.0), SlotRoom(0.0, 0))
        servers = list(self.selector.fleet.server_by_id.values())
        self.selector.load(servers[0]).observe_report(LoadReport(3, 4, SLOTS), 5.0)
        self.selector.load(servers[1]).observe_report(LoadReport(1, 0, SLOTS), 5.0)
        self.selector.load(servers[2])
        self.assertEqual(self.selector.known_room(request, 5.5), SlotRoom(2.0, 2 * SLOTS))
        self.assertEqual(self.selector.known_room(request, 6.5), SlotRoom(0.0, 0))
        away = evolve(request, home_regions=frozenset({"elsewhere"}))
        self.assertEqual(self.selector.known_room(away, 5.5), SlotRoom(0.0, 0))


class FakeSelector:
    """Offers servers in the order of their ids, and keeps their loads."""

    def __init__(self):
        self.load_by_server = {one: ServerLoad(3) for one in ("s1", "s2")}
        self.limits = Mock()
        self.requests = []

    def choose(self, request, _durations, _now_s, _may_use_cold, _transfer_cost_s=None):
        self.requests.append(request)
        left = sorted(self.load_by_server.keys() - request.tried)
        return ServerChoice(left[0], f"{left[0]}:80", 0.02, 0.02, True) if left else None

    def known_room(self, _request, _now_s):
        return ROOM

    def limit_wait_s(self, _request, _now_s):
        return 0.0

    def load_by_id(self, server_id):
        return self.load_by_server[server_id]


class RunTest(unittest.TestCase):
    """Requests whose first server, s1, is slow."""

    SLOW_S = 30.0

    def setUp(self):
        self.sent, self.cancelled, self.closed_rests = [], [], []
        self.metrics = Metrics()
        self.duration_by_server = {"s1": self.SLOW_S, "s2": 0.01}
        self.settings = SimpleNamespace(
            hedge_ratio=1.0,
            retry_window_s=10.0,
            retry_ratio=1.0,
            retry_slack=0.0,
            region_balancing=False,
        )
        self.cluster = Mock(**{"entry_count.return_value": 1})
        self.cluster.regions_with_free_slots.return_value = ()
        self.cluster.servers_age_s.return_value = self.cluster.operator_age_s.return_value = 0.0
        self.cluster.server_round_trip_s.return_value = 0.0
        quarantine = Mock()
        quarantine.is_suspect_or_quarantined.return_value = False
        quarantine.is_quarantined.return_value = False
        self.runner = RequestRunner(
            cluster=self.cluster,
            selector=FakeSelector(),
            sender=SimpleNamespace(send=self.send),
            splitter=Mock(),
            quarantine=quarantine,
            metrics=self.metrics,
            log=Mock(),
            settings=self.settings,
            on_suspected_crash=Mock(),
            region_shares=Mock(),
        )
        self.runner.hedging.count_request("stock", now_s())
        self.runner.retry_budget("stock").count_request(now_s())
        self.runner.retry_budget("stock").count_request(now_s())

    def send(self, _request, choice, *_others):
        self.sent.append(choice.server_id)
        try:
            eventlet.sleep(self.duration_by_server[choice.server_id])
        except BaseException:
            self.cancelled.append(choice.server_id)
            raise
        answer = ServerAnswer(200, (), b"a", choice.server_id, self.rest_of(choice.server_id))
        return AttemptResult(AttemptOutcome.ANSWERED, Code.OK, 0.01, answer)

    def rest_of(self, server_id):
        try:
            yield b"rest"
        except GeneratorExit:
            self.closed_rests.append(server_id)
            raise

    def make_run(self, repeatability=Repeatability.SAFE, max_attempts=2, organisation=None):
        now = now_s()
        request = GatewayRequest(
            request_id="r1",
            method="GET",
            target="/a/1",
            host="h",
            path="/a/1",
            headers=(),
            body=b"",
            arrived_s=now,
            caller_deadline_s=now + 1.0,
            key="k",
            fingerprint="f",
        )
        services = (ServiceWeight("stock", 1.0),)
        route = Route(
            "read", "h", "/a/", repeatability, services, timeout_s=1.0, max_attempts=max_attempts
        )
        version = SimpleNamespace(version=1)
        return RequestRun(self.runner, request, route, "stock", version, organisation)

    def execute(self, run):
        """Return the result of a run and its duration in seconds."""
        started = now_s()
        try:
            return run.execute(), now_s() - started
        finally:
            run.cancel_all()

    def count(self, name, **labels):
        return self.metrics.value_by_counter[name, tuple(sorted(labels.items()))]

    def test_loser_is_cancelled_at_once_and_the_answer_is_left_alone(self):
        """A loser that runs on takes a slot; a closed winner would be cut at the caller."""
        run = self.make_run()
        result, _ = self.execute(run)
        answer = result.unwrap()
        self.assertEqual((self.sent, self.cancelled), (["s1", "s2"], ["s1"]))
        self.assertEqual((answer.server, next(answer.rest)), ("s2", b"rest"))
        self.assertEqual(self.closed_rests, [])
        self.assertFalse(any(one.in_flight for one in self.runner.selector.load_by_server.values()))
        self.assertEqual(self.count("hedges", result="sent"), 1)
        self.assertEqual(self.count("hedges", result="won"), 1)
        self.assertEqual(self.count("retries", reason="hedge"), 1)
        self.assertTrue(self.runner.selector.requests[-1].needs_free_slot)
        self.assertEqual(self.runner.selector.requests[-1].tried, {"s1"})

    # The connection of an answer that arrived together with the winner stayed open until the
    # garbage collection.
    def test_answer_that_comes_with_the_winner_is_closed(self):
        run = self.make_run()
        rest = self.rest_of("s1")
        next(rest)
        answer = ServerAnswer(200, (), b"a", "s1", rest)
        run.events.put(
            AttemptEnded(7, AttemptResult(AttemptOutcome.ANSWERED, Code.OK, 0.01, answer))
        )
        run.cancel_all()
        self.assertEqual(self.closed_rests, ["s1"])

    def test_delay_is_the_quantile_of_the_route(self):
        """With the fixed delay, a slow request would wait for 0.3 s."""
        for _ in range(MIN_SAMPLES):
            self.runner.hedging.observe_answer("read", "stock", 0.06, 0.02, now_s())
        _, duration_s = self.execute(self.make_run())
        self.assertLess(duration_s, MIN_DELAY_WITHOUT_SAMPLES_S)
        self.assertGreaterEqual(duration_s, MIN_DELAY_S)

    def test_hedges_count_against_the_ratio(self):
        """A hedge that is not counted leaves the ratio without effect."""
        self.assertTrue(self.execute(self.make_run())[0].is_ok())
        self.assertIs(self.execute(self.make_run())[0].err().code, Code.SERVER_TIMEOUT)
        self.assertEqual(self.count("hedges", result="sent"), 1)
        self.assertGreaterEqual(self.count("refused_hedges", reason="hedge-budget"), 1)

    def test_loser_counts_among_the_durations(self):
        """Without it, the durations of the route would be those of the fast attempts alone."""
        # Durations below the quantile don't count, so that the loser has to exceed its 0.062 s.
        self.duration_by_server["s2"] = 0.04
        for _ in range(MIN_SAMPLES):
            self.runner.hedging.observe_answer("read", "stock", 0.06, 0.02, now_s())
        self.execute(self.make_run())
        ratios = self.runner.hedging._ratios_by_route["read", "stock"]
        # Its samples, with the winner and the loser; some weight is lost meanwhile.
        self.assertGreater(ratios.sample_count(now_s()), MIN_SAMPLES + 1.5)

    def test_bookings_and_last_attempts_get_no_hedge(self):
        """A booking that runs twice is the worst failure of all."""
        for kind, attempts in ((Repeatability.AT_MOST_ONCE, 2), (Repeatability.SAFE, 1)):
            result, _ = self.execute(self.make_run(kind, attempts))
            self.assertIs(result.err().code, Code.SERVER_TIMEOUT)
        self.assertEqual(self.sent, ["s1", "s1"])

    def test_reasons_for_no_hedge_are_counted(self):
        """Operators must see whether a limit, a budget or a lack of capacity forbids hedges."""
        holder = SimpleNamespace(name="o1", priority=None)
        withdrawn = SimpleNamespace(access=Access.UNKNOWN_KEY, organisation=None)
        held = SimpleNamespace(access=None, organisation=holder)

        def withdraw_key():
            decisions = iter((held, withdrawn))
            change = patch.object(RequestRunner, "decide_access", lambda *_others: next(decisions))
            change.start()
            self.addCleanup(change.stop)

        for reason, organisation, prepare in (
            (
                HedgeRefusal.REJECTIONS,
                None,
                lambda: self.runner.hedging.record_rejection("stock", now_s() + 1.0),
            ),
            (HedgeRefusal.HEDGE_BUDGET, None, lambda: setattr(self.settings, "hedge_ratio", 0.5)),
            (
                HedgeRefusal.RETRY_BUDGET,
                None,
                lambda: setattr(self.runner.retry_budget("stock"), "ratio", 0.0),
            ),
            (HedgeRefusal.NO_SERVER, None, lambda: self.runner.selector.load_by_server.pop("s2")),
            (
                HedgeRefusal.SUSPECT,
                None,
                lambda: setattr(
                    self.runner.quarantine.is_suspect_or_quarantined, "return_value", True
                ),
            ),
            (HedgeRefusal.KEY, holder, withdraw_key),
        ):
            with self.subTest(reason=reason):
                self.setUp()
                prepare()
                result, _ = self.execute(self.make_run(organisation=organisation))
                self.assertIs(result.err().code, Code.SERVER_TIMEOUT)
                self.assertEqual(self.sent, ["s1"])
                refused = self.count("refused_hedges", reason=reason.value)
                self.assertTrue(1 <= refused <= 3, refused)
                self.assertEqual(self.count("hedges", result="sent"), 0)

    # Attempts that were not made took up the budget that all requests of the service share.
    def test_withdrawn_key_costs_no_retry_budget(self):
        holder = SimpleNamespace(name="o1", priority=None)
        held = SimpleNamespace(access=Access.ALLOWED, organisation=holder)
        withdrawn = SimpleNamespace(access=Access.UNKNOWN_KEY, organisation=None)
        failed = AttemptResult(AttemptOutcome.FAILED, Code.SERVER_RESET, 0.01)
        for result in (None, failed):
            with self.subTest(result=result):
                self.setUp()
                self.settings.hedge_ratio = 0.0
                if result is not None:
                    self.runner.sender.send = lambda *_others, result=result: result
                decide = Mock(side_effect=(held, withdrawn, withdrawn, withdrawn))
                with patch.object(RequestRunner, "decide_access", decide):
                    self.assertTrue(self.execute(self.make_run(organisation=holder))[0].is_err())
                self.assertFalse(self.runner.retry_budget("stock")._retry_times_s)
                self.assertEqual(self.count("retries", reason="hedge"), 0)
                self.assertEqual(self.count("retries", reason="failed"), 0)

    def test_rejection_by_a_server_forbids_hedges(self):
        """The first attempt's rejection shows that the service is short of capacity."""
        run = self.make_run(max_attempts=3)
        shed = AttemptResult(AttemptOutcome.NOT_RUN, Code.SERVER_SHED, 0.01)
        run._start_attempt(is_hedge=False)
        run._handle_attempt_end(AttemptEnded(next(iter(run.attempt_by_id)), shed))
        refusal = self.runner.hedging.find_refusal("stock", 1.0, ROOM, now_s())
        self.assertIs(refusal, HedgeRefusal.REJECTIONS)
        run.cancel_all()

    def test_refusal_that_passes_delays_the_hedge(self):
        """A straggler whose time came within the second after a rejection would get no hedge."""
        self.runner.hedging.record_rejection("stock", now_s() - 0.5)
        result, duration_s = self.execute(self.make_run())
        self.assertEqual(result.unwrap().server, "s2")
        self.assertGreaterEqual(duration_s, 0.5)
        self.assertEqual(self.count("refused_hedges", reason="rejections"), 1)

    def test_without_a_ratio_hedges_are_as_before(self):
        """A deployment that sets no ratio must see no change."""
        self.settings.hedge_ratio = 0.0
        self.runner.hedging.record_rejection("stock", now_s())
        for _ in range(MIN_SAMPLES):
            self.runner.hedging.observe_answer("read", "stock", 0.06, 0.02, now_s())
        run = self.make_run()
        result, duration_s = self.execute(run)
        self.assertTrue(result.is_ok())
        self.assertGreaterEqual(duration_s, max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * 0.02))
        self.assertEqual(self.sent, ["s1", "s2"])
        self.assertEqual(self.count("retries", reason="hedge"), 1)
        self.assertEqual(self.count("hedges", result="sent"), 0)
        self.assertFalse(any(one.needs_free_slot for one in self.runner.selector.requests))


if __name__ == "__main__":
    unittest.main()
