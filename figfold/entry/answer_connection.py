"""Connections to HTTP servers whose answers are limited in size and must have a complete head."""

import errno
import socket
from http import HTTPStatus
from http.client import (
    BadStatusLine,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
    RemoteDisconnected,
)

import eventlet
from eventlet.greenio import GreenSocket
from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

from figfold.core.http_framing import (
    CHUNK_END,
    find_answer_framing_fault,
    is_field_line,
    parse_chunk_size,
    parse_status_line,
)

# The most bytes that are read up to the end of an answer's head, with interim answers.
HEAD_LIMIT_BYTES = 256 * 1024
# The longest status line, header line of an interim answer, and line of the framing of chunks.
LINE_LIMIT_BYTES = 64 * 1024
EMPTY_LINES = (b"\r\n", b"\n")
FRAMING_FIELDS = ("Transfer-Encoding", "Content-Length")
STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
# Bytes read from one socket after which other green threads may run.
YIELD_BYTES = 64 * 1024


class YieldingSocket(GreenSocket):
    """A green socket that lets other green threads run while data keep arriving.

    The library yields only while no data are available, so that a peer that sends without end would
    block the whole process.
    """

    _unyielded_bytes = 0

    def _recv_loop(self, recv_meth, empty_val, *args):
        received = super()._recv_loop(recv_meth, empty_val, *args)
        size = received if isinstance(received, int) else len(received)
        self.count(size)
        self._unyielded_bytes += size
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            eventlet.sleep(0)
        return received

    def count(self, size):
        """Count the bytes that were read; called for each read."""


class AnswerSocket(YieldingSocket):
    """A green socket for reading an answer, with a limit on its size.

    The library's own class returns no bytes when the connection was reset, which would look like
    the end of an answer without a length; this one raises an error.

    Attributes
    ----------
    allowed_bytes : int
        Number of bytes that may still be read; more are an error.
    """

    allowed_bytes = HEAD_LIMIT_BYTES

    def _recv_loop(self, recv_meth, empty_val, *args):
        def receive(*arguments):
            try:
                return recv_meth(*arguments)
            except (ConnectionResetError, BrokenPipeError) as error:
                raise ConnectionAbortedError(errno.ECONNABORTED, "connection reset") from error

        return super()._recv_loop(receive, empty_val, *args)

    def count(self, size):
        """Use up the limit.

        Raises
        ------
        ValueError
            If the answer is larger than allowed.
        """
        self.allowed_bytes -= size
        if self.allowed_bytes < 0:
            raise ValueError("answer is too large")


class IncompleteHeadError(HTTPException):
    """An answer ended within its head."""


class MalformedAnswerError(HTTPException):
    """An answer is not of the form that HTTP prescribes."""


class _HeadLines:
    """Lines of an answer's head, which have to be complete, and field lines after the first.

    The library takes the end of the connection, and a line that it cannot parse, for the end of the
    head. The fields behind it would be lost, among them the length of the body.
    """

    def __init__(self, file):
        self._file = file
        self._has_read = False

    def readline(self, limit):
        """Read a field line, or the empty one that ends the head.

        Raises
        ------
        IncompleteHeadError
            If the answer ends within the line or before it.
        MalformedAnswerError
            If it is neither.
        """
        line = self.read_any_line(limit)
        if not is_field_line(line) and line not in EMPTY_LINES:
            raise MalformedAnswerError(f"malformed header line: {line[:40]!r}")
        return line

    def read_any_line(self, limit):
        """Read a line, whatever it holds; nothing if the connection is closed without an answer.

        Raises
        ------
        IncompleteHeadError
            If the answer ends within the line or before it.
        """
        line = self._file.readline(limit)
        # Nothing at all is a closed connection, which the library tells apart.
        if (line or self._has_read) and len(line) < limit and not line.endswith(b"\n"):
            raise IncompleteHeadError(f"the answer ended within its head: {line[:40]!r}")
        self._has_read = True
        return line

    def close(self):
        self._file.close()


class _Response(HTTPResponse):
    """Response whose head and chunks have to be complete and of the exact form.

    The library takes any number from 100 to 999 after any white space for a status, all interim
    answers but 100 for final ones, a length that it cannot read for none, and any number that the
    language knows, also one that is cut off, for the size of a chunk.
    """

    _status_line = None

    def begin(self):
        """Read the head.

        Raises
        ------
        HTTPException
            If it is not that of an answer whose end is certain.
        ValueError
            If the length has more digits than the interpreter converts.
        """
        file, self.fp = self.fp, _HeadLines(self.fp)
        try:
            super().begin()
        finally:
            # The library drops the file when it closes the connection.
            if self.fp is not None:
                self.fp = file
        codings, lengths = (self.headers.get_all(name, []) for name in FRAMING_FIELDS)
        _check_framing(self._status_line, codings, lengths)
        self._set_framing(codings, lengths)

    def _set_framing(self, codings, lengths):
        """Replace what the library has read of the valid fields that frame the body.

        The library ignores a coding with white space behind it and a length that is too large to
        convert, and expects chunks after heads that have no body.
        """
        if self._method == "HEAD" or self.status in STATUSES_WITHOUT_BODY:
            self.chunked, self.length = False, 0
        else:
            self.chunked, self.chunk_left = bool(codings), None
            self.length = int(lengths[0]) if lengths and not codings else None
        self.will_close = self._check_close() or (not self.chunked and self.length is None)

    # The library calls the next three methods for the framing of chunks.

    def _get_chunk_left(self):
        if self.chunk_left == 0:
            end = self._safe_read(len(CHUNK_END))
            if end != CHUNK_END:
                raise MalformedAnswerError(f"{end!r} behind the data of a chunk")
            # The library reads no end before the first chunk.
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self):
        line = self._read_chunk_line()
        size = parse_chunk_size(line)
        if size is None:
            raise MalformedAnswerError(f"malformed size of a chunk: {line[:40]!r}")
        return size

    def _read_and_discard_trailer(self):
        while (line := self._read_chunk_line()) not in EMPTY_LINES:
            if not is_field_line(line):
                raise MalformedAnswerError(f"malformed trailer: {line[:40]!r}")

    def _read_chunk_line(self):
        """Read a line before a chunk or a trailer."""
        line = self.fp.readline(LINE_LIMIT_BYTES)
        if len(line) < LINE_LIMIT_BYTES and not line.endswith(b"\n"):
            # The first zeros of a size could pass for that of the last chunk.
            raise IncompleteRead(line)
        return line

    def _read_status(self):
        while True:
            line = self.fp.read_any_line(LINE_LIMIT_BYTES)
            if not line:
                raise RemoteDisconnected("connection closed without an answer")
            status_line = parse_status_line(line)
            if status_line is None:
                raise BadStatusLine(repr(line[:40]))
            if not status_line.is_interim:
                self._status_line = status_line
                return status_line.version, status_line.status, status_line.reason
            self._skip_interim_fields(status_line)

    def _skip_interim_fields(self, status_line):
        values_by_name = {name.lower(): [] for name in FRAMING_FIELDS}
        while (line := self.fp.readline(LINE_LIMIT_BYTES)) not in EMPTY_LINES:
            name, _, value = line.decode("latin-1").rstrip("\r\n").partition(":")
            if name.lower() in values_by_name:
                values_by_name[name.lower()].append(value)
        _check_framing(status_line, *values_by_name.values())


def _check_framing(status_line, codings, lengths):
    fault = find_answer_framing_fault(status_line, codings, lengths)
    if fault is not None:
        raise MalformedAnswerError(fault)


class AnswerConnection(HTTPConnection):
    """Connection whose answers are limited in size.

    Attributes
    ----------
    answer_limit_bytes : int
        Limit on the bytes of each answer, its head included.
    number : int
        Number of the connection among those opened by the process; 0 if they are not counted.
    """

    response_class = _Response
    answer_limit_bytes = HEAD_LIMIT_BYTES
    number = 0

    def connect(self):
        """Open the connection."""
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The library creates the socket itself and offers no way to choose its class. Without
        # eventlet's patches it is an ordinary one, and blocks no other thread.
        if isinstance(self.sock, GreenSocket):
            self.sock.__class__ = AnswerSocket
        self._allow_answer()

    def putrequest(self, *args, **kwargs):
        """Begin a request, whose answer has the whole limit again."""
        self._allow_answer()
        return super().putrequest(*args, **kwargs)

    def _allow_answer(self):
        if isinstance(self.sock, AnswerSocket):
            self.sock.allowed_bytes = self.answer_limit_bytes


def make_pool_manager(answer_limit_bytes, **options):
    """Return pools of `AnswerConnection` by address, with options of urllib3's `PoolManager`."""
    limit_bytes = answer_limit_bytes

    class Connection(AnswerConnection):
        answer_limit_bytes = limit_bytes

    class ConnectionPool(HTTPConnectionPool):
        ConnectionCls = Connection

    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": ConnectionPool}
    return manager
