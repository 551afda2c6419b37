"""Connections to backend servers and other entries, and one exchange over one of them.

A connection is used again only after a whole answer. A connection that timed out, was reset or
gave a short answer is closed, and so are the idle ones to the same address, because whatever
silenced one of them may have silenced all.
"""

import errno
import re
import socket
from collections import deque
from collections.abc import Callable
from http.client import HTTPException
from math import inf

from attrs import Factory, define, frozen
from eventlet import Timeout
from eventlet.greenio import GreenSocket
from result import Err, Ok
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, IncompleteRead

from figfold.core.codes import Code
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.messages import ServerAnswer

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_PER_ADDRESS = 16
READ_SIZE_BYTES = 64 * 1024
# A request must arrive before the server closes the connection: the slowest way there and back.
KEEP_ALIVE_MARGIN_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
# The largest answer taken from a server that does not tell the length beforehand.
UNSIZED_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    )
)


@frozen
class AttemptFailure:
    """Why an exchange failed; ``sent`` tells whether any byte of the request may have left."""

    code: Code
    sent: bool
    fresh: bool


class ResetAwareSocket(GreenSocket):
    """A green socket that raises when its connection was reset.

    The library's own returns no bytes then, which an answer without a length takes for its end.
    """

    def _recv_loop(self, recv_meth, empty_val, *args):
        def receive(*arguments):
            try:
                return recv_meth(*arguments)
            except (ConnectionResetError, BrokenPipeError) as error:
                raise ConnectionAbortedError(errno.ECONNABORTED, "connection reset") from error

        return super()._recv_loop(receive, empty_val, *args)


@frozen
class _Idle:
    connection: HTTPConnection
    since_s: float
    limit_s: float


def _own_deadline(_name, left_s):
    """Return the header that tells a backend server or an entry how much time is left."""
    return (("Figfold-Deadline-Ms", str(max(1, int(left_s * MS_PER_S)))),)


@define
class Connections:
    """Idle connections by address.

    Attributes
    ----------
    headers_at_send : callable
        ``(name, left_s)``, the headers that depend on the server and on the time left.
    """

    idle_limit_s: float
    buffer_bytes: int
    idle_by_address: dict[str, deque] = Factory(dict)
    headers_at_send: Callable = _own_deadline
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    opened: int = 0

    def exchange(self, address, request, timeout_s, fresh=False, name=""):
        """Send one request and read its answer.

        The other end is told how much of the time is left once the connection is open, so that
        it stops no later than the caller of this function counts on.

        Parameters
        ----------
        request : tuple[str, str, tuple, bytes]
            Method, target, headers and body.
        timeout_s : float
            Time for opening a connection and for the answer.
        fresh : bool
            Whether to open a connection even if an idle one is at hand.

        Returns
        -------
        Result[ServerAnswer, AttemptFailure]
        """
        ends_s = now_s() + timeout_s
        connection = None if fresh else self._take_idle(address)
        is_fresh = connection is None
        if is_fresh:
            self.opened += 1
            connection = _open(address, min(timeout_s, self.connect_timeout_s))
        left_s = ends_s - now_s()
        if connection is None or left_s <= 0.0:
            _close(connection)
            return Err(AttemptFailure(Code.CONNECT_FAILED, False, True))
        try:
            with Timeout(left_s):
                answer = self._send_and_read(connection, address, request, name, left_s)
        except (Timeout, OSError, HTTPError, HTTPException, ValueError, TypeError) as error:
            return Err(self._failed(connection, address, _code_of(error), is_fresh))
        except BaseException:
            # The attempt was cancelled; a server stops work when its connection closes.
            connection.close()
            raise
        return Ok(answer)

    def close_idle(self, now):
        """Close the connections that have been idle for too long."""
        for address, idle in list(self.idle_by_address.items()):
            while idle and now - idle[0].since_s > idle[0].limit_s:
                idle.popleft().connection.close()
            if not idle:
                del self.idle_by_address[address]

    def discard(self, address):
        """Close all idle connections to an address."""
        for idle in self.idle_by_address.pop(address, ()):
            idle.connection.close()

    def _take_idle(self, address):
        idle = self.idle_by_address.get(address)
        while idle:
            candidate = idle.pop()
            young = now_s() - candidate.since_s <= candidate.limit_s
            if young and candidate.connection.is_connected:
                return candidate.connection
            candidate.connection.close()
        return None

    def _give_back(self, connection, address, limit_s):
        idle = self.idle_by_address.setdefault(address, deque())
        if len(idle) >= IDLE_LIMIT_PER_ADDRESS:
            connection.close()
            return
        idle.append(_Idle(connection, now_s(), limit_s))

    def _failed(self, connection, address, code, fresh):
        connection.close()
        if not fresh:
            self.discard(address)
        return AttemptFailure(code, True, fresh)

    def _send_and_read(self, connection, address, request, name, timeout_s):
        method, target, headers, body = request
        headers += self.headers_at_send(name, timeout_s)
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        connection.request(
            method,
            target,
            body=body or None,
            headers=dict(headers),
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        body = self._read_part(response)
        kept = tuple(
            (key, value) for key, value in response.headers.items() if key.lower() not in HOP_BY_HOP
        )
        length = _content_length(response)
        if length is not None and method != "HEAD" and len(body) < length:
            rest = self._read_rest(connection, address, response)
            next(rest)
            return ServerAnswer(response.status, kept, body, name, rest, length)
        self._finish(connection, address, response)
        # The answer to HEAD tells the length that a body would have.
        told = length if method == "HEAD" and length is not None else len(body)
        return ServerAnswer(response.status, kept, body, name, None, told)

    def _read_part(self, response):
        parts = []
        size = 0
        while size < self.buffer_bytes or _content_length(response) is None:
            part = response.read(READ_SIZE_BYTES, decode_content=False)
            if not part:
                break
            parts.append(part)
            size += len(part)
            if size > UNSIZED_ANSWER_LIMIT_BYTES:
                raise ValueError("answer without a length is too large")
        return b"".join(parts)

    def _read_rest(self, connection, address, response):
        """Yield nothing once, so that closing runs the clean-up, and then the parts that follow."""
        try:
            yield b""
            while part := response.read(READ_SIZE_BYTES, decode_content=False):
                yield part
        except BaseException:
            connection.close()
            raise
        self._finish(connection, address, response)

    def _finish(self, connection, address, response):
        closing = response.headers.get("Connection", "").lower() == "close"
        response.release_conn()
        if closing or response.version < 11 or connection.sock is None:
            connection.close()
            return
        limit_s = min(self.idle_limit_s, _kept_s(response.headers.get("Keep-Alive", "")))
        self._give_back(connection, address, limit_s)


def _kept_s(keep_alive):
    """Return how long an idle connection may be used whose server closes it after a time."""
    told = KEEP_ALIVE_TIMEOUT.search(keep_alive)
    return max(0.0, int(told.group(1)) - KEEP_ALIVE_MARGIN_S) if told else inf


def _content_length(response):
    """Return the length that the answer tells, None for none; chunks go before a length."""
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return None
    value = response.headers.get("Content-Length", "")
    return int(value) if value.isdigit() else None


def _code_of(error):
    if isinstance(error, IncompleteRead):
        return Code.SERVER_SHORT_ANSWER
    causes = (error, *getattr(error, "args", ()), error.__cause__, error.__context__)
    if any(isinstance(cause, (TimeoutError, Timeout)) for cause in causes):
        return Code.SERVER_TIMEOUT
    if any(isinstance(cause, IncompleteRead) for cause in causes):
        return Code.SERVER_SHORT_ANSWER
    if any(isinstance(cause, OSError) for cause in causes):
        return Code.SERVER_RESET
    return Code.SERVER_BAD_ANSWER


def _close(connection):
    if connection is not None:
        connection.close()


def _open(address, timeout_s):
    host, port = address.rsplit(":", 1)
    connection = HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.connect()
    except (OSError, HTTPError):
        connection.close()
        return None
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # The library makes the socket itself and offers no other place to choose its class.
    connection.sock.__class__ = ResetAwareSocket
    return connection
