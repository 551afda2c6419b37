"""Limits of organisations over all entries, in virtual time."""

import unittest
from random import Random

from attrs import evolve
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figfold.core.organisations.organisation import Organisation
from figfold.core.quotas.holders import HolderChoice
from figfold.core.quotas.limiter import ADMITTED, MAX_RETRY_AFTER_S, QuotaLimiter
from figfold.core.quotas.limits import BASE_DELAY_S, DemandRate, bucket_size
from figfold.core.quotas.tolerance import Tolerance
from test.virtual_quotas import (
    OTHER_REGION_DELAY_S,
    WINDOW_S,
    VirtualQuotas,
    allowed_level,
    make_organisation,
)

REGIONS = {"north": 4, "south": 4, "west": 4}
# Until all entries have delegated their base shares.
SETTLED_S = BASE_DELAY_S + 3.5
# A permit is used within this time after its token was taken.
PERMIT_S = 0.1 + OTHER_REGION_DELAY_S
END_S = 16.0

seconds = st.floats(0.5, END_S - 1.0)
faults = st.one_of(
    st.tuples(st.just("kill"), seconds, st.integers(0, 11), st.floats(0.2, 4.0)),
    st.tuples(st.just("add"), seconds, st.integers(0, 11), st.just(0.0)),
    st.tuples(st.just("freeze"), seconds, st.integers(0, 11), st.floats(0.2, 6.0)),
    st.tuples(st.just("cut"), seconds, st.sets(st.integers(0, 11), max_size=11), st.floats(0.3, 8)),
    st.tuples(st.just("lose"), seconds, st.floats(0.05, 0.9), st.floats(0.5, 8.0)),
    st.tuples(st.just("delay"), seconds, st.floats(0.1, 4.0), st.floats(0.5, 8.0)),
)
loads = st.tuples(st.integers(0, 11), st.sampled_from((1.0, 10.0, 60.0, 200.0)), seconds)
organisations = st.builds(
    make_organisation,
    rate_per_s=st.sampled_from((2.0, 20.0, 100.0)),
    burst=st.sampled_from((0.0, 10.0, 150.0)),
)


class Faults:
    """Faults of the links between entries, of which several can be in force."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = Random(seed)
        self.names = sorted(cluster.region_by_entry)
        self.active = []
        cluster.delay_s = self.delay_s

    def delay_s(self, sender, receiver):
        delay_s = 0.0
        for kind, value in self.active:
            if kind == "cut" and (sender in value) is not (receiver in value):
                return None
            if kind == "lose" and self.random.random() < value:
                return None
            if kind == "delay":
                delay_s += self.random.random() * value
        return delay_s

    def add(self, fault):
        kind, from_s, value, duration_s = fault
        if kind == "kill":
            name = self.names[value]
            self.cluster.at(from_s, self.cluster.kill, name)
            self.cluster.at(from_s + duration_s, self.cluster.start, name)
            return
        if kind == "add":
            name = f"added-{from_s}"
            self.cluster.at(from_s, self.cluster.add, name, self.names[value].partition("-")[0])
            self.cluster.load(name, "a", 60.0, from_s, END_S)
            return
        if kind == "freeze":
            self.cluster.at(from_s, self.cluster.freeze, self.names[value], duration_s)
            return
        if kind == "cut":
            value = {self.names[number] for number in value}
        active = (kind, value)
        self.cluster.at(from_s, self.active.append, active)
        self.cluster.at(from_s + duration_s, self.active.remove, active)


class BoundTest(unittest.TestCase):
    """More requests than the limit allows would reach servers."""

    @settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(
        organisations,
        st.lists(loads, min_size=1, max_size=12),
        st.lists(faults, max_size=5),
        st.integers(0, 1000),
    )
    def test_no_window_exceeds_the_limit(self, organisation, drawn_loads, drawn_faults, seed):
        cluster = VirtualQuotas.from_config([organisation], REGIONS, seed)
        links = Faults(cluster, seed)
        for fault in drawn_faults:
            links.add(fault)
        for number, per_s, from_s in drawn_loads:
            until_s = min(END_S, from_s + 6.0)
            cluster.load(links.names[number], organisation.name, per_s, from_s, until_s)
        cluster.run_until(END_S)
        rate, burst = organisation.rate_per_s, organisation.burst
        self.assertLessEqual(cluster.largest_excess(organisation.name, rate, burst), 0.0)
        allowed = allowed_level(organisation) + rate * PERMIT_S
        self.assertLessEqual(cluster.highest_level(organisation.name), allowed + 1e-6)

    def test_a_partition_neither_doubles_nor_stops_a_limit(self):
        organisation = make_organisation()
        cluster = VirtualQuotas.from_config([organisation], REGIONS)
        links = Faults(cluster, 1)
        for name in links.names:
            cluster.load(name, "a", 40.0, SETTLED_S, END_S)
        links.add(("cut", 8.0, set(range(4)), 6.0))
        cluster.run_until(END_S)
        self.assertLessEqual(cluster.highest_level("a"), allowed_level(organisation) + 1e-6)
        self.assertGreater(cluster.admitted("a", 10.0, 14.0), 0.9 * 400)

    # A process that is started again may have delegated its share just before.
    def test_a_process_that_restarts_uses_its_share_only_once(self):
        organisation = make_organisation(rate_per_s=50.0, burst=0.0)
        cluster = VirtualQuotas.from_config([organisation], {"north": 2})
        for name in cluster.region_by_entry:
            cluster.load(name, "a", 100.0, 1.0, END_S)
        for number in range(10):
            cluster.at(4.0 + 0.7 * number, cluster.start, f"north-{number % 2}")
        cluster.run_until(END_S)
        allowed = allowed_level(organisation) + 50.0 * PERMIT_S
        self.assertLessEqual(cluster.highest_level("a"), allowed + 1e-6)

    def test_a_lower_limit_binds_one_window_after_the_change(self):
        organisation = make_organisation(rate_per_s=200.0, burst=200.0)
        cluster = VirtualQuotas.from_config([organisation], REGIONS)
        for name in cluster.region_by_entry:
            cluster.load(name, "a", 30.0, SETTLED_S, 20.0)
        lower = evolve(organisation, rate_per_s=20.0, burst=10.0)
        cluster.at(9.0, cluster.set_limits, [lower], 1.0)
        cluster.run_until(20.0)
        self.assertLessEqual(cluster.largest_excess("a", 200.0, 200.0), 0.0)
        self.assertLessEqual(cluster.largest_excess("a", 20.0, 10.0, 9.0 + WINDOW_S), 0.0)
        self.assertGreater(cluster.admitted("a", 14.0, 19.0), 0.9 * 100)

    def test_an_added_entry_adds_nothing_to_the_limit(self):
        organisation = make_organisation(burst=0.0)
        cluster = VirtualQuotas.from_config([organisation], REGIONS)
        for number in range(6):
            cluster.at(5.0 + number, cluster.add, f"new-{number}", "north")
        for name in [*cluster.region_by_entry, *(f"new-{number}" for number in range(6))]:
            cluster.load(name, "a", 30.0, 1.0, END_S)
        cluster.run_until(END_S)
        allowed = allowed_level(organisation) + 100.0 * PERMIT_S
        self.assertLessEqual(cluster.highest_level("a"), allowed + 1e-6)


class DemandTest(unittest.TestCase):
    """Requests below the limit would be refused, since their shares are elsewhere."""

    def test_a_lone_hot_entry_gets_nine_tenths_of_the_limit_within_two_seconds(self):
        for entries, burst in ((4, 50.0), (4, 0.0), (24, 100.0), (24, 0.0)):
            with self.subTest(entries=entries, burst=burst):
                organisation = make_organisation(burst=burst)
                regions = dict.fromkeys(REGIONS, entries)
                cluster = VirtualQuotas.from_config([organisation], regions)
                cluster.load("north-1", "a", 150.0, SETTLED_S, SETTLED_S + 8.0)
                cluster.run_until(SETTLED_S + 8.0)
                from_s = SETTLED_S + 2.0
                self.assertGreaterEqual(cluster.admitted("a", from_s, from_s + 6.0), 0.9 * 600)

    def test_callers_that_move_to_another_region_are_served_within_about_a_second(self):
        organisation = make_organisation(burst=40.0)
        cluster = VirtualQuotas.from_config([organisation], REGIONS)
        for number in range(4):
            cluster.load(f"north-{number}", "a", 20.0, SETTLED_S, 9.0)
            cluster.load(f"south-{number}", "a", 20.0, 9.0, 14.0)
        cluster.run_until(14.0)
        self.assertGreater(cluster.admitted("a", 10.2, 14.0), 0.9 * 80 * 3.8)

    def test_even_demand_below_the_limit_is_served_at_72_entries(self):
        for rate, burst in ((100.0, 100.0), (100.0, 0.0), (20.0, 10.0)):
            with self.subTest(rate=rate, burst=burst):
                organisation = make_organisation(rate_per_s=rate, burst=burst)
                cluster = VirtualQuotas.from_config([organisation], dict.fromkeys(REGIONS, 24))
                for name in cluster.region_by_entry:
                    cluster.load(name, "a", 0.7 * rate / 72, SETTLED_S, 18.0)
                cluster.run_until(18.0)
                admitted, refused = cluster.results["a", True], cluster.results["a", False]
                self.assertGreater(admitted, 0.95 * (admitted + refused))

    def test_an_organisation_at_six_times_its_usual_gets_its_limit_and_no_more(self):
        organisation, other = make_organisation(burst=100.0), make_organisation("b", burst=100.0)
        cluster = VirtualQuotas.from_config([organisation, other], REGIONS)
        for name in cluster.region_by_entry:
            cluster.load(name, "b", 50.0 / 12, SETTLED_S, 14.0)
            cluster.load(name, "a", 70.0 / 12, SETTLED_S, 8.0)
            cluster.load(name, "a", 420.0 / 12, 8.0, 12.0)
            cluster.load(name, "a", 70.0 / 12, 12.0, 14.0)
        cluster.run_until(14.0)
        self.assertGreater(cluster.admitted("a", 8.0, 12.0), 0.9 * 400)
        self.assertLessEqual(cluster.highest_level("a"), allowed_level(organisation) + 15.0)
        self.assertGreater(cluster.results["b", True], 20 * cluster.results["b", False])

    def test_a_killed_quota_holder_costs_its_region_two_seconds_at_most(self):
        organisation = make_organisation(burst=50.0)
        cluster = VirtualQuotas.from_config([organisation], REGIONS)
        for name in cluster.region_by_entry:
            cluster.load(name, "a", 70.0 / 12, SETTLED_S, 18.0)
        cluster.run_until(8.0)
        holder = cluster.node_by_name["north-0"].holders.holder("north", 8.0)
        cluster.kill(holder)
        cluster.run_until(18.0)
        # The base share of the dead entry is lost, and the callers at it.
        self.assertGreater(cluster.admitted("a", 8.0, 10.5), 0.6 * 64 * 2.5)
        self.assertGreater(cluster.admitted("a", 12.0, 18.0), 0.85 * 64 * 6)

    def test_an_entry_without_its_quota_holder_uses_its_own_share(self):
        organisation = make_organisation(rate_per_s=120.0, burst=120.0)
        cluster = VirtualQuotas.from_config([organisation], REGIONS)
        links = Faults(cluster, 1)
        links.add(("cut", 5.0, {links.names.index("west-2")}, 20.0))
        cluster.load("west-2", "a", 60.0, SETTLED_S, 18.0)
        cluster.run_until(18.0)
        self.assertAlmostEqual(cluster.admitted("a", 9.0, 18.0), 10.0 * 9, delta=12)


class CostTest(unittest.TestCase):
    """Idle entries would exchange messages for each organisation."""

    def count_messages(self, regions, entries, organisations, per_s=0.0):
        limits = [make_organisation(f"o{number}") for number in range(organisations)]
        cluster = VirtualQuotas.from_config(
            limits, {f"r{number}": entries for number in range(regions)}
        )
        cluster.encodes = True
        for limit in limits if per_s else ():
            for name in cluster.region_by_entry:
                cluster.load(name, limit.name, per_s, SETTLED_S, SETTLED_S + 12.0, is_even=True)
        cluster.run_until(SETTLED_S + 6.0)
        messages, sent = cluster.messages.total(), cluster.bytes.total()
        cluster.run_until(SETTLED_S + 12.0)
        count = regions * entries * 6.0
        busiest = max(cluster.messages.values()) / (SETTLED_S + 12.0)
        return (
            (cluster.messages.total() - messages) / count,
            (cluster.bytes.total() - sent) / count,
            busiest,
        )

    def test_cost_of_idle_organisations_does_not_grow_with_their_number_nor_with_the_entries(self):
        for regions, entries, organisations in ((3, 24, 1), (3, 24, 78), (3, 100, 78), (7, 69, 78)):
            with self.subTest(entries=regions * entries, organisations=organisations):
                messages, sent, _ = self.count_messages(regions, entries, organisations)
                self.assertLessEqual(messages, 4.0)
                self.assertLessEqual(sent, 220.0)

    def test_a_steady_organisation_is_seldom_named(self):
        _, idle, _ = self.count_messages(3, 8, 1)
        _, sent, _ = self.count_messages(3, 8, 10, 1.0)
        self.assertLessEqual(sent - idle, 20.0)
        # With half of a limit in use, entries of little demand ask for requests.
        _, sent, _ = self.count_messages(3, 8, 10, 2.0)
        self.assertLessEqual(sent - idle, 400.0)


class LimiterTest(unittest.TestCase):
    def make_limiter(self, organisation, entry_count=1):
        limiter = QuotaLimiter.from_config("entry", 1)
        limiter.apply_limits({organisation.name: organisation}, 0.0)
        limiter.set_entry_count(entry_count, True, 0.0)
        return limiter

    def test_an_organisation_without_a_limit_is_free(self):
        limiter = QuotaLimiter.from_config("entry", 1)
        self.assertIs(ADMITTED, limiter.try_acquire(Organisation("free"), 0.0))
        self.assertFalse(limiter.has_limits)

    def test_a_process_starts_with_empty_buckets_and_without_its_base_share(self):
        organisation = make_organisation()
        limiter = self.make_limiter(organisation)
        for now_s in (0.0, BASE_DELAY_S):
            self.assertFalse(limiter.try_acquire(organisation, now_s).is_admitted)
        self.assertTrue(limiter.try_acquire(organisation, BASE_DELAY_S + 0.011).is_admitted)

    def test_a_limit_without_burst_admits_whole_requests(self):
        organisation = make_organisation(rate_per_s=2.0, burst=0.0)
        limiter = self.make_limiter(organisation)
        times = [BASE_DELAY_S + number / 10 for number in range(400)]
        admitted = sum(limiter.try_acquire(organisation, one).is_admitted for one in times)
        self.assertAlmostEqual(80, admitted, delta=2)

    # Callers that were refused together would return together.
    def test_refused_callers_are_told_different_times_at_which_there_are_tokens(self):
        organisation = make_organisation(rate_per_s=50.0, burst=0.0)
        limiter = self.make_limiter(organisation)
        now_s = BASE_DELAY_S + 10.0
        while limiter.try_acquire(organisation, now_s).is_admitted:
            pass
        told = [limiter.try_acquire(organisation, now_s).retry_after_s for _ in range(400)]
        self.assertEqual(len(told), len(set(told)))
        self.assertLessEqual(max(told), MAX_RETRY_AFTER_S)
        early = [now_s + one for one in sorted(told[:100])]
        admitted = sum(limiter.try_acquire(organisation, one + 1e-6).is_admitted for one in early)
        self.assertEqual(100, admitted)

    def test_a_lower_limit_drops_tokens_at_once(self):
        organisation = make_organisation(rate_per_s=100.0, burst=100.0)
        limiter = self.make_limiter(organisation)
        now_s = BASE_DELAY_S + 10.0
        self.assertTrue(limiter.try_acquire(organisation, now_s).is_admitted)
        lower = evolve(organisation, rate_per_s=4.0, burst=0.0)
        limiter.apply_limits({"a": lower}, now_s)
        admitted = sum(limiter.try_acquire(lower, now_s).is_admitted for _ in range(100))
        self.assertEqual(int(bucket_size(lower)), admitted)

    # An entry that is not registered may be unknown to all others, and counts itself alone.
    def test_an_entry_that_is_not_registered_has_no_base_share(self):
        organisation = make_organisation()
        limiter = QuotaLimiter.from_config("entry", 1)
        limiter.apply_limits({"a": organisation}, 0.0)
        limiter.set_entry_count(1, False, 0.0)
        self.assertFalse(limiter.try_acquire(organisation, 100.0).is_admitted)


class DemandRateTest(unittest.TestCase):
    def test_rare_requests_are_averaged_and_a_surge_is_seen_within_a_second(self):
        random = Random(1)
        rate, now_s, found = DemandRate(), 0.0, []
        while now_s < 200.0:
            now_s += random.expovariate(2.0)
            rate.count(now_s)
            found.append(rate.per_s(now_s))
        self.assertAlmostEqual(2.0, sum(found) / len(found), delta=0.4)
        for number in range(100):
            rate.count(now_s + number / 100)
        self.assertGreater(rate.per_s(now_s + 1.0), 60.0)
        self.assertLess(rate.per_s(now_s + 4.0), 6.0)


class HolderChoiceTest(unittest.TestCase):
    def test_entries_with_the_same_view_choose_the_same_and_skip_one_that_does_not_reply(self):
        regions = {f"e{number}": f"r{number % 2}" for number in range(20)}
        first, second = HolderChoice(), HolderChoice()
        first.update(regions)
        second.update(dict(reversed(regions.items())))
        holder = first.holder("r1", 0.0)
        self.assertEqual(holder, second.holder("r1", 0.0))
        self.assertEqual("r1", regions[holder])
        first.record_failure(holder, 0.0)
        self.assertNotEqual(holder, first.holder("r1", 1.0))
        self.assertEqual(holder, first.holder("r1", 3.0))
        self.assertIsNone(first.holder("r9", 0.0))


class ToleranceTest(unittest.TestCase):
    ENTRIES = 72

    def parts(self, rate_per_s, burst):
        tolerance = Tolerance(5.0, 0.1, 20.0)
        organisation = Organisation("o", rate_per_s=rate_per_s, burst=burst)
        names = [f"e{number}" for number in range(self.ENTRIES)]
        return sum(tolerance.entry_part(organisation, one, self.ENTRIES) for one in names)

    # With the buckets and the limit, all entries together must stay below the tolerated number.
    def test_parts_of_all_entries_stay_below_what_is_tolerated(self):
        for rate, burst in ((0.5, 0.0), (3.2, 3.2), (28.0, 28.0), (130.0, 130.0), (492.0, 492.0)):
            organisation = Organisation("o", rate_per_s=rate, burst=burst)
            most = (5.0 * rate + burst) * 1.1 + 20.0
            used = 5.0 * rate + bucket_size(organisation) + self.parts(rate, burst)
            self.assertLessEqual(used, most, (rate, burst))

    def test_no_tolerance_admits_nothing_beyond_the_shares(self):
        organisation = Organisation("o", rate_per_s=100.0, burst=100.0)
        self.assertEqual(Tolerance().entry_part(organisation, "e1", 1), 0)

    # A process that was killed and restarted would use its part twice in one window.
    def test_part_is_used_once_in_a_window_and_not_just_after_a_start(self):
        organisation = Organisation("o", rate_per_s=1.0, burst=10.0)
        limiter = QuotaLimiter.from_config("e1", 1)
        limiter.tolerance = Tolerance(5.0, 0.0, 30.0)
        limiter.apply_limits({"o": organisation}, 0.0)
        limiter.set_entry_count(10**6, True, 0.0)
        limiter.entry_count = 20
        start_s = BASE_DELAY_S + 5.0
        self.assertFalse(limiter.try_acquire(organisation, start_s - 0.5).is_admitted)
        times_s = [start_s + number / 10 for number in range(160)]
        admitted_s = [one for one in times_s if limiter.try_acquire(organisation, one).is_admitted]
        own_tokens = 0.05 * 16.0 + 0.5
        self.assertLessEqual(len(admitted_s), 4 + own_tokens)
        self.assertGreaterEqual(len(admitted_s), 3)


if __name__ == "__main__":
    unittest.main()
