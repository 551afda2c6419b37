"""Several entries, the store, backend servers and operators together, in virtual time."""

import json
import unittest

import eventlet

from figfold.core.codes import Code
from figfold.core.model import State
from test.virtual_connections import POISON
from test.virtual_deployment import CAP, ENTRIES, WorldTest

# One-way delay of messages between entries of different regions.
REGION_DELAY_S = 0.055
IN_FORCE_S = 5.0


class PromiseTest(WorldTest):
    def test_the_whole_path(self):
        def test(deployment, world):
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))
            lookup = world.node_by_name["r2-a-1"].router.look_up("read", "c1", "r1").ok()
            answer = world.send(lookup["entries"][0]["name"], "read").ok()
            self.assertEqual(200, answer.status)
            booked = world.send("r1-a-1", "book", "POST", key="k1").ok()
            eventlet.sleep(1)
            again = world.send("r1-a-2", "book", "POST", key="k1").ok()
            self.assertEqual(booked.body, again.body)
            self.assertEqual(1, world.runs_by_key["k1"])

        self.run_world(test)

    # Guarantees 6 and 7: leaving servers and entries.

    def check_leaving_server(self, leave):
        def test(deployment, world):
            deployment.load(100)
            eventlet.sleep(3)
            server = world.server_by_name["read-r1-a-1"]
            at = world.hub.now
            leave(world, server)
            eventlet.sleep(15)
            self.assertLessEqual(server.last_request_at_s, at + 3.0)
            self.assertEqual(0, server.in_progress)

        self.run_world(test)

    def test_a_leaving_server_on_the_list_gets_nothing_new(self):
        def leave(world, server):
            server.leaving = True
            world.publish_server(server)
            server.leaving = False

        self.check_leaving_server(leave)

    def test_a_leaving_server_that_the_list_does_not_show_gets_nothing_new(self):
        def leave(world, server):
            server.leaving = True

        self.check_leaving_server(leave)

    def test_an_entry_that_sees_no_sign_itself_learns_of_a_leaving_server_from_a_peer(self):
        def leave(world, server):
            world.store.mode_by_entry["r1-a-2"] = "silent"
            server.leaving = True
            world.publish_server(server)
            server.health = State.LIVE

        self.check_leaving_server(leave)

    def test_a_leaving_entry_leaves_the_look_ups_and_serves_on(self):
        def test(deployment, world):
            node = world.node_by_name["r1-a-1"]
            world.hub.run_as(world.process_by_name["r1-a-1"], node.leave)
            eventlet.sleep(3)
            for other in world.node_by_name.values():
                for caller in range(20):
                    entries = other.router.look_up("read", f"c{caller}", "r1").ok()["entries"]
                    self.assertNotIn("r1-a-1", [entry["name"] for entry in entries])
            self.assertTrue(world.send("r1-a-1", "read").is_ok())

        self.run_world(test)

    def test_a_stopping_entry_keeps_its_seats_while_an_attempt_still_runs_at_a_server(self):
        def test(deployment, world):
            node = world.node_by_name["r1-a-1"]
            process = world.process_by_name["r1-a-1"]
            for server in world.server_by_name.values():
                server.seconds = 3.0
            # The request times out at the entry a little before its run at the server ends.
            world.spawn_send([], "r1-a-1", "read", seconds=1.0)
            eventlet.sleep(0.9)
            world.hub.run_as(process, node.leave)
            world.hub.run_as(process, eventlet.spawn_n, node.finish, 10.0)
            eventlet.sleep(0.05)
            self.assertTrue(node.seats.book.usable_parts(0.0, world.hub.now))
            eventlet.sleep(3)
            self.assertFalse(node.seats.book.held_parts())

        self.run_world(test)

    def test_a_planned_stop_ends_in_time_although_the_store_is_silent(self):
        def test(deployment, world):
            node = world.node_by_name["r1-a-1"]
            # The outcome of this booking is not yet written when the store stops answering.
            self.assertTrue(world.send("r1-a-1", "book", "POST", "k1").is_ok())
            world.store.mode = "silent"
            started = world.hub.now
            world.hub.run_as(world.process_by_name["r1-a-1"], node.finish, 5.0)
            self.assertLessEqual(world.hub.now - started, 5.0)

        self.run_world(test)

    # Guarantee 8: plans.

    def watch_versions(self, deployment):
        """Check continuously that no process goes back to an older plan or is 5 s behind."""
        seen = {}

        def run():
            while True:
                for name, process in deployment.world.process_by_name.items():
                    version = deployment.world.node_by_name[name].plans.version
                    if version < seen.get(process, 0):
                        deployment.world.violations.append((deployment.hub.now, "reverted", name))
                    if version < deployment.version_before(IN_FORCE_S):
                        deployment.world.violations.append((deployment.hub.now, "behind", name))
                    seen[process] = version
                eventlet.sleep(0.1)

        eventlet.spawn_n(run)

    def test_every_change_is_in_force_within_five_seconds(self):
        def test(deployment, world):
            self.watch_versions(deployment)
            world.store.mode_by_entry.update({"r1-b-1": "slow", "r2-a-1": "silent"})
            for number in range(340):
                share = 1000 + number
                deployment.accept(
                    deployment.rows({"r1-a": share, "r1-b": 5000, "r2-a": 5000 - share})
                )
                eventlet.sleep(0.3)
            eventlet.sleep(5)
            versions = {node.plans.version for node in world.node_by_name.values()}
            self.assertEqual({341}, versions)

        self.run_world(test)

    def test_changes_of_shares_under_low_load_refuse_nothing(self):
        def test(deployment, world):
            world.peer_delay_s = REGION_DELAY_S
            reads = deployment.load(10, seconds=30)
            bookings = deployment.load(5, "book", 30, "POST", 4.0)
            for number in range(30):
                share = 1000 + number
                deployment.accept(
                    deployment.rows({"r1-a": share, "r1-b": 5000, "r2-a": 5000 - share})
                )
                # The command line first notifies the entry closest to the store.
                first = world.node_by_name["r1-a-1"].plans.refresh
                world.hub.run_as(world.process_by_name["r1-a-1"], eventlet.spawn_n, first)
                eventlet.sleep(1.1)
            eventlet.sleep(5)
            refused = [result for _, result in reads + bookings if result.is_err()]
            self.assertEqual([], refused)

        self.run_world(test)

    def test_an_entry_cut_from_the_store_learns_of_a_plan_from_its_peers(self):
        def test(deployment, world):
            world.store.mode_by_entry["r2-a-1"] = "silent"
            deployment.accept(deployment.rows({"r1-a": 2000, "r1-b": 4000, "r2-a": 4000}))
            eventlet.sleep(5)
            self.assertEqual(2, world.node_by_name["r2-a-1"].plans.version)

        self.run_world(test)

    def test_an_entry_restarted_in_an_outage_takes_the_plan_from_its_peers(self):
        def test(deployment, world):
            world.store.mode = "down"
            world.kill("r1-b-1")
            eventlet.sleep(2)
            node = world.start_entry("r1-b-1", "r1-b")
            eventlet.sleep(5)
            self.assertEqual(1, node.plans.version)

        self.run_world(test)

    def test_a_plan_handed_to_one_entry_is_in_force_although_the_store_is_lost(self):
        def test(deployment, world):
            world.store.mode = "down"
            deployment.accept(deployment.rows({"r1-a": 2000, "r1-b": 4000, "r2-a": 4000}))
            head, _, _ = world.store.row_by_name["plan/head"]
            body = world.store.object_by_name[f"plan-{deployment.head.digest}"]
            offer = json.dumps({"head": head.decode(), "body": body.decode()}).encode()
            for data in (b"", b"[]", b"{}", b'{"head": 1, "body": 2}', b"\xff", offer[:-9]):
                world.node_by_name["r2-a-1"].plans.accept_offer(data)
            self.assertEqual(1, world.node_by_name["r2-a-1"].plans.version)
            world.hub.run_as(
                world.process_by_name["r2-a-1"],
                world.node_by_name["r2-a-1"].plans.accept_offer,
                offer,
            )
            eventlet.sleep(5)
            versions = {node.plans.version for node in world.node_by_name.values()}
            self.assertEqual({2}, versions)

        self.run_world(test)

    def test_an_isolated_entry_stops_before_a_plan_it_cannot_know_is_in_force(self):
        def test(deployment, world):
            world.store.mode_by_entry["r2-a-1"] = "silent"
            for other in ENTRIES:
                world.disconnected_pairs.add(frozenset(("r2-a-1", other)))
            deployment.accept(
                deployment.rows({"r1-a": 5000, "r1-b": 5000, "r2-a": 0}, CAP, ("r2-a",))
            )
            eventlet.sleep(5)
            refusal = world.send("r2-a-1", "read").err()
            self.assertIs(Code.PLAN_UNCONFIRMED, refusal.failure.code)
            lookup = world.node_by_name["r2-a-1"].router.look_up("read", "c", "r1")
            self.assertIs(Code.PLAN_UNCONFIRMED, lookup.err().failure.code)

        self.run_world(test)

    # Guarantee 9: requests that crash servers.

    def check_poison(self, service, method):
        def test(deployment, world):
            deployment.load(10, service, method=method)
            # Its caller retries it several times, each time at another entry.
            for number, name in enumerate(("r1-a-1", "r1-a-2", "r2-a-1", "r1-b-1", "r1-a-1")):
                key = f"poison-{number}" if method == "POST" else ""
                world.spawn_send([], name, service, method, key, b"p", target=POISON)
                eventlet.sleep(3)
            crashes = [one for server in world.server_by_name.values() for one in server.crashes]
            self.assertEqual(2, len(crashes))

        self.run_world(test)

    def test_a_read_that_crashes_servers_stops_wherever_it_is_sent_again(self):
        self.check_poison("read", "GET")

    def test_a_booking_that_crashes_servers_stops_wherever_it_is_sent_again(self):
        self.check_poison("book", "POST")

    def test_a_popular_request_at_crashes_by_others_is_served_again_soon(self):
        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = 0.1
            deployment.load(25)
            eventlet.sleep(2)
            for name, body in (("r1-a-1", b"p1"), ("r1-a-2", b"p2"), ("r1-a-1", b"p3")):
                world.spawn_send([], name, "read", target=POISON, body=body)
            eventlet.sleep(5)
            self.assertTrue(world.send("r2-a-1", "read").is_ok())
            eventlet.sleep(40)
            for name in ENTRIES:
                self.assertTrue(world.send(name, "read").is_ok())

        self.run_world(test)

    # Guarantees 10 and 11: silent connections and store outages.

    def test_silent_connections_heal(self):
        def test(deployment, world):
            for _ in range(8):
                self.assertTrue(world.send("r1-a-1", "read").is_ok())
            for server in world.server_by_name.values():
                server.fault = "silent_old"
            results = [world.send("r1-a-1", "read") for _ in range(8)]
            self.assertTrue(all(result.is_ok() for result in results))

        self.run_world(test)

    def test_half_of_each_cap_outlives_an_hour_without_the_store(self):
        def test(deployment, world):
            world.store.mode = "down"
            eventlet.sleep(3600)
            self.assertGreaterEqual(deployment.quota("read", "r1-a"), CAP / 2)
            self.assertTrue(world.send("r1-a-1", "read").is_ok())
            refusal = world.send("r1-a-1", "book", "POST", "k1").err()
            self.assertIs(Code.STORE_UNREACHABLE, refusal.failure.code)
            world.store.mode = "up"
            eventlet.sleep(10)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))
            self.assertTrue(world.send("r1-a-1", "book", "POST", "k1").is_ok())

        self.run_world(test, {"r1-a-1": "r1-a", "r1-a-2": "r1-a"})

    def test_half_of_each_cap_is_usable_at_any_moment_of_an_hour_with_a_slow_store(self):
        def test(deployment, world):
            world.store.mode = "sluggish"
            reads = deployment.load(1, seconds=3600)
            bookings = deployment.load(0.1, "book", seconds=3600, method="POST", limit_s=4.0)
            quotas = []
            for _ in range(36_000):
                quotas += [deployment.quota(service, "r1-a") for service in ("read", "book")]
                eventlet.sleep(0.1)
            self.assertGreaterEqual(min(quotas), CAP / 2)
            self.assertGreaterEqual(sum(quotas) / len(quotas), 0.7 * CAP)
            self.assertTrue(all(result.is_ok() for _, result in reads))
            refusals = [result.err() for _, result in bookings if result.is_err()]
            self.assertEqual({Code.STORE_UNREACHABLE}, {one.failure.code for one in refusals})
            self.assertLess(len(refusals), len(bookings) / 2)
            world.store.mode = "up"
            eventlet.sleep(10)
            self.assertEqual(CAP, deployment.quota("read", "r1-a"))

        self.run_world(test, {"r1-a-1": "r1-a", "r1-a-2": "r1-a"})


if __name__ == "__main__":
    unittest.main()
