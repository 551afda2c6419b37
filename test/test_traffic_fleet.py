"""Fleet of backend servers: leaving, evacuated, missing and cold ones, and updates of peers."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.traffic.fleet import (
    REREGISTRATION_GRACE_S,
    RETURN_HOLD_S,
    Fleet,
    MissingServer,
    ServerRecord,
)
from figfold.core.traffic.row_order import LATE_WRITE_S


def make_record(server_id, **changes):
    record = ServerRecord(
        server_id, "stock", "10.0.0.1:80", "bne-north", 3, started_ms=1, row_version=1
    )
    return evolve(record, **changes)


def make_fleet(count=4, now_s=0.0):
    fleet = Fleet()
    fleet.apply_snapshot([make_record(f"s{i}") for i in range(count)], now_s, False, 1)
    return fleet


def usable_ids(fleet):
    return {server.record.id for server in fleet.usable_servers("stock")}


class LeavingTest(unittest.TestCase):
    def test_leaving_server_accepts_no_requests(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", is_leaving=True, row_version=2), 1.0)
        self.assertNotIn("s0", usable_ids(fleet))
        self.assertFalse(fleet.accepts_requests("s0"))

    def test_older_record_of_a_leaving_process_is_ignored(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", is_leaving=True, row_version=5), 1.0)
        fleet.apply_record(make_record("s0", row_version=4), 1.1)
        self.assertFalse(fleet.accepts_requests("s0"))

    def test_new_process_under_the_same_id_replaces_the_leaving_one(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", is_leaving=True, row_version=5), 1.0)
        fleet.apply_record(
            make_record("s0", started_ms=2, row_version=6, cold_remaining_s=3.0), 2.0
        )
        self.assertTrue(fleet.accepts_requests("s0"))
        self.assertTrue(fleet.server_by_id["s0"].is_cold(4.9))

    # The notice of a server's own answer was not read; rows and peers that do not know of it yet
    # must not undo it.
    def test_server_that_announced_its_leaving_is_not_used_again_by_any_row(self):
        fleet = make_fleet()
        self.assertTrue(fleet.mark_leaving("s0", 1))
        self.assertFalse(fleet.mark_leaving("s0", 1))
        for number, apply in enumerate(
            (
                lambda version: fleet.apply_record(make_record("s0", row_version=version), 1.0),
                lambda version: fleet.apply_removal("s0", 2.0, False, version),
                lambda version: fleet.apply_removal("s0", 2.0, True, version),
                lambda version: fleet.apply_record(make_record("s0", row_version=version), 9.0),
            )
        ):
            apply(2 + number)
            self.assertNotIn("s0", usable_ids(fleet))
            self.assertFalse(fleet.accepts_requests("s0"))

    def test_new_process_is_not_bound_by_what_the_former_one_announced(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", started_ms=2, row_version=2), 1.0)
        fleet.mark_leaving("s0", 1)
        self.assertTrue(fleet.accepts_requests("s0"))
        fleet.mark_leaving("s1", 1)
        fleet.apply_record(make_record("s1", started_ms=2, row_version=3), 1.0)
        self.assertTrue(fleet.accepts_requests("s1"))

    def test_server_is_removed_at_once_without_an_outage(self):
        fleet = make_fleet()
        self.assertTrue(fleet.apply_removal("s1", 1.0, after_outage=False, store_version=2))
        self.assertFalse(fleet.accepts_requests("s1"))


class OutageTest(unittest.TestCase):
    def test_missing_server_is_not_used_when_most_others_are_present(self):
        """The server may have left while this entry could not reach the store."""
        fleet = make_fleet()
        present = [make_record(f"s{i}", row_version=9) for i in range(3)]
        fleet.apply_snapshot(present, 20.0, after_outage=True, store_version=9)
        self.assertEqual(usable_ids(fleet), {"s0", "s1", "s2"})

    def test_expired_servers_are_used_until_the_grace_time_ends(self):
        """Most rows expired during an outage of the store; live servers register again in 2 s."""
        fleet = make_fleet()
        fleet.apply_snapshot(
            [make_record("s0", row_version=9)], 20.0, after_outage=True, store_version=9
        )
        self.assertEqual(len(usable_ids(fleet)), 4)
        self.assertEqual(len(fleet.evict_missing(20.1 + REREGISTRATION_GRACE_S)), 3)
        self.assertEqual(usable_ids(fleet), {"s0"})

    def test_leaving_server_that_is_missing_is_removed_at_once(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", is_leaving=True, row_version=2), 1.0)
        _, removed = fleet.apply_snapshot([], 20.0, after_outage=True, store_version=9)
        self.assertEqual(removed, ["s0"])


class MissingAtPeerTest(unittest.TestCase):
    """Rows that are missing after an outage, between the entry that read the store and a peer."""

    def make_pair(self):
        source, follower = make_fleet(), Fleet()
        generation = _apply_update(source, follower, 0)
        return source, follower, generation

    # A missing server was told as present or not at all, and a peer went on using it.
    def test_peer_learns_at_once_that_a_row_is_missing(self):
        source, follower, generation = self.make_pair()
        source.apply_changes((), ["s0"], 10.0, True, 5)
        for after in (generation, 0):
            _apply_update(source, follower, after, 10.5)
            self.assertEqual(usable_ids(follower), {"s1", "s2", "s3"})
            self.assertEqual(follower.missing_ids(), {"s0"})

    def test_grace_time_counts_from_the_first_entry_that_missed_the_row(self):
        source, follower, generation = self.make_pair()
        source.apply_changes((), ["s0"], 10.0, True, 5)
        _apply_update(source, follower, generation, 11.5)
        self.assertEqual(follower.evict_missing(10.1 + REREGISTRATION_GRACE_S), ["s0"])

    def test_missing_server_that_registers_again_is_used_again(self):
        source, follower, generation = self.make_pair()
        source.apply_changes((), ["s0"], 10.0, True, 5)
        generation = _apply_update(source, follower, generation, 10.1)
        source.apply_changes([make_record("s0", row_version=6)], (), 11.0, True, 6)
        _apply_update(source, follower, generation, 11.1)
        self.assertEqual(len(usable_ids(follower)), 4)

    def test_leaving_server_that_is_missing_at_a_peer_is_removed(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", is_leaving=True, row_version=2), 1.0)
        _, removed = fleet.apply_changes((), (), 2.0, False, 3, [MissingServer("s0", 0.2)])
        self.assertEqual(removed, ["s0"])


class OutdatedPeerTest(unittest.TestCase):
    """Rows of a peer that is cut off from the store, or whose reply was long on its way."""

    # Data of a peer that seemed to be later by the clock brought back servers that had left.
    def test_row_written_before_a_removal_does_not_restore_the_server(self):
        fleet = make_fleet()
        fleet.apply_removal("s0", 5.0, False, 7)
        for row_version in (1, 6, 7):
            self.assertFalse(fleet.apply_record(make_record("s0", row_version=row_version), 60.0))
        self.assertNotIn("s0", usable_ids(fleet))

    def test_row_written_after_a_removal_restores_the_server(self):
        fleet = make_fleet()
        fleet.apply_removal("s0", 5.0, False, 7)
        self.assertTrue(fleet.apply_record(make_record("s0", row_version=8), 5.0))
        self.assertIn("s0", usable_ids(fleet))

    def test_row_written_before_it_was_missing_does_not_restore_the_server(self):
        fleet = make_fleet()
        fleet.apply_removal("s0", 5.0, True, 7)
        fleet.apply_record(make_record("s0"), 5.1)
        self.assertNotIn("s0", usable_ids(fleet))

    # A server that was gone after less than a second was never known to its remover, so that a
    # peer's earlier rows brought it back.
    def test_earlier_view_adds_no_server_that_is_not_known(self):
        for is_snapshot in (True, False):
            fleet, brief = make_fleet(), make_record("brief", row_version=6)
            fleet.apply_changes((), (), 1.0, False, 7)
            if is_snapshot:
                known = [server.record for server in fleet.server_by_id.values()]
                fleet.apply_snapshot([*known, brief], 2.0, False, 6)
            else:
                fleet.apply_changes([brief], (), 2.0, False, 6)
            self.assertNotIn("brief", fleet.server_by_id)
            fleet.apply_changes([brief], (), 2.0, False, 7)
            self.assertIn("brief", fleet.server_by_id, "a row that an update has missed")

    def test_earlier_snapshot_removes_no_server_that_registered_later(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("new", row_version=8), 1.0)
        _, removed = fleet.apply_snapshot([], 2.0, False, 7)
        self.assertEqual(removed, [f"s{i}" for i in range(4)])
        self.assertEqual(usable_ids(fleet), {"new"})
        self.assertEqual(fleet.store_version, 7)

    def test_earlier_removal_does_not_remove_a_server_that_registered_again(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", started_ms=2, row_version=8), 1.0)
        self.assertFalse(fleet.apply_removal("s0", 2.0, False, 7))
        self.assertIn("s0", usable_ids(fleet))

    def test_row_of_an_earlier_process_does_not_replace_the_later_one(self):
        fleet = make_fleet()
        fleet.apply_record(make_record("s0", started_ms=2, row_version=8), 1.0)
        fleet.apply_record(make_record("s0", started_ms=1, row_version=7), 2.0)
        self.assertEqual(fleet.server_by_id["s0"].record.started_ms, 2)


class LateWriteTest(unittest.TestCase):
    """Rows that the store performs seconds after their servers wrote them."""

    def apply(self, fleet, version, sequence, now_s=1.0, **changes):
        changes = {"row_version": version, "sequence": sequence} | changes
        return fleet.apply_record(make_record("s0", **changes), now_s)

    # A heartbeat without an answer, which the store performed after the server had reported that it
    # leaves, had the later version, so that the server got bookings again.
    def test_late_heartbeat_does_not_take_back_that_a_server_leaves(self):
        fleet, late = make_fleet(), []
        fleet.on_late_row = lambda record, known: late.append((record.sequence, known.sequence))
        self.apply(fleet, 5, 7, is_leaving=True)
        self.assertFalse(self.apply(fleet, 9, 5))
        self.assertFalse(fleet.accepts_requests("s0"))
        self.assertEqual(late, [(5, 7)])

    def test_row_that_a_late_write_replaced_is_taken_from_a_peer(self):
        fleet = make_fleet()
        self.apply(fleet, 9, 5)
        self.assertTrue(self.apply(fleet, 5, 7, is_leaving=True))
        self.assertFalse(fleet.accepts_requests("s0"))

    def test_late_heartbeat_does_not_bring_back_a_server_that_is_gone(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 7)
        fleet.apply_removal("s0", 2.0, False, 8)
        self.assertFalse(self.apply(fleet, 9, 6, 3.0))
        self.assertNotIn("s0", fleet.server_by_id)

    # An entry that was not told the last heartbeats cannot know that the late one was before them.
    def test_server_whose_last_rows_were_missed_is_used_again_from_its_second_row_on(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 2)
        fleet.apply_removal("s0", 5.0, False, 8)
        self.apply(fleet, 9, 6, 6.0)
        self.assertFalse(fleet.accepts_requests("s0"))
        self.assertTrue(self.apply(fleet, 10, 7, 7.5))
        self.assertTrue(fleet.accepts_requests("s0"))

    # The last heartbeat before the removal got no answer, and was performed after it. All others
    # had been read, so that it was taken for the row of a server that is back (DRAIN).
    def test_late_heartbeat_that_follows_the_last_row_does_not_bring_back_its_server(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 7, 2.0)
        fleet.apply_removal("s0", 4.2, False, 8)
        self.apply(fleet, 9, 8, 8.0)
        self.assertFalse(fleet.accepts_requests("s0"))
        self.assertTrue(self.apply(fleet, 10, 9, 9.5))
        self.assertTrue(fleet.accepts_requests("s0"))

    def test_server_whose_last_rows_were_missed_is_used_again_if_its_row_stays(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 2)
        fleet.apply_removal("s0", 5.0, False, 8)
        self.apply(fleet, 9, 6, 6.0)
        generation = fleet.generation
        fleet.release_held(6.0 + RETURN_HOLD_S - 0.1)
        self.assertFalse(fleet.accepts_requests("s0"))
        fleet.release_held(6.0 + RETURN_HOLD_S)
        self.assertTrue(fleet.accepts_requests("s0"))
        self.assertGreater(fleet.generation, generation)

    def test_server_that_is_back_is_used_at_once_if_its_last_rows_were_read(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 7, 2.0)
        fleet.apply_removal("s0", 3.0, False, 8)
        self.apply(fleet, 9, 10, 7.0)
        self.assertTrue(fleet.accepts_requests("s0"))
        generation = fleet.generation
        self.apply(fleet, 10, 11, 8.5)
        self.assertGreater(fleet.generation, generation, "told to peers that hold it")

    def test_new_process_is_used_at_once_after_a_removal(self):
        fleet = make_fleet()
        fleet.apply_removal("s0", 2.0, False, 8)
        self.assertTrue(self.apply(fleet, 9, 1, 3.0, started_ms=2))
        self.assertTrue(fleet.accepts_requests("s0"))

    # The former process may have been ready, or warm, when it wrote the row.
    def test_late_row_of_the_former_process_does_not_replace_the_later_one(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 1, started_ms=2, is_leaving=True)
        self.assertFalse(self.apply(fleet, 9, 40, 1.0 + LATE_WRITE_S - 0.1))
        self.assertFalse(fleet.accepts_requests("s0"))

    def test_process_that_started_with_a_clock_set_back_replaces_the_former_one(self):
        fleet = make_fleet()
        self.apply(fleet, 5, 1, started_ms=2)
        self.assertTrue(self.apply(fleet, 9, 3, 1.0 + LATE_WRITE_S))
        self.assertEqual(fleet.server_by_id["s0"].record.started_ms, 1)

    def test_late_heartbeat_of_a_server_that_states_no_start_is_ignored_for_a_while(self):
        fleet = Fleet()
        self.apply(fleet, 5, 7, started_ms=0, is_leaving=True)
        self.apply(fleet, 9, 5, 2.0, started_ms=0)
        self.assertFalse(fleet.accepts_requests("s0"))
        self.apply(fleet, 10, 1, 1.0 + LATE_WRITE_S, started_ms=0)
        self.assertTrue(fleet.accepts_requests("s0"))

    @given(st.permutations(range(8)), st.integers(1, 8))
    def test_latest_row_of_a_process_stays_in_whatever_order_the_store_performs_them(
        self, sequences, leaves_from
    ):
        fleet = make_fleet()
        for number, sequence in enumerate(sequences):
            leaves = sequence >= leaves_from
            self.apply(fleet, 2 + number, sequence, 1.0 + number, is_leaving=leaves)
            latest = max(sequences[: number + 1])
            self.assertEqual(fleet.server_by_id["s0"].record.sequence, latest)
            self.assertEqual(fleet.accepts_requests("s0"), latest < leaves_from)


class EvacuationTest(unittest.TestCase):
    def test_servers_of_an_evacuated_place_get_no_requests_and_return_cold(self):
        fleet = make_fleet()
        self.assertTrue(fleet.set_evacuated({"bne-north"}, 1.0, 1))
        self.assertFalse(fleet.accepts_requests("s0"))
        fleet.set_evacuated((), 5.0, 2)
        self.assertTrue(fleet.accepts_requests("s0"))
        self.assertTrue(fleet.server_by_id["s0"].is_cold(7.0))
        self.assertFalse(fleet.server_by_id["s0"].is_cold(8.1))

    # Evacuations that a peer had not heard of were taken back by its reply.
    def test_evacuations_as_of_an_earlier_version_change_nothing(self):
        fleet = make_fleet()
        fleet.set_evacuated({"bne-north"}, 1.0, 7)
        self.assertFalse(fleet.set_evacuated((), 9.0, 6))
        self.assertFalse(fleet.accepts_requests("s0"))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("record", "leave", "remove", "restart", "miss")),
        st.sampled_from(("s0", "s1", "s2")),
    ),
    max_size=30,
)


class FleetUpdateTest(unittest.TestCase):
    @given(STEPS, st.integers(0, 30))
    def test_updates_bring_a_peer_to_the_same_fleet(self, steps, update_after):
        source, follower = make_fleet(3), Fleet()
        generation = 0
        for number, (step, server_id) in enumerate(steps):
            _apply(source, step, server_id, number)
            if number == update_after:
                generation = _apply_update(source, follower, generation)
        _apply_update(source, follower, generation)
        self.assertEqual(_state(source), _state(follower))

    def test_heartbeat_does_not_change_the_generation(self):
        fleet = make_fleet()
        generation = fleet.generation
        fleet.apply_record(make_record("s0", row_version=2), 1.0)
        self.assertEqual(fleet.generation, generation)


def _apply(fleet, step, server_id, number):
    known = fleet.server_by_id.get(server_id)
    started_ms = known.record.started_ms if known else 1000 + number
    if step in ("remove", "miss"):
        fleet.apply_changes((), [server_id], float(number), step == "miss", number + 2)
        return
    if step == "restart":
        started_ms = 2000 + number
    record = make_record(
        server_id, row_version=number + 2, started_ms=started_ms, is_leaving=step == "leave"
    )
    fleet.apply_changes([record], (), float(number), False, number + 2)


def _apply_update(source, follower, generation, now_s=50.0):
    update = source.update_since(generation, now_s)
    version, missing = update.store_version, update.missing
    if update.is_snapshot:
        follower.apply_snapshot(update.records, now_s, False, version, missing)
    else:
        follower.apply_changes(update.records, update.removed_ids, now_s, False, version, missing)
    return update.generation


def _state(fleet):
    return {
        server_id: (
            server.record.is_leaving,
            server.record.started_ms,
            server.missing_since_s is not None,
        )
        for server_id, server in fleet.server_by_id.items()
    }


if __name__ == "__main__":
    unittest.main()
