import json
import unittest
from unittest.mock import patch

from bench.capacity_deployment import CapacityDeployment
from bench.capacity_fit import Slope, cost_us, fit_line
from bench.capacity_gateway import gateway_slopes
from bench.capacity_samples import (
    ENTRIES_PER_PLACE,
    entry_names,
    make_demand,
    make_instances,
    make_membership,
    make_plan,
    make_rows,
    make_topology,
    place_names,
)
from bench.capacity_slopes import make_router
from bench.capacity_state import settings_block_slopes
from bench.plan_spread import measure
from figfold.core.membership import REMOTE_NOTIFY_LIMIT, Membership
from figfold.core.model import FULL_SHARE, Role
from figfold.core.plan import PlanHead, body_digest, encode_body
from figfold.core.plan import make_plan as read_plan
from figfold.core.sheet import read_sheet


class SpreadTest(unittest.TestCase):
    LIMIT_MS = 5000

    def test_a_plan_reaches_all_with_few_extra_reports_when_messages_are_lost(self):
        spread = measure(24, 1, offered=True, lost_percent=30)
        self.assertEqual(24, spread.reached)
        self.assertLessEqual(spread.last_ms, self.LIMIT_MS)
        self.assertLessEqual(
            spread.extra_reports, 24 * (ENTRIES_PER_PLACE - 1 + REMOTE_NOTIFY_LIMIT)
        )

    def test_rounds_alone_bring_a_plan_to_all_in_time(self):
        with patch.object(Membership, "peers_to_notify", lambda *_: []):
            spread = measure(12, 1, offered=True, lost_percent=0)
        self.assertEqual(12, spread.reached)
        self.assertLessEqual(spread.last_ms, self.LIMIT_MS)


class SettingsMemoryTest(unittest.TestCase):
    TEXT_BYTES_PER_BLOCK = 50

    def test_settings_keep_no_text_of_a_block(self):
        memory = settings_block_slopes()[1]
        self.assertLess(memory.slope, self.TEXT_BYTES_PER_BLOCK)


class FitTest(unittest.TestCase):
    def test_line_through_exact_points(self):
        slope, intercept = fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
        self.assertAlmostEqual(slope, 2.0)
        self.assertAlmostEqual(intercept, 3.0)

    def test_one_point_is_constant(self):
        slope = Slope.from_points("n", "us", "calls", [(1, 8.0)])
        self.assertEqual(slope.value_at(480), 8.0)

    def test_slope_is_json(self):
        slope = Slope.from_points("n", "us", "calls", [(3, 8.0), (1, 4.0)])
        self.assertEqual(json.loads(json.dumps(slope.as_json()))["points"], [[1, 4.0], [3, 8.0]])
        self.assertAlmostEqual(slope.value_at(10), 22.0)

    def test_cost_passes_the_arguments(self):
        calls = []
        cost_us(2, calls.append, "x")
        self.assertEqual(set(calls), {"x"})
        self.assertEqual(len(calls) % 2, 0)


class SamplesTest(unittest.TestCase):
    def test_sizes(self):
        for places, entries in ((1, 4), (3, 12), (6, 24), (110, 480)):
            with self.subTest(places=places):
                topology = make_topology(places)
                self.assertEqual(len(place_names(places)), places)
                self.assertEqual(len(entry_names(topology, entries)), entries)
                instances = make_instances(topology, entries)
                listed = [one for one in instances if one.role is Role.ENTRY]
                self.assertEqual(len(listed), entries)
                self.assertEqual(len({one.name for one in instances}), len(instances))
                membership = make_membership(topology, entries, 1.0)
                self.assertEqual(len(membership.live_entries(1.0)), entries)

    def test_plan_is_a_valid_one(self):
        topology = make_topology(110)
        rows = make_rows(topology)
        for service in topology.service_by_name:
            shares = [row.share for row in rows if row.service == service]
            self.assertEqual(sum(shares), FULL_SHARE)
        body = encode_body(rows, make_demand(topology))
        read = read_plan(PlanHead(1, body_digest(body), "test", 0.0), body).unwrap()
        self.assertEqual(read.row_by_key, make_plan(topology).row_by_key)

    def test_router_answers_look_ups(self):
        router = make_router(make_topology(6), 24)
        answer = router.look_up("service0", "c1", "r1").unwrap()
        self.assertEqual(len(answer["entries"]), 4)


class GatewaySlopesTest(unittest.TestCase):
    def test_each_slope_has_its_points(self):
        slopes = {slope.name: slope for slope in gateway_slopes()}
        for slope in slopes.values():
            self.assertEqual(3, len(slope.points), slope.name)
            self.assertGreater(min(value for _, value in slope.points), 0.0, slope.name)
        self.assertGreater(slopes["whole knowledge, size"].slope, 30.0)


class DeploymentTest(unittest.TestCase):
    def setUp(self):
        self.deployment = CapacityDeployment(2 * ENTRIES_PER_PLACE, 1)
        self.addCleanup(self.deployment.stop)

    def test_sheets_are_accepted_ones(self):
        for shift in (0, 1):
            data = self.deployment.write_sheet(shift).read_bytes()
            rows = read_sheet(data, "sheet", self.deployment.topology).unwrap()
            self.assertEqual(len(rows), 2 * 3)

    def test_entries_adopt_a_plan(self):
        self.deployment.start()
        self.assertEqual(len(self.deployment.pids()), 2 * ENTRIES_PER_PLACE)
        self.deployment.apply(self.deployment.write_sheet())
        for name in self.deployment.entry_by_name:
            self.assertIn("plan in force", self.deployment.log_text(name))


if __name__ == "__main__":
    unittest.main()
