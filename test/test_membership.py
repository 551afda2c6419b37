import unittest
from math import ceil

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figfold.core.confirmation import UNKNOWN_AGE_S, ConfirmationTracker
from figfold.core.entries import KnownEntry, MembershipSettings
from figfold.core.membership import Membership
from figfold.core.model import (
    EntryReport,
    Instance,
    QuarantinedRequest,
    Role,
    ServiceLoad,
    State,
)
from figfold.core.peer_reports import (
    MAX_LOADS,
    FetchPlan,
    MarkServersLeaving,
    QuarantineFingerprint,
    ReportPlanMismatch,
    apply_peer_report,
    build_report,
)

PLACE_BY_NAME = {"a1": "a", "b1": "b", "b2": "b", "c1": "c"}
SETTINGS = MembershipSettings()
NEVER_HEARD_S = float("-inf")


def make_report(name, place="a", **parts):
    report = EntryReport(
        name, place, 1, "", f"10.0.0.1:{len(name)}", "", False, 0, "", UNKNOWN_AGE_S
    )
    return evolve(report, **parts)


def make_instance(name, state=State.LIVE):
    return Instance(name, Role.ENTRY, PLACE_BY_NAME[name], state, peer_address="10.0.0.1:9")


class MembershipMachine(RuleBasedStateMachine):
    """Compares the membership with a model that records all reports and lists."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.membership = Membership.from_config(SETTINGS, make_report("own"))
        self.current = {}
        self.reported_leaving = {}
        self.heard_at = {}
        self.known_since = {}
        self.listed_since = {}
        self.listed_leaving = set()

    names = st.sampled_from(sorted(PLACE_BY_NAME))

    @rule(seconds=st.sampled_from([0.1, 0.9, 1.0, 2.0, 3.0, 50.0]))
    def advance(self, seconds):
        self.now += seconds

    @rule(name=names, incarnation=st.integers(1, 4), leaving=st.booleans(), is_reply=st.booleans())
    def record_report(self, name, incarnation, leaving, is_reply):
        report = make_report(name, PLACE_BY_NAME[name], incarnation=incarnation, leaving=leaving)
        request_sent_at = self.now - 1.0 if is_reply else None
        accepted = self.membership.record_report(report, self.now, request_sent_at)
        self.known_since.setdefault(name, self.now)
        current = self.current.get(name, 0)
        was_silent = self.now - self.heard_at.get(name, NEVER_HEARD_S) >= SETTINGS.suspect_after_s
        assert accepted == (incarnation >= current or was_silent)
        if not accepted:
            return
        if incarnation != current:
            self.reported_leaving[name] = False
        self.current[name] = incarnation
        self.reported_leaving[name] |= leaving
        heard_at = request_sent_at if is_reply else self.now
        self.heard_at[name] = max(heard_at, self.heard_at.get(name, heard_at))
        # A silent entry is live again with its first report, unless it is leaving.
        leaves = self.reported_leaving[name] or name in self.listed_leaving
        assert self.membership.is_live(name, self.now) != leaves

    @rule(name=names, incarnation=st.integers(1, 9))
    def add_known_entries(self, name, incarnation):
        known = KnownEntry(name, PLACE_BY_NAME[name], incarnation, 0, "10.0.0.1:9")
        self.membership.add_known_entries([known], self.now)
        self.known_since.setdefault(name, self.now)

    @rule(state_by_name=st.dictionaries(names, st.sampled_from(State)))
    def read_list(self, state_by_name):
        instances = [make_instance(name, state) for name, state in state_by_name.items()]
        self.membership.update_from_list(instances, self.now)
        leaving = {name for name, state in state_by_name.items() if state is State.LEAVING}
        self.listed_leaving = leaving | (self.listed_leaving - set(state_by_name))
        for name in state_by_name:
            self.known_since.setdefault(name, self.now)
            self.listed_since.setdefault(name, self.now)
        for name in set(self.known_since) - set(state_by_name):
            self.listed_since.pop(name, None)
            last_sign = self.heard_at.get(name, self.known_since[name])
            if self.now - last_sign > SETTINGS.forget_after_s:
                self.remove_entry(name)

    def remove_entry(self, name):
        for record in (self.current, self.reported_leaving, self.heard_at, self.known_since):
            record.pop(name, None)
        self.listed_leaving.discard(name)

    def expected_live(self, name):
        if self.reported_leaving.get(name) or name in self.listed_leaving:
            return False
        if name in self.heard_at:
            return self.now - self.heard_at[name] < 3.0
        return name in self.listed_since and self.now - self.listed_since[name] < 5.0

    @invariant()
    def live_entries_are_those_heard_recently(self):
        live = self.membership.live_entries(self.now)
        expected = {name for name in PLACE_BY_NAME if self.expected_live(name)}
        assert set(live) == expected | {"own"}
        for place in "bc":
            is_dead = not any(PLACE_BY_NAME[name] == place for name in expected)
            assert self.membership.place_is_dead(place, self.now) == is_dead

    @invariant()
    def incarnations_match_the_last_accepted_report(self):
        assert set(self.membership.entry_by_name) == set(self.known_since)
        for name, entry in self.membership.entry_by_name.items():
            assert entry.incarnation == self.current.get(name, 0)

    @invariant()
    def silent_entries_are_still_contacted(self):
        others = {name for name, place in PLACE_BY_NAME.items() if name in self.known_since}
        chosen = {entry.name for entry in self.membership.peers_to_contact(self.now)}
        assert chosen == others


MembershipStatefulTest = MembershipMachine.TestCase


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.membership = Membership.from_config(SETTINGS, make_report("own"))

    @given(st.integers(1, 60), st.integers(1, 20), st.floats(0.2, 3.0))
    def test_each_entry_is_contacted_in_time(self, count, fanout, tick_s):
        limits = MembershipSettings(fanout=fanout, tick_s=tick_s)
        membership = Membership.from_config(limits, make_report("own"))
        for number in range(count):
            membership.record_report(make_report(f"e{number}", "b" if number % 3 else "a"), 0.0)
        ticks = ceil(count / fanout)
        # The bound is below ``suspect_after_s``, and contacts of the other side come in addition.
        ticks = min(ticks, max(1, int(limits.suspect_after_s / tick_s) - 1))
        contacted_names = set()
        for tick in range(ticks):
            contacted = {entry.name for entry in membership.peers_to_contact(tick * tick_s)}
            self.assertLessEqual({f"e{n}" for n in range(0, count, 3)}, contacted)
            contacted_names |= contacted
        self.assertEqual(count, len(contacted_names))

    def test_room_counts_fresh_loads_only(self):
        self.assertIsNone(self.membership.room("s", "b", 0.0))
        for name, room in (("b1", 4), ("b2", 5)):
            loads = (ServiceLoad("s", 1, 0, room),)
            self.membership.record_report(make_report(name, "b", loads=loads), float(name[1]))
        self.assertEqual(9, self.membership.room("s", "b", 3.0))
        self.assertEqual(5, self.membership.room("s", "b", 4.5))
        self.assertEqual(0, self.membership.room("other", "b", 4.5))
        self.assertIsNone(self.membership.room("s", "b", 5.0))

    def test_majority_needs_recent_contact(self):
        self.assertFalse(self.membership.has_majority_contact(0.0, 4.0))
        self.membership.update_from_list([make_instance(name) for name in PLACE_BY_NAME], 0.0)
        self.membership.record_report(make_report("b1"), 1.0)
        self.assertFalse(self.membership.has_majority_contact(1.0, 4.0))
        self.membership.record_report(make_report("b2"), 2.0, request_sent_at_s=1.5)
        self.assertTrue(self.membership.has_majority_contact(2.0, 4.0))
        self.assertFalse(self.membership.has_majority_contact(5.5, 4.0))

    def test_requests_buffered_during_a_pause_prove_no_contact(self):
        self.membership.record_report(make_report("b1"), 0.0)
        self.membership.record_report(make_report("b1"), 60.0)
        self.assertFalse(self.membership.has_majority_contact(60.0, 4.0))
        self.membership.record_report(make_report("b1"), 60.2, request_sent_at_s=60.1)
        self.assertTrue(self.membership.has_majority_contact(60.2, 4.0))

    def test_reports_list_recently_heard_entries_in_rotation(self):
        self.membership.add_known_entries([KnownEntry("silent", "b", 1, 0)], 0.0)
        for name in "abcdef":
            self.membership.record_report(make_report(name), 0.5)
        reported = [self.membership.known_entries(1.0) for _ in range(2)]
        self.assertEqual([4] * 2, [len(entries) for entries in reported])
        self.assertEqual(set("abcdef"), {known.name for entries in reported for known in entries})
        self.assertEqual({500}, {known.heard_age_ms for entries in reported for known in entries})
        self.assertEqual((), self.membership.known_entries(3.5))

    def test_reported_addresses_take_precedence_while_the_entry_is_heard(self):
        self.membership.record_report(make_report("b1", peer_address="10.0.0.2:1"), 0.0)
        self.membership.update_from_list([make_instance("b1")], 1.0)
        self.assertEqual("10.0.0.2:1", self.membership.entry_by_name["b1"].peer_address)
        self.membership.update_from_list([make_instance("b1")], 4.0)
        self.assertEqual("10.0.0.1:9", self.membership.entry_by_name["b1"].peer_address)

    def test_listed_addresses_take_precedence_until_the_entry_reports_a_new_one(self):
        self.membership.update_from_list([make_instance("b1")], 0.0)
        entry = self.membership.entry_by_name["b1"]
        self.membership.record_report(make_report("b1", peer_address="10.0.0.2:1"), 1.0)
        self.membership.update_from_list([make_instance("b1")], 9.0)
        self.membership.record_report(make_report("b1", peer_address="10.0.0.2:1"), 9.5)
        self.assertEqual("10.0.0.1:9", entry.reach_peer_address)
        moved = make_report("b1", incarnation=9, peer_address="10.0.0.3:1")
        self.membership.record_report(moved, 10.0)
        self.membership.update_from_list([make_instance("b1")], 10.5)
        self.assertEqual("10.0.0.3:1", entry.reach_peer_address)


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.own = make_report("own", plan_version=3, plan_digest="aa")
        self.membership = Membership.from_config(SETTINGS, self.own)
        self.confirmation = ConfirmationTracker.from_config(4.0)
        self.confirmation.set_version_in_force(3)

    def merge(self, request_sent_at_s=None, **parts):
        report = make_report("p", **parts)
        return apply_peer_report(
            report,
            (),
            self.membership,
            self.confirmation,
            10.0,
            request_sent_at_s=request_sent_at_s,
        )

    def test_actions(self):
        later = {"plan_digest": "cc", "leaving_servers": ("s1",), "peer_address": "10.0.0.9:1"}
        cases = [
            ({"plan_version": 3, "plan_digest": "aa"}, []),
            ({"plan_version": 3, "plan_digest": "bb"}, [ReportPlanMismatch(3, "bb", "p")]),
            (
                {"plan_version": 4, **later},
                [FetchPlan(4, "cc", "p", "10.0.0.9:1"), MarkServersLeaving(("s1",), "p")],
            ),
        ]
        for parts, actions in cases:
            self.assertEqual(actions, self.merge(**parts))
        self.merge(incarnation=2)
        self.assertEqual([], self.merge(incarnation=1, plan_version=9))

    def test_quarantine_is_never_prolonged_on_the_way(self):
        quarantined = (QuarantinedRequest("fp", 5.0), QuarantinedRequest("old", 0.5))
        for request_sent_at_s, left_s in ((None, 4.0), (8.0, 3.0)):
            actions = self.merge(request_sent_at_s, quarantined=quarantined)
            self.assertEqual([QuarantineFingerprint("fp", left_s, "p")], actions)

    def test_own_report_is_cut_to_the_limits(self):
        loads = (ServiceLoad("s", 0, 0, 0),) * (MAX_LOADS + 1)
        self.confirmation.record_store_read(3, 9.0)
        report = build_report(self.own, self.confirmation, 10.0, loads=loads)
        self.assertEqual(
            (MAX_LOADS, 3, 1.0), (len(report.loads), report.plan_version, report.store_age_s)
        )


if __name__ == "__main__":
    unittest.main()
