"""Compares a configuration with itself, with the servers' regions, and with the one in force."""

from enum import Enum

from attrs import fields, frozen

from figfold.core.codes import Code, Failure
from figfold.core.organisations.organisation import common_homes

NOTHING = "-"
LIMITS = "limits"
KEY_DIGESTS = "key_digests"


@frozen
class Difference:
    """What differs between a configuration and the one in force, as text.

    Attributes
    ----------
    part : str
        Such as ``route read``.
    field : str
        Name of the differing field; empty if the whole part is new or gone.
    before, after : str
    """

    part: str
    field: str
    before: str
    after: str


def find_contradictions(configuration, regions_by_service=None):
    """Return a failure for each part without effect, or that contradicts another one.

    Parameters
    ----------
    configuration : Configuration
    regions_by_service : dict[str, frozenset[str]] or None
        The regions that have servers of a service; None if they are not known.
    """
    failures = _find_unmatched_routes(configuration)
    for route in configuration.route_by_name.values():
        failures += _find_route_faults(route, configuration.service_by_name)
    for organisation in configuration.organisation_by_name.values():
        if organisation.burst > 0.0 and organisation.rate_per_s <= 0.0:
            failures.append(
                _contradiction(
                    f"organisation {organisation.name}",
                    f"a burst of {organisation.burst:g} without a rate has no effect",
                    "set a rate, or no burst",
                )
            )
    failures += _find_excluding_homes(configuration)
    if regions_by_service is not None:
        failures += _find_homes_without_servers(configuration, regions_by_service)
    return failures


def find_differences(in_force, configuration):
    """Return the `Difference` of each field, except for the version."""
    differences = []
    for kind, name in (
        ("service", "service_by_name"),
        ("route", "route_by_name"),
        ("organisation", "organisation_by_name"),
    ):
        before, after = getattr(in_force, name), getattr(configuration, name)
        for one in (*before, *(new for new in after if new not in before)):
            differences += _compare_parts(f"{kind} {one}", before.get(one), after.get(one))
    differences += _compare_parts(LIMITS, in_force.limits, configuration.limits)
    if in_force.has_organisations != configuration.has_organisations:
        needs = [
            "needed" if one.has_organisations else "not needed" for one in (in_force, configuration)
        ]
        differences.append(Difference("API keys", "", *needs))
    return differences


def find_version_fault(in_force, configuration, differences):
    """Return a failure if entries would not put the configuration in force, else None."""
    if configuration.version > in_force.version or not differences:
        return None
    return _contradiction(
        "version",
        f"version {configuration.version} is not above version {in_force.version} in force, so that"
        " its changes would have no effect",
        "set a higher version",
    )


# Routes.


def _find_unmatched_routes(configuration):
    failures, first_by_rule = [], {}
    for route in configuration.route_by_name.values():
        part = f"route {route.name}"
        first = first_by_rule.setdefault((route.host, route.prefix), route.name)
        if first != route.name:
            message = f"it never matches: route {first} has the same host and prefix"
            failures.append(_contradiction(part, message, "remove one of them"))
        if not route.prefix.startswith("/"):
            message = f"it never matches: prefix {route.prefix[:60]!r} does not begin with /"
            failures.append(_contradiction(part, message, "begin the prefix with /"))
        if "?" in route.prefix:
            message = f"it never matches: prefix {route.prefix[:60]!r} has a query"
            failures.append(_contradiction(part, message, "leave out the query"))
        if ":" in route.host:
            message = f"it never matches: host {route.host[:60]!r} has a port"
            failures.append(_contradiction(part, message, "leave out the port"))
    return failures


def _find_route_faults(route, service_by_name):
    part, failures = f"route {route.name}", []
    for one in route.services:
        if one.service not in service_by_name:
            message = f"service {one.service[:60]!r} does not exist"
            failures.append(_contradiction(part, message, "add the service, or name another one"))
    if not any(one.weight > 0.0 for one in route.services):
        failures.append(_contradiction(part, "all weights are 0", "set a weight above 0"))
    if route.timeout_s <= 0.0:
        message, remedy = "the time limit of 0 s leaves no time for an answer", "set a time limit"
        failures.append(_contradiction(part, message, remedy))
    elif route.target_latency_s > route.timeout_s:
        message = (
            f"the target latency of {route.target_latency_s:g} s is above the time limit of "
            f"{route.timeout_s:g} s"
        )
        failures.append(_contradiction(part, message, "lower the target latency"))
    return failures


# Homes.


def _find_excluding_homes(configuration):
    return [
        _contradiction(
            f"organisation {organisation.name}",
            f"its homes ({_as_text(organisation.home_regions)}) and those of route {route.name} "
            f"({_as_text(route.home_regions)}) have no region in common",
            "change one of them",
        )
        for organisation in configuration.organisation_by_name.values()
        for route in configuration.route_by_name.values()
        if common_homes(route.home_regions, organisation.home_regions) is None
    ]


def _find_homes_without_servers(configuration, regions_by_service):
    failures = []
    with_servers = frozenset().union(*regions_by_service.values())
    routes = configuration.route_by_name.values()
    organisations = configuration.organisation_by_name.values()
    for part, homes in (
        *((f"route {one.name}", one.home_regions) for one in routes),
        *((f"organisation {one.name}", one.home_regions) for one in organisations),
    ):
        for region in sorted(homes - with_servers):
            message = f"home region {region[:60]!r} has no servers"
            failures.append(_contradiction(part, message, "check the name of the region"))
    for route in routes:
        for one in route.services:
            if one.weight <= 0.0 or one.service not in configuration.service_by_name:
                continue
            regions = regions_by_service.get(one.service, frozenset())
            failures += _find_unserved_homes(route, one.service, regions, organisations)
    return failures


def _find_unserved_homes(route, service, regions, organisations):
    """Return the failures for a service that has servers in some regions only."""
    remedy = "add servers, or change the homes"
    if route.home_regions and not route.home_regions & regions:
        message = f"service {service} has no servers in its homes"
        return [_contradiction(f"route {route.name}", message, remedy)]
    return [
        _contradiction(
            f"organisation {one.name}",
            f"service {service} of route {route.name} has no servers in its homes",
            remedy,
        )
        for one in organisations
        if one.home_regions
        and (homes := common_homes(route.home_regions, one.home_regions))
        and not homes & regions
    ]


# Differences.


def _compare_parts(part, before, after):
    if before is None or after is None:
        states = ["absent" if one is None else "present" for one in (before, after)]
        return [Difference(part, "", *states)]
    return [
        _compare_fields(part, one.name, getattr(before, one.name), getattr(after, one.name))
        for one in fields(type(before))
        if one.name != "name" and getattr(before, one.name) != getattr(after, one.name)
    ]


def _compare_fields(part, field, before, after):
    if field == KEY_DIGESTS:
        # Neither a key nor its digest may be shown.
        changes = f"{len(after)} ({len(after - before)} new, {len(before - after)} withdrawn)"
        return Difference(part, "API keys", str(len(before)), changes)
    return Difference(part, field, _as_text(before), _as_text(after))


def _as_text(value):
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or NOTHING
    if isinstance(value, tuple):
        return ", ".join(f"{one.service} {one.weight:g}" for one in value)
    if isinstance(value, float):
        return f"{value:g}"
    return NOTHING if value is None else str(value)


def _contradiction(part, message, remedy):
    return Failure(Code.CONFIGURATION_CONTRADICTS, message, remedy, field=part)
