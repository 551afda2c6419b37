import unittest

import eventlet

from figfold.core.membership import Membership
from test.test_membership import SETTINGS, make_report
from test.virtual_deployment import WorldTest


class ReplacementTest(WorldTest):
    def test_an_entry_is_live_again_on_an_instance_whose_clock_is_behind(self):
        def test(deployment, world):
            eventlet.sleep(20)
            for clock_behind_s in (0.0, 20.0):
                world.kill("r1-a-1")
                eventlet.sleep(1)
                world.start_entry("r1-a-1", "r1-a", clock_behind_s)
                eventlet.sleep(10)
            for name, node in world.node_by_name.items():
                self.assertTrue(node.peers.membership.is_live("r1-a-1", world.hub.now), name)

        self.run_world(test)


class EarlierIncarnationTest(unittest.TestCase):
    def setUp(self):
        self.membership = Membership.from_config(SETTINGS, make_report("own"))

    def test_an_earlier_incarnation_is_accepted_once_the_later_one_is_silent(self):
        self.membership.record_report(make_report("b1", "b", incarnation=9), 0.0)
        self.assertFalse(self.membership.record_report(make_report("b1", "b", incarnation=5), 2.9))
        self.assertTrue(self.membership.record_report(make_report("b1", "b", incarnation=5), 3.0))
        self.assertTrue(self.membership.is_live("b1", 3.0))
        self.assertEqual(3.0, self.membership.entry_by_name["b1"].replaced_at)
        # The later incarnation still runs and was only silent.
        self.assertTrue(self.membership.record_report(make_report("b1", "b", incarnation=9), 3.5))
        self.assertFalse(self.membership.record_report(make_report("b1", "b", incarnation=5), 4.0))

    def test_an_earlier_incarnation_does_not_leave_because_the_later_one_left(self):
        self.membership.record_report(make_report("b1", "b", incarnation=9, leaving=True), 0.0)
        self.membership.record_report(make_report("b1", "b", incarnation=5), 5.0)
        self.assertTrue(self.membership.is_live("b1", 5.0))


if __name__ == "__main__":
    unittest.main()
