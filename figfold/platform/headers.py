"""Headers of requests and answers that are exchanged with callers and backend servers."""

import json
from math import inf

from attrs import frozen

from figfold.core.organisations.organisation import key_digest
from figfold.core.traffic.server_load import LoadReport

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
# Identifies the object that a request concerns, not the caller.
OBJECT_KEY = "Affinity-Key"
SERVER_ID = "Target-Instance"
API_KEY = "X-Api-Key"
# Name of the organisation for which a request runs, for the backend server.
ORGANISATION = "Tenant"
ANSWERING_SERVER = "Instance-Id"
SEAL = "Response-Seal"
LOAD = "Instance-Load"
NOT_RUN = "Not-Executed"
LEAVING = "Server-Leaving"
RATE_LIMIT = "Server-Limit"
RETRY_AFTER = "Retry-After"
HTTP_OTHER_SERVER = 421
# To a caller, these state that its request was not run and never will be.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
HTTP_UNAVAILABLE = 503
PERCENT = 100.0
MS_PER_S = 1000.0
MIN_DEADLINE_MS = 1
# Greater numbers count as this one, so that times stay within what timers can hold.
MAX_HEADER_NUMBER = 1e12


@frozen
class RequestHeaders:
    """Values from the headers of a caller's request.

    Attributes
    ----------
    request_id : str
        Id that the caller gave the request, or an empty string.
    time_left_s : float or None
        How long the caller waits for the answer; None if the header is missing or invalid.
    key : str
        Id of the object that the request concerns, or an empty string.
    key_digest : str
        Digest of the caller's API key, or an empty string.
    """

    request_id: str
    time_left_s: float | None
    key: str
    key_digest: str = ""


@frozen
class AnswerHeaders:
    """Values from the headers of a backend server's answer.

    Attributes
    ----------
    status : int
    matches_request : bool
        Whether the answer names the request that was sent, or none and is a refusal.
    is_named : bool
        Whether the answer names the request that it belongs to.
    is_not_run : bool
        Whether the server guarantees that it did not run the request.
    is_unproven_refusal : bool
        Whether callers take the status for a refusal, though the server may have run the request.
    is_other_server : bool
        Whether the request reached another server than the one it was addressed to.
    answering_server : str
        Id of the server that gave the answer; empty if it is not stated.
    is_intact : bool
        Whether the body has no content encoding, and an answer of success carries the seal.
    load : LoadReport or None
        The server's load; None if the header is missing or invalid.
    is_leaving : bool
        Whether the server states that it is about to leave.
    rate_limit_per_s : float or None
        Requests per second that the server takes from all entries together; None without a limit.
    pause_s : float
        Time for which a server that rejects the request wants no more from this entry.
    malformed : tuple[str, ...]
        Names of the headers above whose values cannot be read.
    """

    status: int
    matches_request: bool
    is_not_run: bool
    is_unproven_refusal: bool
    is_other_server: bool
    is_intact: bool
    is_named: bool = True
    answering_server: str = ""
    load: LoadReport | None = None
    is_leaving: bool = False
    rate_limit_per_s: float | None = None
    pause_s: float = 0.0
    malformed: tuple[str, ...] = ()


def make_lookup(headers):
    """Return a function that returns the value of a header by its name, or None.

    Of several lines with one name the last counts. Those of the API key are joined (RFC 9110, 5.3),
    since no line alone may decide for which organisation a request runs, and a list is no key.

    Parameters
    ----------
    headers : sequence of tuple[str, str]
    """
    value_by_name = {name.lower(): value for name, value in headers}
    keys = [value for name, value in headers if name.lower() == API_KEY.lower()]
    if any(keys):
        value_by_name[API_KEY.lower()] = ", ".join(keys)
    return lambda name: value_by_name.get(name.lower())


def parse_request_headers(get):
    """Return the `RequestHeaders` of a request.

    Parameters
    ----------
    get : callable
        Returns the value of a header by its name, or None.
    """
    return RequestHeaders(
        request_id=get(REQUEST_ID) or "",
        time_left_s=_parse_seconds(get(DEADLINE)),
        key=get(OBJECT_KEY) or "",
        key_digest=key_digest(get(API_KEY) or ""),
    )


def with_organisation(headers, organisation):
    """Return the headers of a request for a backend server, where organisations are configured.

    Parameters
    ----------
    headers : tuple[tuple[str, str], ...]
        Without those of the connection.
    organisation : str or None
        Name that the server is told in place of the API key; None for an anonymous caller.
    """
    names = (API_KEY.lower(), ORGANISATION.lower())
    kept = tuple(one for one in headers if one[0].lower() not in names)
    return kept if organisation is None else (*kept, (ORGANISATION, organisation))


def server_headers(server_id, time_left_s):
    """Return the headers that the entry adds to a request to a backend server."""
    left_ms = max(MIN_DEADLINE_MS, int(time_left_s * MS_PER_S))
    return ((SERVER_ID, server_id), (DEADLINE, str(left_ms)))


def is_end_to_end(name):
    """Return whether a header is passed on even if a caller names it in ``Connection``."""
    return name.lower() in (REQUEST_ID.lower(), OBJECT_KEY.lower())


def is_set_by_entry(name):
    """Return whether the entry sets this header itself in requests to backend servers."""
    return name.lower() in (SERVER_ID.lower(), DEADLINE.lower())


def parse_answer_headers(status, get, request_id):
    """Return the `AnswerHeaders` of a backend server's answer.

    Parameters
    ----------
    status : int
    get : callable
        Returns the value of a header by its name, or None.
    request_id : str
        Id of the request that was sent.
    """
    not_run = get(NOT_RUN) is not None
    other_server = status == HTTP_OTHER_SERVER
    echoed = get(REQUEST_ID)
    success = 200 <= status < 300
    encoded = (get("Content-Encoding") or "identity").lower() != "identity"
    rate_limit_per_s = _parse_number(get(RATE_LIMIT))
    # Only a rejection asks for a pause; other answers may carry the header for their caller.
    pause = get(RETRY_AFTER) if status == HTTP_UNAVAILABLE else None
    pause_s = _parse_number(pause)
    number_by_name = {
        RATE_LIMIT: (get(RATE_LIMIT), rate_limit_per_s),
        RETRY_AFTER: (pause, pause_s),
    }
    return AnswerHeaders(
        status=status,
        # A server that refuses before it has read the request cannot echo its id.
        matches_request=echoed == request_id or (echoed is None and (not_run or other_server)),
        is_not_run=not_run or other_server,
        is_unproven_refusal=status in REFUSAL_STATUSES and not (not_run or other_server),
        is_other_server=other_server,
        is_named=echoed is not None,
        answering_server=get(ANSWERING_SERVER) or "",
        is_intact=not encoded and (not success or bool(get(SEAL))),
        load=_parse_load(get(LOAD)),
        is_leaving=(get(LEAVING) or "").strip() == "1",
        rate_limit_per_s=rate_limit_per_s,
        pause_s=pause_s or 0.0,
        malformed=tuple(
            name
            for name, (text, number) in number_by_name.items()
            if text is not None and number is None
        ),
    )


def names_its_request(get):
    """Return whether an answer names the request that it belongs to.

    A server that writes a refusal without a name once more would refuse the next request on the
    connection, which it may run all the same.
    """
    return get(REQUEST_ID) is not None


def refusal_headers(retry_after_s):
    """Return the headers of a refusal; ``retry_after_s`` may be None for no Retry-After."""
    if retry_after_s is None:
        return ()
    return ((RETRY_AFTER, f"{max(0.0, retry_after_s):.3f}"),)


def lookup_body(addresses, ttl_s):
    """Return the JSON body of the answer to a look-up of entries."""
    return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()


def _parse_seconds(text):
    value = _parse_number(text)
    return None if value is None else value / MS_PER_S


def _parse_number(text):
    """Return a finite number that is not negative, or None for anything else."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return min(value, MAX_HEADER_NUMBER) if 0.0 <= value < inf else None


def _parse_load(text):
    if not text:
        return None
    figures = [_parse_number(part) for part in text.split(",")]
    if len(figures) < 3 or None in figures:
        # Same as a missing header: the entry then relies on its own measurements.
        return None
    slowdown = figures[3] / PERCENT if len(figures) > 3 else 1.0
    return LoadReport(int(figures[0]), int(figures[1]), int(figures[2]), slowdown)
