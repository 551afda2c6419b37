"""The request port of an entry as a process of its own, which passes all requests to one server.

The first argument is the address of the server, the second the memory for answers in bytes, and the
others are constants of `figfold.gateway.caller_socket` as ``NAME=SECONDS``. Prints the address of
the port and that of its state, a JSON object.
"""

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

import json  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402

from eventlet import wsgi  # noqa: E402
from loguru import logger  # noqa: E402

from figfold.core.traffic.configuration import CallerLimits  # noqa: E402
from figfold.entry.answer_memory import AnswerMemory  # noqa: E402
from figfold.entry.connections import Connections  # noqa: E402
from figfold.entry.metrics import Metrics  # noqa: E402
from figfold.gateway import caller_socket  # noqa: E402
from figfold.gateway.apps import RequestApp  # noqa: E402
from figfold.gateway.protocol import make_gateway_protocol  # noqa: E402
from standins.process import address_of, listen  # noqa: E402

BUFFER_BYTES = 1 << 20
TIMEOUT_S = 30.0
# Small enough that answers do not fit into what the system holds for a connection.
SOCKET_BUFFER_BYTES = 16 << 10


def main(server_address, memory_bytes, *constants):
    """Serve until the process is ended."""
    logger.remove()
    for constant in constants:
        name, _, value = constant.partition("=")
        setattr(caller_socket, name, float(value))
    memory, metrics = AnswerMemory(int(memory_bytes)), Metrics()
    connections = Connections(TIMEOUT_S, BUFFER_BYTES, memory)

    def serve(request, watch_caller):
        stop_watching = watch_caller(lambda: None)
        try:
            message = (request.method, "/", (), request.body)
            return connections.exchange(server_address, message, TIMEOUT_S, name="s0")
        finally:
            stop_watching()

    app = RequestApp(
        serve=serve,
        stage=lambda: "serving",
        metrics=metrics,
        log=logger,
        limits=CallerLimits,
        answer_memory=memory,
    )

    def state(_environ, start_response):
        start_response("200 OK", [("Content-Type", "application/json")])
        values = {"held_bytes": memory.held_bytes, "body_bytes": app.body_memory.held_bytes}
        return [json.dumps(values | {"metrics": metrics.render()}).encode()]

    listener, state_listener = listen(), listen()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    protocol = make_gateway_protocol(metrics, CallerLimits, lambda _host, _path: True)
    print(address_of(listener), address_of(state_listener), flush=True)
    eventlet.spawn_n(wsgi.server, state_listener, state, log_output=False)
    with open("/dev/null", "w", encoding="ascii") as log:
        wsgi.server(listener, app, log=log, log_output=False, protocol=protocol, debug=False)


if __name__ == "__main__":
    main(*sys.argv[1:])
