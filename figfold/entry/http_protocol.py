"""HTTP parsing at an entry's ports: malformed requests get a refusal with a result code."""

import json
from functools import partial
from socket import SHUT_WR

import eventlet
from eventlet import Timeout, wsgi
from eventlet.wsgi import ChunkReadError, HttpProtocol, Input

from figfold.core.codes import Code, Outcome
from figfold.core.http_framing import (
    CHUNK_END,
    HTTP_BAD_REQUEST,
    WHITE_SPACE,
    find_framing_fault,
    is_field_line,
    parse_chunk_size,
)
from figfold.entry.answer_connection import YieldingSocket
from figfold.entry.clock import now_s

# Limit on one header line. The library's default is 8 KiB, although a configuration may allow a
# longer head; 64 KiB is the library's own limit on all header lines together.
HEADER_LINE_BYTES = 64 << 10
# Start of a refusal by the WSGI server, which writes it at once, unlike an application's answer.
LIBRARY_REFUSAL_PREFIX = b"HTTP/1.0 4"
EMPTY_LINES = (b"\r\n", b"\n")
FRAMING_FIELDS = ("Transfer-Encoding", "Content-Length")
# Limits on the line before a chunk of a body, and on all lines after the last chunk.
CHUNK_LINE_BYTES = 4 << 10
TRAILER_BYTES = 64 << 10
# The library's value of the length of the current chunk before the first one.
NO_CHUNK_YET = -1
# Lines of one body after which other green threads may run.
YIELD_CHUNK_LINES = 500
# Limits on reading the rest of a body that its application has refused. A caller that is still
# sending might not see the answer if the connection were closed.
DISCARD_LIMIT_BYTES = 64 << 20
DISCARD_LIMIT_S = 30.0
# Limits on reading the rest of a malformed request before its connection is closed.
DRAIN_LIMIT_BYTES = 1 << 20
DRAIN_LIMIT_S = 1.0
DRAIN_CHUNK_BYTES = 1 << 16


# The library has no parameter for this limit.
wsgi.MAX_HEADER_LINE = HEADER_LINE_BYTES


def make_protocol(metrics):
    """Return the protocol class of a port, which counts its refusals in the metrics."""

    def refuse(status, reason):
        metrics.count_code(Code.BAD_REQUEST)
        return _format_refusal(status, reason)

    class CodedRefusalProtocol(_LimitedProtocol):
        """Parses requests; logs nothing, since malformed requests could flood the log."""

        def setup(self):
            super().setup()
            # Replaces the refusals of the WSGI server in what is written to a file.
            self.wrap_file = partial(_RefusalWriter, refuse=refuse)
            self.wfile = self.wrap_file(self.wfile)

        def finish(self):
            if self.wfile.drains_at_close:
                _drain(self.connection, self.wfile)
            super().finish()

        def send_error(self, code, message=None, explain=None):
            self.close_connection = True
            self.wfile.write_refusal(refuse(int(code), message or "malformed request"))

        def log_message(self, *_arguments):
            """Log nothing."""

    return CodedRefusalProtocol


class _LimitedProtocol(HttpProtocol):
    """Limits what is read of a caller who sends without end, and lets others run meanwhile."""

    def setup(self):
        # The library makes the socket and the body's reader and offers no way to choose classes.
        self.request.__class__ = YieldingSocket
        super().setup()

    def _read_request_line(self):
        line = super()._read_request_line()
        # Some callers send an empty line after a body (RFC 9112, 2.2).
        return super()._read_request_line() if line in EMPTY_LINES else line

    def parse_request(self):
        lines = self.rfile = _FieldLines(self.rfile)
        if not super().parse_request():
            return False
        fault = find_framing_fault(
            self.request_version,
            self.headers.get_all("Transfer-Encoding", ()),
            self.headers.get_all("Content-Length", ()),
        )
        if not lines.are_valid:
            fault = HTTP_BAD_REQUEST, "malformed header line"
        if fault is not None:
            self.send_error(*fault)
            return False
        for name in FRAMING_FIELDS:
            if name in self.headers:
                self.headers.replace_header(name, self.headers[name].strip(WHITE_SPACE))
        return True

    def get_environ(self):
        environ = super().get_environ()
        body = environ["wsgi.input"]
        body.__class__ = _LimitedInput
        body.rfile = _ChunkLines(body.rfile)
        return environ


class _FieldLines:
    """Wraps the file of a request's head, of which the library accepts malformed lines."""

    def __init__(self, file):
        self._file = file
        self.are_valid = True

    def readline(self, size=-1):
        """Read a line of the head, the empty one included."""
        line = self._file.readline(size)
        if line and line not in EMPTY_LINES and not is_field_line(line):
            self.are_valid = False
        return line


class _ChunkLines:
    """Wraps the file of a request's body, whose lines the library reads whatever they hold.

    Only the lines between the data of chunks are read without a size.
    """

    def __init__(self, file):
        self._file = file
        self._lines = 0
        self._check = _check_size
        self.read = file.read

    def readline(self, size=None):
        """Read a line.

        Raises
        ------
        ChunkReadError
            If the line is too long, malformed or cut short, or was read behind such a line.
        """
        self._lines += 1
        if self._lines % YIELD_CHUNK_LINES == 0:
            eventlet.sleep(0)
        if size is not None:
            return self._file.readline(size)
        line = self._file.readline(CHUNK_LINE_BYTES)
        # What follows a malformed line could be taken for another request.
        check, self._check = self._check, _refuse_line
        self._check = check(line)
        return line


def _check_size(line):
    """Check the line before a chunk, and return the function that checks the next line."""
    size = parse_chunk_size(line)
    if size is None:
        raise ChunkReadError("size of a chunk is malformed")
    return _check_end if size else _check_trailer


def _check_end(line):
    if line != CHUNK_END:
        raise ChunkReadError("end of a chunk is malformed")
    return _check_size


def _check_trailer(line):
    if line not in EMPTY_LINES and not is_field_line(line):
        raise ChunkReadError("trailer is malformed")
    return _check_trailer


def _refuse_line(_line):
    raise ChunkReadError("the framing of the body is lost")


class _LimitedInput(Input):
    """A request's body, of which no more is read than an application can have asked for.

    Attributes
    ----------
    discard_until_s : float or None
        When to stop reading what is left of a body that the application did not read to its end, in
        monotonic seconds; None for `DISCARD_LIMIT_S` from then on.
    """

    discard_until_s = None

    def _discard_trailers(self, rfile):
        # Without their end the body is not complete, although the library has noted its last chunk.
        self.chunk_length = NO_CHUNK_YET
        left_bytes = TRAILER_BYTES
        while (line := rfile.readline()) not in EMPTY_LINES:
            left_bytes -= len(line)
            if left_bytes < 0:
                raise ChunkReadError("trailers are too long")
        self.chunk_length = 0

    def discard(self, buffer_size=DRAIN_CHUNK_BYTES):
        """Read what is left of the body, so that its caller gets the answer.

        Raises
        ------
        ChunkReadError
            If that is too much or takes too long; the library then closes the connection.
        """
        now = now_s()
        until_s = now + DISCARD_LIMIT_S if self.discard_until_s is None else self.discard_until_s
        left_bytes = DISCARD_LIMIT_BYTES
        with Timeout(max(0.0, until_s - now), ChunkReadError("the rest of a body takes too long")):
            while data := self.read(buffer_size):
                left_bytes -= len(data)
                if left_bytes < 0:
                    raise ChunkReadError("the rest of a body is too long")


class _RefusalWriter:
    """Wraps a connection's file to replace refusals of the WSGI server by ones with a code."""

    def __init__(self, file, refuse):
        self._file = file
        self._refuse = refuse
        self.drains_at_close = False

    def write(self, data):
        if data.startswith(LIBRARY_REFUSAL_PREFIX):
            status_line = data.split(b"\r\n", 1)[0].decode("ascii")
            _, status, reason = status_line.split(" ", 2)
            return self.write_refusal(self._refuse(int(status), reason))
        return self._file.write(data)

    def write_refusal(self, data):
        """Write a refusal, after which the connection is not used again."""
        self.drains_at_close = True
        return self._file.write(data)

    def __getattr__(self, name):
        return getattr(self._file, name)


def _drain(connection, file):
    """Read the rest of a refused request, within limits, before the connection is closed.

    The system resets a connection that is closed with unread bytes, and the caller may then never
    receive the refusal.
    """
    try:
        file.flush()
        connection.shutdown(SHUT_WR)
        left_bytes = DRAIN_LIMIT_BYTES
        with Timeout(DRAIN_LIMIT_S, False):
            while left_bytes > 0 and (chunk := connection.recv(DRAIN_CHUNK_BYTES)):
                left_bytes -= len(chunk)
    except OSError:
        # The caller has closed or reset the connection, so it reads no answer any more.
        pass


def _format_refusal(status, message):
    value = {
        "code": int(Code.BAD_REQUEST),
        "name": Code.BAD_REQUEST.name.lower(),
        "outcome": Outcome.NOT_RUN.value,
        # The message may quote bytes of the request.
        "message": message[:100],
        "remedy": "send valid HTTP/1.1",
        "entries": [],
    }
    body = json.dumps(value).encode()
    head = (
        f"HTTP/1.1 {status} Refused\r\n"
        "Connection: close\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Figfold-Code: {int(Code.BAD_REQUEST)}\r\n"
        f"Figfold-Outcome: {Outcome.NOT_RUN.value}\r\n\r\n"
    )
    return head.encode("ascii") + body
