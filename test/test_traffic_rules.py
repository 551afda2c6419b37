"""Rules of traffic steering: routes, splits, limiters, retries, placement, load and sources."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.traffic.configuration import Configuration, Repeatability, Route, ServiceWeight
from figfold.core.traffic.durations import RouteDurations
from figfold.core.traffic.fleet import FleetServer
from figfold.core.traffic.limiters import (
    ColdServerLimiter,
    OverflowLimiter,
    RetryBudget,
    places_sharing_cold_server,
)
from figfold.core.traffic.placement import Placement
from figfold.core.traffic.retry_decision import (
    AttemptOutcome,
    NextStep,
    RequestProgress,
    decide_next_step,
)
from figfold.core.traffic.server_load import ServerLoad
from figfold.core.traffic.splitting import ServiceSplitter
from figfold.core.traffic.sync_source import (
    MAX_LISTENERS,
    SOURCE_BACKOFF_S,
    SyncSourceSelector,
)
from test.test_traffic_fleet import make_record


def make_route(name="r", prefix="/a/", weights=(("stock", 1.0),), **changes):
    services = tuple(ServiceWeight(service, weight) for service, weight in weights)
    return Route(
        name, "host", prefix, changes.pop("repeatability", Repeatability.SAFE), services, **changes
    )


class RouteTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        routes = {name: make_route(name, prefix) for name, prefix in (("x", "/a/"), ("y", "/a/b/"))}
        configuration = Configuration(1, routes, {})
        self.assertEqual(configuration.match("host", "/a/b/c").name, "y")
        self.assertEqual(configuration.match("host", "/a/c").name, "x")
        self.assertIsNone(configuration.match("host", "/ab"))
        self.assertIsNone(configuration.match("other", "/a/"))


class ServiceSplitTest(unittest.TestCase):
    WEIGHTS = (("stock", 70.0), ("cut", 20.0), ("cert", 10.0))

    @given(st.lists(st.integers(0, 9).map(str), min_size=60, max_size=60))
    def test_each_service_gets_its_share_for_any_mix_of_objects(self, keys):
        splitter, route = ServiceSplitter(), make_route(weights=self.WEIGHTS)
        counts = Counter(splitter.choose(route, key) for key in keys)
        for service, weight in self.WEIGHTS:
            self.assertLess(abs(counts[service] / 60 - weight / 100), 0.1)

    def test_service_without_weight_gets_nothing(self):
        splitter = ServiceSplitter()
        route = make_route(weights=(("stock", 100.0), ("cut", 0.0)))
        self.assertEqual({splitter.choose(route, str(key)) for key in range(50)}, {"stock"})


class RetryDecisionTest(unittest.TestCase):
    ONCE = make_route(repeatability=Repeatability.AT_MOST_ONCE, max_attempts=3)
    SAFE = make_route(max_attempts=2)

    def step(self, outcome, progress, route):
        return decide_next_step(outcome, progress, route, 1.0, 0.1)[0]

    def test_request_that_may_have_run_is_never_sent_again_nor_refused(self):
        progress = RequestProgress(reached_attempts=1, started_attempts=1, may_have_run=True)
        self.assertIs(self.step(AttemptOutcome.FAILED, progress, self.ONCE), NextStep.FAIL)
        self.assertIs(self.step(AttemptOutcome.NOT_RUN, progress, self.ONCE), NextStep.FAIL)

    def test_request_that_has_not_run_is_retried(self):
        self.assertIs(
            self.step(AttemptOutcome.NOT_RUN, RequestProgress(started_attempts=1), self.ONCE),
            NextStep.RETRY,
        )
        self.assertIs(
            self.step(AttemptOutcome.NOT_SENT, RequestProgress(started_attempts=1), self.ONCE),
            NextStep.RETRY,
        )

    def test_repeatable_request_reaches_no_more_servers_than_allowed(self):
        once = RequestProgress(reached_attempts=1, started_attempts=1, may_have_run=True)
        twice = RequestProgress(reached_attempts=2, started_attempts=2, may_have_run=True)
        self.assertIs(self.step(AttemptOutcome.FAILED, once, self.SAFE), NextStep.RETRY)
        self.assertIs(self.step(AttemptOutcome.FAILED, twice, self.SAFE), NextStep.FAIL)

    def test_request_without_time_left_is_refused_only_if_it_has_not_run(self):
        step = decide_next_step(
            AttemptOutcome.NOT_RUN, RequestProgress(started_attempts=1), self.SAFE, 0.05, 0.1
        )[0]
        self.assertIs(step, NextStep.REFUSE)
        may_have_run = RequestProgress(reached_attempts=1, started_attempts=1, may_have_run=True)
        self.assertIs(
            decide_next_step(AttemptOutcome.FAILED, may_have_run, self.SAFE, 0.05, 0.1)[0],
            NextStep.FAIL,
        )

    @given(
        st.sampled_from(AttemptOutcome),
        st.integers(0, 3),
        st.booleans(),
        st.booleans(),
        st.floats(-1.0, 5.0),
    )
    def test_request_that_may_have_run_is_never_refused_and_resent_only_if_repeatable(
        self, outcome, reached, may_have_run, repeatable, left_s
    ):
        route = self.SAFE if repeatable else self.ONCE
        may_have_run = may_have_run or outcome in (
            AttemptOutcome.FAILED,
            AttemptOutcome.ERROR_ANSWERED,
        )
        progress = RequestProgress(reached, max(1, reached), may_have_run)
        step, _ = decide_next_step(outcome, progress, route, left_s, 0.1)
        if may_have_run:
            self.assertIsNot(step, NextStep.REFUSE)
            if not repeatable:
                self.assertIsNot(step, NextStep.RETRY)


class RetryBudgetTest(unittest.TestCase):
    RATIO, SLACK, WINDOW_S, ENTRIES = 0.2, 60, 10.0, 10

    def test_all_entries_together_stay_within_the_shared_budget(self):
        """Each entry spends its whole budget and is replaced by a new one within the window."""
        retries, allowed, requests = 0, 0, 0
        for _ in range(self.ENTRIES):
            for start_s in (0.0, 5.0):
                budget = RetryBudget(self.WINDOW_S, self.RATIO, self.SLACK)
                for tick in range(50):
                    now_s = start_s + tick * 0.1
                    budget.count_request(now_s)
                    requests += 1
                    retries += budget.try_acquire(self.ENTRIES, now_s)
        allowed = self.RATIO * requests + self.SLACK
        self.assertLessEqual(retries, allowed)

    def test_budget_is_available_again_after_the_window(self):
        budget = RetryBudget(self.WINDOW_S, self.RATIO, self.SLACK)
        while budget.try_acquire(1, 0.0):
            pass
        self.assertFalse(budget.try_acquire(1, 9.9))
        self.assertTrue(budget.try_acquire(1, 10.1))


class OverflowLimiterTest(unittest.TestCase):
    def test_only_a_small_part_of_a_burst_overflows_to_other_regions(self):
        limiter, overflow_times = OverflowLimiter(), []
        for tick in range(400):
            now_s = tick * 0.05
            limiter.count_request(now_s)
            if limiter.try_acquire(now_s):
                overflow_times.append(now_s)
        self.assertTrue(overflow_times)
        for start_s in overflow_times:
            inside = [one for one in overflow_times if start_s <= one < start_s + 2.0]
            self.assertLessEqual(len(inside), 0.15 * 40)


class ColdServerLimiterTest(unittest.TestCase):
    REGIONS = {"a1": "a", "a2": "a", "b1": "b"}

    def test_entries_nearest_to_a_cold_server_share_its_rate(self):
        places = places_sharing_cold_server("a1", "a", ["a1", "a1", "a2", "b1"], self.REGIONS)
        self.assertEqual(places, ["a1", "a1"])
        self.assertEqual(places_sharing_cold_server("a1", "a", ["a2", "b1"], self.REGIONS), ["a2"])
        self.assertEqual(places_sharing_cold_server("a1", "a", ["b1"], self.REGIONS), ["b1"])

    def test_all_entries_together_stay_within_the_cold_servers_rate(self):
        total = 0
        for _ in range(2):
            limiter = ColdServerLimiter()
            for tick in range(100):
                now_s = tick * 0.1
                if limiter.is_allowed("s", now_s):
                    limiter.record_request("s", 2.6, 2, now_s)
                    total += 1
        self.assertLessEqual(total, 2.6 * 10.0 + 2)


class PlacementTest(unittest.TestCase):
    """Three regions with equal demand, of which one has an eighth of the servers."""

    REGION_BY_PLACE = {"bne-1": "bne", "bne-2": "bne", "tsv-1": "tsv", "mky-1": "mky"}
    COUNTS = {"bne-1": 1, "bne-2": 1, "tsv-1": 6, "mky-1": 8}

    def servers(self):
        return [
            FleetServer(make_record(f"{place}-s{i}", place=place), 0.0)
            for place, count in self.COUNTS.items()
            for i in range(count)
        ]

    def ranked_ids(self, region, key, servers):
        ranked = Placement(region, self.REGION_BY_PLACE).rank("stock", key, servers, servers)
        return [one.record.id for one in ranked]

    def test_region_with_spare_slots_serves_its_own_objects(self):
        for key in map(str, range(100)):
            for server in self.ranked_ids("mky", key, self.servers()):
                self.assertTrue(server.startswith("mky"))

    def test_small_region_assigns_objects_beyond_its_slots_to_others(self):
        homes = [self.ranked_ids("bne", str(key), self.servers())[0] for key in range(1000)]
        own = sum(server.startswith("bne") for server in homes) / 1000
        self.assertGreater(own, 0.35)
        self.assertLess(own, 0.6)

    def test_ranking_is_stable_and_removal_moves_no_object_of_other_regions(self):
        servers = self.servers()
        fewer = [one for one in servers if one.record.id != "mky-1-s0"]
        moved = 0
        for key in map(str, range(300)):
            first = self.ranked_ids("tsv", key, servers)
            self.assertEqual(first, self.ranked_ids("tsv", key, servers))
            moved += first[0] != self.ranked_ids("tsv", key, fewer)[0]
        self.assertEqual(moved, 0)

    def test_unavailable_servers_move_no_object_to_another_region(self):
        """Servers that are briefly full or already tried must not change a region's share."""
        servers = self.servers()
        placement = Placement("bne", self.REGION_BY_PLACE)
        for key in map(str, range(100)):
            region = placement.rank("stock", key, servers, servers)[0].record.place[:3]
            ready = [one for one in servers if one.record.id not in ("mky-1-s0", "bne-1-s0")]
            other = placement.rank("stock", key, servers, ready)[0].record.place[:3]
            self.assertEqual(region, other)

    def test_overflow_goes_to_other_regions(self):
        placement = Placement("bne", self.REGION_BY_PLACE)
        overflow_servers = placement.rank_overflow("stock", "7", self.servers())
        self.assertTrue(overflow_servers)
        self.assertFalse([one for one in overflow_servers if one.record.place.startswith("bne")])

    def test_region_without_servers_uses_the_others(self):
        servers = [one for one in self.servers() if not one.record.place.startswith("bne")]
        self.assertTrue(self.ranked_ids("bne", "7", servers))


class LoadTest(unittest.TestCase):
    def test_backoff_starts_with_the_second_failed_attempt(self):
        load = ServerLoad(3)
        load.observe_failure(0.0, is_unreachable=False)
        self.assertLessEqual(load.backoff_until_s, 0.0)
        load.observe_failure(0.1, is_unreachable=False)
        self.assertGreater(load.backoff_until_s, 0.1)

    def test_cold_and_warm_run_times_are_averaged_separately(self):
        durations = RouteDurations()
        for _ in range(20):
            durations.add(0.75, False)
            durations.add(0.25, True)
        self.assertAlmostEqual(durations.cold_s(), 0.75, 2)
        self.assertAlmostEqual(durations.warm_s(), 0.25, 2)


class SharedServerTest(unittest.TestCase):
    """Several entries send requests for a region's objects to the same servers."""

    def test_objects_warmed_by_other_entries_do_not_lower_the_cold_estimate(self):
        durations = RouteDurations()
        for _ in range(20):
            durations.add(0.24, True)
            durations.add(0.26, False)
        self.assertGreaterEqual(durations.cold_s(), 2.5 * 0.24)

    def test_slow_warm_runs_are_not_replaced_by_faster_cold_runs(self):
        durations = RouteDurations()
        for _ in range(20):
            durations.add(0.9, True)
            durations.add(0.4, False)
        self.assertAlmostEqual(durations.warm_s(), 0.9, 2)


class RemovedRouteTest(unittest.TestCase):
    def test_counts_of_removed_routes_are_dropped(self):
        splitter = ServiceSplitter()
        weights = (ServiceWeight("a", 1.0), ServiceWeight("b", 1.0))
        for name in ("kept", "removed"):
            splitter.choose(Route(name, "h", "/", Repeatability.SAFE, weights), "")
        splitter.retain_routes({"kept": None})
        self.assertEqual(list(splitter._count_by_service_by_route), ["kept"])


class RequestCountTest(unittest.TestCase):
    # Without a retry the times of all requests since the start were kept.
    def test_times_of_old_requests_are_dropped_without_a_retry(self):
        budget = RetryBudget(window_s=10.0, ratio=0.2, slack=60.0)
        for number in range(1000):
            budget.count_request(number * 0.1)
        self.assertLessEqual(len(budget._request_times_s), 101)


class SyncSourceTest(unittest.TestCase):
    PLACES = {"e1": "a1", "e2": "a2", "e3": "a1", "f1": "b1"}

    def selector(self, name, region):
        return SyncSourceSelector(name, region, {"a1": "a", "a2": "a", "b1": "b"})

    def test_one_entry_of_each_region_reads_the_store(self):
        chosen = {name: self.selector(name, "a").choose(self.PLACES, 0.0) for name in ("e1", "e2")}
        self.assertEqual(chosen, {"e1": "e1", "e2": "e1"})
        self.assertEqual(self.selector("f1", "b").choose(self.PLACES, 0.0), "f1")

    def test_failed_source_is_skipped_for_a_while(self):
        selector = self.selector("e3", "a")
        selector.record_failure("e1", 0.0)
        self.assertEqual(selector.choose(self.PLACES, 0.1), "e2")
        self.assertEqual(selector.choose(self.PLACES, SOURCE_BACKOFF_S + 0.1), "e1")

    # All other entries of a region asked one entry, 64 at one machine with less than half a core.
    def test_no_entry_answers_more_than_a_few_and_none_asks_in_a_circle(self):
        for count in (2, 9, 10, 70, 333):
            places = dict(sorted((f"e{number:03}", "a1") for number in range(count)))
            for skipped in ((), ("e000",), ("e001", "e002", "e005")):
                source_by_name = {}
                for name in places:
                    selector = self.selector(name, "a")
                    for one in skipped:
                        selector.record_failure(one, 0.0)
                    source_by_name[name] = selector.choose(places, 0.1)
                listeners = Counter(
                    source for name, source in source_by_name.items() if source != name
                )
                # The skipped ones, which ask as well, know nothing of being skipped.
                self.assertLessEqual(max(listeners.values(), default=0), MAX_LISTENERS + 3)
                self.assertLessEqual(max(map(self.depth(source_by_name), places)), 3, count)
                self.assertLessEqual(set(skipped) & set(listeners), set())

    # Each entry that ended or started shifted the sources of an eighth of those behind it, which
    # then asked their new sources for all servers.
    def test_few_sources_change_when_single_entries_end_and_start(self):
        names = [f"e{number:03}" for number in range(70)]
        selectors = {name: self.selector(name, "a") for name in names}
        places = dict.fromkeys(names, "a1")
        before = {name: selectors[name].choose(places, 0.0) for name in names}
        changes = 0
        for step, restarted in enumerate(names):
            for live in ([one for one in names if one != restarted], names):
                places = dict.fromkeys(live, "a1")
                after = {name: selectors[name].choose(places, float(step)) for name in live}
                changes += sum(
                    after[name] != before[name] and before[name] in live
                    for name in live
                    if name in before
                )
                before = after
                self.assertLessEqual(max(Counter(after.values()).values()), 3 * MAX_LISTENERS)
                self.assertTrue(all(source <= name for name, source in after.items()))
        self.assertLess(changes, len(names))

    def depth(self, source_by_name):
        def depth_of(name):
            steps = 0
            while source_by_name[name] != name:
                self.assertLess(source_by_name[name], name)
                name = source_by_name[name]
                steps += 1
            return steps

        return depth_of

    def test_entry_that_cannot_read_the_store_asks_another_region(self):
        self.assertEqual(self.selector("e1", "a").fallback(self.PLACES, 0.0), "f1")
        self.assertEqual(self.selector("e1", "a").fallback({"e1": "a1"}, 0.0), "")


if __name__ == "__main__":
    unittest.main()
