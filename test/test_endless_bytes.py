"""Bytes without end from the store, from probed servers and from callers."""

import subprocess
import sys
import time
import unittest
from pathlib import Path

import eventlet

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration
from test.endless_server import BYTES_BY_KIND
from test.support import ROOT

# Starts a reader in a process of its own, since a reader that never yields would stop the tests.
READER = """
import eventlet

eventlet.monkey_patch()
import sys
import time

from figfold.entry.probes import make_probe
from figfold.platform.http import StoreHttp

longest_turn_s = 0.0


def watch():
    global longest_turn_s
    while True:
        started = time.monotonic()
        eventlet.sleep(0.005)
        longest_turn_s = max(longest_turn_s, time.monotonic() - started)


def read(reader, address):
    if reader == "probe":
        return make_probe()(address)
    return StoreHttp.from_config(f"http://{address}", 4, 1.0, {}).send("rows_get", "GET", "/x")


eventlet.spawn(watch)
eventlet.sleep(0.01)
result = read(*sys.argv[1:])
eventlet.sleep(0.01)
failed = result is None or result.is_err()
print(failed, longest_turn_s)
"""
READ_S = 8.0
LONGEST_TURN_S = 0.5


class EndlessAnswersElsewhereTest(unittest.TestCase):
    # Interim answers and trailers without end were read for ever, and no other green thread of the
    # process got a turn, not even the one that enforces the time limit.
    def test_store_and_probes_stop_reading_and_let_others_run(self):
        for reader in ("store", "probe"):
            for kind in BYTES_BY_KIND:
                with self.subTest(reader=reader, kind=kind):
                    failed, longest_turn_s = self.read(reader, kind)
                    self.assertTrue(failed)
                    self.assertLess(longest_turn_s, LONGEST_TURN_S)

    def read(self, reader, kind):
        command = [sys.executable, "-m", "test.endless_server", kind, "100"]
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as server:
            self.addCleanup(server.kill)
            address = f"127.0.0.1:{int(server.stdout.readline())}"
            arguments = [sys.executable, "-W", "ignore", "-c", READER, reader, address]
            started = time.monotonic()
            try:
                done = subprocess.run(
                    arguments, cwd=ROOT, capture_output=True, timeout=READ_S, check=True
                )
            except subprocess.TimeoutExpired:
                self.fail(f"still reading after {time.monotonic() - started:.1f} s")
            finally:
                server.kill()
        failed, longest_turn_s = done.stdout.split()
        return failed == b"True", float(longest_turn_s)


# Sends without end as a process of its own; prints how long it took until it was disconnected.
SENDER = """
import socket
import sys
import time

host, port, kind, limit_s = sys.argv[1:]
chunked = b"Transfer-Encoding: chunked\\r\\n"
head = (
    b"POST /book/1 HTTP/1.1\\r\\nHost: h.example\\r\\n"
    b"Attempt-Id: endless\\r\\nDeadline-Ms: 3000\\r\\n"
)
length = b"Content-Length: 999999999999\\r\\n\\r\\n"
once, repeated = {
    "header": (head + b"X: ", b"a" * 65536),
    "empty-lines": (b"", b"\\r\\n" * 30000),
    "chunk-size": (head + chunked + b"\\r\\n", b"1" * 65536),
    "after-chunk": (head + chunked + b"\\r\\n1\\r\\nz", b"z" * 65536),
    "tiny-chunks": (head + chunked + b"\\r\\n", b"1\\r\\nz\\r\\n" * 8192),
    "chunks": (head + chunked + b"\\r\\n", b"10000\\r\\n" + b"z" * 65536 + b"\\r\\n"),
    "trailer": (head + chunked + b"\\r\\n0\\r\\nX: ", b"a" * 65536),
    "trailers": (head + chunked + b"\\r\\n0\\r\\n", b"X-A: b\\r\\n" * 8192),
    "length": (head + length, b"z" * 65536),
}[kind]
started = time.monotonic()
with socket.create_connection((host, int(port))) as sock:
    try:
        sock.sendall(once)
        while time.monotonic() < started + float(limit_s):
            sock.sendall(repeated)
    except OSError:
        pass
print(time.monotonic() - started)
"""
CALLER_KINDS = (
    "header empty-lines chunk-size after-chunk tiny-chunks chunks trailer trailers length".split()
)
# The time of the caller's request, and a margin for a busy machine.
DISCONNECTED_S = 3.0 + 2.0
# The memory of the smallest instances in the users' deployments.
INSTANCE_MEMORY_MB = 200.0
ANSWER_S = 1.0
READ = {"prefix": "/read/", "kind": "safe", "timeoutS": 3.0, "service": "reads"}
BOOK = {"prefix": "/book/", "kind": "non_idempotent", "timeoutS": 3.0, "service": "reads"}


class EndlessCallersTest(unittest.TestCase):
    def setUp(self):
        servers = (ServiceServers("reads", "p1", 2),)
        configuration = make_configuration(1, {"read": READ, "book": BOOK})
        self.deployment = PlatformDeployment({"p1": "r"}, servers, configuration)
        self.addCleanup(self.deployment.stop)
        self.entry = self.deployment.start_entry("front-1", "p1")

    # One caller that sent a chunk size without end took up 2.4 GB of the entry's memory; with
    # trailers or tiny chunks without end, no other caller got an answer (LOST).
    def test_caller_that_sends_without_end_is_disconnected_and_delays_no_other(self):
        for kind in CALLER_KINDS:
            with self.subTest(kind=kind):
                slowest_s, sent_s = self.play(kind)
                self.assertLess(slowest_s, ANSWER_S)
                self.assertLess(sent_s, DISCONNECTED_S)
                self.assertLess(self.peak_mb(), INSTANCE_MEMORY_MB)
        self.assertEqual(self.deployment.runs("endless"), 0)

    def play(self, kind):
        """Return the slowest answer to others, and how long the caller could send, in seconds."""
        host, port = self.entry.address["caller"].split(":")
        arguments = [sys.executable, "-c", SENDER, host, port, kind, str(DISCONNECTED_S + 1.0)]
        slowest_s, number = 0.0, 0
        with subprocess.Popen(arguments, stdout=subprocess.PIPE) as caller:
            self.addCleanup(caller.kill)
            while caller.poll() is None:
                started = time.monotonic()
                self.assertEqual(self.entry.request(f"{kind}-{number}")[0], 200)
                slowest_s = max(slowest_s, time.monotonic() - started)
                number += 1
                eventlet.sleep(0.02)
            return slowest_s, float(caller.stdout.read())

    def peak_mb(self):
        status = Path(f"/proc/{self.entry.child.pid}/status").read_text(encoding="ascii")
        (peak,) = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peak) / 1024


if __name__ == "__main__":
    unittest.main()
