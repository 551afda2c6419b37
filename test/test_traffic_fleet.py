"""Which servers may be sent requests: leaving, evacuated, missing and cold ones."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.traffic.fleet import LAPSE_GRACE_S, Fleet, ServerRecord


def make_record(server_id, **changes):
    record = ServerRecord(server_id, "stock", "10.0.0.1:80", "bne-north", 3, born_ms=1, sequence=1)
    return evolve(record, **changes)


def make_fleet(count=4, now_s=0.0):
    fleet = Fleet()
    fleet.take_listing([make_record(f"s{i}") for i in range(count)], now_s, False)
    return fleet


def usable_ids(fleet):
    return {server.record.id for server in fleet.usable("stock")}


class LeavingTest(unittest.TestCase):
    def test_leaving_server_gets_nothing(self):
        fleet = make_fleet()
        fleet.take_record(make_record("s0", is_leaving=True, sequence=2), 1.0)
        self.assertNotIn("s0", usable_ids(fleet))
        self.assertFalse(fleet.may_send("s0"))

    def test_older_word_of_a_process_does_not_bring_it_back(self):
        fleet = make_fleet()
        fleet.take_record(make_record("s0", is_leaving=True, sequence=5), 1.0)
        fleet.take_record(make_record("s0", sequence=4), 1.1)
        self.assertFalse(fleet.may_send("s0"))

    def test_new_process_under_the_same_id_begins_anew(self):
        fleet = make_fleet()
        fleet.take_record(make_record("s0", is_leaving=True, sequence=5), 1.0)
        fleet.take_record(make_record("s0", born_ms=2, sequence=0, cold_remaining_s=3.0), 2.0)
        self.assertTrue(fleet.may_send("s0"))
        self.assertTrue(fleet.server_by_id["s0"].is_cold(4.9))

    def test_removed_entry_is_gone_at_once_in_calm(self):
        fleet = make_fleet()
        self.assertTrue(fleet.take_removal("s1", 1.0, after_outage=False))
        self.assertFalse(fleet.may_send("s1"))


class OutageTest(unittest.TestCase):
    def test_missing_server_rests_when_the_others_are_there(self):
        """A server that left while this entry was cut off gets nothing after its return."""
        fleet = make_fleet()
        present = [make_record(f"s{i}", sequence=9) for i in range(3)]
        fleet.take_listing(present, 20.0, after_outage=True)
        self.assertEqual(usable_ids(fleet), {"s0", "s1", "s2"})

    def test_lapsed_servers_are_used_until_the_grace_ends(self):
        """Most entries lapsed while the store was away, and are back two seconds later."""
        fleet = make_fleet()
        fleet.take_listing([make_record("s0", sequence=9)], 20.0, after_outage=True)
        self.assertEqual(len(usable_ids(fleet)), 4)
        self.assertEqual(len(fleet.drop_missing(20.1 + LAPSE_GRACE_S)), 3)
        self.assertEqual(usable_ids(fleet), {"s0"})

    def test_leaving_server_that_is_missing_is_gone(self):
        fleet = make_fleet()
        fleet.take_record(make_record("s0", is_leaving=True, sequence=2), 1.0)
        self.assertEqual(fleet.take_listing([], 20.0, after_outage=True), ["s0"])


class RevivalTest(unittest.TestCase):
    def test_older_knowledge_of_another_entry_does_not_bring_a_server_back(self):
        """An entry that is cut off from the store still has the server, as of some time ago."""
        fleet = make_fleet()
        fleet.take_removal("s0", 5.0, False)
        stale = make_record("s0", sequence=99)
        self.assertTrue(fleet.is_revival(stale, read_s=4.0))
        self.assertTrue(fleet.is_revival(stale, read_s=5.1))
        self.assertFalse(fleet.is_revival(stale, read_s=6.0))
        self.assertFalse(fleet.is_revival(make_record("s1"), read_s=4.0))
        self.assertFalse(fleet.is_revival(make_record("new"), read_s=4.0))


class EvacuationTest(unittest.TestCase):
    def test_evacuated_place_gets_nothing_and_returns_cold(self):
        fleet = make_fleet()
        self.assertTrue(fleet.set_evacuated({"bne-north"}, 1.0))
        self.assertFalse(fleet.may_send("s0"))
        fleet.set_evacuated((), 5.0)
        self.assertTrue(fleet.may_send("s0"))
        self.assertTrue(fleet.server_by_id["s0"].is_cold(7.0))
        self.assertFalse(fleet.server_by_id["s0"].is_cold(8.1))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("record", "leave", "remove", "restart")),
        st.sampled_from(("s0", "s1", "s2")),
    ),
    max_size=30,
)


class NewsTest(unittest.TestCase):
    @given(STEPS, st.integers(0, 30))
    def test_news_bring_another_entry_to_the_same_fleet(self, steps, asked_after):
        source, follower = make_fleet(3), Fleet()
        generation = 0
        for number, (step, server_id) in enumerate(steps):
            _apply(source, step, server_id, number)
            if number == asked_after:
                generation = _take_news(source, follower, generation)
        _take_news(source, follower, generation)
        self.assertEqual(_state(source), _state(follower))

    def test_heartbeats_are_no_news(self):
        fleet = make_fleet()
        generation = fleet.generation
        fleet.take_record(make_record("s0", sequence=2), 1.0)
        self.assertEqual(fleet.generation, generation)


def _apply(fleet, step, server_id, number):
    known = fleet.server_by_id.get(server_id)
    born_ms = known.record.born_ms if known else 1000 + number
    if step == "remove":
        fleet.take_removal(server_id, float(number), False)
        return
    if step == "restart":
        born_ms = 2000 + number
    record = make_record(
        server_id, sequence=number + 2, born_ms=born_ms, is_leaving=step == "leave"
    )
    fleet.take_record(record, float(number))


def _take_news(source, follower, generation):
    news = source.news_since(generation, 50.0)
    if news.is_whole:
        follower.take_listing(news.records, 50.0, False)
    for record in news.records:
        follower.take_record(record, 50.0)
    for server_id in news.removed_ids:
        follower.take_removal(server_id, 50.0, False)
    return news.generation


def _state(fleet):
    return {
        server_id: (server.record.is_leaving, server.record.born_ms)
        for server_id, server in fleet.server_by_id.items()
    }


if __name__ == "__main__":
    unittest.main()
