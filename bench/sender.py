"""Requests of the measured callers: connection pool, cached look-ups and retries."""

import json
import socket
import time
from collections import deque
from urllib.parse import urlencode

import eventlet
from attrs import Factory, define, frozen

from bench.caller import (
    ANSWER_TIMEOUT_S,
    HTTP_OK,
    IDLE_CONNECTION_S,
    MAX_ATTEMPTS,
    Target,
    Verdict,
    classify_answer,
)

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
MIN_DEADLINE_S = 0.05
ANSWER_GRACE_S = 0.2
RETRY_PAUSE_RANGE_S = (0.1, 0.3)
MS_PER_S = 1000
READ_METHODS = frozenset({"GET", "HEAD"})


@frozen
class HttpAnswer:
    """An answer that was read completely."""

    status: int
    header_by_name: dict[str, str]
    body: bytes

    def getheader(self, name, default=""):
        """Return a header's value."""
        return self.header_by_name.get(name.lower(), default)


@define
class SharedConnectionPool:
    """Idle keep-alive connections by address, shared by all callers of a process."""

    idle_by_address: dict[str, deque] = Factory(dict)

    def acquire(self, address):
        """Return a connection and whether it was used before.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        idle = self.idle_by_address.setdefault(address, deque())
        while idle:
            sock, used_at = idle.pop()
            if time.monotonic() - used_at < IDLE_CONNECTION_S:
                return sock, True
            sock.close()
        host, port = address.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, False

    def release(self, address, sock):
        """Return a connection whose answer was read completely to the pool."""
        self.idle_by_address.setdefault(address, deque()).append((sock, time.monotonic()))

    def discard(self, address):
        """Close the idle connections to an address."""
        for sock, _ in self.idle_by_address.pop(address, ()):
            sock.close()

    def exchange(self, address, request, timeout_s):
        """Send the bytes of a request and return its answer.

        Raises
        ------
        OSError
            If no connection can be opened, so nothing was sent.
        BrokenError
            If the connection failed before the answer was complete.
        """
        sock, was_used = self.acquire(address)
        try:
            sock.settimeout(timeout_s)
            sock.sendall(request)
            answer = read_answer(sock)
        except (OSError, ValueError) as error:
            sock.close()
            self.discard(address)
            raise IncompleteAnswerError(was_used) from error
        if answer.getheader("Connection") == "close":
            sock.close()
        else:
            self.release(address, sock)
        return answer


class IncompleteAnswerError(Exception):
    """A connection failed before the answer was complete.

    Attributes
    ----------
    was_used : bool
        Whether the connection had been used before.
    """

    def __init__(self, was_used):
        super().__init__("incomplete answer")
        self.was_used = was_used


def read_answer(sock):
    """Read one answer with a Content-Length from a socket."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(RECEIVE_BYTES)
        if not part:
            raise ValueError("connection closed inside the head")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    header_by_name = {name.lower(): value.strip() for name, value in pairs}
    parts = [body]
    missing_bytes = int(header_by_name["content-length"]) - len(body)
    while missing_bytes > 0:
        part = sock.recv(RECEIVE_BYTES)
        if not part:
            raise ValueError("connection closed inside the body")
        parts.append(part)
        missing_bytes -= len(part)
    return HttpAnswer(int(first.split(" ")[1]), header_by_name, b"".join(parts))


def format_request(method, path, headers, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: bench"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@frozen
class Caller:
    """A caller: its name, its region and the service that it uses."""

    name: str
    region: str
    service: str


@frozen
class AttemptTrace:
    """One attempt of a request, for the report; times in milliseconds.

    Attributes
    ----------
    at_ms : float
        Start of the attempt, relative to the start of the request's first attempt.
    left_ms : float
        Time to the deadline at the start of the attempt; 0 without a deadline.
    """

    at_ms: float
    entry: str
    verdict: str
    code: int
    left_ms: float
    took_ms: float


@define
class RequestResult:
    """Result of a request, the times of its last attempt in milliseconds, and all attempts."""

    verdict: Verdict = Verdict.UNREACHABLE
    code: int = 0
    place: str = ""
    server: str = ""
    exchange_ms: float = 0.0
    run_ms: float = 0.0
    attempts: int = 0
    traces: list[AttemptTrace] = Factory(list)

    def add_trace(self, entry, at_s, left_s, took_s):
        """Record the attempt that has just ended with the current verdict and code."""
        times = (at_s * MS_PER_S, left_s * MS_PER_S, took_s * MS_PER_S)
        at_ms, left_ms, took_ms = (round(ms, 1) for ms in times)
        verdict, code = self.verdict.value, self.code
        self.traces.append(AttemptTrace(at_ms, entry, verdict, code, left_ms, took_ms))


@define
class CallerNetwork:
    """The network as callers see it: addresses of entries, places by region, one-way delays."""

    address_by_entry: dict[str, str]
    places_by_region: dict[str, list[str]]
    one_way_ms: dict[str, float]

    def delay_s(self, region, place):
        """Return the one-way delay between a caller's region and a place in seconds."""
        near = place in self.places_by_region[region]
        far_ms = 0 if near else self.one_way_ms["region"]
        return (self.one_way_ms["client"] + far_ms) / MS_PER_S


@define
class Lookups:
    """Cached look-ups by caller."""

    network: CallerNetwork
    connection_pool: SharedConnectionPool
    random: object
    targets_by_caller: dict[Caller, tuple[Target, ...]] = Factory(dict)
    failures: int = 0

    def targets(self, caller):
        """Return the entries to use, from the cache if possible."""
        return self.targets_by_caller.get(caller) or self.renew(caller)

    def renew(self, caller):
        """Look up at entries of the caller's region, then of others, and update the cache."""
        names = list(self.network.address_by_entry)
        self.random.shuffle(names)
        near = self.network.places_by_region[caller.region]
        names.sort(key=lambda name: name.rsplit("-", 1)[0] not in near)
        # Entries of other regions are tried too, in case the whole region is lost.
        for name in [*names[:MAX_ATTEMPTS], *names[-MAX_ATTEMPTS:]]:
            targets = self._request_lookup(name, caller)
            if targets:
                self.targets_by_caller[caller] = targets
                return targets
        self.failures += 1
        return self.targets_by_caller.get(caller, ())

    def _request_lookup(self, name, caller):
        query = {"service": caller.service, "caller": caller.name, "region": caller.region}
        request = format_request("GET", f"/v1/lookup?{urlencode(query)}", ())
        delay_s = self.network.delay_s(caller.region, name.rsplit("-", 1)[0])
        eventlet.sleep(delay_s)
        try:
            address = self.network.address_by_entry[name]
            answer = self.connection_pool.exchange(address, request, CONNECT_TIMEOUT_S)
        except (OSError, IncompleteAnswerError):
            return ()
        eventlet.sleep(delay_s)
        if answer.status != HTTP_OK:
            return ()
        return tuple(Target(e["name"], e["place"]) for e in json.loads(answer.body)["entries"])


@define
class SystemRoute:
    """Sends requests through the system and follows the guide for callers."""

    lookups: Lookups
    connection_pool: SharedConnectionPool
    fixed_targets: tuple[Target, ...] = ()
    _rotation: int = 0

    def prepare(self, caller):
        """Fill the look-up cache for a caller."""
        self.lookups.renew(caller)

    def send(self, caller, work, deadline_s, name):
        """Send a request, with retries at other entries, and return its result.

        Parameters
        ----------
        deadline_s : float
            Total time that the caller allows; 0 for the deadline of the service.
        name : str
            Prefix of the nonces of this request.
        """
        started = time.monotonic()
        request_result = RequestResult()
        targets = list(self._rotated_targets() or self.lookups.targets(caller))
        tried = set()
        may_have_run = False
        while deadline_s or request_result.attempts < MAX_ATTEMPTS:
            if not any(target.name not in tried for target in targets):
                left_s = deadline_s - (time.monotonic() - started) if deadline_s else 0.0
                targets = self._targets_for_retry(caller, tried, deadline_s, left_s)
            untried = [target for target in targets if target.name not in tried]
            if not untried:
                break
            left_s = deadline_s - (time.monotonic() - started) if deadline_s else 0.0
            if deadline_s and left_s < MIN_DEADLINE_S:
                break
            target = untried[0]
            # A booking keeps its nonce: it may get the stored answer of an earlier attempt.
            nonce = name if work.key else f"{name}-{request_result.attempts}"
            began = time.monotonic()
            request_result.code = 0
            refusal_targets = self._attempt(caller, work, target, left_s, nonce, request_result)
            took_s = time.monotonic() - began
            request_result.add_trace(target.name, began - started, left_s, took_s)
            if request_result.verdict in (Verdict.WHOLE, Verdict.WRONG):
                return request_result
            may_have_run = may_have_run or request_result.verdict in (
                Verdict.UNKNOWN,
                Verdict.DROPPED,
            )
            if request_result.verdict is not Verdict.DROPPED:
                tried.add(target.name)
                self.lookups.targets_by_caller.pop(caller, None)
            if request_result.verdict is Verdict.UNKNOWN and not _is_retryable(work):
                break
            targets = [*refusal_targets, *targets]
        # The refusal of a retry does not show whether an earlier attempt has run.
        request_result.verdict = Verdict.UNKNOWN if may_have_run else request_result.verdict
        return request_result

    def _targets_for_retry(self, caller, tried, deadline_s, left_s):
        """Return entries for a retry after all known ones were tried.

        With a deadline, all entries may be tried again after a pause; none are returned if the
        pause would leave no time for an attempt.
        """
        if self.fixed_targets or not tried:
            return ()
        if deadline_s:
            pause_s = self.lookups.random.uniform(*RETRY_PAUSE_RANGE_S)
            if pause_s + MIN_DEADLINE_S > left_s:
                return ()
            eventlet.sleep(pause_s)
            tried.clear()
        return self.lookups.renew(caller)

    def _rotated_targets(self):
        """Return the fixed targets, rotated by one on each call."""
        self._rotation += 1
        split = self._rotation % max(1, len(self.fixed_targets))
        return (*self.fixed_targets[split:], *self.fixed_targets[:split])

    def _attempt(self, caller, work, target, left_s, nonce, request_result):
        """Make one attempt, record its result and return the entries that a refusal names."""
        address = self.lookups.network.address_by_entry[target.name]
        delay_s = self.lookups.network.delay_s(caller.region, target.place)
        request_result.attempts += 1
        request_result.place = target.place
        headers = work.headers
        if left_s:
            headers = (*headers, ("Figfold-Deadline-Ms", str(int(left_s * MS_PER_S))))
        headers = (*headers, ("Figfold-Nonce", nonce))
        if work.key:
            headers = (*headers, ("Idempotency-Key", work.key))
        path = f"/s/{work.service}{work.path}"
        request = format_request(work.method, path, headers, work.body)
        timeout_s = left_s + ANSWER_GRACE_S if left_s else ANSWER_TIMEOUT_S
        eventlet.sleep(delay_s)
        sent_at = time.monotonic()
        try:
            answer = self.connection_pool.exchange(address, request, timeout_s)
        except OSError:
            request_result.verdict = Verdict.UNREACHABLE
            return ()
        except IncompleteAnswerError as error:
            request_result.verdict = Verdict.DROPPED if error.was_used else Verdict.UNKNOWN
            eventlet.sleep(delay_s)
            return ()
        request_result.exchange_ms = (time.monotonic() - sent_at) * MS_PER_S
        request_result.run_ms = float(answer.getheader("Figfold-Run-Ms", "0"))
        request_result.server = answer.getheader("Figfold-Server")
        classified = classify_answer(work, answer, answer.body, nonce)
        request_result.verdict, request_result.code = classified.verdict, classified.code
        eventlet.sleep(delay_s)
        return classified.targets


def _is_retryable(work):
    return bool(work.key) or work.method in READ_METHODS
