"""Exchanges over real connections with a small server that answers late, twice, or in part."""

import random
import subprocess
import sys
import time
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket
from urllib3.exceptions import HTTPError

from figfold.core.codes import Code
from figfold.entry.connections import Connections
from figfold.entry.connections import _open as open_connection
from test.endless_server import BYTES_BY_KIND
from test.support import ROOT

LOOPBACK = "127.0.0.1"
SHORT_S = 0.05
LONG_S = 20.0
OPEN_S = 0.1
ENDLESS_TIMEOUT_S = 4.0
# Longest time for which one connection may keep the other requests of an entry waiting.
LONGEST_TURN_S = 0.2
TURN_CHECK_S = 0.005
BUFFER_BYTES = 64 * 1024
LARGE_BYTES = 3_000_000
REQUESTS = 60
THREADS = 3
SEED = 1
# What the server does with a request, and the failures that are allowed; none means an answer.
FAILURES_BY_KIND = {
    "plain": (),
    "large": (),
    "chunked-large": (),
    "left": (),
    "repeated": (),
    "doubled": (),
    "doubled-large": (),
    "body-to-head": (),
    "late": (Code.SERVER_TIMEOUT,),
    "stalled": (Code.SERVER_TIMEOUT,),
    "cut": (Code.SERVER_SHORT_ANSWER, Code.SERVER_RESET),
    "cut-large": (Code.SERVER_SHORT_ANSWER, Code.SERVER_RESET),
}


def body_of(path):
    """Return the complete body of the answer to a path: the path, repeated."""
    size = LARGE_BYTES if "large" in path or "left" in path else 1000
    return (path.encode() * size)[:size]


def _answer_to(path):
    body = body_of(path)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class FakeServer:
    """Serves the requests of each connection one after the other, with the fault in their path."""

    def __init__(self):
        self.listener = eventlet.listen((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.connections = 0
        self.sock_by_path = {}
        self.head_by_path = {}
        self.thread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.connections += 1
            # Otherwise the system may delay the repeated answer.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        # The rest of the earlier answer is sent when the next request has arrived.
        left = b""
        reader = sock.makefile("rb")
        try:
            while line := reader.readline():
                path = line.split()[1].decode()
                self.head_by_path[path] = list(iter(lambda: reader.readline().strip(), b""))
                sock.sendall(left)
                self.sock_by_path[path] = sock
                sent, left = self._parts(path)
                sock.sendall(sent)
                if "cut" in path:
                    return
        except OSError:
            pass
        finally:
            reader.close()
            sock.close()

    def repeat(self, path):
        """Send an answer a second time after it has been read."""
        self.sock_by_path[path].sendall(_answer_to(path))

    def _parts(self, path):
        """Return what is sent at once, and what is sent after the next request."""
        answer = _answer_to(path)
        if "late" in path:
            return b"", answer
        if "stalled" in path or "cut" in path:
            middle = len(answer) // 2
            return answer[:middle], answer[middle:]
        if "chunked" in path:
            # An answer with both a Content-Length and chunks, of which the chunks take precedence.
            body = body_of(path)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
            return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body), b""
        if "doubled" in path:
            return 2 * answer, b""
        return answer, b""


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        # The daemon patches the sockets of all modules; a test patches only what it can restore.
        patch = mock.patch("urllib3.util.connection.socket", socket)
        patch.start()
        self.addCleanup(patch.stop)
        self.server = FakeServer()
        self.addCleanup(self.server.listener.close)
        self.addCleanup(self.server.thread.kill)
        self.connections = Connections(LONG_S, BUFFER_BYTES)

    def exchange(self, path, method="GET"):
        kind = path.split("/")[1]
        timeout_s = SHORT_S if Code.SERVER_TIMEOUT in FAILURES_BY_KIND[kind] else LONG_S
        return self.connections.exchange(self.server.address, (method, path, (), b""), timeout_s)

    def check(self, kind, number):
        """Make one exchange and check that it returns its own answer or an allowed failure."""
        path = f"/{kind}/{number}/"
        allowed = FAILURES_BY_KIND[kind]
        result = self.exchange(path, "HEAD" if kind == "body-to-head" else "GET")
        if result.is_err():
            self.assertIn(result.err().code, allowed, path)
            return
        answer = result.ok()
        expected = body_of(path)
        if kind == "body-to-head":
            self.assertEqual((b"", len(expected)), (answer.body, answer.length))
        elif kind == "left":
            # The caller closes its connection in the middle of the answer.
            self.assertTrue(expected.startswith(answer.body + next(answer.rest)))
            answer.rest.close()
        elif kind == "cut-large":
            with self.assertRaises(HTTPError):
                b"".join(answer.rest)
        else:
            self.assertFalse(allowed, path)
            self.assertTrue(answer.body + b"".join(answer.rest or ()) == expected, path)
        if kind == "repeated":
            self.server.repeat(path)

    def test_no_request_gets_the_answer_of_an_earlier_one_on_its_connection(self):
        choose = random.Random(SEED)

        def run(thread):
            for number in range(REQUESTS):
                self.check(choose.choice(list(FAILURES_BY_KIND)), f"{thread}-{number}")
                self.check("plain", f"after-{thread}-{number}")

        threads = [eventlet.spawn(run, thread) for thread in range(THREADS)]
        for thread in threads:
            thread.wait()

    def test_connections_are_reused_after_complete_answers_only(self):
        for number, kind in enumerate(("plain", "large", "plain")):
            self.check(kind, number)
        self.assertEqual(1, self.server.connections)
        for number, kind in enumerate(("late", "stalled", "left", "cut", "cut-large")):
            self.check(kind, number)
            self.check("plain", f"after-{number}")
            self.assertEqual(number + 2, self.server.connections)

    def test_connection_is_not_reused_after_an_answer_that_does_not_allow_it(self):
        self.connections.allows_reuse = lambda get: get("Content-Length") != "1000"
        for number in range(3):
            self.check("plain", number)
            self.assertEqual(number + 1, self.server.connections)
        self.connections.allows_reuse = lambda get: get("Content-Length") == "1000"
        for number in range(3, 6):
            self.check("plain", number)
        self.assertEqual(4, self.server.connections)

    def test_time_to_open_a_connection_counts_towards_the_timeout(self):
        def open_slowly(*arguments):
            eventlet.sleep(OPEN_S)
            return open_connection(*arguments)

        with mock.patch("figfold.entry.connections._open", open_slowly):
            self.check("plain", 1)
            request = ("GET", "/plain/2/", (), b"")
            late = self.connections.exchange(self.server.address, request, OPEN_S / 2, fresh=True)
        headers = dict(line.split(b": ") for line in self.server.head_by_path["/plain/1/"])
        self.assertLessEqual(int(headers[b"Figfold-Deadline-Ms"]), 1000 * (LONG_S - OPEN_S))
        self.assertEqual((Code.CONNECT_FAILED, False), (late.err().code, late.err().sent))
        self.assertNotIn("/plain/2/", self.server.head_by_path)


class CutHeadTest(unittest.TestCase):
    """The server stops within the head of its answer and closes the connection."""

    HEAD = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: x\r\nInstance-Load: 1,0,3\r\n"
        b"Content-Length: 10\r\n\r\n"
    )
    CHUNKED_HEAD = HEAD.replace(b"Content-Length: 10", b"Transfer-Encoding: chunked")

    def setUp(self):
        patch = mock.patch("urllib3.util.connection.socket", socket)
        patch.start()
        self.addCleanup(patch.stop)

    def exchange(self, sent):
        listener = eventlet.listen((LOOPBACK, 0))
        self.addCleanup(listener.close)

        def serve():
            sock, _ = listener.accept()
            sock.recv(4096)
            sock.sendall(sent)
            sock.close()

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)
        address = f"{LOOPBACK}:{listener.getsockname()[1]}"
        return Connections(LONG_S, BUFFER_BYTES).exchange(address, ("GET", "/", (), b""), LONG_S)

    # Callers got a 200 with an empty body, framed as whole: the library took the end of the
    # connection for the end of the head.
    def test_answer_that_ends_within_its_head_is_no_answer(self):
        for head in (self.HEAD, self.CHUNKED_HEAD, b"HTTP/1.1 100 Continue\r\n\r\n" + self.HEAD):
            for size in range(len(head)):
                with self.subTest(cut=head[:size][-20:]):
                    result = self.exchange(head[:size])
                    self.assertTrue(result.is_err())
                    self.assertTrue(result.err().sent)

    def test_complete_heads_are_read(self):
        self.assertEqual(self.exchange(self.HEAD + b"0123456789").unwrap().body, b"0123456789")
        chunks = b"a\r\n0123456789\r\n0\r\n\r\n"
        self.assertEqual(self.exchange(self.CHUNKED_HEAD + chunks).unwrap().body, b"0123456789")


class RequestHeadersTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch("urllib3.util.connection.socket", socket)
        patch.start()
        self.addCleanup(patch.stop)

    # Connections that were opened at the same time got the number of the last one.
    def test_connections_that_are_opened_together_have_different_numbers(self):
        server = FakeServer()
        self.addCleanup(server.thread.kill)
        connections = Connections(LONG_S, BUFFER_BYTES)
        exchanges = [
            eventlet.spawn(
                connections.exchange, server.address, ("GET", f"/plain/{n}", (), b""), LONG_S
            )
            for n in range(8)
        ]
        numbers = {one.wait().unwrap().connection_number for one in exchanges}
        self.assertEqual(numbers, set(range(1, 9)))

    # Of several headers with one name the server got the last one only.
    def test_headers_with_one_name_are_sent_in_order(self):
        server = FakeServer()
        self.addCleanup(server.thread.kill)
        headers = (("X-A", "1"), ("X-B", "2"), ("X-A", "3"))
        result = Connections(LONG_S, BUFFER_BYTES).exchange(
            server.address, ("GET", "/plain", headers, b""), LONG_S
        )
        self.assertTrue(result.is_ok())
        sent = [line.lower() for line in server.head_by_path["/plain"] if b"x-" in line.lower()[:2]]
        self.assertEqual([one for one in sent if one.startswith(b"x-a")], [b"x-a: 1", b"x-a: 3"])


class EndlessAnswerTest(unittest.TestCase):
    """Bytes that are no answer and never end, in the head or the body."""

    def setUp(self):
        patch = mock.patch("urllib3.util.connection.socket", socket)
        patch.start()
        self.addCleanup(patch.stop)
        self.longest_turn_s = 0.0

    def exchange(self, kind):
        command = [sys.executable, "-m", "test.endless_server", kind]
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as server:
            self.addCleanup(server.kill)
            address = f"{LOOPBACK}:{int(server.stdout.readline())}"
            watch = eventlet.spawn(self._watch_turns)
            eventlet.sleep(TURN_CHECK_S)
            result = Connections(LONG_S, BUFFER_BYTES).exchange(
                address, ("GET", "/", (), b""), ENDLESS_TIMEOUT_S
            )
            eventlet.sleep(TURN_CHECK_S)
            watch.kill()
            server.kill()
        return result

    def _watch_turns(self):
        while True:
            started = time.monotonic()
            eventlet.sleep(TURN_CHECK_S)
            self.longest_turn_s = max(self.longest_turn_s, time.monotonic() - started)

    # Interim answers and trailers without end were read until the request's time was over, and
    # meanwhile no other request of the entry got a turn.
    def test_bytes_without_end_are_no_answer_and_keep_no_other_request_waiting(self):
        for kind in BYTES_BY_KIND:
            with self.subTest(kind=kind):
                self.longest_turn_s = 0.0
                self.assertIs(self.exchange(kind).err().code, Code.SERVER_BAD_ANSWER)
                self.assertLess(self.longest_turn_s, LONGEST_TURN_S)


if __name__ == "__main__":
    unittest.main()
