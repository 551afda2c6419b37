"""Answers, outcomes reported to callers, and bookings, in virtual time."""

import random
import unittest

import eventlet
from result import Err

from figfold.core.codes import Code, Outcome
from figfold.entry.request_types import refuse
from test.virtual_deployment import FIRST_REGION_ENTRIES, WorldTest

# The entries of one of two places, which receives more load than its capacity.
SENDERS = ("r1-a-1", "r1-a-2")
SLOW_S = 0.2
ROUNDS = 200
ROUND_S = 0.1
RESTART_ROUNDS = 20


class RefusingDispatcher:
    """Refuses every request with an outcome, as after a deadline that left no time for a retry."""

    def __init__(self, outcome):
        self.outcome = outcome

    def expected_wait_s(self, request):
        return 0.0

    def reused_connection_timeout_s(self, request, remaining_s):
        return remaining_s

    def run(self, request):
        return Err(refuse(Code.DEADLINE_TOO_SHORT, "no time left for a retry", "", self.outcome))


class BookingPromiseTest(WorldTest):
    # Guarantees 3 and 4: answers and reported outcomes.

    def test_faults_of_servers_never_give_a_wrong_answer_or_outcome(self):
        def test(deployment, world):
            deployment.load(40)
            deployment.load(10, "book", method="POST")
            for fault in ("reset_before", "reset_after", "short", "shed", "refuse", "silent_old"):
                for server in world.server_by_name.values():
                    if server.name.endswith("-1"):
                        server.fault = fault
                eventlet.sleep(4)
                for server in world.server_by_name.values():
                    server.fault = ""
                eventlet.sleep(1)

        self.run_world(test)

    def test_what_may_have_run_is_not_reported_as_not_run_after_another_entry_refuses_it(self):
        def test(deployment, world):
            ends = ((SENDERS[0], Outcome.UNKNOWN), (SENDERS[1], Outcome.NOT_RUN))
            for name, outcome in ends:
                world.node_by_name[name].router.dispatcher = RefusingDispatcher(outcome)
            told = world.send(SENDERS[0], "read")
            self.assertTrue(told.is_err())
            self.assertIs(Outcome.UNKNOWN, told.err().outcome)

        self.run_world(test, {name: "r1-a" for name in SENDERS})

    def test_a_paused_entry_does_not_count_its_pause_as_duration_of_a_server(self):
        def test(deployment, world):
            for service, method, key in (("read", "GET", ""), ("book", "POST", "k1")):
                world.spawn_send([], "r1-a-1", service, method, key)
            eventlet.sleep(0.02)
            world.freeze("r1-a-1", 60)
            eventlet.sleep(70)
            self.assertTrue(world.send("r1-a-1", "read").is_ok())
            self.assertTrue(world.send("r1-a-1", "book", "POST", "k2", seconds=4.0).is_ok())

        self.run_world(test)

    # Guarantee 5: bookings.

    def test_a_key_runs_once_wherever_and_however_often_it_is_sent(self):
        def test(deployment, world):
            results = []
            for mode in ("up", "lossy", "late", "slow"):
                world.store.mode = mode
                for number in range(10):
                    for name in ("r1-a-1", "r1-a-2", "r2-a-1", "r1-a-1"):
                        key = f"{mode}-{number}"
                        world.spawn_send(results, name, "book", "POST", key, b"x", 4.0)
                eventlet.sleep(10)
            world.store.mode = "up"
            for number in range(10):
                world.spawn_send(results, "r1-b-1", "book", "POST", f"up-{number}", b"x", 4.0)
            eventlet.sleep(5)
            self.assertTrue(all(world.runs_by_key[f"up-{n}"] == 1 for n in range(10)))

        self.run_world(test)

    def test_an_outage_refuses_bookings_openly(self):
        def test(deployment, world):
            world.store.mode = "down"
            refusal = world.send("r1-a-1", "book", "POST", "k1", b"x", 4.0).err()
            self.assertIs(Code.STORE_UNREACHABLE, refusal.failure.code)
            # The entry can't rule out that an earlier request with this key has run.
            self.assertIs(Outcome.UNKNOWN, refusal.outcome)
            world.store.mode = "up"
            eventlet.sleep(6)
            self.assertTrue(world.send("r1-a-2", "book", "POST", "k1", b"x", 4.0).is_ok())

        self.run_world(test)

    def test_an_entry_frozen_between_claim_and_dispatch_does_not_run_late(self):
        def test(deployment, world):
            results = []
            world.spawn_send(results, "r1-a-1", "book", "POST", "k1", b"x", 2.0)
            while "bookings/book.k1" not in world.store.row_by_name:
                eventlet.sleep(0.0005)
            world.freeze("r1-a-1", 30)
            eventlet.sleep(3)
            told = world.send("r1-a-2", "book", "POST", "k1", b"x", 2.0).err()
            self.assertIs(Outcome.UNKNOWN, told.outcome)
            eventlet.sleep(40)
            self.assertEqual(0, world.runs_by_key["k1"])
            self.assertTrue(world.send("r1-a-2", "book", "POST", "k1", b"x", 2.0).is_ok())

        self.run_world(test)

    def test_a_claim_that_a_pause_outlasted_is_not_dispatched(self):
        def test(deployment, world):
            world.store.mode_by_entry["r1-a-1"] = "silent"
            world.spawn_send([], "r1-a-1", "book", "POST", "k1", b"x", 2.0)
            eventlet.sleep(0.01)
            # The answer to the first write is lost; the store answers again after the pause.
            world.store.mode_by_entry.clear()
            world.freeze("r1-a-1", 30)
            eventlet.sleep(50)
            self.assertEqual(0, world.runs_by_key["k1"])
            self.assertTrue(world.send("r1-a-2", "book", "POST", "k1", b"x", 2.0).is_ok())

        self.run_world(test)

    def test_an_entry_killed_after_dispatch_leaves_an_unknown_outcome(self):
        def test(deployment, world):
            results = []
            world.spawn_send(results, "r1-a-1", "book", "POST", "k1", b"x", 2.0)
            while not world.runs_by_key["k1"]:
                eventlet.sleep(0.001)
            world.kill("r1-a-1")
            told = [world.send("r1-a-2", "book", "POST", "k1", b"x", 4.0)]
            # Its successor at the same address is queried about the claim, or receives the key.
            world.start_entry("r1-a-1", "r1-a")
            eventlet.sleep(8)
            for name in ("r1-a-1", "r1-a-2"):
                told.append(world.send(name, "book", "POST", "k1", b"x", 4.0))
            for result in told:
                self.assertTrue(result.is_err(), result)
                self.assertIs(Code.KEY_UNKNOWN_OUTCOME, result.err().failure.code)
                self.assertIs(Outcome.UNKNOWN, result.err().outcome)

        self.run_world(test)

    def test_a_read_passed_on_to_an_entry_that_is_killed_has_an_unknown_outcome(self):
        def test(deployment, world):
            shares = {"r1-a": 0, "r1-b": 5000, "r2-a": 5000}
            deployment.accept(deployment.rows(shares, emptying=("r1-a",)))
            eventlet.sleep(3)
            results = []
            world.spawn_send(results, "r1-a-1", "read")
            while not (runs := [s.run_by_id for s in world.server_by_name.values() if s.run_by_id]):
                eventlet.sleep(0.001)
            [(process, _)] = runs[0].values()
            world.kill(process.split("#")[0])
            eventlet.sleep(3)
            [(_, result)] = results
            self.assertIs(Outcome.UNKNOWN, result.err().outcome)

        self.run_world(test)

    def check_passed_on(self, disturb, store_modes=("up",)):
        """Check bookings that are forwarded while ``disturb`` interferes in each round."""

        def test(deployment, world):
            for server in world.server_by_name.values():
                server.seconds = SLOW_S
            passed = set()
            for number in range(ROUNDS):
                world.store.mode = store_modes[number * len(store_modes) // ROUNDS]
                for name in (*SENDERS, SENDERS[0]):
                    world.spawn_send([], name, "book", "POST", f"k{number}", seconds=4.0)
                for name in SENDERS:
                    own = f"{name}-{number}"
                    world.spawn_send([], name, "book", "POST", own, seconds=4.0, first_use=True)
                disturb(deployment, world, number)
                eventlet.sleep(ROUND_S)
                passed.update(world.forwarded_requests)
            world.store.mode = "up"
            world.disconnected_pairs.clear()
            eventlet.sleep(15)
            sent = list(world.sends_by_key)
            ran = [key for key in sent if world.send("r1-a-2", "book", "POST", key).is_ok()]
            self.assertEqual({1}, {world.runs_by_key[key] for key in ran})
            self.assertGreater(len(ran), len(sent) // 2)
            self.assertGreater(len(passed), ROUNDS // 10)

        self.run_world(test, FIRST_REGION_ENTRIES)

    def test_passed_on_bookings_run_once_when_their_connections_are_reset_during_store_faults(self):
        choose = random.Random(1)

        def disturb(deployment, world, number):
            for forwarded in choose.sample(
                world.forwarded_requests, len(world.forwarded_requests) // 2
            ):
                forwarded.reset()

        self.check_passed_on(disturb, ("up", "lossy", "late", "slow", "down"))

    def test_passed_on_bookings_run_once_when_entries_are_cut_from_each_other(self):
        choose = random.Random(1)

        def disturb(deployment, world, number):
            world.disconnected_pairs.clear()
            if choose.random() < 0.3:
                forwarded_requests = [
                    (forwarded.sender, forwarded.receiver) for forwarded in world.forwarded_requests
                ]
                world.disconnected_pairs.update(frozenset(ends) for ends in forwarded_requests[:1])

        self.check_passed_on(disturb, ("up", "lossy"))

    def test_passed_on_bookings_run_once_when_the_entry_that_serves_them_is_killed(self):
        killed = []

        def disturb(deployment, world, number):
            if killed and number % RESTART_ROUNDS == 0:
                name = killed.pop()
                world.start_entry(name, FIRST_REGION_ENTRIES[name])
            receiver = [
                forwarded.receiver
                for forwarded in world.forwarded_requests
                if forwarded.receiver not in SENDERS
            ]
            if receiver and not killed and number % RESTART_ROUNDS > RESTART_ROUNDS // 2:
                killed.append(receiver[-1])
                world.kill(receiver[-1])

        self.check_passed_on(disturb, ("up", "lossy"))

    def test_a_key_with_another_body_is_refused(self):
        def test(deployment, world):
            self.assertTrue(world.send("r1-a-1", "book", "POST", "k1", b"x").is_ok())
            for name in ("r1-a-1", "r1-a-2"):
                refusal = world.send(name, "book", "POST", "k1", b"y").err()
                self.assertIs(Code.KEY_REUSED, refusal.failure.code)

        self.run_world(test)


if __name__ == "__main__":
    unittest.main()
