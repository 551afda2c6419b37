"""A small deployment of real processes with callers that send load."""

import json
import random
import tempfile
import threading
import time
import unittest
from itertools import count
from pathlib import Path

import urllib3
from attrs import Factory, define

from bench.caller import Caller, Tally, Verdict, Work
from bench.deployment import Deployment
from test.support import CONTROL_TIMEOUT_S, control, wait_until

CAP = 6
SLOTS = 3
SEED = 1
PLACES = ("bne-north", "tsv-port")
SERVICES = ("stockview", "cutdesk", "certvault")
JOIN_LIMIT_S = 60
CONVERGENCE_LIMIT_S = 60
THINK_S = 0.02
BULK_BYTES = 60_000
SETTINGS = """\
[region bne]
demand_percent = 50
caller_blocks = 10.1.0.0/16

[region tsv]
demand_percent = 50
caller_blocks = 10.2.0.0/16

[place bne-north]
region = bne

[place tsv-port]
region = tsv

[service stockview]
endpoints = bne-north:2 tsv-port:2
deadline_ms = 3000

[service cutdesk]
endpoints = bne-north:2 tsv-port:2
deadline_ms = 5000

[service certvault]
endpoints = bne-north:2 tsv-port:2
deadline_ms = 30000

[lookup]
ttl_ms = 1500

[seats]
short_ttl_s = 3
short_renew_s = 0.5
margin_s = 0.5
"""
DELAYS = {
    "store_place": "bne-north",
    "one_way_ms": {"same_place": 0, "data_centre": 1, "region": 5, "client": 0},
    "open_ms": 1,
    "probe_ms": 1,
}
_caller_numbers = count(1)
SHEET_HEADER = "service,place,share_percent,cap,state,empty_from,empty_until"


def write_sheet(path, cap=CAP, shares=(50, 50)):
    """Write a sheet with the same cap for every service at both places."""
    rows = [
        f"{service},{place},{share},{cap},serving,,"
        for service in SERVICES
        for place, share in zip(PLACES, shares, strict=True)
    ]
    lines = [SHEET_HEADER, *rows, f"end,{len(rows)},,,,,"]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


class SmallDeployment(Deployment):
    """Two places of two entries each, with two backend servers of every service."""

    # Outgoing connections use 127.0.0.1, so none of them can occupy the port of an entry that has
    # to be restarted at the same address.
    listen_host = "127.0.0.2"

    @classmethod
    def launch(cls, options=None):
        """Start all processes and wait until a plan is in force and all seats are held."""
        directory = tempfile.TemporaryDirectory(prefix="figfold-small-")
        examples = Path(directory.name)
        (examples / "small.ini").write_text(SETTINGS, encoding="utf-8")
        (examples / "small-standins.json").write_text(json.dumps(DELAYS), encoding="utf-8")
        write_sheet(examples / "small-morning.csv")
        deployment = cls.from_config("small", SEED, options, examples)
        deployment.small_directory = directory
        try:
            deployment.start()
            status, output, _ = deployment.apply_sheet("morning")
            if status:
                raise RuntimeError(f"the sheet was not applied: {output}")
            deployment.wait_until_converged()
        except BaseException:
            deployment.stop()
            raise
        return deployment

    def stop(self):
        """End all processes and remove the files."""
        super().stop()
        self.small_directory.cleanup()

    def has_converged(self):
        """Return whether each entry holds its whole seat and sees all other entries as live."""
        statuses = [self.status(name) for name in self.entry_by_name]
        return all(_has_converged(status, len(statuses)) for status in statuses)

    def wait_until_converged(self):
        """Wait until each entry holds its whole seat and sees all other entries as live."""
        wait_until(self.has_converged, CONVERGENCE_LIMIT_S)

    def status(self, name):
        """Return the status of an entry."""
        return control(self.entry_by_name[name].ready["admin_address"], "GET", "/status")

    def metrics(self, name):
        """Return the metrics of an entry as text."""
        address = self.entry_by_name[name].ready["admin_address"]
        with urllib3.PoolManager(retries=False, timeout=CONTROL_TIMEOUT_S) as pool:
            return pool.request("GET", f"http://{address}/metrics").data.decode()

    def kill_entry(self, name):
        """Kill an entry with SIGKILL."""
        self.entry_by_name[name].child.kill()
        self.entry_by_name[name].wait()

    def set_server_faults(self, **faults):
        """Set faults of backend servers."""
        self.backend.control("POST", "/faults", faults)

    def set_store_faults(self, *faults):
        """Replace all faults of the platform stand-in."""
        self.platform.control("POST", "/faults", {"faults": list(faults)})


def _has_converged(status, entries):
    parts = {row.rsplit(".", 1)[-1] for row in status["seats"]}
    live = [entry for entry in status["entries"] if entry["live"]]
    return parts == {"long", "short"} and len(live) == entries - 1 and status["plan_version"] > 0


@define
class RecordingTally(Tally):
    """A tally that also records the attempts by nonce."""

    attempts_by_nonce: dict[str, list] = Factory(dict)

    def add_attempt(self, attempt, work, target, nonce):
        """Count and record an attempt."""
        super().add_attempt(attempt, work, target, nonce)
        if attempt.verdict is not Verdict.UNREACHABLE:
            self.attempts_by_nonce.setdefault(nonce, []).append((work, target.name, attempt))

    def answer_count(self, service):
        """Return the number of complete answers of a service."""
        return len(self.seconds_by_service.get(service, ()))

    def finally_not_run_nonces(self):
        """Return the nonces whose last attempt was reported as not run.

        All attempts of a booking share a nonce, so one of them may run after another was refused.
        """
        last_by_nonce = {nonce: items[-1][2] for nonce, items in self.attempts_by_nonce.items()}
        return {n for n, last in last_by_nonce.items() if last.verdict is Verdict.NOT_RUN}


def mixed_work(caller, number):
    """Return reads, bookings and documents in turn."""
    kind = number % 10
    if kind < 4:
        return Work("stockview", "GET", f"/short/{number}")
    if kind < 5:
        return Work("stockview", "GET", f"/long/{number}")
    if kind < 8:
        body = f"book {number}".encode()
        return Work("cutdesk", "POST", "/echo/book", body, f"{caller.name}-key-{number}")
    return Work("certvault", "GET", f"/bulk/{number}/{BULK_BYTES}")


class Load:
    """Callers that each send one request after another in a thread of their own."""

    def __init__(self, deployment, callers=12, next_work=mixed_work, think_s=THINK_S):
        self._deployment = deployment
        self._next_work = next_work
        self._think_s = think_s
        self._is_running = True
        self._callers = [self._make_caller(number) for number in range(callers)]
        self._threads = [
            threading.Thread(target=self._run_caller, args=(caller,), daemon=True)
            for caller in self._callers
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_error):
        self.stop()

    def stop(self):
        """Stop the callers after their current requests; return the merged tally."""
        self._is_running = False
        for thread in self._threads:
            thread.join(JOIN_LIMIT_S)
        if any(thread.is_alive() for thread in self._threads):
            raise RuntimeError("a caller still waits for an answer")
        return self.tally()

    def tally(self):
        """Return the merged tally of all callers."""
        return merge_tallies([caller.tally for caller in self._callers])

    def wait_for_answers(self, count):
        """Wait until ``count`` more requests have ended."""
        before = self.tally().count_by_verdict.total()
        wait_until(
            lambda: self.tally().count_by_verdict.total() >= before + count, CONVERGENCE_LIMIT_S
        )

    def _make_caller(self, number):
        region = ("bne", "tsv")[number % 2]
        return Caller(
            # Keys and nonces begin with the name, so it must be unique in the process.
            f"caller-{next(_caller_numbers)}",
            region,
            [PLACES[number % 2]],
            self._deployment.addresses,
            lambda _place: 0,
            random.Random(number),
            RecordingTally(),
        )

    def _run_caller(self, caller):
        number = 0
        while self._is_running:
            number += 1
            caller.send(self._next_work(caller, number))
            time.sleep(self._think_s)


def merge_tallies(tallies):
    """Return the sum of several tallies."""
    merged = RecordingTally()
    for tally in tallies:
        for field in ("count_by_verdict", "count_by_code", "count_by_place"):
            getattr(merged, field).update(dict(getattr(tally, field)))
        for field in ("not_run_nonces", "dropped_nonces", "ran_keys"):
            getattr(merged, field).update(list(getattr(tally, field)))
        for service, seconds in dict(tally.seconds_by_service).items():
            merged.seconds_by_service.setdefault(service, []).extend(seconds)
        merged.wrong_examples.extend(tally.wrong_examples)
        merged.attempts_by_nonce.update(dict(tally.attempts_by_nonce))
    return merged


class ProcessCase(unittest.TestCase):
    """Base class of tests that share one small deployment per class."""

    maxDiff = None
    options = {}

    @classmethod
    def setUpClass(cls):
        cls.deployment = SmallDeployment.launch(cls.options)
        cls.addClassCleanup(cls.deployment.stop)

    def load(self, **options):
        load = Load(self.deployment, **options)
        self.addCleanup(load.stop)
        return load.__enter__()

    def assert_outcomes_match_record(self, tally, allows_partial_answers=False):
        """Compare the outcomes reported to callers with the records of the servers."""
        record = self.deployment.record()
        wrong = [note for note in tally.wrong_examples if "partial answer" not in note]
        self.assertEqual([], wrong if allows_partial_answers else tally.wrong_examples)
        run_nonces = record["runs_by_nonce"].keys()
        self.assertEqual({}, _attempts(tally, tally.finally_not_run_nonces() & run_nonces))
        self.assertEqual(set(), tally.ran_keys - record["runs_by_key"].keys())
        self.assertEqual({}, {k: runs for k, runs in record["runs_by_key"].items() if runs > 1})
        if not allows_partial_answers:
            self.assertEqual({}, _attempts(tally, tally.dropped_nonces & run_nonces))
        self.assert_within_caps(record)

    def assert_within_caps(self, record):
        highest = record["max_in_progress_by_place"]
        self.assertEqual({}, {key: count for key, count in highest.items() if count > CAP})
        servers = record["servers"].values()
        full = {s["name"]: s["max_in_progress"] for s in servers if s["max_in_progress"] > SLOTS}
        self.assertEqual({}, full)

    def assert_no_loop_errors(self):
        for name in self.deployment.entry_by_name:
            self.assertNotIn("figfold_loop_errors_total", self.deployment.metrics(name))


def _attempts(tally, nonces):
    return {nonce: tally.attempts_by_nonce[nonce] for nonce in nonces}
