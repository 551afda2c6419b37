"""Headers of requests and answers, towards callers and towards backend servers."""

import json

from attrs import frozen

from figfold.core.traffic.server_load import LoadReport

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
# Names the object of a request, not the caller.
OBJECT_KEY = "Affinity-Key"
SERVER_ID = "Target-Instance"
SEAL = "Response-Seal"
LOAD = "Instance-Load"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"
HTTP_OTHER_SERVER = 421
PERCENT = 100.0
MS_PER_S = 1000.0
LEAST_DEADLINE_MS = 1


@frozen
class RequestHead:
    """What the headers of a caller's request say.

    Attributes
    ----------
    time_left_s : float or None
        How long the caller waits; None when it does not say.
    key : str
        The object that the request concerns, or an empty string.
    """

    request_id: str
    time_left_s: float | None
    key: str


@frozen
class AnswerHead:
    """What the headers of a backend server's answer say.

    Attributes
    ----------
    is_own : bool
        Whether the answer belongs to the request that was sent.
    is_not_run : bool
        Whether the server promises that it did not run the request.
    is_other_server : bool
        Whether another server than the one that was meant has answered.
    is_sound : bool
        Whether a success carries the server's seal and its own bytes.
    """

    is_own: bool
    is_not_run: bool
    is_other_server: bool
    is_sound: bool
    load: LoadReport | None = None


def read_request_head(get):
    """Return the `RequestHead` of a request whose headers ``get(name)`` returns, or None."""
    return RequestHead(
        request_id=get(REQUEST_ID) or "",
        time_left_s=_milliseconds(get(DEADLINE)),
        key=get(OBJECT_KEY) or "",
    )


def server_headers(server_id, time_left_s):
    """Return the headers that a request to a backend server carries besides the caller's."""
    left_ms = max(LEAST_DEADLINE_MS, int(time_left_s * MS_PER_S))
    return ((SERVER_ID, server_id), (DEADLINE, str(left_ms)))


def is_set_by_entry(name):
    """Return whether a header towards backend servers is the entry's own."""
    return name.lower() in (SERVER_ID.lower(), DEADLINE.lower())


def read_answer_head(status, get, request_id):
    """Return the `AnswerHead` of a backend server's answer whose headers ``get`` returns."""
    not_run = get(NOT_RUN) is not None
    other_server = status == HTTP_OTHER_SERVER
    echoed = get(REQUEST_ID)
    success = 200 <= status < 300
    encoded = (get("Content-Encoding") or "identity").lower() != "identity"
    return AnswerHead(
        # An answer that names no request is one that the server gave before it read the request.
        is_own=echoed == request_id or (echoed is None and (not_run or other_server)),
        is_not_run=not_run or other_server,
        is_other_server=other_server,
        is_sound=not encoded and (not success or bool(get(SEAL))),
        load=_load(get(LOAD)),
    )


def refusal_headers(retry_after_s):
    """Return the headers of a refusal; callers come back after the time, if it is given."""
    if retry_after_s is None:
        return ()
    return ((RETRY_AFTER, f"{max(0.0, retry_after_s):.3f}"),)


def lookup_body(addresses, ttl_s):
    """Return the body of the answer to a look-up of entries."""
    return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()


def _milliseconds(text):
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value / MS_PER_S if value >= 0.0 else None


def _load(text):
    if not text:
        return None
    parts = text.split(",")
    try:
        figures = [float(part) for part in parts]
    except ValueError:
        # A load that cannot be read is the same as none: the entry goes by what it sees itself.
        return None
    if len(figures) < 3 or min(figures) < 0.0:
        return None
    slowdown = figures[3] / PERCENT if len(figures) > 3 else 1.0
    return LoadReport(int(figures[0]), int(figures[1]), int(figures[2]), slowdown)
