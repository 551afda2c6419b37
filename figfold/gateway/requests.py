"""Types of requests, their failures and their events within the daemon."""

from attrs import frozen

from figfold.core.codes import Code


@frozen
class GatewayRequest:
    """A caller's request with its whole body.

    Attributes
    ----------
    arrived_s, caller_deadline_s : float
        When its head was read, and when the caller gives up, in monotonic seconds.
    key : str
        Object that the request concerns, or an empty string.
    fingerprint : str
        Hash of what the request asks for; equal for requests for the same work.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple
    body: bytes
    arrived_s: float
    caller_deadline_s: float
    key: str
    fingerprint: str


@frozen
class RequestFailure:
    """Why a request ends without a backend server's answer.

    Attributes
    ----------
    is_not_run : bool
        Whether it is certain that no backend server has run the request or will run it.
    retry_after_s : float or None
        Time after which the caller should retry.
    """

    code: Code
    is_not_run: bool
    reason: str
    retry_after_s: float | None = None


@frozen
class AttemptEnded:
    """Event: an attempt of the request has ended."""

    attempt_id: int
    result: object


class CallerDisconnected:
    """Event: the caller has closed its connection."""


CALLER_DISCONNECTED = CallerDisconnected()
