"""WSGI application of the caller port: look-ups and requests."""

import json
import re
import sys
from collections.abc import Callable, Iterator
from hashlib import sha256
from http.client import HTTPException
from itertools import count
from socket import MSG_DONTWAIT, MSG_PEEK
from urllib.parse import parse_qs

from attrs import define, field
from eventlet import Timeout
from urllib3.exceptions import HTTPError

from figfold.core.bookings import check_key
from figfold.core.codes import Code, Outcome
from figfold.entry.app_errors import UNEXPECTED, AppErrors
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.large_body import AnswerBody
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import CallerRequest, Refusal, http_status, refuse

LOOKUP_PATH = "/v1/lookup"
LOOKUP_METHODS = frozenset(("GET", "HEAD"))
REQUEST_PREFIX = "/s/"
NAME_LIMIT_CHARS = 256
DEADLINE_LIMIT_MS = 600_000
# Characters allowed in a request line. Any other would make the exchange with a backend server
# fail, which would be counted as a failure of that server.
METHOD_PATTERN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
TARGET_PATTERN = re.compile(r"[!-~]+")
# Errors when the rest of a large answer cannot be read; the attempt's own report counts them.
INCOMPLETE_ANSWER_ERRORS = (OSError, HTTPException, HTTPError, Timeout)
REASONS = {
    200: "200 OK",
    400: "400 Bad Request",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
# Headers that are hop-by-hop, or that the entry sets itself.
DROPPED_HEADERS = frozenset(
    (
        "HTTP_CONNECTION",
        "HTTP_KEEP_ALIVE",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_UPGRADE",
        "HTTP_HOST",
        "HTTP_EXPECT",
        "HTTP_PROXY_AUTHORIZATION",
        "HTTP_IDEMPOTENCY_KEY",
        "HTTP_FIGFOLD_DEADLINE_MS",
        "HTTP_FIGFOLD_HOPS",
        "HTTP_FIGFOLD_WAIT_LIMIT_MS",
        "HTTP_FIGFOLD_FIRST_USE",
        "HTTP_FIGFOLD_FROM",
        "HTTP_FIGFOLD_PLACE",
        "HTTP_ACCEPT_ENCODING",
    )
)


@define(eq=False)
class CallerApp:
    """WSGI application of the caller port.

    Attributes
    ----------
    look_up : callable
        ``(service, caller, region) -> Result[Lookup, Refusal]``.
    serve : callable
        ``(CallerRequest) -> Result[ServerAnswer, Refusal]``.
    is_leaving : callable
        Returns whether connections should be closed after each answer.
    plan_version : callable
        Returns the version of the plan in force.
    in_progress : int
        Requests whose answer is not completely written.
    """

    entry_name: str
    place: str
    service_by_name: dict
    look_up: Callable
    serve: Callable
    is_leaving: Callable
    plan_version: Callable
    metrics: Metrics
    errors: AppErrors
    in_progress: int = 0
    _ids: Iterator[int] = field(factory=lambda: count(1))

    def __call__(self, environ, start_response):
        """Answer one HTTP request; it counts as in progress until its last byte is written."""
        self.in_progress += 1
        try:
            parts = self._answer_or_refuse(environ, start_response)
        except BaseException:
            self.in_progress -= 1
            raise
        return _Body(parts, self._on_body_closed, self.errors)

    def _on_body_closed(self):
        self.in_progress -= 1

    def _answer_or_refuse(self, environ, start_response):
        try:
            return self._answer(environ, start_response)
        except UNEXPECTED as error:
            self.errors.record_error(error)
            return self._answer_unexpected_error(environ, start_response)

    def _answer_unexpected_error(self, environ, start_response):
        """Refuse a request after an unexpected error, in place of an answer that was started."""
        is_request = environ.get("PATH_INFO", "").startswith(REQUEST_PREFIX)
        outcome = Outcome.UNKNOWN if is_request else Outcome.NOT_RUN
        message, remedy = "the entry failed unexpectedly", "report it to the operators"
        refusal = refuse(Code.ENTRY_ERROR, message, remedy, outcome)

        def restart_response(status, headers):
            return start_response(status, headers, sys.exc_info())

        return self._answer_refusal(refusal, restart_response)

    def _answer(self, environ, start_response):
        path = environ.get("PATH_INFO", "")
        if path == LOOKUP_PATH:
            return self._answer_lookup(environ, start_response)
        if path.startswith(REQUEST_PREFIX):
            return self._answer_request(environ, start_response)
        refusal = refuse(Code.NOT_FOUND, "no such path", "use /v1/lookup or /s/SERVICE/PATH")
        return self._answer_refusal(refusal, start_response)

    # Answers to look-ups.

    def _answer_lookup(self, environ, start_response):
        self.metrics.count("lookups")
        if environ["REQUEST_METHOD"] not in LOOKUP_METHODS:
            refusal = refuse(Code.BAD_REQUEST, "a look-up is a GET", "use GET")
            return self._answer_refusal(refusal, start_response)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        service, caller, region = (_single_value(query, n) for n in ("service", "caller", "region"))
        if not service or not caller or len(caller) > NAME_LIMIT_CHARS:
            refusal = refuse(
                Code.LOOKUP_BAD_QUERY, "a look-up needs service and caller", "add them"
            )
            return self._answer_refusal(refusal, start_response)
        result = self.look_up(service, caller, region)
        if result.is_err():
            return self._answer_refusal(result.err(), start_response)
        return self._send(start_response, 200, result.ok())

    # Answers to requests.

    def _answer_request(self, environ, start_response):
        started = now_s()
        read = self._read_request(environ, started)
        if isinstance(read, Refusal):
            return self._answer_refusal(read, start_response)
        result = self.serve(read)
        if result.is_err():
            self.metrics.record("refusal", read.service, now_s() - started)
            return self._answer_refusal(result.err(), start_response)
        self.metrics.record("request", read.service, now_s() - started)
        self.metrics.count("answers", service=read.service)
        return self._send_answer(result.ok(), start_response)

    def _read_request(self, environ, now):
        name, _, rest = environ["PATH_INFO"][len(REQUEST_PREFIX) :].partition("/")
        service = self.service_by_name.get(name)
        if service is None:
            known = ", ".join(self.service_by_name)
            return refuse(Code.UNKNOWN_SERVICE, "no such service", f"use one of {known}")
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        method = environ["REQUEST_METHOD"]
        if key or not service.is_idempotent(method):
            checked = check_key(key)
            if checked.is_err():
                return Refusal(checked.err(), Outcome.NOT_RUN)
        hops = _parse_whole_number(environ.get("HTTP_FIGFOLD_HOPS", "0"), 1)
        limit_ms = _parse_whole_number(
            environ.get("HTTP_FIGFOLD_DEADLINE_MS", "0"), DEADLINE_LIMIT_MS
        )
        wait_limit = environ.get("HTTP_FIGFOLD_WAIT_LIMIT_MS")
        wait_limit_ms = _parse_whole_number(wait_limit or "0", DEADLINE_LIMIT_MS)
        if None in (hops, limit_ms, wait_limit_ms):
            return refuse(Code.BAD_REQUEST, "a Figfold header is not a number in range", "mend it")
        target = _target(environ, rest)
        if not METHOD_PATTERN.fullmatch(method) or not TARGET_PATTERN.fullmatch(target):
            return refuse(
                Code.BAD_REQUEST, "the method or the path has a forbidden character", "escape it"
            )
        body = _read_body(environ, service.body_limit_bytes)
        if isinstance(body, Refusal):
            return body
        requested_s = limit_ms / MS_PER_S if limit_ms else service.deadline_s
        return CallerRequest(
            id=str(next(self._ids)),
            service=name,
            method=method,
            target=target,
            headers=_forwarded_headers(environ),
            body=body,
            deadline_s=now + min(requested_s, service.deadline_s),
            key="" if service.is_idempotent(method) else key,
            fingerprint=_fingerprint(name, method, target, body),
            hops=hops,
            wait_limit_s=None if wait_limit is None else wait_limit_ms / MS_PER_S,
            is_disconnected=_disconnect_check(environ["wsgi.input"]),
            first_use=environ.get("HTTP_FIGFOLD_FIRST_USE", "") == "1",
        )

    def _send_answer(self, answer, start_response):
        outcome_given = any(name.lower() == "figfold-outcome" for name, _ in answer.headers)
        headers = list(answer.headers)
        headers.append(("Content-Length", str(answer.length)))
        if not outcome_given:
            headers += self._own_headers(Code.OK, Outcome.RAN)
            headers.append(("Figfold-Server", answer.server))
        if self.is_leaving():
            headers.append(("Connection", "close"))
        start_response(f"{answer.status} {_reason(answer.status)}", headers)
        return AnswerBody.of(answer)

    def _answer_refusal(self, refusal, start_response):
        failure = refusal.failure
        self.metrics.count_code(failure.code)
        value = {
            "code": int(failure.code),
            "name": failure.code.name.lower(),
            "outcome": refusal.outcome.value,
            "message": failure.message,
            "remedy": failure.remedy,
            "entries": list(refusal.entries),
        }
        status = http_status(failure.code)
        return self._send(start_response, status, value, failure.code, refusal.outcome)

    def _send(self, start_response, status, value, code=Code.OK, outcome=None):
        body = json.dumps(value).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        headers += self._own_headers(code, outcome)
        if self.is_leaving():
            headers.append(("Connection", "close"))
        start_response(f"{status} {_reason(status)}", headers)
        return [body]

    def _own_headers(self, code, outcome):
        headers = [
            ("Figfold-Code", str(int(code))),
            ("Figfold-Entry", self.entry_name),
            ("Figfold-Place", self.place),
            ("Figfold-Plan", str(self.plan_version())),
        ]
        if outcome is not None:
            headers.append(("Figfold-Outcome", outcome.value))
        return headers


class _Body:
    """The parts of an answer; the WSGI server closes it after the last byte was written."""

    def __init__(self, parts, on_close, errors):
        self._parts = parts
        self._on_close = on_close
        self._errors = errors

    def __iter__(self):
        try:
            yield from self._parts
        except INCOMPLETE_ANSWER_ERRORS:
            raise
        except Exception as error:
            # The answer has started, so the error can only be signalled by closing the connection.
            self._errors.record_error(error)
            raise

    def close(self):
        try:
            if hasattr(self._parts, "close"):
                self._parts.close()
        finally:
            self._on_close()


# Request parsing.


def _single_value(query, name):
    values = query.get(name, [""])
    return values[0] if len(values) == 1 else ""


def _parse_whole_number(text, limit):
    if not text.isascii() or not text.isdigit() or len(text) > len(str(limit)):
        return None
    number = int(text)
    return number if number <= limit else None


def _read_body(environ, limit):
    declared = environ.get("CONTENT_LENGTH", "")
    if declared and not (declared.isascii() and declared.isdigit()):
        return refuse(Code.BAD_REQUEST, "Content-Length is not a number", "mend the header")
    if declared and int(declared) > limit:
        return _too_large(limit)
    stream = environ["wsgi.input"]
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if not declared and not chunked:
        return b""
    try:
        body = stream.read(limit + 1 if chunked else int(declared))
    except (OSError, ValueError):
        return refuse(Code.BODY_INCOMPLETE, "the body could not be read", "send it whole")
    if len(body) > limit:
        return _too_large(limit)
    if declared and len(body) != int(declared):
        return refuse(Code.BODY_INCOMPLETE, "the body is shorter than declared", "send it whole")
    return body


def _disconnect_check(stream):
    """Return a function that returns whether the caller has closed its connection."""
    green = stream.get_socket() if hasattr(stream, "get_socket") else None
    # The check must not block, so it uses the socket that the green socket wraps.
    sock = getattr(green, "fd", None)

    def is_disconnected():
        if sock is None:
            return False
        try:
            return sock.recv(1, MSG_PEEK | MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    return is_disconnected


def _too_large(limit):
    return refuse(Code.BODY_TOO_LARGE, f"the body is over {limit} bytes", "send a smaller one")


def _target(environ, rest):
    # RAW_PATH_INFO keeps escapes as the caller sent them.
    raw = environ.get("RAW_PATH_INFO", "")
    if raw.startswith(REQUEST_PREFIX):
        rest = raw[len(REQUEST_PREFIX) :].partition("/")[2]
    query = environ.get("QUERY_STRING", "")
    return f"/{rest}?{query}" if query else f"/{rest}"


def _forwarded_headers(environ):
    headers = [
        (key[5:].replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_") and key not in DROPPED_HEADERS
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _fingerprint(service, method, target, body):
    digest = sha256()
    for part in (service, method, target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


def _reason(status):
    return REASONS.get(status, str(status)).partition(" ")[2] or "Status"
