"""A caller that follows the guide for callers and verifies every answer."""

import http.client
import json
import time
from collections import Counter, deque
from enum import Enum
from urllib.parse import urlencode

import eventlet
from attrs import Factory, define, evolve, field, frozen

from figfold.core.codes import Outcome
from standins.answers import find_body_error, sha256

LOOKUP_TIMEOUT_S = 3
ANSWER_TIMEOUT_S = 40
MAX_ATTEMPTS = 3
MAX_WRONG_EXAMPLES = 20
HTTP_OK = 200
IDLE_CONNECTION_S = 5


class Verdict(Enum):
    """Result of an attempt, or of a whole request, as its caller sees it."""

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    UNREACHABLE = "unreachable"
    # The entry closed a reused connection, perhaps while the request was being sent.
    DROPPED = "dropped"


@frozen
class Target:
    """An entry that requests can be sent to."""

    name: str
    place: str


@frozen
class Work:
    """A request to a service that a caller has to send."""

    service: str
    method: str
    path: str
    body: bytes = b""
    key: str = ""
    headers: tuple[tuple[str, str], ...] = ()


@frozen
class AttemptResult:
    """Result of one attempt: its verdict, and the entries that a refusal names."""

    verdict: Verdict
    code: int = 0
    targets: tuple[Target, ...] = ()
    note: str = ""


@define
class Tally:
    """Counts of results, shared by several callers.

    Attributes
    ----------
    not_run_nonces : set[str]
        Nonces of attempts that were reported as not run.
    dropped_nonces : set[str]
        Nonces of reads whose reused connection was closed before an answer.
    ran_keys : set[str]
        Idempotency keys of bookings that were answered completely.
    seconds_by_service : dict[str, list[float]]
        Times from the first attempt to the complete answer.
    """

    count_by_verdict: Counter = Factory(Counter)
    count_by_code: Counter = Factory(Counter)
    count_by_place: Counter = Factory(Counter)
    not_run_nonces: set[str] = Factory(set)
    dropped_nonces: set[str] = Factory(set)
    ran_keys: set[str] = Factory(set)
    seconds_by_service: dict[str, list[float]] = Factory(dict)
    wrong_examples: list[str] = Factory(list)

    def add(self, work, verdict, seconds):
        """Count a finished request."""
        self.count_by_verdict[verdict] += 1
        if verdict is not Verdict.WHOLE:
            return
        self.seconds_by_service.setdefault(work.service, []).append(seconds)
        if work.key:
            self.ran_keys.add(work.key)

    def add_attempt(self, attempt, work, target, nonce):
        """Count an attempt, and record what is compared with the servers' records later."""
        self.count_by_code[attempt.code] += 1
        if attempt.verdict is Verdict.NOT_RUN:
            self.not_run_nonces.add(nonce)
        if attempt.verdict is Verdict.DROPPED and not work.key:
            self.dropped_nonces.add(nonce)
        if attempt.verdict is Verdict.WHOLE:
            self.count_by_place[target.place] += 1
        if attempt.verdict is Verdict.WRONG and len(self.wrong_examples) < MAX_WRONG_EXAMPLES:
            self.wrong_examples.append(
                f"{work.service} {work.method} {work.path} at {target.name}: {attempt.note}"
            )


@define
class ConnectionPool:
    """Idle connections of one caller by entry."""

    idle_by_name: dict[str, deque] = Factory(dict)

    def acquire(self, name, address):
        """Return a connection and whether it was used before."""
        idle = self.idle_by_name.setdefault(name, deque())
        while idle:
            connection, used_at = idle.pop()
            if time.monotonic() - used_at < IDLE_CONNECTION_S:
                return connection, True
            connection.close()
        host, port = address.rsplit(":", 1)
        return http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_S), False

    def discard(self, name):
        """Close all idle connections to an entry."""
        idle = self.idle_by_name.pop(name, deque())
        for connection, _ in idle:
            connection.close()

    def release(self, name, connection):
        """Return a connection whose answer was read completely to the pool."""
        self.idle_by_name.setdefault(name, deque()).append((connection, time.monotonic()))


@define(eq=False)
class Caller:
    """One caller with its cache of look-up results.

    Attributes
    ----------
    addresses : callable
        Returns the address of each entry by name.
    delay_s : callable
        Returns the one-way delay to a place in seconds.
    """

    name: str
    region: str
    places: list[str]
    addresses: object
    delay_s: object
    random: object
    tally: Tally
    connections: ConnectionPool = field(factory=ConnectionPool)
    _lookup_by_service: dict = field(factory=dict)
    _nonces: int = 0

    # Look-ups.

    def look_up(self, service):
        """Return the entries to use for a service, from the cache until it expires."""
        cached = self._lookup_by_service.get(service)
        if cached and time.monotonic() < cached[1]:
            return cached[0]
        names = list(self.addresses())
        self.random.shuffle(names)
        # Entries in the caller's own region first.
        names.sort(key=lambda name: name.rsplit("-", 1)[0] not in self.places)
        for name in names[:MAX_ATTEMPTS]:
            answer = self._request_lookup(name, service)
            if answer:
                targets = tuple(Target(e["name"], e["place"]) for e in answer["entries"])
                until = time.monotonic() + answer["ttl_ms"] / 1000
                self._lookup_by_service[service] = (targets, until)
                return targets
        return ()

    def _request_lookup(self, name, service):
        query = urlencode({"service": service, "caller": self.name, "region": self.region})
        address = self.addresses()[name]
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=LOOKUP_TIMEOUT_S)
        delay_s = self.delay_s(name.rsplit("-", 1)[0])
        try:
            eventlet.sleep(delay_s)
            connection.request("GET", f"/v1/lookup?{query}")
            answer = connection.getresponse()
            value = json.loads(answer.read())
            eventlet.sleep(delay_s)
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()
        return value if answer.status == HTTP_OK else None

    # Requests.

    def send(self, work):
        """Send a request, with retries at other entries, and return its verdict."""
        started = time.monotonic()
        verdict = self._send_with_retries(work)
        self.tally.add(work, verdict, time.monotonic() - started)
        return verdict

    def _send_with_retries(self, work):
        targets = list(self.look_up(work.service))
        tried = set()
        verdict = Verdict.UNREACHABLE
        nonce = self._next_nonce()
        while len(tried) < MAX_ATTEMPTS:
            target = self._next_target(work, targets, tried)
            if target is None:
                break
            attempt = self._attempt(work, target, nonce)
            self.tally.add_attempt(attempt, work, target, nonce)
            if attempt.verdict in (Verdict.WHOLE, Verdict.WRONG):
                return attempt.verdict
            if attempt.verdict is not Verdict.DROPPED:
                tried.add(target.name)
            verdict = _combine_verdicts(verdict, attempt.verdict)
            targets = [*attempt.targets, *targets]
            if verdict is Verdict.UNKNOWN and not _is_retryable(work):
                break
            # A booking that may have run is retried with the same nonce.
            nonce = nonce if work.key and verdict is Verdict.UNKNOWN else self._next_nonce()
        self._lookup_by_service.pop(work.service, None)
        return verdict

    def _next_target(self, work, targets, tried):
        """Return an entry that was not tried yet, with a new look-up if all were tried."""
        fresh = [target for target in targets if target.name not in tried]
        if not fresh and tried:
            self._lookup_by_service.pop(work.service, None)
            fresh = [t for t in self.look_up(work.service) if t.name not in tried]
        return fresh[0] if fresh else None

    def _next_nonce(self):
        self._nonces += 1
        return f"{self.name}-{self._nonces}"

    def _attempt(self, work, target, nonce):
        address = self.addresses()[target.name]
        connection, was_used = self.connections.acquire(target.name, address)
        delay_s = self.delay_s(target.place)
        eventlet.sleep(delay_s)
        attempt = self._exchange(connection, work, target, nonce)
        if attempt.verdict is Verdict.UNKNOWN and not attempt.code and was_used:
            attempt = evolve(attempt, verdict=Verdict.DROPPED)
            self.connections.discard(target.name)
        eventlet.sleep(delay_s)
        return attempt

    def _exchange(self, connection, work, target, nonce):
        headers = {"Figfold-Nonce": nonce} | dict(work.headers)
        if work.key:
            headers["Idempotency-Key"] = work.key
        path = f"/s/{work.service}{work.path}"
        try:
            if connection.sock is None:
                connection.connect()
        except OSError as error:
            return AttemptResult(Verdict.UNREACHABLE, note=repr(error))
        try:
            connection.request(work.method, path, work.body or None, headers)
            answer = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return AttemptResult(Verdict.UNKNOWN, note=repr(error))
        try:
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return AttemptResult(Verdict.WRONG, note=f"partial answer: {error!r}")
        self._release_connection(connection, answer, target)
        return classify_answer(work, answer, body, nonce)

    def _release_connection(self, connection, answer, target):
        if answer.will_close:
            connection.close()
        else:
            self.connections.release(target.name, connection)


def _is_retryable(work):
    return bool(work.key) or work.method in ("GET", "HEAD")


def _combine_verdicts(before, now):
    """Combine the verdicts of two attempts of a request; unknown takes precedence."""
    if {Verdict.UNKNOWN, Verdict.DROPPED} & {before, now}:
        return Verdict.UNKNOWN
    return Verdict.NOT_RUN if Verdict.NOT_RUN in (before, now) else now


def classify_answer(work, answer, body, nonce):
    """Return the result of an attempt from its answer (status and headers) and body."""
    outcome = answer.getheader("Figfold-Outcome", "")
    code_text = answer.getheader("Figfold-Code", "0")
    code = int(code_text) if code_text.isdecimal() else -1
    if code == 0 and answer.status == HTTP_OK:
        answer_error = _find_answer_error(work, body, nonce)
        if outcome != Outcome.RAN.value:
            answer_error = answer_error or f"outcome {outcome!r} of a whole answer"
        return AttemptResult(Verdict.WRONG if answer_error else Verdict.WHOLE, note=answer_error)
    if code <= 0:
        return AttemptResult(Verdict.WRONG, code, note=f"status {answer.status} without a code")
    return evolve(_classify_refusal(body, code), code=code)


def _find_answer_error(work, body, nonce):
    expected = {
        "service": work.service,
        "path": work.path,
        "method": work.method,
        "key": work.key,
        "digest": sha256(work.body),
        "nonce": nonce,
    }
    return find_body_error(body, expected)


def _classify_refusal(body, code):
    try:
        value = json.loads(body)
        targets = tuple(Target(e["name"], e["place"]) for e in value["entries"])
        verdict_by_outcome = {
            Outcome.NOT_RUN.value: Verdict.NOT_RUN,
            Outcome.UNKNOWN.value: Verdict.UNKNOWN,
            # The request ran, but its answer is no longer stored.
            Outcome.RAN.value: Verdict.UNKNOWN,
        }
        return AttemptResult(verdict_by_outcome[value["outcome"]], targets=targets)
    except (KeyError, TypeError, ValueError) as error:
        return AttemptResult(Verdict.WRONG, note=f"malformed refusal {code}: {error!r}")
