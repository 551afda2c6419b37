"""Requests, answers and refusals as the components of the daemon exchange them."""

from collections.abc import Callable, Iterator

from attrs import Factory, field, frozen

from figfold.core.codes import Code, Failure, Outcome
from figfold.entry.answer_memory import HeldMemory


@frozen
class CallerRequest:
    """A caller's request with its complete body.

    Attributes
    ----------
    target : str
        Path and query as they are sent to the backend server.
    deadline_s : float
        Monotonic time by which the request must be answered.
    hops : int
        Number of entries that have forwarded the request so far.
    wait_limit_s : float or None
        How long the request may queue here, set by the entry that forwarded it.
    is_disconnected : callable
        Returns whether the caller has closed its connection.
    first_use : bool
        Whether the caller states that it has never sent this idempotency key before.
    """

    id: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    key: str = ""
    fingerprint: str = ""
    hops: int = 0
    wait_limit_s: float | None = None
    first_use: bool = False
    is_disconnected: Callable[[], bool] = field(default=lambda: False, eq=False, repr=False)


@frozen
class ServerAnswer:
    """A backend server's answer; ``rest`` yields the part of a large body that follows ``body``.

    Attributes
    ----------
    is_fresh : bool
        Whether the connection was opened for this exchange.
    connection_number : int
        Number of the connection among those opened by the process; 0 if it is not known.
    held : HeldMemory
        The memory that ``body`` takes up.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    server: str
    rest: Iterator[bytes] | None = None
    length: int = 0
    is_fresh: bool = True
    connection_number: int = 0
    held: HeldMemory = field(factory=HeldMemory, eq=False, repr=False)


@frozen
class Refusal:
    """The result of a request without an answer of a backend server.

    Attributes
    ----------
    entries : tuple of dict
        Other entries that may serve the request, in their JSON form.
    key_settled : bool
        Whether the outcome holds for all requests with the same idempotency key, as the key's
        row in the table shows.
    """

    failure: Failure
    outcome: Outcome
    entries: tuple = Factory(tuple)
    key_settled: bool = False


def refuse(code, message, remedy="", outcome=Outcome.NOT_RUN):
    """Return a refusal with a result code."""
    return Refusal(Failure(code, message, remedy), outcome)


HTTP_STATUS_BY_CODE = {
    Code.UNKNOWN_SERVICE: 404,
    Code.NOT_FOUND: 404,
    Code.KEY_REQUIRED: 400,
    Code.KEY_INVALID: 400,
    Code.BAD_REQUEST: 400,
    Code.BODY_INCOMPLETE: 400,
    Code.LOOKUP_BAD_QUERY: 400,
    Code.KEY_REUSED: 422,
    Code.KEY_IN_PROGRESS: 409,
    Code.KEY_UNKNOWN_OUTCOME: 409,
    Code.BODY_TOO_LARGE: 413,
    Code.ADMIN_NOT_ALLOWED: 403,
    Code.QUARANTINED: 422,
    Code.SERVER_TIMEOUT: 504,
    Code.SERVER_RESET: 502,
    Code.SERVER_SHORT_ANSWER: 502,
    Code.SERVER_BAD_ANSWER: 502,
    Code.CONNECT_FAILED: 502,
    Code.PEER_ENTRY_FAILED: 502,
    Code.UNPROVEN_REFUSAL: 502,
    Code.NO_ANSWER_MEMORY: 502,
    Code.ANSWER_NOT_KEPT: 410,
    Code.ENTRY_ERROR: 500,
}
DEFAULT_REFUSAL_STATUS = 503


def http_status(code):
    """Return the HTTP status that goes with a refusal's code."""
    return HTTP_STATUS_BY_CODE.get(code, DEFAULT_REFUSAL_STATUS)
