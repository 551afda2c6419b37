"""Quarantine of requests that were in progress at crashes of servers."""

import unittest
from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.crash_announcements import (
    ANNOUNCEMENT_BURST,
    ANNOUNCEMENT_INTERVAL_S,
    MAX_RECIPIENTS,
    AnnouncementLimiter,
    crash_announcement_recipients,
)
from figfold.core.membership import Membership
from figfold.core.peer_reports import ASSUMED_REQUEST_AGE_S
from figfold.core.quarantine import QUARANTINE_S, STRIKE_LIFETIME_S, Quarantine
from test.test_membership import SETTINGS, make_report


def crash(quarantine, server, fingerprints, now_s):
    for fingerprint in fingerprints:
        quarantine.record_reset(server, fingerprint, fresh=False, now_s=now_s)


class TestQuarantine(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine.from_config()

    def is_quarantined(self, fingerprint, now_s):
        return self.quarantine.is_quarantined(fingerprint, now_s)

    def test_two_crashes_quarantine_until_expiry(self):
        crash(self.quarantine, "s1", ["poison", "other"], 0.0)
        self.assertFalse(self.is_quarantined("poison", 0.0))
        self.assertTrue(self.quarantine.is_suspect("other", 0.0))
        crash(self.quarantine, "s2", ["poison", "another"], 5.0)
        self.assertTrue(self.is_quarantined("poison", 5.0 + QUARANTINE_S - 1.0))
        self.assertFalse(self.is_quarantined("poison", 5.0 + QUARANTINE_S))
        self.assertFalse(self.is_quarantined("other", 5.0))

    def test_resets_of_one_crash_count_once(self):
        crash(self.quarantine, "s1", ["poison"] * 5, 0.0)
        self.assertFalse(self.is_quarantined("poison", 0.0))

    def test_refused_fresh_connection_confirms_in_either_order(self):
        self.quarantine.record_reset("s1", "poison", fresh=False, now_s=0.0)
        self.quarantine.record_connect_refused("s1", 1.0)
        self.quarantine.record_connect_refused("s1", 10.0)
        self.quarantine.record_reset("s1", "poison", fresh=False, now_s=11.0)
        self.assertTrue(self.is_quarantined("poison", 11.0))

    def test_unconfirmed_resets_of_idle_connections_do_not_count(self):
        for number in range(5):
            self.quarantine.record_reset(f"s{number}", "popular", False, 10.0 * number)
        self.assertFalse(self.is_quarantined("popular", 40.0))

    def test_unconfirmed_resets_at_two_servers_count_if_one_connection_was_new(self):
        self.quarantine.record_reset("s1", "poison", fresh=False, now_s=0.0)
        self.quarantine.record_reset("s2", "poison", fresh=True, now_s=10.0)
        self.assertTrue(self.is_quarantined("poison", 10.0))

    # Under little traffic no other request confirms a crash, and the request reached a server each
    # time it came (BUDGET).
    def test_unconfirmed_resets_at_three_servers_count_as_crashes(self):
        for number in range(3):
            self.quarantine.record_reset(f"s{number}", "poison", number == 1, 30.0 * number)
        self.assertTrue(self.quarantine.is_quarantined("poison", 60.0 + QUARANTINE_S - 1.0))

    def test_unconfirmed_resets_quarantine_for_a_short_time_that_doubles(self):
        for at_s, held_s in ((0.0, 20.0), (700.0, 40.0), (1400.0, 80.0)):
            self.quarantine.record_reset("s1", "popular", True, at_s)
            self.quarantine.record_reset("s2", "popular", True, at_s + 3.0)
            self.assertTrue(self.is_quarantined("popular", at_s + 3.0 + held_s - 1.0))
            self.assertFalse(self.is_quarantined("popular", at_s + 3.0 + held_s + 1.0))

    def test_success_clears_strikes_also_against_older_ones_of_peers(self):
        crash(self.quarantine, "s1", ["innocent", "poison"], 0.0)
        reported = self.quarantine.strikes(1.0)
        self.quarantine.record_success("innocent", 2.0)
        for strike in reported:
            self.quarantine.merge_strike(strike, 2.0)
        self.assertFalse(self.quarantine.is_suspect("innocent", 2.0))
        self.assertTrue(self.quarantine.is_suspect("poison", 2.0))

    def test_strikes_expire(self):
        crash(self.quarantine, "s1", ["poison", "other"], 0.0)
        later_s = STRIKE_LIFETIME_S + 1.0
        self.assertEqual(self.quarantine.strikes(later_s), ())
        crash(self.quarantine, "s2", ["poison", "another"], later_s)
        self.assertFalse(self.is_quarantined("poison", later_s))

    def test_strikes_of_two_entries_add_up(self):
        other = Quarantine.from_config()
        crash(self.quarantine, "s1", ["poison", "other"], 100.0)
        for _ in range(3):
            for strike in self.quarantine.strikes(101.0):
                other.merge_strike(strike, 7.0)
        self.assertFalse(other.is_quarantined("poison", 7.0))
        crash(other, "s2", ["poison", "another"], 8.0)
        self.assertTrue(other.is_quarantined("poison", 8.0))
        for entry in other.entries(9.0):
            self.quarantine.merge_quarantined(entry.fingerprint, entry.expires_in_s, 103.0)
        self.assertTrue(self.is_quarantined("poison", 103.0))

    def test_a_strike_that_peers_report_back_counts_once(self):
        chain = [self.quarantine, *(Quarantine.from_config() for _ in range(6))]
        self.quarantine.record_crash("s1", "innocent", 100.0)
        for sender, receiver in zip(chain, [*chain[1:], chain[0]], strict=True):
            for strike in sender.strikes(100.1):
                # Each peer gets it in a request, whose unknown age counts as one second.
                receiver.merge_strike(
                    evolve(strike, age_s=strike.age_s + ASSUMED_REQUEST_AGE_S), 100.1
                )
        for quarantine in chain:
            self.assertEqual(1, len(quarantine.strikes(100.1)))
            self.assertFalse(quarantine.is_quarantined("innocent", 100.1))

    def test_exchange_between_peers_does_not_extend_a_quarantine(self):
        other = Quarantine.from_config()
        self.quarantine.merge_quarantined("poison", 1e9, 0.0)
        for now_s in range(1, int(QUARANTINE_S) + 2, 50):
            for sender, receiver in ((self.quarantine, other), (other, self.quarantine)):
                for entry in sender.entries(float(now_s)):
                    receiver.merge_quarantined(entry.fingerprint, entry.expires_in_s, float(now_s))
        self.assertFalse(self.is_quarantined("poison", QUARANTINE_S))
        self.assertFalse(other.is_quarantined("poison", QUARANTINE_S))

    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 99), st.booleans()), max_size=99))
    def test_size_is_bounded(self, resets):
        quarantine = Quarantine(fingerprint_limit=8)
        for now_s, (server, fingerprint, fresh) in enumerate(resets):
            quarantine.record_reset(f"s{server}", f"f{fingerprint}", fresh, float(now_s))
            quarantine.record_connect_refused(f"s{fingerprint}", float(now_s))
            quarantine.record_success(f"f{server}", float(now_s))
        for kept in (
            quarantine._strikes_by_fingerprint,
            quarantine._expiry_by_fingerprint,
            quarantine._succeeded_at_by_fingerprint,
            quarantine._refused_at_by_server,
        ):
            self.assertLessEqual(len(kept), 8)


class AnnouncementTest(unittest.TestCase):
    def test_a_burst_is_sent_at_once_and_later_announcements_wait(self):
        limit = AnnouncementLimiter()
        waits_s = [limit.reserve(100.0) for _ in range(ANNOUNCEMENT_BURST + 2)]
        late_s = [ANNOUNCEMENT_INTERVAL_S, 2 * ANNOUNCEMENT_INTERVAL_S]
        self.assertEqual([0.0] * ANNOUNCEMENT_BURST + late_s, waits_s)
        self.assertEqual(
            0.0, limit.reserve(100.0 + (ANNOUNCEMENT_BURST + 3) * ANNOUNCEMENT_INTERVAL_S)
        )

    def test_a_crash_is_announced_to_all_of_twelve_entries_else_to_the_own_place_and_some(self):
        for others, count in ((10, 11), (476, MAX_RECIPIENTS)):
            membership = Membership.from_config(SETTINGS, make_report("own"))
            membership.record_report(make_report("place-peer"), 0.0)
            for number in range(others):
                membership.record_report(make_report(f"b{number}", "b"), 0.0)
            entries = crash_announcement_recipients(membership, Random(1).sample)
            self.assertEqual("place-peer", entries[0].name)
            self.assertEqual(count, len({entry.name for entry in entries}))


if __name__ == "__main__":
    unittest.main()
