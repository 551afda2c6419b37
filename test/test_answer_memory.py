"""Memory of answers and request bodies: their limits, and the memory of an entry's process."""

import subprocess
import sys
import unittest
from collections import Counter
from pathlib import Path

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration
from figfold.entry.answer_memory import AnswerMemory, AnswerMemoryError, HeldMemory
from test.support import ROOT

LIMIT_BYTES = 1000
# The memory of the smallest instances in the users' deployments.
INSTANCE_MEMORY_MB = 200.0
CALLERS = 48
ROUNDS = 4
SAMPLE_S = 0.01
BODIES = 24
BODY_BYTES = 16 << 20
BOOK = {"prefix": "/book/", "kind": "non_idempotent", "timeoutS": 10.0, "service": "reads"}
READ = {"prefix": "/read/", "kind": "safe", "timeoutS": 3.0, "service": "reads"}


def watch_memory(pid, peak):
    """Set the item of ``peak`` to the most memory that a process has taken up, in MB."""
    while True:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
        (resident,) = [line.split()[1] for line in lines if line.startswith("VmRSS")]
        peak[0] = max(peak[0], int(resident) / 1024)
        eventlet.sleep(SAMPLE_S)


class AnswerMemoryTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(-50, 300)), max_size=60))
    def test_all_answers_together_stay_within_the_limit(self, steps):
        memory = AnswerMemory(LIMIT_BYTES)
        self._take_steps(memory, steps)
        self.assertEqual(memory.held_bytes, 0)

    def _take_steps(self, memory, steps):
        answers = [HeldMemory(memory) for _ in range(10)]
        for number, count in steps:
            answer = answers[number]
            if count < 0:
                answer.release()
                continue
            try:
                answer.grow(count)
            except AnswerMemoryError:
                self.assertFalse(answer.may_grow(count))
            self.assertEqual(memory.held_bytes, sum(one.size for one in answers))
            self.assertLessEqual(memory.held_bytes, LIMIT_BYTES)

    def test_large_answers_leave_room_for_a_small_one(self):
        for count in (1, 2, 5, 20):
            memory = AnswerMemory(LIMIT_BYTES)
            answers = [HeldMemory(memory) for _ in range(count)]
            while any(one.may_grow(1) for one in answers):
                for one in answers:
                    if one.may_grow(1):
                        one.grow(1)
            self.assertTrue(HeldMemory(memory).may_grow(LIMIT_BYTES // (2 * (count + 1))), count)


class EndlessServersTest(unittest.TestCase):
    """One entry with four servers, two of which send without end."""

    def play(self, kind):
        """Return the peak of the entry's memory in MB, and the callers' statuses."""
        command = [sys.executable, "-m", "test.endless_server", kind, "100000"]
        servers = (ServiceServers("reads", "p1", 4),)
        deployment = PlatformDeployment({"p1": "r"}, servers, make_configuration(1, {"read": READ}))
        self.addCleanup(deployment.stop)
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as server:
            self.addCleanup(server.kill)
            address = f"127.0.0.1:{int(server.stdout.readline())}"
            for endpoint in list(deployment.endpoint_by_id.values())[:2]:
                endpoint.registered_address = address
                deployment.rows.put("servers", endpoint.id, endpoint.row())
            entry = deployment.start_entry("front-1", "p1", memory_mb=INSTANCE_MEMORY_MB)
            peak, statuses = [0.0], Counter()
            watch = eventlet.spawn(watch_memory, entry.child.pid, peak)
            callers = [
                eventlet.spawn(self._call, entry, number, statuses) for number in range(CALLERS)
            ]
            for caller in callers:
                caller.wait()
            watch.kill()
            self.assertIsNone(entry.child.poll())
            server.kill()
        return peak[0], statuses

    def _call(self, entry, number, statuses):
        for round_number in range(ROUNDS):
            request_id = f"{number}x{round_number}"
            statuses[entry.request(request_id, key=str(number), deadline_ms=2900)[0]] += 1

    # Each answer could take up 16 MB, with no limit for all of them, and the entry ended for lack
    # of memory together with the requests of all its callers (LOST).
    def test_endless_answers_leave_the_entry_within_its_memory(self):
        for kind in ("unsized-body", "chunks"):
            with self.subTest(kind=kind):
                peak_mb, statuses = self.play(kind)
                self.assertLess(peak_mb, INSTANCE_MEMORY_MB, statuses)
                self.assertGreater(statuses[200], CALLERS, statuses)


class LargeBodiesTest(unittest.TestCase):
    # Each body was held twice, once in the chunks that had arrived or in what was left to send, and
    # the limit for all of them was larger than the smallest instances.
    def test_large_bodies_leave_the_entry_within_its_memory(self):
        servers = (ServiceServers("reads", "p1", 4),)
        configuration = make_configuration(1, {"book": BOOK})
        deployment = PlatformDeployment({"p1": "r"}, servers, configuration)
        self.addCleanup(deployment.stop)
        entry = deployment.start_entry("front-1", "p1", memory_mb=INSTANCE_MEMORY_MB)
        peak, statuses = [0.0], Counter()
        watch = eventlet.spawn(watch_memory, entry.child.pid, peak)

        def book(number):
            body = bytes(BODY_BYTES)
            options = {"method": "POST", "path": "/book/1", "body": body, "deadline_ms": 9000}
            status, _, _ = entry.request(f"body-{number}", key=str(number), **options)
            statuses[status] += 1

        callers = [eventlet.spawn(book, number) for number in range(BODIES)]
        for caller in callers:
            caller.wait()
        watch.kill()
        self.assertLess(peak[0], INSTANCE_MEMORY_MB, statuses)
        self.assertGreater(statuses[200], 0, statuses)
        self.assertEqual(set(statuses) - {200, 503}, set(), statuses)


if __name__ == "__main__":
    unittest.main()
