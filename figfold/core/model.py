"""Typed data that every part of the product shares: topology, instances, plans and loads."""

from enum import Enum

from attrs import Factory, field, frozen

from figfold.core.blocks import BlockMap

# Shares are kept in hundredths of a percent, so that sums are exact.
FULL_SHARE = 10_000


class State(Enum):
    """State of an instance on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(Enum):
    """What an instance on the platform's list runs."""

    ENTRY = "entry"
    SERVER = "server"


# Topology, as the settings give it.


@frozen
class Place:
    """A data centre and the region that it lies in."""

    name: str
    region: str


@frozen
class Service:
    """A kind of traffic.

    Attributes
    ----------
    endpoints_by_place : dict[str, int]
        Number of backend servers at each place.
    slots, connections : int
        Requests in progress and open connections that one backend server bears.
    idempotent_methods : frozenset[str]
        HTTP methods that may be retried and hedged; all others are bookings.
    deadline_s : float
        The longest that a request may take, in seconds.
    body_limit_bytes : int
        The largest request body accepted.
    """

    name: str
    endpoints_by_place: dict[str, int] = Factory(dict)
    slots: int = 3
    connections: int = 360
    idempotent_methods: frozenset[str] = frozenset({"GET", "HEAD"})
    deadline_s: float = 5.0
    body_limit_bytes: int = 1 << 20

    def is_idempotent(self, method):
        """Return whether a request with this method may run more than once."""
        return method.upper() in self.idempotent_methods


@frozen
class Region:
    """A region and its part of the demand in percent."""

    name: str
    demand_percent: float


@frozen
class Topology:
    """All regions, places and services of a deployment, each by name, in settings order.

    Attributes
    ----------
    blocks : BlockMap
        The regions of callers' addresses.
    """

    region_by_name: dict[str, Region]
    place_by_name: dict[str, Place]
    service_by_name: dict[str, Service]
    blocks: BlockMap = field(factory=BlockMap.empty, eq=False)

    def places_in(self, region):
        """Return the names of the region's places, in settings order."""
        return [place.name for place in self.place_by_name.values() if place.region == region]


# Instances, as the platform lists them.


@frozen
class Instance:
    """An instance on the platform's list; addresses are ``host:port`` strings."""

    name: str
    role: Role
    place: str
    state: State = State.LIVE
    service: str = ""
    address: str = ""
    peer_address: str = ""
    admin_address: str = ""


# Plans.


@frozen
class PlanRow:
    """What one place carries of one service.

    Attributes
    ----------
    share : int
        Part of the service's traffic in hundredths of a percent.
    cap : int
        The most requests in progress at the place.
    emptying : bool
        Whether the place takes no new work of the service.
    empty_from, empty_until : float or None
        Bounds of the emptying as Unix time in seconds; None leaves that side open.
    """

    service: str
    place: str
    share: int
    cap: int
    emptying: bool = False
    empty_from: float | None = None
    empty_until: float | None = None

    def is_emptying(self, now_s):
        """Return whether the place is being emptied of this service at Unix time ``now_s``."""
        if not self.emptying:
            return False
        started = self.empty_from is None or now_s >= self.empty_from
        ended = self.empty_until is not None and now_s >= self.empty_until
        return started and not ended


@frozen
class Plan:
    """An accepted steering plan.

    Attributes
    ----------
    version : int
        Position in the order of accepted plans, from 1.
    digest : str
        SHA-256 of the plan's stored body, in hexadecimal.
    row_by_key : dict[tuple[str, str], PlanRow]
        Rows by service and place.
    demand_by_region : dict[str, float]
        Expected part of the callers in each region, in percent.
    """

    version: int
    digest: str
    row_by_key: dict[tuple[str, str], PlanRow]
    demand_by_region: dict[str, float]
    operator: str = ""
    accepted_at: float = 0.0

    def cap(self, service, place):
        """Return the cap of a service at a place, zero where the plan names none."""
        row = self.row_by_key.get((service, place))
        return row.cap if row else 0


# What entries tell each other.


@frozen
class ServiceLoad:
    """Load of one service at one entry, in requests."""

    service: str
    in_progress: int
    queued: int
    room: int


@frozen
class QuarantinedRequest:
    """A request fingerprint that no entry may dispatch for ``expires_in_s`` more seconds."""

    fingerprint: str
    expires_in_s: float


@frozen
class ReportedCrash:
    """A request that was on board when a backend server may have crashed, as peers tell it.

    Attributes
    ----------
    fingerprint, server : str
        What was on board where.
    age_s : float
        Seconds since the crash.
    confirmed : bool
        Whether other connections of the server failed at the same time.
    fresh : bool
        Whether the connection was new; a server may close an idle one without a crash.
    doublings : int
        How often the pause before the next trial doubles if the request ran as a trial, else 0.
    """

    fingerprint: str
    server: str
    age_s: float
    confirmed: bool
    fresh: bool
    doublings: int = 0


@frozen
class EntryReport:
    """What an entry says of itself in each peer exchange.

    Attributes
    ----------
    incarnation : int
        Start time of the process in milliseconds; a later process has a higher one.
    plan_version : int
        Version of the plan in force at the sender, zero for none.
    store_age_s : float
        Seconds since the store last confirmed that no later plan exists.
    leaving_servers : tuple[str, ...]
        Backend servers that the sender has seen leaving.
    """

    name: str
    place: str
    incarnation: int
    address: str
    peer_address: str
    admin_address: str
    leaving: bool
    plan_version: int
    plan_digest: str
    store_age_s: float
    loads: tuple[ServiceLoad, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()
    leaving_servers: tuple[str, ...] = ()
    strikes: tuple[ReportedCrash, ...] = ()
