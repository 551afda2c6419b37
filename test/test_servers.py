"""State and choice of backend servers: leaving, slow, ejected and starting ones."""

import unittest

from figfold.core.budgets import PoolOptions
from figfold.core.servers import DispatchOutcome, DispatchReport, Servers, ServerView

GRACE_S = PoolOptions().leaving_grace_s


def make_servers(*names, slots=2, **options):
    servers = Servers.from_config(PoolOptions(**options))
    servers.set_servers([ServerView(name) for name in names], 0.0)
    servers.set_slots(dict.fromkeys(names, slots))
    return servers


def choose(servers, now_s=0.0, tried=(), idempotent=True, is_suspect=False, queue_length=1):
    server = servers.choose(now_s, tried, idempotent, is_suspect, queue_length)
    return server.name if server else None


def report(outcome, duration_s=1.0, fresh=True):
    return DispatchReport(outcome, duration_s, fresh)


def run(servers, name, now_s=0.0, outcome=DispatchOutcome.OK, duration_s=1.0, fresh=True):
    server = servers.server_by_name[name]
    servers.record_start(server, False, now_s)
    servers.record_end(server, report(outcome, duration_s, fresh), 1.0, now_s)
    server.in_progress -= 1


class TestLeaving(unittest.TestCase):
    def test_any_report_of_leaving_stops_new_requests(self):
        servers = make_servers("a", "b")
        servers.mark_leaving("a", 1.0, first_hand=False)
        servers.set_servers([ServerView("a"), ServerView("b", leaving=True)], 2.0)
        self.assertIsNone(choose(servers, 2.0))

    def test_instance_list_alone_does_not_restore_a_leaving_server(self):
        servers = make_servers("a")
        servers.mark_leaving("a", 1.0, first_hand=True)
        for now_s in range(2, 500):
            servers.set_servers([ServerView("a")], float(now_s))
            self.assertIsNone(choose(servers, float(now_s)))

    def test_list_and_probes_restore_a_leaving_server_after_the_grace_time(self):
        servers = make_servers("a")
        servers.mark_leaving("a", 1.0, first_hand=True)
        servers.mark_live("a", GRACE_S)
        servers.set_servers([ServerView("a")], 1.0 + GRACE_S)
        self.assertIsNone(choose(servers, 1.0 + GRACE_S))
        servers.mark_live("a", 1.0 + GRACE_S)
        self.assertEqual(choose(servers, 1.0 + GRACE_S), "a")

    def test_repeated_reports_of_peers_do_not_restart_the_grace_time(self):
        servers = make_servers("a")
        for now_s in (1.0, 10.0, 25.0):
            servers.mark_leaving("a", now_s, first_hand=False)
        servers.mark_live("a", 1.0 + GRACE_S)
        self.assertEqual(choose(servers, 1.0 + GRACE_S), "a")

    def test_unlisted_server_gets_no_requests_but_an_empty_list_is_ignored(self):
        servers = make_servers("a", "b")
        servers.set_servers([], 1.0)
        self.assertIsNotNone(choose(servers, 1.0))
        servers.set_servers([ServerView("b")], 2.0)
        self.assertEqual(choose(servers, 2.0, tried=("b",)), "b")


class TestChoice(unittest.TestCase):
    def test_least_loaded_then_least_recently_used(self):
        servers = make_servers("a", "b")
        first = choose(servers)
        servers.record_start(servers.server_by_name[first], False, 0.0)
        self.assertNotEqual(choose(servers), first)

    def test_suspects_do_not_share_a_server(self):
        servers = make_servers("a")
        servers.record_start(servers.server_by_name["a"], True, 0.0)
        self.assertIsNone(choose(servers, is_suspect=True))
        self.assertEqual(choose(servers, is_suspect=False), "a")

    def test_slow_server_is_used_only_when_waiting_takes_longer(self):
        servers = make_servers("a", "b", slots=1)
        for _ in range(10):
            run(servers, "a", duration_s=10.0)
        self.assertTrue(servers.server_by_name["a"].is_slow)
        self.assertEqual(choose(servers), "b")
        servers.record_start(servers.server_by_name["b"], False, 0.0)
        self.assertIsNone(choose(servers, queue_length=1))
        self.assertEqual(choose(servers, queue_length=20), "a")

    def test_slow_server_is_probed_and_recovers(self):
        servers = make_servers("a", "b", probe_dispatches=1)
        for _ in range(10):
            run(servers, "a", duration_s=10.0)
        probes = 0
        for step in range(100):
            now_s = 0.1 * step
            name = choose(servers, now_s)
            probes += name == "a"
            run(servers, name, now_s)
            if not servers.server_by_name["a"].is_slow:
                break
        self.assertFalse(servers.server_by_name["a"].is_slow)
        self.assertIn(probes, range(1, 8))

    def test_one_outlier_does_not_make_a_server_slow(self):
        servers = make_servers("a", "b")
        run(servers, "a", duration_s=50.0)
        self.assertFalse(servers.server_by_name["a"].is_slow)

    def test_servers_that_are_all_equally_slow_do_not_count_as_slow(self):
        servers = make_servers("a", "b", "c")
        for _ in range(10):
            for name in "abc":
                run(servers, name, duration_s=10.0)
        self.assertFalse(all(s.is_slow for s in servers.server_by_name.values()))

    def test_new_server_starts_slowly(self):
        servers = make_servers("a", slots=4)
        servers.set_servers([ServerView("a"), ServerView("b")], 10.0)
        servers.set_slots({"a": 4, "b": 4})
        chosen = []
        for _ in range(4):
            chosen.append(choose(servers, 10.0))
            servers.record_start(servers.server_by_name[chosen[-1]], False, 10.0)
        self.assertEqual(chosen.count("b"), 1)
        self.assertEqual(choose(servers, 20.0), "b")


class TestEjection(unittest.TestCase):
    def test_failures_on_reused_connections_never_eject(self):
        servers = make_servers("a")
        for outcome in (DispatchOutcome.TIMED_OUT, DispatchOutcome.RESET) * 10:
            run(servers, "a", 0.0, outcome, fresh=False)
        self.assertEqual(choose(servers), "a")

    def test_failures_on_new_connections_eject_and_one_request_probes_afterwards(self):
        servers = make_servers("a")
        for _ in range(3):
            run(servers, "a", 0.0, DispatchOutcome.CONNECT_FAILED)
        self.assertIsNone(choose(servers, 1.9))
        self.assertEqual(servers.next_available_s(1.9), 2.0)
        self.assertEqual(choose(servers, 2.0), "a")
        servers.record_start(servers.server_by_name["a"], False, 2.0)
        self.assertIsNone(choose(servers, 2.0))
        failed = report(DispatchOutcome.TIMED_OUT, duration_s=10.0)
        servers.record_end(servers.server_by_name["a"], failed, 1.0, 2.0)
        servers.server_by_name["a"].in_progress -= 1
        self.assertIsNone(choose(servers, 5.9))
        run(servers, "a", 6.0)
        self.assertEqual(choose(servers, 6.0), "a")

    def test_a_short_time_out_is_no_failure(self):
        servers = make_servers("a")
        for _ in range(10):
            run(servers, "a", 0.0, DispatchOutcome.TIMED_OUT, duration_s=1.0)
        self.assertEqual(choose(servers), "a")

    def test_server_that_sheds_a_request_is_avoided_for_the_backoff_time(self):
        servers = make_servers("a")
        run(servers, "a", 0.0, DispatchOutcome.SHED)
        self.assertIsNone(choose(servers, 0.05))
        self.assertEqual(choose(servers, 0.1), "a")


if __name__ == "__main__":
    unittest.main()
