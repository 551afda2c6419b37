"""Claims of idempotency keys: decisions and the registry of a process's own claims."""

import unittest

from attrs import evolve
from result import Err, Ok

from figfold.core.bookings import (
    ClaimRegistry,
    ClaimRow,
    ClaimState,
    ClaimStep,
    check_key,
    decide_after_holder,
    decide_after_insert,
    decide_after_read,
)
from figfold.core.codes import Code, Failure

OWN = ClaimRow("print", "r1-a-1", "10.0.0.1:1", 7, "nonce-2")


def step_after(row, abandoned_nonces=()):
    return decide_after_read(row, "etag", OWN, abandoned_nonces).step


class ClaimTest(unittest.TestCase):
    def test_only_a_successful_insert_or_the_own_nonce_dispatches(self):
        self.assertIs(ClaimStep.DISPATCH, decide_after_insert(Ok("etag"), OWN).step)
        self.assertIs(ClaimStep.DISPATCH, step_after(OWN))
        for code in (Code.STORE_TIMEOUT, Code.STORE_UNREACHABLE, Code.STORE_CONFLICT):
            decision = decide_after_insert(Err(Failure(code, "")), OWN)
            self.assertIn(decision.step, (ClaimStep.READ, ClaimStep.INSERT))

    def test_an_earlier_claim_of_this_process_is_in_progress_unless_abandoned(self):
        earlier = evolve(OWN, nonce="nonce-1")
        self.assertIs(ClaimStep.REFUSE, step_after(earlier))
        self.assertIs(ClaimStep.TAKE_OVER, step_after(earlier, ("nonce-1",)))

    def test_the_same_name_with_another_incarnation_is_another_process(self):
        self.assertIs(ClaimStep.ASK_HOLDER, step_after(evolve(OWN, incarnation=6)))
        self.assertIs(ClaimStep.ASK_HOLDER, step_after(evolve(OWN, address="10.0.0.9:1")))

    def test_finished_claims(self):
        self.assertIs(ClaimStep.REPLAY, step_after(evolve(OWN, state=ClaimState.DONE)))
        self.assertIs(ClaimStep.REFUSE, step_after(evolve(OWN, state=ClaimState.UNKNOWN)))
        self.assertIs(ClaimStep.TAKE_OVER, step_after(evolve(OWN, state=ClaimState.NOT_RUN)))

    def test_another_body_is_refused_in_every_state(self):
        for state in ClaimState:
            row = evolve(OWN, fingerprint="other", state=state)
            decision = decide_after_read(row, "etag", OWN, ())
            self.assertIs(ClaimStep.REFUSE, decision.step)
            self.assertIs(Code.KEY_REUSED, decision.failure.code)

    def test_a_claim_is_taken_over_only_if_its_holder_will_never_dispatch_it(self):
        asked = decide_after_read(evolve(OWN, incarnation=6), "etag", OWN, ())
        taken = decide_after_holder(ClaimState.NOT_RUN, asked)
        self.assertIs(ClaimStep.TAKE_OVER, taken.step)
        for state in (None, ClaimState.UNKNOWN, ClaimState.CLAIMED, ClaimState.DONE):
            self.assertIs(ClaimStep.REFUSE, decide_after_holder(state, asked).step)

    def test_rows_are_encoded_and_malformed_ones_refused(self):
        self.assertEqual(OWN, ClaimRow.decode(OWN.encode()).ok())
        for data in (b"", b"{}", b"[]", b"null", OWN.encode().replace(b"claimed", b"other")):
            self.assertIs(Code.STORE_BAD_ANSWER, ClaimRow.decode(data).err().code)

    def test_keys(self):
        self.assertTrue(check_key("a-Z_0.9:").is_ok())
        self.assertIs(Code.KEY_REQUIRED, check_key("").err().code)
        for key in ("a/b", "a b", "a" * 129, "\u00e9"):
            self.assertIs(Code.KEY_INVALID, check_key(key).err().code)


class ClaimRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = ClaimRegistry(limit=2)

    def test_a_claim_is_refused_while_another_is_in_progress(self):
        self.assertTrue(self.registry.begin("book", "k", "print", "n1").is_ok())
        self.assertIs(
            Code.KEY_IN_PROGRESS, self.registry.begin("book", "k", "print", "n2").err().code
        )
        self.assertIs(Code.KEY_REUSED, self.registry.begin("book", "k", "other", "n2").err().code)

    def test_an_abandoned_nonce_is_kept_beside_a_later_claim(self):
        self.registry.begin("book", "k", "print", "n1")
        self.registry.record_end("book", "k", ClaimState.NOT_RUN)
        self.registry.begin("book", "k", "print", "n2")
        self.assertIs(ClaimState.NOT_RUN, self.registry.state_of("book", "k", "n1"))
        self.assertIs(ClaimState.CLAIMED, self.registry.state_of("book", "k", "n2"))
        self.assertIsNone(self.registry.state_of("book", "k", "n3"))

    def test_only_finished_claims_are_evicted(self):
        self.registry.begin("book", "k1", "print", "n1")
        self.registry.begin("book", "k2", "print", "n2")
        self.assertIs(Code.QUEUE_FULL, self.registry.begin("book", "k3", "print", "n3").err().code)
        self.registry.record_end("book", "k1", ClaimState.DONE)
        self.assertTrue(self.registry.begin("book", "k3", "print", "n3").is_ok())
        self.assertIs(ClaimState.CLAIMED, self.registry.state_of("book", "k2", "n2"))


if __name__ == "__main__":
    unittest.main()
