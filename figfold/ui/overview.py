"""Implements the commands that query running entries: status and explain."""

from time import time

from attrs import asdict

from figfold.core.codes import Code, Failure
from figfold.core.model import Instance, Role, State
from figfold.core.steering import LookupEntry, SteeringCache, choose_entries, explain
from figfold.ui.admin_client import entries_of, request_all, request_entry
from figfold.ui.arguments import load_with_platform, read_address
from figfold.ui.output import Report, UserError, format_table, unwrap
from figfold.ui.plan_store import PlanStore
from figfold.ui.plans import ABSENT, format_share, require_head
from figfold.ui.status_summary import EMPTYING_COLUMNS, LOAD_COLUMNS, find_emptyings, sum_loads

ENTRY_COLUMNS = ("entry", "place", "state", "plan", "confirmed", "store")
EXPLAIN_COLUMNS = ("rank", "place", "region", "share", "part of region", "state")


def show_status(settings_path, platform_url, entry_address):
    """Return the report on every entry, and on the load of each place next to its caps."""
    if entry_address:
        entries = _entries_known_to(entry_address)
    elif settings_path:
        entries = _listed_entries(settings_path, platform_url)
    else:
        raise UserError.usage("--settings or --entry is required")
    status_by_name = request_all(entries, "GET", "/status")
    rows = [_entry_cells(entry, status_by_name[entry.name]) for entry in entries]
    loads = sum_loads(entries, status_by_name)
    emptyings = find_emptyings(status_by_name.values())
    tables = [format_table(ENTRY_COLUMNS, rows)]
    if emptyings:
        tables.append(format_table(EMPTYING_COLUMNS, [one.cells() for one in emptyings]))
    if loads:
        tables.append(format_table(LOAD_COLUMNS, [load.cells() for load in loads]))
    value = {
        "entries": [_entry_value(entry, status_by_name[entry.name]) for entry in entries],
        "emptyings": [asdict(one) for one in emptyings],
        "places": [asdict(load) for load in loads],
    }
    return Report("\n\n".join(tables), value, _status_failures(entries, status_by_name))


def _listed_entries(settings_path, platform_url):
    settings = load_with_platform(settings_path, platform_url)
    listed = PlanStore.from_config(settings.platform).list_instances()
    if listed.is_err():
        failure = listed.unwrap_err()
        remedy = "query any entry with --entry ADMIN_ADDRESS"
        raise UserError.from_failure(Failure(failure.code, failure.message, remedy))
    return entries_of(listed.unwrap())


def _entries_known_to(address):
    """Return an entry and those that it knows; tolerates statuses of other releases."""
    address = read_address("entry", address)
    status = unwrap(request_entry(address, "GET", "/status"))
    known = status.get("entries")
    items = [status | {"admin_address": address}, *(known if isinstance(known, list) else ())]
    instances = [_instance_from_item(item) for item in items if isinstance(item, dict)]
    instance_by_name = {one.name: one for one in reversed(instances) if one.name}
    return entries_of(instance_by_name.values())


def _instance_from_item(item):
    return Instance(
        name=str(item.get("name", "")),
        role=Role.ENTRY,
        place=str(item.get("place", "")),
        state=State.LEAVING if item.get("leaving") else State.LIVE,
        admin_address=str(item.get("admin_address", "")),
    )


def _entry_cells(entry, status):
    if status.is_err():
        state = f"{entry.state.value}, unreachable"
        return (entry.name, entry.place, state, ABSENT, ABSENT, ABSENT)
    answer = status.unwrap()
    state = State.LEAVING if answer.get("leaving") else entry.state
    return (
        entry.name,
        entry.place,
        state.value,
        answer.get("plan_version", ABSENT),
        "yes" if answer.get("plan_confirmed") else "no",
        _store_cell(answer.get("store")),
    )


def _store_cell(store):
    if not isinstance(store, dict) or store.get("reachable") is None:
        return "unknown"
    state = "reachable" if store["reachable"] else "unreachable"
    since_s = store.get("since_s")
    return f"{state} for {since_s:.0f} s" if isinstance(since_s, int | float) else state


def _entry_value(entry, status):
    value = {"name": entry.name, "place": entry.place, "listed_state": entry.state.value}
    if status.is_err():
        return value | {"status": None, "problem": status.unwrap_err().message}
    return value | {"status": status.unwrap(), "problem": ""}


def _status_failures(entries, status_by_name):
    failures = [
        status_by_name[entry.name].unwrap_err()
        for entry in entries
        if status_by_name[entry.name].is_err()
    ]
    versions = {
        str(status.unwrap().get("plan_version"))
        for status in status_by_name.values()
        if status.is_ok()
    }
    if len(versions) > 1:
        listed = ", ".join(sorted(versions))
        message, remedy = (
            f"entries have versions {listed}",
            "run the command again in a few seconds",
        )
        failures.append(Failure(Code.PLAN_NOT_EVERYWHERE, message, remedy))
    return tuple(failures)


def explain_choice(settings_path, platform_url, service, caller, region, now_s=None):
    """Return the report on the place and entries that a caller is sent to, and why."""
    settings = load_with_platform(settings_path, platform_url)
    topology = settings.topology
    _require_known("service", service, topology.service_by_name)
    if region:
        _require_known("region", region, topology.region_by_name)
    else:
        region = topology.blocks.find_region(caller)
    store = PlanStore.from_config(settings.platform)
    plan = unwrap(store.read_plan(require_head(store)))
    listed = store.list_instances()
    entries = entries_of(listed.unwrap()) if listed.is_ok() else []
    excluded = _places_without_entry(topology, entries) if listed.is_ok() else frozenset()
    steering = SteeringCache.from_topology(topology)
    at_s = time() if now_s is None else now_s
    explanation = explain(steering, plan, service, caller, region, at_s, excluded)
    views = [_entry_view(entry) for entry in entries]
    chosen = choose_entries(
        views, service, caller, explanation.chosen, place_by_name=topology.place_by_name
    )
    return _explain_report(explanation, chosen, listed)


def _require_known(flag, name, known):
    if name not in known:
        raise UserError.usage(f"--{flag} {name} is unknown", f"use one of {', '.join(known)}")


def _places_without_entry(topology, entries):
    served = {entry.place for entry in entries if entry.state is State.LIVE}
    return frozenset(place for place in topology.place_by_name if place not in served)


def _entry_view(entry):
    return LookupEntry(entry.name, entry.place, entry.address, entry.state is State.LEAVING)


def _explain_report(explanation, chosen, listed):
    places = sorted(
        explanation.place_by_name.values(),
        key=lambda place: (place.rank is None, place.rank or 0, place.place),
    )
    rows = [_explain_cells(place) for place in places]
    by_endpoints, by_shares, now = explanation.path or (ABSENT, ABSENT, ABSENT)
    lines = [
        f"{explanation.caller} of region {explanation.region or 'unknown'},"
        f" plan version {explanation.plan_version}",
        f"by endpoints alone: {by_endpoints}; by the plan's shares: {by_shares}; now: {now}",
        format_table(EXPLAIN_COLUMNS, rows),
        "entries: " + (", ".join(f"{e.name} ({e.place}, {e.address})" for e in chosen) or "none"),
    ]
    value = asdict(explanation) | {"entries": [asdict(entry) for entry in chosen]}
    failures = (_list_failure(listed),) if listed.is_err() else ()
    return Report("\n".join(lines), value, failures)


def _list_failure(listed):
    failure = listed.unwrap_err()
    message = f"the entries are unknown: {failure.message}"
    return Failure(failure.code, message, "run the command again once the platform can be reached")


def _explain_cells(place):
    states = ["emptying"] * place.emptying + ["no live entry"] * place.excluded
    return (
        ABSENT if place.rank is None else place.rank + 1,
        place.place,
        place.region,
        format_share(place.share),
        f"{place.weight:.1%}",
        ", ".join(states) or "serving",
    )
