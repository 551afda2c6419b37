"""Callers that read their answers slowly or not at all: what is held for them, and for how long."""

import json
import socket
import subprocess
import sys
import time
import unittest

import eventlet
from eventlet.green import socket as green_socket
from eventlet.green.http import client as green_client

from figfold.entry.connections import READ_SIZE_BYTES, SMALL_READ_BYTES
from standins.process import address_of, listen
from test.answer_port import BUFFER_BYTES, SOCKET_BUFFER_BYTES
from test.support import ROOT

ANSWER_BYTES = 4 << 20


class LargeServer:
    """A server whose answers all have the same length.

    Attributes
    ----------
    open, broken : int
        Connections that are open, and those that were closed before an answer was sent whole.
    reads : bool
        Whether it reads what it is sent.
    """

    def __init__(self, length=ANSWER_BYTES):
        self.length, self.reads, self.sockets = length, True, []
        self.open = self.broken = 0
        self.listener = listen()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        self.thread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        self.open += 1
        self.sockets.append(sock)
        try:
            while not self.reads:
                eventlet.sleep(0.05)
            while sock.recv(65536):
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.length)
                for _ in range(self.length // READ_SIZE_BYTES):
                    sock.sendall(bytes(READ_SIZE_BYTES))
        except OSError:
            self.broken += 1
        finally:
            self.open -= 1
            sock.close()

    def close(self):
        """Close all connections."""
        self.reads = True
        for sock in self.sockets:
            sock.shutdown(socket.SHUT_RDWR)


class SlowCallersTest(unittest.TestCase):
    def start(self, memory_bytes, length=ANSWER_BYTES, **constants):
        """Start a server, and the request port of an entry that passes all requests to it."""
        self.server = LargeServer(length)
        self.addCleanup(self.server.thread.kill)
        arguments = [address_of(self.server.listener), str(memory_bytes)]
        arguments += [f"{name}={value}" for name, value in constants.items()]
        entry = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "test.answer_port", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(entry.stdout.close)
        self.addCleanup(entry.wait)
        self.addCleanup(entry.kill)
        self.address, self.state_address = entry.stdout.readline().split()

    def state(self):
        """Return the state of the entry."""
        connection = green_client.HTTPConnection(self.state_address, timeout=5.0)
        try:
            connection.request("GET", "/")
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def held_bytes(self):
        """Return the memory that answers take up at the entry."""
        return self.state()["held_bytes"]

    def call(self, body_bytes=0):
        """Send a request and return the caller's socket, of which nothing was read."""
        sock = green_socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        host, port = self.address.split(":")
        sock.connect((host, int(port)))
        self.addCleanup(sock.close)
        head = b"GET /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
        if body_bytes:
            head = head.replace(b"GET", b"POST") + b"Content-Length: %d\r\n" % body_bytes
        sock.sendall(head + b"\r\n" + bytes(body_bytes))
        return sock

    def read_all(self, sock, pause_s=0.0, part_bytes=1 << 20, wanted=ANSWER_BYTES):
        """Return how many bytes of the answer's body arrived before the connection ended."""
        data, head = b"", None
        size = 0
        while size < wanted:
            try:
                part = sock.recv(part_bytes)
            except OSError:
                break
            if not part:
                break
            if head is None:
                data += part
                if b"\r\n\r\n" not in data:
                    continue
                head, _, part = data.partition(b"\r\n\r\n")
                self.assertIn(b"Content-Length: %d" % self.server.length, head)
            size += len(part)
            eventlet.sleep(pause_s)
        return size

    def wait(self, condition, limit_s=5.0):
        until_s = time.monotonic() + limit_s
        while not condition() and time.monotonic() < until_s:
            eventlet.sleep(0.02)
        return condition()

    # The parts that followed the first one of an answer were not counted, and 1,500 callers that
    # read nothing took up 94 MB beside the limit.
    def test_parts_that_wait_for_their_callers_are_counted(self):
        self.start(memory_bytes=4 * READ_SIZE_BYTES)
        callers = [self.call() for _ in range(20)]
        self.assertTrue(self.wait(lambda: self.server.open == 20))
        eventlet.sleep(0.3)
        self.assertEqual(self.server.broken, 0)
        held_bytes = self.held_bytes()
        self.assertGreaterEqual(held_bytes, 20 * SMALL_READ_BYTES)
        self.assertLessEqual(held_bytes, 4 * READ_SIZE_BYTES + 20 * SMALL_READ_BYTES)
        for sock in callers:
            sock.close()
        self.assertTrue(self.wait(lambda: self.held_bytes() == 0))

    def test_caller_that_reads_gets_all_while_others_do_not(self):
        self.start(memory_bytes=4 * READ_SIZE_BYTES)
        for _ in range(20):
            self.call()
        eventlet.sleep(0.3)
        self.assertEqual(self.read_all(self.call()), ANSWER_BYTES)

    # Memory that was free before a part was read could be taken up during the read, and the answer
    # failed, although its request may have run (502).
    def test_no_answer_fails_while_many_share_little_memory(self):
        self.start(memory_bytes=4 * READ_SIZE_BYTES, length=BUFFER_BYTES)
        callers = [eventlet.spawn(self.read_all, self.call()) for _ in range(30)]
        self.assertEqual({one.wait() for one in callers}, {BUFFER_BYTES})

    # Such an answer was held until the caller's idle time was over, and for ever if the caller took
    # a byte now and then.
    def test_answer_that_its_caller_does_not_read_is_cut_visibly(self):
        for pause_s in (None, 0.2):
            with self.subTest(pause_s=pause_s):
                self.start(memory_bytes=64 << 20, PART_S=1.0)
                sock = self.call()
                if pause_s is not None:
                    reader = eventlet.spawn(self.read_all, sock, pause_s, 500)
                self.assertTrue(self.wait(lambda: self.server.open == 1))
                self.assertTrue(self.wait(lambda: self.server.broken == 1))
                self.assertTrue(self.wait(lambda: self.held_bytes() == 0))
                self.assertIn("figfold_answers_given_up_total 1", self.state()["metrics"])
                if pause_s is not None:
                    reader.kill()
                self.assertLess(self.read_all(sock), ANSWER_BYTES)

    # An answer that was read whole has no server that would end it.
    def test_answer_that_was_read_whole_is_given_up_too(self):
        self.start(memory_bytes=64 << 20, length=BUFFER_BYTES, PART_S=0.5)
        sock = self.call()
        self.assertTrue(self.wait(lambda: self.held_bytes() >= BUFFER_BYTES))
        self.assertTrue(self.wait(lambda: self.held_bytes() == 0))
        self.assertLess(self.read_all(sock), BUFFER_BYTES)
        self.assertEqual(self.server.broken, 0)

    # A limit on the time of the whole answer would cut it for callers with a slow link.
    def test_caller_with_a_slow_link_gets_all(self):
        self.start(memory_bytes=64 << 20, length=BUFFER_BYTES, PART_S=0.5)
        started = time.monotonic()
        size = self.read_all(self.call(), 0.02, 8 << 10, BUFFER_BYTES)
        self.assertEqual(size, BUFFER_BYTES)
        self.assertGreater(time.monotonic() - started, 1.0)

    # While slow callers took up all memory, answers without a length failed for all others.
    def test_answers_are_given_up_sooner_while_memory_is_short(self):
        self.start(memory_bytes=2 * READ_SIZE_BYTES, SHORT_MEMORY_PART_S=0.3)
        for _ in range(3):
            self.call()
        self.assertTrue(self.wait(lambda: self.server.broken == 3))

    # The body is held once and counted until its request ends, however slowly its server reads.
    def test_body_that_its_server_does_not_read_is_counted_until_the_request_ends(self):
        self.start(memory_bytes=64 << 20)
        self.server.reads = False
        sock = self.call(ANSWER_BYTES)
        self.assertTrue(self.wait(lambda: self.server.open == 1))
        self.assertTrue(self.wait(lambda: self.state()["body_bytes"] == ANSWER_BYTES))
        self.server.thread.kill()
        self.server.close()
        self.assertTrue(self.wait(lambda: self.state()["body_bytes"] == 0))
        sock.close()

    # A caller that sends requests ahead and reads nothing holds answers that wait for their turn.
    def test_answers_that_wait_for_their_turn_are_given_up_with_the_first(self):
        self.start(memory_bytes=64 << 20, PART_S=0.5)
        sock = self.call()
        for _ in range(3):
            sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n")
        self.assertTrue(self.wait(lambda: self.server.open == 4))
        self.assertTrue(self.wait(lambda: self.server.broken == 4))
        self.assertTrue(self.wait(lambda: self.held_bytes() == 0))


if __name__ == "__main__":
    unittest.main()
