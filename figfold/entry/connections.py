"""Pool of HTTP connections to backend servers and other entries, and exchanges over them.

A connection is reused only after a complete answer. If a reused connection times out, is reset or
gives a short answer, it is closed together with the idle ones to the same address, since the same
cause may have broken all of them.
"""

import re
from collections import deque
from collections.abc import Callable
from http.client import HTTPException
from math import inf

from attrs import Factory, define, frozen
from eventlet import Timeout
from result import Err, Ok
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError, IncompleteRead

from figfold.core.codes import Code
from figfold.entry.answer_connection import AnswerConnection, IncompleteHeadError
from figfold.entry.answer_memory import AnswerMemory, AnswerMemoryError, HeldMemory
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.request_types import ServerAnswer

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_PER_ADDRESS = 16
READ_SIZE_BYTES = 64 * 1024
# Size of the parts of a streamed answer while there is no memory for larger ones.
SMALL_READ_BYTES = 4 * 1024
# A reused connection must not reach the server's idle time-out while a request is on its way.
# This is an upper bound of the round-trip time.
KEEP_ALIVE_MARGIN_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
# The largest answer accepted without a Content-Length.
UNSIZED_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# An answer that was read in parts is held twice while they are joined.
COPIES = 2
# The most bytes that the framing of an unsized answer may add, with its trailers.
FRAMING_LIMIT_BYTES = 256 * 1024
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
    """Why an exchange failed.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have been sent.
    fresh : bool
        Whether the connection was opened for this exchange.
    connection_number : int
        Number of the connection among those opened by the process; 0 if none was opened.
    """

    code: Code
    sent: bool
    fresh: bool
    connection_number: int = 0


@frozen
class _IdleConnection:
    connection: AnswerConnection
    since_s: float
    limit_s: float


def _deadline_header(_server_name, left_s):
    """Return the header that states the remaining time to a backend server or an entry."""
    return (("Figfold-Deadline-Ms", str(max(1, int(left_s * MS_PER_S)))),)


@define
class Connections:
    """Opens connections, and keeps idle ones by address for reuse.

    Attributes
    ----------
    idle_limit_s : float
        Time after which an idle connection is closed.
    buffer_bytes : int
        Size up to which an answer is read completely before it is passed on, if memory permits.
    memory : AnswerMemory
        Memory for the parts of answers that were read and not yet passed on.
    headers_at_send : callable
        ``(name, left_s)``, returns the headers that depend on the server and on the time left.
    allows_reuse : callable
        ``(get)``, with a function that returns a header of an answer by its name: returns whether
        the connection may be used for another request.
    opened : int
        Number of connections opened so far.
    """

    idle_limit_s: float
    buffer_bytes: int
    memory: AnswerMemory = Factory(AnswerMemory)
    idle_by_address: dict[str, deque] = Factory(dict)
    headers_at_send: Callable = _deadline_header
    allows_reuse: Callable = lambda _get: True
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    opened: int = 0

    def exchange(self, address, request, timeout_s, fresh=False, name=""):
        """Send one request and read its answer.

        The deadline header is computed after the connection was opened, so that the other end
        stops work before ``timeout_s`` is over.

        Parameters
        ----------
        request : tuple[str, str, tuple, bytes]
            Method, target, headers and body.
        timeout_s : float
            Time for opening a connection and reading the answer.
        fresh : bool
            Whether to open a connection even if an idle one is available.

        Returns
        -------
        Result[ServerAnswer, AttemptFailure]
        """
        deadline_s = now_s() + timeout_s
        connection = None if fresh else self._acquire_idle(address)
        is_fresh = connection is None
        if is_fresh:
            self.opened += 1
            number = self.opened
            connection = _open(address, min(timeout_s, self.connect_timeout_s))
            if connection is not None:
                connection.number = number
        left_s = deadline_s - now_s()
        if connection is None or left_s <= 0.0:
            _close(connection)
            return Err(AttemptFailure(Code.CONNECT_FAILED, False, True))
        try:
            with Timeout(left_s):
                answer = self._send_and_read(connection, address, request, name, left_s, is_fresh)
        except (Timeout, OSError, HTTPError, HTTPException, ValueError, TypeError) as error:
            return Err(self._close_failed(connection, address, _code_of(error), is_fresh))
        except BaseException:
            # The attempt was cancelled; the server stops its work when the connection closes.
            connection.close()
            raise
        return Ok(answer)

    def close_idle(self, now):
        """Close the connections that have exceeded their idle limit."""
        for address, idle in list(self.idle_by_address.items()):
            while idle and now - idle[0].since_s > idle[0].limit_s:
                idle.popleft().connection.close()
            if not idle:
                del self.idle_by_address[address]

    def discard(self, address):
        """Close all idle connections to an address."""
        for idle in self.idle_by_address.pop(address, ()):
            idle.connection.close()

    def _acquire_idle(self, address):
        idle = self.idle_by_address.get(address)
        while idle:
            candidate = idle.pop()
            is_recent = now_s() - candidate.since_s <= candidate.limit_s
            if is_recent and candidate.connection.is_connected:
                return candidate.connection
            candidate.connection.close()
        return None

    def _return_to_idle(self, connection, address, limit_s):
        idle = self.idle_by_address.setdefault(address, deque())
        if len(idle) >= IDLE_LIMIT_PER_ADDRESS:
            connection.close()
            return
        idle.append(_IdleConnection(connection, now_s(), limit_s))

    def _close_failed(self, connection, address, code, fresh):
        connection.close()
        if not fresh:
            self.discard(address)
        return AttemptFailure(code, True, fresh, connection.number)

    def _send_and_read(self, connection, address, request, name, timeout_s, is_fresh):
        method, target, headers, body = request
        headers += self.headers_at_send(name, timeout_s)
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        connection.request(
            method,
            target,
            # The library sends what is left of a body as a copy each time, but not of a view.
            body=memoryview(body) if body else None,
            headers=HTTPHeaderDict(headers),
            preload_content=False,
            decode_content=False,
        )
        sock = connection.sock
        response = connection.getresponse()
        length = _content_length(response)
        # A sized answer is streamed to the caller and needs no limit.
        sock.allowed_bytes = (
            inf if length is not None else UNSIZED_ANSWER_LIMIT_BYTES + FRAMING_LIMIT_BYTES
        )
        held = HeldMemory(self.memory)
        body = self._read_first_part(response, held)
        end_to_end_headers = tuple(
            (key, value) for key, value in response.headers.items() if key.lower() not in HOP_BY_HOP
        )
        if length is not None and method != "HEAD" and len(body) < length:
            rest = self._read_rest(connection, address, response, held)
            next(rest)
            return ServerAnswer(
                response.status,
                end_to_end_headers,
                body,
                name,
                rest,
                length,
                is_fresh,
                connection.number,
                held,
            )
        self._finish_exchange(connection, address, response)
        # The Content-Length of an answer to HEAD is that of the body it leaves out.
        body_length = length if method == "HEAD" and length is not None else len(body)
        return ServerAnswer(
            response.status,
            end_to_end_headers,
            body,
            name,
            None,
            body_length,
            is_fresh,
            connection.number,
            held,
        )

    def _read_first_part(self, response, held):
        """Read an answer without a length to its end, any other as far as it is buffered."""
        parts = []
        size = 0
        length = _content_length(response)
        while length is None or size < min(length, self.buffer_bytes):
            count = READ_SIZE_BYTES if length is None else min(READ_SIZE_BYTES, length - size)
            # Others may take up the memory during the read, so that it is reserved before.
            reserved = 0 if length is None else COPIES * count
            if reserved:
                if not held.may_grow(reserved):
                    break
                held.grow(reserved)
            part = response.read(count, decode_content=False)
            if not part:
                break
            size += len(part)
            if size > UNSIZED_ANSWER_LIMIT_BYTES:
                raise ValueError("answer without a length is too large")
            if length is None:
                held.grow(COPIES * len(part))
            else:
                held.shrink(reserved - COPIES * len(part))
            parts.append(part)
        body = b"".join(parts)
        del parts
        held.shrink(held.size - size)
        return body

    def _read_rest(self, connection, address, response, held):
        """Yield the remaining parts after an empty one.

        The empty part starts the generator, because closing one that never ran skips the clean-up.
        A part is read once its caller has taken the one before, and is held until then.
        """
        try:
            yield b""
            while True:
                has_room = held.may_grow(READ_SIZE_BYTES)
                size = READ_SIZE_BYTES if has_room else SMALL_READ_BYTES
                held.hold(size)
                part = response.read(size, decode_content=False)
                held.shrink(size - len(part))
                if not part:
                    break
                yield part
                held.shrink(len(part))
                del part
        except BaseException:
            connection.close()
            held.release()
            raise
        self._finish_exchange(connection, address, response)

    def _finish_exchange(self, connection, address, response):
        closing = response.headers.get("Connection", "").lower() == "close"
        response.release_conn()
        closing = closing or not self.allows_reuse(response.headers.get)
        if closing or response.version < 11 or connection.sock is None:
            connection.close()
            return
        limit_s = min(
            self.idle_limit_s, _keep_alive_limit_s(response.headers.get("Keep-Alive", ""))
        )
        self._return_to_idle(connection, address, limit_s)


def _keep_alive_limit_s(keep_alive):
    """Return how long a connection may stay idle under the server's Keep-Alive header."""
    match = KEEP_ALIVE_TIMEOUT.search(keep_alive)
    return max(0.0, int(match.group(1)) - KEEP_ALIVE_MARGIN_S) if match else inf


def _content_length(response):
    """Return the Content-Length, or None without one; it is ignored in a chunked answer."""
    if "Transfer-Encoding" in response.headers:
        return None
    # There may be several equal ones.
    lengths = response.headers.getlist("Content-Length")
    return int(lengths[0]) if lengths else None


def _code_of(error):
    if isinstance(error, AnswerMemoryError):
        return Code.NO_ANSWER_MEMORY
    if isinstance(error, (IncompleteRead, IncompleteHeadError)):
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
    connection = AnswerConnection(host, int(port), timeout=timeout_s)
    try:
        connection.connect()
    except (OSError, HTTPError):
        connection.close()
        return None
    return connection
