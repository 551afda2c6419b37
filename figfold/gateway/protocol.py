"""HTTP protocol of the request port: time limits of callers, and requests sent ahead of answers."""

import eventlet
from eventlet.wsgi import BROKEN_SOCK as BROKEN_SOCKET_ERRORS

from figfold.entry.http_protocol import make_protocol
from figfold.gateway.caller_connection import CallerConnection, read_ahead_request
from figfold.gateway.caller_socket import CallerSocket

# Keys of the WSGI environment.
RAW_TARGET = "figfold.target"
CONNECTION = "figfold.connection"
CLOSES_CONNECTION = "figfold.closes_connection"
# Methods whose requests may run beside others, and headers that announce a body.
SAFE_METHODS = frozenset({"GET", "HEAD"})
BODY_HEADERS = ("Content-Length", "Transfer-Encoding", "Expect")


def make_gateway_protocol(metrics, limits, may_overlap):
    """Return the protocol class of the request port.

    Parameters
    ----------
    metrics : Metrics
    limits : callable
        Returns the `CallerLimits` in force.
    may_overlap : callable
        ``(host, path) -> bool``, whether such a request without a body may run while others of its
        connection do.
    """
    functions = {
        "limits": staticmethod(limits),
        "route_may_overlap": staticmethod(may_overlap),
        "on_given_up": staticmethod(lambda: metrics.count("answers_given_up")),
    }
    return type("GatewayProtocol", (_OverlappingRequests, make_protocol(metrics)), functions)


def host_name(host):
    """Return the name in the value of a Host header, without the port."""
    return host.partition(":")[0].lower()


class _OverlappingRequests:
    """Applies the time limits to callers, and runs requests of one connection side by side.

    A request that was read ahead of an answer is run by a copy of the connection's protocol.

    Attributes
    ----------
    caller : CallerConnection
    ahead_request : AheadRequest or None
        The request of this copy, if it was read ahead.
    """

    ahead_request = None

    def setup(self):
        super().setup()
        self.connection.__class__ = CallerSocket
        self.connection.memory = self.server.app.answer_memory
        self.connection.on_given_up = self.on_given_up
        self.caller = CallerConnection.from_socket(
            self.connection, lambda: read_ahead_request(self)
        )
        self.rfile = self.caller.file

    def finish(self):
        self.caller.cancel_ahead()
        super().finish()

    def handle_one_request(self):
        try:
            is_last = self.caller.answer_ahead(self.wfile)
        except OSError as error:
            if error.errno not in BROKEN_SOCKET_ERRORS:
                raise
            is_last = True
        if is_last is None:
            super().handle_one_request()
        else:
            self.close_connection = is_last
        if self.close_connection:
            self.caller.cancel_ahead()

    def read_request(self):
        """Read one request, which `handle_one_response` starts or leaves for later."""
        super().handle_one_request()

    def handle_one_response(self):
        ahead = self.ahead_request
        if ahead is None:
            self.caller.may_overlap = self._may_overlap()
            self._respond()
            return
        ahead.is_parsed = True
        if self._may_overlap():
            ahead.thread = eventlet.spawn(self._run_ahead)

    def run_deferred(self):
        """Run a request that was read ahead, now that all before it have been answered."""
        self.ahead_request = None
        self.handle_one_response()

    def _run_ahead(self):
        # The request counts as in progress until its answer is on the connection.
        app = self.server.app
        app.in_progress += 1
        try:
            self._respond()
            self.wfile.wait_for_turn()
        finally:
            app.in_progress -= 1

    def _respond(self):
        super().handle_one_response()
        if self.environ.get(CLOSES_CONNECTION):
            # eventlet does not look at the header of the answer. Requests behind it may be unread.
            self.close_connection = True
            self.wfile.drains_at_close = True

    def _may_overlap(self):
        has_body = any(self.headers.get(name) for name in BODY_HEADERS)
        if self.command not in SAFE_METHODS or has_body or self.close_connection:
            return False
        host = host_name(self.headers.get("Host", ""))
        return self.route_may_overlap(host, self.path.partition("?")[0])

    def _read_request_line(self):
        # eventlet limits an idle connection by `keepalive`, and each read after the request
        # line by `socket_timeout`.
        self.server.keepalive = self.limits().idle_timeout_s
        self.server.socket_timeout = self.limits().header_timeout_s
        return super()._read_request_line()

    def parse_request(self):
        is_read = super().parse_request()
        if is_read:
            # The library has replaced several slashes at the beginning by one.
            self.path = self.requestline.split()[1]
        self.connection.settimeout(self.limits().idle_timeout_s)
        return is_read

    def get_environ(self):
        environ = super().get_environ()
        # The target as sent: the parsed one loses escapes and an empty query.
        environ[RAW_TARGET] = self.path
        environ[CONNECTION] = self.caller
        return environ
