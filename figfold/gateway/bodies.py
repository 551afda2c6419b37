"""Reads callers' request bodies into memory, within a limit for all of them together.

A body is kept until its request has ended, because the request may be sent to a second server.
"""

from math import inf

from attrs import define

from figfold.core.codes import Code
from figfold.entry.clock import now_s
from figfold.gateway.requests import RequestFailure

READ_CHUNK_BYTES = 64 << 10
# Used where the settings give no other limit.
BODY_MEMORY_BYTES = 128 << 20
# A body for which there is no memory now may fit once other requests have ended.
NO_MEMORY_RETRY_AFTER_S = 1.0


@define
class BodyMemoryLimiter:
    """Limits the memory that all request bodies take up together."""

    limit_bytes: int = BODY_MEMORY_BYTES
    held_bytes: int = 0

    def try_reserve(self, size):
        """Reserve memory for a number of bytes; return whether there was room."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size):
        """Release the memory of a number of bytes."""
        self.held_bytes -= size


def read_body(environ, limit_bytes, memory, deadline_s=inf):
    """Return the body of a WSGI request as bytes or a bytearray, or a `RequestFailure`.

    The memory of a returned body stays reserved until the caller of this function releases it; that
    of a refused body is released here.

    Parameters
    ----------
    environ : dict
    limit_bytes : int
        Largest size of one body.
    memory : BodyMemoryLimiter
    deadline_s : float
        When the request's time is over, in monotonic seconds.
    """
    declared = environ.get("CONTENT_LENGTH", "")
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if declared and not declared.isdigit():
        return RequestFailure(Code.BAD_REQUEST, True, "bad-length")
    if declared and int(declared) > limit_bytes:
        return RequestFailure(Code.BODY_TOO_LARGE, True, "body-too-large")
    if not declared and not chunked:
        return b""
    expected = None if chunked else int(declared)
    return _read_chunks(environ["wsgi.input"], expected, limit_bytes, memory, deadline_s)


def _read_chunks(stream, expected, limit_bytes, memory, deadline_s):
    # Joining chunks would hold the body twice.
    body = bytearray()
    failure = None
    try:
        while failure is None and len(body) != expected:
            count = READ_CHUNK_BYTES
            if expected is not None:
                count = min(count, expected - len(body))
            chunk = stream.read(count)
            if not chunk:
                break
            if not memory.try_reserve(len(chunk)):
                failure = RequestFailure(Code.NO_MEMORY, True, "no-memory", NO_MEMORY_RETRY_AFTER_S)
                break
            body += chunk
            if len(body) > limit_bytes:
                failure = RequestFailure(Code.BODY_TOO_LARGE, True, "body-too-large")
            elif now_s() > deadline_s:
                failure = RequestFailure(Code.DEADLINE_PASSED, True, "body-late")
    except (OSError, ValueError):
        failure = RequestFailure(Code.BAD_REQUEST, True, "body-incomplete")
    if failure is None and expected is not None and len(body) < expected:
        failure = RequestFailure(Code.BAD_REQUEST, True, "body-incomplete")
    if failure is not None:
        memory.release(len(body))
        return failure
    return body
