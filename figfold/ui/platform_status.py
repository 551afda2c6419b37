"""Implements the commands on the platform's store and on what entries have read from it."""

import re
from collections import Counter

import urllib3
from attrs import frozen

from figfold.config.gateway_settings import load_gateway_settings
from figfold.core.codes import Code, Failure
from figfold.core.traffic.configuration import Configuration
from figfold.entry.answer_connection import make_pool_manager
from figfold.platform.rows import ENTRY_TABLE, OPERATOR_TABLE, SERVER_TABLE, RowStore
from figfold.platform.tables import read_entry_rows, read_operator_rows, read_server_rows
from figfold.ui.output import Report, UserError, format_table, unwrap

SERVER_COLUMNS = ("service", "place", "ready", "cold", "leaving", "evacuated")
ENTRY_COLUMNS = ("entry", "place", "configuration", "servers age", "in progress")
METRICS_TIMEOUT_S = 1.0
METRICS_LIMIT_BYTES = 4 << 20
METRIC_LINE = re.compile(r"^figfold_(\w+) (\S+)$", re.MULTILINE)
UNKNOWN = "?"


@frozen
class StoreView:
    """Decoded content of the store.

    Attributes
    ----------
    evacuated : frozenset[str]
        Data centres that are evacuated, whose servers must get no requests.
    failures : tuple[Failure, ...]
        One for each row that is invalid.
    """

    configuration: Configuration | None
    evacuated: frozenset
    servers: tuple
    entries: tuple
    failures: tuple


def read_store(store):
    """Return the `StoreView` of a store, without changing it.

    Raises
    ------
    UserError
        If a table cannot be read.
    """
    operator = read_operator_rows(unwrap(store.read_table(OPERATOR_TABLE)).rows)
    servers = read_server_rows(unwrap(store.read_table(SERVER_TABLE)).rows)
    entries = read_entry_rows(unwrap(store.read_table(ENTRY_TABLE)).rows)
    evacuated = frozenset(
        place for place, is_evacuated in operator.evacuation_by_place.items() if is_evacuated
    )
    failures = operator.failures + servers.failures
    return StoreView(operator.configuration, evacuated, servers.records, entries, failures)


def show_platform(settings):
    """Return the report on the store and on how current each entry's view of it is."""
    view = read_store(open_store(settings))
    metrics_by_entry = {entry.name: fetch_metrics(entry.metrics_address) for entry in view.entries}
    return report_platform(view, metrics_by_entry)


def report_platform(view, metrics_by_entry):
    """Return the report on a `StoreView` and on the metrics of the entries.

    Parameters
    ----------
    view : StoreView
    metrics_by_entry : dict[str, dict[str, str]]
        Values of metrics by name, for each entry that answered.
    """
    version = view.configuration.version if view.configuration else None
    head = f"configuration {version}, evacuated: {', '.join(sorted(view.evacuated)) or 'none'}"
    servers = _server_rows(view)
    entries = [_entry_row(entry, metrics_by_entry.get(entry.name, {})) for entry in view.entries]
    text = "\n\n".join(
        (head, format_table(SERVER_COLUMNS, servers), format_table(ENTRY_COLUMNS, entries))
    )
    value = {
        "configuration": version,
        "evacuated": sorted(view.evacuated),
        "servers": [dict(zip(SERVER_COLUMNS, row, strict=True)) for row in servers],
        "entries": [dict(zip(ENTRY_COLUMNS, row, strict=True)) for row in entries],
    }
    return Report(text, value, view.failures)


def explain_route(settings, host, path):
    """Return the report on the route that matches a request and on its servers."""
    return report_route(read_store(open_store(settings)), host, path)


def report_route(view, host, path):
    """Return the report on the route that matches a request and on its servers.

    Raises
    ------
    UserError
        If there is no configuration, or none of its routes matches the request.
    """
    route = view.configuration.match(host, path) if view.configuration else None
    if route is None:
        message = f"no route of host {host!r} matches the path {path!r}"
        raise UserError.from_failure(
            Failure(Code.NO_ROUTE, message, "check the routes of the configuration")
        )
    weights = ", ".join(f"{one.service} {one.weight:g}" for one in route.services)
    lines = [
        f"route {route.name} of configuration {view.configuration.version}",
        f"services by weight: {weights}; {route.repeatability.value}, sticky: {route.is_sticky}",
        f"at most {route.max_attempts} servers and {route.timeout_s:g} s; target latency "
        f"{route.target_latency_s:g} s; homes: {', '.join(sorted(route.home_regions)) or 'all'}",
    ]
    named = {one.service for one in route.services}
    chosen = [server for server in view.servers if server.service in named]
    rows = [
        (server.id, server.service, server.place, _server_state(server, view)) for server in chosen
    ]
    columns = ("server", "service", "place", "state")
    text = "\n".join((*lines, "", format_table(columns, sorted(rows))))
    value = {
        "route": route.name,
        "configuration": view.configuration.version,
        "servers": [dict(zip(columns, row, strict=True)) for row in sorted(rows)],
    }
    return Report(text, value)


def fetch_metrics(address):
    """Return the metrics without labels of an entry by name; empty if it does not answer."""
    if not address:
        return {}
    try:
        with make_pool_manager(
            METRICS_LIMIT_BYTES, retries=False, timeout=METRICS_TIMEOUT_S
        ) as pools:
            answer = pools.request("GET", f"http://{address}/metrics")
    except (urllib3.exceptions.HTTPError, ValueError):
        # The report shows the entry with unknown values.
        return {}
    return dict(METRIC_LINE.findall(answer.data.decode("utf-8", "replace")))


def open_store(settings):
    """Return the `RowStore` that a settings file of an entry names."""
    loaded = unwrap(load_gateway_settings(settings))
    return RowStore.from_config(loaded.store_address, loaded.store_timeout_s)


def _server_rows(view):
    counts = Counter()
    for server in view.servers:
        counts[server.service, server.place, _server_state(server, view)] += 1
    groups = sorted({(service, place) for service, place, _ in counts})
    return [
        (service, place, *(counts[service, place, state] for state in SERVER_COLUMNS[2:]))
        for service, place in groups
    ]


def _server_state(server, view):
    if server.is_leaving:
        return "leaving"
    if server.place in view.evacuated:
        return "evacuated"
    return "cold" if server.cold_remaining_s > 0.0 else "ready"


def _entry_row(entry, metrics):
    return (
        entry.name,
        entry.place,
        metrics.get("configuration_version", UNKNOWN),
        metrics.get("servers_age_seconds", UNKNOWN),
        metrics.get("requests_in_progress", UNKNOWN),
    )
