"""Shares of requests between regions: uneven demand, old reports, requests that are rejected."""

import unittest
from collections import Counter
from math import inf
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock, patch

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.model import EntryReport, ServiceLoad
from figfold.core.regions.balancer import DEAD_BAND, STEP_S, RegionBalancer
from figfold.core.regions.measurement import DemandMeter, DemandStatement
from figfold.core.regions.shares import (
    FULL_FACTOR,
    SHARE_UNITS,
    TARGET_UTILISATION,
    RegionLoad,
    desired_shares,
    distance,
    loads_from_statements,
    quantise,
    regions_with_room,
    utilisation_level,
)
from figfold.core.traffic.configuration import Repeatability, Route, ServiceWeight
from figfold.core.traffic.fleet import Fleet
from figfold.core.traffic.limiters import OverflowLimiter
from figfold.core.traffic.placement import Placement, shares_by_slots
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.core.traffic.selection import Selector
from figfold.core.traffic.server_limits import ServerLimits
from figfold.core.traffic.server_load import LoadReport, ServerLoad, UsualSlowdown
from figfold.gateway.region_shares import RegionShares
from figfold.gateway.request_run import RequestRun
from figfold.gateway.requests import GatewayRequest
from figfold.gateway.sender import AttemptResult
from figfold.wire.codec import decode, encode
from figfold.wire.messages import Report
from test.test_traffic_fleet import make_record
from test.test_traffic_selection import make_durations
from test.virtual import run_virtual
from test.virtual_regions import SAMPLE_S, RegionWorld, wave

REGIONS = ("a", "b", "c")
REGION_BY_PLACE = {"a1": "a", "b1": "b", "c1": "c"}
# A tenth of the slots is in region a, and a third of the demand.
SLOTS = (("a", 12), ("b", 54), ("c", 54))
RUN_S = 0.25
# Rule: the largest part of a region's requests that may change region between two windows.
SHIFT_BOUND = 0.15
WINDOW_S = 2.0
NOW_S = 100.0


def make_loads(demand_per_s, run_s=RUN_S, slots=SLOTS):
    return {
        region: RegionLoad(count, per_s, run_s)
        for (region, count), per_s in zip(slots, demand_per_s, strict=True)
    }


def update(balancer, loads, now_s, slots=SLOTS, stated_local=()):
    return balancer.update("s", slots, loads, list(stated_local), now_s)


def settle(balancer, loads, slots=SLOTS, seconds=60, start_s=NOW_S):
    for tick in range(seconds):
        update(balancer, loads, start_s + tick * STEP_S, slots)
    return dict(balancer.shares("s", slots))


LOADS = st.tuples(*[st.floats(0.0, 400.0)] * 3).map(make_loads)


class DesiredSharesTest(unittest.TestCase):
    # A region with a tenth of the slots and a third of the demand served its own requests by its
    # slots alone: too few of them on calm days, and too many on heavy ones.
    def test_small_region_serves_its_own_requests_up_to_the_target_utilisation(self):
        loads = make_loads((12.0, 12.0, 12.0))
        self.assertEqual(desired_shares("a", loads, REGIONS), {"a": 1.0})
        loads = make_loads((40.0, 40.0, 40.0))
        shares = desired_shares("a", loads, REGIONS)
        self.assertAlmostEqual(shares["a"], TARGET_UTILISATION * 12 / (40.0 * RUN_S))
        self.assertAlmostEqual(shares["b"], shares["c"])

    def test_demand_beyond_all_slots_fills_all_regions_alike(self):
        loads = make_loads((200.0, 200.0, 200.0))
        self.assertGreater(utilisation_level(loads), 1.0)
        filled = Counter()
        for region in REGIONS:
            for target, share in desired_shares(region, loads, REGIONS).items():
                filled[target] += share * loads[region].needed_slots
        for region, slots in SLOTS:
            self.assertAlmostEqual(filled[region] / slots, utilisation_level(loads))

    @given(LOADS)
    def test_no_region_is_filled_beyond_a_multiple_of_the_level(self, loads):
        level, filled = utilisation_level(loads), Counter()
        for region in REGIONS:
            shares = desired_shares(region, loads, REGIONS)
            self.assertAlmostEqual(sum(shares.values()), 1.0)
            for target, share in shares.items():
                self.assertGreaterEqual(share, 0.0)
                filled[target] += share * loads[region].needed_slots
        for region, slots in SLOTS:
            self.assertLessEqual(filled[region], FULL_FACTOR * level * slots + 1e-6)

    def test_surplus_goes_where_the_wave_is_low(self):
        shares = desired_shares("a", make_loads((100.0, 200.0, 20.0)), REGIONS)
        self.assertGreater(shares["c"], 2.0 * shares.get("b", 0.0))

    def test_region_without_slots_or_homes_elsewhere_uses_the_others(self):
        slots = (("a", 0), ("b", 54), ("c", 54))
        loads = make_loads((60.0, 60.0, 60.0), slots=slots)
        self.assertEqual(set(desired_shares("a", loads, REGIONS)), {"b", "c"})
        self.assertEqual(set(desired_shares("a", make_loads((60.0,) * 3), ("b",))), {"b"})
        self.assertEqual(desired_shares("a", loads, ("a",)), {})

    # A tenth of the servers at a fifth of their speed makes runs longer than demand accounts for.
    def test_saturated_region_counts_as_full(self):
        loads = make_loads((60.0, 60.0, 60.0)) | {"b": RegionLoad(54, 60.0, RUN_S, 0.97)}
        shares = desired_shares("a", loads, REGIONS)
        self.assertLess(shares.get("b", 0.0), 0.1 * shares["c"])
        self.assertNotIn("b", regions_with_room(loads))
        self.assertIn("c", regions_with_room(loads))

    @given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=5).filter(lambda ones: sum(ones)))
    def test_quantised_shares_add_up(self, parts):
        shares = {str(n): part / sum(parts) for n, part in enumerate(parts)}
        units = quantise(shares)
        self.assertEqual(sum(units.values()), SHARE_UNITS)
        for region, share in shares.items():
            self.assertLessEqual(abs(units[region] - share * SHARE_UNITS), 1.0)


class StatementsTest(unittest.TestCase):
    def test_demand_of_entries_that_were_not_heard_is_assumed(self):
        statements = {one: [DemandStatement(10.0, RUN_S, 0.5)] * 2 for one in REGIONS}
        loads = loads_from_statements(dict(SLOTS), statements, Counter(a=8, b=8, c=2))
        self.assertAlmostEqual(loads["a"].demand_per_s, 80.0)
        self.assertAlmostEqual(loads["c"].demand_per_s, 20.0)

    # Runs of one region take long while it is short of warm objects, which would drive more away.
    def test_all_regions_have_the_mean_run_time_weighted_by_demand(self):
        statements = {one: [DemandStatement(10.0, 0.2)] for one in REGIONS}
        statements["a"] = [DemandStatement(30.0, 0.2), DemandStatement(10.0, 0.6)]
        loads = loads_from_statements(dict(SLOTS), statements, Counter(a=2, b=1, c=1))
        for load in loads.values():
            self.assertAlmostEqual(load.run_s, (30.0 * 0.2 + 10.0 * 0.6 + 20.0 * 0.2) / 60.0)

    # Without reports of a region, its demand and so its free capacity are not known.
    def test_silent_region_and_entries_of_earlier_versions_give_no_loads(self):
        statements = {one: [DemandStatement(10.0, RUN_S)] for one in ("a", "b")}
        counts = Counter(a=1, b=1, c=1)
        self.assertIsNone(loads_from_statements(dict(SLOTS), statements, counts))
        statements["c"] = [DemandStatement()]
        self.assertIsNone(loads_from_statements(dict(SLOTS), statements, counts))
        statements["c"] = [DemandStatement(0.0)]
        self.assertEqual(loads_from_statements(dict(SLOTS), statements, counts)["c"].run_s, RUN_S)

    def test_nothing_is_known_before_the_first_run(self):
        statements = {one: [DemandStatement(10.0)] for one in REGIONS}
        self.assertIsNone(loads_from_statements(dict(SLOTS), statements, Counter(a=1, b=1, c=1)))


class MeterTest(unittest.TestCase):
    def test_rate_is_right_shortly_after_the_start_and_later(self):
        meter = DemandMeter(NOW_S)
        for tick in range(2000):
            now_s = NOW_S + tick * 0.05
            meter.count_request("s", now_s)
            if tick == 100:
                self.assertEqual(meter.statement("s", now_s), DemandStatement())
            if tick in (260, 1999):
                self.assertAlmostEqual(meter.statement("s", now_s).requests_per_s, 20.0, delta=1.5)

    def test_means_stay_while_nothing_runs_and_demand_fades(self):
        meter = DemandMeter(NOW_S)
        meter.count_request("s", NOW_S)
        meter.add_run("s", 0.3, NOW_S)
        meter.add_load("s", 2, 3, NOW_S)
        stated = meter.statement("s", NOW_S + 1000.0)
        self.assertLess(stated.requests_per_s, 1e-3)
        self.assertAlmostEqual(stated.run_s, 0.3)
        self.assertAlmostEqual(stated.utilisation, 2 / 3)

    def test_unknown_service_states_no_run_time(self):
        stated = DemandMeter(NOW_S).statement("s", NOW_S + 20.0)
        self.assertEqual((stated.requests_per_s, stated.run_s, stated.utilisation), (0.0, -1, -1))


class BalancerTest(unittest.TestCase):
    def balancer(self, region="a"):
        return RegionBalancer(region, REGIONS)

    def test_shares_begin_with_those_by_slots(self):
        balancer = self.balancer()
        self.assertIsNone(balancer.shares("s", SLOTS))
        update(balancer, None, NOW_S)
        by_slots = dict(shares_by_slots("a", REGIONS, SLOTS))
        for region, share in balancer.shares("s", SLOTS):
            self.assertAlmostEqual(share, by_slots[region], delta=1.0 / SHARE_UNITS)

    def test_shares_reach_the_desired_ones(self):
        loads = make_loads((120.0, 60.0, 120.0))
        desired = desired_shares("a", loads, REGIONS)
        shares = settle(self.balancer(), loads)
        self.assertLess(distance(shares, desired), DEAD_BAND + 1.0 / SHARE_UNITS)

    def test_differences_within_the_dead_band_move_nothing(self):
        balancer = self.balancer()
        settle(balancer, make_loads((80.0, 60.0, 60.0)))
        before = balancer.shares("s", SLOTS)
        for tick, per_s in enumerate((82.0, 78.0) * 20):
            self.assertIsNone(update(balancer, make_loads((per_s, 60.0, 60.0)), 1000.0 + tick))
        self.assertEqual(before, balancer.shares("s", SLOTS))

    # Half of the callers of a region move to another one for some seconds, and waves are out of
    # phase: whatever demand does, entries whose steps fall at different times stay in the bound.
    @given(st.lists(st.one_of(st.none(), LOADS), min_size=4, max_size=20), st.integers(0, 9))
    def test_shift_between_windows_stays_within_the_bound(self, loads_by_tick, seed):
        random = Random(seed)
        entries = [(self.balancer(), random.random()) for _ in range(5)]
        times = []
        for number, loads in enumerate(loads_by_tick):
            for balancer, phase_s in entries:
                now_s = NOW_S + number * STEP_S + phase_s
                update(balancer, loads, now_s)
                times.append((now_s, id(balancer), dict(balancer.shares("s", SLOTS))))
        samples, in_force = [], {}
        pending = sorted(times, key=lambda one: one[0])
        for step in range(int(10 * (len(loads_by_tick) + 1))):
            while pending and pending[0][0] <= NOW_S + 0.1 * step:
                _, name, shares = pending.pop(0)
                in_force[name] = shares
            if len(in_force) == len(entries):
                mean = Counter()
                for shares in in_force.values():
                    mean.update({one: part / len(entries) for one, part in shares.items()})
                samples.append(mean)
        per_window = int(WINDOW_S / 0.1)
        for start in range(max(0, len(samples) - 2 * per_window)):
            first, second = Counter(), Counter()
            for number in range(per_window):
                first.update(samples[start + number])
                second.update(samples[start + per_window + number])
            self.assertLessEqual(distance(first, second) / per_window, SHIFT_BOUND - 0.09)

    # Reports are lost: the shares go back to those by slots, no faster than they came.
    def test_old_reports_lead_back_to_the_shares_by_slots(self):
        balancer = self.balancer()
        settle(balancer, make_loads((20.0, 60.0, 60.0)))
        before = dict(balancer.shares("s", SLOTS))
        change = update(balancer, None, 1000.0)
        self.assertTrue(change.is_fallback)
        self.assertLessEqual(distance(before, dict(balancer.shares("s", SLOTS))), 0.03)
        for tick in range(60):
            update(balancer, None, 1001.0 + tick)
        by_slots = dict(shares_by_slots("a", REGIONS, SLOTS))
        self.assertLess(distance(dict(balancer.shares("s", SLOTS)), by_slots), 0.03)
        self.assertIsNone(balancer.regions_with_room("s"))

    # All servers of a region are gone: requests for it go to the others at once.
    def test_dark_region_loses_its_share_at_once_and_gets_it_back_in_steps(self):
        balancer = self.balancer()
        loads = make_loads((200.0, 60.0, 60.0))
        settle(balancer, loads)
        without = (SLOTS[0], SLOTS[2])
        self.assertEqual({one for one, _ in balancer.shares("s", without)}, {"a", "c"})
        for tick in range(5):
            update(balancer, loads, 1000.0 + tick, without)
        self.assertEqual({one for one, _ in balancer.shares("s", without)}, {"a", "c"})
        update(balancer, loads, 1010.0)
        self.assertLessEqual(dict(balancer.shares("s", SLOTS)).get("b", 0.0), 0.03)
        self.assertGreater(settle(balancer, loads, start_s=1011.0)["b"], 0.1)

    def test_homes_limit_the_shares(self):
        balancer = self.balancer()
        loads = make_loads((200.0, 60.0, 60.0))
        settle(balancer, loads)
        homes = (("a", 12), ("c", 54))
        for _ in range(3):
            shares = dict(balancer.shares("s", homes))
            self.assertEqual(set(shares), {"a", "c"})
            self.assertAlmostEqual(sum(shares.values()), 1.0)
            update(balancer, loads, 1000.0)
        self.assertEqual(balancer.shares("s", (("b", 54),)), (("b", 1.0),))

    # Each moved object runs cold once, so that no others may move with it.
    def test_only_objects_near_a_boundary_move(self):
        placement = Placement("a", REGION_BY_PLACE)
        balancer = self.balancer()
        placement.balanced_shares = balancer.shares
        loads = make_loads((200.0, 60.0, 60.0))
        update(balancer, None, NOW_S)
        keys = [str(number) for number in range(2000)]
        regions = [placement.target_region("s", key, SLOTS) for key in keys]
        for tick in range(1, 30):
            before = dict(balancer.shares("s", SLOTS))
            update(balancer, loads, NOW_S + tick)
            after = dict(balancer.shares("s", SLOTS))
            now = [placement.target_region("s", key, SLOTS) for key in keys]
            moved = sum(one != other for one, other in zip(regions, now, strict=True)) / len(keys)
            self.assertLessEqual(moved, 2.0 * distance(before, after) + 0.02)
            regions = now

    # Entries hear of different peers, so that their estimates differ.
    def test_entries_of_a_region_agree(self):
        random = Random(3)
        balancers = [self.balancer() for _ in range(8)]
        for tick in range(120):
            stated = [one.local_target("s") for one in balancers]
            for balancer in balancers:
                factors = [random.uniform(0.9, 1.1) for _ in REGIONS]
                loads = make_loads([100.0 * one for one in factors])
                heard = random.sample(stated, 4)
                update(balancer, loads, NOW_S + tick, stated_local=heard)
        local = [dict(one.shares("s", SLOTS)).get("a", 0.0) for one in balancers]
        self.assertLessEqual(max(local) - min(local), 0.08)

    def test_removed_service_is_forgotten(self):
        balancer = self.balancer()
        update(balancer, None, NOW_S)
        balancer.retain_services({})
        self.assertIsNone(balancer.shares("s", SLOTS))


class RegionSharesTest(unittest.TestCase):
    """The shares of an entry, with its measurements and the reports of others."""

    def setUp(self):
        records = [
            make_record(f"{place}-{number}", place=place)
            for place, count in (("a1", 4), ("b1", 18), ("c1", 18))
            for number in range(count)
        ]
        self.fleet = Fleet()
        self.fleet.apply_snapshot(records, 0.0, False, 1)
        self.placement = Placement("a", REGION_BY_PLACE)
        self.recent = [
            (place, ServiceLoad("stock", 0, 0, 0, DemandStatement(60.0, RUN_S, 0.5)))
            for place in ("b1", "c1")
        ]
        self.cluster = SimpleNamespace(
            fleet=self.fleet,
            region_by_place=REGION_BY_PLACE,
            configuration=SimpleNamespace(service_by_name={"stock": None}),
            membership=SimpleNamespace(recent_loads=lambda service, now: self.recent),
            live_entry_regions=lambda: ["a", "b", "c"],
            regions_with_room=None,
        )
        selector = Selector(
            self.fleet, self.placement, REGION_BY_PLACE, lambda _place: 0.01, ServerLimits("e")
        )
        self.cluster.ranking = selector.ranking
        self.log = Mock()
        self.now_s = NOW_S
        clock = patch("figfold.gateway.region_shares.now_s", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)

    def make_shares(self, is_on=True):
        settings = SimpleNamespace(region="a", region_balancing=is_on)
        return RegionShares.from_config(settings, self.cluster, self.placement, self.log)

    def run_demand(self, shares, per_s, seconds):
        for _ in range(seconds):
            for _ in range(per_s):
                shares.record_request("stock")
                shares.record_run("stock", RUN_S)
            shares.update()
            self.now_s += 1.0

    def slots(self):
        return self.cluster.ranking.roster("stock").slots_by_region

    def test_setting_off_changes_nothing(self):
        shares = self.make_shares(is_on=False)
        self.run_demand(shares, 100, 5)
        self.assertIsNone(self.placement.balanced_shares)
        self.assertIsNone(self.cluster.regions_with_room)
        self.assertEqual(shares.statement("stock", NOW_S), DemandStatement())
        self.assertEqual(list(shares.gauges()), [])

    def test_setting_takes_effect_at_a_reload(self):
        shares = self.make_shares(is_on=False)
        shares.apply_settings(SimpleNamespace(region_balancing=True))
        shares.update()
        self.assertIsNotNone(self.placement.balanced_shares("stock", self.slots()))
        shares.apply_settings(SimpleNamespace(region_balancing=False))
        self.assertIsNone(self.placement.balanced_shares)

    def test_calm_region_takes_its_requests_back(self):
        shares = self.make_shares()
        self.run_demand(shares, 12, 60)
        in_force = dict(self.placement.balanced_shares("stock", self.slots()))
        self.assertGreater(in_force["a"], 1.0 - DEAD_BAND - 1.0 / SHARE_UNITS)
        gauges = {labels["region"]: value for _, labels, value in shares.gauges()}
        self.assertEqual(gauges, in_force)
        self.assertEqual(self.cluster.regions_with_room("stock"), {"a", "b", "c"})
        changes = [one for one in self.log.bind.call_args_list if not one.kwargs["fallback"]]
        self.assertTrue(changes)

    def test_silent_regions_lead_back_to_the_shares_by_slots(self):
        shares = self.make_shares()
        self.run_demand(shares, 12, 60)
        self.recent = self.recent[:1]
        self.run_demand(shares, 12, 60)
        local = dict(self.placement.balanced_shares("stock", self.slots()))["a"]
        self.assertAlmostEqual(local, 0.39, delta=0.03)
        self.assertTrue(self.log.bind.call_args.kwargs["fallback"])

    def test_utilisation_counts_servers_of_the_own_region_alone(self):
        shares = self.make_shares()
        self.now_s += 20.0
        load = SimpleNamespace(running=3, slots=3)
        shares.record_load("stock", "b1-0", load, self.now_s)
        self.assertEqual(shares.statement("stock", self.now_s).utilisation, -1.0)
        shares.record_load("stock", "a1-0", load, self.now_s)
        self.assertEqual(shares.statement("stock", self.now_s).utilisation, 1.0)


class RejectedRequestTest(unittest.TestCase):
    """The servers of the own region are full while others have free slots."""

    def setUp(self):
        fleet = Fleet()
        records = [
            make_record(f"{place}-{n}", place=place) for place in ("a1", "b1") for n in (1, 2)
        ]
        fleet.apply_snapshot(records, 0.0, False, 1)
        self.selector = Selector(
            fleet,
            Placement("a", {"a1": "a", "b1": "b"}),
            {"a1": "a", "b1": "b"},
            lambda place: 0.0005 if place == "a1" else 0.11,
            ServerLimits("e"),
        )
        self.sent = []
        self.rejecting = set()
        self.limiter = OverflowLimiter()
        for _ in range(100):
            self.limiter.count_request(NOW_S)

    def fill(self, place, requests):
        for server in self.selector.fleet.server_by_id.values():
            if server.record.place == place:
                load = self.selector.load(server)
                for number in range(requests):
                    load.start(-number - 1, "", NOW_S)

    def send(self, _request, choice, *_rest):
        self.sent.append(choice.server_id)
        is_rejected = choice.server_id in self.rejecting
        code = Code.SERVER_SHED if is_rejected else Code.OK
        outcome = AttemptOutcome.NOT_RUN if is_rejected else AttemptOutcome.ANSWERED
        return AttemptResult(outcome, code, 0.01, answer=choice.server_id)

    def run_request(self, balancing=True, homes=frozenset(), key="k"):
        runner = Mock(answers_until_s=inf, selector=self.selector, overflow_limiter=self.limiter)
        runner.hide_key.side_effect = lambda request, _organisation: request
        runner.settings.region_balancing = balancing
        runner.settings.hedge_ratio = 0.0
        runner.cluster.regions_with_free_slots.return_value = ()
        runner.cluster.may_use_cold_server.return_value = False
        runner.cluster.server_round_trip_s.return_value = 0.0
        runner.cluster.servers_age_s.return_value = runner.cluster.operator_age_s.return_value = 0.0
        runner.route_durations.return_value = make_durations()
        runner.quarantine.is_quarantined.return_value = False
        runner.next_attempt_id.side_effect = range(1, 20)
        runner.sender.send.side_effect = self.send
        request = GatewayRequest(
            request_id="r",
            method="GET",
            target="/",
            host="h",
            path="/",
            headers=(),
            body=b"",
            arrived_s=NOW_S,
            caller_deadline_s=NOW_S + 9.0,
            key=key,
            fingerprint="f",
        )
        services = (ServiceWeight("stock", 1.0),)
        route = Route("read", "h", "/", Repeatability.SAFE, services, timeout_s=3.0, max_attempts=2)
        configuration = SimpleNamespace(version=1)
        run = RequestRun(runner, request, route, "stock", configuration, home_regions=homes)
        with patch("figfold.gateway.request_run.now_s", lambda: NOW_S):
            return run.execute()

    # A request was refused in one region while four data centres had free slots.
    def test_request_that_would_be_late_goes_to_a_free_slot_of_another_region(self):
        self.fill("a1", 40)
        self.assertTrue(self.run_request().ok().startswith("b1"))

    def test_setting_off_refuses_it_as_before(self):
        self.fill("a1", 40)
        self.assertIs(self.run_request(balancing=False).err().code, Code.DEADLINE_TOO_SHORT)
        self.assertEqual(self.sent, [])

    def test_rejected_request_is_offered_to_another_region_before_it_waits_again(self):
        self.fill("a1", 3)
        self.rejecting = {"a1-1", "a1-2"}
        self.assertTrue(self.run_request().ok().startswith("b1"))
        self.assertEqual(len(self.sent), 2)
        self.assertTrue(self.sent[0].startswith("a1"))

    def test_homes_bind_rejected_requests(self):
        self.fill("a1", 40)
        refusal = self.run_request(homes=frozenset("a")).err()
        self.assertTrue(refusal.is_not_run)
        self.assertEqual(self.sent, [])

    def test_servers_that_are_full_everywhere_get_nothing(self):
        self.fill("a1", 40)
        self.fill("b1", 3)
        self.assertTrue(self.run_request().err().is_not_run)
        self.assertEqual(self.sent, [])

    # Rule SHIFT: requests that move at once fill the other region with cold runs.
    def test_no_more_than_a_bounded_part_goes_elsewhere_at_once(self):
        self.fill("a1", 40)
        answered = sum(self.run_request(key=str(n)).is_ok() for n in range(50))
        self.assertGreaterEqual(answered, 6)
        self.assertLessEqual(answered, 9)


class MachineSpeedTest(unittest.TestCase):
    """The speed of each machine changes every 600 ms; 15 % take 2.5 times the usual duration."""

    SERVERS, PERIOD_S, SHARE, FACTOR = 40, 0.6, 0.15, 2.5

    def play(self, seconds=60.0, interval_s=0.5):
        """Return (age of the report, estimate, truth) of servers at many times, and their loads."""
        random, usual, now_s, samples = Random(5), UsualSlowdown(), 0.0, []
        loads = [ServerLoad(3, usual_slowdown=usual) for _ in range(self.SERVERS)]
        reported = [-inf] * self.SERVERS
        epoch, speeds = -1, []
        while now_s < seconds:
            now_s += random.expovariate(self.SERVERS / interval_s)
            if int(now_s / self.PERIOD_S) != epoch:
                epoch = int(now_s / self.PERIOD_S)
                speeds = [
                    self.FACTOR if random.random() < self.SHARE else 1.0
                    for _ in range(self.SERVERS)
                ]
            number = random.randrange(self.SERVERS)
            estimate = loads[number].current_machine_slowdown(now_s)
            samples.append((now_s - reported[number], estimate, speeds[number], now_s))
            loads[number].observe_report(LoadReport(1, 0, 3, speeds[number]), now_s)
            reported[number] = now_s
        return [one[:3] for one in samples if one[3] > seconds / 2], loads, now_s

    # The estimate decayed to 1, the best speed, so that an old report and no report at all promised
    # a faster server than there is on average.
    def test_estimate_decays_to_the_mean_of_what_was_seen(self):
        samples, loads, now_s = self.play()
        mean = 1.0 + self.SHARE * (self.FACTOR - 1.0)
        for low_s, high_s in ((0.0, 0.2), (0.2, 0.6), (1.2, 9.0)):
            inside = [(one, true) for age_s, one, true in samples if low_s <= age_s < high_s]
            error = sum(one - true for one, true in inside) / len(inside)
            self.assertLess(abs(error), 0.1, (low_s, len(inside)))
        for load in loads:
            self.assertAlmostEqual(load.current_machine_slowdown(now_s + 9.0), mean, delta=0.1)

    def test_server_of_unknown_speed_is_not_preferred_to_a_fast_one(self):
        _, loads, now_s = self.play()
        unknown = ServerLoad(3, usual_slowdown=loads[0].usual_slowdown)
        loads[0].observe_report(LoadReport(1, 0, 3, 1.0), now_s)
        fast = loads[0].current_machine_slowdown(now_s + 0.1)
        self.assertLess(fast, unknown.current_machine_slowdown(now_s + 0.1) - 0.1)

    # A rejection without a report made the last speed count as current again.
    def test_rejection_does_not_renew_the_age_of_a_speed(self):
        load = ServerLoad(3)
        load.observe_report(LoadReport(1, 0, 3, 2.5), 0.0)
        load.observe_shed(5.0)
        self.assertLess(load.current_machine_slowdown(5.0), 1.1)


class UnevenLoadTest(unittest.TestCase):
    """Entries with their reports, servers with a memory, and uneven demand, in virtual time."""

    SERVERS_BY_REGION = {"a": 3, "b": 14, "c": 14}
    MEAN_PER_S = 40.0
    SECONDS = 36.0

    def play(self, per_s, slow_servers=(), servers_by_region=None, balancing=True):
        """Play a load and return its `RegionWorld`; the bound of the shares is checked."""
        worlds = []

        def run(hub):
            servers = servers_by_region or self.SERVERS_BY_REGION
            world = RegionWorld.from_servers(hub, servers, per_s, balancing, entries=3)
            for server_id in slow_servers:
                world.server_by_id[server_id].fault_slowdown = 5.0
            worlds.append(world)
            world.play(self.SECONDS)

        run_virtual(run)
        if balancing:
            for region in REGIONS:
                self.assertLessEqual(worlds[0].largest_shift(region), SHIFT_BOUND - 0.09)
        return worlds[0]

    # The region sent 61 % of its requests away, whatever it and the others had to do.
    def test_region_with_a_tenth_of_the_servers_and_a_third_of_the_demand(self):
        calm = self.play(lambda _region, _at_s: 12.0)
        self.assertGreaterEqual(calm.share("a", "a"), 0.6)
        heavy = self.play(lambda _region, _at_s: 60.0)
        self.assertLess(heavy.share("a", "a"), 0.38)
        self.assertGreater(heavy.share("a", "a"), 0.2)
        for world in (calm, heavy):
            self.assertLess(world.refused(after_s=10.0), 0.02)

    # Objects that moved with each wave ran cold, which cost more than the waves.
    def test_waves_out_of_phase_move_few_objects(self):
        waves = {
            region: wave(self.MEAN_PER_S, phase)
            for region, phase in (("a", 0.0), ("b", 0.33), ("c", 0.67))
        }
        world = self.play(lambda region, at_s: waves[region](at_s))
        self.assertLess(world.refused(after_s=10.0), 0.03)
        for region in ("b", "c"):
            self.assertGreaterEqual(world.share(region, region), 0.8)
        settled = [one["a"] for one in world.samples[int(22.0 / SAMPLE_S) :]]
        self.assertLess(distance(settled[0], settled[-1]), 0.25)

    def test_half_of_the_callers_moves_for_seven_seconds(self):
        def per_s(region, at_s):
            if not 18.0 <= at_s < 25.0:
                return self.MEAN_PER_S
            return self.MEAN_PER_S * {"a": 1.5, "b": 0.5, "c": 1.0}[region]

        world = self.play(per_s)
        self.assertLess(world.refused(after_s=10.0), 0.03)

    def test_tenth_of_the_servers_at_a_fifth_of_their_speed(self):
        slow = ("a1-s0", "b1-s0", "c1-s0")
        world = self.play(lambda _region, _at_s: self.MEAN_PER_S, slow_servers=slow)
        self.assertLess(world.refused(after_s=10.0), 0.04)

    # With the setting off, nothing is stated, and shares and refusals are as before.
    def test_setting_off_plays_as_before(self):
        world = self.play(lambda _region, _at_s: 12.0, balancing=False)
        self.assertFalse(any(sample["a"] for sample in world.samples))
        self.assertAlmostEqual(world.local("a"), 0.38, delta=0.12)


class ReportTest(unittest.TestCase):
    def test_reports_that_state_no_demand_cost_no_bytes_and_are_read_as_unknown(self):
        own = EntryReport("e", "a1", 1, "", "", "", False, 0, "", 0.0)
        without = evolve(own, loads=(ServiceLoad("s", 0, 0, 5),))
        self.assertEqual(decode(encode(Report(without))).unwrap().report, without)
        stated = ServiceLoad("s", 0, 0, 5, DemandStatement(20.0, 0.25, 0.5, 0.375))
        with_demand = evolve(own, loads=(stated,))
        self.assertEqual(decode(encode(Report(with_demand))).unwrap().report, with_demand)
        self.assertLessEqual(len(encode(Report(with_demand))) - len(encode(Report(without))), 20)


if __name__ == "__main__":
    unittest.main()
