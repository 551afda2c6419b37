"""HTTP parsing at an entry's ports: malformed requests get a refusal with a result code."""

import json
from functools import partial
from socket import SHUT_WR

from eventlet import Timeout, wsgi
from eventlet.wsgi import HttpProtocol

from figfold.core.codes import Code, Outcome

# Limit on one header line. The library's default is 8 KiB, although a configuration may allow a
# longer head; 64 KiB is the library's own limit on all header lines together.
HEADER_LINE_BYTES = 64 << 10
# Start of a refusal by the WSGI server, which writes it at once, unlike an application's answer.
LIBRARY_REFUSAL_PREFIX = b"HTTP/1.0 4"
# Limits on reading the rest of a refused request before its connection is closed.
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

    class CodedRefusalProtocol(HttpProtocol):
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

        def parse_request(self):
            if not super().parse_request():
                return False
            if len(self.headers.get_all("Content-Length", ())) > 1:
                # A peer that uses the other length would take part of the body for a request.
                self.send_error(400, "more than one Content-Length")
                return False
            return True

        def send_error(self, code, message=None, explain=None):
            self.close_connection = True
            self.wfile.write_refusal(refuse(int(code), message or "malformed request"))

        def log_message(self, *_arguments):
            """Log nothing."""

    return CodedRefusalProtocol


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
