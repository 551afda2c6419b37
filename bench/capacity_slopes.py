"""Slopes of the decisions, measured in one process without input or output."""

from types import SimpleNamespace

from bench.capacity_fit import Slope, cost_us
from bench.capacity_samples import (
    SERVERS_PER_PLACE,
    SERVICES,
    entry_names,
    make_confirmation,
    make_demand,
    make_instances,
    make_known,
    make_membership,
    make_plan,
    make_report,
    make_rows,
    make_topology,
)
from figfold.core.peer_reports import apply_peer_report, build_report
from figfold.core.plan import PlanHead, body_digest, encode_body, encode_head, next_head
from figfold.core.plan import make_plan as read_plan
from figfold.core.seats import SeatLeases, SeatOptions
from figfold.core.steering import LookupEntry, SteeringCache, choose_entries, choose_places
from figfold.core.weights import build_weights
from figfold.entry.clock import now_s
from figfold.entry.live_entry_cache import LiveEntryCache
from figfold.entry.peer_gossip import KNOWN_ENTRIES_LIMIT
from figfold.entry.router import Router
from figfold.wire.codec import decode, encode
from figfold.wire.messages import Report

ENTRY_COUNTS = (12, 24, 48, 96, 192, 480)
PLACE_COUNTS = (6, 28, 110)
SERVICE_COUNTS = (3, 12, 48, 96)
DIGEST_COUNTS = (0, 4, 12, 24, 48, 64)
BLOCK_COUNTS = (350_000, 700_000, 1_400_000)
BLOCK_PREFIX_SHIFT = 11
SETTINGS_BLOCK_COUNTS = (5_000, 10_000, 20_000)
LOOKED_UP = 50_000
KEYS = 10_000
SERVERS = 1_000
US_PER_S = 1_000_000
MS_PER_S = 1_000


def report_slopes():
    """Return cost and size of a peer report by known entries, digest items and services."""
    slopes = []
    now = now_s()
    build, merge, digests = [], [], []
    confirmation = make_confirmation(now)
    for entries in ENTRY_COUNTS:
        topology = make_topology(max(1, entries // 4))
        membership = make_membership(topology, entries, now)
        own = membership.own
        peer = make_report("peer-x", own.place, entries + 1)
        build.append((entries, cost_us(500, build_report, own, confirmation, now)))
        limit = KNOWN_ENTRIES_LIMIT
        digests.append((entries, cost_us(200, membership.known_entries, now, limit)))
        taken = (peer, make_known(4), membership, confirmation, now, now)
        merge.append((entries, cost_us(500, apply_peer_report, *taken)))
    slopes.append(Slope.from_points("report: build", "us", "known entries", build))
    slopes.append(
        Slope.from_points(
            f"report: digest of {KNOWN_ENTRIES_LIMIT} as the daemon makes it",
            "us",
            "known entries",
            digests,
        )
    )
    slopes.append(Slope.from_points("report: merge", "us", "known entries", merge))
    slopes += _codec_slopes("digest items", DIGEST_COUNTS, _report_with_digest)
    slopes += _codec_slopes("services", SERVICE_COUNTS, _report_with_services)
    sizes = [(n, len(encode(_report_with_digest(n)))) for n in ENTRY_COUNTS]
    slopes.append(Slope.from_points("report: all entries in digest", "bytes", "entries", sizes))
    return slopes


def _report_with_digest(items):
    return Report(make_report("r1-p1-e1", "r1-p1"), make_known(items))


def _report_with_services(services):
    return Report(make_report("r1-p1-e1", "r1-p1", services=services), make_known(4))


def _codec_slopes(variable, counts, make):
    sizes, encodes, decodes = [], [], []
    for count in counts:
        message = make(count)
        data = encode(message)
        sizes.append((count, len(data)))
        encodes.append((count, cost_us(300, encode, message)))
        decodes.append((count, cost_us(300, decode, data)))
    return [
        Slope.from_points("report: size", "bytes", variable, sizes),
        Slope.from_points("report: encode", "us", variable, encodes),
        Slope.from_points("report: decode", "us", variable, decodes),
    ]


def membership_slopes():
    """Return the cost of the regular membership queries by known entries."""
    points_by_name = {}
    for entries in ENTRY_COUNTS:
        topology = make_topology(max(1, entries // 4))
        now = now_s()
        membership = make_membership(topology, entries, now)
        # The worst case: the entries of this place are last.
        place = list(topology.place_by_name)[-1]
        instances = make_instances(topology, entries)
        call_by_name = {
            "membership: live entries": (membership.live_entries, now),
            "membership: is a place dead": (membership.place_is_dead, place, now),
            "membership: majority": (membership.has_majority_contact, now, 4.0),
            "membership: whom to contact": (membership.peers_to_contact, now),
            "membership: take the instance list": (membership.update_from_list, instances, now),
        }
        for name, call in call_by_name.items():
            points_by_name.setdefault(name, []).append((entries, cost_us(40, *call)))
        contacts = len(membership.peers_to_contact(now))
        points_by_name.setdefault("contacts a second", []).append((entries, contacts))
    return [
        Slope.from_points(name, "1/s" if "contacts" in name else "us", "entries", points)
        for name, points in points_by_name.items()
    ]


# Look-ups.


def look_up_slopes():
    """Return the cost of a look-up, and of its two steps, by places and by entries."""
    by_places, by_entries = [], []
    for places in PLACE_COUNTS:
        by_places.append((places, _choose_places_us(places)))
    for entries in ENTRY_COUNTS:
        by_entries.append((entries, _choose_entries_us(entries)))
    slopes = [
        Slope.from_points("look-up: choose_places", "us", "places", by_places),
        Slope.from_points("look-up: choose_entries", "us", "entries, 110 places", by_entries),
    ]
    for places in PLACE_COUNTS:
        points = [(entries, _look_up_us(places, entries)) for entries in (12, 48, 96, 480)]
        slopes.append(
            Slope.from_points(f"look-up: Router.look_up, {places} places", "us", "entries", points)
        )
    return slopes


def _callers():
    number = 0
    while True:
        number += 1
        yield f"c{number}"


def _choose_places_us(places):
    topology = make_topology(places)
    steering, plan, callers = SteeringCache.from_topology(topology), make_plan(topology), _callers()
    return cost_us(300, lambda: choose_places(steering, plan, "service0", next(callers), "r1", 0.0))


def _choose_entries_us(entries):
    topology = make_topology(110)
    views = [
        LookupEntry(name, place, "10.0.0.1:80")
        for name, place in entry_names(topology, entries).items()
    ]
    place_by_name, callers = topology.place_by_name, _callers()
    places = tuple(place_by_name)
    return cost_us(
        100,
        lambda: choose_entries(
            views, "service0", next(callers), places, place_by_name=place_by_name
        ),
    )


def _look_up_us(places, entries):
    topology = make_topology(places)
    router = make_router(topology, entries)
    callers = _callers()
    return cost_us(200, lambda: router.look_up("service0", next(callers), "r1").unwrap())


def make_router(topology, entries):
    """Return the router of an entry that has just received the reports of all others."""
    now = now_s()
    membership = make_membership(topology, entries, now + MS_PER_S)
    plan = make_plan(topology)
    settings = SimpleNamespace(
        topology=topology,
        lookup=SimpleNamespace(ttl_ms=5000),
        plan=SimpleNamespace(confirm_ttl_s=4.0, unconfirmed_reads="refuse"),
    )
    plans = SimpleNamespace(plan=plan, version=1, confirmation=make_confirmation(now + MS_PER_S))
    return Router(
        own=membership.own,
        settings=settings,
        steering=SteeringCache.from_topology(topology),
        blocks=None,
        plans=plans,
        membership=membership,
        live=LiveEntryCache(membership),
        spillover_selector=None,
        dispatcher=None,
        bookings=None,
        forwarder=None,
        metrics=None,
    )


# Plan.


def plan_slopes():
    """Return size and cost of a plan, and cost of its weights, by services."""
    slopes = []
    for places in (28, 110):
        sizes, reads, weights = [], [], []
        for services in (3, 6, 12, 24):
            topology = make_topology(places, services)
            body = encode_body(make_rows(topology), make_demand(topology))
            head = PlanHead(1, body_digest(body), "bench", 0.0)
            plan = read_plan(head, body).unwrap()
            sizes.append((services, len(body)))
            reads.append((services, cost_us(3, read_plan, head, body) / MS_PER_S))
            build = cost_us(5, build_weights, plan, topology, "service0", frozenset())
            weights.append((services, services * build / MS_PER_S))
        where = f"{places} places"
        slopes.append(Slope.from_points(f"plan: size, {where}", "bytes", "services", sizes))
        slopes.append(
            Slope.from_points(f"plan: check and decode, {where}", "ms", "services", reads)
        )
        slopes.append(
            Slope.from_points(f"plan: weights of all services, {where}", "ms", "services", weights)
        )
    slopes.append(_head_slope())
    return slopes


def _head_slope():
    head, points = None, []
    for version in range(1, 61):
        head = next_head(head, "ab" * 32, "operator", 1_800_000_000.0 + version)
        if version in (1, 11, 26, 51, 60):
            points.append((len(head.history), len(encode_head(head))))
    return Slope.from_points("plan: head row", "bytes", "earlier plans in it", points)


# Seats.


def seat_slopes():
    """Return the cost of one idle step of the seat book by seats of the place."""
    points = []
    for count in (2, 5, 17):
        book = SeatLeases.from_config("e0", "p1", "10.0.0.1:1", 1, SeatOptions(count=count), 5.0)
        names = [f"e{n}" for n in range(count)]
        now = now_s()
        for part in book.parts:
            book.record_read(part, "", None, 0.0, now)

        def step(book=book, names=names, now=now):
            book.set_place_entries(names)
            book.due_actions(now)
            for _ in range(SERVICES):
                book.permits(24, {f"s{n}": 3 for n in range(SERVERS_PER_PLACE)}, 5.0, now)

        points.append((count, cost_us(200, step)))
    return [Slope.from_points("seats: one step, 3 services", "us", "seats of the place", points)]


def decision_slopes():
    """Return every slope of this module."""
    slopes = report_slopes()
    slopes += membership_slopes()
    slopes += look_up_slopes()
    slopes += plan_slopes()
    slopes += seat_slopes()
    return slopes
