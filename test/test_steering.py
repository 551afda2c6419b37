import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from figfold.core.matrix import demand_fractions
from figfold.core.model import FULL_SHARE, Plan, PlanRow
from figfold.core.steering import (
    CACHE_LIMIT,
    LookupEntry,
    SteeringCache,
    choose_entries,
    choose_places,
    explain,
)
from figfold.core.weights import region_matrix
from test.test_sheet import carrick

TOPOLOGY = carrick()
PLACES = tuple(TOPOLOGY.place_by_name)
ENDPOINT_SHARES = (1875, 1875, 1875, 1875, 1250, 1250)
DEMAND = {"bne": 37.5, "tsv": 37.5, "mky": 25.0}
CALLERS = 1600
# Upper bound of four standard deviations of a place's share among that many callers.
SAMPLING_TOLERANCE = 4 * 0.5 / CALLERS**0.5
# Region of each caller by its number modulo 8, in proportion to the demand.
REGIONS = ("bne", "bne", "bne", "tsv", "tsv", "tsv", "mky", "mky")


def make_plan(shares, version=1, emptying=(), demand=DEMAND, caps=(9,) * 6, until=None):
    rows = [
        PlanRow("stockview", place, share, cap, place in emptying, empty_until=until)
        for place, share, cap in zip(PLACES, shares, caps, strict=True)
    ]
    row_by_key = {(row.service, row.place): row for row in rows}
    return Plan(version, f"{shares}{sorted(emptying)}", row_by_key, demand)


def first_places(plan, excluded=frozenset()):
    steering = SteeringCache.from_topology(TOPOLOGY)
    callers = [(f"c{number}", REGIONS[number % 8], 0.0, excluded) for number in range(CALLERS)]
    return [choose_places(steering, plan, "stockview", *caller)[0] for caller in callers]


@st.composite
def shares(draw):
    cuts = sorted(draw(st.lists(st.integers(0, FULL_SHARE), min_size=5, max_size=5)))
    return tuple(b - a for a, b in zip([0, *cuts], [*cuts, FULL_SHARE], strict=True))


SUBSETS = st.frozensets(st.sampled_from(PLACES))
DEMANDS = st.dictionaries(st.sampled_from(["bne", "tsv", "mky", "x"]), st.floats(0, 100))


class MatrixTest(unittest.TestCase):
    @given(shares(), SUBSETS, SUBSETS, DEMANDS)
    def test_totals_are_the_shares_of_usable_places(self, share, emptying, excluded, demand):
        plan = make_plan(share, 1, emptying, demand)
        matrix = region_matrix(plan, TOPOLOGY, "stockview", 0.0, excluded)
        usable = dict(zip(PLACES, share, strict=True))
        usable = {place: usable[place] for place in usable.keys() - emptying - excluded}
        if not usable:
            self.assertEqual({}, matrix)
            return
        if not sum(usable.values()):
            usable = dict.fromkeys(usable, 1)
        demands = demand_fractions(demand, TOPOLOGY)
        for place in PLACES:
            total = sum(demands[region] * matrix[region].get(place, 0.0) for region in demands)
            self.assertAlmostEqual(usable.get(place, 0) / sum(usable.values()), total, places=9)
            if place not in usable:
                self.assertFalse(any(row.get(place) for row in matrix.values()))
        for row in matrix.values():
            self.assertAlmostEqual(1.0, sum(row.values()), places=9)

    def test_regions_fill_their_own_places_first(self):
        plan = make_plan((3000, 3000, 1000, 1000, 1000, 1000))
        matrix = region_matrix(plan, TOPOLOGY, "stockview", 0.0)
        self.assertEqual({"bne-north", "bne-south"}, {p for p, w in matrix["bne"].items() if w})
        self.assertAlmostEqual(20 / 37.5, matrix["tsv"]["tsv-port"] + matrix["tsv"]["tsv-bohle"])

        plan = make_plan(
            (3000, 3000, 1000, 1000, 1000, 1000), demand={"bne": 60, "tsv": 20, "mky": 20}
        )
        for region, row in region_matrix(plan, TOPOLOGY, "stockview", 0.0).items():
            away = sum(part for place, part in row.items() if not place.startswith(region))
            self.assertAlmostEqual(0.0, away)


class ChoiceTest(unittest.TestCase):
    @settings(max_examples=20)
    @given(shares())
    def test_callers_are_distributed_by_the_shares(self, share):
        counts = Counter(first_places(make_plan(share)))
        for place, part in zip(PLACES, share, strict=True):
            self.assertAlmostEqual(
                part / FULL_SHARE, counts[place] / CALLERS, delta=SAMPLING_TOLERANCE
            )
            self.assertTrue(part or not counts[place])

    @settings(max_examples=20)
    @given(st.permutations(range(6)), st.integers(0, 1250), st.integers(0, 1250))
    def test_growing_shift_moves_no_other_callers(self, order, first, second):
        lower, higher = order[:2]
        choices = []
        for amount in sorted((first, second)):
            share = list(ENDPOINT_SHARES)
            share[lower] -= amount
            share[higher] += amount
            choices.append(first_places(make_plan(share)))
        moves = Counter(pair for pair in zip(*choices, strict=True) if pair[0] != pair[1])
        self.assertLessEqual(set(moves), {(PLACES[lower], PLACES[higher])})
        shifted = abs(first - second) / FULL_SHARE
        self.assertAlmostEqual(shifted, moves.total() / CALLERS, delta=SAMPLING_TOLERANCE)

    @settings(max_examples=20)
    @given(shares(), st.sampled_from(PLACES))
    def test_emptying_or_losing_a_place_moves_only_its_callers(self, share, lost):
        at = PLACES.index(lost)
        if share[at] == FULL_SHARE:
            return
        before = first_places(make_plan(share))
        emptied = first_places(make_plan(share, 1, {lost}))
        dead = first_places(make_plan(share), frozenset({lost}))
        self.assertEqual(emptied, dead)
        self.assertNotIn(lost, emptied)
        for old, new in zip(before, emptied, strict=True):
            self.assertTrue(old == new or old == lost)

    def test_timed_emptying_ends_by_the_clock(self):
        steering = SteeringCache.from_topology(TOPOLOGY)
        plan = make_plan(ENDPOINT_SHARES, 1, {"bne-north"}, until=100.0)
        for now_s, expected in ((99.0, False), (100.0, True)):
            places = choose_places(steering, plan, "stockview", "c", "bne", now_s)
            self.assertEqual(expected, "bne-north" in places)

    def test_fall_backs_are_near_first_and_usable(self):
        plan = make_plan((1875, 1875, 1875, 3125, 1250, 0), 1, {"tsv-port"})
        steering = SteeringCache.from_topology(TOPOLOGY)
        for number in range(50):
            found = choose_places(steering, plan, "stockview", f"c{number}", "bne", 0.0)
            self.assertEqual({"bne-north", "bne-south", "tsv-bohle", "mky-paget"}, set(found))
            self.assertEqual(4, len(found))
            self.assertTrue(found[0].startswith("bne") <= found[1].startswith("bne"))

    def test_idle_places_serve_only_when_nothing_else_does(self):
        plan = make_plan((FULL_SHARE, 0, 0, 0, 0, 0), caps=(9, 9, 0, 0, 0, 0))
        steering = SteeringCache.from_topology(TOPOLOGY)
        arguments = (steering, plan, "stockview", "c", "tsv", 0.0)
        self.assertEqual(("bne-north",), choose_places(*arguments))
        self.assertEqual(("bne-south",), choose_places(*arguments, frozenset({"bne-north"})))
        self.assertEqual((), choose_places(*arguments, frozenset(PLACES)))
        self.assertEqual((), choose_places(steering, plan, "unknown", "c", "tsv", 0.0))

    @given(st.text(), st.none() | st.text())
    def test_any_caller_of_any_region_is_served(self, caller, region):
        steering = SteeringCache.from_topology(TOPOLOGY)
        found = choose_places(
            steering, make_plan(ENDPOINT_SHARES), "stockview", caller, region, 0.0
        )
        self.assertEqual(set(PLACES), set(found))

    def test_cache_is_bounded(self):
        steering = SteeringCache.from_topology(TOPOLOGY)
        for version in range(1, CACHE_LIMIT + 9):
            choose_places(
                steering, make_plan(ENDPOINT_SHARES, version), "stockview", "c", "bne", 0.0
            )
        self.assertEqual(CACHE_LIMIT, len(steering.weights_by_key))

    def test_explanation_agrees_with_the_choice(self):
        plan = make_plan(ENDPOINT_SHARES, 1, {"tsv-port"})
        steering = SteeringCache.from_topology(TOPOLOGY)
        for number in range(50):
            arguments = (steering, plan, "stockview", f"c{number}", "tsv", 0.0, {"bne-north"})
            explanation = explain(*arguments)
            self.assertEqual(choose_places(*arguments), explanation.chosen)
            self.assertEqual(explanation.chosen[0], explanation.path[-1])
            self.assertTrue(explanation.place_by_name["tsv-port"].emptying)
            self.assertTrue(explanation.place_by_name["bne-north"].excluded)
            self.assertEqual(0, explanation.place_by_name[explanation.chosen[0]].rank)


class EntryChoiceTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans())), st.integers(1, 4))
    def test_entries_of_the_first_place_and_one_of_the_next(self, kinds, limit):
        entries = [LookupEntry(f"e{n}", place, "", gone) for n, (place, gone) in enumerate(kinds)]
        found = choose_entries(entries, "stockview", "c", ("b", "a"), limit)
        live = Counter(entry.place for entry in entries if not entry.leaving)
        self.assertEqual(min(limit, live["a"] + live["b"]), len(found))
        self.assertEqual(len(found), len(set(found)))
        self.assertFalse(any(entry.leaving or entry.place == "c" for entry in found))
        if live["a"] and live["b"]:
            self.assertEqual("b", found[0].place)
            self.assertEqual(limit > 1, any(entry.place == "a" for entry in found))
        ordered = [entry.place for entry in found]
        self.assertEqual(sorted(ordered, reverse=True), ordered)

    def test_the_last_entry_named_is_of_another_region(self):
        steering, plan = SteeringCache.from_topology(TOPOLOGY), make_plan(ENDPOINT_SHARES)
        entries = [LookupEntry(f"{place}-{n}", place, "") for place in PLACES for n in (1, 2)]
        for number in range(50):
            caller, region = f"c{number}", REGIONS[number % 8]
            places = choose_places(steering, plan, "stockview", caller, region, 0.0)
            arguments = (entries, "stockview", caller, places)
            found = choose_entries(*arguments, place_by_name=TOPOLOGY.place_by_name)
            self.assertEqual([places[0], places[0], places[1]], [e.place for e in found[:3]])
            regions = [TOPOLOGY.place_by_name[entry.place].region for entry in found]
            self.assertEqual(4, len(set(found)))
            self.assertTrue(set(regions) - {regions[0]})


if __name__ == "__main__":
    unittest.main()
