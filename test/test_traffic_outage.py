"""Outages of the store, as the failed calls of one entry show them."""

import unittest

from figfold.core.traffic.outage import EXPIRY_WINDOW_S, MAX_FAILURE_GAP_S, OutageTracker


class OutageTrackerTest(unittest.TestCase):
    def fail_at(self, *times_s):
        tracker = OutageTracker()
        for now_s in times_s:
            tracker.record_failure(now_s - 0.1, now_s)
        return tracker

    def test_calls_that_failed_for_long_are_an_outage(self):
        tracker = self.fail_at(10.0, 11.0, 12.0)
        tracker.record_success(12.5)
        self.assertTrue(tracker.has_just_ended(12.5))
        self.assertFalse(tracker.has_just_ended(12.6 + EXPIRY_WINDOW_S))

    # A new reader of the store took the time without calls of its own for an outage.
    def test_entry_that_made_no_calls_has_seen_no_outage(self):
        tracker = OutageTracker()
        tracker.record_success(0.0)
        tracker.record_success(60.0)
        self.assertFalse(tracker.has_just_ended(60.0))

    def test_single_failure_is_no_outage(self):
        tracker = self.fail_at(10.0)
        tracker.record_success(10.4)
        self.assertFalse(tracker.has_just_ended(10.4))

    def test_failures_far_apart_are_no_outage(self):
        tracker = self.fail_at(10.0, 11.0 + 2 * MAX_FAILURE_GAP_S)
        tracker.record_success(11.4 + 2 * MAX_FAILURE_GAP_S)
        self.assertFalse(tracker.has_just_ended(11.4 + 2 * MAX_FAILURE_GAP_S))

    def test_success_long_after_the_failures_is_no_outage(self):
        tracker = self.fail_at(10.0, 12.0)
        tracker.record_success(12.1 + MAX_FAILURE_GAP_S)
        self.assertFalse(tracker.has_just_ended(12.1 + MAX_FAILURE_GAP_S))

    def test_outage_that_ended_is_not_continued_by_later_failures(self):
        tracker = self.fail_at(10.0, 12.0)
        tracker.record_success(12.5)
        tracker.record_failure(14.5, 14.6)
        tracker.record_success(15.0)
        self.assertFalse(tracker.has_just_ended(15.0))

    def test_call_that_waited_while_others_succeeded_is_no_outage(self):
        tracker = OutageTracker()
        tracker.record_success(14.5)
        tracker.record_failure(10.0, 15.0)
        tracker.record_success(15.5)
        self.assertFalse(tracker.has_just_ended(15.5))


if __name__ == "__main__":
    unittest.main()
