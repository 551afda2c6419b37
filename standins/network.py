"""Stand-in for the network between places: TCP relays with latency, bandwidth and faults."""

import socket
import time

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from attrs import frozen  # noqa: E402
from eventlet.queue import Queue  # noqa: E402
from greenlet import GreenletExit  # noqa: E402

from standins.links import Links  # noqa: E402
from standins.process import (  # noqa: E402
    address_of,
    json_app,
    listen,
    read_settings,
    reset_connection,
    run_until_terminated,
    spawn_wsgi,
)

DEFAULTS = {
    "control_address": "127.0.0.1:0",
    "regions": {},  # names of places by region
    "place_delay_ms": 0,  # one-way, between places of a region
    "region_delay_ms": 0,  # one-way, between regions
    "bits_per_s": 0,  # of the link between two regions, in each direction; 0 sets no limit
    "seed": 1,
}
RECEIVE_BYTES = 65536
# Chunks in flight in one direction of a connection; the sender blocks beyond that.
MAX_QUEUED_CHUNKS = 64
FREEZE_CHECK_S = 0.02
# The TCP handshake crosses the link there and back before the first bytes are sent.
HANDSHAKE_CROSSINGS = 2


@frozen
class Path:
    """A relayed route: the place of the client, and the place and address of the target."""

    from_place: str
    to_place: str
    target: str

    def response_direction(self):
        """Return the places in the direction of the responses: from, to."""
        return self.to_place, self.from_place


class RelayedConnection:
    """One relayed connection: two sockets, and whether all further bytes are dropped."""

    def __init__(self, path, client_sock, opened_at):
        self.path = path
        self.client_sock = client_sock
        self.target_sock = None
        self.opened_at = opened_at
        self.is_silent = False
        self.threads = []

    def spawn(self, function, *arguments):
        """Run a function in a green thread that ends with the connection."""
        thread = eventlet.spawn(function, self, *arguments)
        self.threads.append(thread)
        return thread

    def reset(self):
        """Reset both sockets."""
        # eventlet does not allow closing a socket that a green thread waits on.
        for thread in self.threads:
            if thread is not eventlet.getcurrent():
                thread.kill()
        for sock in (self.client_sock, self.target_sock):
            if sock:
                reset_connection(sock)


class Network:
    """All relays and their connections."""

    def __init__(self, links):
        self._links = links
        self._address_by_path = {}
        self._connections = set()

    @classmethod
    def from_config(cls, settings):
        """Create the network from the stand-in's settings."""
        return cls(Links.from_config(settings))

    def control_app(self):
        """Return the WSGI app of the control port."""
        return json_app(
            {
                ("POST", "/relay"): self._post_relay,
                ("POST", "/faults"): self._post_faults,
                ("POST", "/silence"): self._post_silence,
                ("GET", "/counters"): self._get_counters,
            }
        )

    def _post_relay(self, body, _query):
        path = Path(body["from_place"], body["to_place"], body["target"])
        if path not in self._address_by_path:
            listener = listen()
            self._address_by_path[path] = address_of(listener)
            eventlet.spawn(self._accept, listener, path)
        return {"address": self._address_by_path[path]}

    def _post_faults(self, body, _query):
        self._links.replace_faults(body)
        for connection in list(self._connections):
            if self._is_cut(connection.path):
                connection.reset()
        return {}

    def _post_silence(self, body, _query):
        """Drop all further bytes of the connections open now; new connections are not affected."""
        silenced = [c for c in self._connections if _is_selected(c.path, body)]
        for connection in silenced:
            connection.is_silent = True
        return {"connections": len(silenced)}

    def _get_counters(self, _body, _query):
        bytes_by_link = {
            f"{first}/{second}": size
            for (first, second), size in self._links.bytes_by_regions.items()
        }
        return {"connections": len(self._connections), "bytes_by_link": bytes_by_link}

    def _is_cut(self, path):
        directions = ((path.from_place, path.to_place), path.response_direction())
        return any(self._links.has_mode("cut", *direction, path.target) for direction in directions)

    # Connections.

    def _accept(self, listener, path):
        while True:
            sock, _address = listener.accept()
            if self._is_cut(path):
                reset_connection(sock)
                continue
            eventlet.spawn(self._relay, RelayedConnection(path, sock, time.monotonic()))

    def _relay(self, connection):
        path = connection.path
        self._connections.add(connection)
        try:
            host, port = path.target.rsplit(":", 1)
            connection.target_sock = eventlet.connect((host, int(port)))
            connection.target_sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            directions = (
                (connection.client_sock, connection.target_sock, (path.from_place, path.to_place)),
                (connection.target_sock, connection.client_sock, path.response_direction()),
            )
            pumps = [connection.spawn(self._pump, *direction) for direction in directions]
            for pump in pumps:
                pump.wait()
        except (OSError, GreenletExit):
            connection.reset()
        finally:
            self._connections.discard(connection)
            for sock in (connection.client_sock, connection.target_sock):
                if sock:
                    sock.close()

    def _pump(self, connection, source, sink, direction):
        chunks = Queue(MAX_QUEUED_CHUNKS)
        writer = connection.spawn(self._write, sink, direction, chunks)
        handshake_s = HANDSHAKE_CROSSINGS * self._links.delays.between(*direction)
        arrives_at = connection.opened_at + handshake_s
        data = b"-"
        while data:
            try:
                data = source.recv(RECEIVE_BYTES)
            except OSError:
                data = None
            scheduled_at = self._links.schedule_transfer(
                len(data or b""), *direction, connection.path.target
            )
            # TCP delivers the bytes of a connection in order.
            arrives_at = max(arrives_at, scheduled_at)
            chunks.put((arrives_at, data))
        writer.wait()

    def _write(self, connection, sink, direction, chunks):
        data = b"-"
        while data:
            arrives_at, data = chunks.get()
            eventlet.sleep(max(0.0, arrives_at - time.monotonic()))
            while self._links.has_mode("freeze", *direction, connection.path.target):
                eventlet.sleep(FREEZE_CHECK_S)
            if connection.is_silent:
                continue
            try:
                _forward(sink, data)
            except OSError:
                connection.reset()
                return


def _forward(sink, data):
    if data is None:
        raise ConnectionResetError("the other side was reset")
    if data:
        sink.sendall(data)
    else:
        sink.shutdown(socket.SHUT_WR)


def _is_selected(path, body):
    selection = (body.get("from_place"), body.get("to_place"), body.get("target"))
    names = (path.from_place, path.to_place, path.target)
    return all(
        selected in (None, "", name) for selected, name in zip(selection, names, strict=True)
    )


def main():
    """Run the network stand-in."""
    settings = read_settings(DEFAULTS)
    network = Network.from_config(settings)
    control_listener = listen(settings["control_address"])
    spawn_wsgi(control_listener, network.control_app())
    run_until_terminated({"control_address": address_of(control_listener)})


if __name__ == "__main__":
    main()
