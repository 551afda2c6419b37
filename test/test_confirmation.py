import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figfold.core.confirmation import (
    PLAN_FETCH_GRACE_S,
    ConfirmationReason,
    ConfirmationTracker,
    StoreHealth,
)
from test.test_membership import make_report


class ConfirmationMachine(RuleBasedStateMachine):
    """Three entries, a store, and answers that arrive late, twice, out of order or never."""

    TTL_S = 4.0
    entries = st.integers(0, 2)
    arrivals = st.sampled_from(["now", "later", "twice"])
    lags = st.sampled_from([0.0, 0.5, 2.0])

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        # When each version was accepted; version 1 is in force everywhere at the start.
        self.accepted_at = [0.0, 0.0]
        self.confirmations = [ConfirmationTracker.from_config(self.TTL_S) for _ in range(3)]
        for confirmation in self.confirmations:
            confirmation.set_version_in_force(1)
        # For each entry the versions that it has learned of, with the times.
        self.learned_versions = [[(0.0, 1)] for _ in range(3)]
        self.in_transit = []

    def send(self, arrival, entry, version, update):
        if arrival != "later":
            self.arrive(entry, version, update)
        if arrival != "now":
            self.in_transit.append((entry, version, update))

    def arrive(self, entry, version, update):
        age_s = self.confirmations[entry].store_age_s(self.now)
        update(self.confirmations[entry])
        assert self.confirmations[entry].store_age_s(self.now) <= age_s
        self.learned_versions[entry].append((self.now, version))

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 3.0]))
    def advance(self, seconds):
        self.now += seconds

    @rule()
    def accept_plan(self):
        self.accepted_at.append(self.now)

    @rule(entry=entries, lag=lags, arrival=arrivals)
    def read_store(self, entry, lag, arrival):
        version = len(self.accepted_at) - 1
        started_at = self.now - lag
        self.send(arrival, entry, version, lambda to: to.record_store_read(version, started_at))

    @rule(entry=entries, peer=entries, lag=lags, is_reply=st.booleans(), arrival=arrivals)
    def ask_peer(self, entry, peer, lag, is_reply, arrival):
        sender = self.confirmations[peer]
        report = make_report(
            "e", plan_version=sender.version, store_age_s=sender.store_age_s(self.now)
        )
        request_sent_at = self.now - lag if is_reply else None
        self.send(
            arrival,
            entry,
            sender.version,
            lambda to: to.record_peer_report(report, request_sent_at, self.now),
        )

    @rule()
    def deliver_oldest(self):
        if self.in_transit:
            self.arrive(*self.in_transit.pop(0))

    @rule(entry=entries)
    def fetch(self, entry):
        confirmation = self.confirmations[entry]
        if confirmation.later:
            version = confirmation.later.version
            confirmation.set_version_in_force(version)
            confirmation.set_version_in_force(version - 1)
            assert confirmation.later is None
            assert confirmation.version == version

    @invariant()
    def no_plan_older_than_the_limit_is_confirmed(self):
        horizon = self.now - self.TTL_S
        in_force = sum(accepted_at < horizon - 1e-6 for accepted_at in self.accepted_at) - 1
        for confirmation, learned_versions in zip(
            self.confirmations, self.learned_versions, strict=True
        ):
            if confirmation.is_confirmed(self.now, False):
                assert confirmation.version >= in_force
                fetched_by = self.now - PLAN_FETCH_GRACE_S - 1e-6
                assert all(
                    confirmation.version >= v for at, v in learned_versions if at < fetched_by
                )


ConfirmationStatefulTest = ConfirmationMachine.TestCase
ConfirmationStatefulTest.settings = settings(max_examples=300, stateful_step_count=40)


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.confirmation = ConfirmationTracker.from_config(4.0)
        self.confirmation.set_version_in_force(3)

    def test_isolated_entry_is_not_confirmed_past_the_limit(self):
        self.assertIs(ConfirmationReason.EXPIRED, self.confirmation.reason(0.0))
        self.confirmation.record_store_read(3, 10.0)
        self.assertIs(ConfirmationReason.STORE, self.confirmation.reason(14.0))
        self.assertFalse(self.confirmation.is_confirmed(14.1, False))
        self.assertTrue(self.confirmation.is_confirmed(14.1, True))

    def test_later_plan_of_a_peer_blocks_until_in_force_or_refuted_by_the_store(self):
        self.confirmation.record_store_read(3, 10.0)
        self.confirmation.record_peer_report(make_report("p", plan_version=4), None, 11.0)
        self.assertIs(ConfirmationReason.STORE, self.confirmation.reason(11.0 + PLAN_FETCH_GRACE_S))
        self.confirmation.record_peer_report(make_report("p", plan_version=5), None, 11.9)
        self.assertIs(ConfirmationReason.BEHIND, self.confirmation.reason(12.1, True))
        self.confirmation.record_store_read(3, 10.5)
        self.assertIs(ConfirmationReason.BEHIND, self.confirmation.reason(12.1))
        self.confirmation.record_store_read(3, 11.5)
        self.assertIs(ConfirmationReason.BEHIND, self.confirmation.reason(12.1))
        self.confirmation.record_store_read(3, 11.95)
        self.assertIs(ConfirmationReason.STORE, self.confirmation.reason(12.1))
        self.confirmation.record_store_read(5, 12.0)
        self.confirmation.set_version_in_force(5)
        self.assertIs(ConfirmationReason.STORE, self.confirmation.reason(15.9))
        self.confirmation.set_version_in_force(4)
        self.assertEqual(5, self.confirmation.version)

    def test_store_reads_that_end_out_of_order_refute_nothing(self):
        self.confirmation.record_store_read(4, 10.0)
        self.confirmation.record_store_read(3, 10.5)
        self.assertIs(ConfirmationReason.BEHIND, self.confirmation.reason(11.1))

    def test_a_majority_that_knows_a_later_plan_confirms_nothing(self):
        self.confirmation.record_store_read(3, 10.0)
        self.confirmation.record_peer_report(make_report("p", plan_version=4), None, 14.5)
        self.assertFalse(self.confirmation.is_confirmed(14.5, True))

    def test_confirmation_by_a_peer_counts_from_the_request(self):
        report = make_report("p", plan_version=3, store_age_s=1.0)
        self.confirmation.record_peer_report(report, None, 20.0)
        self.assertIs(ConfirmationReason.EXPIRED, self.confirmation.reason(20.0))
        self.confirmation.record_peer_report(report, 18.0, 20.0)
        self.assertIs(ConfirmationReason.PEER, self.confirmation.reason(21.0))
        self.assertIs(ConfirmationReason.EXPIRED, self.confirmation.reason(21.1))

    def test_store_health_keeps_the_time_of_the_change(self):
        health = StoreHealth()
        changes = [
            health.record_failure(1.0),
            health.record_failure(2.0),
            health.record_success(3.0),
        ]
        self.assertEqual(([True, False, True], 3.0), (changes, health.since_s))


if __name__ == "__main__":
    unittest.main()
