"""How an entry handles reads from the store without a change, and the reports of its peers."""

import unittest
from random import Random
from types import SimpleNamespace

import eventlet
from result import Err

from figfold.core.budgets import PoolOptions
from figfold.core.codes import Code, Failure
from figfold.core.membership import REMOTE_NOTIFY_LIMIT, Membership
from figfold.entry.clock import now_s
from figfold.entry.peer_gossip import REPORT_CACHE_S
from test.test_membership import SETTINGS, make_report
from test.virtual_deployment import WorldTest

SERVER = "read-r1-a-1"


class UnchangedReadTest(WorldTest):
    def test_unchanged_instance_list_is_applied_again(self):
        def test(_deployment, world):
            servers = world.node_by_name["r1-a-1"].dispatcher.pool_by_service["read"].servers
            other = world.server_by_name["read-r1-a-2"]
            other.leaving = True
            world.publish_server(other)
            del world.store.instance_by_name[SERVER]
            eventlet.sleep(PoolOptions().leaving_grace_s - 2)
            self.assertIn(SERVER, servers.server_by_name)
            eventlet.sleep(5)
            # The grace time of the missing server is over; the other's sign of leaving is renewed.
            self.assertNotIn(SERVER, servers.server_by_name)
            self.assertLess(now_s() - servers.server_by_name[other.name].leaving_seen_s, 2.0)

        self.run_world(test)

    def test_missing_body_of_an_unchanged_head_is_fetched_again(self):
        def test(deployment, world):
            known = dict(world.store.object_by_name)
            deployment.accept(deployment.rows({"r1-a": 3000, "r1-b": 4000, "r2-a": 3000}))
            later = dict(world.store.object_by_name)
            world.store.object_by_name = known
            eventlet.sleep(3)
            self.assertEqual({1}, {node.plans.version for node in world.node_by_name.values()})
            world.store.object_by_name = later
            eventlet.sleep(3)
            self.assertEqual({2}, {node.plans.version for node in world.node_by_name.values()})

        self.run_world(test)

    def test_only_a_bad_answer_or_a_missing_row_makes_the_next_read_unconditional(self):
        def test(_deployment, world):
            codes = (
                Code.STORE_TIMEOUT,
                Code.STORE_ERROR,
                Code.STORE_BAD_ANSWER,
                Code.STORE_MISSING,
            )
            outcomes = iter(Err(Failure(code, "told")) for code in codes)
            conditional = []

            def get_row(_table, _row, known=None):
                conditional.append(known is not None)
                return next(outcomes)

            plans = world.node_by_name["r1-a-1"].plans
            plans.store = SimpleNamespace(get_row=get_row)
            for _ in codes:
                plans.refresh()
            self.assertEqual([True, True, True, False], conditional)

        self.run_world(test)


class ReportTest(WorldTest):
    def test_all_peers_get_the_same_digest_while_the_report_is_cached(self):
        def test(_deployment, world):
            peers = world.node_by_name["r1-a-1"].peers
            peer_report = world.node_by_name["r2-a-1"].peers.own_report()
            digests = []
            for _ in range(3):
                digests.append(peers.own_report().known_entries)
                for _ in range(50):
                    self.assertIs(digests[-1], peers.handle(peer_report).known_entries)
                eventlet.sleep(REPORT_CACHE_S)
            self.assertEqual(3, len(set(digests)))

        self.run_world(test)

    def test_report_never_understates_the_age_of_the_confirmation(self):
        def test(_deployment, world):
            peers = world.node_by_name["r1-a-1"].peers
            peer_report = world.node_by_name["r2-a-1"].peers.own_report()
            for _ in range(60):
                reported_s = peers.handle(peer_report).report.store_age_s
                excess_s = reported_s - peers.confirmation.store_age_s(now_s())
                self.assertGreaterEqual(excess_s, 0)
                self.assertLessEqual(excess_s, REPORT_CACHE_S + 1)
                eventlet.sleep(0.07)

        self.run_world(test)


class AnnouncementTest(unittest.TestCase):
    def test_plan_is_announced_to_own_place_and_a_few_other_entries_that_lack_it(self):
        membership = Membership.from_config(SETTINGS, make_report("own"))
        record_report = membership.record_report
        record_report(make_report("mate"), 0.0)
        record_report(make_report("knows", plan_version=7), 0.0)
        for number in range(40):
            record_report(make_report(f"b{number}", "b", plan_version=7 if number < 30 else 6), 0.0)
        draw = Random(1).sample
        draws = [[one.name for one in membership.peers_to_notify(7, draw)] for _ in range(20)]
        self.assertEqual({1 + REMOTE_NOTIFY_LIMIT}, {len(set(names)) for names in draws})
        self.assertEqual({"mate"}, {names[0] for names in draws})
        self.assertEqual({"mate", *(f"b{n}" for n in range(30, 40))}, {n for d in draws for n in d})


if __name__ == "__main__":
    unittest.main()
