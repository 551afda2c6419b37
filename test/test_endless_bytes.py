"""Bytes without end from the store, from probed servers and from callers."""

import subprocess
import sys
import time
import unittest

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


if __name__ == "__main__":
    unittest.main()
