"""Budgets of extra attempts and link bytes, and the request classes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.budgets import PoolOptions, TokenBudget
from figfold.core.codes import Code
from figfold.core.links import BURST_S, LinkBudget
from figfold.core.request_classes import DURATION_WINDOW, DurationWindow, RequestClasses


class TestTokenBudget(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=300), st.integers(0, 100), st.integers(0, 3))
    def test_spent_tokens_never_exceed_the_percentage(self, steps, percent, initial):
        budget = TokenBudget.from_config(percent, burst=5, initial=initial)
        dispatches = spent = 0
        for is_dispatch in steps:
            if is_dispatch:
                dispatches += 1
                budget.record_dispatch()
            else:
                spent += budget.try_spend()
            self.assertLessEqual(100 * spent, 100 * initial + percent * dispatches)


class TestLinkBudget(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 2000)), max_size=50),
        st.integers(1, 10_000),
    )
    def test_admitted_bytes_keep_to_the_rate(self, transfers, rate):
        budget = LinkBudget.from_config({("bne", "tsv"): rate})
        now_s, admitted, largest = 0.0, 0, 0
        for wait_s, size in transfers:
            now_s += wait_s
            if budget.admit("bne", "tsv", size, now_s).is_ok():
                admitted += size
                largest = max(largest, size)
            self.assertLessEqual(admitted, rate * (now_s + BURST_S) + largest + 1e-6)

    def test_full_and_unknown_links_refuse(self):
        budget = LinkBudget.from_config({("bne", "tsv"): 1000.0})
        self.assertTrue(budget.admit("bne", "tsv", 250, 0.0).is_ok())
        self.assertIs(budget.admit("bne", "tsv", 1, 0.0).err().code, Code.LINK_FULL)
        self.assertIs(budget.admit("tsv", "bne", 1, 0.0).err().code, Code.LINK_FULL)
        self.assertTrue(budget.admit("bne", "bne", 10**9, 0.0).is_ok())
        budget.charge("bne", "tsv", 1000, 0.0)
        self.assertEqual(budget.room_bytes("bne", "tsv", 1.0), 0)
        self.assertEqual(budget.room_bytes("bne", "tsv", 1.1), 100)


class TestRequestClasses(unittest.TestCase):
    def make_classes(self, **options):
        classes = RequestClasses.from_config(PoolOptions(**options))
        for _ in range(40):
            classes.record("short", 0.01)
        return classes

    def test_long_key_is_learned_and_kept_through_small_changes(self):
        classes = self.make_classes()
        self.assertFalse(classes.is_long("long"))
        for _ in range(3):
            classes.record("long", 0.5)
        self.assertTrue(classes.is_long("long"))
        for _ in range(100):
            classes.record("long", 0.03)
            classes.record("short", 0.01)
            classes.record("short", 0.01)
        self.assertTrue(classes.is_long("long"))

    def test_one_outlier_does_not_make_a_key_long(self):
        classes = self.make_classes()
        for duration_s in (0.5, 0.01, 0.01):
            classes.record("new", duration_s)
        classes.record("short", 0.5)
        self.assertFalse(classes.is_long("new") or classes.is_long("short"))

    def test_number_of_keys_is_bounded(self):
        classes = self.make_classes(class_key_limit=5)
        for number in range(20):
            classes.record(f"key{number}", 0.01)
        self.assertEqual(len(classes._stats_by_key), 5)

    @given(st.lists(st.floats(0.0, 100.0), min_size=1, max_size=400))
    def test_window_agrees_with_sorting(self, durations):
        window = DurationWindow()
        for duration_s in durations:
            window.record(duration_s)
        latest = sorted(durations[-DURATION_WINDOW:])
        self.assertEqual(window.quantile_s(0.5), latest[int(0.5 * len(latest))])
        self.assertAlmostEqual(window.mean_s(), sum(latest) / len(latest), places=6)


if __name__ == "__main__":
    unittest.main()
