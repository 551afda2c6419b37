"""Seeded soak of real entries: servers leave while entries stop, end, restart and reload.

Servers also announce in their answers that they leave, name limits, ask for pauses, are slow, write
refusals twice, end within the head of an answer and send answers that HTTP does not allow. Another
writer leaves rows among theirs that name no server, and overwrites rows of servers that are up.

Callers may belong to organisations, whose API keys are withdrawn, moved to others, and dropped
with all organisations for a while. Their requests carry keys in force, former ones, unknown ones or
none, on routes that need a key and on open ones. One organisation sends more than its limit.

Callers use their open connections until these are closed. Signals, restarts, changes of the
configuration and outages of the store come in series and overlap.
"""

import json
import re
import sys
import time
from collections import Counter, defaultdict
from functools import partial
from math import inf
from random import Random

import eventlet
from attrs import Factory, define, field
from eventlet.green.http import client as green_client

from bench.platform_demo import send_ahead
from bench.platform_deployment import HOST, PlatformDeployment, ServiceServers, make_configuration
from standins.broken_answers import MAKERS, pick_answer
from test.soak_keys import UNKNOWN_KEY, KeyLedger, SentRequest

REGION_BY_PLACE = {"bne-north": "bne", "bne-south": "bne", "tsv-port": "tsv"}
# Bounds of the platform's rules, in seconds.
DRAIN_S = 2.5
STABLE_WINDOW_S = 4.0
LOOKUP_S = STABLE_WINDOW_S + 3.0
# An entry answers that it is not ready from the SIGTERM on; this is for the signal to arrive.
NOT_READY_S = 0.5
GRACE_S = 2.0  # Of the entries of this deployment.
PAUSE_S = 0.02  # Of a caller between two requests.
CALL_TIMEOUT_S = 4.0
MIN_SERVERS_PER_SERVICE = 6
# Bounds of the rules on organisations.
ORGANISATIONS = 4
LIMITED_ORGANISATION = "o1"
RATE_PER_S = 6
BURST = 6
QUOTA_WINDOW_S = 5.0
QUOTA_FACTOR = 1.1
QUOTA_SLACK = 20
REVOCATION_BOUND_S = 5.0
# Time for which the organisations are dropped.
DROPPED_RANGE_S = (1.0, 3.0)
# Bounds of the rules on what servers state in their answers.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_S = 4.0
TOLD_S = 0.5
REQUESTS_IN_PAUSE = 2
SLOW_RUN_S = 1.2
FIRST_NOTICES_S = 2.0
ODD_ROW_IDS = 30
# Contents of rows that another writer leaves among those of the servers.
ODD_CONTENTS = (
    b"[" * 20_000 + b"]" * 20_000,
    b'{"status": ' * 500 + b"{}" + b"}" * 500,
    b"\xff\x00",
    b"null",
    b"7",
    b'{"info": [], "status": {}}',
)
ODD_FIELDS = (
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.1:" + "1" * 5000},
    {"address": "server-1:80"},
    {"address": "127.0.0.1:\u00b2"},
    {"born": 10**30},
    {"born": 10**400},
    {"info": {"service": "stockview", "zone": "bne-north", "slots": 10**30, "version": "v"}},
    {"info": {"service": "stockview", "zone": "\ud800", "slots": 3, "version": "v"}},
    {"status": {"state": "ready", "sequence": 1, "coldRemainingS": 10**400}},
    {"status": {"state": "elsewhere", "sequence": 1, "coldRemainingS": 0}},
)
# One of so many callers sends several reads before the first is answered.
AHEAD_CALLERS = 4
AHEAD_READS = 3
# Results of a call without a status.
CLOSED = 0
TIMED_OUT = -1
ANSWER_OPEN = -2
REFUSALS = frozenset({408, 421, 429, 503})


def _configuration(version, organisations=None):
    reads = {"kind": "safe", "timeoutS": 1.5, "service": "stockview", "prefix": "/read/"}
    books = {"kind": "non_idempotent", "timeoutS": 1.5, "service": "cutdesk", "prefix": "/book/"}
    open_routes = {
        f"open-{name}": route | {"prefix": f"/open{route['prefix']}", "allowAnonymous": True}
        for name, route in (("read", reads), ("book", books))
    }
    return make_configuration(version, {"read": reads, "book": books} | open_routes, organisations)


@define(eq=False)
class ProcessSoak:
    """One run against entries as processes.

    Attributes
    ----------
    disturbed_s_by_entry : dict[str, float]
        When an entry was last disturbed.
    store_outages : list[list[float]]
        Start and end of each outage of the store.
    ended_s_by_address : dict[str, float]
        When the entry with this caller address ended, while it has not started again.
    left_s_by_server : dict[str, float]
        When the store accepted that a server leaves.
    announced : set[str]
        Servers that state in their answers that they leave.
    broken_by_server : dict[str, Counter]
        Number of broken answers of a server, by the id of the request.
    limit_spans : list[tuple[Endpoint, float, float, float]]
        Server, start, end and limit of each time for which a server names a limit.
    """

    deployment: PlatformDeployment
    seed: int
    duration_s: float
    # None without organisations.
    keys: KeyLedger | None = None
    sent_by_request: dict = Factory(dict)
    random: Random = field(init=False)
    entry_by_name: dict = Factory(dict)
    disturbed_s_by_entry: dict = Factory(dict)
    store_outages: list = Factory(list)
    ended_s_by_address: dict = Factory(dict)
    left_s_by_server: dict = Factory(dict)
    announced: set = Factory(set)
    broken_by_server: dict = field(factory=partial(defaultdict, Counter))
    limit_spans: list = Factory(list)
    entry_options: dict = Factory(dict)
    calls: list = Factory(list)
    violations: list = Factory(list)
    counts: Counter = field(factory=Counter)
    _ends_s: float = 0.0
    _version: int = 1
    _added: int = 0
    _stopping: set = Factory(set)
    _restarts: int = 0
    # Every run checks this limit, so that its server does not leave.
    _first_limited: object = None

    def __attrs_post_init__(self):
        self.random = self._random_of("events")

    def _random_of(self, name):
        """Return the random source of a thread, so that others draw nothing from it."""
        return Random(f"{self.seed}/{name}")

    @classmethod
    def from_sizes(
        cls, seed, duration_s, entries_per_place, servers_per_place, has_organisations=False
    ):
        """Start the deployment of a run."""
        servers = [
            ServiceServers(service, place, servers_per_place)
            for service in ("stockview", "cutdesk")
            for place in REGION_BY_PLACE
        ]
        deployment = PlatformDeployment(REGION_BY_PLACE, servers, _configuration(1))
        soak = cls(deployment, seed, duration_s)
        options = {}
        if has_organisations:
            names = [f"o{number}" for number in range(ORGANISATIONS)]
            soak.keys = KeyLedger.from_names(names)
            options = {"revocation_bound_s": REVOCATION_BOUND_S}
            soak._write_configuration()
        for place in REGION_BY_PLACE:
            for number in range(entries_per_place):
                name = f"{place}-{number}"
                soak.entry_by_name[name] = deployment.start_entry_process(name, place, **options)
        soak.entry_options = options
        for entry in soak.entry_by_name.values():
            entry.wait_ready()
        return soak

    def run(self, callers):
        """Play the run; return its violations."""
        self._ends_s = time.monotonic() + self.duration_s
        threads = [eventlet.spawn(self._call_repeatedly, number) for number in range(callers)]
        threads.append(eventlet.spawn(self._watch_lookups))
        self._play_events(time.monotonic())
        for thread in threads:
            thread.wait()
        self._check_calls()
        self._check_notices()
        self._check_organisations()
        self._check_processes()
        self.deployment.stop()
        return self.violations

    # Events.

    def _play_events(self, began_s):
        """Play the events at times that depend on the seed alone."""
        # Every run has these, at a time when callers have found their servers.
        first = [self._limit, self._pause, self._announce, self._write_all_odd_rows]
        first += [self._send_broken] * 3
        if self.keys is not None:
            first += [self._withdraw_key, self._move_key, self._kill, self._drop_keys]
        after_s = 0.0
        while after_s < self.duration_s:
            eventlet.sleep(max(0.0, began_s + after_s - time.monotonic()))
            while first and after_s >= FIRST_NOTICES_S:
                self._play(first.pop(0))
            self._play(self._draw_event())
            after_s += self.random.uniform(0.05, 0.6)

    def _draw_event(self):
        weight_by_event = {
            self._leave: 8,
            self._add_server: 6,
            self._terminate: 4,
            self._kill: 4,
            self._hang_up: 3,
            self._change_configuration: 3,
            self._stop_store: 0.5,
            self._drop_history: 1,
            self._announce: 1,
            self._limit: 2,
            self._pause: 3,
            self._break_answers: 3,
            self._send_broken: 4,
            self._slow_down: 2,
            self._write_odd_row: 6,
            self._remove_odd_row: 2,
        }
        if self.keys is not None:
            weight_by_event |= {self._withdraw_key: 4, self._move_key: 4, self._drop_keys: 1}
        (event,) = self.random.choices(list(weight_by_event), list(weight_by_event.values()))
        return event

    def _play(self, event):
        self.counts[event.__name__.strip("_")] += 1
        event()

    def _disturb(self, name):
        self.disturbed_s_by_entry[name] = time.monotonic()

    def _staying(self):
        """Return the servers that neither leave nor announce it."""
        return [
            one
            for one in self.deployment.endpoint_by_id.values()
            if one.id not in self.left_s_by_server and one.id not in self.announced
        ]

    def _pick_leaving(self):
        staying = self._staying()
        by_service = Counter(one.service for one in staying)
        candidates = [
            one
            for one in staying
            if by_service[one.service] > MIN_SERVERS_PER_SERVICE and one is not self._first_limited
        ]
        return self.random.choice(candidates) if candidates else None

    def _leave(self):
        endpoint = None if self.deployment.rows.is_down else self._pick_leaving()
        if endpoint is None:
            return
        if self.random.random() < 0.5:
            endpoint.state = "draining"
            self.deployment.rows.put("servers", endpoint.id, endpoint.row())
        else:
            self.deployment.remove_endpoint(endpoint.id)
        self.left_s_by_server[endpoint.id] = time.monotonic()

    def _announce(self):
        endpoint = self._pick_leaving()
        if endpoint is not None:
            self.announced.add(endpoint.id)
            endpoint.announces_leaving = True

    def _limit(self):
        endpoint = max(self._staying(), key=lambda one: len(one.heads))
        if endpoint.limit_per_s is None:
            endpoint.limit_per_s = self.random.choice((0.5, 1.0, 2.0, 4.0))
            duration_s = self.random.uniform(6.0, 14.0)
            began_s = time.monotonic()
            span = (endpoint, began_s, began_s + duration_s, endpoint.limit_per_s)
            self.limit_spans.append(span)
            self._first_limited = self._first_limited or endpoint
            eventlet.spawn_after(duration_s, setattr, endpoint, "limit_per_s", None)

    def _pause(self):
        endpoint = max(self._staying(), key=lambda one: len(one.heads))
        endpoint.pause_s = self.random.uniform(0.6, 3.0)
        self._set_fault(endpoint, "shed", 0.3)

    def _break_answers(self):
        endpoint = self.random.choice(self._staying())
        self._set_fault(
            endpoint, self.random.choice(("shed-twice", "cut-head", "extra", "late-refusal")), 0.5
        )

    def _send_broken(self):
        """Make a server send answers for a while that HTTP does not allow."""
        endpoint = max(self.random.sample(self._staying(), 3), key=lambda one: len(one.heads))
        number = self.random.randrange(10_000)

        def make_broken(fields, body):
            # Their kinds take turns, so that a run has all of them.
            make_answers = MAKERS[self.counts["broken answers"] % len(MAKERS)]
            self.counts["broken answers"] += 1
            request_id = fields[0].decode().removeprefix("Attempt-Id: ")
            self.broken_by_server[endpoint.id][request_id] += 1
            return pick_answer(make_answers, number)(fields, body)

        endpoint.make_broken = make_broken
        eventlet.spawn_after(0.5, setattr, endpoint, "make_broken", None)

    def _set_fault(self, endpoint, fault, duration_s):
        endpoint.fault = fault
        eventlet.spawn_after(duration_s, setattr, endpoint, "fault", "")

    def _slow_down(self):
        endpoint = self.random.choice(self._staying())
        for name in ("cold_s", "warm_s"):
            eventlet.spawn_after(2.0, setattr, endpoint, name, getattr(endpoint, name))
            setattr(endpoint, name, SLOW_RUN_S)

    def _odd_contents(self):
        """Return the contents of all odd rows, most of them of a server's row with an odd field."""
        row = self.random.choice(self._staying()).row()
        return [*ODD_CONTENTS, *(json.dumps(row | one).encode() for one in ODD_FIELDS)]

    def _write_all_odd_rows(self):
        for number, content in enumerate(self._odd_contents()):
            self.deployment.rows.put_content("servers", f"odd-{number}", content)

    def _write_odd_row(self):
        """Write an odd row, at times over that of a server, which writes its own again soon."""
        server_id = f"odd-{self.random.randrange(ODD_ROW_IDS)}"
        if self.random.random() < 0.3:
            server_id = self.random.choice(self._staying()).id
        content = self.random.choice(self._odd_contents())
        self.deployment.rows.put_content("servers", server_id, content)

    def _remove_odd_row(self):
        self.deployment.rows.remove("servers", f"odd-{self.random.randrange(ODD_ROW_IDS)}")

    def _add_server(self):
        if self.deployment.rows.is_down:
            return
        self._added += 1
        service = self.random.choice(("stockview", "cutdesk"))
        place = self.random.choice(sorted(REGION_BY_PLACE))
        self.deployment.add_endpoint(f"new-{self._added}", service, place)

    def _pick_entry(self):
        running = sorted(set(self.entry_by_name) - self._stopping)
        if 2 * len(running) <= len(self.entry_by_name):
            return None
        # The entry with the lowest name reads the store for its region.
        return running[0] if self.random.random() < 0.3 else self.random.choice(running)

    def _terminate(self):
        name = self._pick_entry()
        if name is not None:
            self._stopping.add(name)
            self._disturb(name)
            eventlet.spawn_n(self._stop_and_restart, name)

    def _stop_and_restart(self, name):
        entry = self.entry_by_name[name]
        entry.terminate()
        began_s = time.monotonic()
        source = self._random_of_restart()
        while entry.child.poll() is None:
            if source.random() < 0.02:
                entry.hang_up()
            if source.random() < 0.02:
                entry.terminate()
            stopped_s = time.monotonic() - began_s
            self.counts["ready asked"] += stopped_s > NOT_READY_S
            if entry.is_ready() and stopped_s > NOT_READY_S:
                self.violations.append(f"{name} is ready {stopped_s:.1f} s after SIGTERM")
            if stopped_s > GRACE_S + 1.0:
                self.violations.append(f"{name} still runs {stopped_s:.1f} s after SIGTERM")
                break
            eventlet.sleep(0.1)
        self._restart(name)

    def _kill(self):
        name = self._pick_entry()
        if name is not None:
            self._stopping.add(name)
            self._disturb(name)
            eventlet.spawn_n(self._restart, name)

    def _restart(self, name):
        entry = self.entry_by_name[name]
        entry.kill()
        self.ended_s_by_address[entry.address["caller"]] = time.monotonic()
        self._disturb(name)
        eventlet.sleep(self._random_of_restart().choice((0.0, 0.3, 10.0)))
        if time.monotonic() >= self._ends_s:
            return
        self.entry_by_name[name] = self.deployment.start_entry_process(
            name, entry.place, **self.entry_options
        )
        self._disturb(name)
        self._stopping.discard(name)

    def _random_of_restart(self):
        self._restarts += 1
        return self._random_of(f"restart-{self._restarts}")

    def _hang_up(self):
        name = self._pick_entry()
        # Until its handlers are set, a signal ends a process that is starting.
        if name is not None and self.entry_by_name[name].is_ready():
            for _ in range(self.random.randrange(1, 4)):
                self.entry_by_name[name].hang_up()
            self._disturb(name)

    def _change_configuration(self):
        if not self.deployment.rows.is_down:
            self._version += self.random.randrange(1, 4)
            self._write_configuration()

    def _write_configuration(self):
        if self.keys is None:
            self.deployment.rows.put("op", "config", _configuration(self._version))
            return
        organisations = {
            name: {"apiKeys": list(keys)} for name, keys in self.keys.keys_by_organisation.items()
        }
        organisations[LIMITED_ORGANISATION] |= {"ratePerS": RATE_PER_S, "burst": BURST}
        value = _configuration(self._version, None if self.keys.is_dropped else organisations)
        self.keys.record_write(lambda: self.deployment.rows.put("op", "config", value))

    def _change_keys(self, change):
        if not self.deployment.rows.is_down:
            change()
            self._version += 1
            self._write_configuration()

    def _withdraw_key(self):
        self._change_keys(lambda: self.keys.withdraw(self.random))

    def _move_key(self):
        self._change_keys(lambda: self.keys.move(self.random))

    def _drop_keys(self):
        """Drop all organisations for a while."""
        if self.keys.is_dropped or self.deployment.rows.is_down:
            return
        self._change_keys(lambda: setattr(self.keys, "is_dropped", True))
        eventlet.spawn_after(self.random.uniform(*DROPPED_RANGE_S), self._restore_keys)

    def _restore_keys(self):
        self.keys.is_dropped = False
        self._version += 1
        self._write_configuration()

    def _stop_store(self):
        if not self.deployment.rows.is_down:
            self.deployment.rows.is_down = True
            self.store_outages.append([time.monotonic(), inf])
            eventlet.spawn_after(self.random.uniform(0.3, 2.0), self._restart_store)

    def _restart_store(self):
        self.deployment.rows.is_down = False
        self.store_outages[-1][1] = time.monotonic()

    def _drop_history(self):
        self.deployment.rows.drop_history()

    # Callers.

    def _call_repeatedly(self, number):
        sent, connection, entry = 0, None, None
        source = self._random_of(f"caller-{number}")
        while time.monotonic() < self._ends_s:
            if number % AHEAD_CALLERS == 0 and self.keys is None:
                sent += 1
                self._call_ahead(f"a{number}-{sent}", source)
                continue
            if connection is None:
                entry = source.choice(sorted(self.entry_by_name.values(), key=_name_of))
                connection = green_client.HTTPConnection(
                    entry.address["caller"], timeout=CALL_TIMEOUT_S
                )
            sent += 1
            key = str(source.randrange(40))
            request_id = f"c{number}-{sent}"
            self._draw_key(request_id, number, source)
            is_open = self._call(connection, entry, request_id, key, sent % 3 == 0)
            if not is_open:
                connection.close()
                connection = None
            eventlet.sleep(PAUSE_S)

    def _draw_key(self, request_id, caller, source):
        if self.keys is not None:
            key = self.keys.draw_key(source, f"o{caller % ORGANISATIONS}")
            is_open = source.random() < 0.5
            self.sent_by_request[request_id] = SentRequest(key, is_open, time.monotonic())

    def _call_ahead(self, name, source):
        """Send several reads on a new connection before the first is answered."""
        entry = source.choice(sorted(self.entry_by_name.values(), key=_name_of))
        ids = [f"{name}-{number}" for number in range(AHEAD_READS)]
        try:
            answered = send_ahead(entry, [(one, str(source.randrange(40))) for one in ids])
        except eventlet.Timeout:
            self.violations.append(f"{entry.name} did not answer {ids} in {CALL_TIMEOUT_S} s")
            answered = [None] * AHEAD_READS
        except OSError:
            # The entry has ended, or its connections have.
            answered = [None] * AHEAD_READS
        eventlet.sleep(PAUSE_S)
        # What was sent behind an answer that closes the connection may run and get no answer.
        self.calls += [(one, entry, False, ANSWER_OPEN) for one in ids]
        self.counts["no answer ahead"] += answered.count(None)
        for request_id, named in zip(ids, answered, strict=True):
            self.counts["answered ahead"] += named == request_id
            if named not in (None, request_id) and not named.isdigit():
                self.violations.append(f"{request_id} got the answer to {named}")

    def _call(self, connection, entry, request_id, key, is_booking):
        """Send one request; return whether the connection can be used for another one."""
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Affinity-Key": key,
            "Deadline-Ms": "2000",
        }
        method, path = ("POST", "/book/1") if is_booking else ("GET", "/read/1")
        sent = self.sent_by_request.get(request_id)
        if sent is not None:
            headers |= {"Tenant": "forged"} | ({"X-Api-Key": sent.key} if sent.key else {})
            path = f"/open{path}" if sent.is_open else path
        status, is_open = CLOSED, False
        try:
            connection.request(method, path, b"x" if is_booking else None, headers)
            response = connection.getresponse()
            body = response.read()
            status = response.status
            code = json.loads(body)["code"] if status in REFUSALS or status == 401 else 0
            self.counts[f"code {code}"] += bool(code)
            if sent is not None:
                self._check_refusal(request_id, sent, status, code)
            if status == 200 and not self._is_sound(request_id, f"{method} {path}", response, body):
                self.violations.append(f"{request_id} got {body[:80]!r} from {entry.name}")
            is_open = not response.will_close
        except TimeoutError:
            self.violations.append(
                f"{entry.name} did not answer {request_id} in {CALL_TIMEOUT_S} s"
            )
            status = TIMED_OUT
        except (OSError, green_client.HTTPException):
            # A caller sees this when its entry ends, which is checked afterwards.
            self.counts["no answer"] += 1
        self.calls.append((request_id, entry, is_booking, status))
        self.counts[status] += 1
        return is_open

    def _is_sound(self, request_id, request, response, body):
        """Return whether a success is what a server has answered, and no broken answer."""
        server_id = response.headers.get("Response-Seal", "").removeprefix("seal-")
        sent = re.escape(f"{server_id} {request} HTTP/1.1 ") + "[0-9]+"
        if server_id not in self.deployment.endpoint_by_id or not re.fullmatch(sent, body.decode()):
            return False
        runs = self.deployment.endpoint_by_id[server_id].runs[request_id]
        return runs > self.broken_by_server[server_id][request_id]

    def _watch_lookups(self):
        while time.monotonic() < self._ends_s:
            for name, entry in sorted(self.entry_by_name.items()):
                if name in self._stopping or not self._is_calm(name, time.monotonic()):
                    continue
                try:
                    _, _, body = entry.get("lookup", "/resolve?name=h&region=bne&zone=bne-north")
                except OSError:
                    # The entry was ended meanwhile.
                    continue
                for address, ended_s in list(self.ended_s_by_address.items()):
                    ended_for_s = time.monotonic() - ended_s
                    self.counts["ended asked"] += ended_for_s > LOOKUP_S
                    if ended_for_s > LOOKUP_S and f'"{address}"'.encode() in body:
                        self.violations.append(
                            f"{name} names {address}, which ended {ended_for_s:.1f} s ago"
                        )
            eventlet.sleep(0.3)

    # Checks.

    def _is_calm(self, name, at_s):
        return at_s - self.disturbed_s_by_entry.get(name, 0.0) > STABLE_WINDOW_S

    def _check_calls(self):
        for request_id, entry, is_booking, status in self.calls:
            runs = self.deployment.runs(request_id)
            if is_booking and runs > 1:
                self.violations.append(f"booking {request_id} ran {runs} times")
            if is_booking and status in REFUSALS and runs:
                self.violations.append(f"booking {request_id} ran and was answered {status}")
            if status == CLOSED and runs and entry.child.returncode == 0:
                self.violations.append(
                    f"{request_id} ran and {entry.name} closed without an answer"
                )
        for server_id, left_s in self.left_s_by_server.items():
            arrivals = self.deployment.endpoint_by_id[server_id].arrived_s_by_request
            late_s = [
                at_s - left_s
                for at_s in arrivals.values()
                if at_s > left_s + DRAIN_S and self._store_was_calm(at_s)
            ]
            if late_s and self._store_was_calm(left_s):
                self.violations.append(
                    f"{len(late_s)} requests reached {server_id}, the last {max(late_s):.1f} s"
                    " after it left"
                )

    def _check_refusal(self, request_id, sent, status, code):
        """Check that no caller is refused whose key is in force, or who needs none."""
        kind = {"": "no key", UNKNOWN_KEY: "unknown key"}.get(sent.key, "key")
        self.counts[f"{status} for {kind}, {'open' if sent.is_open else 'closed'}"] += 1
        wrong = self.keys.find_wrong_refusal(
            sent, status, code, time.monotonic(), REVOCATION_BOUND_S
        )
        if wrong:
            self.violations.append(f"{request_id} got {wrong}")

    def _check_organisations(self):
        """Check what servers were told, and whose requests they ran."""
        arrivals_s = []
        for endpoint in self.deployment.endpoint_by_id.values():
            for _, headers, _ in endpoint.heads:
                request_id = headers.get("attempt-id")
                if request_id not in self.sent_by_request or not endpoint.runs[request_id]:
                    continue
                arrived_s = endpoint.arrived_s_by_request[request_id]
                wrong = self.keys.find_wrong_run(
                    self.sent_by_request[request_id], headers, arrived_s, REVOCATION_BOUND_S
                )
                if wrong:
                    self.violations.append(f"{request_id} at {endpoint.id}: {wrong}")
                if headers.get("tenant") == LIMITED_ORGANISATION:
                    arrivals_s.append(arrived_s)
        arrivals_s.sort()
        most = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * QUOTA_FACTOR + QUOTA_SLACK
        for start_s in arrivals_s:
            inside = sum(start_s <= one < start_s + QUOTA_WINDOW_S for one in arrivals_s)
            if inside > most:
                self.violations.append(f"{inside} requests of {LIMITED_ORGANISATION} in a window")
                return

    def _check_processes(self):
        for name, entry in self.entry_by_name.items():
            if name not in self._stopping and entry.child.poll() is not None:
                self.violations.append(f"{name} ended by itself")

    def _check_notices(self):
        """Check what entries sent to servers after these had stated something in an answer."""
        entry_by_request = {request_id: entry for request_id, entry, _, _ in self.calls}
        for endpoint in self.deployment.endpoint_by_id.values():
            arrivals_by_entry = {}
            for request_id, at_s in endpoint.arrived_s_by_request.items():
                arrivals_by_entry.setdefault(entry_by_request.get(request_id), []).append(at_s)
            for notice in endpoint.notices:
                arrivals = arrivals_by_entry.get(entry_by_request.get(notice.request_id), [])
                self._check_notice(endpoint, notice, arrivals)
        for endpoint, began_s, ended_s, per_s in self.limit_spans:
            self._check_limit(endpoint, began_s, ended_s, per_s, entry_by_request)

    def _check_notice(self, endpoint, notice, arrivals):
        since_s = notice.at_s + TOLD_S
        if notice.kind == "leaving" and any(one > notice.at_s + DRAIN_S for one in arrivals):
            self.violations.append(f"{endpoint.id} got requests after it had announced its leaving")
        if notice.kind == "pause":
            self.counts["pauses checked"] += 1
            inside = sum(since_s < one < notice.at_s + notice.value for one in arrivals)
            if inside > REQUESTS_IN_PAUSE:
                self.violations.append(f"{endpoint.id} got {inside} requests in a pause")

    def _check_limit(self, endpoint, began_s, ended_s, per_s, entry_by_request):
        told_s = {}
        for notice in endpoint.notices:
            if notice.kind == "limit" and began_s <= notice.at_s <= ended_s:
                told_s.setdefault(entry_by_request.get(notice.request_id), notice.at_s)
        counted = sorted(
            at_s
            for request_id, at_s in endpoint.arrived_s_by_request.items()
            if began_s + STABLE_WINDOW_S <= at_s <= ended_s
            and at_s >= told_s.get(entry_by_request.get(request_id), inf) + TOLD_S
        )
        self.counts["limits checked"] += bool(counted)
        most = LIMIT_FACTOR * LIMIT_WINDOW_S * per_s + LIMIT_SLACK
        for start_s in counted:
            inside = sum(start_s <= one < start_s + LIMIT_WINDOW_S for one in counted)
            if inside > most:
                self.violations.append(f"{endpoint.id} with limit {per_s} got {inside} requests")
                return

    def _store_was_calm(self, at_s):
        return all(
            at_s < began_s or at_s > ended_s + STABLE_WINDOW_S
            for began_s, ended_s in self.store_outages
        )


def _name_of(entry):
    return entry.name


def play(
    seed,
    duration_s=20.0,
    entries_per_place=2,
    servers_per_place=4,
    callers=12,
    has_organisations=False,
):
    """Play the run of a seed; return its violations and the counts of what happened."""
    soak = ProcessSoak.from_sizes(
        seed, duration_s, entries_per_place, servers_per_place, has_organisations
    )
    violations = soak.run(callers)
    return violations, soak.counts


def main(arguments):
    """Play the seeds from the first to the last one given; print each violation.

    The word ``organisations`` among the arguments gives callers API keys.
    """
    has_organisations = "organisations" in arguments
    numbers = [int(one) for one in arguments if one != "organisations"]
    first, last, *sizes = numbers
    failed = 0
    for seed in range(first, last + 1):
        violations, counts = play(seed, *sizes, has_organisations=has_organisations)
        failed += bool(violations)
        print(f"seed {seed}: {len(violations)} violations", dict(counts), flush=True)
        for one in violations[:5]:
            print(f"  {one}", flush=True)
    print(f"{last - first + 1} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
