import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.drain import drained_rows, undrained_rows, unfinished_emptyings
from figfold.core.model import Plan, PlanRow


class DrainTest(unittest.TestCase):
    places = ("a", "b", "c")

    def plan(self, windows):
        rows = [PlanRow("s", place, 3000, 3) for place in self.places]
        for index, window in windows.items():
            rows[index] = evolve(
                rows[index], emptying=True, empty_from=window[0], empty_until=window[1]
            )
        return Plan(1, "", {(row.service, row.place): row for row in rows}, {})

    @given(
        st.dictionaries(
            st.integers(0, 2),
            st.tuples(st.none() | st.integers(1, 5), st.none() | st.integers(6, 9)),
        ),
        st.none() | st.integers(1, 9),
        st.none() | st.integers(1, 9),
    )
    def test_some_place_always_serves(self, windows, start, end):
        drained = drained_rows(self.plan(windows), "a", start, end)
        windows = windows | {0: (start, end)}
        rows = self.plan(windows).row_by_key.values()
        moments = range(0, 11)
        is_served = all(any(not row.is_emptying(now) for row in rows) for now in moments)
        if None not in (start, end) and start >= end:
            self.assertEqual(Code.SHEET_BAD_TIME, drained.unwrap_err().code)
        elif is_served:
            self.assertEqual(tuple(rows), drained.unwrap())
        else:
            self.assertEqual(Code.SHEET_CAP_UNBEARABLE, drained.unwrap_err().code)

    def test_finished_emptyings_are_left_out(self):
        plan = self.plan({0: (None, 5), 1: (6, None)})
        for now_s, places in ((4, ["a", "b"]), (5, ["b"]), (9, ["b"])):
            self.assertEqual(places, [row.place for row in unfinished_emptyings(plan, now_s)])

    def test_unknown_place_and_nothing_to_undo(self):
        for change in (drained_rows, undrained_rows):
            failure = change(self.plan({}), "x").unwrap_err()
            self.assertEqual(Code.SHEET_UNKNOWN_NAME, failure.code)
        self.assertEqual(Code.NOT_FOUND, undrained_rows(self.plan({}), "a").unwrap_err().code)


if __name__ == "__main__":
    unittest.main()
