"""HTTP parsing at an entry's ports: what is not valid HTTP gets a numbered, counted refusal."""

import json
from socket import SHUT_WR

from eventlet import Timeout, wsgi
from eventlet.wsgi import HttpProtocol

from figfold.core.codes import Code, Outcome

# One header line may take up all that a configuration allows for a head. The library refuses lines
# over 8 KiB unless told otherwise; 64 KiB are its own bound for all lines together.
HEADER_LINE_BYTES = 64 << 10
# The WSGI server writes its own refusals in one piece; answers of an application go out otherwise.
LIBRARY_REFUSAL = b"HTTP/1.0 4"
# How much of a refused request is still read, and for how long, before its connection is closed.
DRAIN_LIMIT_BYTES = 1 << 20
DRAIN_LIMIT_S = 1.0
DRAIN_PIECE_BYTES = 1 << 16


# The library has no parameter for it.
wsgi.MAX_HEADER_LINE = HEADER_LINE_BYTES


def make_protocol(metrics):
    """Return the protocol class of a port whose refusals are counted in the metrics."""

    def refuse(status, reason):
        metrics.count_code(Code.BAD_REQUEST)
        return _format_refusal(status, reason)

    class NumberedProtocol(HttpProtocol):
        """Parses requests; logs nothing, since callers decide how many are malformed."""

        def setup(self):
            super().setup()
            self.wfile = _RefusalWriter(self.wfile, refuse)

        def finish(self):
            if self.wfile.has_refused:
                _drain(self.connection, self.wfile)
            super().finish()

        def parse_request(self):
            if not super().parse_request():
                return False
            if len(self.headers.get_all("Content-Length", ())) > 1:
                # Whoever reads the other length takes the rest of the body for a request.
                self.send_error(400, "more than one Content-Length")
                return False
            return True

        def send_error(self, code, message=None, explain=None):
            self.close_connection = True
            self.wfile.write_refusal(refuse(int(code), message or "malformed request"))

        def log_message(self, *_arguments):
            """Log nothing."""

    return NumberedProtocol


class _RefusalWriter:
    """A connection's file in which refusals of the WSGI server are replaced by numbered ones."""

    def __init__(self, file, refuse):
        self._file = file
        self._refuse = refuse
        self.has_refused = False

    def write(self, data):
        if data.startswith(LIBRARY_REFUSAL):
            status_line = data.split(b"\r\n", 1)[0].decode("ascii")
            _, status, reason = status_line.split(" ", 2)
            return self.write_refusal(self._refuse(int(status), reason))
        return self._file.write(data)

    def write_refusal(self, data):
        """Write a refusal, after which the connection is not used again."""
        self.has_refused = True
        return self._file.write(data)

    def __getattr__(self, name):
        return getattr(self._file, name)


def _drain(connection, file):
    """Read on after a refusal for a while, so that no reset overtakes it.

    The system resets a connection that is closed with bytes unread, and the caller may then never
    see the answer that was sent before.
    """
    try:
        file.flush()
        connection.shutdown(SHUT_WR)
        left = DRAIN_LIMIT_BYTES
        with Timeout(DRAIN_LIMIT_S, False):
            while left > 0 and (piece := connection.recv(DRAIN_PIECE_BYTES)):
                left -= len(piece)
    except OSError:
        # The caller has closed or reset the connection: nothing is left to save.
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
