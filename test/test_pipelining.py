"""Callers that send further requests before the first is answered, against the WSGI server."""

import socket
import struct
import time
import unittest

import eventlet
from eventlet import wsgi
from eventlet.green import socket as green_socket
from eventlet.queue import LightQueue
from greenlet import GreenletExit
from loguru import logger
from result import Err, Ok

from bench.platform_demo import read_answer
from figfold.core.codes import Code
from figfold.core.traffic.configuration import CallerLimits
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import ServerAnswer
from figfold.gateway.apps import RequestApp
from figfold.gateway.caller_connection import (
    MAX_OVERLAP,
    MAX_WAITING_ANSWER_BYTES,
    WaitingAnswer,
)
from figfold.gateway.protocol import make_gateway_protocol
from figfold.gateway.requests import RequestFailure

SHORT_S = 0.05
SMALL_BUFFER_BYTES = 8192
LONG_S = 0.4
# Time after the close of a connection in which its requests end.
CLOSE_S = 0.5


class PipeliningTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        self.stage = "serving"
        self.started, self.ended, self.cancelled, self.running = [], [], [], 0
        self.most_running = 0
        self.body_bytes = 10
        self.rest_of = {}
        self.limits = CallerLimits()
        metrics = Metrics()
        self.app = RequestApp(self.serve, lambda: self.stage, metrics, logger, CallerLimits)
        protocol = make_gateway_protocol(
            metrics,
            lambda: self.limits,
            lambda _host, path: self.stage == "serving" and path.startswith("/read/"),
        )
        listener = eventlet.listen(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        self.address = listener.getsockname()
        options = {"log_output": False, "debug": False, "socket_timeout": 5.0, "keepalive": True}
        server = eventlet.spawn(wsgi.server, listener, self.app, protocol=protocol, **options)
        self.addCleanup(server.kill)

    def serve(self, request, watch):
        """Take as many milliseconds as the last part of the path says."""
        events = LightQueue()
        stop = watch(lambda: events.put("gone"))
        self.started.append(request.request_id)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            with eventlet.Timeout(int(request.path.rpartition("/")[2]) / 1000, False):
                events.get()
                self.cancelled.append(request.request_id)
                return Err(RequestFailure(Code.CALLER_GONE, False, "caller-gone"))
            self.ended.append(request.request_id)
            headers = (("Attempt-Id", request.request_id),)
            body = b"x" * self.body_bytes
            rest = self.rest_of.get(request.request_id)
            length = len(body) + (100 if rest else 0)
            return Ok(ServerAnswer(200, headers, body, "s", rest and rest(), length))
        except GreenletExit:
            self.cancelled.append(request.request_id)
            raise
        finally:
            self.running -= 1
            stop()

    def connect(self):
        sock = green_socket.create_connection(self.address)
        self.addCleanup(sock.close)
        return sock

    def read_answers(self, sock, count, limit_s=5.0):
        """Return the ids of the answers and the time at which the last one arrived."""
        file, ids = sock.makefile("rb"), []
        began_s = time.monotonic()
        with eventlet.Timeout(limit_s, False):
            while len(ids) < count:
                answer = read_answer(file)
                if answer is None:
                    break
                ids.append(answer)
        return ids, time.monotonic() - began_s

    # The second answer took the sum of both runs.
    def test_reads_of_a_connection_run_at_the_same_time(self):
        sock = self.connect()
        sock.sendall(get("a", LONG_S) + get("b", LONG_S) + get("c", SHORT_S))
        ids, took_s = self.read_answers(sock, 3)
        self.assertEqual(ids, ["a", "b", "c"])
        self.assertLess(took_s, 2 * LONG_S)
        self.assertEqual(self.ended[0], "c")

    def test_request_that_arrives_later_starts_at_once(self):
        sock = self.connect()
        sock.sendall(get("a", LONG_S))
        eventlet.sleep(SHORT_S)
        sock.sendall(get("b", SHORT_S)[:20])
        eventlet.sleep(SHORT_S)
        sock.sendall(get("b", SHORT_S)[20:])
        self.assertEqual(self.read_answers(sock, 2)[0], ["a", "b"])
        self.assertEqual(self.ended, ["b", "a"])

    def test_incomplete_request_holds_back_no_answer(self):
        sock = self.connect()
        sock.sendall(get("a", SHORT_S) + get("b", SHORT_S)[:20])
        ids, took_s = self.read_answers(sock, 1)
        self.assertEqual(ids, ["a"])
        self.assertLess(took_s, LONG_S)

    # The rest of the incomplete request was read as the beginning of another one.
    def test_request_that_arrives_too_slowly_ends_the_connection_after_the_answers_before_it(self):
        self.limits = CallerLimits(header_timeout_s=0.1)
        sock = self.connect()
        sock.sendall(get("a", LONG_S) + b"GET /read/50 HTTP/1.1\r\nHost: h\r\n")
        eventlet.sleep(LONG_S / 2)
        sock.sendall(get("c", SHORT_S))
        self.assertEqual(self.read_answers(sock, 3, 1.5)[0], ["a"])
        self.assertEqual(self.started, ["a"])

    def test_request_that_may_run_once_overlaps_with_no_other(self):
        sock = self.connect()
        sock.sendall(get("a", LONG_S) + post("b", SHORT_S) + get("c", SHORT_S) + post("d", SHORT_S))
        self.assertEqual(self.read_answers(sock, 4)[0], ["a", "b", "c", "d"])
        self.assertEqual(self.started, ["a", "b", "c", "d"])
        self.assertEqual(self.ended, ["a", "b", "c", "d"])
        self.assertEqual(self.most_running, 1)

    def test_no_more_than_the_limit_run_at_the_same_time(self):
        sock = self.connect()
        ids = [f"r{number}" for number in range(3 * MAX_OVERLAP)]
        sock.sendall(b"".join(get(one, SHORT_S) for one in ids))
        self.assertEqual(self.read_answers(sock, len(ids))[0], ids)
        self.assertEqual(self.most_running, MAX_OVERLAP)

    # The watch for a close ended at the first byte of the next request.
    def test_close_is_noticed_with_requests_in_the_buffer_and_cancels_all(self):
        for requests in (
            get("a", 5.0) + get("b", 5.0),
            post("a", 5.0) + get("b", 5.0) + b"x" * 1000,
            b"".join(get(f"r{number}", 5.0) for number in range(2 * MAX_OVERLAP)),
        ):
            with self.subTest(requests[:30]):
                sock = self.connect()
                sock.sendall(requests)
                eventlet.sleep(SHORT_S)
                self.assertGreater(self.running, 0)
                sock.close()
                eventlet.sleep(CLOSE_S)
                self.assertEqual((self.running, self.app.in_progress), (0, 0))

    def test_nothing_runs_behind_an_answer_that_closes_the_connection(self):
        sock = self.connect()
        sock.sendall(get("a", LONG_S) + get("b", 5.0) + get("c", 5.0))
        eventlet.sleep(SHORT_S)
        self.stage = "leaving"
        sock.sendall(get("d", SHORT_S))
        self.assertEqual(self.read_answers(sock, 4, 1.0)[0], ["a"])
        eventlet.sleep(SHORT_S)
        self.assertEqual((self.running, self.app.in_progress), (0, 0))
        self.assertNotIn("d", self.started)
        self.assertEqual(self.ended, ["a"])

    def test_request_that_closes_the_connection_is_the_last(self):
        sock = self.connect()
        sock.sendall(get("a", SHORT_S) + get("b", SHORT_S, "Connection: close") + get("c", SHORT_S))
        self.assertEqual(self.read_answers(sock, 3, 1.0)[0], ["a", "b"])
        self.assertNotIn("c", self.started)

    def test_malformed_request_is_refused_in_its_turn(self):
        sock = self.connect()
        sock.sendall(get("a", LONG_S) + b"GET /read/1 HTTP/1.1 x y\r\n\r\n" + get("c", SHORT_S))
        self.assertEqual(self.read_answers(sock, 3, 1.5)[0], ["a", "400"])
        self.assertNotIn("c", self.started)

    def test_answer_that_waits_is_held_up_to_a_limit(self):
        self.body_bytes = 4 * MAX_WAITING_ANSWER_BYTES
        sock = self.connect()
        sock.sendall(get("a", LONG_S) + get("b", SHORT_S) + get("c", SHORT_S))
        self.assertEqual(self.read_answers(sock, 3)[0], ["a", "b", "c"])

    # Eight answers of each connection, of 256 KiB each, were held without a limit for all of them.
    def test_answers_that_wait_stay_within_the_memory_for_all_answers(self):
        memory = self.app.answer_memory
        memory.limit_bytes = MAX_WAITING_ANSWER_BYTES
        self.body_bytes = MAX_WAITING_ANSWER_BYTES // 2
        ids = [f"r{number}" for number in range(MAX_OVERLAP)]
        sock = self.connect()
        sock.sendall(
            b"".join(get(one, SHORT_S / 2 if number else LONG_S) for number, one in enumerate(ids))
        )
        eventlet.sleep(LONG_S - SHORT_S)
        self.assertEqual(len(self.ended), MAX_OVERLAP - 1)
        self.assertGreater(memory.held_bytes, 0)
        self.assertLessEqual(memory.held_bytes, memory.limit_bytes)
        self.assertEqual(self.read_answers(sock, MAX_OVERLAP)[0], ids)
        self.assertEqual(memory.held_bytes, 0)

    def test_answer_that_breaks_off_is_the_last_and_not_complete(self):
        def broken_rest():
            yield b"y" * 5
            raise OSError("the server broke off")

        self.rest_of = {"b": broken_rest}
        for body_bytes in (100_000, 2 * MAX_WAITING_ANSWER_BYTES):
            self.body_bytes = body_bytes
            sock = self.connect()
            sock.sendall(get("a", LONG_S) + get("b", SHORT_S) + get("c", SHORT_S))
            data = b""
            with eventlet.Timeout(2.0, False):
                while chunk := sock.recv(1 << 20):
                    data += chunk
            self.assertEqual(chunk, b"")
            _, answer_of_a, rest = data.partition(b"Attempt-Id: a")
            _, answer_of_b, rest = rest.partition(b"Attempt-Id: b")
            self.assertTrue(answer_of_a and answer_of_b)
            head, _, body = rest.partition(b"\r\n\r\n")
            length = int(head.partition(b"Content-Length: ")[2].split()[0])
            self.assertLess(len(body), length)
            self.assertNotIn(b"Attempt-Id: c", body)

    # The request of an answer that could not be written, since its caller had left, counted as in
    # progress for good, with its answer in memory.
    def test_nothing_is_kept_for_a_caller_that_has_left(self):
        self.body_bytes = MAX_WAITING_ANSWER_BYTES // 2
        sock = green_socket.socket()
        # The answer to the second request does not fit into the buffers of the system.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.connect(self.address)
        sock.sendall(get("a", SHORT_S) + get("b", SHORT_S) + get("c", SHORT_S))
        self.assertEqual(self.read_answers(sock, 1)[0], ["a"])
        eventlet.sleep(SHORT_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        eventlet.sleep(CLOSE_S)
        self.assertEqual(self.app.in_progress, 0)

    def test_connection_is_used_on_after_an_overlap(self):
        sock = self.connect()
        for number in range(3):
            sock.sendall(get(f"a{number}", SHORT_S) + get(f"b{number}", SHORT_S))
            self.assertEqual(self.read_answers(sock, 2)[0], [f"a{number}", f"b{number}"])
            sock.sendall(post(f"c{number}", SHORT_S))
            self.assertEqual(self.read_answers(sock, 1)[0], [f"c{number}"])
        self.assertEqual(self.app.in_progress, 0)


class SlowFile:
    """A connection whose caller takes each part only after a while."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data

    def flush(self):
        eventlet.sleep(SHORT_S)


class WaitingAnswerTest(unittest.TestCase):
    # What was added while the caller did not take the first parts was dropped.
    def test_parts_that_are_written_while_the_turn_begins_are_kept_in_order(self):
        answer, file = WaitingAnswer(), SlowFile()
        answer.write(b"a")
        turn = eventlet.spawn(answer.begin_turn, file)
        for part in (b"b", b"c", b"d", b"e"):
            eventlet.sleep(SHORT_S / 2 + 0.005)
            answer.write(part)
        turn.wait()
        answer.write(b"f")
        self.assertEqual(file.data, b"abcdef")


def get(request_id, duration_s, *headers):
    """Return the bytes of a request that may be repeated."""
    lines = [f"GET /read/{int(duration_s * 1000)} HTTP/1.1", "Host: h", f"Attempt-Id: {request_id}"]
    return ("\r\n".join([*lines, *headers]) + "\r\n\r\n").encode()


def post(request_id, duration_s):
    """Return the bytes of a request that may run once."""
    path = f"/book/{int(duration_s * 1000)}"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {request_id}\r\nContent-Length: 3\r\n\r\n"
    )
    return head.encode() + b"xyz"


if __name__ == "__main__":
    unittest.main()
