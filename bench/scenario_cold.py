"""Measurement of a large traffic shift to backend servers with cold caches."""

import time

import eventlet

from bench.deployment import EXAMPLES
from bench.figures import Figure, quantile_ms
from bench.scenarios import WARM_UP_S, WHOLE, describe, make_streams, whole_latencies
from figfold.ui.sheets import load_sheet

MEAN_MS = 100
LOAD = 0.4
# Slow-down of the servers right after the shift, and the time until they are as fast as others.
COLD_FACTOR = 4
COLD_S = 10
STEP_S = 0.5
MOVE_AT_S = 9
RUN_S = 27


def measure_cold(open_session):
    """Measure the return of traffic to an emptied place whose servers are slow at first."""
    with open_session({"mean_ms": MEAN_MS}) as session:
        place = _emptied_place(session)
        system = _run(session, place, "system")
        direct = _run(session, place, "direct")
    load = (
        f"{LOAD:.0%} of the slots, mean run {MEAN_MS} ms; servers of {place} {COLD_FACTOR} times "
        f"slower when its share comes back, as fast as others {COLD_S} s later; {describe(system)}"
    )
    return [*_p99_figures(system, direct, load), _loss_figure(system, direct)]


def _emptied_place(session):
    path = EXAMPLES / f"{session.deployment.name}-drain.csv"
    rows = load_sheet(path, session.topology)
    return next(row.place for row in rows if row.emptying)


def _run(session, place, route):
    """Run the load with the place empty at first, and restore its share during the run."""
    _apply(session, "drain")

    def move_back(start_at):
        eventlet.sleep(max(0.0, start_at + MOVE_AT_S - time.monotonic()))
        session.set_server_faults(place=place, slow_factor=COLD_FACTOR)
        _apply(session, "morning")
        moved_at = time.monotonic()
        while (age_s := time.monotonic() - moved_at) < COLD_S:
            factor = 1 + (COLD_FACTOR - 1) * (1 - age_s / COLD_S)
            session.set_server_faults(place=place, slow_factor=factor)
            eventlet.sleep(STEP_S)
        session.set_server_faults(place=place, slow_factor=1)

    streams = make_streams(session, LOAD, MEAN_MS)
    return session.run_load(streams, RUN_S, route, during=move_back)


def _apply(session, sheet):
    status, output, _ = session.deployment.apply_sheet(sheet)
    if status:
        raise RuntimeError(f"the sheet {sheet} was not applied: {output}")


def _p99_figures(system, direct, load):
    """Return the p99 latencies of reads before the shift, right after it and later."""
    windows = [
        ("before the move", WARM_UP_S, MOVE_AT_S),
        (f"in the {COLD_S} s after it", MOVE_AT_S, MOVE_AT_S + COLD_S),
        ("afterwards", MOVE_AT_S + COLD_S, RUN_S),
    ]
    figures = []
    for name, *window in windows:
        p99s = [_p99_of_reads(result, *window) for result in (system, direct)]
        baseline = f"round robin {p99s[1]:.0f} ms"
        figures.append(
            Figure("cold", f"p99 of reads {name}", p99s[0], "ms", baseline=baseline, load=load)
        )
        load = ""
    return figures


def _p99_of_reads(result, from_s, to_s):
    reads = [s for s in result.select(None, from_s, to_s) if s["stream"].endswith("-short")]
    return quantile_ms(whole_latencies(reads), 99)


def _loss_figure(system, direct):
    lost, lost_direct = (
        sum(sample["verdict"] != WHOLE for sample in result.select(None, MOVE_AT_S))
        for result in (system, direct)
    )
    name = "requests without a whole answer from the move on"
    return Figure("cold", name, lost, "requests", baseline=f"round robin {lost_direct}")
