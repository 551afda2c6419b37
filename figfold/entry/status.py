"""Health, status, metrics and explanations that an entry gives to operators."""

from urllib.parse import parse_qs

from attrs import asdict

from figfold.core.drain import unfinished_emptyings
from figfold.core.steering import explain
from figfold.entry.clock import now_s, wall_s


def read_health(node):
    """Return the entry's state, and whether look-ups may return it."""
    ready = node.plans.plan is not None and not node.leaving
    return {"state": "leaving" if node.leaving else "live", "ready": ready}


def refresh_plan(node):
    """Read the head row now, and return the resulting plan version."""
    reachable = node.plans.refresh()
    return {"plan_version": node.plans.version, "store_reachable": reachable}


def read_status(node):
    """Return the entry's state as operators read it."""
    now = now_s()
    return {
        "name": node.settings.entry.name,
        "place": node.settings.entry.place,
        "incarnation": node.dependencies.incarnation,
        "leaving": node.leaving,
        "plan_version": node.plans.version,
        "plan_digest": node.plans.digest,
        "plan_confirmed": node.router.is_confirmed(),
        "store": _store_status(node, now),
        "seats": [part.row for part in node.seats.book.usable_parts(0.0, now)],
        "entries": _entry_status(node, now),
        "services": {name: _service_status(node, name, now) for name in _pools(node)},
        "emptyings": _emptyings_status(node.plans.plan, wall_s()),
    }


def render_metrics(node, in_progress, counters_by_side):
    """Return all counters, gauges and histograms as text.

    Parameters
    ----------
    in_progress : int
        Requests of callers that are not answered completely.
    counters_by_side : dict[str, attrs class]
        Counters of the peer connections, by ``server`` and ``client``.
    """
    now = now_s()
    for name, pool in _pools(node).items():
        for reason, value in pool.counters.items():
            key = ("pool", (("reason", reason), ("service", name)))
            node.metrics.value_by_counter[key] = value
    for side, counters in counters_by_side.items():
        for event, value in asdict(counters).items():
            key = ("peers", (("event", event), ("side", side)))
            node.metrics.value_by_counter[key] = value
    gauges = [
        (f"service_{field}", {"service": name}, value)
        for name in _pools(node)
        for field, value in _service_status(node, name, now).items()
    ]
    gauges.append(("plan_version", {}, node.plans.version))
    gauges.append(("requests_in_progress", {}, in_progress))
    return node.metrics.render(gauges)


def explain_caller(node, query_string):
    """Return an explanation of the steering decision for a caller of a service."""
    query = parse_qs(query_string)
    service, caller, region = (query.get(n, [""])[0] for n in ("service", "caller", "region"))
    if node.plans.plan is None or service not in _pools(node):
        return {"error": "no plan or no such service"}
    explanation = explain(node.router.steering, node.plans.plan, service, caller, region, wall_s())
    return asdict(explanation)


def _pools(node):
    return node.dispatcher.pool_by_service


def _store_status(node, now):
    health = node.plans.health
    return {"reachable": bool(health.reachable), "since_s": round(now - health.since_s, 1)}


def _entry_status(node, now):
    membership = node.peers.membership
    live = membership.live_entries(now)
    return [
        {
            "name": entry.name,
            "place": entry.place,
            "admin_address": entry.admin_address,
            "live": entry.name in live,
            "leaving": entry.leaving,
            "plan_version": entry.plan_version,
        }
        for entry in membership.entry_by_name.values()
    ]


def _emptyings_status(plan, unix_s):
    return [
        {
            "service": row.service,
            "place": row.place,
            "empty_from": row.empty_from,
            "empty_until": row.empty_until,
            "is_emptying": row.is_emptying(unix_s),
        }
        for row in (unfinished_emptyings(plan, unix_s) if plan else ())
    ]


def _service_status(node, name, now):
    load = _pools(node)[name].load(now)
    plan = node.plans.plan
    return {
        "in_progress": load.in_progress,
        "queued": load.queued,
        "quota": node.dispatcher.quota(name),
        "cap": plan.cap(name, node.settings.entry.place) if plan else 0,
    }
