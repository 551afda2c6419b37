import unittest
from unittest.mock import patch

import eventlet

from figfold.core.codes import Code, Outcome
from figfold.core.model import ServiceLoad
from figfold.core.steering import LookupEntry
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.live_entry_cache import LiveEntryCache
from figfold.entry.router import Router, refused
from figfold.entry.spillover import Offer, SpilloverSelector
from test.false_loads import falsify_reports, report_full, report_idle, report_no_load
from test.virtual import run_virtual
from test.virtual_deployment import CAP, ENTRIES, FIRST_REGION_ENTRIES, Deployment

# With this duration, two entries that get 40 reads a second have capacity for 30 of them.
SERVICE_S = 0.2
SENDS = 200
SEND_S = 0.05


class FakeMembership:
    """Reports a fixed list of entries as live."""

    def __init__(self, entries):
        self.entries = entries

    def live_entries(self, now_s):
        return {entry.name: entry for entry in self.entries}


class FakeEntry:
    def __init__(self, name, room, age_s=0.0, place="p"):
        self.name = name
        self.place = place
        self.address = "10.0.0.1:1"
        self.room = room
        self.age_s = age_s

    def heard_within(self, now_s, window_s):
        return self.age_s < window_s


def make_selector(*entries):
    selector = SpilloverSelector("own", frozenset("p"), LiveEntryCache(FakeMembership(entries)))
    for entry in entries:
        selector.record_round_trip(entry.name, 0.001)
        selector.record_loads(entry.name, [ServiceLoad("read", 0, 0, entry.room)])
    return selector


class ChoiceTest(unittest.TestCase):
    def test_request_with_a_short_wait_is_not_offered(self):
        self.assertIsNone(make_selector(FakeEntry("a", 4)).choose("read", 0.004, False))

    def test_request_with_a_long_wait_is_offered_to_the_nearest_entry_with_room(self):
        selector = make_selector(FakeEntry("a", 4), FakeEntry("b", 0), FakeEntry("c", 0))
        selector.record_loads("c", [ServiceLoad("read", 4, 1, 0)])
        selector.record_round_trip("a", 0.1)
        selector.record_round_trip("c", 0.0)
        offer = selector.choose("read", 0.05, False)
        self.assertEqual(LookupEntry("b", "p", "10.0.0.1:1"), offer.entry)
        # The wait here, reduced by the required ratio, less the cost of forwarding.
        self.assertAlmostEqual(0.05 / 1.5 - 0.004, offer.wait_limit_s)

    def test_entries_of_other_regions_are_chosen_only_if_allowed(self):
        selector = make_selector(FakeEntry("a", 4, place="far"))
        selector.round_trip_by_name["a"] = 0.1
        self.assertIsNone(selector.choose("read", 1.0, False))
        self.assertEqual("a", selector.choose("read", 1.0, True).entry.name)
        self.assertIsNone(selector.choose("read", 0.1, True))

    def test_entry_with_a_stale_or_missing_report_is_not_chosen(self):
        self.assertIsNone(make_selector(FakeEntry("a", 4, age_s=3.0)).choose("read", 1.0, False))
        self.assertIsNone(make_selector(FakeEntry("a", 4)).choose("other", 1.0, False))

    def test_queued_requests_lower_the_smoothed_room(self):
        selector = make_selector(FakeEntry("a", 1))
        selector.record_loads("a", [ServiceLoad("read", 4, 8, 0)])
        self.assertIsNone(selector.choose("read", 1.0, False))

    def test_backoff_of_an_entry_without_room_doubles_each_time(self):
        def run(hub):
            selector = make_selector(FakeEntry("a", 4))
            for pause_s in (0.02, 0.04, 0.08):
                selector.start_backoff("a", "read")
                eventlet.sleep(0.9 * pause_s)
                self.assertIsNone(selector.choose("read", 1.0, False))
                eventlet.sleep(0.2 * pause_s)
                self.assertIsNotNone(selector.choose("read", 1.0, False))
            selector.start_backoff("a", "read")
            selector.clear_backoff("a", "read")
            self.assertIsNotNone(selector.choose("read", 1.0, False))

        run_virtual(run)


def start_slow(hub, entries):
    """Return a deployment whose backend servers take `SERVICE_S` for each request."""
    deployment = Deployment(hub, entries)
    eventlet.sleep(8)
    for server in deployment.world.server_by_name.values():
        server.seconds = SERVICE_S
    return deployment


class SpillTest(unittest.TestCase):
    def test_reads_at_a_busy_place_use_the_room_of_its_region_within_the_caps(self):
        self._overload(FIRST_REGION_ENTRIES, ("r1-a-1", "r1-a-2"))

    def test_reads_of_a_busy_region_use_the_room_of_another_within_the_caps(self):
        self._overload(ENTRIES, tuple(FIRST_REGION_ENTRIES))

    def _overload(self, entries, busy):
        """Send 4/3 of their capacity to some entries; nearly all reads must be answered in time."""

        def run(hub):
            deployment = start_slow(hub, entries)
            world = deployment.world
            durations = []

            def send(name):
                started = hub.now
                if world.send(name, "read").is_ok():
                    durations.append(hub.now - started)

            for _ in range(SENDS):
                for name in busy:
                    world.hub.run_as(world.process_by_name[name], eventlet.spawn_n, send, name)
                eventlet.sleep(SEND_S)
            eventlet.sleep(3)
            self.assertGreaterEqual(len(durations), 0.98 * len(busy) * SENDS)
            self.assertLessEqual(sorted(durations)[int(0.99 * len(durations))], 2 * SERVICE_S)
            self.assertEqual([], world.violations)

        run_virtual(run)

    def test_false_loads_of_a_full_place_leave_no_room_of_its_neighbour_unused(self):
        def run(hub, change):
            deployment = start_slow(hub, ENTRIES)
            world = deployment.world
            for name in ("r1-a-1", "r1-a-2"):
                falsify_reports(world.node_by_name[name].peers, change)
            eventlet.sleep(3)
            load = deployment.load(20, seconds=15, limit_s=0.5, place="r1-a")
            eventlet.sleep(17)
            answered = [end.ok().status for _, end in load if end.is_ok()].count(200)
            self.assertGreaterEqual(answered, 0.98 * len(load))
            self.assertEqual([], world.violations)

        for change in (report_idle, report_full, report_no_load):
            with self.subTest(change.__name__):
                run_virtual(lambda hub, change=change: run(hub, change))

    def test_what_would_wait_too_long_is_refused_at_once_and_served_where_it_came_from(self):
        def run(hub):
            deployment = start_slow(hub, FIRST_REGION_ENTRIES)
            world = deployment.world
            router = world.node_by_name["r1-a-1"].router
            others = [name for name in FIRST_REGION_ENTRIES if name != "r1-a-1"]
            results = []
            for name in FIRST_REGION_ENTRIES:
                # Each entry learns how long a read takes.
                world.send(name, "read")
            # The others are full, although their latest reports still show room.
            for name in [name for name in others for _ in range(2 * CAP)]:
                world.spawn_send(results, name, "read")
            eventlet.sleep(0.01)
            for _ in range(CAP):
                world.spawn_send(results, "r1-a-1", "read")
            eventlet.sleep(0.02)
            self.assertTrue(router.spillover_selector.backoff_by_key)
            eventlet.sleep(3)
            self.assertEqual(2 * CAP * len(others) + CAP, len(results))
            self.assertTrue(all(result.is_ok() for _, result in results))
            self.assertEqual([], world.violations)

        run_virtual(run)

    def test_a_read_offered_to_an_entry_that_never_answers_is_served_in_time(self):
        def run(hub):
            world = start_slow(hub, ENTRIES).world
            offer = Offer(LookupEntry("r2-a-1", "r2-a", world.address_of("r2-a-1")), 1.0)
            world.disconnected_pairs.add(frozenset(("r1-a-1", "r2-a-1")))
            with patch.object(SpilloverSelector, "choose", lambda *_: offer):
                with patch.object(Dispatcher, "expected_wait_s", lambda *_: 1.0):
                    result = world.send("r1-a-1", "read")
            self.assertTrue(result.is_ok())
            self.assertTrue(world.node_by_name["r1-a-1"].router.spillover_selector.backoff_by_key)

        run_virtual(run)

    def test_a_booking_known_to_have_run_is_told_so_after_a_failed_offer(self):
        def run(hub):
            deployment = Deployment(hub, FIRST_REGION_ENTRIES)
            eventlet.sleep(8)
            failed = refused(Code.PEER_ENTRY_FAILED, "", "", Outcome.UNKNOWN)
            ran = refused(Code.ANSWER_NOT_KEPT, "", "", Outcome.RAN)
            with patch.object(Router, "_try_spillover", lambda *_: failed):
                with patch.object(Router, "_serve_here", lambda *_: ran):
                    result = deployment.world.send("r1-a-1", "book", "POST", "k")
            self.assertEqual(Outcome.RAN, result.err().outcome)

        run_virtual(run)

    def test_bookings_at_a_busy_place_are_claimed_where_there_is_room_and_run_once(self):
        def run(hub):
            deployment = start_slow(hub, FIRST_REGION_ENTRIES)
            world = deployment.world
            durations = []

            def send(name, key):
                started = hub.now
                if world.send(name, "book", "POST", key, seconds=4.0).is_ok():
                    durations.append(hub.now - started)

            for number in range(SENDS):
                for name in ("r1-a-1", "r1-a-2"):
                    process = world.process_by_name[name]
                    # Each key is sent to both entries, at the same moment.
                    world.hub.run_as(process, eventlet.spawn_n, send, name, f"k{number}")
                    key = f"{name}-{number}"
                    world.hub.run_as(process, eventlet.spawn_n, send, name, key)
                eventlet.sleep(2 * SEND_S)
            eventlet.sleep(5)
            world.check_claims()
            self.assertEqual([], world.violations)
            self.assertEqual({1}, set(world.runs_by_key.values()))
            self.assertLessEqual(sorted(durations)[int(0.99 * len(durations))], 3 * SERVICE_S)

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()
