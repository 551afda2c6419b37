"""Typed requests, refusals and events that pass between the parts of the daemon."""

from attrs import frozen

from figfold.core.codes import Code


@frozen
class GatewayRequest:
    """A caller's request, read whole.

    Attributes
    ----------
    arrived_s, caller_ends_s : float
        When its head was read, and when the caller gives up, in monotonic seconds.
    key : str
        The object that it concerns, or an empty string.
    fingerprint : str
        Tells requests that ask for the same work.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple
    body: bytes
    arrived_s: float
    caller_ends_s: float
    key: str
    fingerprint: str


@frozen
class FinalRefusal:
    """A request that ends without a backend server's answer.

    Attributes
    ----------
    is_not_run : bool
        Whether no backend server has run it or ever will.
    retry_after_s : float or None
        When the caller should come back.
    """

    code: Code
    is_not_run: bool
    reason: str
    retry_after_s: float | None = None


@frozen
class Ended:
    """An attempt has ended."""

    attempt_id: int
    result: object


class CallerGone:
    """The caller has closed its connection."""


CALLER_GONE = CallerGone()
