"""WSGI applications of an entry: requests, readiness, look-ups of entries, and metrics."""

import json
from collections.abc import Callable
from hashlib import sha256
from urllib.parse import parse_qs

from attrs import Factory, define

from figfold.core.codes import Code
from figfold.entry.answer_memory import AnswerMemory
from figfold.entry.clock import now_s
from figfold.entry.connections import HOP_BY_HOP
from figfold.entry.large_body import AnswerBody
from figfold.gateway.bodies import BodyMemoryLimiter, read_body
from figfold.gateway.protocol import CLOSES_CONNECTION, CONNECTION, RAW_TARGET, host_name
from figfold.gateway.requests import GatewayRequest, RequestFailure
from figfold.platform.headers import (
    is_end_to_end,
    is_set_by_entry,
    lookup_body,
    make_lookup,
    parse_request_headers,
    refusal_headers,
)

RAW_HEADERS = "headers_raw"  # Key of the WSGI environment.
# Time limit of a request whose caller gives no deadline.
DEFAULT_TIMEOUT_S = 30.0
MAX_LOOKUP_ADDRESSES = 64  # Entries in one look-up answer.
HTTP_STATUS_BY_CODE = {
    Code.NO_ROUTE: "404 Not Found",
    Code.BAD_REQUEST: "400 Bad Request",
    Code.BODY_TOO_LARGE: "413 Content Too Large",
    Code.UNKNOWN_API_KEY: "401 Unauthorized",
    Code.OVER_LIMIT: "429 Too Many Requests",
}
NOT_RUN_STATUS = "503 Service Unavailable"
TIMEOUT_STATUS = "504 Gateway Timeout"
FAILED_STATUS = "502 Bad Gateway"
TEXT = ("Content-Type", "text/plain")


@define(eq=False)
class RequestApp:
    """WSGI application of the request port.

    Attributes
    ----------
    serve : callable
        ``(GatewayRequest, watch_caller) -> Result[ServerAnswer, RequestFailure]``.
    stage : callable
        Returns ``serving``, ``leaving`` (connections are closed after their answer) or ``closed``
        (requests are refused as not run).
    limits : callable
        Returns the `CallerLimits` in force.
    knowledge : callable
        Returns what the entry goes by and its age, for the log lines of refusals and failures.
    in_progress, started : int
        Requests that have no complete answer yet, and all since the start of the process.
    """

    serve: Callable
    stage: Callable
    metrics: object
    log: object
    limits: Callable
    knowledge: Callable = dict
    body_memory: BodyMemoryLimiter = Factory(BodyMemoryLimiter)
    answer_memory: AnswerMemory = Factory(AnswerMemory)
    in_progress: int = 0
    started: int = 0

    def __call__(self, environ, start_response):
        """Answer one request, which counts as in progress until its last byte is written."""
        self.in_progress += 1
        self.started += 1
        try:
            parts = self._answer(environ, start_response)
        except BaseException:
            self.in_progress -= 1
            raise
        return _AnswerParts(parts, self._end_request)

    def _end_request(self):
        self.in_progress -= 1

    def _answer(self, environ, start_response):
        started = now_s()
        read = _read_request(environ, started, self.limits().body_bytes, self.body_memory)
        if isinstance(read, RequestFailure):
            return self._answer_failure(environ, None, read, started, start_response)
        try:
            return self._answer_request(read, environ, started, start_response)
        finally:
            self.body_memory.release(len(read.body))

    def _answer_request(self, request, environ, started, start_response):
        if self.stage() == "closed":
            failure = RequestFailure(Code.ENTRY_LEAVING, True, "leaving", 0.0)
            return self._answer_failure(environ, request, failure, started, start_response)
        result = self.serve(request, environ[CONNECTION].watch)
        if result.is_err():
            return self._answer_failure(environ, request, result.err(), started, start_response)
        answer = result.ok()
        duration_s = now_s() - started
        self.metrics.record("request", str(answer.status), duration_s)
        self.log.bind(
            id=request.request_id, status=answer.status, server=answer.server, ms=_ms(duration_s)
        ).info("answered")
        headers = [*answer.headers, ("Content-Length", str(answer.length))]
        self._close_if_leaving(environ, headers)
        start_response(f"{answer.status} Status", headers)
        return AnswerBody.of(answer)

    def _answer_failure(self, environ, request, failure, started, start_response):
        self.metrics.count_code(failure.code, reason=failure.reason)
        duration_s = now_s() - started
        self.metrics.record("refusal", failure.code.name.lower(), duration_s)
        self.log.bind(
            id=request.request_id if request else None,
            code=int(failure.code),
            name=failure.code.name.lower(),
            reason=failure.reason,
            not_run=failure.is_not_run,
            retry_after_s=failure.retry_after_s,
            ms=_ms(duration_s),
            **self.knowledge(),
        ).info("refused" if failure.is_not_run else "failed")
        body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *refusal_headers(failure.retry_after_s),
        ]
        self._close_if_leaving(environ, headers)
        start_response(_status(failure), headers)
        return [body]

    def _close_if_leaving(self, environ, headers):
        if self.stage() != "serving":
            environ[CLOSES_CONNECTION] = True
            headers.append(("Connection", "close"))


@define(eq=False)
class ReadyApp:
    """WSGI application that tells the platform whether this entry is ready for callers."""

    is_ready: Callable

    def __call__(self, environ, start_response):
        """Answer 200 while the entry is ready, 503 otherwise."""
        status = "200 OK" if self.is_ready() else NOT_RUN_STATUS
        return _send(start_response, status, b"")


@define(eq=False)
class LookupApp:
    """WSGI application that tells callers which entries to connect to."""

    look_up: Callable
    ttl_s: float
    metrics: object

    def __call__(self, environ, start_response):
        """Answer with the addresses of entries near the caller, or 503 if there are none."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        place = query.get("zone", [""])[0]
        region = query.get("region", [""])[0]
        self.metrics.count("lookups")
        addresses = self.look_up(place, region)[:MAX_LOOKUP_ADDRESSES]
        if not addresses:
            return _send(start_response, NOT_RUN_STATUS, b"")
        body = lookup_body(addresses, self.ttl_s)
        return _send(start_response, "200 OK", body, ("Content-Type", "application/json"))


@define(eq=False)
class MetricsApp:
    """WSGI application that serves the counters and histograms as text."""

    render: Callable

    def __call__(self, environ, start_response):
        """Answer with all metrics."""
        return _send(start_response, "200 OK", self.render().encode())


class _AnswerParts:
    """Parts of an answer; the WSGI server closes them after it has written the last byte."""

    def __init__(self, parts, on_close):
        self._parts = parts
        self._on_close = on_close

    def __iter__(self):
        yield from self._parts

    def close(self):
        try:
            if hasattr(self._parts, "close"):
                self._parts.close()
        finally:
            self._on_close()


def _status(failure):
    if failure.is_not_run:
        return HTTP_STATUS_BY_CODE.get(failure.code, NOT_RUN_STATUS)
    return TIMEOUT_STATUS if failure.code is Code.SERVER_TIMEOUT else FAILED_STATUS


def _send(start_response, status, body, content_type=TEXT):
    start_response(status, [content_type, ("Content-Length", str(len(body)))])
    return [body]


def _ms(seconds):
    return round(seconds * 1000, 1)


# Parsing of requests.


def _read_request(environ, started, body_limit, memory):
    raw_headers = environ[RAW_HEADERS]
    get = make_lookup(raw_headers)
    head = parse_request_headers(get)
    # The deadline counts from the arrival of the head; reading the body uses up the caller's time.
    left_s = DEFAULT_TIMEOUT_S if head.time_left_s is None else head.time_left_s
    environ["wsgi.input"].discard_until_s = started + left_s
    body = read_body(environ, body_limit, memory, started + left_s)
    if isinstance(body, RequestFailure):
        return body
    target = environ[RAW_TARGET]
    method = environ["REQUEST_METHOD"]
    host = get("Host") or ""
    return GatewayRequest(
        request_id=head.request_id,
        method=method,
        target=target,
        host=host_name(host),
        path=target.partition("?")[0],
        headers=_forwarded_headers(raw_headers, host),
        body=body,
        arrived_s=started,
        caller_deadline_s=started + left_s,
        key=head.key,
        fingerprint=_fingerprint(method, host, target, body),
        key_digest=head.key_digest,
    )


def _forwarded_headers(raw_headers, host):
    connection_headers = {
        token.strip().lower()
        for name, value in raw_headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    forwarded = [
        (name, value)
        for name, value in raw_headers
        if name.lower() not in HOP_BY_HOP
        and (name.lower() not in connection_headers or is_end_to_end(name))
        and name.lower() != "expect"
        and not is_set_by_entry(name)
    ]
    return (("Host", host), *forwarded)


def _fingerprint(method, host, target, body):
    digest = sha256(f"{method}\0{host}\0{target}\0".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.hexdigest()
