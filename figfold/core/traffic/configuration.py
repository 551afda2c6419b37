"""Routes, services and limits of one version of the operator's configuration."""

from enum import Enum

from attrs import Factory, field, frozen


class Repeat(Enum):
    """What a request of a route may do more than once."""

    SAFE = "safe"  # It may run any number of times.
    AT_MOST_ONCE = "at-most-once"  # It may run at one backend server, once.


@frozen
class ServiceWeight:
    """A service and its share of a route's requests, relative to the other weights."""

    service: str
    weight: float


@frozen
class Route:
    """Requests of a host under a path prefix, and what may be done with them.

    Attributes
    ----------
    services : tuple[ServiceWeight, ...]
        Where the requests go, at least one.
    is_bulk : bool
        Whether its answers are large, so that the bytes on a link count.
    timeout_s : float
        Longest time that a caller is kept waiting.
    target_latency_s : float
        Time within which an answer is worth most.
    priority : int
        Rank, 0 the highest.
    max_attempts : int
        The most backend servers that one request may reach.
    is_sticky : bool
        Whether a server is faster at an object that it has handled lately.
    home_regions : frozenset[str]
        The only regions in which the requests may run; empty for all.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    services: tuple[ServiceWeight, ...]
    is_bulk: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    is_sticky: bool = True
    home_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self):
        """Whether a request may be sent again after it may have run."""
        return self.repeat is Repeat.SAFE


@frozen
class ServiceRules:
    """What the backend servers of a service ask of their callers.

    Attributes
    ----------
    connection_limit : int
        Open connections that one server accepts, from all entries together.
    cold_requests_per_s : float
        Requests per second that a cold server bears, from all entries together.
    """

    name: str
    connection_limit: int = 0
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 1.0


@frozen
class CallerLimits:
    """What a caller may send, and for how long its connection may be idle."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def _index_routes(route_by_name):
    """Return each host's routes, the longest prefix first."""
    routes_by_host = {}
    for route in route_by_name.values():
        routes_by_host.setdefault(route.host, []).append(route)
    for routes in routes_by_host.values():
        routes.sort(key=lambda route: -len(route.prefix))
    return routes_by_host


@frozen
class Configuration:
    """One version of the configuration; a later version has a higher number."""

    version: int
    route_by_name: dict[str, Route]
    service_by_name: dict[str, ServiceRules]
    limits: CallerLimits = Factory(CallerLimits)
    _routes_by_host: dict = field(
        init=False,
        eq=False,
        repr=False,
        default=Factory(lambda self: _index_routes(self.route_by_name), takes_self=True),
    )

    def match(self, host, path):
        """Return the host's route with the longest prefix of the path, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
