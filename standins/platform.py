"""Stand-in for the platform: rows, objects and the instance list over HTTP, with faults."""

import json
import os
import socket
import time
from collections import Counter
from urllib.parse import parse_qsl

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from attrs import frozen  # noqa: E402
from eventlet import wsgi  # noqa: E402

from standins.faults import FaultSet  # noqa: E402
from standins.links import MS_PER_S, Delays  # noqa: E402
from standins.process import (  # noqa: E402
    STATUS_LINE_BY_STATUS,
    address_of,
    json_app,
    listen,
    read_settings,
    reset_connection,
    run_until_terminated,
    spawn_wsgi,
)
from standins.relay_client import RelayClient  # noqa: E402
from standins.rows import RowTables  # noqa: E402
from standins.store import InstanceList, ObjectStore  # noqa: E402

DEFAULTS = {
    "address": "127.0.0.1:0",
    "control_address": "127.0.0.1:0",
    "regions": {},  # names of places by region
    "store_place": "",
    "place_delay_ms": 0,  # one-way, between places of a region
    "region_delay_ms": 0,  # one-way, between regions
    "list_lag_ms": 500,
    "relay_control": "",  # control address of the network stand-in, if addresses are relayed
    "seed": 1,
}
SILENCE_CHECK_S = 0.05
GARBAGE_BYTES = 400
WRITE_PATHS = frozenset({"/rows-tx", "/blob-put", "/blob-drop"})
INSTANCE_TABLE = "instances"


@frozen
class Request:
    """A request to the platform, with the properties that faults and counters select by."""

    path: str
    query: dict
    kind: str
    table: str
    name: str
    place: str
    entry: str
    body: bytes

    @property
    def is_write(self):
        """Whether the request writes to the store."""
        return self.path in WRITE_PATHS

    @classmethod
    def from_environ(cls, environ):
        """Create a request from a WSGI environment."""
        path, body = environ["PATH_INFO"], environ["wsgi.input"].read()
        query = dict(parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True))
        table, name, kind = query.get("table", ""), query.get("from", ""), "table"
        if path.startswith("/blob-"):
            path, _, name = path.removeprefix("/").partition("/")
            path, kind = f"/{path}", "objects"
        elif path == "/rows-tx":
            call = json.loads(body)
            row = (call["writes"] + call["remove"])[0]
            table, name = row["table"], row["key"]
        if table == INSTANCE_TABLE:
            kind = "instances"
        place = environ.get("HTTP_FIGFOLD_PLACE", "")
        entry = environ.get("HTTP_FIGFOLD_FROM", "")
        return cls(path, query, kind, table, name, place, entry, body)


class Platform:
    """State and request handling of the stand-in."""

    def __init__(self, settings):
        self.rows = RowTables()
        self.objects = ObjectStore()
        self.instances = InstanceList(settings["list_lag_ms"] / MS_PER_S)
        # One table for readers at each place, since each place reaches addresses through its own
        # relays.
        self._instance_rows_by_place = {}
        self.faults = FaultSet(settings["seed"])
        self.counts_by_operation = {"reads": Counter(), "writes": Counter()}
        self.counts_by_second = {"reads": Counter(), "writes": Counter()}
        self.delays = Delays.from_config(settings)
        self._place = settings["store_place"]
        self._relays = RelayClient(settings["relay_control"])

    @classmethod
    def from_config(cls, settings):
        """Create the platform from the stand-in's settings."""
        return cls(settings)

    def delay_s(self, place):
        """Return the one-way delay in seconds between a place and the store."""
        return self.delays.between(place, self._place) if place else 0.0

    def app(self, environ, start_response):
        """Handle a request, with the network delay and the fault that applies to it (WSGI)."""
        request = Request.from_environ(environ)
        fault = self.faults.next_fault(request)
        delay_s = self.delay_s(request.place)
        if fault and fault.mode == "slow":
            delay_s += fault.delay_ms / MS_PER_S / 2
        eventlet.sleep(delay_s)
        if fault and fault.mode in ("silent", "down", "garbage"):
            return self._answer_with_fault(fault, environ, start_response)
        status, body = self._answer(request, environ)
        eventlet.sleep(delay_s)
        if fault and fault.mode == "lose_answers":
            return _reset(environ)
        return _send(start_response, status, body)

    def _answer_with_fault(self, fault, environ, start_response):
        if fault.mode == "silent":
            while self.faults.is_active(fault):
                eventlet.sleep(SILENCE_CHECK_S)
        if fault.mode == "garbage":
            return _send_garbage(environ)
        if fault.mode == "down" and fault.status:
            return _send(start_response, fault.status, b"")
        return _reset(environ)

    def _answer(self, request, environ):
        self._count(request)
        if request.kind == "objects":
            return self._answer_object(request, environ)
        rows = self.rows if request.kind == "table" else self._instance_rows(request.place)
        status, value = rows.answer(request.path, request.query, request.body)
        return status, json.dumps(value).encode()

    def _answer_object(self, request, environ):
        if request.path == "/blob-get":
            return self.objects.get(request.name)
        if request.path == "/blob-put":
            if_absent = environ.get("HTTP_IF_NONE_MATCH") == "*"
            return self.objects.put(request.name, request.body, if_absent), b""
        return 404, b""

    def _instance_rows(self, place):
        """Return the instance rows that readers at a place see now."""
        rows, known = self._instance_rows_by_place.setdefault(place, (RowTables(), {}))
        items = {
            item["name"]: self._with_relayed_addresses(item, place)
            for item in self.instances.visible_items()
        }
        for name in known.keys() - items.keys():
            rows.remove(INSTANCE_TABLE, name)
        for name, item in items.items():
            if known.get(name) != item:
                rows.put(INSTANCE_TABLE, name, item)
        self._instance_rows_by_place[place] = rows, items
        return rows

    def _with_relayed_addresses(self, item, reader_place):
        if not reader_place or item.get("place") == reader_place:
            return item
        return self._relays.rewrite(item, reader_place)

    def _count(self, request):
        operation = "writes" if request.is_write else "reads"
        self.counts_by_operation[operation][request.table or request.kind] += 1
        self.counts_by_second[operation][int(time.time())] += 1

    # Control port.

    def control_app(self):
        """Return the WSGI app of the control port."""
        return json_app(
            {
                ("GET", "/counters"): self._get_counters,
                ("GET", "/instances"): self._get_instances,
                ("PUT", "/instances"): self._put_instances,
                ("POST", "/faults"): self._post_faults,
                ("POST", "/settings"): self._post_settings,
            }
        )

    def _get_counters(self, _body, _query):
        last_second = int(time.time()) - 1
        counters = {name: dict(counts) for name, counts in self.counts_by_operation.items()}
        for name, counts in self.counts_by_second.items():
            counters[f"{name}_last_s"] = counts[last_second]
            counters[f"{name}_peak_s"] = max(counts.values(), default=0)
        counters["fault_hits"] = dict(self.faults.hits_by_mode)
        return counters

    def _get_instances(self, _body, _query):
        return {"instances": list(self.instances.item_by_name.values())}

    def _put_instances(self, body, _query):
        self.instances.update(body["instances"], immediate=body.get("immediate", False))
        return {}

    def _post_faults(self, body, _query):
        self.faults.replace(body)
        return {}

    def _post_settings(self, body, _query):
        if "list_lag_ms" in body:
            self.instances.lag_s = body["list_lag_ms"] / MS_PER_S
        if "place_delay_ms" in body:
            self.delays.place_delay_s = body["place_delay_ms"] / MS_PER_S
        if "region_delay_ms" in body:
            self.delays.region_delay_s = body["region_delay_ms"] / MS_PER_S
        return {}


def _send(start_response, status, body):
    start_response(STATUS_LINE_BY_STATUS[status], [("Content-Length", str(len(body)))])
    return [body]


def _send_garbage(environ):
    sock = environ["eventlet.input"].get_socket()
    sock.sendall(os.urandom(GARBAGE_BYTES))
    # A reset could discard the bytes before the client has read them.
    sock.shutdown(socket.SHUT_WR)
    wsgi.WSGI_LOCAL.already_handled = True
    return []


def _reset(environ):
    reset_connection(environ["eventlet.input"].get_socket())
    wsgi.WSGI_LOCAL.already_handled = True
    return []


def main():
    """Run the platform stand-in."""
    settings = read_settings(DEFAULTS)
    platform = Platform.from_config(settings)
    listener = listen(settings["address"])
    control_listener = listen(settings["control_address"])
    spawn_wsgi(listener, platform.app)
    spawn_wsgi(control_listener, platform.control_app())
    run_until_terminated(
        {
            "address": address_of(listener),
            "control_address": address_of(control_listener),
            "url": f"http://{address_of(listener)}",
        }
    )


if __name__ == "__main__":
    main()
