"""Which entries are live: messages per second, time until a dead entry is known, and returns."""

import sys
import time
import unittest

import eventlet
from attrs import evolve

from figfold.core.crash_announcements import MAX_RECIPIENTS
from figfold.core.entries import KnownEntry, MembershipSettings
from figfold.core.members import EntryState, Members
from figfold.core.model import EntryReport
from figfold.gateway.cluster_view import ClusterView
from test.virtual import run_virtual
from test.virtual_gateway import VirtualFleet

REGION_BY_PLACE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
REGION_DELAY_S = 0.055
# Rule DRAIN: look-ups name no entry that ended longer ago than this.
DEAD_KNOWN_S = 7.0
MESSAGES_PER_S = 10.0
LEFT_KNOWN_S = 1.5
# How often an entry may hear of the start of another one, on average.
NEWS_OF_START = 20.0


def make_members(name="e1", revision=100):
    own = EntryReport(
        name, "a1", 1, "10.0.0.1:1", "10.0.0.1:4", "", False, 0, "", 0.0, revision=revision
    )
    settings = MembershipSettings(fanout=3)
    members = Members.from_config(settings, own, lambda items, count: list(items)[:count])
    members.announce_own(0.0)
    return members


def known(name, revision=1, state=EntryState.ALIVE, age_ms=0):
    return KnownEntry(name, "a1", 0, age_ms, "10.0.0.9:4", "10.0.0.9:1", state, revision)


class MembersTest(unittest.TestCase):
    def setUp(self):
        self.members = make_members()

    def live(self):
        return set(self.members.live_entries(0.0)) - {"e1"}

    # `peers_to_contact` returned half of all entries, 98 of 195 in each second.
    def test_entries_contacted_in_a_round_do_not_grow_with_their_number(self):
        for count in (10, 195, 1000):
            self.members.add_known_entries([known(f"x{i}") for i in range(count)], 0.0)
            self.members.add_known_entries([known("dead", 1, EntryState.DEAD)], 0.0)
            self.assertLessEqual(len(self.members.peers_to_contact(1.0)), 4, count)

    def test_each_entry_is_contacted_in_each_pass(self):
        self.members.add_known_entries([known(f"x{i}") for i in range(30)], 0.0)
        seen = {one.name for _ in range(10) for one in self.members.peers_to_contact(0.0)}
        self.assertEqual(len(seen), 30)

    def test_suspected_entry_is_dead_unless_it_refutes(self):
        self.members.add_known_entries([known("x"), known("y")], 0.0)
        self.assertTrue(self.members.suspect("x", 1, 1.0))
        self.assertTrue(self.members.suspect("y", 1, 1.0))
        self.members.add_known_entries([known("x", 2)], 1.5)
        self.members.peers_to_contact(1.5)
        self.assertEqual(self.live(), {"x", "y"})
        self.members.peers_to_contact(2.6)
        self.assertEqual(self.live(), {"x"})

    def test_age_of_a_suspicion_counts(self):
        self.members.add_known_entries([known("x")], 0.0)
        self.members.add_known_entries([known("x", 1, EntryState.SUSPECT, 1400)], 1.0)
        self.members.peers_to_contact(1.2)
        self.assertEqual(self.live(), set())

    def test_older_statements_change_nothing(self):
        self.members.add_known_entries([known("x", 5, EntryState.DEAD)], 0.0)
        for older in (known("x", 5), known("x", 4), known("x", 5, EntryState.SUSPECT)):
            self.members.add_known_entries([older], 0.0)
        self.assertEqual(self.live(), set())
        self.members.add_known_entries([known("x", 6)], 0.0)
        self.assertEqual(self.live(), {"x"})

    def test_entry_refutes_what_is_said_of_itself(self):
        for state in (EntryState.SUSPECT, EntryState.DEAD, EntryState.LEFT):
            revision = self.members.own.revision
            self.members.add_known_entries([known("e1", revision, state)], 0.0)
            self.assertGreater(self.members.own.revision, revision)
        self.assertIn("e1", [one.name for one in self.members.known_entries(0.0)])

    # After a step of the clock the new process has a lower number than the old one.
    def test_sender_with_an_older_revision_is_told_the_newer_one(self):
        self.members.add_known_entries([known("x", 50)], 0.0)
        report = EntryReport("x", "a1", 1, "", "10.0.0.9:4", "", False, 0, "", 0.0, revision=20)
        self.assertFalse(self.members.record_report(report, 0.0))
        self.assertEqual(self.members.correction_for(report, 0.0).revision, 50)

    # A machine that stood still suspected all others, since their answers had waited unread.
    def test_entry_that_was_late_itself_suspects_no_other(self):
        self.members.add_known_entries([known("x"), known("y")], 0.0)
        self.members.suspect("y", 1, 0.5)
        for now_s in (0.0, 1.0, 4.0):
            self.members.peers_to_contact(now_s)
        self.assertEqual(self.live(), {"x", "y"})
        self.assertFalse(self.members.suspect("x", 1, 4.5))
        self.assertTrue(self.members.suspect("x", 1, 6.5))

    def test_news_are_repeated_a_limited_number_of_times(self):
        self.members.add_known_entries([known("x")], 0.0)
        told = sum("x" in [one.name for one in self.members.known_entries(0.0)] for _ in range(200))
        self.assertTrue(2 <= told < 20, told)

    def test_entry_of_an_earlier_version_only_states_that_others_exist(self):
        self.members.add_known_entries([known("x", 0)], 0.0)
        self.assertEqual(self.live(), set())
        self.assertEqual([one.name for one in self.members.peers_to_contact(1.0)], ["x"])

    def test_views_are_compared_when_both_have_settled(self):
        report = EntryReport("x", "a1", 1, "", "10.0.0.9:4", "", False, 0, "", 0.0, revision=20)
        other = make_members("x")
        self.assertFalse(self.members.should_sync(report, 100.0))
        other.add_known_entries([known("z")], 0.0)
        differing = EntryReport(
            *("x", "a1", 1, "", "10.0.0.9:4", "", False, 0, "", 0.0),
            revision=20,
            members_digest=other.own_digest(),
            settled_s=5.0,
        )
        self.assertTrue(self.members.should_sync(differing, 100.0))
        self.assertFalse(self.members.should_sync(differing, 100.5))

    # The rows of entries stay in the store after these have ended.
    def test_registered_entry_is_not_live_before_it_is_heard(self):
        self.members.update_from_list([known("x", 0)], 0.0)
        self.members.peers_to_contact(1.0)
        self.assertEqual(self.live(), set())
        report = EntryReport("x", "a1", 1, "", "10.0.0.9:4", "", False, 0, "", 0.0, revision=20)
        self.members.record_report(report, 2.0)
        self.assertEqual(self.live(), {"x"})

    def test_dead_entry_is_forgotten_after_a_time(self):
        self.members.add_known_entries([known("x", 1, EntryState.DEAD)], 0.0)
        self.members.peers_to_contact(self.members.settings.forget_after_s + 1.0)
        self.assertEqual(self.members.entry_by_name, {})


class LookUpTest(unittest.TestCase):
    def make_cluster(self):
        members = make_members()
        regions = {"a1": "a", "a2": "a", "b1": "b"}
        cluster = ClusterView("e1", "a1", regions, None, None, lambda _version: None)
        cluster.membership = members
        return cluster

    def test_entries_of_the_place_then_of_the_region_then_all(self):
        cluster = self.make_cluster()
        others = [
            KnownEntry(f"x{n}", place, 0, 0, "", f"10.0.1.{n}:1", EntryState.ALIVE, 1)
            for n, place in ((1, "a2"), (2, "b1"))
        ]
        cluster.membership.add_known_entries(others, 0.0)
        for place, region, expected in (
            ("a1", "a", ["10.0.0.1:1"]),
            ("a2", "a", ["10.0.1.1:1"]),
            ("a9", "a", ["10.0.0.1:1", "10.0.1.1:1"]),
            ("c1", "c", ["10.0.0.1:1", "10.0.1.1:1", "10.0.1.2:1"]),
        ):
            self.assertEqual(cluster.entry_addresses(place, region), expected)
        cluster.membership.add_known_entries([evolve(others[0], state=EntryState.DEAD)], 0.0)
        self.assertEqual(cluster.entry_addresses("a2", "a"), ["10.0.0.1:1"])

    def test_entry_that_has_moved_is_named_at_its_new_address(self):
        cluster = self.make_cluster()
        for revision, address in ((1, "10.0.1.1:1"), (2, "10.0.2.2:1")):
            moved = KnownEntry("x1", "a2", 0, 0, "", address, EntryState.ALIVE, revision)
            cluster.membership.add_known_entries([moved], 0.0)
            self.assertEqual(cluster.entry_addresses("a2", "a"), [address])

    # Each look-up passed over all entries, twice without one in the caller's data centre.
    def test_entries_are_listed_once_for_each_change_of_them(self):
        cluster = self.make_cluster()
        first = cluster.entry_addresses("a1", "a")
        self.assertIs(cluster.entry_addresses("a1", "a"), first)


class FleetRun:
    """Entries in virtual time, and what each takes for live."""

    def __init__(self, hub, entries_per_place):
        self.fleet = VirtualFleet.from_places(
            hub, REGION_BY_PLACE, REGION_DELAY_S, entries_per_place, 1
        )
        self.hub = hub

    def views(self):
        """Return the names of the entries that each running entry takes for live."""
        return {
            name: set(self.fleet.gateway_by_entry[name].cluster.membership.live_entries(0.0))
            for name in self.fleet.process_by_entry
            if name not in self.fleet.isolated
        }

    def time_until(self, condition, limit_s=30.0):
        """Return the virtual seconds until a condition holds for all views."""
        began_s = self.hub.now
        while not all(condition(view) for view in self.views().values()):
            if self.hub.now - began_s > limit_s:
                return limit_s
            eventlet.sleep(0.1)
        return self.hub.now - began_s

    def time_until_unknown(self, names):
        """Return the virtual seconds until no look-up names one of the entries."""
        return self.time_until(lambda view: not view & set(names))

    def messages_per_s(self, seconds):
        """Return the largest number of messages per second of one entry in steady state."""
        self.fleet.messages_by_entry.clear()
        eventlet.sleep(seconds)
        return max(self.fleet.messages_by_entry.values()) / seconds


class CrashTest(unittest.TestCase):
    # The recipients were chosen from all entries, also those that had ended, and sorted each time.
    def test_crash_is_announced_to_a_few_live_entries(self):
        def test(hub):
            run = FleetRun(hub, 4)
            fleet = run.fleet
            fleet.kill("b1-e0")
            run.time_until_unknown(["b1-e0"])
            for _ in range(20):
                recipients = fleet.gateway_by_entry["a1-e0"].peers.crash_recipients()
                names = [one.name for one in recipients]
                self.assertLessEqual(len(names), MAX_RECIPIENTS)
                self.assertGreater(len(names), MAX_RECIPIENTS // 2)
                self.assertNotIn("b1-e0", names)

        run_virtual(test)


def play(entries_per_place):
    """Play all cases at one size; return the figures by case."""
    figures = {}
    began_s = time.monotonic()

    def run_cases(hub):
        run = FleetRun(hub, entries_per_place)
        fleet = run.fleet
        everyone = set(fleet.process_by_entry)
        figures["start"] = run.time_until(lambda view: view == everyone)
        eventlet.sleep(6.0)
        figures["news of the start, for each entry and other entry"] = fleet.news_told / (
            len(everyone) * (len(everyone) - 1)
        )
        figures["messages per s"] = run.messages_per_s(10.0)
        fleet.kill("b1-e0")
        figures["one killed"] = run.time_until_unknown(["b1-e0"])
        fleet.start_entry("b1-e0", "b1")
        figures["one back"] = run.time_until(lambda view: view == everyone)
        fleet.loss = 0.1
        fleet.kill("c1-e1")
        figures["one killed, a tenth lost"] = run.time_until_unknown(["c1-e1"])
        eventlet.sleep(10.0)
        lost = [max(len(everyone - view) for view in run.views().values())]
        figures["others taken for dead, a tenth lost"] = lost[0] - 1
        fleet.loss = 0.0
        for place in ("b1", "b2"):
            for name in [one for one in fleet.process_by_entry if one.startswith(place)]:
                fleet.kill(name)
        gone = everyone - set(fleet.process_by_entry)
        figures["region lost"] = run.time_until_unknown(gone)
        fleet.isolated.add("a1-e1")
        eventlet.sleep(12.0)
        fleet.isolated.clear()
        staying = set(fleet.process_by_entry)
        figures["one cut off and back"] = run.time_until(lambda view: view == staying)
        fleet.extra_delay_by_entry["a2-e0"] = 0.25
        eventlet.sleep(10.0)
        views = [view for name, view in run.views().items() if name != "a2-e0"]
        figures["views without the slow one"] = sum("a2-e0" not in view for view in views)
        leaving = fleet.gateway_by_entry["a1-e2"]
        leaving.stage = "leaving"
        members = leaving.cluster.membership
        members.own = evolve(members.own, leaving=True)
        hub.run_as(fleet.process_by_entry["a1-e2"], leaving.prober.announce)
        figures["one leaves"] = run.time_until_unknown(["a1-e2"])

    run_virtual(run_cases)
    figures["processor time"] = time.monotonic() - began_s
    return figures


class ProberTest(unittest.TestCase):
    def test_messages_and_times_are_bounded(self):
        figures = play(4)
        self.assertLessEqual(figures["messages per s"], MESSAGES_PER_S, figures)
        for case in ("one killed", "one killed, a tenth lost", "region lost"):
            self.assertLess(figures[case], DEAD_KNOWN_S, figures)
        self.assertLess(figures["one leaves"], LEFT_KNOWN_S, figures)
        news = "news of the start, for each entry and other entry"
        self.assertLess(figures[news], NEWS_OF_START, figures)
        self.assertLess(figures["one cut off and back"], 5.0, figures)
        self.assertEqual(figures["views without the slow one"], 0, figures)


def main(arguments):
    """Play the cases with that many entries per place; print the figures."""
    for case, value in play(int(arguments[0])).items():
        print(f"{case}: {value:.2f}")


if __name__ == "__main__":
    main(sys.argv[1:]) if len(sys.argv) > 1 else unittest.main()
