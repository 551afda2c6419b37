"""Measurements under load: added latency, long requests, slowed servers and headroom."""

import time
from collections import Counter

import eventlet

from bench.figures import Figure, format_quantiles, quantile_ms
from bench.session import MS_PER_S, make_stream

WARM_UP_S = 3
MEASURED_S = 12
WHOLE = "whole"
HALF_LOAD = 0.5

LATENCY_MEAN_MS = 100
ADDED_MEDIAN_MS = 3
ADDED_P99_MS = 10
LIGHT_LOAD = 0.1

SHORT_MEAN_MS = 16
SHORT_LOAD = 0.06
LONG_PART = 0.1
LONG_FACTOR = 50  # Default of the backend servers.
BLOCKING_RATIO = 1.5

SLOWED_MEAN_MS = 60
SLOWED_PART = 1 / 6
SLOW_FACTOR = 10
REPORT_LAG_MS = 2000
SLOWED_RATIO = 2
EXTRA_PERCENT = 5

HEADROOM_MEAN_MS = 100
OVERLOAD = 2
SAMPLE_S = 0.05
USED_PERCENT = 90


def measure_latency(open_session):
    """Measure the latency that the system adds to direct requests to the backend servers."""
    seconds = WARM_UP_S + MEASURED_S
    with open_session({"mean_ms": LATENCY_MEAN_MS}) as session:
        reads, bookings, documents = session.services()
        streams = make_streams(session, HALF_LOAD, LATENCY_MEAN_MS)
        light = make_streams(session, LIGHT_LOAD, LATENCY_MEAN_MS)
        direct = session.run_load(streams, seconds, "direct")
        system = session.run_load(streams, seconds)
        light_direct = session.run_load(light, seconds, "direct")
        light_system = session.run_load(light, seconds)
        delay_ms = session.deployment.one_way_ms["region"]
    names = [f"{reads}-short", f"{documents}-short"]
    half = (f"half load, mean run {LATENCY_MEAN_MS} ms", direct, system)
    tenth = (f"a tenth of the slots, mean run {LATENCY_MEAN_MS} ms", light_direct, light_system)
    figures = _added_figures("reads", names, *half, ADDED_MEDIAN_MS, ADDED_P99_MS)
    figures += _added_figures("reads, light load", names, *tenth)
    trip = f"; round trip to the store up to {2 * delay_ms} ms"
    figures += _added_figures("bookings", [f"{bookings}-booking"], half[0] + trip, *half[1:])
    return figures


def make_streams(session, load, mean_ms, **options):
    """Return streams that use the part ``load`` of the slots of each service."""
    reads, bookings, documents = session.services()

    def rate_of(service):
        return load * session.slots(service) * MS_PER_S / mean_ms

    return [
        make_stream(reads, rate_of(reads), **options),
        make_stream(bookings, rate_of(bookings), "POST", **options),
        make_stream(documents, rate_of(documents), **options),
    ]


def _added_figures(what, names, load, direct, system, median_limit=None, p99_limit=None):
    latencies = [whole_latencies(r.select(names, WARM_UP_S)) for r in (direct, system)]
    figures = []
    for percent, limit in ((50, median_limit), (99, p99_limit)):
        quantiles = [quantile_ms(values, percent) for values in latencies]
        name = f"{what}: p{percent} added to a direct request"
        baseline = f"direct {quantiles[0]:.1f} ms, system {quantiles[1]:.1f} ms"
        note = f"{load}; {describe(system)}"
        added = quantiles[1] - quantiles[0]
        figures.append(Figure("latency", name, added, "ms", limit, baseline=baseline, load=note))
    spent = [_times_outside_run(r.select(names, WARM_UP_S)) for r in (direct, system)]
    for percent in (50, 99):
        name = f"{what}: p{percent} of an exchange outside its run"
        baseline = f"direct {quantile_ms(spent[0], percent):.1f} ms"
        value = quantile_ms(spent[1], percent)
        figures.append(Figure("latency", name, value, "ms", baseline=baseline, load=load))
    return figures


def _times_outside_run(samples):
    """Return the times of exchanges without the runs: queueing, connections and processing."""
    return [s["exchange_ms"] - s["run_ms"] for s in samples if s["verdict"] == WHOLE]


def whole_latencies(samples):
    """Return the latencies of the completely answered requests."""
    return [sample["latency_ms"] for sample in samples if sample["verdict"] == WHOLE]


def whole_exchanges(samples):
    """Return the exchange times of the completely answered requests, without caller delays."""
    return [sample["exchange_ms"] for sample in samples if sample["verdict"] == WHOLE]


def describe(result, from_s=WARM_UP_S):
    """Return rate, verdicts, delay of the generator and load average of a load as text."""
    samples = result.select(None, from_s)
    ends = Counter(sample["verdict"] for sample in samples)
    text = ", ".join(f"{count} {verdict}" for verdict, count in sorted(ends.items()))
    span_s = max((sample["at_s"] for sample in samples), default=from_s + 1) - from_s
    return (
        f"{len(samples) / span_s:.0f}/s, {text}, generator late p99 {result.late_p99_ms:.1f} ms, "
        f"load average {result.load_average:.1f}"
    )


def measure_blocking(open_session):
    """Measure by how much long requests delay short ones."""
    seconds = WARM_UP_S + MEASURED_S
    with open_session({"mean_ms": SHORT_MEAN_MS}) as session:
        reads = session.services()[0]
        rate = SHORT_LOAD * session.slots(reads) * MS_PER_S / SHORT_MEAN_MS
        short = make_stream(reads, rate)
        long = make_stream(reads, rate * LONG_PART / (1 - LONG_PART), kind="long")
        alone = session.run_load([short], seconds)
        mixed = session.run_load([short, long], seconds)
        direct_alone = session.run_load([short], seconds, "direct")
        direct_mixed = session.run_load([short, long], seconds, "direct")
    name = [short["name"]]
    runs = [r.select(name, WARM_UP_S) for r in (alone, mixed, direct_alone, direct_mixed)]
    long_part = SHORT_LOAD * LONG_FACTOR * LONG_PART / (1 - LONG_PART)
    load = (
        f"{reads}, short runs of {SHORT_MEAN_MS} ms use {SHORT_LOAD:.0%} of the slots in both, "
        f"long ones {long_part:.0%}; {describe(mixed)}"
    )
    refused = sum(sample["verdict"] != WHOLE for sample in runs[1])
    long_ends = Counter(s["verdict"] for s in mixed.select([long["name"]], WARM_UP_S))
    long_whole = 100 * long_ends[WHOLE] / max(1, long_ends.total())
    scenario = "blocking"
    return [
        _blocking_figure("p99 of short requests", whole_latencies, runs, load),
        _blocking_figure("p99 of their exchanges, no caller's delay", whole_exchanges, runs),
        Figure(scenario, "short requests without a whole answer", refused, "requests"),
        Figure(scenario, f"long requests whole ({_long_text(mixed, long)})", long_whole, "%"),
    ]


def _blocking_figure(what, values_of, runs, load=""):
    p99s = [quantile_ms(values_of(samples), 99) for samples in runs]
    name = f"{what} with 10 % long ones over without ({p99s[0]:.1f} -> {p99s[1]:.1f} ms)"
    baseline = f"{_ratio(p99s[3], p99s[2]):.2f} ({p99s[2]:.1f} -> {p99s[3]:.1f} ms)"
    ratio = _ratio(p99s[1], p99s[0])
    return Figure("blocking", name, ratio, "times", BLOCKING_RATIO, False, baseline, load)


def _long_text(result, stream):
    samples = result.select([stream["name"]], WARM_UP_S)
    return format_quantiles(whole_latencies(samples))


def whole_answer_percent(result, from_s=WARM_UP_S, to_s=float("inf")):
    """Return the percentage of completely answered requests."""
    samples = result.select(None, from_s, to_s)
    whole = sum(sample["verdict"] == WHOLE for sample in samples)
    return 100 * whole / max(1, len(samples))


def _ratio(value, reference):
    return value / reference if reference else float("inf")


def measure_slowed(open_session):
    """Measure reads while a sixth of the backend servers is slowed and reports it late."""
    backend = {"mean_ms": SLOWED_MEAN_MS, "report_lag_ms": REPORT_LAG_MS}
    with open_session(backend) as session:
        reads = session.services()[0]
        stream = make_stream(reads, HALF_LOAD * session.slots(reads) * MS_PER_S / SLOWED_MEAN_MS)
        slowed = _pick_slowed(session, reads)
        runs = {}
        extra = {}
        for route in ("system", "direct"):
            for is_slowed in (False, True):
                before = _received(session, reads)
                runs[route, is_slowed] = _run_slowed(session, stream, route, slowed, is_slowed)
                received = _received(session, reads) - before
                extra[route, is_slowed] = 100 * (received / runs[route, is_slowed].planned - 1)
    load = (
        f"{reads} at half load, mean run {SLOWED_MEAN_MS} ms, slowed {SLOW_FACTOR} times from the "
        f"first measured second on: {', '.join(slowed)}; reports {REPORT_LAG_MS} ms late; "
        f"{describe(runs['system', True])}"
    )
    figures = [
        _slowed_figure("p99 of reads", whole_latencies, runs, load),
        _slowed_figure("p99 of their exchanges, no caller's delay", whole_exchanges, runs),
    ]
    scenario = "slowed"
    late = runs["system", True].select(None, WARM_UP_S + MEASURED_S / 2)
    second_half_p99_ms = quantile_ms(whole_latencies(late), 99)
    figures.append(
        Figure(scenario, "the same p99 in the second half of the time", second_half_p99_ms, "ms")
    )
    figures.append(
        Figure(scenario, "extra requests at the servers", extra["system", True], "%", EXTRA_PERCENT)
    )
    whole = whole_answer_percent(runs["system", True])
    figures.append(Figure(scenario, "reads with a whole answer", whole, "%"))
    return figures


def _slowed_figure(what, values_of, runs, load=""):
    p99s = {
        key: quantile_ms(values_of(run.select(None, WARM_UP_S)), 99) for key, run in runs.items()
    }
    texts = {r: f"({p99s[r, False]:.0f} -> {p99s[r, True]:.0f} ms)" for r in ("system", "direct")}
    ratios = {r: _ratio(p99s[r, True], p99s[r, False]) for r in texts}
    name = f"{what} over the healthy one {texts['system']}"
    baseline = f"{ratios['direct']:.2f} {texts['direct']}"
    return Figure("slowed", name, ratios["system"], "times", SLOWED_RATIO, False, baseline, load)


def _pick_slowed(session, service):
    """Return a sixth of the servers, each at another place."""
    groups = {g: s for g, s in session.servers_by_group().items() if g.startswith(f"{service}/")}
    number = round(sum(map(len, groups.values())) * SLOWED_PART)
    places = session.random.sample(sorted(groups), number)
    return [session.random.choice(groups[place])[0] for place in places]


def _received(session, service):
    servers = session.counts()["servers"].values()
    return sum(server["received"] for server in servers if server["service"] == service)


def _run_slowed(session, stream, route, slowed, is_slowed):
    def slow_down(start_at):
        eventlet.sleep(max(0.0, start_at + WARM_UP_S - time.monotonic()))
        if is_slowed:
            session.set_server_faults(servers=slowed, slow_factor=SLOW_FACTOR)

    result = session.run_load([stream], WARM_UP_S + MEASURED_S, route, during=slow_down)
    session.set_server_faults(servers=slowed, slow_factor=1)
    return result


def measure_headroom(open_session):
    """Measure how much of its caps a place uses when its load is twice the caps."""
    with open_session({"mean_ms": HEADROOM_MEAN_MS}) as session:
        place = list(session.topology.place_by_name)[2]
        groups = session.servers_by_group()
        caps = {service: 3 * len(groups[f"{service}/{place}"]) for service in session.services()}
        streams = _place_streams(session, caps)
        readings = []

        def sample(start_at):
            eventlet.sleep(max(0.0, start_at + WARM_UP_S - time.monotonic()))
            session.clear_maxima()
            while time.monotonic() < start_at + WARM_UP_S + MEASURED_S:
                readings.append(session.counts()["in_progress_by_place"])
                eventlet.sleep(SAMPLE_S)

        targets = session.entry_targets(place)
        seconds = WARM_UP_S + MEASURED_S
        result = session.run_load(streams, seconds, targets=targets, during=sample)
        highest = session.counts()["max_in_progress_by_place"]
    load = f"{place}, twice its caps, mean run {HEADROOM_MEAN_MS} ms; {describe(result)}"
    figures = []
    for service, cap in caps.items():
        group = f"{service}/{place}"
        values = [reading.get(group, 0) for reading in readings]
        used = 100 * sum(values) / len(values) / cap
        over = max(highest.get(group, 0), max(values)) - cap
        figures += [
            Figure("headroom", f"{service}: requests over the cap of {cap}", max(0, over), "", 0),
            Figure(
                "headroom", f"{service}: mean part of the cap in use", used, "%", USED_PERCENT, True
            ),
        ]
    figures.append(
        Figure("headroom", "readings of requests in progress", len(readings), "", load=load)
    )
    return figures


def _place_streams(session, caps):
    reads, bookings, documents = session.services()
    rate = {service: OVERLOAD * cap * MS_PER_S / HEADROOM_MEAN_MS for service, cap in caps.items()}
    return [
        make_stream(reads, rate[reads]),
        make_stream(bookings, rate[bookings], "POST"),
        make_stream(documents, rate[documents]),
    ]
