"""Measures a whole deployment against the targets and writes one table of figures."""

import argparse
import os
import signal
import subprocess
import sys
import time

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from bench.figures import format_figures, format_table  # noqa: E402
from bench.scenario_cold import measure_cold  # noqa: E402
from bench.scenarios import (  # noqa: E402
    measure_blocking,
    measure_headroom,
    measure_latency,
    measure_slowed,
)
from bench.scenarios_change import (  # noqa: E402
    measure_configuration,
    measure_drain,
    measure_region,
)
from bench.session import Session  # noqa: E402
from test.support import ROOT  # noqa: E402

RUN_LIMIT_S = 900
SCENARIO_BY_NAME = {
    "latency": measure_latency,
    "blocking": measure_blocking,
    "slowed": measure_slowed,
    "headroom": measure_headroom,
    "drain": measure_drain,
    "configuration": measure_configuration,
    "region": measure_region,
    "cold": measure_cold,
}
USAGE_COLUMNS = ("scenario", "entry", "CPU s", "seconds", "RSS MiB")


class Measurement:
    """One run: its scenarios, their figures and the resources that the entries used."""

    def __init__(self, name, seed):
        self._name = name
        self._seed = seed
        self._figures = []
        self._usage_rows = []
        self._diagnoses = []
        self._failures = []

    def run(self, scenarios):
        """Run scenarios one after another; a failed one does not stop the others."""
        for scenario in scenarios:
            started = time.monotonic()
            print(f"{scenario}: started", file=sys.stderr, flush=True)
            try:
                found = SCENARIO_BY_NAME[scenario](self._session_opener(scenario))
                self._figures += found
                print(format_figures(found), file=sys.stderr, flush=True)
            except (RuntimeError, OSError, KeyError) as error:
                self._failures.append(f"{scenario}: not measured: {error!r}")
                print(self._failures[-1], file=sys.stderr, flush=True)
            seconds = time.monotonic() - started
            print(f"{scenario}: {seconds:.0f} s", file=sys.stderr, flush=True)

    def _session_opener(self, scenario):
        def open_session(backend):
            session = Session.from_config(self._name, self._seed, backend)
            return _RecordedSession(session, scenario, self._usage_rows, self._diagnoses)

        return open_session

    def has_succeeded(self):
        """Return whether every scenario was measured and all targets are met."""
        return not self._failures and all(figure.is_met() for figure in self._figures)

    def report(self, command):
        """Return the whole report as Markdown."""
        missed = sum(not figure.is_met() for figure in self._figures)
        with_target = sum(figure.limit is not None for figure in self._figures)
        parts = [
            f"# Measurement of {self._name}, seed {self._seed}",
            f"`{command}`, {time.strftime('%Y-%m-%d %H:%M')}, commit {_commit()}, "
            f"{os.cpu_count()} cores. Targets: {with_target - missed} of {with_target} met.",
            *self._failures,
            format_figures(self._figures),
            *self._diagnoses,
            "## Use of the entries",
            format_table(USAGE_COLUMNS, self._usage_rows),
        ]
        return "\n\n".join(parts) + "\n"


class _RecordedSession:
    """Wraps a session and records the resource use of entries and the diagnoses at its end."""

    def __init__(self, session, scenario, rows, diagnoses):
        self._session = session
        self._scenario = scenario
        self._rows = rows
        self._diagnoses = diagnoses
        self._before = {}
        self._started = 0.0

    def __enter__(self):
        self._session.__enter__()
        self._before = self._session.usage_by_entry()
        self._started = time.monotonic()
        return self._session

    def __exit__(self, *error):
        seconds = time.monotonic() - self._started
        for name, usage in self._session.usage_by_entry().items():
            cpu_s = usage.cpu_s - self._before[name].cpu_s
            row = (self._scenario, name, f"{cpu_s:.1f}", f"{seconds:.0f}", f"{usage.rss_mib:.0f}")
            self._rows.append(row)
        self._diagnoses += self._session.diagnoses
        self._session.__exit__(*error)


def _commit():
    head = _git("rev-parse", "--short", "HEAD")
    altered = _git("status", "--porcelain", "--untracked-files=no", "--", "figfold", "standins")
    return f"{head} with altered files" if altered else head


def _git(*arguments):
    child = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True)
    return child.stdout.strip()


def main():
    """Run the measurements from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="carrick", choices=("carrick", "bulwagan"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=tuple(SCENARIO_BY_NAME))
    options = parser.parse_args()
    signal.alarm(RUN_LIMIT_S)
    measurement = Measurement(options.deployment, options.seed)
    measurement.run([options.only] if options.only else list(SCENARIO_BY_NAME))
    command = f"python -m bench.measure --deployment {options.deployment} --seed {options.seed}"
    command += f" --only {options.only}" if options.only else ""
    report = measurement.report(command)
    print(report)
    name = f"measure-{options.deployment}-{options.seed}"
    name += f"-{options.only}" if options.only else ""
    path = ROOT / "out" / f"{name}.md"
    path.parent.mkdir(exist_ok=True)
    path.write_text(report, encoding="utf-8")
    sys.exit(0 if measurement.has_succeeded() else 1)


if __name__ == "__main__":
    main()
