"""Demo of a whole deployment under load: morning sheet, shift, drain and a planned stop."""

import argparse
import csv
import random
import signal
import sys
import time

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from bench.caller import Caller, Tally, Verdict, Work  # noqa: E402
from bench.deployment import EXAMPLES, Deployment  # noqa: E402

DEMO_LIMIT_S = 88
CALLERS = 24
THINK_S = 0.12  # mean time between two requests of a caller
PHASE_S = 6
EMPTY_WITHIN_S = 3
WATCH_EMPTY_S = 4
STOP_LIMIT_S = 30
CALLERS_STOP_LIMIT_S = 10
BULK_BYTES = 60_000
LONG_READ_PROBABILITY = 0.04


class DemoError(Exception):
    """The demo could not continue."""


class Demo:
    """One run of the demo: the deployment, its callers and the failures found."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._random = random.Random(seed)
        self._tally = Tally()
        self._services = list(deployment.topology.service_by_name)
        self._bookings = 0
        self._started_at = time.monotonic()
        self._is_running = True
        self._threads = []
        self._failures = []

    def run(self):
        """Run all steps; return whether no failure was found."""
        self._log("starting stand-ins and entries")
        self._deployment.start()
        self._log(f"{len(self._deployment.entry_by_name)} entries are ready")
        self._apply("morning")
        self._start_callers()
        eventlet.sleep(PHASE_S)
        self._apply("shift")
        eventlet.sleep(PHASE_S)
        self._drain()
        self._stop_one_entry()
        self._stop_callers()
        self._check_record(self._deployment.record())
        self._stop_all_entries()
        return self._report()

    def _log(self, text):
        print(f"{time.monotonic() - self._started_at:6.1f} s  {text}", flush=True)

    def _record_failure(self, count, text):
        if count:
            self._failures.append((count, text))
            self._log(f"WRONG: {count} {text}")

    # Steps.

    def _apply(self, sheet):
        status, output, seconds = self._deployment.apply_sheet(sheet)
        if status:
            raise DemoError(f"sheet {sheet} was not applied (exit {status}):\n{output}")
        self._log(f"sheet {sheet} applied in {seconds:.1f} s")

    def _start_callers(self):
        regions = self._deployment.topology.region_by_name
        weights = [region.demand_percent for region in regions.values()]
        names = self._random.choices(list(regions), weights, k=CALLERS - len(regions))
        for number, region in enumerate([*regions, *names]):
            caller = self._make_caller(f"caller-{number}", region)
            self._threads.append(eventlet.spawn(self._call, caller))

    def _make_caller(self, name, region):
        deployment = self._deployment
        delays = deployment.one_way_ms
        places = deployment.topology.places_in(region)

        def delay_s(place):
            far_ms = 0 if place in places else delays["region"]
            return (delays["client"] + far_ms) / 1000

        rng = random.Random(self._random.random())
        addresses = deployment.addresses
        return Caller(name, region, places, addresses, delay_s, rng, self._tally)

    def _call(self, caller):
        while self._is_running:
            caller.send(self._next_work(caller))
            eventlet.sleep(caller.random.expovariate(1 / THINK_S))

    def _next_work(self, caller):
        reads, bookings, documents = self._services
        draw = caller.random.random()
        if draw < 0.6:
            kind = "long" if caller.random.random() < LONG_READ_PROBABILITY else "short"
            return Work(reads, "GET", f"/{kind}/{caller.random.randrange(1000)}?q=1")
        if draw < 0.85:
            self._bookings += 1
            key = f"{caller.name}-booking-{self._bookings}"
            body = f"book {self._bookings}".encode()
            return Work(bookings, "POST", "/echo/book", body, key)
        return Work(documents, "GET", f"/bulk/{caller.random.randrange(200)}/{BULK_BYTES}")

    def _drain(self):
        emptied = self._emptied_places()
        limit_at = time.time() + EMPTY_WITHIN_S
        self._apply("drain")
        eventlet.sleep(max(0.0, limit_at - time.time()))
        self._log(f"{EMPTY_WITHIN_S} s after the drain of {', '.join(emptied)}")
        eventlet.sleep(WATCH_EMPTY_S)
        servers = self._deployment.record()["servers"].values()
        late = [
            server["name"]
            for server in servers
            if server["place"] in emptied and server["last_new_request_at"] > limit_at
        ]
        self._record_failure(len(late), f"backend servers of an emptied place got new work: {late}")

    def _emptied_places(self):
        path = EXAMPLES / f"{self._deployment.name}-drain.csv"
        with open(path, encoding="utf-8-sig", newline="") as file:
            rows = list(csv.DictReader(file))
        return sorted({row["place"] for row in rows if row["state"] == "emptying"})

    def _stop_one_entry(self):
        emptied = self._emptied_places()
        entries = self._deployment.entry_by_name
        name = next(n for n, entry in entries.items() if entry.ready["place"] not in emptied)
        self._log(f"stopping {name} under load")
        started = time.monotonic()
        entries[name].terminate()
        self._deployment.set_state(name, "leaving")
        status = entries[name].wait(STOP_LIMIT_S)
        self._deployment.remove(name)
        seconds = time.monotonic() - started
        self._log(f"{name} ended with exit status {status} after {seconds:.1f} s")
        self._record_failure(int(status != 0), f"entry ended with exit status {status}")

    def _stop_all_entries(self):
        status_by_name = self._deployment.stop_entries(STOP_LIMIT_S)
        failed = {name: status for name, status in status_by_name.items() if status}
        self._log(f"{len(status_by_name)} entries stopped")
        self._record_failure(
            len(failed), f"entries ended with another exit status than 0: {failed}"
        )

    def _stop_callers(self):
        self._is_running = False
        limit = eventlet.Timeout(CALLERS_STOP_LIMIT_S, DemoError("callers still wait for answers"))
        try:
            for thread in self._threads:
                thread.wait()
        finally:
            limit.cancel()

    # Checks and report.

    def _report(self):
        tally = self._tally
        counts = tally.count_by_verdict
        self._record_failure(counts[Verdict.WRONG], "wrong or partial answers")
        for example in tally.wrong_examples:
            print(f"  {example}")
        print(f"refusals by code: {_sorted_by_code(tally.count_by_code)}")
        print(f"whole answers by place: {dict(sorted(tally.count_by_place.items()))}")
        for service, seconds in tally.seconds_by_service.items():
            print(f"{service}: {_quantiles(seconds)}")
        unreachable = counts[Verdict.UNREACHABLE]
        print(f"idle connections closed under a read: {len(tally.dropped_nonces)}")
        print(f"outcome unknown: {counts[Verdict.UNKNOWN]}; no entry reached: {unreachable}")
        wrong = sum(count for count, _ in self._failures)
        print(
            f"demo: {counts.total()} requests, {counts[Verdict.WHOLE]} whole answers, "
            f"{counts[Verdict.NOT_RUN]} refused as not run, {wrong} wrong"
        )
        return wrong == 0

    def _check_record(self, record):
        twice = sum(1 for runs in record["runs_by_key"].values() if runs > 1)
        self._record_failure(twice, "bookings run more than once")
        cut_off = self._tally.dropped_nonces & record["runs_by_nonce"].keys()
        self._record_failure(len(cut_off), "reads cut off in progress")
        ran = self._tally.not_run_nonces & record["runs_by_nonce"].keys()
        self._record_failure(len(ran), f"requests refused as not run that ran: {sorted(ran)[:5]}")
        lost = [key for key in self._tally.ran_keys if not record["runs_by_key"].get(key)]
        self._record_failure(len(lost), "bookings answered as run that never ran")
        self._record_failure(len(self._places_over_cap(record)), "places over their cap")

    def _places_over_cap(self, record):
        caps = {}
        for sheet in ("morning", "shift", "drain"):
            path = EXAMPLES / f"{self._deployment.name}-{sheet}.csv"
            with open(path, encoding="utf-8-sig", newline="") as file:
                for row in csv.DictReader(file):
                    if row["service"] != "end":
                        key = f"{row['service']}/{row['place']}"
                        caps[key] = max(caps.get(key, 0), int(row["cap"]))
        highest = record["max_in_progress_by_place"]
        over = {key: (count, caps[key]) for key, count in highest.items() if count > caps[key]}
        for key, (count, cap) in over.items():
            self._log(f"{key}: {count} in progress over the cap of {cap}")
        return over


def _sorted_by_code(count_by_code):
    return {code: count for code, count in sorted(count_by_code.items()) if code}


def _quantiles(seconds):
    ordered = sorted(seconds)
    parts = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    texts = [
        f"{name} {ordered[min(len(ordered) - 1, int(part * len(ordered)))] * 1000:.0f} ms"
        for name, part in parts.items()
    ]
    return f"{len(ordered)} answers, {', '.join(texts)}"


def main():
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="carrick", choices=("carrick", "bulwagan"))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    # Limits the run time even if a step hangs; the children end with this process.
    signal.alarm(DEMO_LIMIT_S)
    deployment = Deployment.from_config(options.deployment, options.seed)
    try:
        has_succeeded = Demo(deployment, options.seed).run()
    except (DemoError, RuntimeError) as error:
        print(f"demo: {error}", file=sys.stderr)
        has_succeeded = False
    finally:
        deployment.stop()
    sys.exit(0 if has_succeeded else 1)


if __name__ == "__main__":
    main()
