"""Load process: open-loop arrivals determined by a seed, and a sample of each request."""

import argparse
import json
import random
import time
from pathlib import Path

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from attrs import asdict, define  # noqa: E402

from bench.baseline import DirectRoute  # noqa: E402
from bench.caller import Target, Verdict, Work  # noqa: E402
from bench.sender import (
    MS_PER_S,
    Caller,
    CallerNetwork,
    Lookups,
    SharedConnectionPool,
    SystemRoute,
)  # noqa: E402

LOOKUP_THREADS = 16
# Interval of look-ups, which is below the TTL of their answers.
LOOKUP_REFRESH_S = 4.0
DRAIN_LIMIT_S = 45


@define
class Arrival:
    """A scheduled request: seconds after the start, index of its stream, and its caller."""

    at_s: float
    stream: int
    caller: Caller


def make_callers(spec, rng):
    """Return the callers of each service, with regions drawn by the deployment's demand."""
    regions = list(spec["demand_by_region"])
    weights = list(spec["demand_by_region"].values())
    callers_by_service = {}
    for service in dict.fromkeys(stream["service"] for stream in spec["streams"]):
        drawn = rng.choices(regions, weights, k=spec["callers"])
        callers_by_service[service] = [
            Caller(f"caller-{spec['number']}-{index}", region, service)
            for index, region in enumerate(drawn)
        ]
    return callers_by_service


def draw_arrivals(spec, callers_by_service, rng):
    """Return the Poisson arrivals of all streams, ordered by time."""
    arrivals = []
    for index, stream in enumerate(spec["streams"]):
        at_s = rng.expovariate(stream["rate_per_s"])
        while at_s < spec["seconds"]:
            caller = rng.choice(callers_by_service[stream["service"]])
            arrivals.append(Arrival(at_s, index, caller))
            at_s += rng.expovariate(stream["rate_per_s"])
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


class Load:
    """Callers of one process, their route and the samples of their requests."""

    def __init__(self, spec, route, callers_by_service, arrivals):
        self._spec = spec
        self._route = route
        self._callers = [c for callers in callers_by_service.values() for c in callers]
        self._arrivals = arrivals
        self._samples = []

    @classmethod
    def from_config(cls, spec):
        """Create the load that a specification describes."""
        rng = random.Random(f"{spec['seed']}/{spec['number']}")
        callers_by_service = make_callers(spec, rng)
        arrivals = draw_arrivals(spec, callers_by_service, rng)
        connection_pool = SharedConnectionPool()
        network = CallerNetwork(
            spec["address_by_entry"], spec["places_by_region"], spec["one_way_ms"]
        )
        lookups = Lookups(network, connection_pool, rng)
        targets = tuple(Target(*target) for target in spec["targets"])
        if spec["route"] == "direct":
            route = DirectRoute(lookups, connection_pool, spec["servers_by_group"], targets)
        else:
            route = SystemRoute(lookups, connection_pool, targets)
        return cls(spec, route, callers_by_service, arrivals)

    def prepare(self):
        """Fill the look-up cache of every caller, and keep refreshing it."""
        if self._spec["targets"]:
            return
        pool = eventlet.GreenPool(LOOKUP_THREADS)
        for _ in pool.imap(self._route.prepare, self._callers):
            pass
        eventlet.spawn_n(self._refresh_lookups)

    def _refresh_lookups(self):
        while True:
            for caller in self._callers:
                eventlet.sleep(LOOKUP_REFRESH_S / len(self._callers))
                eventlet.spawn_n(self._route.prepare, caller)

    def run(self):
        """Send every request at its scheduled time and return all samples."""
        start_at = self._spec["start_at"]
        pool = eventlet.GreenPool(len(self._arrivals) + 1)
        for number, arrival in enumerate(self._arrivals):
            wait_s = start_at + arrival.at_s - time.monotonic()
            if wait_s > 0:
                eventlet.sleep(wait_s)
            pool.spawn_n(self._send, number, arrival, start_at + arrival.at_s)
        with eventlet.Timeout(DRAIN_LIMIT_S, False):
            pool.waitall()
        return self._samples

    def _send(self, number, arrival, due_at):
        late_ms = (time.monotonic() - due_at) * MS_PER_S
        stream = self._spec["streams"][arrival.stream]
        name = f"{self._spec['run']}-{self._spec['number']}-{number}"
        work = _make_work(stream, name, number)
        deadline_s = stream.get("deadline_ms", 0) / MS_PER_S
        request_result = self._route.send(arrival.caller, work, deadline_s, name)
        is_whole = request_result.verdict is Verdict.WHOLE
        self._samples.append(
            {
                "at_s": arrival.at_s,
                "stream": stream["name"],
                "latency_ms": (time.monotonic() - due_at) * MS_PER_S,
                "late_ms": late_ms,
                "verdict": request_result.verdict.value,
                "code": request_result.code,
                "place": request_result.place,
                "server": request_result.server,
                "attempts": request_result.attempts,
                "exchange_ms": request_result.exchange_ms,
                "run_ms": request_result.run_ms,
                "traces": [] if is_whole else [asdict(trace) for trace in request_result.traces],
            }
        )


def _make_work(stream, name, number):
    if stream["method"] == "POST":
        body = f"book {name}".encode()
        return Work(stream["service"], "POST", "/echo/book", body, name)
    return Work(stream["service"], "GET", f"/{stream['kind']}/{number % 1000}")


def main():
    """Run one load process: prepare, wait for the start, send, write the samples."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--spec", required=True, help="JSON file that describes the load")
    spec = json.loads(Path(parser.parse_args().spec).read_text(encoding="utf-8"))
    load = Load.from_config(spec)
    load.prepare()
    prepared_s = spec["start_at"] - time.monotonic()
    samples = load.run()
    result = {"samples": samples, "planned": len(load._arrivals), "prepared_s": prepared_s}
    Path(spec["output"]).write_text(json.dumps(result), encoding="utf-8")


if __name__ == "__main__":
    main()
