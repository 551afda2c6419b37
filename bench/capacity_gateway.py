"""Slopes of the gateway: server selection, look-ups and knowledge of the servers."""

from random import Random

from bench.capacity_fit import Slope, cost_us
from bench.capacity_samples import REGIONS, SLOTS, make_reports, make_topology
from bench.capacity_state import memory_of
from figfold.core.entries import MembershipSettings
from figfold.core.members import Members
from figfold.core.traffic.durations import RouteDurations
from figfold.core.traffic.fleet import Fleet, ServerRecord
from figfold.core.traffic.placement import Placement
from figfold.core.traffic.selection import SelectionRequest, Selector
from figfold.core.traffic.server_limits import ServerLimits
from figfold.entry.clock import now_s
from figfold.gateway.cluster_view import ClusterView
from figfold.wire.codec import decode, encode
from figfold.wire.messages import KnowledgeReply

SERVER_COUNTS = (40, 220, 880)
ENTRY_COUNTS = (12, 96, 480)
SERVICES = 3
OBJECTS = 200
WARM_S = 0.2
CALLS = 200
DISTANCE_S = 0.01


def gateway_slopes():
    """Return every slope of this module."""
    return [_selection_slope(), _look_up_slope(), *_knowledge_slopes(), _memory_slope()]


def make_records(count):
    """Return the records of ``count`` backend servers, spread over services and places."""
    return [
        ServerRecord(
            id=f"i-{number:010x}",
            service=f"service{number % SERVICES}",
            address=f"10.{number >> 8}.{number & 255}.1:8080",
            place=f"place{number % (4 * REGIONS)}",
            slots=SLOTS,
            started_ms=1,
        )
        for number in range(count)
    ]


def make_selector(count):
    """Return the selector of an entry that knows ``count`` servers."""
    fleet = Fleet()
    fleet.apply_snapshot(make_records(count), 0.0, False, 1)
    regions = {f"place{number}": f"r{number % REGIONS}" for number in range(4 * REGIONS)}
    placement = Placement("r0", regions)
    return Selector(fleet, placement, regions, lambda _place: DISTANCE_S, ServerLimits("e"))


def _selection_slope():
    durations = RouteDurations()
    durations.add(WARM_S, True)
    points = []
    for count in SERVER_COUNTS:
        selector = make_selector(count)
        keys = iter(range(1 << 30))

        def choose(selector=selector, keys=keys):
            wanted = SelectionRequest("service0", str(next(keys) % OBJECTS))
            return selector.choose(wanted, durations, 0.0, lambda _server: False)

        points.append((count, cost_us(CALLS, choose)))
    return Slope.from_points("choice of a server", "us", "servers", points)


def _look_up_slope():
    points = []
    for count in ENTRY_COUNTS:
        topology = make_topology(max(1, count // 4))
        regions = {name: place.region for name, place in topology.place_by_name.items()}
        reports = make_reports(topology, count)
        cluster = ClusterView(
            reports[0].name, reports[0].place, regions, None, Fleet(), lambda _version: None
        )
        members = Members.from_config(MembershipSettings(), reports[0], Random(1).sample)
        for report in reports[1:]:
            members.record_report(report, now_s())
        cluster.membership = members
        place = next(iter(regions))
        cost = cost_us(CALLS, cluster.entry_addresses, place, regions[place])
        points.append((count, cost))
    return Slope.from_points("look-up of entries", "us", "entries", points)


def _knowledge_slopes():
    sizes, writes, reads = [], [], []
    for count in SERVER_COUNTS:
        fleet = make_selector(count).fleet
        reply = KnowledgeReply(b"", fleet.update_since(0, 0.0), 1, 0.1, 0.1)
        data = encode(reply)
        sizes.append((count, len(data)))
        writes.append((count, cost_us(5, encode, reply)))
        reads.append((count, cost_us(5, decode, data)))
    return [
        Slope.from_points("whole knowledge, size", "bytes", "servers", sizes),
        Slope.from_points("whole knowledge, encode", "us", "servers", writes),
        Slope.from_points("whole knowledge, decode", "us", "servers", reads),
    ]


def _memory_slope():
    def make(count):
        selector = make_selector(count)
        for server in selector.fleet.server_by_id.values():
            load = selector.load(server)
            for number in range(SLOTS * 5):
                load.start(number, str(number), 0.0)
                load.end(number)
        return selector

    points = [(count, memory_of(lambda n=count: make(n))) for count in SERVER_COUNTS]
    return Slope.from_points("memory: servers with their loads", "bytes", "servers", points)
