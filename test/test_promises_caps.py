"""Caps of places and regions through faults and shifts, in virtual time."""

import re
import unittest

import eventlet

from figfold.core.codes import Outcome
from test.false_loads import (
    falsify_reports,
    repeat_first_report,
    report_full,
    report_idle,
    report_no_load,
)
from test.virtual_deployment import CAP, ENTRIES, FIRST_REGION_ENTRIES, SETTINGS, SHARES, WorldTest

# Requests a second to each entry that keep two entries of a place at its cap.
SATURATING_PER_S = 1.2 * CAP / 0.05 / 2
SERVE_READS = SETTINGS + "[plan]\nunconfirmed_reads = serve\n"
# With these settings, requests may wait longer than the lease of a short part.
LONG_DEADLINES = re.sub(r"deadline_ms = \d+", "deadline_ms = 30000", SETTINGS)
LOW_CAP = 4  # Below the slots of the servers, so that only the cap limits requests.
OVERLOAD_RUN_S = 0.2  # Duration of a request with which the load below exceeds the cap.


class CapPromiseTest(WorldTest):
    def sample_use(self, deployment, service, place, seconds):
        """Return the mean number of requests in progress at a place."""
        samples = []
        for _ in range(int(seconds * 20)):
            samples.append(deployment.world.place_in_progress[service, place])
            eventlet.sleep(0.05)
        return sum(samples) / len(samples)

    # Guarantee 1: caps.

    def test_twice_the_load_fills_the_cap_and_never_passes_it(self):
        def test(deployment, world):
            deployment.load(2 * CAP / 0.05 / 2)
            eventlet.sleep(2)
            used = self.sample_use(deployment, "read", "r1-a", 5)
            self.assertGreaterEqual(used, 0.9 * CAP)

        self.run_world(test)

    def test_a_frozen_holder_uses_no_lapsed_permit(self):
        def test(deployment, world):
            deployment.load(SATURATING_PER_S, place="r1-a")
            eventlet.sleep(2)
            for server in world.server_by_name.values():
                server.seconds = 1.9
            world.freeze("r1-a-1", 30)
            eventlet.sleep(60)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))

        self.run_world(test)

    def test_requests_that_reach_a_resumed_entry_first_use_no_lapsed_permit(self):
        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = 1.0
            world.freeze("r1-a-1", 30)
            eventlet.sleep(25)
            # The other entry of the place uses the lapsed short part besides its own two.
            self.assertEqual(4, world.node_by_name["r1-a-2"].dispatcher.quota("read"))
            for _ in range(CAP):
                world.spawn_send([], "r1-a-2", "read")
            eventlet.sleep(0.1)
            # The resumed process reads its sockets before its timers, so no lease was checked yet.
            world.hub.resume(world.process_by_name["r1-a-1"])
            for _ in range(CAP):
                world.spawn_send([], "r1-a-1", "read")
            eventlet.sleep(10)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))

        self.run_world(test, settings=SERVE_READS)

    def test_an_entry_cut_from_store_and_peer_uses_no_lapsed_permit(self):
        def test(deployment, world):
            deployment.load(SATURATING_PER_S, place="r1-a")
            for server in world.server_by_name.values():
                server.seconds = 0.3
            world.store.mode_by_entry["r1-a-1"] = "silent"
            world.disconnected_pairs.add(frozenset(("r1-a-1", "r1-a-2")))
            eventlet.sleep(30)
            # Other places still confirm the plan, so only the lapsed lease can stop the entry.
            self.assertTrue(world.node_by_name["r1-a-1"].router.is_confirmed())

        self.run_world(test)

    def run_lowered_cap(self, stop):
        """Lower the cap while ``stop`` keeps ``r1-a-1``, which has queued requests, uninformed."""

        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = 0.4
            # All places are full, so no request is forwarded.
            deployment.load(60, seconds=8, limit_s=25.0)
            eventlet.sleep(2)
            pool = world.node_by_name["r1-a-1"].dispatcher.pool_by_service["read"]
            self.assertGreater(pool.load(world.hub.now).queued, 8 * CAP)
            stop(world)
            deployment.accept(deployment.rows({"r1-a": 2000, "r1-b": 4000, "r2-a": 4000}, CAP // 2))
            eventlet.sleep(9)
            world.disconnected_pairs.clear()
            world.store.mode_by_entry.clear()
            eventlet.sleep(5)
            self.assertEqual(CAP // 2, deployment.quota("read", "r1-a"))
            # Waiting for a confirmed plan must not count as a failure of a backend server.
            self.assertEqual(0, pool.counters["ended.connect_failed"])

        self.run_world(test, settings=LONG_DEADLINES)

    def test_requests_queued_at_a_frozen_entry_keep_to_a_cap_lowered_meanwhile(self):
        # The freeze is shorter than the leases, so the permits do not end with them.
        self.run_lowered_cap(lambda world: world.freeze("r1-a-1", 6.5))

    def test_requests_queued_at_an_isolated_entry_keep_to_a_cap_lowered_meanwhile(self):
        def isolate(world):
            world.store.mode_by_entry["r1-a-1"] = "silent"
            world.disconnected_pairs.update(frozenset(("r1-a-1", other)) for other in ENTRIES)

        self.run_lowered_cap(isolate)

    def test_an_attempt_decided_before_a_freeze_keeps_to_a_cap_lowered_meanwhile(self):
        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = 0.4
            for _ in range(CAP // 2):
                world.spawn_send([], "r1-a-1", "read", seconds=25.0)
            eventlet.sleep(0)
            # The pool has chosen servers, but no attempt has been sent.
            self.assertEqual(0, world.place_in_progress["read", "r1-a"])
            world.freeze("r1-a-1", 6.5)
            deployment.accept(deployment.rows({"r1-a": 2000, "r1-b": 4000, "r2-a": 4000}, 1))
            eventlet.sleep(8)
            pool = world.node_by_name["r1-a-1"].dispatcher.pool_by_service["read"]
            # Withheld attempts must not count as failures of backend servers.
            self.assertGreater(pool.counters["ended.withheld"], 0)
            self.assertEqual(0, pool.counters["ended.connect_failed"])

        self.run_world(test, settings=LONG_DEADLINES)

    def run_lowered_under_load(self, fail=lambda deployment: None, seconds=70):
        """Lower the cap to the number of requests in progress at one entry, then call ``fail``."""

        def test(deployment, world):
            servers = [s for s in world.server_by_name.values() if s.service == "book"]
            for server in servers:
                server.seconds = 28.0
            for number in range(CAP):
                world.spawn_send([], "r1-a-1", "book", "POST", f"k{number}", seconds=29.0)
            eventlet.sleep(0.1)
            self.assertEqual(CAP // 2, world.place_in_progress["book", "r1-a"])
            for server in servers:
                server.seconds = 0.1
            cap = CAP // 2
            deployment.accept(deployment.rows({"r1-a": 2000, "r1-b": 4000, "r2-a": 4000}, cap))
            results = deployment.load(10, "book", method="POST", limit_s=4.0, place="r1-a")
            eventlet.sleep(2)
            fail(deployment)
            eventlet.sleep(seconds - 15)
            world.disconnected_pairs.clear()
            eventlet.sleep(15)
            self.assertEqual(cap, deployment.quota("book", "r1-a"))
            self.assertTrue(results[-1][1].is_ok())

        self.run_world(test, settings=LONG_DEADLINES)

    def test_halving_all_caps_under_a_bearable_load_refuses_nothing(self):
        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = 0.1
            results = deployment.load(12, seconds=7)
            eventlet.sleep(3)
            deployment.accept(deployment.rows(SHARES, CAP // 2))
            eventlet.sleep(7)
            self.assertEqual([], [result for _, result in results if result.is_err()])

        self.run_world(test)

    def test_new_requests_wait_for_those_under_a_higher_cap(self):
        # The entries notify each other when those have ended, before their deadlines.
        self.run_lowered_under_load(seconds=27)

    def test_new_requests_wait_for_those_of_a_killed_entry_under_a_higher_cap(self):
        def replace(deployment):
            deployment.world.kill("r1-a-1")
            eventlet.sleep(1)
            deployment.world.start_entry("r1-a-1", "r1-a")

        self.run_lowered_under_load(replace)

    def test_new_requests_wait_for_those_of_a_silent_entry_under_a_higher_cap(self):
        def disconnect(deployment):
            deployment.world.disconnected_pairs.add(frozenset(("r1-a-1", "r1-a-2")))

        self.run_lowered_under_load(disconnect)

    def test_entries_of_a_place_cut_from_each_other_keep_to_the_cap(self):
        def test(deployment, world):
            deployment.load(SATURATING_PER_S, place="r1-a")
            world.disconnected_pairs.add(frozenset(("r1-a-1", "r1-a-2")))
            eventlet.sleep(40)
            world.disconnected_pairs.clear()
            eventlet.sleep(20)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))

        self.run_world(test)

    def test_a_killed_entry_is_replaced_within_the_cap(self):
        def test(deployment, world):
            deployment.load(SATURATING_PER_S, place="r1-a")
            deployment.load(10, "book", method="POST", limit_s=4.0, place="r1-a")
            for server in world.server_by_name.values():
                server.seconds = 3.5 if server.service == "book" else 1.5
            eventlet.sleep(4)
            # Its bookings run for longer than its successor needs to acquire its seats.
            self.assertEqual(CAP, world.place_in_progress["book", "r1-a"])
            world.kill("r1-a-1")
            eventlet.sleep(1)
            world.start_entry("r1-a-1", "r1-a")
            eventlet.sleep(15)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))

        self.run_world(test)

    def test_parts_that_a_dead_entry_held_for_its_peer_are_free_after_its_restart(self):
        def test(deployment, world):
            deployment.load(SATURATING_PER_S, place="r1-a")
            for server in world.server_by_name.values():
                server.seconds = 0.3
            world.hub.run_as(
                world.process_by_name["r1-a-1"], world.node_by_name["r1-a-1"].finish, 1.0
            )
            world.kill("r1-a-1")
            eventlet.sleep(10)
            # The other entry holds all parts now; it is killed and both are started again.
            world.kill("r1-a-2")
            world.store.mode = "down"
            world.start_entry("r1-a-1", "r1-a")
            world.start_entry("r1-a-2", "r1-a")
            # They discover each other before the first of them can read a seat.
            eventlet.sleep(6)
            world.store.mode = "up"
            eventlet.sleep(30)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))

        self.run_world(test)

    def test_parts_of_a_dead_entry_are_kept_while_its_requests_may_run(self):
        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = 28.0
            for entry in ("r1-a-1", "r1-a-2"):
                for number in range(CAP):
                    key = f"{entry}-{number}"
                    world.spawn_send([], entry, "book", "POST", key, seconds=30.0)
            eventlet.sleep(0.1)
            self.assertEqual(CAP, world.place_in_progress["book", "r1-a"])
            world.kill("r1-a-2")
            eventlet.sleep(14)
            other_entry = world.node_by_name["r1-a-1"]
            self.assertIn(
                "r1-a.1.short", {part.row for part in other_entry.seats.book.held_parts()}
            )
            # Its successor at another address prefers this part and would use it if it were free.
            world.start_entry("r1-a-3", "r1-a")
            deployment.load(5, "book", method="POST", limit_s=30.0, place="r1-a")
            eventlet.sleep(40)
            self.assertEqual(4, deployment.quota("book", "r1-a"))

        self.run_world(test, settings=LONG_DEADLINES)

    def test_parts_are_given_up_only_when_what_is_in_progress_fits_the_rest(self):
        def test(deployment, world):
            deployment.load(10, "book", method="POST", limit_s=4.0)
            for server in world.server_by_name.values():
                server.seconds = 3.9
            eventlet.sleep(4)
            world.start_entry("r1-a-2", "r1-a")
            eventlet.sleep(20)
            self.assertEqual(CAP, deployment.quota("book", "r1-a"))

        self.run_world(test, {"r1-a-1": "r1-a"})

    def test_shifts_during_store_faults_keep_to_the_caps(self):
        def test(deployment, world):
            deployment.load(SATURATING_PER_S)
            for mode, cap in (("lossy", 4), ("down", 6), ("late", 3), ("slow", 6), ("silent", 5)):
                world.store.mode = mode
                deployment.accept(deployment.rows({"r1-a": 2000, "r1-b": 4000, "r2-a": 4000}, cap))
                eventlet.sleep(3)
                world.store.mode = "up"
                deployment.accept(deployment.rows({"r1-a": 6000, "r1-b": 2000, "r2-a": 2000}, cap))
                eventlet.sleep(12)

        self.run_world(test)

    # Guarantee 2: loss of a region.

    def test_a_lost_region_spills_into_room_only(self):
        def test(deployment, world):
            results = deployment.load(60)
            eventlet.sleep(3)
            world.kill("r2-a-1")
            world.kill("r2-a-2")
            eventlet.sleep(3.5)
            lookup = world.node_by_name["r1-a-1"].router.look_up("read", "c9", "r2").ok()
            self.assertNotEqual("r2-a", lookup["place"])
            results.clear()
            eventlet.sleep(5)
            refused = [result.err() for _, result in results if result.is_err()]
            self.assertTrue(all(one.outcome is Outcome.NOT_RUN for one in refused))
            self.assertTrue(any(result.is_ok() for _, result in results))

        self.run_world(test)

    def test_an_old_look_up_names_an_entry_that_outlives_the_region(self):
        def test(deployment, world):
            deployment.load(60)
            eventlet.sleep(3)
            router = world.node_by_name["r2-a-1"].router
            named = router.look_up("read", "c9", "r1").ok()["entries"]
            for name in FIRST_REGION_ENTRIES:
                world.kill(name)
            left = [entry["name"] for entry in named if entry["name"] in world.node_by_name]
            self.assertTrue(left, named)
            self.assertTrue(world.send(left[0], "read").is_ok())

        self.run_world(test)

    def check_false_loads(self, change, liars, rate_by_place):
        """Check caps, answers and utilisation while some entries report false loads."""

        def test(deployment, world):
            deployment.accept(deployment.rows(dict.fromkeys(rate_by_place, 3000), LOW_CAP))
            for server in world.server_by_name.values():
                server.seconds = OVERLOAD_RUN_S
            for name in liars:
                falsify_reports(world.node_by_name[name].peers, change)
            loads = [deployment.load(2, "book", 15, method="POST", limit_s=4.0)]
            for place, rate_per_s in rate_by_place.items():
                loads.append(deployment.load(rate_per_s, seconds=15, place=place))
            # False reports delay the use of the lowered cap until older requests have ended.
            eventlet.sleep(11)
            used = self.sample_use(deployment, "read", "r1-a", 4)
            self.assertGreaterEqual(used, 0.9 * LOW_CAP)
            eventlet.sleep(5)
            results = [result for load in loads for _, result in load]
            self.assertEqual(sum(world.sends_by_key.values()), len(results))
            for answer in [result.ok() for result in results if result.is_ok()]:
                # Any other answer is a refusal, which is checked against the runs.
                refused = ("Figfold-Outcome", "not-run") in answer.headers
                self.assertEqual(503 if refused else 200, answer.status)

        self.run_world(test)

    def test_false_loads_of_all_entries_push_no_place_above_its_cap(self):
        for change in (report_idle, report_full, report_no_load, repeat_first_report()):
            self.check_false_loads(change, ENTRIES, {"r1-a": 20, "r1-b": 20, "r2-a": 20})

    def test_false_loads_of_the_neighbour_of_a_full_place_push_none_above_its_cap(self):
        for change in (report_idle, report_full, report_no_load, repeat_first_report()):
            liars = ("r1-b-1", "r1-b-2")
            self.check_false_loads(change, liars, {"r1-a": 20, "r1-b": 8, "r2-a": 2})


if __name__ == "__main__":
    unittest.main()
