"""A deployment on the users' platform on loopback: the store, backend servers and entries.

The store and the servers run in green threads of the calling process, the entries in separate
processes.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import eventlet
from attrs import frozen
from eventlet.green.http import client as green_client

from standins.endpoint import Endpoint
from standins.process import address_of, listen, spawn_wsgi
from standins.rows import RowTables
from test.support import ROOT

READY_S = 20.0
HEARTBEAT_S = 0.3
CALL_TIMEOUT_S = 10.0
HOST = "h.example"
_returned_addresses = set()


@frozen
class ServiceServers:
    """Number of backend servers of a service in a data centre."""

    service: str
    place: str
    count: int


def make_configuration(version, routes, organisations=None):
    """Return the value of the operator's row.

    Parameters
    ----------
    version : int
    routes : dict[str, dict]
        Fields of each route by name, which override the common ones.
    organisations : dict[str, dict] or None
        Fields of each organisation by name; None configures no organisations.
    """
    common = {"host": HOST, "targetLatencyS": 0.3, "priority": 1, "maxAttempts": 2, "sticky": True}
    services = {route["service"] for route in routes.values()}
    configuration = {
        "version": f"r{version}",
        "routes": {name: common | route for name, route in routes.items()},
        "services": {name: {"coldPerS": 2.6} for name in sorted(services)},
        "limits": {},
    }
    return configuration if organisations is None else configuration | {"tenants": organisations}


class PlatformDeployment:
    """A running deployment: the store, the backend servers and the entries.

    Attributes
    ----------
    rows : RowTables
        The store.
    endpoint_by_id : dict[str, Endpoint]
    entries : list[Entry]
        All entries that were started, including stopped ones.
    """

    def __init__(self, region_by_place, servers, configuration):
        self.region_by_place = region_by_place
        self.rows = RowTables()
        listener = listen()
        spawn_wsgi(listener, self.rows.app)
        self.store_address = address_of(listener)
        self.endpoint_by_id = {}
        self.removed_ids = set()
        self.entries = []
        self.folder = tempfile.TemporaryDirectory()
        for one in servers:
            for number in range(one.count):
                self.add_endpoint(f"{one.service}-{one.place}-{number}", one.service, one.place)
        self.rows.put("op", "config", configuration)
        self._heartbeats = eventlet.spawn(self._send_heartbeats)

    def add_endpoint(self, server_id, service, place, **options):
        """Start a backend server and register it."""
        endpoint = Endpoint(server_id, service, place, **options).start()
        self.endpoint_by_id[server_id] = endpoint
        self.rows.put("servers", server_id, endpoint.row())

    def _send_heartbeats(self):
        while True:
            eventlet.sleep(HEARTBEAT_S)
            for server_id, endpoint in self.endpoint_by_id.items():
                if server_id not in self.removed_ids:
                    self.rows.put("servers", server_id, endpoint.row())

    def remove_endpoint(self, server_id):
        """Remove the row of a backend server, which goes on serving."""
        self.removed_ids.add(server_id)
        self.rows.remove("servers", server_id)

    def start_entry(self, name, place, **options):
        """Start an entry, with options of its settings, and wait until it is ready."""
        entry = self.start_entry_process(name, place, **options)
        entry.wait_ready()
        return entry

    def start_entry_process(self, name, place, **options):
        """Start an entry without waiting for it."""
        folder = Path(self.folder.name)
        entry = Entry(name, place, self.store_address, folder, self.region_by_place, options)
        self.entries.append(entry)
        return entry

    def stop(self):
        """Stop everything."""
        self._heartbeats.kill()
        for entry in self.entries:
            entry.kill()
        self.folder.cleanup()

    def runs(self, request_id):
        """Return how often a request has run at all servers together."""
        return sum(endpoint.runs[request_id] for endpoint in self.endpoint_by_id.values())

    def set_fault(self, fault, service="", count=3):
        """Set a fault at ``count`` servers of a service, or of all; an empty fault removes it."""
        chosen = [one for one in self.endpoint_by_id.values() if service in one.service]
        for endpoint in chosen[:count]:
            endpoint.fault = fault


class Entry:
    """One entry process.

    Attributes
    ----------
    address : dict[str, str]
        Addresses on which the entry listens, by the name of the port.
    settings : Path
        Its settings file.
    """

    PORTS = ("caller", "ready", "lookup", "peer", "metrics")

    def __init__(self, name, place, store_address, folder, region_by_place, options=None):
        self.name = name
        self.place = place
        self.address = {port: self.free_address(port) for port in self.PORTS}
        lines = ["[gateway]", f"name = {name}", f"place = {place}"]
        lines += [f"{port}_address = {address}" for port, address in self.address.items()]
        options = {"store_address": store_address, "stop_grace_s": 2} | (options or {})
        lines += [f"{option} = {value}" for option, value in options.items()]
        lines += ["[log]", "level = INFO"]
        for one, region in region_by_place.items():
            lines += [f"[place {one}]", f"region = {region}"]
        self.settings = folder / f"{name}.ini"
        self.settings.write_text("\n".join(lines), encoding="utf-8")
        self.log_path = folder / f"{name}.log"
        self.output = self.log_path.open("a")
        command = [sys.executable, "-W", "ignore", "-m", "figfold.gateway.main"]
        command.append(str(self.settings))
        self.child = subprocess.Popen(command, cwd=ROOT, stdout=self.output)

    def free_address(self, _port):
        """Return the address for one of the ports."""
        return _free_address()

    def is_ready(self):
        """Return whether the entry reports that it is ready for callers."""
        try:
            return self.get("ready", "/ready")[0] == 200
        except OSError:
            return False

    def wait_ready(self):
        """Wait until the entry is ready for callers.

        Raises
        ------
        RuntimeError
            If that takes too long.
        """
        _wait(self.is_ready, f"{self.name} was not ready")

    def get(self, port, path, headers=None):
        """Send a GET to one of the ports and return status, headers and body."""
        return self.send(port, "GET", path, None, headers)

    def send(self, port, method, path, body, headers=None):
        """Send a request to one of the ports and return status, headers and body."""
        connection = green_client.HTTPConnection(self.address[port], timeout=CALL_TIMEOUT_S)
        try:
            chunked = "Transfer-Encoding" in (headers or {})
            connection.request(method, path, body, headers or {}, encode_chunked=chunked)
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()

    def request(
        self,
        request_id,
        method="GET",
        path="/read/1",
        key="k",
        deadline_ms=2000,
        body=b"x",
        **others,
    ):
        """Send a caller's request and return status, headers and body."""
        headers = others | {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Affinity-Key": key,
            "Deadline-Ms": str(deadline_ms),
        }
        return self.send("caller", method, path, body if method == "POST" else None, headers)

    def events(self):
        """Return the decoded lines of the entry's log."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]

    def terminate(self):
        """Send SIGTERM to the entry."""
        self.child.send_signal(signal.SIGTERM)

    def hang_up(self):
        """Send SIGHUP to the entry."""
        self.child.send_signal(signal.SIGHUP)

    def kill(self):
        """Kill the entry with SIGKILL."""
        self.child.kill()
        self.child.wait()
        self.output.close()


def _own_host():
    """Return a loopback address that only this process uses.

    Outgoing connections use any free port of 127.0.0.1, which could be one chosen for an entry that
    does not listen yet.
    """
    number = os.getpid()
    return f"127.1.{number >> 8 & 255}.{number & 255}"


def _free_address():
    """Return an address with a free port that was not returned before."""
    host = _own_host()
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            address = f"{host}:{sock.getsockname()[1]}"
        if address not in _returned_addresses:
            _returned_addresses.add(address)
            return address


def _wait(condition, failure):
    limit = time.monotonic() + READY_S
    while not condition():
        if time.monotonic() > limit:
            raise RuntimeError(failure)
        eventlet.sleep(0.05)
