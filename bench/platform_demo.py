"""Demo of a deployment on the users' platform, with callers that verify every answer."""

import argparse
import json
import random
import signal
import sys
import time
from collections import Counter
from http.client import HTTPException, parse_headers

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from bench.deployment import EXAMPLES  # noqa: E402
from bench.platform_deployment import (  # noqa: E402
    CALL_TIMEOUT_S,
    HOST,
    PlatformDeployment,
    ServiceServers,
    make_configuration,
)
from figfold.config.settings import load_settings  # noqa: E402

DEMO_LIMIT_S = 80
CALLERS = 24
THINK_S = 0.1  # Mean time between two requests of a caller.
PHASE_S = 3.0
# Time after which a changed configuration or an evacuation is in force everywhere.
IN_FORCE_S = 2.5
OBJECTS = 40
MAX_ATTEMPTS = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
STOP_LIMIT_S = 4.0
# Reads that a caller sends before the first is answered, and how long a server takes for each.
AHEAD_READS = 4
AHEAD_RUN_S = 0.4


def make_routes(services, booking_service):
    """Return a route of each kind: reads, bookings at ``booking_service``, and downloads."""
    reads, _, documents = services
    return {
        "read": {"prefix": "/read/", "kind": "safe", "timeoutS": 1.5, "service": reads},
        "book": {
            "prefix": "/book/",
            "kind": "non_idempotent",
            "timeoutS": 1.5,
            "service": booking_service,
        },
        "file": {"prefix": "/file/", "kind": "download", "timeoutS": 1.5, "service": documents},
    }


def send_ahead(entry, reads):
    """Send reads on one connection at once; return the ids of the answers, in their order.

    Parameters
    ----------
    entry : Entry
    reads : list[tuple[str, str]]
        Id and object of each.
    """
    host, port = entry.address["caller"].split(":")
    with eventlet.connect((host, int(port))) as sock, eventlet.Timeout(CALL_TIMEOUT_S):
        for request_id, key in reads:
            lines = [
                "GET /read/1 HTTP/1.1",
                f"Host: {HOST}",
                f"Attempt-Id: {request_id}",
                f"Affinity-Key: {key}",
            ]
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        file = sock.makefile("rb")
        return [read_answer(file) for _ in reads]


def read_answer(file):
    """Read one of several answers; return the id that it names, else its status, or None."""
    status_line = file.readline().split()
    if not status_line:
        return None
    headers = parse_headers(file)
    file.read(int(headers["Content-Length"]))
    return headers.get("Attempt-Id", status_line[1].decode())


class PlatformDemo:
    """One run of the demo: the deployment, its callers and the failures found.

    Attributes
    ----------
    counts : Counter
        Number of requests by outcome.
    failures : list[str]
        Broken guarantees.
    """

    def __init__(self, name, seed):
        settings = load_settings(EXAMPLES / f"{name}.ini", required_sections=()).unwrap()
        topology = settings.topology
        self.services = list(topology.service_by_name)
        self.places = [place for r in topology.region_by_name for place in topology.places_in(r)]
        region_by_place = {
            place: region
            for region in topology.region_by_name
            for place in topology.places_in(region)
        }
        servers = [ServiceServers(s, place, 2) for s in self.services for place in self.places]
        configuration = make_configuration(1, make_routes(self.services, self.services[1]))
        self.deployment = PlatformDeployment(region_by_place, servers, configuration)
        self.random = random.Random(seed)
        self.counts = Counter()
        self.failures = []
        self._numbers = iter(range(1, 1 << 30))
        self._bookings = {}
        self._threads = []
        self._is_running = True
        self._started_s = time.monotonic()

    def run(self):
        """Run all steps; return whether no failure was found."""
        self._start_entries()
        for number in range(CALLERS):
            place = self.places[number % len(self.places)]
            self._threads.append(eventlet.spawn(self._call, place))
        eventlet.sleep(PHASE_S)
        self._send_ahead()
        self._change_configuration()
        self._evacuate()
        self._lose_answers()
        self._lose_store()
        self._kill_and_stop_entries()
        self._is_running = False
        for thread in self._threads:
            thread.wait()
        self._check_bookings()
        return self._report()

    def stop(self):
        """Stop all processes."""
        self.deployment.stop()

    def _log(self, text):
        print(f"{time.monotonic() - self._started_s:6.1f} s  {text}", flush=True)

    def _record_failure(self, is_failure, text):
        if is_failure:
            self.failures.append(text)
            self._log(f"WRONG: {text}")

    # Steps.

    def _start_entries(self):
        started = [
            self.deployment.start_entry_process(f"{place}-e{number}", place)
            for place in self.places
            for number in (1, 2)
        ]
        for entry in started:
            entry.wait_ready()
        self._log(f"{len(started)} entries are ready")

    def _send_ahead(self):
        """Send several reads on one connection before the first is answered."""
        entry = self.random.choice(self.deployment.entries)
        endpoints = self.deployment.endpoint_by_id.values()
        usual_s = {one.id: one.cold_s for one in endpoints}
        for endpoint in endpoints:
            endpoint.cold_s = AHEAD_RUN_S
        ids = [f"ahead-{number}" for number in range(AHEAD_READS)]
        began_s = time.monotonic()
        answered = send_ahead(entry, [(one, f"new-{one}") for one in ids])
        took_s = time.monotonic() - began_s
        for endpoint in endpoints:
            endpoint.cold_s = usual_s[endpoint.id]
        self._record_failure(answered != ids, f"reads sent ahead were answered as {answered}")
        is_slow = took_s > AHEAD_READS * AHEAD_RUN_S
        self._record_failure(is_slow, f"{AHEAD_READS} reads sent ahead took {took_s:.1f} s")
        self._log(f"{AHEAD_READS} reads on one connection were answered in {took_s:.1f} s")

    def _change_configuration(self):
        moved = make_configuration(5, make_routes(self.services, self.services[2]))
        self.deployment.rows.put("op", "config", moved)
        eventlet.sleep(IN_FORCE_S)
        before = self._count_runs(lambda one: one.service == self.services[1])
        eventlet.sleep(PHASE_S)
        late = self._count_runs(lambda one: one.service == self.services[1]) - before
        self._record_failure(late, f"{late} bookings went by the old configuration")
        self._log("bookings moved to another service")

    def _evacuate(self):
        place = self.places[0]
        self.deployment.rows.put("op", f"evacuate/{place}", {})
        eventlet.sleep(IN_FORCE_S)
        before = self._count_runs(lambda one: one.place == place)
        eventlet.sleep(PHASE_S)
        late = self._count_runs(lambda one: one.place == place) - before
        self._record_failure(late, f"{late} requests went to servers of an evacuated data centre")
        self.deployment.rows.remove("op", f"evacuate/{place}")
        self._log(f"{place} was evacuated and taken back")

    def _lose_answers(self):
        self.deployment.set_fault("reset", self.services[2], count=4)
        eventlet.sleep(PHASE_S)
        self.deployment.set_fault("")
        self._log("four servers lost all their answers for a while")

    def _lose_store(self):
        self.deployment.rows.is_down = True
        eventlet.sleep(PHASE_S)
        self.deployment.rows.is_down = False
        self.deployment.rows.drop_history()
        self._log("the store was away and forgot its history")

    def _kill_and_stop_entries(self):
        killed, stopped = self.deployment.entries[1], self.deployment.entries[3]
        killed.kill()
        self.deployment.start_entry(f"{killed.name}-again", killed.place)
        self._log(f"{killed.name} was killed and replaced")
        stopped.terminate()
        limit = time.monotonic() + STOP_LIMIT_S
        while stopped.child.poll() is None and time.monotonic() < limit:
            eventlet.sleep(0.05)
        status = stopped.child.poll()
        self._record_failure(status != 0, f"{stopped.name} ended with status {status}")
        self._log(f"{stopped.name} was stopped under load")
        eventlet.sleep(PHASE_S)

    def _count_runs(self, matches):
        endpoints = self.deployment.endpoint_by_id.values()
        return sum(one.runs.total() for one in endpoints if matches(one))

    # Callers.

    def _call(self, place):
        addresses, lookup_expires_s = [], 0.0
        while self._is_running:
            if time.monotonic() >= lookup_expires_s:
                addresses, lookup_expires_s = (
                    self._look_up(place) or addresses,
                    time.monotonic() + 2.0,
                )
            kind = self.random.choices(("read", "book", "file"), (6, 3, 1))[0]
            self._send(kind, addresses)
            eventlet.sleep(self.random.expovariate(1 / THINK_S))

    def _look_up(self, place):
        region = self.deployment.region_by_place[place]
        entries = [one for one in self.deployment.entries if one.child.poll() is None]
        entry = self.random.choice(entries)
        try:
            path = f"/resolve?name=h&region={region}&zone={place}"
            status, _, body = entry.get("lookup", path)
        except (OSError, HTTPException):
            self.counts["look-ups failed"] += 1
            return None
        return json.loads(body)["addresses"] if status == 200 else None

    def _send(self, kind, addresses):
        """Send a request, with retries unless it is a booking that may have run."""
        by_address = {one.address["caller"]: one for one in self.deployment.entries}
        object_name = self.random.randrange(OBJECTS)
        outcome = "unknown"
        for _ in range(MAX_ATTEMPTS):
            entry = by_address[self.random.choice(addresses)]
            request_id = f"{kind}-{next(self._numbers)}"
            outcome = self._attempt(entry, kind, request_id, object_name)
            if kind == "book":
                self._bookings[request_id] = outcome
            if outcome == "whole" or (kind == "book" and outcome == "unknown"):
                break
            eventlet.sleep(THINK_S)
        self.counts[outcome] += 1

    def _attempt(self, entry, kind, request_id, object_name):
        method = "POST" if kind == "book" else "GET"
        path = f"/{kind}/{object_name}"
        try:
            status, headers, body = entry.request(request_id, method, path, str(object_name))
        except ConnectionRefusedError:
            return "not run"
        except (OSError, HTTPException):
            return "unknown"
        if status in NOT_RUN_STATUSES:
            return "not run"
        if status != 200:
            return "unknown"
        server = headers.get("Response-Seal", "").removeprefix("seal-")
        expected = f"{server} {method} {path} HTTP/1.1 {1 if kind == 'book' else 0}"
        is_own = headers.get("Attempt-Id") == request_id and body.decode() == expected
        self._record_failure(not is_own, f"{request_id} got {body[:80]!r}")
        return "whole"

    # Checks and report.

    def _check_bookings(self):
        runs_by_outcome = {"whole": (1,), "not run": (0,), "unknown": (0, 1)}
        for request_id, outcome in self._bookings.items():
            runs = self.deployment.runs(request_id)
            is_failure = runs not in runs_by_outcome[outcome]
            self._record_failure(
                is_failure, f"{request_id} ended as {outcome} and ran {runs} times"
            )

    def _report(self):
        counts = self.counts
        total = counts["whole"] + counts["not run"] + counts["unknown"]
        print(
            f"demo on the platform: {total} requests, {counts['whole']} whole answers, "
            f"{counts['not run']} refused as not run, {counts['unknown']} of unknown end, "
            f"{len(self.failures)} wrong"
        )
        return not self.failures and counts["whole"] > 0


def main():
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="carrick", choices=("carrick", "bulwagan"))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    # Limits the run time even if a step hangs; the children end with this process.
    signal.alarm(DEMO_LIMIT_S)
    demo = PlatformDemo(options.deployment, options.seed)
    try:
        has_succeeded = demo.run()
    except RuntimeError as error:
        print(f"demo: {error}", file=sys.stderr)
        has_succeeded = False
    finally:
        demo.stop()
    sys.exit(0 if has_succeeded else 1)


if __name__ == "__main__":
    main()
