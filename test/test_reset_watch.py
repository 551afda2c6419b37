"""Resets of connections by the network, and by a request that crashes its servers."""

import unittest

import eventlet

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration
from figfold.core.quarantine import CRASH_WINDOW_S
from figfold.core.traffic.reset_watch import RESET_WINDOW_S, ResetWatch

SERVERS = 8
REQUESTS = 6
# The pause between two requests keeps each crash by itself, as under little traffic.
PAUSE_S = CRASH_WINDOW_S + 0.2
BOOK = {"prefix": "/book/", "kind": "non_idempotent", "timeoutS": 3.0, "service": "rooms"}


class ResetWatchTest(unittest.TestCase):
    def test_resets_of_several_servers_at_the_same_time_are_the_networks(self):
        watch = ResetWatch()
        self.assertEqual(
            [watch.record(f"s{n}", 0.1 * n) for n in range(4)], [False, False] + [True] * 2
        )

    def test_resets_of_one_server_or_at_other_times_are_not(self):
        watch = ResetWatch()
        for number in range(6):
            self.assertFalse(watch.record("s0", 0.1 * number))
        for number in range(6):
            self.assertFalse(watch.record(f"s{number}", 10.0 + number * RESET_WINDOW_S))


class CrashingRequestTest(unittest.TestCase):
    # Without other traffic nothing confirmed the crashes: the request reached one more server each
    # time it came (BUDGET).
    def test_request_that_crashes_servers_is_stopped_without_other_traffic(self):
        servers = (ServiceServers("rooms", "p1", SERVERS),)
        deployment = PlatformDeployment({"p1": "r"}, servers, make_configuration(1, {"book": BOOK}))
        self.addCleanup(deployment.stop)
        entry = deployment.start_entry("front-1", "p1")
        deployment.set_fault("reset", count=SERVERS)
        statuses = []
        for number in range(REQUESTS):
            # The server of another object each time, as one that has crashed is not used at once.
            request_id, key = f"crash-{number}", str(number)
            statuses.append(entry.request(request_id, "POST", "/book/1", key)[0])
            eventlet.sleep(PAUSE_S)
        runs = sum(deployment.runs(f"crash-{number}") for number in range(REQUESTS))
        self.assertLessEqual(runs, 3, statuses)
        self.assertEqual(set(statuses[3:]), {503})


if __name__ == "__main__":
    unittest.main()
