"""Measures the slopes of docs/CAPACITY.md: decisions, loopback calls, real deployments."""

import argparse
import json
import os
import subprocess
import sys
import time

from bench.capacity_fit import Slope
from bench.capacity_gateway import gateway_slopes
from bench.capacity_idle import ENTRY_COUNTS, measure_deployments
from bench.capacity_slopes import decision_slopes
from bench.capacity_state import state_slopes
from test.support import ROOT

PARTS = ("decisions", "gateway", "calls", "deployments")
CALLS_LIMIT_S = 120
EXIT_OK = 0
EXIT_FAILED = 1


def measure_part(part, seed, entry_counts):
    """Return the slopes of one part of the measurement, and failures by number of entries."""
    if part == "decisions":
        return decision_slopes() + state_slopes(seed), {}
    if part == "gateway":
        return gateway_slopes(), {}
    if part == "calls":
        return _call_slopes(seed), {}
    points = measure_deployments(seed, entry_counts)
    return points.slopes(), points.failure_by_entries


def _call_slopes(seed):
    command = [sys.executable, "-m", "bench.capacity_calls", "--seed", str(seed)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=CALLS_LIMIT_S)
    if done.returncode:
        raise RuntimeError(done.stderr)
    return [Slope(**item) for item in json.loads(done.stdout)]


def measure(seed, parts, entry_counts):
    """Run the parts one after another and print each slope.

    Returns
    -------
    dict
        Date, seed, load averages and all slopes, as JSON-compatible values.
    """
    found = {"date": time.strftime("%Y-%m-%d %H:%M:%S"), "seed": seed, "slopes": [], "failures": {}}
    found["cores"] = os.cpu_count()
    found["load_average"] = [os.getloadavg()]
    for part in parts:
        slopes, failure_by_entries = measure_part(part, seed, entry_counts)
        found["failures"] |= failure_by_entries
        for slope in slopes:
            print(slope.as_line(), flush=True)
            found["slopes"].append(slope.as_json())
        found["load_average"].append(os.getloadavg())
    return found


def main():
    """Measure, write ``out/capacity-SEED.json`` and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parts", nargs="+", choices=PARTS, default=PARTS)
    parser.add_argument("--entries", nargs="+", type=int, default=ENTRY_COUNTS)
    options = parser.parse_args()
    started = time.monotonic()
    found = measure(options.seed, options.parts, options.entries)
    found["seconds"] = round(time.monotonic() - started, 1)
    directory = ROOT / "out"
    directory.mkdir(exist_ok=True)
    path = directory / f"capacity-{options.seed}.json"
    path.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
    print(f"{path.relative_to(ROOT)} written after {found['seconds']} s")
    for entries, failure in found["failures"].items():
        print(f"deployment of {entries} entries failed: {failure.strip()}")
    print("load averages", *(f"{one[0]:.1f}" for one in found["load_average"]))
    return EXIT_FAILED if found["failures"] else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
