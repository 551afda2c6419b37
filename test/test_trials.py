"""Trials of requests that were quarantined after crashes: their results and their crashes."""

import unittest
from unittest.mock import patch

import eventlet

from figfold.core.codes import Code
from figfold.core.crash_announcements import (
    ANNOUNCEMENT_BURST,
    ANNOUNCEMENT_INTERVAL_S,
    crash_announcement_recipients,
)
from figfold.core.pool import DispatchOutcome, PoolRequest
from figfold.core.quarantine import RECOVERY_S, TRIAL_PAUSE_S
from test.test_pool import end, make_pool
from test.virtual_connections import POISON
from test.virtual_deployment import ENTRIES, WorldTest

DUE_S = 1.0 + TRIAL_PAUSE_S
# One-way delay between regions, for messages of entries and for repeated requests of a caller.
REGION_DELAY_S = 0.055
# Each entry is in another place than the one before.
RESENT_TO = ("r1-a-1", "r2-a-1", "r1-b-1", "r1-a-2")


class TrialTest(unittest.TestCase):
    def setUp(self):
        self.pool = make_pool(3, 2, 6)
        self.submit("first", 0.0)
        for now_s in (0.0, 1.0):
            (dispatch,) = self.pool.next_dispatches(now_s)
            self.crash(dispatch, now_s)

    def crash(self, dispatch, now_s):
        end(self.pool, dispatch, now_s, DispatchOutcome.CRASHED, fresh_connection=True)

    def submit(self, request_id, now_s, fingerprint="held"):
        request = PoolRequest(request_id, "short", fingerprint, now_s + 9.0, True)
        return self.pool.submit(request, now_s)

    def start_others(self, now_s, count=3):
        for number in range(count):
            self.submit(f"{now_s}-{number}", now_s, f"other-{number}")
        return self.pool.next_dispatches(now_s)

    def assert_held_back(self, request_id, now_s):
        self.assertIs(Code.QUARANTINED, self.submit(request_id, now_s).err().code)

    def test_a_trial_runs_alone_and_clears_the_request(self):
        self.assert_held_back("early", DUE_S - 0.1)
        running = self.start_others(DUE_S)
        self.assertTrue(self.submit("trial", DUE_S).is_ok())
        self.assertEqual([], self.pool.next_dispatches(DUE_S))
        self.assert_held_back("second", DUE_S)
        for dispatch in running:
            end(self.pool, dispatch, DUE_S)
        (trial,) = self.pool.next_dispatches(DUE_S)
        self.assertTrue(trial.trial)
        self.assertNotIn(trial.server, {one.server for one in self.start_others(DUE_S + 1, 6)})
        end(self.pool, trial, DUE_S + 1)
        self.assertEqual({trial.server}, {d.server for d in self.pool.next_dispatches(DUE_S + 1)})
        self.assertTrue(self.submit("after", DUE_S + 1).is_ok())

    def test_pauses_between_failed_trials_grow(self):
        trials = []
        for now_s in range(int(DUE_S), 3600):
            if self.submit(f"r{now_s}", now_s).is_ok():
                trials.append(now_s)
                self.crash(*self.pool.next_dispatches(now_s), now_s)
        pauses = [later - earlier for earlier, later in zip(trials, trials[1:], strict=False)]
        self.assertGreaterEqual(pauses[0], 8 * TRIAL_PAUSE_S)
        self.assertTrue(all(pause >= 2 * pauses[0] for pause in pauses[1:]))

    def test_a_request_that_gets_no_idle_server_by_its_deadline_restarts_the_pause(self):
        self.start_others(DUE_S)
        self.submit("trial", DUE_S)
        self.assertEqual([], self.pool.next_dispatches(DUE_S))
        (refusal,) = self.pool.pop_refused(DUE_S + 9.0)
        self.assertEqual("trial", refusal.request_id)
        self.assert_held_back("next", DUE_S + 9.0)

    def test_a_trial_waits_until_a_server_may_have_recovered(self):
        for dispatch in self.start_others(DUE_S):
            self.crash(dispatch, DUE_S)
        self.assert_held_back("early", DUE_S + RECOVERY_S - 0.1)
        self.assertTrue(self.submit("trial", DUE_S + RECOVERY_S).is_ok())


class TrialDeploymentTest(WorldTest):
    def load_others(self, world, targets=1_000_000):
        """Send requests to every entry, each a new one or in turn one of ``targets``."""

        def run():
            number = 0
            while True:
                number += 1
                for name in ENTRIES:
                    world.spawn_send([], name, "read", target=f"/short/{number % targets}")
                eventlet.sleep(0.2)

        eventlet.spawn_n(run)
        eventlet.sleep(2)

    def send_again(self, world, seconds, target):
        for second in range(seconds):
            name = list(ENTRIES)[second % len(ENTRIES)]
            world.spawn_send([], name, "read", target=target)
            eventlet.sleep(1)

    def test_harmless_requests_are_served_soon_after_all_servers_have_recovered(self):
        def test(deployment, world):
            self.load_others(world)
            for server in world.server_by_name.values():
                server.fault = "reset_before"
            self.send_again(world, 60, "/rare")
            for server in world.server_by_name.values():
                server.fault = ""
            eventlet.sleep(40)  # The servers return from ejection within 30 s.
            for name in ENTRIES:
                self.assertTrue(world.send(name, "read", target="/rare").is_ok(), name)

        self.run_world(test)

    def test_quarantine_of_all_requests_lasts_no_longer_than_the_fault_of_the_servers(self):
        def test(deployment, world):
            self.load_others(world, targets=3)
            for server in world.server_by_name.values():
                server.fault = "reset_before"
            eventlet.sleep(60)
            for server in world.server_by_name.values():
                server.fault = ""
            eventlet.sleep(60 + TRIAL_PAUSE_S)
            for name in ENTRIES:
                for number in range(3):
                    self.assertTrue(world.send(name, "read", target=f"/short/{number}").is_ok())

        self.run_world(test)

    def test_a_request_that_crashes_servers_crashes_at_most_four(self):
        def test(deployment, world):
            self.load_others(world)
            self.send_again(world, 3, POISON)
            for _ in range(30):
                # The caller sends it to one entry after the other without a pause.
                for name in ENTRIES:
                    world.spawn_send([], name, "read", target=POISON)
                    eventlet.sleep(0.03)
                eventlet.sleep(10)
            crashes = sum(len(server.crashes) for server in world.server_by_name.values())
            self.assertLessEqual(crashes, 4)

        self.run_world(test)

    def count_crashes(self, service, method, pause_s):
        """Send a request that crashes servers to entries of several places; return the crashes."""
        counts = []

        def test(deployment, world):
            world.peer_delay_s = REGION_DELAY_S
            deployment.load(10, service, method=method)
            eventlet.sleep(3)
            for number, name in enumerate(RESENT_TO):
                key = f"poison-{number}" if method == "POST" else ""
                self.assertTrue(world.send(name, service, method, key, target=POISON).is_err())
                eventlet.sleep(pause_s + REGION_DELAY_S)
            counts.append(sum(len(server.crashes) for server in world.server_by_name.values()))

        self.run_world(test)
        return counts[0]

    def test_a_request_that_is_sent_again_to_other_places_at_once_crashes_two_servers(self):
        for service, method in (("read", "GET"), ("book", "POST")):
            for pause_s in (0.05, 0.2, 0.5):
                with self.subTest(service=service, pause_s=pause_s):
                    self.assertEqual(2, self.count_crashes(service, method, pause_s))

    def test_announcements_of_crashes_in_quick_succession_are_limited(self):
        def test(deployment, world):
            peers = world.node_by_name["r1-a-1"].peers
            with patch(
                "figfold.entry.peer_gossip.crash_announcement_recipients",
                side_effect=crash_announcement_recipients,
            ) as choose_recipients:
                for _ in range(200):
                    peers.announce_crash()
                    eventlet.sleep(0.05)
            most = ANNOUNCEMENT_BURST + 10 / ANNOUNCEMENT_INTERVAL_S
            self.assertTrue(
                ANNOUNCEMENT_BURST < choose_recipients.call_count <= most,
                choose_recipients.call_count,
            )

        self.run_world(test)


if __name__ == "__main__":
    unittest.main()
