import unittest
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from attrs import asdict

from bench.baseline import DirectRoute
from bench.caller import Target, Verdict, Work
from bench.diagnosis import format_requests
from bench.figures import Figure, format_figures, quantile_ms
from bench.load import draw_arrivals, make_callers
from bench.sender import Lookups, SystemRoute, format_request, read_answer
from bench.session import make_stream

SPEC = {
    "demand_by_region": {"bne": 75, "tsv": 25},
    "streams": [make_stream("stockview", 50.0), make_stream("cutdesk", 20.0, "POST")],
    "callers": 40,
    "number": 0,
    "seconds": 20,
}


class ChunkedSocket:
    """Fake socket that returns its data in chunks of at most ``size`` bytes."""

    def __init__(self, data, size):
        self._data = data
        self._size = size

    def recv(self, _limit):
        part, self._data = self._data[: self._size], self._data[self._size :]
        return part


class FigureTest(unittest.TestCase):
    def test_ceiling(self):
        self.assertTrue(Figure("s", "n", 3.0, "ms", 3).is_met())
        missed = Figure("s", "n", 3.5, "ms", 3)
        self.assertFalse(missed.is_met())
        self.assertEqual(missed.result_text(), "MISSED by 0.5 ms")

    def test_floor(self):
        self.assertTrue(Figure("s", "n", 90, "%", 90, True).is_met())
        self.assertEqual(Figure("s", "n", 80, "%", 90, True).result_text(), "MISSED by 10 %")

    def test_figure_without_target_has_no_result(self):
        self.assertEqual(Figure("s", "n", 1.0, "ms").result_text(), "")

    def test_table_has_a_row_for_each_figure(self):
        lines = format_figures([Figure("s", "n", 1.0, "ms"), Figure("s", "m", 2.0, "ms")])
        self.assertEqual(len(lines.splitlines()), 4)

    def test_quantiles(self):
        values = range(1, 101)
        self.assertAlmostEqual(quantile_ms(values, 50), 50, delta=0.1)
        self.assertAlmostEqual(quantile_ms(values, 99), 99, delta=0.1)
        self.assertEqual(quantile_ms([], 99), 0.0)


class ArrivalTest(unittest.TestCase):
    def draw(self, seed):
        rng = Random(seed)
        return draw_arrivals(SPEC, make_callers(SPEC, rng), rng)

    def test_seed_fixes_arrivals(self):
        self.assertEqual(self.draw(1), self.draw(1))
        self.assertNotEqual(self.draw(1), self.draw(2))

    def test_rates(self):
        arrivals = self.draw(1)
        for index, expected in enumerate((1000, 400)):
            count = sum(arrival.stream == index for arrival in arrivals)
            # Five standard deviations of a Poisson count.
            self.assertAlmostEqual(count, expected, delta=5 * expected**0.5)

    def test_arrivals_are_ordered_and_callers_use_their_service(self):
        arrivals = self.draw(1)
        times = [arrival.at_s for arrival in arrivals]
        self.assertEqual(times, sorted(times))
        for arrival in arrivals:
            service = SPEC["streams"][arrival.stream]["service"]
            self.assertEqual(arrival.caller.service, service)


class AnswerTest(unittest.TestCase):
    ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nFigfold-Code: 0\r\n\r\nhello"

    def test_answer_in_chunks(self):
        for size in (1, 7, 1000):
            answer = read_answer(ChunkedSocket(self.ANSWER, size))
            self.assertEqual((answer.status, answer.body), (200, b"hello"))
            self.assertEqual(answer.getheader("Figfold-Code"), "0")

    def test_short_answer_is_no_answer(self):
        for end in range(len(self.ANSWER)):
            with self.assertRaises(ValueError):
                read_answer(ChunkedSocket(self.ANSWER[:end], 1000))

    def test_request(self):
        request = format_request("POST", "/echo/book", [("Idempotency-Key", "k")], b"body")
        self.assertTrue(request.endswith(b"\r\n\r\nbody"))
        self.assertIn(b"Content-Length: 4\r\n", request)


class BaselineTest(unittest.TestCase):
    def test_round_robin_at_each_place(self):
        groups = {"stockview/bne-north": [["s1", "a1"], ["s2", "a2"], ["s3", "a3"]]}
        route = DirectRoute(None, None, groups)
        names = [route._next_server("stockview/bne-north")[0] for _ in range(6)]
        self.assertEqual(names, ["s1", "s2", "s3"] * 2)


class AttemptTest(unittest.TestCase):
    """Attempts of one request: the nonces that answers are checked by, and the traces."""

    def refuse_all(self, work):
        """Send a request that two entries refuse; return the nonces and the result."""
        nonces = []

        def attempt(_route, _caller, _work, _target, _left_s, nonce, request_result):
            nonces.append(nonce)
            request_result.attempts += 1
            request_result.verdict, request_result.code = Verdict.NOT_RUN, 308
            return ()

        targets = (Target("a", "p"), Target("b", "p"))
        route = SystemRoute(SimpleNamespace(targets_by_caller={}), None, targets)
        with patch.object(SystemRoute, "_attempt", attempt):
            request_result = route.send(None, work, 0, "1-2")
        return nonces, request_result

    def test_a_booking_keeps_its_nonce_and_a_read_does_not(self):
        self.assertEqual(["1-2"] * 2, self.refuse_all(Work("s", "POST", "/", b"", "key"))[0])
        self.assertEqual(["1-2-0", "1-2-1"], self.refuse_all(Work("s", "GET", "/"))[0])

    def test_a_caller_gives_up_when_a_pause_would_outlast_its_time(self):
        def attempt(*arguments):
            arguments[-1].verdict = Verdict.UNREACHABLE
            return ()

        lookups = Lookups(None, None, Random(1), {"c": (Target("a", "p"),)})
        with (
            patch.object(SystemRoute, "_attempt", attempt),
            patch.object(Lookups, "renew", return_value=(Target("a", "p"),)),
            patch("bench.sender.eventlet.sleep") as sleep,
        ):
            SystemRoute(lookups, None).send("c", Work("s", "GET", "/"), 0.14, "1-2")
        sleep.assert_not_called()

    def test_a_report_lists_the_attempts_of_a_request(self):
        traces = [asdict(trace) for trace in self.refuse_all(Work("s", "GET", "/"))[1].traces]
        sample = {"at_s": 1.0, "stream": "s-short", "verdict": "not-run", "latency_ms": 2.0}
        section = format_requests("Refused", [sample | {"traces": traces}])
        self.assertEqual(2, section.count("not-run E308 DEADLINE_TOO_SHORT"))
        self.assertLess(section.index(" b not-run"), section.index(" a not-run"))
        section = format_requests("Refused", [sample | {"traces": traces * 5}])
        self.assertEqual((7, 1), (section.count("E308"), section.count("3 more")))


if __name__ == "__main__":
    unittest.main()
