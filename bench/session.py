"""A deployment under measurement: loads, samples, counters and processor time."""

import json
import os
import random
import tempfile
import time
from itertools import count
from pathlib import Path

import eventlet
from attrs import frozen

from bench.deployment import Deployment
from bench.figures import quantile_ms
from test.support import Process, control

LOAD_PROCESSES = 3
# Time between the launch of the load processes and their first request.
LOAD_START_DELAY_S = 5.0
LOAD_STOP_LIMIT_S = 50
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024
MS_PER_S = 1000


@frozen
class LoadResult:
    """Samples of all load processes; ``late_p99_ms`` is the p99 delay behind the schedule."""

    samples: list
    planned: int
    late_p99_ms: float
    load_average: float

    def select(self, streams=None, from_s=0.0, to_s=float("inf")):
        """Return the samples of some streams that were scheduled in a time interval."""
        return [
            sample
            for sample in self.samples
            if (streams is None or sample["stream"] in streams) and from_s <= sample["at_s"] < to_s
        ]


@frozen
class Usage:
    """Processor time in seconds and resident memory in MiB of an entry."""

    cpu_s: float
    rss_mib: float


class Session:
    """A running deployment and the loads on it.

    Attributes
    ----------
    diagnoses : list[str]
        Sections that a scenario adds to the report.
    """

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.topology = deployment.topology
        self.random = random.Random(seed)
        self.diagnoses = []
        self._seed = seed
        self._runs = count(1)
        self._directory = tempfile.TemporaryDirectory(prefix="figfold-measure-")

    @classmethod
    def from_config(cls, name, seed, backend):
        """Create a session; ``backend`` has settings of every backend server."""
        return cls(Deployment.from_config(name, seed, {"backend": backend}), seed)

    def __enter__(self):
        try:
            self.deployment.start()
            status, output, _ = self.deployment.apply_sheet("morning")
            if status:
                raise RuntimeError(f"the morning sheet was not applied: {output}")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_error):
        self.deployment.stop()
        self._directory.cleanup()

    # Parts of the deployment.

    def services(self):
        """Return the names of the services: reads, bookings and documents."""
        return list(self.topology.service_by_name)

    def slots(self, service):
        """Return the number of slots of a service at all places together."""
        found = self.topology.service_by_name[service]
        return found.slots * sum(found.endpoints_by_place.values())

    def servers_by_group(self):
        """Return name and address of the backend servers by ``service/place``."""
        groups = {}
        for item in self.deployment.backend.ready["servers"]:
            group = groups.setdefault(f"{item['service']}/{item['place']}", [])
            group.append([item["name"], item["address"]])
        return groups

    def entry_targets(self, place):
        """Return the entries of a place as fixed targets for a load."""
        return [[name, place] for name, entry in self._entries() if entry.ready["place"] == place]

    def _entries(self):
        return list(self.deployment.entry_by_name.items())

    # Loads.

    def run_load(self, streams, seconds, route="system", targets=(), during=None):
        """Run a load to completion and return its result.

        Parameters
        ----------
        streams : list[dict]
            Name, service, method, kind and rate of each stream of arrivals.
        during : callable or None
            Called concurrently with the load, with the monotonic time of its start.
        """
        start_at = time.monotonic() + LOAD_START_DELAY_S
        run = next(self._runs)
        base = self._load_spec(streams, seconds, route, targets) | {
            "start_at": start_at,
            "run": run,
        }
        loads = [self._launch_load(base, number) for number in range(LOAD_PROCESSES)]
        concurrent_task = eventlet.spawn(during, start_at) if during else None
        try:
            results = [self._wait_for_result(child, output, seconds) for child, output in loads]
        finally:
            for child, _ in loads:
                child.child.kill()
                child.wait()
        if concurrent_task:
            concurrent_task.wait()
        return _merge_results(results)

    def _load_spec(self, streams, seconds, route, targets):
        deployment = self.deployment
        shared = [s | {"rate_per_s": s["rate_per_s"] / LOAD_PROCESSES} for s in streams]
        regions = self.topology.region_by_name.values()
        return {
            "route": route,
            "streams": shared,
            "seconds": seconds,
            "seed": self._seed,
            "callers": CALLERS_PER_SERVICE // LOAD_PROCESSES,
            "targets": list(targets),
            "address_by_entry": deployment.addresses(),
            "servers_by_group": self.servers_by_group(),
            "places_by_region": deployment.regions,
            "demand_by_region": {region.name: region.demand_percent for region in regions},
            "one_way_ms": deployment.one_way_ms,
        }

    def _launch_load(self, base, number):
        stem = Path(self._directory.name) / f"load-{base['run']}-{number}"
        output = stem.with_suffix(".out")
        spec = base | {"number": number, "output": str(output)}
        stem.with_suffix(".json").write_text(json.dumps(spec), encoding="utf-8")
        child = Process.launch("bench.load", "--spec", str(stem.with_suffix(".json")))
        return child, output

    def _wait_for_result(self, child, output, seconds):
        limit = time.monotonic() + LOAD_START_DELAY_S + seconds + LOAD_STOP_LIMIT_S
        while child.child.poll() is None and time.monotonic() < limit:
            eventlet.sleep(0.05)
        if child.child.poll() != 0:
            raise RuntimeError(f"a load process ended with {child.child.poll()}")
        result = json.loads(output.read_text(encoding="utf-8"))
        if result["prepared_s"] < 0:
            raise RuntimeError(f"a load process was late by {-result['prepared_s']:.1f} s")
        return result

    # Counters and faults.

    def counts(self):
        """Return the current counters of the backend servers, without the runs by key."""
        return self.deployment.backend.control("GET", "/standin/counts")

    def set_server_faults(self, **body):
        """Set faults of backend servers."""
        return self.deployment.backend.control("POST", "/faults", body)

    def kill_entries(self, place):
        """Kill the entries of a place with SIGKILL."""
        for _, entry in self._entries():
            if entry.ready["place"] == place:
                entry.child.kill()

    def clear_maxima(self):
        """Reset the maxima of requests in progress."""
        self.deployment.backend.control("POST", "/standin/maxima", {})

    def status_of(self, name):
        """Return the status of an entry from its admin port."""
        ready = self.deployment.entry_by_name[name].ready
        return control(ready["admin_address"], "GET", "/status")

    def usage_by_entry(self):
        """Return processor time and memory of the running entries by name."""
        return {
            name: _usage(entry.child.pid)
            for name, entry in self._entries()
            if entry.child.poll() is None
        }


CALLERS_PER_SERVICE = 600


def make_stream(service, rate_per_s, method="GET", kind="short", **options):
    """Return the description of one stream of arrivals."""
    name = f"{service}-{kind}" if method == "GET" else f"{service}-booking"
    stream = {"name": name, "service": service, "method": method, "kind": kind}
    return stream | {"rate_per_s": rate_per_s} | options


def _merge_results(results):
    samples = [sample for result in results for sample in result["samples"]]
    late_p99_ms = quantile_ms((sample["late_ms"] for sample in samples), 99)
    planned = sum(result["planned"] for result in results)
    return LoadResult(samples, planned, late_p99_ms, os.getloadavg()[0])


def _usage(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    # Fields 14 and 15 of the whole line: user and system time.
    ticks = int(fields[11]) + int(fields[12])
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    rss_kib = next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))
    return Usage(ticks / CLOCK_TICKS_PER_S, rss_kib / KIB_PER_MIB)
