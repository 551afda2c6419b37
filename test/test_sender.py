"""What an answer of a backend server shows about the request that was sent."""

import unittest
from types import SimpleNamespace

from loguru import logger
from result import Ok

from figfold.core.traffic.fleet import Fleet
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.core.traffic.server_limits import ServerLimits
from figfold.entry.clock import use_clock
from figfold.entry.request_types import ServerAnswer
from figfold.gateway.sender import UNNAMED_REFUSALS_S, Sender
from test.test_traffic_fleet import make_record

CHOICE = SimpleNamespace(server_id="s1", address="10.0.0.1:80", started_ms=1)
REQUEST = SimpleNamespace(method="POST", target="/", headers=(), body=b"", request_id="r1")
OTHER_SERVER = ("Instance-Id", "s2")
SAME_SERVER = ("Instance-Id", "s1")
NOT_RUN = ("Not-Executed", "1")
NAMED = ("Attempt-Id", "r1")
OTHER_REQUEST = ("Attempt-Id", "r0")


class AnswersTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        self.now_s = 100.0
        use_clock(monotonic=lambda: self.now_s)
        self.addCleanup(use_clock)
        fleet = Fleet()
        fleet.apply_snapshot([make_record("s1")], 0.0, False, 1)
        self.is_fresh, self.asked_fresh, self.answer = True, [], None
        connections = SimpleNamespace(exchange=self.exchange, discard=lambda _address: None)
        self.sender = Sender(connections, fleet, ServerLimits("e"), lambda _server: 1.0, logger)

    def exchange(self, _address, _message, _timeout_s, fresh, _name):
        self.asked_fresh.append(fresh)
        status, headers = self.answer
        return Ok(ServerAnswer(status, headers, b"", "s1", is_fresh=self.is_fresh))

    def outcome(self, status, headers, is_fresh, is_repeatable=False):
        self.answer, self.is_fresh = (status, headers), is_fresh
        return self.sender.send(REQUEST, CHOICE, 1.0, "stock", is_repeatable).outcome

    # A booking ran at two servers after a refusal that belonged to no request (TWICE).
    def test_refusal_without_an_id_is_certain_for_a_booking_on_a_new_connection_only(self):
        for status, headers, expected in (
            (503, (NOT_RUN,), ("not-run", "failed")),
            (503, (NOT_RUN, NAMED), ("not-run", "not-run")),
            (503, (NOT_RUN, OTHER_REQUEST), ("failed", "failed")),
            (400, (NOT_RUN,), ("not-run", "failed")),
            (421, (), ("not-run", "failed")),
            (421, (SAME_SERVER,), ("not-run", "failed")),
            (421, (OTHER_SERVER,), ("not-run", "not-run")),
            (421, (OTHER_SERVER, OTHER_REQUEST), ("failed", "failed")),
            (421, (NAMED,), ("not-run", "not-run")),
            (421, (OTHER_REQUEST,), ("failed", "failed")),
            (503, (), ("failed", "failed")),
        ):
            with self.subTest(status=status, headers=headers):
                found = [self.outcome(status, headers, fresh).value for fresh in (True, False)]
                self.assertEqual(tuple(found), expected)

    def test_read_may_be_repeated_after_any_refusal(self):
        outcome = self.outcome(503, (NOT_RUN,), False, is_repeatable=True)
        self.assertIs(outcome, AttemptOutcome.NOT_RUN)

    def test_bookings_get_new_connections_to_a_service_that_refuses_without_an_id(self):
        for is_repeatable, after_s, expected in (
            (True, 0.0, False),
            (False, 0.0, True),
            (False, UNNAMED_REFUSALS_S, False),
        ):
            self.now_s = 100.0
            self.outcome(503, (NOT_RUN,), True, is_repeatable=True)
            self.now_s += after_s
            self.outcome(503, (NOT_RUN, NAMED), True, is_repeatable)
            self.assertEqual(self.asked_fresh[-1], expected, (is_repeatable, after_s))


if __name__ == "__main__":
    unittest.main()
