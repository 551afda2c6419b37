"""Malformed input on every port of a real entry, and malformed answers to its requests."""

import errno
import json
import os
import random
import socket
import struct
import time
from pathlib import Path

from attrs import frozen

from figfold.platform.client import PlatformClient
from test.small_deployment import CONVERGENCE_LIMIT_S, PLACES, SEED, ProcessCase
from test.support import exchange, host_and_port, wait_until

ENTRY = "bne-north-e1"
REPLY_TIMEOUT_S = 10
READ_BYTES = 65_536
WRITE_TRIES = 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEMORY_GROWTH_LIMIT_BYTES = 64 << 20
RANDOM_ROUNDS = 20
RANDOM_BYTES = 3000
SLOW_CONNECTIONS = 50
GARBAGE_DURATION_S = 3
LATE_CHUNKS = 4
LATE_CHUNK_BYTES = 40_000
LATE_PAUSE_S = 0.1
MALFORMED = 317
BOOKING = "POST /s/cutdesk/echo HTTP/1.1\r\nIdempotency-Key: {key}\r\n"
READ = "GET /s/stockview/short/1 HTTP/1.1\r\n"


@frozen
class Case:
    """A malformed request and the result code of its refusal."""

    name: str
    data: bytes
    code: int = MALFORMED


def _booking(name, rest, code=MALFORMED):
    return Case(name, (BOOKING.format(key=name) + rest).encode("latin-1"), code)


def _read(name, line_or_headers, code=MALFORMED):
    return Case(name, line_or_headers.encode("latin-1") + b"\r\n\r\n", code)


CALLER_CASES = (
    _read("long-header", READ + "X: " + "a" * 200_000),
    _read("many-headers", READ + "\r\n".join(f"X{n}: a" for n in range(2000))),
    _read("long-path", "GET /s/stockview/" + "a" * 100_000 + " HTTP/1.1"),
    _read("bad-version", "GET /s/stockview/short/1 FOO"),
    _read("control-in-path", "GET /s/stockview/short/a\x01b HTTP/1.1"),
    _read("latin-in-path", "GET /s/stockview/short/\xe9\xff HTTP/1.1"),
    _read("latin-in-query", "GET /s/stockview/short/1?\xe9 HTTP/1.1"),
    _read("bad-method", "G(T /s/stockview/short/1 HTTP/1.1\r\nIdempotency-Key: bad-method"),
    _read("hops", READ + "Figfold-Hops: 99"),
    _read("deadline", READ + "Figfold-Deadline-Ms: -1"),
    _read("no-service", "GET /s/../../plan/refresh HTTP/1.1", 301),
    _read("plan-refresh", "POST /plan/refresh HTTP/1.1\r\nContent-Length: 0", 804),
    _read("plan-head", "PUT /table/plan/head HTTP/1.1\r\nContent-Length: 0", 804),
    _read("no-key", "BREW /s/stockview/short/1 HTTP/1.1", 302),
    _read("bad-key", BOOKING.format(key="a/../b") + "Content-Length: 0", 318),
    _booking("body-over-limit", "Content-Length: 2000000\r\n\r\nabc", 316),
    _booking("length-huge", f"Content-Length: {'9' * 40}\r\n\r\nabc", 316),
    _booking("length-of-5000-digits", f"Content-Length: {'9' * 5000}\r\n\r\nabc"),
    _booking("length-negative", "Content-Length: -5\r\n\r\nabc"),
    _booking("length-signed", "Content-Length: +3\r\n\r\nabc"),
    _booking("length-twice", "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"),
    _booking("length-and-chunks", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"),
    _booking("body-truncated", "Content-Length: 10\r\n\r\nabc", 321),
    _booking("chunk-bad", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 321),
    _booking("chunk-negative", "Transfer-Encoding: chunked\r\n\r\n-5\r\nab\r\n0\r\n\r\n", 321),
    _booking("chunk-truncated", "Transfer-Encoding: chunked\r\n\r\n5\r\nab", 321),
)


def send_raw(address, data):
    """Send bytes, close the sending side and return everything received until the end."""
    with socket.create_connection(host_and_port(address), REPLY_TIMEOUT_S) as sock:
        reply = b""
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(READ_BYTES):
                reply += part
        except OSError as error:
            # The entry closes before it has read all of an oversized request.
            if not isinstance(error, ConnectionError) and error.errno != errno.ENOTCONN:
                raise
    return reply


class PortTest(ProcessCase):
    options = {"servers": {"slow_start_s": 1}}

    def setUp(self):
        self.ready = self.deployment.entry_by_name[ENTRY].ready
        self.memory_bytes = self._memory_bytes()

    def tearDown(self):
        self.deployment.set_store_faults()
        self.deployment.set_server_faults(requests=[])
        wait_until(lambda: self._read() == ("0", "ran"), CONVERGENCE_LIMIT_S)
        self.assert_no_loop_errors()
        self.assertEqual({1}, {self.deployment.status(n)["plan_version"] for n in self._names()})
        grown = self._memory_bytes() - self.memory_bytes
        self.assertLess(grown, MEMORY_GROWTH_LIMIT_BYTES)
        self.assertNotIn("Traceback", self.deployment.log_path(ENTRY).read_text())

    def _names(self):
        return self.deployment.entry_by_name

    def _memory_bytes(self):
        pid = self.deployment.entry_by_name[ENTRY].child.pid
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES

    def _read(self, path="/short/1", method="GET"):
        answer, body = exchange(self.ready["address"], method, f"/s/stockview{path}")
        self.answer, self.body = answer, body
        return answer.getheader("Figfold-Code"), answer.getheader("Figfold-Outcome")

    def _count(self, code, entry=ENTRY):
        """Return an entry's counter of a result code."""
        lines = self.deployment.metrics(entry).splitlines()
        ours = [ln for ln in lines if "_results_total" in ln and f'code="{code}"' in ln]
        return sum(int(float(line.rsplit(" ", 1)[1])) for line in ours)

    # Callers.

    def test_malformed_requests_end_as_numbered_and_counted_refusals(self):
        for case in CALLER_CASES:
            with self.subTest(case.name):
                before = self._count(case.code)
                reply = send_raw(self.ready["address"], case.data)
                head = reply.split(b"\r\n\r\n", 1)[0] + b"\r\n"
                self.assertIn(f"Figfold-Code: {case.code}\r\n".encode(), head)
                self.assertIn(b"Figfold-Outcome: not-run\r\n", head)
                self.assertEqual(before + 1, self._count(case.code))
        keys = {case.name for case in CALLER_CASES} & self.deployment.record()["runs_by_key"].keys()
        self.assertEqual(set(), keys)

    def test_refusal_arrives_while_the_request_is_still_being_sent(self):
        address = host_and_port(self.ready["address"])
        with socket.create_connection(address, REPLY_TIMEOUT_S) as sock:
            for _ in range(LATE_CHUNKS):
                sock.sendall(b"GET /s/stockview/short/1 HTTP/1.1\r\nX: " + b"a" * LATE_CHUNK_BYTES)
                time.sleep(LATE_PAUSE_S)
            self.assertIn(b"Figfold-Code: 317\r\n", sock.recv(READ_BYTES))

    def test_random_bytes_to_the_caller_port(self):
        self._send_random("address")

    def test_callers_that_send_slowly_leave_room_for_others(self):
        address = host_and_port(self.ready["address"])
        partial_request = b"POST /s/cutdesk/echo HTTP/1.1\r\nContent-Le"
        slow = [socket.create_connection(address) for _ in range(SLOW_CONNECTIONS)]
        for sock in slow:
            self.addCleanup(sock.close)
        for index in range(len(partial_request)):
            for sock in slow:
                sock.sendall(partial_request[index : index + 1])
        self.assertEqual(("0", "ran"), self._read())

    def test_header_of_a_path_is_not_taken_as_one(self):
        self.assertEqual(("0", "ran"), self._read("/short/a%0d%0aFigfold-Poison:%201"))
        servers = self.deployment.record()["servers"].values()
        self.assertEqual(0, sum(server["crashes"] for server in servers))

    def test_head_tells_the_length_of_the_answer(self):
        self._read("/short/1")
        self.assertEqual(("0", "ran"), self._read("/short/1", "HEAD"))
        self.assertEqual(b"", self.body)
        self.assertGreater(int(self.answer.getheader("Content-Length")), 0)

    # Other entries and operators.

    def test_malformed_frames_to_the_peer_port(self):
        self._send_random("peer_address")
        frames = (
            struct.pack("!II", 1 << 30, 1),
            struct.pack("!II", 100, 1) + b"short",
            struct.pack("!II", 100, 1) + bytes(100),
        )
        for frame in frames:
            send_raw(self.ready["peer_address"], frame)
        self.deployment.wait_until_converged()
        metrics = self.deployment.metrics(ENTRY)
        for event in ("malformed", "oversized"):
            name = f'figfold_peers_total{{event="{event}",side="server"}} '
            counted = next(line for line in metrics.splitlines() if line.startswith(name))
            self.assertGreater(int(counted.split()[-1]), 0)

    def test_malformed_requests_to_the_admin_port(self):
        self._send_random("admin_address")
        for case in CALLER_CASES[:5]:
            send_raw(self.ready["admin_address"], case.data)
        self.assertEqual(ENTRY, self.deployment.status(ENTRY)["name"])

    def _send_random(self, address):
        source = random.Random(SEED)
        for _ in range(RANDOM_ROUNDS):
            send_raw(self.ready[address], source.randbytes(RANDOM_BYTES))

    # Backend servers and the platform.

    def test_malformed_answers_of_servers(self):
        modes = ("random_bytes", "wrong_length", "short_answer", "reset_mid_head")
        modes += ("huge_header", "endless_body")
        for mode in modes:
            with self.subTest(mode):
                faults = [{"mode": mode, "probability": 1.0}]
                self.deployment.set_server_faults(service="stockview", requests=faults)
                code, outcome = self._read(f"/short/{mode}")
                self.assertNotEqual("0", code)
                self.assertEqual("unknown", outcome)
                # The request may have been forwarded, so count at the entry that answered.
                entry = self.answer.getheader("Figfold-Entry")
                self.assertGreater(self._count(code, entry), 0)
                self.deployment.set_server_faults(service="stockview", requests=[])

    def test_garbage_from_the_platform(self):
        self.deployment.set_store_faults({"mode": "garbage"})
        wait_until(lambda: self._count(605) + self._count(602) > 0, CONVERGENCE_LIMIT_S)
        time.sleep(GARBAGE_DURATION_S)
        self.assertEqual(("0", "ran"), self._read())
        self.deployment.set_store_faults()
        self.deployment.wait_until_converged()

    def test_rows_of_wrong_types_change_nothing(self):
        client = PlatformClient.from_config(self.deployment.platform.ready["url"], "e", PLACES[0])
        self.addCleanup(client.close)
        row = f"{PLACES[0]}.0.short"
        for value in ({"holder": 1, "ttl_s": "x"}, [], "text" * 1000):
            # An entry renews the row meanwhile, so the conditional write may need retries.
            for _ in range(WRITE_TRIES):
                known = client.get_row("seats", row).unwrap()
                written = client.put_row("seats", row, json.dumps(value).encode(), known.etag)
                if written.is_ok():
                    break
            self.assertTrue(written.is_ok(), written)
        self.assertEqual(("0", "ran"), self._read())
