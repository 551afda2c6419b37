"""Sample topologies, plans, reports and instance lists of any size for the capacity slopes."""

from figfold.core.confirmation import ConfirmationTracker
from figfold.core.entries import KnownEntry, MembershipSettings
from figfold.core.membership import Membership
from figfold.core.model import (
    FULL_SHARE,
    EntryReport,
    Instance,
    Place,
    Plan,
    PlanRow,
    Region,
    Role,
    Service,
    ServiceLoad,
    State,
    Topology,
)

REGIONS = 7
SERVICES = 3
ENTRIES_PER_PLACE = 4
# Backend servers of all services at each place; the largest places today have eight.
SERVERS_PER_PLACE = 8
SERVERS_BY_SERVICE = (4, 2, 2)
SLOTS = 3
FANOUT = 3


def place_names(count):
    """Return ``count`` names of places with their regions, spread evenly over the regions."""
    regions = min(count, REGIONS)
    return {f"r{n % regions + 1}-p{n // regions + 1}": f"r{n % regions + 1}" for n in range(count)}


def make_topology(places, services=SERVICES):
    """Return a topology with the given numbers of places and services."""
    region_by_place = place_names(places)
    regions = sorted(set(region_by_place.values()))
    counts = [SERVERS_BY_SERVICE[n % len(SERVERS_BY_SERVICE)] for n in range(services)]
    return Topology(
        {name: Region(name, 100 / len(regions)) for name in regions},
        {name: Place(name, region) for name, region in region_by_place.items()},
        {
            f"service{n}": Service(f"service{n}", dict.fromkeys(region_by_place, count), SLOTS)
            for n, count in enumerate(counts)
        },
    )


def even_shares(count):
    """Return ``count`` nearly equal shares that sum to `FULL_SHARE`."""
    base, extra = divmod(FULL_SHARE, count)
    return [base + (position < extra) for position in range(count)]


def make_rows(topology):
    """Return the rows of a plan that splits every service evenly among all places."""
    shares = even_shares(len(topology.place_by_name))
    return [
        PlanRow(service.name, place, share, service.endpoints_by_place[place] * SLOTS)
        for service in topology.service_by_name.values()
        for place, share in zip(topology.place_by_name, shares, strict=True)
    ]


def make_demand(topology):
    """Return the demand of each region in percent."""
    return {region.name: region.demand_percent for region in topology.region_by_name.values()}


def make_plan(topology, version=1):
    """Return a plan for the topology."""
    row_by_key = {(row.service, row.place): row for row in make_rows(topology)}
    return Plan(version, "ab" * 32, row_by_key, make_demand(topology))


def entry_names(topology, entries):
    """Return the names of entries with their places, spread evenly over the places."""
    places = list(topology.place_by_name)
    return {f"{places[n % len(places)]}-e{n}": places[n % len(places)] for n in range(entries)}


def make_report(name, place, number=1, services=SERVICES):
    """Return the report of an entry."""
    loads = tuple(ServiceLoad(f"service{n}", 3, 1, 5) for n in range(services))
    host = f"10.{number >> 8 & 255}.{number & 255}.1"
    return EntryReport(
        name=name,
        place=place,
        incarnation=1_800_000_000_000 + number,
        address=f"{host}:8001",
        peer_address=f"{host}:8002",
        admin_address=f"{host}:8003",
        leaving=False,
        plan_version=1,
        plan_digest="ab" * 32,
        store_age_s=0.5,
        loads=loads,
    )


def make_known(count):
    """Return ``count`` items of a digest."""
    return tuple(
        KnownEntry(f"r1-p{n}-e{n}", f"r1-p{n}", 1_800_000_000_000, 400, "10.1.2.3:8002")
        for n in range(count)
    )


def make_reports(topology, entries, services=SERVICES):
    """Return a report of each entry."""
    return [
        make_report(name, place, number, services)
        for number, (name, place) in enumerate(entry_names(topology, entries).items())
    ]


def make_membership(topology, entries, now_s, services=SERVICES):
    """Return the membership of an entry that has just received the reports of all others."""
    reports = make_reports(topology, entries, services)
    membership = Membership.from_config(MembershipSettings(fanout=FANOUT), reports[0])
    for report in reports[1:]:
        membership.record_report(report, now_s, now_s)
    membership.list_was_read = True
    return membership


def make_confirmation(now_s):
    """Return a confirmation state in which the store has just confirmed the sample plan."""
    confirmation = ConfirmationTracker.from_config(4.0)
    confirmation.set_version_in_force(1)
    confirmation.record_store_read(1, now_s)
    return confirmation


def make_instances(topology, entries):
    """Return the platform's list of the entries and of all backend servers."""
    listed = []
    for number, (name, place) in enumerate(entry_names(topology, entries).items()):
        one = make_report(name, place, number)
        addresses = (one.address, one.peer_address, one.admin_address)
        listed.append(Instance(name, Role.ENTRY, place, State.LIVE, "", *addresses))
    listed += [
        Instance(
            f"{service.name}-{place}-{n}",
            Role.SERVER,
            place,
            service=service.name,
            address=f"10.9.{n}.1:80",
        )
        for service in topology.service_by_name.values()
        for place, count in service.endpoints_by_place.items()
        for n in range(count)
    ]
    return listed
