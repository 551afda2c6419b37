"""Caps of places while entries start or reconnect after a cap was lowered, in virtual time."""

import unittest
from hashlib import sha256

import eventlet

from figfold.core.earlier_plans import OPERATOR_CLOCK_ERROR_S, recently_replaced_plans
from figfold.core.plan import next_head
from test.test_promises_caps import LONG_DEADLINES
from test.virtual_deployment import CAP, SHARES, WorldTest

LOWERED = CAP // 2
PEER = "r1-a-1"
EARLIER_REQUESTS_END_S = 40.0  # All requests under an earlier plan have ended after this time.


class StartPromiseTest(WorldTest):
    def lower(self, deployment, cap=LOWERED, then_s=1.0):
        deployment.accept(deployment.rows(SHARES, cap))
        eventlet.sleep(then_s)

    def fill_peer(self, world, seconds=28.0):
        """Occupy all permits of the peer with long bookings."""
        servers = [s for s in world.server_by_name.values() if s.service == "book"]
        for server in servers:
            server.seconds = seconds
        for number in range(CAP):
            world.spawn_send([], PEER, "book", "POST", f"k{number}", seconds=29.0)
        eventlet.sleep(0.1)
        self.assertEqual(LOWERED, world.place_in_progress["book", "r1-a"])
        for server in servers:
            server.seconds = 0.1

    def end(self, world, name, planned=True):
        """End an entry, by a planned stop without requests in progress or by a kill."""
        if planned:
            node, process = world.node_by_name[name], world.process_by_name[name]
            world.hub.run_as(process, node.leave)
            eventlet.sleep(1.5)
            world.hub.run_as(process, node.finish, 1.0)
        world.kill(name)

    def run_start(self, replace, quota=LOWERED, settled_s=0.0):
        """Lower the cap to what the peer has in progress, then replace the other entry."""

        def test(deployment, world):
            eventlet.sleep(settled_s)
            self.fill_peer(world)
            replace(deployment, world)
            deployment.load(10, "book", method="POST", limit_s=4.0, place="r1-a")
            eventlet.sleep(45)
            self.assertEqual(quota, deployment.quota("book", "r1-a"))

        self.run_world(test, settings=LONG_DEADLINES)

    def run_replaced(self, successor, planned, quota=LOWERED):
        def replace(deployment, world):
            self.lower(deployment)
            self.end(world, "r1-a-2", planned)
            world.start_entry(successor, "r1-a")

        self.run_start(replace, quota)

    def test_an_entry_that_starts_after_a_planned_stop_keeps_to_a_cap_lowered_before(self):
        self.run_replaced("r1-a-2", planned=True)

    def test_an_entry_that_starts_at_another_address_keeps_to_a_cap_lowered_before(self):
        self.run_replaced("r1-a-3", planned=True)

    def test_an_entry_that_starts_after_a_kill_keeps_to_a_cap_lowered_before(self):
        self.run_replaced("r1-a-2", planned=False)

    def test_an_entry_that_replaces_a_killed_one_elsewhere_keeps_to_a_cap_lowered_before(self):
        # The long part of the killed entry stays unused until its lease lapses.
        self.run_replaced("r1-a-3", planned=False, quota=LOWERED - 1)

    def test_an_entry_that_starts_keeps_to_a_cap_lowered_in_two_steps(self):
        def replace(deployment, world):
            self.lower(deployment, CAP - 1)
            self.lower(deployment)
            self.lower(deployment, LOWERED)
            self.end(world, "r1-a-2")
            world.start_entry("r1-a-2", "r1-a")

        self.run_start(replace)

    def test_an_entry_that_starts_counts_what_a_killed_process_of_its_peer_left_behind(self):
        def replace(deployment, world):
            self.lower(deployment)
            self.end(world, "r1-a-2")
            self.end(world, PEER, planned=False)
            world.start_entry(PEER, "r1-a")
            world.start_entry("r1-a-2", "r1-a")

        self.run_start(replace, settled_s=EARLIER_REQUESTS_END_S)

    def test_an_entry_that_starts_with_the_plan_of_a_peer_keeps_to_a_cap_lowered_before(self):
        def replace(deployment, world):
            self.lower(deployment)
            self.end(world, "r1-a-2")
            node = world.start_entry("r1-a-2", "r1-a")
            # It acquires its seats, but loses the store before it reads the head row.
            world.store.mode_by_entry["lost"] = "silent"
            node.plans.store = world.store.client("lost")

        self.run_start(replace)

    def test_an_entry_counts_what_a_process_left_that_was_killed_before_the_cap_was_lowered(self):
        def test(deployment, world):
            self.fill_peer(world)
            self.end(world, PEER, planned=False)
            world.start_entry(PEER, "r1-a")
            eventlet.sleep(2)
            self.lower(deployment)
            deployment.load(10, "book", method="POST", limit_s=4.0, place="r1-a")
            eventlet.sleep(45)
            self.assertEqual(LOWERED, deployment.quota("book", "r1-a"))

        self.run_world(test, settings=LONG_DEADLINES)

    def test_an_entry_that_never_had_a_raised_cap_keeps_to_the_one_lowered_again(self):
        def test(deployment, world):
            self.lower(deployment, then_s=EARLIER_REQUESTS_END_S)
            world.store.mode_by_entry["r1-a-2"] = "silent"
            world.disconnected_pairs.update(
                frozenset(("r1-a-2", other)) for other in list(world.node_by_name)
            )
            eventlet.sleep(3)
            self.lower(deployment, CAP)
            self.fill_peer(world)
            self.lower(deployment, then_s=2.0)
            world.disconnected_pairs.clear()
            world.store.mode_by_entry.clear()
            deployment.load(10, "book", method="POST", limit_s=4.0, place="r1-a")
            eventlet.sleep(45)
            self.assertEqual(LOWERED, deployment.quota("book", "r1-a"))

        self.run_world(test, settings=LONG_DEADLINES)

    def run_soon_full(self, change, names=(PEER, "r1-a-2"), wait_s=1.0, quota=(2, 1)):
        """Check that entries have all their permits soon after they were started."""

        def test(deployment, world):
            change(deployment)
            for name in names:
                self.end(world, name)
            for name in names:
                world.start_entry(name, "r1-a")
            eventlet.sleep(wait_s)
            nodes = [world.node_by_name[name] for name in (PEER, "r1-a-2")]
            self.assertEqual(quota, tuple(node.dispatcher.quota("book") for node in nodes))

        self.run_world(test, settings=LONG_DEADLINES)

    def test_entries_that_start_long_after_a_cap_was_lowered_wait_for_nobody(self):
        self.run_soon_full(lambda deployment: self.lower(deployment, then_s=EARLIER_REQUESTS_END_S))

    def test_entries_that_start_after_a_change_without_lowered_caps_wait_for_nobody(self):
        def change(deployment):
            self.lower(deployment, then_s=EARLIER_REQUESTS_END_S + OPERATOR_CLOCK_ERROR_S)
            self.lower(deployment)

        self.run_soon_full(change)

    def test_an_entry_that_starts_is_told_when_requests_under_a_higher_cap_have_ended(self):
        def change(deployment):
            eventlet.sleep(EARLIER_REQUESTS_END_S)
            self.fill_peer(deployment.world, 5.0)
            self.lower(deployment)

        # The peer does not know the requests of a replaced process, so it waits.
        self.run_soon_full(change, ("r1-a-2",), 5.0, (0, 1))


class EarlierEntriesTest(unittest.TestCase):
    def find(self, times, known=0, window_s=36.0):
        head = None
        for number, at in enumerate(times):
            head = next_head(head, sha256(bytes([number])).hexdigest(), "ann", at)
        return [entry.version for entry in recently_replaced_plans(head, known, window_s)]

    def test_plans_count_that_were_replaced_lately(self):
        self.assertEqual([2, 3], self.find([0, 500, 1000, 1010]))
        self.assertEqual([3], self.find([0, 500, 1000, 1010], known=2))
        self.assertEqual([], self.find([1000]))

    def test_clocks_of_operators_may_differ(self):
        self.assertEqual([1, 2, 3], self.find([0, 1000, 5000, 1100]))
        self.assertEqual([1, 2], self.find([0, 1000 - OPERATOR_CLOCK_ERROR_S, 1010]))


if __name__ == "__main__":
    unittest.main()
