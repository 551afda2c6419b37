"""Bodies of requests in progress at one server, which holds them in its memory."""

import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.traffic.selection import (
    SERVER_BODY_BYTES,
    SMALL_BODY_BYTES,
    SelectionRequest,
    ServerChoice,
)
from figfold.core.traffic.server_load import ServerLoad
from figfold.gateway.requests import CALLER_DISCONNECTED
from test.test_gateway_run import NOW_S, make_run
from test.test_traffic_selection import make_durations, make_selector

MB = 1 << 20


class ServerBodiesTest(unittest.TestCase):
    def setUp(self):
        self.selector = make_selector(3)
        self.attempts = 0

    def choose(self, body_bytes, key="k"):
        request = SelectionRequest("stock", key, body_bytes=body_bytes)
        choice = self.selector.choose(request, make_durations(), 0.0, lambda _server: False)
        return choice.server_id if choice is not None else None

    def start(self, server_id, body_bytes):
        self.attempts += 1
        load = self.selector.load_by_server[server_id]
        load.start(self.attempts, "k", 0.0, body_bytes)
        return load, self.attempts

    # All requests for an object went to the server that holds it warm, whatever their bodies took
    # up there together.
    def test_body_that_does_not_fit_beside_others_goes_to_another_server(self):
        home = self.choose(40 * MB)
        load, attempt = self.start(home, 40 * MB)
        self.assertNotEqual(self.choose(40 * MB), home)
        self.assertEqual(self.choose(20 * MB), home)
        self.assertEqual(self.choose(0), home)
        load.end(attempt)
        self.assertEqual(self.choose(40 * MB), home)

    def test_request_without_a_key_is_bounded_too(self):
        for _ in range(3):
            self.start(self.choose(40 * MB, key=""), 40 * MB)
        loads = self.selector.load_by_server.values()
        self.assertEqual([load.body_bytes for load in loads], [40 * MB] * 3)
        self.assertIsNone(self.choose(40 * MB, key=""))

    # It is refused like a request beyond the servers' limits, with a time to send it again.
    def test_body_that_fits_nowhere_waits(self):
        for _ in range(3):
            self.start(self.choose(40 * MB), 40 * MB)
        self.assertIsNone(self.choose(40 * MB))
        request = SelectionRequest("stock", "k", body_bytes=40 * MB)
        self.assertGreater(self.selector.limit_wait_s(request, 0.0), 0.0)
        request = SelectionRequest("stock", "k", body_bytes=1)
        self.assertEqual(self.selector.limit_wait_s(request, 0.0), 0.0)

    def test_body_that_is_larger_than_the_bound_goes_to_a_server_without_one(self):
        home = self.choose(2 * SERVER_BODY_BYTES)
        self.start(home, 2 * SERVER_BODY_BYTES)
        self.assertNotIn(self.choose(2 * SERVER_BODY_BYTES), (None, home))

    # Each entry would take all of the bound for itself.
    def test_entries_share_the_bound_but_for_small_bodies(self):
        self.selector.body_part = lambda _server_id: 0.01
        home = self.choose(1 * MB)
        self.start(home, SMALL_BODY_BYTES // 2)
        self.assertEqual(self.choose(SMALL_BODY_BYTES // 2), home)
        self.assertNotEqual(self.choose(1 * MB), home)

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 1000))))
    def test_ended_attempts_leave_no_bytes(self, steps):
        load, size_by_attempt = ServerLoad(3), {}
        for attempt, size in steps:
            if attempt in size_by_attempt:
                load.end(attempt)
                del size_by_attempt[attempt]
            else:
                load.start(attempt, "", 0.0, size)
                size_by_attempt[attempt] = size
            self.assertEqual(load.body_bytes, sum(size_by_attempt.values()))


class RequestBodiesTest(unittest.TestCase):
    # The choice went by bodies that the requests did not state.
    def test_request_states_its_body_and_counts_it_while_it_is_in_progress(self):
        run = make_run(ServerChoice("s1", "10.0.0.1:80", 0.2, 0.2, True))
        object.__setattr__(run.request, "body", bytes(7))
        load = ServerLoad(3)
        run.runner.selector.load_by_server = {"s1": load}
        run.runner.next_attempt_id.return_value = 1
        run.runner.settings.hedge_ratio = 0.0
        run.runner.cluster.servers_age_s.return_value = 0.0
        run.runner.cluster.operator_age_s.return_value = 0.0
        run.events.put(CALLER_DISCONNECTED)
        with (
            patch("figfold.gateway.request_run.now_s", lambda: NOW_S),
            patch("figfold.gateway.request_run.eventlet.spawn"),
        ):
            self.assertIs(run.execute().err().code, Code.CALLER_GONE)
        request = run.runner.selector.choose.call_args.args[0]
        self.assertEqual((request.body_bytes, load.body_bytes), (7, 7))


if __name__ == "__main__":
    unittest.main()
