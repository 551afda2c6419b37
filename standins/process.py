"""Common parts of the stand-in processes: settings, control port, ready line and shutdown."""

import argparse
import json
import os
import signal
import socket
import sys
from pathlib import Path
from urllib.parse import parse_qsl

import eventlet
from eventlet import wsgi

BACKLOG = 1024
STATUS_LINE_BY_STATUS = {
    200: "200 OK",
    201: "201 Created",
    204: "204 No Content",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    503: "503 Service Unavailable",
}


def read_settings(defaults, arguments=None):
    """Return the defaults, overridden by the JSON of ``--settings FILE`` and ``--json TEXT``.

    Raises
    ------
    SystemExit
        If a setting is unknown.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", help="JSON file of settings")
    parser.add_argument("--json", help="settings as JSON text")
    options = parser.parse_args(arguments)
    settings = dict(defaults)
    if options.settings:
        settings |= json.loads(Path(options.settings).read_text(encoding="utf-8"))
    if options.json:
        settings |= json.loads(options.json)
    unknown = sorted(settings.keys() - defaults.keys())
    if unknown:
        parser.error(f"unknown settings: {', '.join(unknown)}")
    return settings


def listen(address="127.0.0.1:0"):
    """Return a listening socket at ``host:port``; port 0 selects a free port."""
    host, port = address.rsplit(":", 1)
    # With SO_REUSEPORT, two processes could unnoticed listen on the same fixed port.
    listener = eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)
    # Accepted sockets inherit this: small responses must not wait for an acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def address_of(listener):
    """Return the ``host:port`` that a listening socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def spawn_wsgi(listener, app):
    """Serve a WSGI app on the listener in a green thread, without access logs."""
    options = {"log_output": False, "max_size": 100_000, "debug": False}
    return eventlet.spawn(wsgi.server, listener, app, log=sys.stderr, **options)


def json_app(handler_by_route):
    """Return a WSGI app that calls handlers by (method, path).

    Each handler takes the decoded JSON body and the query parameters, and returns a value that is
    sent as JSON. A KeyError, TypeError, ValueError or AttributeError in it is answered with 400.
    """

    def app(environ, start_response):
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = handler_by_route.get(route)
        if handler is None:
            return _answer_json(start_response, 404, {"error": f"no route {route}"})
        try:
            text = environ["wsgi.input"].read()
            body = json.loads(text) if text else {}
            query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
            return _answer_json(start_response, 200, handler(body, query))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return _answer_json(start_response, 400, {"error": repr(error)})

    return app


def _answer_json(start_response, status, value):
    data = json.dumps(value).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start_response(STATUS_LINE_BY_STATUS[status], headers)
    return [data]


def run_until_terminated(ready):
    """Print the ready line and serve until SIGTERM or SIGINT, which exit with status 0."""

    def end(_number, _frame):
        # A stand-in has no persistent state, so there is nothing to close first.
        os._exit(0)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    print(json.dumps({"event": "ready"} | ready), flush=True)
    while True:
        eventlet.sleep(3600)


def reset_on_close(sock):
    """Make a later close of the socket send a reset."""
    linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        pass


def reset_connection(sock):
    """Close a connection with a reset: the peer sees ECONNRESET instead of an orderly end.

    No other green thread may wait on the socket, or eventlet raises in its hub.
    """
    reset_on_close(sock)
    sock.close()
