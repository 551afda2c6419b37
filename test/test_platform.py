import json
import socket
import threading
import time
import unittest
from collections import Counter
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.model import Instance, Role, State
from figfold.platform.answers import Answer, read_json
from figfold.platform.client import PlatformClient, Row, may_have_taken_effect
from figfold.platform.instances import Listing, read_instances
from test.support import start_standin

TIMEOUT_S = 0.5
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"


class PlatformClientTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = start_standin("platform", list_lag_ms=0)
        cls.addClassCleanup(cls.platform.stop)

    def setUp(self):
        self.counts = Counter()
        self.client = self.make_client(self.platform.ready["url"])
        self.addCleanup(self.set_faults, mode="up")

    def make_client(self, url, entry="e1", place="p1"):
        def count(code, operation):
            self.counts[(code, operation)] += 1

        client = PlatformClient.from_config(url, entry, place, TIMEOUT_S, 2, count)
        self.addCleanup(client.close)
        return client

    def set_faults(self, **fault):
        self.platform.control("POST", "/faults", fault)

    def assert_code(self, code, outcome):
        self.assertTrue(outcome.is_err(), outcome)
        self.assertEqual(code, outcome.unwrap_err().code, outcome)

    def test_writes_of_a_row_are_conditional(self):
        first = self.client.put_row("t", "a/b %", b"1", if_absent=True).unwrap()
        self.assert_code(Code.STORE_CONFLICT, self.client.put_row("t", "a/b %", b"2", None, True))
        second = self.client.put_row("t", "a/b %", b"2", if_match=first).unwrap()
        self.assert_code(Code.STORE_CONFLICT, self.client.put_row("t", "a/b %", b"3", first))
        row = self.client.get_row("t", "a/b %").unwrap()
        self.assertEqual((b"2", second), (row.value, row.etag))
        self.assertEqual(1, len(self.client.list_rows("t", "a/").unwrap()))
        self.assertEqual((), self.client.list_rows("t", "b").unwrap())
        self.assert_code(Code.STORE_CONFLICT, self.client.delete_row("t", "a/b %", first))
        self.assertTrue(self.client.delete_row("t", "a/b %", second).is_ok())
        self.assert_code(Code.STORE_MISSING, self.client.get_row("t", "a/b %"))
        self.assertEqual(1, self.counts[(Code.STORE_MISSING, "get_row")])
        self.assertEqual(2, self.counts[(Code.OK, "put_row")])

    def test_age_of_a_row_counts_from_its_first_read_and_restarts_with_each_write(self):
        first = self.client.put_row("t", "age", b"1", if_absent=True).unwrap()
        time.sleep(0.1)
        other = self.make_client(self.platform.ready["url"])
        self.assertEqual(0.0, other.get_row("t", "age").unwrap().age_s)
        self.assertGreaterEqual(self.client.get_row("t", "age").unwrap().age_s, 0.1)
        time.sleep(0.1)
        self.assertGreaterEqual(other.get_row("t", "age").unwrap().age_s, 0.1)
        self.assertLess(other.get_row("t", "age").unwrap().age_s, 5.0)
        self.client.put_row("t", "age", b"2", if_match=first).unwrap()
        self.assertEqual(0.0, other.get_row("t", "age").unwrap().age_s)

    def test_store_time_is_never_below_the_clock_of_the_store(self):
        self.assertIsNone(self.client.store_time_s())
        self.set_faults(mode="slow", delay_ms=200)
        started = time.monotonic()
        self.client.put_row("t", "clock", b"1", if_absent=True).unwrap()
        # The stand-in uses the steady clock of this machine.
        before_read = time.monotonic()
        reported = self.client.store_time_s()
        self.assertGreaterEqual(reported, before_read)
        self.assertLessEqual(reported, time.monotonic() + (before_read - started))

    def test_object_never_changes(self):
        self.assertTrue(self.client.put_object("o", b"1").is_ok())
        self.assertTrue(self.client.put_object("o", b"1").is_ok())
        self.assert_code(Code.STORE_CONFLICT, self.client.put_object("o", b"2"))
        self.assertEqual(b"1", self.client.get_object("o").unwrap())

    def test_instances_are_read_and_one_bad_item_invalidates_the_list(self):
        item = {"name": "s1", "role": "server", "place": "p1", "state": "leaving"}
        self.platform.control("PUT", "/instances", {"instances": [item]})
        expected = Instance("s1", Role.SERVER, "p1", State.LEAVING)
        self.assertEqual((expected,), self.client.list_instances().unwrap())
        self.platform.control("PUT", "/instances", {"instances": [item | {"place": 7}]})
        self.assert_code(Code.STORE_BAD_ANSWER, self.client.list_instances())

    def set_instance_state(self, state):
        item = {"name": "s1", "role": "server", "place": "p1", "state": state}
        self.platform.control("PUT", "/instances", {"instances": [item]})

    def test_unchanged_rows_and_lists_are_returned_themselves_and_changes_are_seen(self):
        tag = self.client.put_row("t", "c", b"1", if_absent=True).unwrap()
        self.set_instance_state("live")
        row, listing = self.client.get_row("t", "c").unwrap(), self.client.read_listing().unwrap()
        self.assertIs(row, self.client.get_row("t", "c", row).unwrap())
        self.assertIs(listing, self.client.read_listing(listing).unwrap())
        self.client.put_row("t", "c", b"2", if_match=tag).unwrap()
        self.set_instance_state("leaving")
        self.assertEqual(b"2", self.client.get_row("t", "c", row).unwrap().value)
        changed = self.client.read_listing(listing).unwrap()
        self.assertIs(State.LEAVING, changed.instances[0].state)
        self.assertNotEqual(listing.etag, changed.etag)

    def test_conditional_read_of_an_unchanged_row_transfers_no_value(self):
        self.client.put_row("t", "large", b"x" * 5000, if_absent=True).unwrap()
        row = self.client.get_row("t", "large").unwrap()
        sizes = []
        send = self.client._main_http.send

        def measured(*arguments, **options):
            answer = send(*arguments, **options)
            sizes.append(len(answer.unwrap().body))
            return answer

        with patch.object(type(self.client._main_http), "send", staticmethod(measured)):
            self.assertIs(row, self.client.get_row("t", "large", row).unwrap())
        self.assertEqual(1, len(sizes))
        self.assertLess(sizes[0], 200)

    def test_conditional_reads_fail_with_the_same_codes_as_others(self):
        self.client.put_row("t", "f", b"1", if_absent=True).unwrap()
        row, listing = self.client.get_row("t", "f").unwrap(), self.client.read_listing().unwrap()
        faults = {
            Code.STORE_TIMEOUT: ({"mode": "silent"}, {"mode": "slow", "delay_ms": 3000}),
            Code.STORE_ERROR: ({"mode": "down", "status": 503},),
        }
        for code, fault in ((code, one) for code, group in faults.items() for one in group):
            with self.subTest(**fault):
                self.set_faults(**fault)
                started = time.monotonic()
                self.assert_code(code, self.client.get_row("t", "f", row))
                self.assert_code(code, self.client.read_listing(listing))
                # One second is added to the two timeouts for a busy machine.
                self.assertLess(time.monotonic() - started, 2 * TIMEOUT_S + 1.0)
        self.set_faults(mode="garbage")
        for outcome in (self.client.get_row("t", "f", row), self.client.read_listing(listing)):
            self.assert_code(Code.STORE_BAD_ANSWER, outcome)
        self.set_faults(mode="up")
        self.assertIs(row, self.client.get_row("t", "f", row).unwrap())

    def test_lost_answer_leaves_the_outcome_unknown_and_the_write_in_effect(self):
        self.set_faults(mode="lose_answers", count=1)
        outcome = self.client.put_row("t", "lost", b"1", if_absent=True)
        self.assert_code(Code.STORE_TIMEOUT, outcome)
        self.assertTrue(may_have_taken_effect(outcome.unwrap_err()))
        self.assertEqual(b"1", self.client.get_row("t", "lost").unwrap().value)

    def test_silent_slow_and_closed_connections_time_out(self):
        for fault in ({"mode": "silent"}, {"mode": "slow", "delay_ms": 3000}, {"mode": "down"}):
            with self.subTest(**fault):
                self.set_faults(**fault)
                self.assert_code(Code.STORE_TIMEOUT, self.client.put_row("t", "r", b""))

    def test_status_503_is_a_store_error(self):
        self.set_faults(mode="down", status=503)
        self.assert_code(Code.STORE_ERROR, self.client.get_row("t", "r"))

    def test_fault_affects_only_the_named_entries(self):
        self.set_faults(mode="down", entries=["other"])
        self.assertTrue(self.client.put_row("t", "named", b"").is_ok())

    def test_connections_are_not_leaked_by_failures(self):
        for mode in ("garbage", "down", "silent"):
            self.set_faults(mode=mode, count=3)
            for _ in range(3):
                self.assertTrue(self.client.put_row("t", "leak", b"").is_err())
        self.assertTrue(self.client.put_row("t", "leak", b"").is_ok())

    def test_random_bytes_are_a_bad_answer(self):
        self.set_faults(mode="garbage")
        self.assert_code(Code.STORE_BAD_ANSWER, self.client.get_row("t", "r"))

    def test_refused_connection_means_that_nothing_was_sent(self):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            port = unused.getsockname()[1]
        outcome = self.make_client(f"http://127.0.0.1:{port}").put_row("t", "r", b"")
        self.assert_code(Code.STORE_UNREACHABLE, outcome)
        self.assertFalse(may_have_taken_effect(outcome.unwrap_err()))


class HostileAnswerTest(unittest.TestCase):
    """The client against a server that answers every request with given bytes."""

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.data = b""
        thread = threading.Thread(target=self.serve)
        thread.start()
        self.addCleanup(thread.join)
        # The shutdown makes the thread's accept() return.
        self.addCleanup(self.listener.close)
        self.addCleanup(self.listener.shutdown, socket.SHUT_RDWR)
        host, port = self.listener.getsockname()
        self.client = PlatformClient.from_config(f"http://{host}:{port}", "e", "p", TIMEOUT_S)
        self.addCleanup(self.client.close)

    def serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65536)
                connection.sendall(self.data)

    def answer_with(self, value):
        body = json.dumps(value).encode()
        self.data = HEAD % len(body) + body

    @settings(max_examples=60)
    @given(
        st.sampled_from([b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nETag: x\r\n\r\n"]),
        st.binary(max_size=300),
    )
    def test_no_bytes_raise_or_pass(self, start, rest):
        self.data = start + rest
        outcome = self.client.get_row("t", "r")
        self.assertTrue(outcome.is_err())

    def test_answer_must_hold_only_the_requested_row(self):
        item = {"table": "t", "part": "", "key": "r", "value": "MQ==", "ver": 3}
        stamp = {"ver": 5, "nowS": 1.5, "hasMore": False}
        self.answer_with(stamp | {"rows": [item]})
        self.assertEqual(b"1", self.client.get_row("t", "r").unwrap().value)
        for rows in ([item | {"key": "s"}], [item | {"table": "u"}], [item, item], [1], "x", None):
            with self.subTest(rows=rows):
                self.answer_with(stamp | {"rows": rows})
                code = self.client.get_row("t", "r").unwrap_err().code
                self.assertEqual(Code.STORE_BAD_ANSWER, code)

    def test_answers_without_version_or_time_are_bad(self):
        for stamp in (
            {"ver": 5},
            {"nowS": 1.0},
            {"ver": "5", "nowS": 1.0},
            {"ver": 5, "nowS": "1"},
        ):
            with self.subTest(stamp=stamp):
                self.answer_with(stamp | {"rows": []})
                for outcome in (
                    self.client.get_row("t", "r", Row("t", "r", b"1", "1")),
                    self.client.put_row("t", "r", b"", if_match="1"),
                    self.client.read_listing(Listing((), "")),
                ):
                    self.assertEqual(Code.STORE_BAD_ANSWER, outcome.unwrap_err().code)

    def test_truncated_body_times_out(self):
        self.data = HEAD % 9 + b"short"
        self.assertEqual(Code.STORE_TIMEOUT, self.client.get_row("t", "r").unwrap_err().code)


class ParsingTest(unittest.TestCase):
    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ["rows", "instances", "row", "name", "role", "place", "ver", "nowS"]
                ),
                inner,
                max_size=5,
            ),
        )
    )
    def test_any_json_gives_a_result(self, value):
        body = json.dumps(value).encode()
        items = value if isinstance(value, list) else [value]
        for outcome in (read_json(Answer(200, {}, body)), read_instances(items)):
            if outcome.is_err():
                self.assertEqual(Code.STORE_BAD_ANSWER, outcome.unwrap_err().code)


class StatusTest(unittest.TestCase):
    def test_status_determines_the_code(self):
        expected = {
            404: Code.STORE_MISSING,
            410: Code.STORE_HISTORY_LOST,
            412: Code.STORE_CONFLICT,
            429: Code.STORE_ERROR,
            503: Code.STORE_ERROR,
            304: Code.STORE_BAD_ANSWER,
            403: Code.STORE_BAD_ANSWER,
        }
        for status, code in expected.items():
            self.assertEqual(code, read_json(Answer(status, {}, b"{}")).unwrap_err().code)


if __name__ == "__main__":
    unittest.main()
