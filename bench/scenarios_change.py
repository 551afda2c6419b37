"""Measurements of changes: drains, new configurations and the loss of a region."""

import time

import eventlet

from bench.deployment import EXAMPLES
from bench.diagnosis import format_requests
from bench.figures import Figure, quantile_ms
from bench.scenarios import (
    MEASURED_S,
    WARM_UP_S,
    WHOLE,
    describe,
    make_streams,
    whole_answer_percent,
    whole_latencies,
)
from figfold.core.plan import encode_body
from figfold.ui.admin_client import distribute_plan
from figfold.ui.arguments import load_with_platform
from figfold.ui.plan_apply import IN_FORCE, accept_plan
from figfold.ui.plan_store import PlanStore
from figfold.ui.sheets import demand_of, load_sheet

SHEET_NAMES = ("morning", "shift", "drain")

DRAIN_MEAN_MS = 100
DRAIN_LOAD = 0.4
DRAIN_S = 3
DRAIN_AT_S = 6
LEAVE_AT_S = 14
DRAIN_RUN_S = 22

CONFIGURATION_LOAD = 0.25
CONFIGURATION_S = 2
SHEETS = 30
SHEETS_WITHOUT_PUSH = 10
STATUS_POLL_S = 0.02
SPREAD_LIMIT_S = 10

REGION_MEAN_MS = 100
REGION_LOAD = 0.4
REGION_LOST_AT_S = 8
REGION_RUN_S = 33
ANSWER_LIMIT_S = 3
ANSWER_DEADLINE_MS = 2800
STEADY_AFTER_S = 10
STEADY_WINDOW_S = 7
STEADY_RATIO = 1.25
DEFINITE_OUTCOMES = frozenset({"whole", "not-run"})
BOOKING = "booking"


def measure_drain(open_session):
    """Measure how long an emptied place and a leaving backend server still get new requests."""
    with open_session({"mean_ms": DRAIN_MEAN_MS}) as session:
        store, rows_by_sheet, _ = _open_store(session)
        emptied = _emptied_place(rows_by_sheet["drain"])
        leaving = _pick_leaving(session, emptied)

        def change(start_at):
            _sleep_until(start_at + DRAIN_AT_S)
            session.deployment.apply_sheet("drain")
            _sleep_until(start_at + LEAVE_AT_S)
            session.set_server_faults(servers=[leaving], leaving=True)
            session.deployment.set_state(leaving, "leaving")

        streams = make_streams(session, DRAIN_LOAD, DRAIN_MEAN_MS)
        result = session.run_load(streams, DRAIN_RUN_S, during=change)
        found = session.counts()["servers"]
        accepted_at = store.read_head().unwrap().head.accepted_at
    at_place = [server for server in found.values() if server["place"] == emptied]
    last_s = max(server["last_new_request_at"] for server in at_place) - accepted_at
    server = found[leaving]
    # The difference is negative if the last request arrived before the server was leaving.
    server_s = max(0.0, server["last_new_request_at"] - server["leaving_since"])
    cut_off = sum(s["cut_off"] + s["cancelled"] for s in found.values())
    undecided = [s for s in result.select(None, WARM_UP_S) if s["verdict"] not in DEFINITE_OUTCOMES]
    load = f"{DRAIN_LOAD:.0%} of the slots, mean run {DRAIN_MEAN_MS} ms; {describe(result)}"
    scenario = "drain"
    return [
        Figure(scenario, f"last new request at {emptied}", last_s, "s", DRAIN_S, load=load),
        Figure(scenario, f"last new request at leaving {leaving}", server_s, "s", DRAIN_S),
        Figure(scenario, "runs cut off", cut_off, "requests", 0),
        Figure(scenario, "requests without answer or refusal", len(undecided), "requests", 0),
    ]


def _sleep_until(at):
    eventlet.sleep(max(0.0, at - time.monotonic()))


def _open_store(session):
    """Return the plan store, and the rows and the plan body of each example sheet by name."""
    name = session.deployment.name
    url = session.deployment.platform.ready["url"]
    settings = load_with_platform(EXAMPLES / f"{name}.ini", url)
    demand = demand_of(settings.topology)
    rows_by_sheet = {
        sheet: load_sheet(EXAMPLES / f"{name}-{sheet}.csv", settings.topology)
        for sheet in SHEET_NAMES
    }
    body_by_sheet = {sheet: encode_body(rows, demand) for sheet, rows in rows_by_sheet.items()}
    return PlanStore.from_config(settings.platform), rows_by_sheet, body_by_sheet


def _emptied_place(rows):
    return next(row.place for row in rows if row.emptying)


def _pick_leaving(session, emptied):
    """Return a server of the first service at a place that is not emptied."""
    groups = session.servers_by_group()
    reads = session.services()[0]
    names = sorted(g for g in groups if g.startswith(f"{reads}/") and not g.endswith(emptied))
    return session.random.choice(groups[session.random.choice(names)])[0]


def measure_configuration(open_session):
    """Measure the time from a plan's acceptance until it is in force at all entries."""
    with open_session({"mean_ms": DRAIN_MEAN_MS}) as session:
        store, _, body_by_sheet = _open_store(session)
        streams = make_streams(session, CONFIGURATION_LOAD, DRAIN_MEAN_MS)
        pushed_s, unpushed_s = [], []

        def apply_all(start_at):
            _sleep_until(start_at + WARM_UP_S)
            for number in range(SHEETS + SHEETS_WITHOUT_PUSH):
                body = body_by_sheet[("shift", "morning")[number % 2]]
                is_pushed = number < SHEETS
                seconds = _time_plan(session, store, body, is_pushed)
                (pushed_s if is_pushed else unpushed_s).append(seconds)

        result = session.run_load(streams, 2 * MEASURED_S, during=apply_all)
    load = f"{CONFIGURATION_LOAD:.0%} of the slots in use; {describe(result)}"
    scenario = "configuration"
    name = f"accepted to in force on the last entry, p99 of {len(pushed_s)} sheets"
    worst_s = quantile_ms((s * 1000 for s in pushed_s), 99) / 1000
    median_s = quantile_ms((s * 1000 for s in pushed_s), 50) / 1000
    unpushed_name = (
        f"the same, operator's command ended after acceptance, greatest of {len(unpushed_s)}"
    )
    return [
        Figure(scenario, name, worst_s, "s", CONFIGURATION_S, load=load),
        Figure(scenario, "the same, median", median_s, "s"),
        Figure(scenario, unpushed_name, max(unpushed_s), "s"),
    ]


def _time_plan(session, store, body, is_pushed):
    """Apply a plan and return the seconds until the status of every entry shows it."""
    finished = accept_plan(store, body, "bench")
    accepted = time.monotonic()
    if finished.verdict not in IN_FORCE:
        raise RuntimeError(f"a plan was not accepted: {finished}")
    if is_pushed:
        eventlet.spawn_n(distribute_plan, finished.head, store.list_instances, SPREAD_LIMIT_S)
    waits = eventlet.GreenPool()
    names = session.deployment.entry_by_name
    list(waits.imap(lambda name: _wait_version(session, name, finished.head.version), names))
    return time.monotonic() - accepted


def _wait_version(session, name, version):
    limit = time.monotonic() + SPREAD_LIMIT_S
    while session.status_of(name)["plan_version"] < version:
        if time.monotonic() > limit:
            raise RuntimeError(f"{name} did not take version {version}")
        eventlet.sleep(STATUS_POLL_S)


def measure_region(open_session):
    """Measure what callers see when all entries and servers of a region fail at once."""
    with open_session({"mean_ms": REGION_MEAN_MS}) as session:
        region = list(session.topology.region_by_name)[1]
        places = session.topology.places_in(region)

        def lose_region(start_at):
            _sleep_until(start_at + REGION_LOST_AT_S)
            for place in places:
                session.kill_entries(place)
                session.set_server_faults(place=place, freeze=True)

        options = {"deadline_ms": ANSWER_DEADLINE_MS}
        streams = make_streams(session, REGION_LOAD, REGION_MEAN_MS, **options)
        result = session.run_load(streams, REGION_RUN_S, during=lose_region)
        failed = [s for s in result.select(None, WARM_UP_S) if s["verdict"] != WHOLE]
        session.diagnoses.append(format_requests("Not answered whole, as callers saw it", failed))
    return _region_figures(result, region)


def _region_figures(result, region):
    lost_at = REGION_LOST_AT_S
    after = result.select(None, lost_at - ANSWER_LIMIT_S)
    slowest_s = max(sample["latency_ms"] for sample in after) / 1000
    reads = [s for s in after if not s["stream"].endswith(BOOKING)]
    unknown_bookings = sum(
        s["verdict"] not in DEFINITE_OUTCOMES for s in after if s["stream"].endswith(BOOKING)
    )
    undecided_reads = sum(sample["verdict"] not in DEFINITE_OUTCOMES for sample in reads)
    steady_at = lost_at + STEADY_AFTER_S
    windows = [(steady_at, steady_at + STEADY_WINDOW_S)]
    windows.append((REGION_RUN_S - STEADY_WINDOW_S, REGION_RUN_S))
    p99s = [quantile_ms(whole_latencies(result.select(None, *window)), 99) for window in windows]
    shares = [whole_answer_percent(result, *window) for window in windows]
    load = f"{REGION_LOAD:.0%} of the slots, mean run {REGION_MEAN_MS} ms; {describe(result)}"
    lost = [s for s in result.select(None, lost_at, steady_at) if s["verdict"] != WHOLE]
    last_lost_s = max((sample["at_s"] for sample in lost), default=lost_at) - lost_at
    scenario = f"region {region} lost"
    p99_name = (
        f"p99 from {STEADY_AFTER_S} s on over the one at the end "
        f"({p99s[0]:.0f} and {p99s[1]:.0f} ms)"
    )
    before = whole_latencies(result.select(None, WARM_UP_S, lost_at - ANSWER_LIMIT_S))
    return [
        Figure(scenario, "slowest answer or refusal", slowest_s, "s", ANSWER_LIMIT_S, load=load),
        Figure(scenario, "reads without answer or refusal", undecided_reads, "requests", 0),
        Figure(scenario, "bookings told unknown", unknown_bookings, "requests"),
        Figure(scenario, f"not answered whole in the first {STEADY_AFTER_S} s", len(lost), ""),
        Figure(scenario, "the last of these was due after the loss", last_lost_s, "s"),
        Figure(scenario, p99_name, p99s[0] / max(1e-9, p99s[1]), "times", STEADY_RATIO),
        Figure(scenario, "whole answers from then on", shares[0], "%", shares[1] - 1, True),
        Figure(scenario, "whole answers at the end", shares[1], "%"),
        Figure(scenario, "p99 before the loss", quantile_ms(before, 99), "ms"),
    ]
