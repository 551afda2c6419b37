"""Data types that all packages share: topology, instances, plans and reports of entries."""

from enum import Enum

from attrs import Factory, field, frozen

from figfold.core.blocks import BlockMap
from figfold.core.regions.measurement import DemandStatement

# Shares are integers in hundredths of a percent, so that sums are exact.
FULL_SHARE = 10_000


class State(Enum):
    """State of an instance on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(Enum):
    """Role of an instance on the platform's list."""

    ENTRY = "entry"
    SERVER = "server"


# Topology, from the settings.


@frozen
class Place:
    """A data centre and its region."""

    name: str
    region: str


@frozen
class Service:
    """A service of the backend servers, with its limits.

    Attributes
    ----------
    endpoints_by_place : dict[str, int]
        Number of backend servers at each place.
    slots, connections : int
        The most requests in progress and open connections at one backend server.
    idempotent_methods : frozenset[str]
        HTTP methods whose requests may be retried and hedged; all others are bookings.
    deadline_s : float
        The longest time that a request may take, in seconds.
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
    """A region and its percentage of the demand."""

    name: str
    demand_percent: float


@frozen
class Topology:
    """All regions, places and services of a deployment by name, in the order of the settings.

    Attributes
    ----------
    blocks : BlockMap
        The regions of callers by address block.
    """

    region_by_name: dict[str, Region]
    place_by_name: dict[str, Place]
    service_by_name: dict[str, Service]
    blocks: BlockMap = field(factory=BlockMap.empty, eq=False)

    def places_in(self, region):
        """Return the names of the region's places in the order of the settings."""
        return [place.name for place in self.place_by_name.values() if place.region == region]


# Instances on the platform's list.


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
    """The share and the cap of one service at one place.

    Attributes
    ----------
    share : int
        The place's share of the service's traffic in hundredths of a percent.
    cap : int
        The most requests in progress at the place.
    emptying : bool
        Whether the place takes no new work of the service, within the bounds below.
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
        Expected percentage of the callers in each region.
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


# Reports that entries send each other.


@frozen
class ServiceLoad:
    """Load of one service at one entry, in numbers of requests.

    Attributes
    ----------
    room : int
        Further requests that the entry could dispatch at once.
    demand : DemandStatement
        What the entry measures of the service, for the balance between regions.
    """

    service: str
    in_progress: int
    queued: int
    room: int
    demand: DemandStatement = DemandStatement()


@frozen
class QuarantinedRequest:
    """A request fingerprint that is quarantined for ``expires_in_s`` more seconds."""

    fingerprint: str
    expires_in_s: float


@frozen
class ReportedStrike:
    """A strike as a report carries it: a request was in progress when a server may have crashed.

    Attributes
    ----------
    fingerprint, server : str
        Fingerprint of the request, and name of the server.
    age_s : float
        Seconds since the crash.
    confirmed : bool
        Whether other connections of the server failed at the same time.
    fresh : bool
        Whether the connection was new; a server may close an idle one without a crash.
    doublings : int
        How often the pause before the next trial is doubled; zero if the request was no trial.
    """

    fingerprint: str
    server: str
    age_s: float
    confirmed: bool
    fresh: bool
    doublings: int = 0


@frozen
class EntryReport:
    """The state that an entry reports of itself to its peers.

    Attributes
    ----------
    incarnation : int
        Start time of the process in milliseconds; a later process has a higher one.
    plan_version : int
        Version of the plan in force at the sender, zero for none.
    store_age_s : float
        Seconds since the store last confirmed that no later plan exists.
    leaving_servers : tuple[str, ...]
        Backend servers that the sender itself has seen leaving.
    strikes : tuple[ReportedStrike, ...]
        The sender's strikes against request fingerprints, latest first.
    revision : int
        Number that the sender raises to refute that it is silent; zero if it states none.
    members_digest : int
        Digest of the entries that the sender takes for live; zero if it states none.
    settled_s : float
        Time since these have last changed.
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
    strikes: tuple[ReportedStrike, ...] = ()
    revision: int = 0
    members_digest: int = 0
    settled_s: float = 0.0
