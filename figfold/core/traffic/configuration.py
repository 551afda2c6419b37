"""Routes, services and limits of one version of the operator's configuration."""

from enum import Enum

from attrs import Factory, field, frozen

from figfold.core.organisations.organisation import index_by_key


class Repeatability(Enum):
    """Whether a request of a route may run more than once."""

    SAFE = "safe"  # Any number of times.
    AT_MOST_ONCE = "at-most-once"  # Once, at one backend server.


@frozen
class ServiceWeight:
    """A service and its share of a route's requests, relative to the other weights."""

    service: str
    weight: float


@frozen
class Route:
    """Rules for the requests to a host whose path starts with a prefix.

    Attributes
    ----------
    services : tuple[ServiceWeight, ...]
        Services that share the requests, at least one.
    is_bulk : bool
        Whether its answers are large, so that the choice of a server weighs transfer costs.
    timeout_s : float
        Longest time until a caller gets its final answer.
    target_latency_s : float
        Time within which an answer has its full value.
    priority : int
        Priority, 0 the highest.
    max_attempts : int
        Largest number of attempts that may reach a backend server, per request.
    is_sticky : bool
        Whether a server answers faster for an object that it has handled recently, so that
        requests for one object should go to the same servers.
    home_regions : frozenset[str]
        The only regions in which the requests may run; empty if all are allowed.
    allows_anonymous : bool
        Whether callers need no API key, where organisations are configured. A key that is sent is
        checked all the same.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    services: tuple[ServiceWeight, ...]
    is_bulk: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    is_sticky: bool = True
    home_regions: frozenset[str] = frozenset()
    allows_anonymous: bool = False

    @property
    def is_repeatable(self):
        """Whether a request may be sent again after it may have run."""
        return self.repeatability is Repeatability.SAFE


@frozen
class ServiceRules:
    """Limits that a service sets for the requests to each of its backend servers.

    Attributes
    ----------
    connection_limit : int
        Open connections that one server accepts from all entries together.
    cold_requests_per_s : float
        Requests per second that a server accepts from all entries together during a cold start.
    """

    name: str
    connection_limit: int = 0
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 1.0


@frozen
class CallerLimits:
    """Limits on the size of callers' requests and on the idle time of their connections."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class _HostRoutes:
    """Routes of a host by prefix, and the lengths of the prefixes, the longest first."""

    route_by_prefix: dict[str, Route] = Factory(dict)
    lengths: list[int] = Factory(list)


def _index_routes(route_by_name):
    """Return the `_HostRoutes` by host."""
    routes_by_host = {}
    for route in route_by_name.values():
        routes = routes_by_host.setdefault(route.host, _HostRoutes())
        routes.route_by_prefix.setdefault(route.prefix, route)
    for routes in routes_by_host.values():
        routes.lengths.extend(sorted({len(one) for one in routes.route_by_prefix}, reverse=True))
    return routes_by_host


@frozen
class Configuration:
    """One version of the configuration; a later version has a higher number.

    Attributes
    ----------
    has_organisations : bool
        Whether callers need an API key, except on routes that allow anonymous ones.
    failures : tuple[Failure, ...]
        One for each organisation, or key, that was left out because it is invalid.
    """

    version: int
    route_by_name: dict[str, Route]
    service_by_name: dict[str, ServiceRules]
    limits: CallerLimits = Factory(CallerLimits)
    organisation_by_name: dict = Factory(dict)
    has_organisations: bool = False
    failures: tuple = ()
    _organisation_by_key: dict = field(
        init=False,
        eq=False,
        repr=False,
        default=Factory(
            lambda self: index_by_key(self.organisation_by_name.values()), takes_self=True
        ),
    )
    _routes_by_host: dict = field(
        init=False,
        eq=False,
        repr=False,
        default=Factory(lambda self: _index_routes(self.route_by_name), takes_self=True),
    )

    def organisation_of(self, digest):
        """Return the organisation that holds the API key of a digest, or None."""
        return self._organisation_by_key.get(digest)

    @property
    def has_anonymous_routes(self):
        """Whether some route allows callers without an API key."""
        return any(route.allows_anonymous for route in self.route_by_name.values())

    def match(self, host, path):
        """Return the host's route with the longest prefix that matches the path, or None."""
        routes = self._routes_by_host.get(host)
        if routes is None:
            return None
        for length in routes.lengths:
            route = routes.route_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
