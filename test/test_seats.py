import unittest

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.seat_parts import PartKind, list_parts, split_cap, split_slots
from figfold.core.seats import SeatLeases, SeatOptions, SeatRow, SeatStep


class SplitTest(unittest.TestCase):
    @given(st.integers(0, 500), st.integers(1, 8))
    def test_quotas_add_up_to_the_cap(self, cap, count):
        parts = list_parts("p", count)
        quotas = split_cap(cap, parts)
        self.assertEqual(cap, sum(quotas.values()))
        self.assertLessEqual(max(quotas.values()) - min(quotas.values()), 1)

    @given(st.text(min_size=1, max_size=12), st.integers(0, 40), st.integers(1, 8))
    def test_slots_of_a_server_add_up(self, name, slots, count):
        split = split_slots(name, slots, list_parts("p", count))
        self.assertEqual(slots, sum(split.values()))

    def test_the_seats_of_small_places_use_nearly_the_whole_cap(self):
        for servers in (2, 3, 4):
            parts = list_parts("p", 2)
            quotas = split_cap(3 * servers, parts)
            usable = 0
            for index in range(2):
                own = [part for part in parts if part.index == index]
                slots = sum(
                    split_slots(f"s-{number + 1}", 3, parts)[part]
                    for number in range(servers)
                    for part in own
                )
                usable += min(slots, sum(quotas[part] for part in own))
            self.assertEqual(3 * servers, usable, servers)


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.options = SeatOptions()
        self.leases = SeatLeases.from_config("a", "p", "10.0.0.1:1", 5, self.options, 30.0)
        self.part = self.leases.parts[0]

    def read_and_act(self, now, row=None, age=0.0):
        self.leases.record_read(self.part, '"1"' if row else "", row, age, now)
        actions = [a for a in self.leases.due_actions(now) if a.part is self.part]
        return actions[0] if actions else None

    def test_a_lease_is_counted_from_before_the_write(self):
        action = self.read_and_act(100.0)
        self.assertIs(SeatStep.ACQUIRE, action.step)
        self.leases.record_write(action, '"2"', 100.0, 103.0)
        end = 100.0 + self.options.ttl_s(self.part.kind)
        self.assertEqual([self.part], self.leases.usable_parts(5.0, end - 0.1))
        self.assertEqual([], self.leases.usable_parts(5.0, end))

    def test_lease_of_a_row_seen_first_is_as_old_as_the_stores_clock_says(self):
        row = SeatRow("b", "10.0.0.2:1", 1, 10.0, renewed_s=50.0)
        self.assertEqual(row, SeatRow.decode(row.encode()))
        self.assertEqual(13.0, row.age_s(0.0, 63.0))
        action = self.read_and_act(100.0, row, age=row.age_s(0.0, 63.0))
        self.assertIs(SeatStep.ACQUIRE, action.step)

    def test_store_whose_clock_is_not_known_or_went_back_makes_no_lease_older(self):
        for renewed_s, store_s in ((None, 63.0), (50.0, None), (50.0, 3.0)):
            row = SeatRow("b", "10.0.0.2:1", 1, 10.0, renewed_s)
            self.assertEqual(2.0, row.age_s(2.0, store_s))

    def test_a_live_lease_is_not_acquired(self):
        row = SeatRow("b", "10.0.0.2:1", 1, 10.0)
        self.assertIsNone(self.read_and_act(100.0, row, age=12.0))
        self.assertIs(SeatStep.ACQUIRE, self.read_and_act(102.0, row, age=12.1).step)

    def test_an_acquired_part_is_unused_until_the_former_holders_requests_end(self):
        action = self.read_and_act(100.0, SeatRow("b", "10.0.0.2:1", 1, 10.0), age=13.0)
        self.leases.record_write(action, '"2"', 100.0, 100.0)
        self.assertEqual([], self.leases.usable_parts(5.0, 106.9))
        self.assertEqual([self.part], self.leases.usable_parts(5.0, 107.0))
        self.assertEqual([self.part], self.leases.usable_parts(2.0, 104.0))

    def test_an_acquired_part_is_kept_for_the_longest_request_before_any_plan_is_known(self):
        part = self.leases.parts[2]
        self.leases.record_read(part, '"1"', SeatRow("a", "10.0.0.1:1", 4, 5400.0), 0.0, 100.0)
        action = next(a for a in self.leases.due_actions(100.0) if a.part is part)
        self.leases.record_write(action, '"2"', 100.0, 100.0)
        self.leases.set_place_entries(["a", "b"])
        self.assertEqual([], self.leases.release_actions(131.9))
        self.assertEqual([part], [a.part for a in self.leases.release_actions(132.0)])

    def test_the_parts_of_an_earlier_process_on_the_address_are_acquired_at_once(self):
        earlier = SeatRow("a", "10.0.0.1:1", 4, 5400.0)
        self.assertIs(SeatStep.ACQUIRE, self.read_and_act(100.0, earlier, age=0.0).step)
        later = SeatRow("a", "10.0.0.1:1", 6, 5400.0)
        self.assertIsNone(self.read_and_act(100.0, later, age=0.0))

    def test_a_part_whose_acquisition_had_no_answer_is_unused_as_long(self):
        action = self.read_and_act(100.0, SeatRow("b", "10.0.0.2:1", 1, 10.0), age=13.0)
        self.leases.record_write_failure(action, Code.STORE_TIMEOUT, 102.0)
        self.leases.record_read(self.part, '"2"', action.row, 0.0, 103.0)
        renewal = next(a for a in self.leases.due_actions(103.0) if a.part is self.part)
        self.assertIs(SeatStep.RENEW, renewal.step)
        self.leases.record_write(renewal, '"3"', 103.0, 103.0)
        self.assertEqual([], self.leases.usable_parts(5.0, 109.9))
        self.assertEqual([self.part], self.leases.usable_parts(5.0, 110.0))

    def test_malformed_rows_are_decoded_as_none(self):
        for data in (b"", b"[]", b"{}", b'{"holder":1}', b"\xff", b"null"):
            self.assertIsNone(SeatRow.decode(data))

    def test_half_of_each_seat_outlives_an_outage(self):
        kinds = [part.kind for part in self.leases.parts]
        self.assertEqual(kinds.count(PartKind.LONG), kinds.count(PartKind.SHORT))
        self.assertGreaterEqual(self.options.long_ttl_s - self.options.long_renew_s, 3600)


if __name__ == "__main__":
    unittest.main()
