"""The choice of a server: the same as by a look at all servers, at a cost that does not grow."""

import unittest
from math import log
from random import Random
from unittest.mock import patch

from attrs import evolve

from figfold.core.traffic import ranking
from figfold.core.traffic.durations import RouteDurations
from figfold.core.traffic.fleet import Fleet, ServerRecord
from figfold.core.traffic.placement import OVERFLOW_CANDIDATES, REGION_CANDIDATES, Placement
from figfold.core.traffic.ranking import (
    KEPT_SERVERS,
    MAX_OBJECTS,
    rendezvous_weights,
    unit_hash,
)
from figfold.core.traffic.selection import SelectionRequest, Selector
from figfold.core.traffic.server_limits import ServerLimits

REGION_BY_PLACE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
SEEDS = range(12)
STEPS = 60
OBJECTS = 40


def make_selector(records):
    fleet = Fleet()
    fleet.apply_snapshot(records, 0.0, False, 1)
    return Selector(
        fleet,
        Placement("a", REGION_BY_PLACE),
        REGION_BY_PLACE,
        lambda _place: 0.01,
        ServerLimits("e"),
    )


def make_record(number, place, slots=3, version=1):
    return ServerRecord(
        f"s{number}", "svc", f"10.0.0.1:{number + 1}", place, slots, False, version, started_ms=1
    )


def candidates_of_all(selector, request, now_s, may_use_cold_server):
    """Return the candidates of a request by a look at each server of the service."""

    def region_of(server):
        return REGION_BY_PLACE[server.record.place]

    def by_weight(servers):
        return sorted(
            servers,
            key=lambda one: -one.record.slots / log(unit_hash("svc", request.key, one.record.id)),
            reverse=True,
        )

    homes = request.home_regions
    usable = [
        one for one in selector.fleet.usable_servers("svc") if not homes or region_of(one) in homes
    ]
    untried = [
        one
        for one in usable
        if one.record.id not in request.tried
        and selector.limits.wait_s(one.record.id, one.record.started_ms, now_s) <= 0.0
    ]
    available = [one for one in untried if now_s >= selector.load(one).backoff_until_s]
    ready = [
        one for one in available or untried if not one.is_cold(now_s) or may_use_cold_server(one)
    ]
    if request.is_overflow:
        others = [
            one
            for one in ready
            if region_of(one) in request.overflow_regions and region_of(one) != "a"
        ]
        return by_weight(others)[:OVERFLOW_CANDIDATES]
    slots = {}
    for one in usable:
        slots[region_of(one)] = slots.get(region_of(one), 0) + one.record.slots
    region = selector.placement.target_region("svc", request.key, tuple(sorted(slots.items())))
    return by_weight([one for one in ready if region_of(one) == region] or ready)[
        :REGION_CANDIDATES
    ]


CHANGES = ("remove", "add", "leave", "evacuate", "slots", "cold", "fail", "limit")


class SameChoiceTest(unittest.TestCase):
    def test_candidates_are_those_of_a_look_at_all_servers(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(Random(seed))

    def play(self, random):
        places = sorted(REGION_BY_PLACE)
        count = random.choice((3, 20, 60))
        records = [
            make_record(i, random.choice(places), random.choice((3, 4))) for i in range(count)
        ]
        selector = make_selector(records)
        for step in range(STEPS):
            now_s = step * 0.5
            self.change(selector, random, count, step + 2, now_s)
            for _ in range(5):
                request = SelectionRequest(
                    "svc",
                    f"k{random.randrange(OBJECTS)}",
                    frozenset(f"s{random.randrange(count)}" for _ in range(random.randrange(3))),
                    random.choice((frozenset(), frozenset(), frozenset({"b", "c"}))),
                    random.random() < 0.2,
                    frozenset({"b", "c"}),
                )
                allows_cold = random.random() < 0.5
                arguments = (request, now_s, lambda _server, yes=allows_cold: yes)
                expected = candidates_of_all(selector, *arguments)
                self.assertEqual(
                    [one.record.id for one in selector._candidates(*arguments)],
                    [one.record.id for one in expected],
                )

    def change(self, selector, random, count, version, now_s):
        fleet = selector.fleet
        server_id = f"s{random.randrange(count)}"
        server = fleet.server_by_id.get(server_id)
        kind = random.choice(
            ("remove", "add", "leave", "evacuate", "slots", "cold", "fail", "limit")
        )
        if server is None or kind == "add":
            place = random.choice(sorted(REGION_BY_PLACE))
            number = int(server_id[1:]) if server is None else count + version
            fleet.apply_record(make_record(number, place, 3, version), now_s)
        elif kind == "remove":
            fleet.apply_removal(server_id, now_s, random.random() < 0.3, version)
        elif kind == "leave":
            fleet.mark_leaving(server_id, 1)
        elif kind == "evacuate":
            fleet.set_evacuated(random.choice(([], ["a1"], ["b1", "b2"])), now_s, version)
        elif kind == "slots":
            slots = random.randrange(1, 6)
            fleet.apply_record(evolve(server.record, slots=slots, row_version=version), now_s)
        elif kind == "cold":
            fleet.assume_cold(server_id, now_s + 5.0)
        elif kind == "fail":
            selector.load(server).observe_failure(now_s, is_unreachable=True)
        else:
            selector.limits.pause(server_id, 1, 3.0, now_s)


class CostTest(unittest.TestCase):
    """Each choice looked at each server: 332 microseconds with 209 servers, 1,858 with 836."""

    def servers_looked_at(self, count):
        places = sorted(REGION_BY_PLACE)
        selector = make_selector([make_record(i, places[i % 5]) for i in range(count)])
        looked_at = []
        limit_wait_s = Selector._limit_wait_s

        def counted(self, server, now_s):
            looked_at.append(server.record.id)
            return limit_wait_s(self, server, now_s)

        with patch.object(Selector, "_limit_wait_s", counted):
            for number in range(100):
                request = SelectionRequest("svc", f"k{number}")
                selector.choose(request, RouteDurations(), 0.0, lambda _server: True)
        return len(looked_at) / 100

    def test_servers_looked_at_do_not_grow_with_the_fleet(self):
        for count in (20, 209, 836):
            self.assertLessEqual(self.servers_looked_at(count), REGION_CANDIDATES, count)

    def test_fleet_is_listed_once_for_each_change_of_it(self):
        selector = make_selector([make_record(i, "a1") for i in range(50)])
        calls = []
        usable_servers = Fleet.usable_servers

        def counted(self, service):
            calls.append(service)
            return usable_servers(self, service)

        with patch.object(Fleet, "usable_servers", counted):
            for number in range(100):
                request = SelectionRequest("svc", f"k{number % 10}")
                selector.choose(request, RouteDurations(), 0.0, lambda _server: True)
        self.assertEqual(len(calls), 1)

    # Once the servers that were kept for an object had left, each request ranked all servers.
    def test_servers_are_ranked_once_after_the_kept_ones_have_left(self):
        selector = make_selector([make_record(i, "a1") for i in range(60)])
        request = SelectionRequest("svc", "k")

        def choose():
            selector.choose(request, RouteDurations(), 0.0, lambda _server: True)

        choose()
        (rank,) = selector.ranking._rank_by_object.values()
        for version, (_, server_id) in enumerate(list(rank.first), start=2):
            selector.fleet.apply_removal(server_id, 0.0, False, version)
        with patch.object(ranking, "rendezvous_weights", wraps=rendezvous_weights) as ranked:
            for _ in range(5):
                choose()
        self.assertEqual(ranked.call_count, 1)

    def test_objects_kept_are_bounded(self):
        selector = make_selector([make_record(i, "a1") for i in range(10)])
        for number in range(MAX_OBJECTS + 100):
            request = SelectionRequest("svc", f"k{number}")
            selector.choose(request, RouteDurations(), 0.0, lambda _server: True)
        ranks = selector.ranking._rank_by_object
        self.assertEqual(len(ranks), MAX_OBJECTS)
        self.assertEqual(max(len(one.first) for one in ranks.values()), KEPT_SERVERS)


if __name__ == "__main__":
    unittest.main()
