"""Answers that HTTP does not allow are no answers, for callers, the store, probes and commands."""

import json
import unittest
from collections import Counter
from unittest import mock

import eventlet
from eventlet.green import socket

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration
from figfold.core.codes import Code
from figfold.entry.connections import Connections
from figfold.entry.probes import make_probe
from figfold.platform.http import StoreHttp
from figfold.ui.admin_client import request_entry
from figfold.ui.platform_status import fetch_metrics
from standins.broken_answers import (
    make_bad_chunks,
    make_bad_framing,
    make_bad_lines,
    make_bad_trailers,
    make_cut_chunks,
    make_cut_lengths,
    make_sound_answers,
    pick_answer,
)
from test.test_status_lines import Server

# Limit for an answer. One that is broken is refused as soon as its broken part has come.
TIMEOUT_S = 1.0
# How often, and how long each time, a server is given to see that its connection has ended.
CLOSE_CHECKS = 20
CLOSE_CHECK_S = 0.002
BUFFER_BYTES = 64 * 1024
FIELDS = [b"Attempt-Id: r1", b"Response-Seal: seal-1", b"Instance-Load: 1,0,3,100"]
# A part without some of the line feeds is a JSON document as well.
BODY = json.dumps({"state": "live", "text": "0123456789 " * 4}).encode() + b"\n" * 20
METRICS_BODY = (b"figfold_requests_total 7\n" * 4)[: len(BODY)]
# Callers get one of so many answers.
CALLERS_STEP = 5
BROKEN_CODES = (Code.SERVER_BAD_ANSWER, Code.SERVER_SHORT_ANSWER)


class ReadersTest(unittest.TestCase):
    """Each reader of HTTP answers against a server that sends the bytes of the test."""

    def setUp(self):
        patch = mock.patch("urllib3.util.connection.socket", socket)
        patch.start()
        self.addCleanup(patch.stop)
        self.connections = Connections(TIMEOUT_S, BUFFER_BYTES)

    def exchange(self, server, method):
        """Return the result of an exchange, and whether its connection was left open."""
        body = b"x" if method == "POST" else b""
        request = (method, "/", (), body)
        result = self.connections.exchange(server.address, request, TIMEOUT_S)
        for _ in range(CLOSE_CHECKS):
            eventlet.sleep(CLOSE_CHECK_S)
            if server.closed:
                return result, False
        return result, True

    def check_refused(self, answers):
        """Check that no exchange takes one of the answers, and that its connection is closed."""
        for answer in answers:
            for method in ("GET", "POST"):
                with self.subTest(answer=answer, method=method):
                    server = Server(answer.content, answer.closes)
                    try:
                        result, is_open = self.exchange(server, method)
                        self.assertTrue(result.is_err(), result)
                        self.assertIn(result.err().code, BROKEN_CODES)
                        self.assertTrue(result.err().sent)
                        self.assertFalse(is_open)
                    finally:
                        server.stop()

    def check_refused_elsewhere(self, make_answers):
        """Check that the store's client, probes and commands take none of the answers.

        Parameters
        ----------
        make_answers : callable
            ``(fields, body)``, returns the answers.
        """
        pairs = zip(make_answers(FIELDS, BODY), make_answers(FIELDS, METRICS_BODY), strict=True)
        for answer, metrics_answer in pairs:
            with self.subTest(answer=answer):
                server = Server(answer.content, answer.closes)
                metrics_server = Server(metrics_answer.content, metrics_answer.closes)
                try:
                    store = StoreHttp.from_config(f"http://{server.address}", 1, TIMEOUT_S, {})
                    result = store.send("rows_get", "GET", "/x")
                    self.assertTrue(result.is_err(), result)
                    self.assertIn(result.err().code, (Code.STORE_BAD_ANSWER, Code.STORE_TIMEOUT))
                    self.assertIsNone(make_probe()(server.address))
                    self.assertTrue(request_entry(server.address, "GET", "/status").is_err())
                    self.assertFalse(fetch_metrics(metrics_server.address))
                finally:
                    server.stop()
                    metrics_server.stop()

    def test_sound_heads_are_read(self):
        length = b"Content-Length: %d" % len(BODY)
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\nX-Empty:\r\n\r\n"
        for head in (
            [b"X-A: caf\xe9 \xff\x80", length],
            [b"X-A:", b"X-B:\t b\t c \t", length],
            [b"!#$%&'*+.^_`|~-0aZ: 1", length],
            [b"X-A: a:b: c", b'X-A: "q\\"', length.lower()],
            [b"Content-Length:%d \t" % len(BODY)],
            [b"X-%d: %d" % (number, number) for number in range(90)] + [length],
        ):
            for end, before in ((b"\r\n", b""), (b"\n", b""), (b"\r\n", interim)):
                lines = [b"HTTP/1.1 200 OK", *head, b"", b""]
                with self.subTest(head=head, end=end, before=before):
                    server = Server(before + end.join(lines) + BODY, closes=False)
                    self.addCleanup(server.stop)
                    result, is_open = self.exchange(server, "GET")
                    answer = result.unwrap()
                    self.assertEqual((answer.status, answer.body), (200, BODY))
                    self.assertEqual(len(answer.headers), len(head) - 1)
                    self.assertTrue(is_open)

    # White space behind the coding made the sizes of chunks part of the body, and an answer without
    # a body was not complete before its chunks had come.
    def test_sound_framing_is_read(self):
        length, chunks = make_sound_answers(FIELDS, BODY)
        no_body = b"HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        for content, method, body, stays_open in (
            (length, "GET", BODY, True),
            (length.replace(b"Length: ", b"Length:\t"), "GET", BODY, True),
            (length.replace(b"Length: ", b"Length: 000"), "GET", BODY, True),
            (chunks, "GET", BODY, True),
            (chunks.replace(b"chunked", b"Chunked \t"), "GET", BODY, True),
            (chunks.replace(b"chunked", b"\tchunked"), "GET", BODY, True),
            (chunks.replace(b"chunked", b"chunked\r\nContent-Length: 5"), "GET", BODY, True),
            (chunks.partition(b"\r\n\r\n")[0] + b"\r\n\r\n", "HEAD", b"", True),
            (chunks.replace(b"\r\n0\r", b"\r\n000\r"), "GET", BODY, True),
            (chunks.replace(b"\r\n0\r", b'\r\n0 ; a = "\\";\xe9" ;b\r'), "GET", BODY, True),
            (chunks.replace(b"\r\n7\r", b"\r\n007;a=b;c\r"), "GET", BODY, True),
            (chunks.replace(b"\r\n0\r\n", b"\r\n0\r\nX-A: b\r\nX-B:\r\n"), "GET", BODY, True),
            (no_body, "GET", b"", True),
            (b"HTTP/1.1 204 X\r\n\r\n", "GET", b"", True),
            (b"HTTP/1.1 200 OK\r\n\r\n" + BODY, "GET", BODY, False),
            (b"HTTP/1.0 200 OK\r\n\r\n" + BODY, "GET", BODY, False),
        ):
            with self.subTest(content=content, method=method):
                server = Server(content, closes=not stays_open)
                self.addCleanup(server.stop)
                result, is_open = self.exchange(server, method)
                self.assertEqual(result.unwrap().body, body)
                self.assertEqual(is_open, stays_open)

    # A head ended at such a line for the library: a length behind it was lost, and what came until
    # the connection ended was the body, the sizes of chunks included.
    def test_line_that_is_no_field(self):
        self.check_refused(make_bad_lines(FIELDS, BODY))

    def test_line_that_is_no_field_for_the_store_probes_and_commands(self):
        self.check_refused_elsewhere(make_bad_lines)

    # A length that could not be read counted as none, so that a cut answer passed for complete.
    def test_framing_that_is_not_certain(self):
        self.check_refused(make_bad_framing(FIELDS, BODY))

    # The store and probes read a body in another coding, or with two lengths.
    def test_framing_that_is_not_certain_for_the_store_probes_and_commands(self):
        self.check_refused_elsewhere(make_bad_framing)

    # Signs, prefixes, separators and white space passed for parts of a size, and any two bytes for
    # the end of a chunk.
    def test_malformed_chunks(self):
        self.check_refused(make_bad_chunks(FIELDS, BODY))

    def test_malformed_chunks_behind_the_bytes_that_are_buffered(self):
        answers = make_bad_chunks(FIELDS, BODY * (2 * BUFFER_BYTES // len(BODY)))
        self.check_refused([one for one in answers if one.kind.startswith("last size")][::8])

    def test_malformed_chunks_for_the_store_probes_and_commands(self):
        self.check_refused_elsewhere(make_bad_chunks)

    # A size that was cut off among its zeros passed for that of the last chunk, and the end of the
    # connection for the end of the trailers.
    def test_answer_that_ends_within_its_chunks(self):
        self.check_refused(make_cut_chunks(FIELDS, BODY))

    def test_answer_that_ends_within_its_chunks_for_the_store_probes_and_commands(self):
        self.check_refused_elsewhere(make_cut_chunks)

    def test_answer_that_ends_before_its_length(self):
        self.check_refused(make_cut_lengths(FIELDS, BODY))

    def test_answer_that_ends_before_its_length_for_the_store_probes_and_commands(self):
        self.check_refused_elsewhere(make_cut_lengths)

    def test_malformed_trailers(self):
        self.check_refused(make_bad_trailers(FIELDS, BODY))

    def test_malformed_trailers_for_the_store_probes_and_commands(self):
        self.check_refused_elsewhere(make_bad_trailers)


class CallersTest(unittest.TestCase):
    """What callers of an entry get from servers that send such answers."""

    def setUp(self):
        servers = (ServiceServers("reads", "p1", 2), ServiceServers("books", "p1", 2))
        common = {"timeoutS": 2.0}
        routes = {
            "read": common | {"prefix": "/read/", "kind": "safe", "service": "reads"},
            "book": common | {"prefix": "/book/", "kind": "non_idempotent", "service": "books"},
        }
        self.deployment = PlatformDeployment({"p1": "r"}, servers, make_configuration(1, routes))
        self.addCleanup(self.deployment.stop)
        self.entry = self.deployment.start_entry("front-1", "p1")

    def check(self, make_answers):
        """Check answers of one server of reads, and of both servers of bookings.

        A read is repeated at the sound server. A booking has run and is not repeated, until its
        servers are left alone and it is refused.
        """
        endpoints = list(self.deployment.endpoint_by_id.values())
        faulty = [one for one in endpoints if one.id != "reads-p1-1"]
        count = len(make_answers(FIELDS, BODY))
        outcomes = Counter()
        for number in range(0, count, CALLERS_STEP):
            for endpoint in faulty:
                endpoint.make_broken = pick_answer(make_answers, number)
            kind = make_answers(FIELDS, BODY)[number]
            with self.subTest(answer=kind):
                status, headers, body = self.entry.request(f"r{number}", key=str(number))
                self.assertEqual(status, 200)
                self.assertEqual(headers["Response-Seal"], "seal-reads-p1-1")
                self.assertEqual(body, b"reads-p1-1 GET /read/1 HTTP/1.1 0")
                status, headers, _ = self.entry.request(f"b{number}", "POST", "/book/1")
                outcome = (status, self.deployment.runs(f"b{number}"))
                self.assertIn(outcome, ((502, 1), (503, 0)))
                self.assertNotIn("Response-Seal", headers)
                outcomes[outcome] += 1
        self.assertGreater(outcomes[502, 1], 0)

    # Callers got 200 with the seal, and bodies that began with the size of a chunk.
    def test_line_that_is_no_field(self):
        self.check(make_bad_lines)

    # Callers got 200 with the seal, and with the part of the body that had come.
    def test_framing_that_is_not_certain(self):
        self.check(make_bad_framing)

    def test_malformed_chunks(self):
        self.check(make_bad_chunks)

    def test_answer_that_ends_within_its_chunks(self):
        self.check(make_cut_chunks)

    def test_malformed_trailers(self):
        self.check(make_bad_trailers)


if __name__ == "__main__":
    unittest.main()
