"""Types of requests, their failures and their events within the daemon."""

from attrs import frozen

from figfold.core.codes import Code

# Time before the caller's deadline at which the final answer is sent, so that it arrives in time.
ANSWER_MARGIN_S = 0.02


@frozen
class GatewayRequest:
    """A caller's request with its whole body.

    Attributes
    ----------
    arrived_s, caller_deadline_s : float
        When its head was read, and when the caller gives up, in monotonic seconds.
    body : bytes or bytearray
    key : str
        Object that the request concerns, or an empty string.
    fingerprint : str
        Hash of what the request asks for; equal for requests for the same work.
    key_digest : str
        Digest of the caller's API key, or an empty string.
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
    key_digest: str = ""

    def deadline_s(self, route):
        """Return when the final answer is due, in monotonic seconds."""
        return min(self.arrived_s + route.timeout_s, self.caller_deadline_s - ANSWER_MARGIN_S)


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


class Admitted:
    """Event: the request may be sent, after it has waited for admission."""


class DeadlineChanged:
    """Event: the final answer is due earlier, because the entry is about to end."""


ADMITTED = Admitted()
CALLER_DISCONNECTED = CallerDisconnected()
DEADLINE_CHANGED = DeadlineChanged()
