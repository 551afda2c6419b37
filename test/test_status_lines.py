"""Only a status line of the exact form makes an answer, for callers, the store and probes."""

import json
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket
from hypothesis import example, given
from hypothesis import strategies as st

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration
from figfold.core.codes import Code
from figfold.core.http_framing import StatusLine, parse_status_line
from figfold.core.model import State
from figfold.entry.answer_connection import LINE_LIMIT_BYTES
from figfold.entry.connections import Connections
from figfold.entry.probes import make_probe
from figfold.platform.http import StoreHttp
from figfold.ui.admin_client import request_entry

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 2.0
# Time limit for answers that never end.
SHORT_TIMEOUT_S = 0.1
BUFFER_BYTES = 64 * 1024
BODY = json.dumps({"state": "live"}).encode()
HEADERS = f"Content-Length: {len(BODY)}\r\n\r\n".encode()
# Statuses that are no answer.
BAD_STATUSES = (
    "000 0 00200 +200 2_00 -200 099 101 600 999 1000 20x 2 20 \u0662\u0660\u0660".split()
    + [" 200", "\t200", "200\t", ""]
)
GOOD_STATUSES = (200, 204, 404, 503, 599)
INTERIM_STATUSES = (100, 102, 103, 199)
BAD_LINES = (
    b"HTTP/1.1\t200 X",
    b"HTTP/1.1 200\x0bX",
    b" HTTP/1.1 200 X",
    b"HTTP/1.1  200 X",
    b"HTTP/1.10 200 X",
    b"HTTP/1.x 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/2 200 X",
    b"http/1.1 200 X",
    b"HTTP/1.1 200 X\x00",
    b"HTTP/1.1 200 X\rY",
    b"HTTP/1.1200 X",
    b"ICY 200 X",
    b"200 X",
    b"",
)


def head_of(status):
    """Return the head of an answer whose status line has the given status."""
    return f"HTTP/1.1 {status} X\r\n".encode() + HEADERS


class StatusLineTest(unittest.TestCase):
    def test_lines_of_the_exact_form(self):
        for line, expected in (
            (b"HTTP/1.1 200 OK\r\n", StatusLine("HTTP/1.1", 200, "OK")),
            (b"HTTP/1.0 404 Not Found\n", StatusLine("HTTP/1.0", 404, "Not Found")),
            (b"HTTP/1.1 200 \r\n", StatusLine("HTTP/1.1", 200, "")),
            (b"HTTP/1.1 200\r\n", StatusLine("HTTP/1.1", 200, "")),
            (b"HTTP/1.1 599 \xe9\t!\r\n", StatusLine("HTTP/1.1", 599, "\xe9\t!")),
            (b"HTTP/1.1 100 Continue\r\n", StatusLine("HTTP/1.1", 100, "Continue")),
        ):
            with self.subTest(line=line):
                self.assertEqual(parse_status_line(line), expected)

    def test_no_other_line_is_a_status_line(self):
        lines = [f"HTTP/1.1 {one} X".encode() for one in BAD_STATUSES]
        for line in (*lines, *BAD_LINES):
            with self.subTest(line=line):
                self.assertIsNone(parse_status_line(line + b"\r\n"))
        self.assertIsNone(parse_status_line(b"HTTP/1.1 200 OK"))

    @given(st.binary(max_size=12))
    @example(b"200 OK")
    @example(b" 200 OK")
    def test_status_is_three_digits_after_one_space(self, rest):
        line = parse_status_line(b"HTTP/1.1 " + rest + b"\r\n")
        if line is not None:
            self.assertEqual(rest[:3], str(line.status).encode())
            self.assertIn(rest[3:4], (b"", b" "))
            self.assertTrue(100 <= line.status <= 599 and line.status != 101)


class Server:
    """Answers each request with the same bytes, and counts connections that have ended.

    Attributes
    ----------
    closes : bool
        Whether the server ends each connection after its first answer.
    """

    def __init__(self, sent, closes=False):
        self.sent = sent
        self.closes = closes
        self.closed = 0
        self.listener = eventlet.listen((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.thread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        try:
            while sock.recv(65536):
                sock.sendall(self.sent)
                if self.closes:
                    break
        except OSError:
            # The client has reset the connection.
            pass
        finally:
            sock.close()
            self.closed += 1

    def stop(self):
        """Stop listening."""
        self.thread.kill()
        self.listener.close()


class ReadersTest(unittest.TestCase):
    """Each reader of HTTP answers against a server that writes the bytes of the test."""

    def setUp(self):
        patch = mock.patch("urllib3.util.connection.socket", socket)
        patch.start()
        self.addCleanup(patch.stop)

    def serve(self, sent):
        server = Server(sent)
        self.addCleanup(server.stop)
        return server

    def exchange(self, sent, method="GET", timeout_s=TIMEOUT_S):
        """Return the result of an exchange, and whether the client has closed its connection."""
        server = self.serve(sent)
        connections = Connections(TIMEOUT_S, BUFFER_BYTES)
        body = b"x" if method == "POST" else b""
        result = connections.exchange(server.address, (method, "/", (), body), timeout_s)
        eventlet.sleep(0.01)
        return result, server.closed == 1

    # +200, 00200, 2_00 and a status after two spaces passed as 200; 101, 600 and 999 reached the
    # caller as final answers.
    def test_other_statuses_are_no_answer_and_close_the_connection(self):
        for status in BAD_STATUSES:
            for method in ("GET", "POST"):
                with self.subTest(status=status, method=method):
                    result, is_closed = self.exchange(head_of(status) + BODY, method)
                    self.assertTrue(result.is_err(), result)
                    self.assertIs(result.err().code, Code.SERVER_BAD_ANSWER)
                    self.assertTrue(result.err().sent)
                    self.assertTrue(is_closed)

    def test_other_lines_are_no_answer(self):
        for line in BAD_LINES:
            with self.subTest(line=line):
                result, is_closed = self.exchange(line + b"\r\n" + HEADERS + BODY)
                self.assertTrue(result.is_err(), result)
                self.assertTrue(result.err().sent and is_closed)

    def test_final_statuses_are_passed_on(self):
        for status in GOOD_STATUSES:
            for method in ("GET", "POST"):
                with self.subTest(status=status, method=method):
                    body = b"" if status == 204 else BODY
                    head = b"HTTP/1.1 204 X\r\n\r\n" if status == 204 else head_of(status)
                    result, is_closed = self.exchange(head + body, method)
                    self.assertEqual(result.unwrap().status, status)
                    self.assertEqual(result.unwrap().body, body)
                    self.assertFalse(is_closed)

    # 102 to 199 were taken for the final answer, and the final one for that of the next request.
    def test_interim_answers_are_skipped(self):
        for status in INTERIM_STATUSES:
            for method in ("GET", "POST"):
                with self.subTest(status=status, method=method):
                    interim = f"HTTP/1.1 {status} X\r\nLink: a\r\n\r\n".encode()
                    result, is_closed = self.exchange(2 * interim + head_of(404) + BODY, method)
                    answer = result.unwrap()
                    self.assertEqual((answer.status, answer.body), (404, BODY))
                    self.assertNotIn("Link", dict(answer.headers))
                    self.assertFalse(is_closed)

    def test_interim_answer_alone_is_no_answer(self):
        for status in INTERIM_STATUSES:
            for rest in (b"\r\n", b"", HEADERS, head_of(101), head_of("+200")):
                with self.subTest(status=status, rest=rest):
                    sent = f"HTTP/1.1 {status} X\r\n".encode() + rest
                    result, is_closed = self.exchange(sent, timeout_s=SHORT_TIMEOUT_S)
                    self.assertTrue(result.is_err(), result)
                    self.assertTrue(result.err().sent and is_closed)

    def test_interim_answers_count_towards_the_limit_of_the_head(self):
        for status in INTERIM_STATUSES:
            with self.subTest(status=status):
                interim = f"HTTP/1.1 {status} X\r\nX-A: {'a' * 1000}\r\n\r\n".encode()
                result, _ = self.exchange(300 * interim + head_of(200) + BODY)
                self.assertIs(result.err().code, Code.SERVER_BAD_ANSWER)

    # The end of a line that is read in parts would pass for the end of the interim answer.
    def test_long_line_of_an_interim_answer_is_no_answer(self):
        for size in range(LINE_LIMIT_BYTES - 3, LINE_LIMIT_BYTES + 2):
            with self.subTest(size=size):
                interim = b"HTTP/1.1 103 X\r\n" + b"X-A: ".ljust(size, b"a") + b"\r\n"
                result, is_closed = self.exchange(interim + head_of(200) + BODY)
                self.assertTrue(result.is_err() and is_closed, result)
                result, _ = self.exchange(interim + b"\r\n" + head_of(404) + BODY)
                self.assertEqual(result.is_ok(), size + len(b"\r\n") <= LINE_LIMIT_BYTES)

    # A store behind a faulty proxy, and a probed server, were read like backend servers.
    def test_store_and_probes_read_status_lines_alike(self):
        for status in BAD_STATUSES:
            with self.subTest(status=status):
                address = self.serve(head_of(status) + BODY).address
                store = StoreHttp.from_config(f"http://{address}", 1, TIMEOUT_S, {})
                result = store.send("rows_get", "GET", "/x")
                self.assertTrue(result.is_err(), result)
                self.assertIs(result.err().code, Code.STORE_BAD_ANSWER)
                self.assertIsNone(make_probe()(address))
                self.assertTrue(request_entry(address, "GET", "/status").is_err())
        address = self.serve(b"HTTP/1.1 103 X\r\n\r\n" + head_of(200) + BODY).address
        store = StoreHttp.from_config(f"http://{address}", 1, TIMEOUT_S, {})
        self.assertEqual(store.send("rows_get", "GET", "/x").unwrap().status, 200)
        self.assertIs(make_probe()(address), State.LIVE)
        self.assertEqual(request_entry(address, "GET", "/status").unwrap(), {"state": "live"})


class CallersTest(unittest.TestCase):
    """What the caller of an entry gets when all servers answer with the same status line."""

    @classmethod
    def setUpClass(cls):
        servers = (ServiceServers("reads", "p1", 2), ServiceServers("books", "p1", 2))
        common = {"timeoutS": 1.0}
        routes = {
            "read": common | {"prefix": "/read/", "kind": "safe", "service": "reads"},
            "book": common | {"prefix": "/book/", "kind": "non_idempotent", "service": "books"},
        }
        cls.deployment = PlatformDeployment({"p1": "r"}, servers, make_configuration(1, routes))
        cls.entry = cls.deployment.start_entry("front-1", "p1")

    @classmethod
    def tearDownClass(cls):
        cls.deployment.stop()

    def request(self, status, method):
        """Return the status that the caller gets, and how often its request has run."""
        for endpoint in self.deployment.endpoint_by_id.values():
            endpoint.error_status = f"{status} X"
        self.number = getattr(self, "number", 0) + 1
        request_id = f"{method}-{status!a}-{self.number}"
        path = {"GET": "/read/1", "POST": "/book/1"}[method]
        found = self.entry.request(request_id, method, path, key=str(self.number))[0]
        return found, self.deployment.runs(request_id)

    def test_caller_gets_no_status_that_the_server_did_not_give(self):
        for status in BAD_STATUSES:
            if status.isascii():
                with self.subTest(status=status):
                    self.assertEqual(self.request(status, "GET")[0], 502)
                    self.assertEqual(self.request(status, "POST"), (502, 1))

    def test_caller_gets_final_statuses_and_those_after_interim_answers(self):
        for interim in ("", *(f"{one} X\r\n\r\nHTTP/1.1 " for one in INTERIM_STATUSES)):
            for status in GOOD_STATUSES:
                for method in ("GET", "POST"):
                    with self.subTest(interim=interim, status=status, method=method):
                        # A booking's 503 would tell the caller that it was not run.
                        expected = 502 if (status, method) == (503, "POST") else status
                        self.assertEqual(self.request(f"{interim}{status}", method)[0], expected)

    def test_interim_answer_without_a_final_one_ends_at_the_time_limit(self):
        for status in INTERIM_STATUSES:
            with self.subTest(status=status):
                self.assertEqual(self.request(status, "POST"), (504, 1))


if __name__ == "__main__":
    unittest.main()
