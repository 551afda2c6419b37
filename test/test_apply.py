import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.plan import HISTORY_LIMIT, next_head
from figfold.core.plan_application import (
    MAX_READS,
    Finished,
    HeadWithEtag,
    PlanApplication,
    ReadHead,
    Verdict,
    WriteHead,
    after_read,
    after_write,
)

DIGEST_A, DIGEST_B, DIGEST_OLD = ("a" * 64, "b" * 64, "0" * 64)
REFUSED = frozenset({Verdict.CONFLICT, Verdict.NOT_APPLIED})
STEP_LIMIT = 40
FAULTS = ["", "", "", "lost", "lost-before", "late", "unreachable", "stale", "flush"]


class FakeStore:
    """A head row with conditional writes; faults lose answers or delay writes."""

    def __init__(self, head=None):
        self.heads = [None] if head is None else [None, head]
        self.delayed = []

    @property
    def row(self):
        head = self.heads[-1]
        return HeadWithEtag(head, f'"{len(self.heads)}"' if head else None)

    def read(self, fault):
        if fault == "stale" and len(self.heads) > 1:
            head = self.heads[-2]
            return Ok(HeadWithEtag(head, f'"{len(self.heads) - 1}"' if head else None))
        return _lost() if fault in ("lost", "late") else Ok(self.row)

    def write(self, step, fault):
        if fault == "unreachable":
            return Err(Failure(Code.STORE_UNREACHABLE, "nothing was sent"))
        if fault == "lost-before":
            return _lost()
        if fault == "late":
            self.delayed.append(step)
            return _lost()
        written = self.apply_write(step)
        return _lost() if fault == "lost" else written

    def apply_write(self, step):
        if step.etag != self.row.etag:
            return Err(Failure(Code.STORE_CONFLICT, "the condition does not hold"))
        self.heads.append(step.head)
        return Ok(self.row.etag)

    def flush(self):
        while self.delayed:
            self.apply_write(self.delayed.pop(0))


def _lost():
    return Err(Failure(Code.STORE_TIMEOUT, "no answer"))


def _advance(store, application, step, fault):
    if isinstance(step, ReadHead):
        return after_read(application, store.read(fault))
    return after_write(application, store.write(step, fault))


def _run(store, application, faults=()):
    faults = iter(faults)
    step = ReadHead()
    while not isinstance(step, Finished):
        step = _advance(store, application, step, next(faults, ""))
    return step


class ApplyTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore(next_head(None, DIGEST_OLD, "eve", 1))
        self.application = PlanApplication(DIGEST_A, "ann", 5.0)

    def advance(self, step, *faults):
        """Return the step that follows after one answer for each fault; "" stands for no fault."""
        for fault in faults:
            step = _advance(self.store, self.application, step, fault)
        return step

    def end(self, *faults):
        finished = _run(self.store, self.application, faults)
        return finished.verdict, finished.accepted_version, len(self.store.heads) - 1

    def test_first_plan(self):
        self.store = FakeStore()
        self.assertEqual((Verdict.ACCEPTED, 1, 1), self.end())

    def test_lost_answers_and_outages(self):
        cases = {
            ("", "lost"): (Verdict.ACCEPTED, 2, 2),
            ("", "lost-before"): (Verdict.ACCEPTED, 2, 2),
            ("", *["unreachable"] * 9): (Verdict.NOT_APPLIED, 0, 1),
            ("lost",) * MAX_READS: (Verdict.NOT_APPLIED, 0, 1),
            ("", "lost", *["lost"] * MAX_READS): (Verdict.UNKNOWN, 0, 2),
        }
        for faults, expected in cases.items():
            with self.subTest(faults=faults):
                self.setUp()
                self.assertEqual(expected, self.end(*faults))

    def test_repeated_write_meets_the_delayed_one(self):
        step = self.advance(ReadHead(), "", "late", "")
        self.assertIsInstance(step, WriteHead)
        self.store.flush()
        step = self.advance(step, "")
        self.assertEqual(ReadHead(), step)
        finished = self.advance(step, "")
        self.assertEqual((Verdict.ACCEPTED, 2), (finished.verdict, finished.accepted_version))

    def test_stale_read_after_a_conflict_is_read_again(self):
        rival = PlanApplication(DIGEST_B, "bob", 5.0)
        step = self.advance(ReadHead(), "")
        self.assertEqual(Verdict.ACCEPTED, _run(self.store, rival).verdict)
        step = self.advance(step, "", "stale")
        self.assertEqual(ReadHead(), step)
        finished = self.advance(step, "")
        self.assertEqual(Verdict.CONFLICT, finished.verdict)
        self.assertIn("version 2 by bob", finished.failure.message)

    def test_same_sheet_twice_is_one_plan(self):
        self.end()
        again = _run(self.store, PlanApplication(DIGEST_A, "bob", 6.0))
        self.assertEqual((Verdict.ALREADY_IN_FORCE, "ann"), (again.verdict, again.head.operator))

    def test_expected_version(self):
        self.application.expected_version = 7
        self.assertEqual((Verdict.CONFLICT, 0, 1), self.end())

    def test_accepted_and_replaced_before_the_outcome_was_known(self):
        step = self.advance(ReadHead(), "", "lost")
        _run(self.store, PlanApplication(DIGEST_B, "bob", 6.0))
        finished = self.advance(step, "")
        self.assertEqual((Verdict.SUPERSEDED, 2), (finished.verdict, finished.accepted_version))

    def test_outcome_is_unknown_once_the_history_is_too_short(self):
        step = self.advance(ReadHead(), "", "lost")
        for number in range(HISTORY_LIMIT + 1):
            _run(self.store, PlanApplication(f"{number:064x}", "bob", 6.0))
        self.assertEqual(Verdict.UNKNOWN, self.advance(step, "").verdict)

    @given(
        st.booleans(),
        st.lists(st.tuples(st.integers(0, 1), st.sampled_from(FAULTS)), max_size=STEP_LIMIT),
    )
    def test_concurrent_applications_of_two_operators(self, same_sheet, schedule):
        store = FakeStore(next_head(None, DIGEST_OLD, "eve", 1))
        digests = (DIGEST_A, DIGEST_A if same_sheet else DIGEST_B)
        applications = [
            PlanApplication(digests[0], "ann", 5.0),
            PlanApplication(digests[1], "bob", 5.0),
        ]
        steps = [ReadHead(), ReadHead()]
        moves = schedule + [(index, "") for index in (0, 1) for _ in range(STEP_LIMIT)]
        for index, fault in moves:
            if fault == "flush":
                store.flush()
            elif not isinstance(steps[index], Finished):
                steps[index] = _advance(store, applications[index], steps[index], fault)
        store.flush()
        versions = [head.version for head in store.heads[1:]]
        self.assertEqual(list(range(1, len(versions) + 1)), versions)
        for application, finished in zip(applications, steps, strict=True):
            self.check_verdict(store, application, finished)
        # After a stale first read the application may be refused, which is safe: the operator
        # looks at the plan in force and tries again.
        is_fresh = "stale" not in {fault for _, fault in schedule}
        if same_sheet and is_fresh and Verdict.ACCEPTED in {one.verdict for one in steps}:
            self.assertNotIn(Verdict.CONFLICT, {finished.verdict for finished in steps})

    def check_verdict(self, store, application, finished):
        written = [head for head in store.heads[1:] if head == application.intended]
        self.assertLessEqual(len(written), 1)
        if finished.verdict in (Verdict.ACCEPTED, Verdict.SUPERSEDED):
            self.assertEqual([finished.accepted_version], [head.version for head in written])
        if finished.verdict in REFUSED:
            self.assertEqual([], written)
        if finished.verdict is Verdict.ALREADY_IN_FORCE:
            self.assertEqual(application.digest, finished.head.digest)
            self.assertIn(finished.head, store.heads)


if __name__ == "__main__":
    unittest.main()
