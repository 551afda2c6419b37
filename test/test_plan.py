import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.model import FULL_SHARE, Plan, PlanRow
from figfold.core.plan import (
    HISTORY_LIMIT,
    PlanInForce,
    RowChange,
    body_digest,
    decode_body,
    decode_head,
    diff_plans,
    encode_body,
    encode_head,
    make_plan,
    next_head,
)

DEMAND = {"bne": 60.0, "tsv": 40}
ROWS = (
    PlanRow("stockview", "bne-north", 6000, 9),
    PlanRow("stockview", "tsv-port", 4000, 6, True, 100.0, 200.0),
)
NAMES = st.text(min_size=1, max_size=4)


@st.composite
def plan_rows(draw):
    keys = draw(st.lists(st.tuples(NAMES, NAMES), unique=True, max_size=5))
    rows = []
    for service, place in keys:
        start = draw(st.none() | st.floats(0, 1e9))
        until = draw(st.none() | st.floats(2e9, 3e9))
        share, cap = draw(st.integers(0, FULL_SHARE)), draw(st.integers(0, 99))
        emptying = draw(st.booleans())
        times = (start, until) if emptying else (None, None)
        rows.append(PlanRow(service, place, share, cap, emptying, *times))
    return rows


class BodyTest(unittest.TestCase):
    @given(plan_rows(), st.randoms())
    def test_body_is_canonical_and_round_trips(self, rows, random):
        body = encode_body(rows, DEMAND)
        random.shuffle(rows)
        self.assertEqual(body, encode_body(rows, dict(reversed(DEMAND.items()))))
        content = decode_body(body).unwrap()
        self.assertEqual(sorted(rows, key=lambda r: (r.service, r.place)), list(content.rows))
        self.assertEqual(DEMAND, content.demand_by_region)

    def test_malformed_bodies_are_refused(self):
        body = encode_body(ROWS, DEMAND)
        changes = """
            "cap":9>"cap":9,"cap":9 "cap":9>"cap":true "cap":9>"cap":9.0 "cap":9>"cap":-9
            "cap":9,> "cap":9>"caps":9 6000>10001 60.0>NaN 60.0>1e999 60.0>-60.0 100.0>300.0
            "emptying":true>"emptying":false tsv-port>bne-north "format":1>"format":2
        """
        pairs = [change.encode().split(b">") for change in changes.split()]
        cases = [body.replace(old, new) for old, new in pairs]
        cases += [body[:-1], body + b" ", body + b"\xff", b"[" * 100_000, b"9" * 10_000]
        for content in cases:
            with self.subTest(content=content[:60]):
                self.assertEqual(Code.PLAN_CORRUPT, decode_body(content).unwrap_err().code)

    @given(st.binary(max_size=100))
    def test_random_bytes_are_refused(self, data):
        self.assertTrue(decode_body(data).is_err())
        self.assertTrue(decode_head(data).is_err())


class HeadTest(unittest.TestCase):
    def test_history_is_bounded_and_round_trips(self):
        head = None
        for number in range(HISTORY_LIMIT + 3):
            head = next_head(head, body_digest(str(number).encode()), f"op{number}", number)
            self.assertEqual(head, decode_head(encode_head(head)).unwrap())
        self.assertEqual(HISTORY_LIMIT + 3, head.version)
        versions = [entry.version for entry in head.history]
        self.assertEqual(list(range(3, HISTORY_LIMIT + 3)), versions)

    def test_malformed_heads_are_refused(self):
        first = next_head(None, body_digest(b"a"), "op", 1)
        second = next_head(first, body_digest(b"b"), "op", 2)
        cases = [
            evolve(second, version=1),
            evolve(first, version=0),
            evolve(first, version=True),
            evolve(first, digest="A" * 64),
            evolve(first, digest=""),
            evolve(first, operator=None),
            evolve(first, accepted_at=1),
            evolve(second, history=second.history * 2),
        ]
        stored = [encode_head(head) for head in cases]
        stored.append(encode_head(first).replace(b'"version":1', b'"version":1,"version":1'))
        for data in stored:
            self.assertEqual(Code.PLAN_CORRUPT, decode_head(data).unwrap_err().code)

    def test_body_must_have_the_digest_of_the_head_row(self):
        body = encode_body(ROWS, DEMAND)
        head = next_head(None, body_digest(body), "op", 5)
        plan = make_plan(head, body).unwrap()
        self.assertEqual((1, head.digest, "op", 5.0), (1, plan.digest, "op", plan.accepted_at))
        self.assertEqual(9, plan.cap("stockview", "bne-north"))
        other = encode_body(ROWS[:1], DEMAND)
        self.assertEqual(Code.PLAN_CORRUPT, make_plan(head, other).unwrap_err().code)
        for at in range(len(body)):
            damaged = body[:at] + bytes([body[at] ^ 1]) + body[at + 1 :]
            self.assertTrue(make_plan(head, damaged).is_err())


def plan_of(version, digest="a", rows=ROWS):
    return Plan(version, digest, {(row.service, row.place): row for row in rows}, {})


class DiffTest(unittest.TestCase):
    def test_changes_and_absent_rows(self):
        changed = evolve(ROWS[0], share=5000, emptying=True)
        changes = diff_plans(plan_of(1), plan_of(2, rows=[changed]))
        expected = (
            RowChange("stockview", "bne-north", 6000, 5000, 9, 9, False, True),
            RowChange("stockview", "tsv-port", 4000, None, 6, None, True, None),
        )
        self.assertEqual(expected, changes)
        self.assertEqual(2, len(diff_plans(None, plan_of(1))))
        self.assertEqual((), diff_plans(plan_of(1), plan_of(2)))


class PlanInForceTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 6), st.sampled_from("ab"))))
    def test_the_version_in_force_never_decreases(self, offers):
        state = PlanInForce()
        in_force = None
        lower = conflict = 0
        for version, digest in offers:
            accepted = state.offer(plan_of(version, digest))
            self.assertEqual(in_force is None or version > in_force[0], accepted)
            lower += in_force is not None and version < in_force[0]
            conflict += in_force is not None and version == in_force[0] and digest != in_force[1]
            in_force = (version, digest) if accepted else in_force
            self.assertEqual(in_force, (state.plan.version, state.plan.digest))
        self.assertEqual((lower, conflict), (state.refused_lower, state.refused_conflict))


if __name__ == "__main__":
    unittest.main()
