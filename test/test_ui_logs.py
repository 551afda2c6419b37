"""The commands that read the logs of entries."""

import json
import unittest
from unittest import mock

from figfold.ui.log_analysis import read_events, summarize_refusals, trace_request
from figfold.ui.output import UserError

LINES = [
    "   1.250 entry-1 "
    + json.dumps({"time": 2.0, "entry": "e1", "event": "attempt", "id": "a", "service": "stock"}),
    json.dumps({"time": 1.0, "entry": "e1", "event": "started"}),
    json.dumps(
        {"time": 3.0, "entry": "e1", "event": "refused", "id": "a", "code": 312, "reason": "time"}
    ),
    json.dumps({"time": 4.0, "entry": "e2", "event": "answered", "id": "b", "status": 200}),
    "{cut off",
    "not a JSON line",
]


class LogCommandTest(unittest.TestCase):
    def test_lines_without_an_event_are_skipped(self):
        self.assertEqual(len(list(read_events(LINES))), 4)

    def test_trace_shows_the_events_of_a_request_in_order_of_time(self):
        report = trace_request(LINES, "a")
        self.assertEqual([one["event"] for one in report.value["events"]], ["attempt", "refused"])
        self.assertIn("reason=time", report.text)

    def test_unknown_request_is_an_error(self):
        with self.assertRaises(UserError):
            trace_request(LINES, "nobody")

    def test_refusals_are_counted_within_a_time_range(self):
        report = summarize_refusals(LINES, 0.0, 10.0)
        self.assertEqual(report.value["requests"], 2)
        self.assertEqual(report.value["refusals"][0]["service"], "stock")
        self.assertEqual(summarize_refusals(LINES, 3.5, 10.0).value["refusals"], [])

    def test_commands_read_standard_input(self):
        from figfold.ui.cli import run

        with mock.patch("sys.stdin", LINES), mock.patch("builtins.print") as printed:
            self.assertEqual(run(["trace", "a"]), 0)
            self.assertEqual(run(["refusals"]), 0)
            self.assertEqual(run(["refusals", "--from_s", "never"]), 3)
        self.assertTrue(printed.called)


class EventLogTest(unittest.TestCase):
    def test_log_drops_lines_instead_of_blocking_when_its_reader_stalls(self):
        import os

        from figfold.gateway.event_log import MAX_QUEUED_LINES, EventLog

        reader, writer = os.pipe()
        log = EventLog.from_config("e1", writer)
        for number in range(3 * MAX_QUEUED_LINES):
            log.put({"event": "attempt", "number": number, "filler": "x" * 50})
        log.flush()
        self.assertLessEqual(len(log.lines), MAX_QUEUED_LINES)
        self.assertGreater(log.total_dropped, 0)
        os.set_blocking(reader, False)
        text = b""
        log.put({"event": "full"})
        while log.lines:
            text += os.read(reader, 1 << 20)
            log.flush()
        log.put({"event": "next"})
        for _ in range(10):
            text += os.read(reader, 1 << 20)
            log.flush()
            if text.endswith(b'"}\n') and b'"next"' in text:
                break
        lines = [json.loads(line) for line in text.splitlines()]
        self.assertEqual(lines[-1]["event"], "next")
        reported = sum(line.get("dropped_before", 0) for line in lines)
        self.assertEqual(reported, log.total_dropped)


if __name__ == "__main__":
    unittest.main()
