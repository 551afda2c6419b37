"""What the keepers of an entry do with readings that show no change, and with reports."""

import unittest
from random import Random
from types import SimpleNamespace

import eventlet
from result import Err

from figfold.core.budgets import PoolOptions
from figfold.core.codes import Code, Failure
from figfold.core.membership import TOLD_ELSEWHERE, Membership
from figfold.entry.clock import now_s
from figfold.entry.peer_keeper import REPORT_LIFE_S
from test.test_membership import SETTINGS, make_report
from test.virtual_deployment import WorldTest

SERVER = "read-r1-a-1"


class UnchangedReadingTest(WorldTest):
    def test_an_unchanged_list_counts_as_a_reading(self):
        def test(_deployment, world):
            servers = world.node_by_name["r1-a-1"].dispatcher.pool_by_service["read"].servers
            other = world.server_by_name["read-r1-a-2"]
            other.leaving = True
            world.publish_server(other)
            del world.store.instance_by_name[SERVER]
            eventlet.sleep(PoolOptions().leaving_grace_s - 2)
            self.assertIn(SERVER, servers.server_by_name)
            eventlet.sleep(5)
            # The missing server's grace time is over, and the other's sign of leaving is renewed.
            self.assertNotIn(SERVER, servers.server_by_name)
            self.assertLess(now_s() - servers.server_by_name[other.name].leaving_sign_s, 2.0)

        self.run_world(test)

    def test_the_body_of_an_unchanged_head_is_asked_for_again(self):
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

    def test_only_a_bad_answer_or_a_missing_row_is_followed_by_a_whole_read(self):
        def test(_deployment, world):
            codes = (
                Code.STORE_TIMEOUT,
                Code.STORE_ERROR,
                Code.STORE_BAD_ANSWER,
                Code.STORE_MISSING,
            )
            outcomes = iter(Err(Failure(code, "told")) for code in codes)
            asked = []

            def get_row(_table, _row, known=None):
                asked.append(known is not None)
                return next(outcomes)

            plans = world.node_by_name["r1-a-1"].plans
            plans.store = SimpleNamespace(get_row=get_row)
            for _ in codes:
                plans.refresh()
            self.assertEqual([True, True, True, False], asked)

        self.run_world(test)


class ReportTest(WorldTest):
    def test_one_digest_is_told_to_all_peers_of_a_moment(self):
        def test(_deployment, world):
            peers = world.node_by_name["r1-a-1"].peers
            asked = world.node_by_name["r2-a-1"].peers.own_report()
            digests = []
            for _ in range(3):
                digests.append(peers.own_report().known_entries)
                for _ in range(50):
                    self.assertIs(digests[-1], peers.handle(asked).known_entries)
                eventlet.sleep(REPORT_LIFE_S)
            self.assertEqual(3, len(set(digests)))

        self.run_world(test)

    def test_a_report_never_tells_a_fresher_confirmation_than_there_is(self):
        def test(_deployment, world):
            peers = world.node_by_name["r1-a-1"].peers
            asked = world.node_by_name["r2-a-1"].peers.own_report()
            for _ in range(60):
                told_s = peers.handle(asked).report.store_age_s
                late_s = told_s - peers.confirmation.store_age_s(now_s())
                self.assertGreaterEqual(late_s, 0)
                self.assertLessEqual(late_s, REPORT_LIFE_S + 1)
                eventlet.sleep(0.07)

        self.run_world(test)


class TellingTest(unittest.TestCase):
    def test_a_plan_is_told_to_mates_and_a_few_others_that_lack_it(self):
        membership = Membership.from_config(SETTINGS, make_report("own"))
        hear = membership.hear
        hear(make_report("mate"), 0.0)
        hear(make_report("knows", plan_version=7), 0.0)
        for number in range(40):
            hear(make_report(f"b{number}", "b", plan_version=7 if number < 30 else 6), 0.0)
        draw = Random(1).sample
        draws = [[one.name for one in membership.peers_to_tell(7, draw)] for _ in range(20)]
        self.assertEqual({1 + TOLD_ELSEWHERE}, {len(set(names)) for names in draws})
        self.assertEqual({"mate"}, {names[0] for names in draws})
        self.assertEqual({"mate", *(f"b{n}" for n in range(30, 40))}, {n for d in draws for n in d})


if __name__ == "__main__":
    unittest.main()
