"""Slopes of calls over loopback: store, instance list, health probe and peer exchange.

Runs in a separate process, because the daemon's calls use sockets patched by eventlet.
"""

import argparse
import json
import time

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

import urllib3  # noqa: E402

from bench.capacity_fit import US_PER_S, Slope, cost_us  # noqa: E402
from bench.capacity_samples import (  # noqa: E402
    make_instances,
    make_known,
    make_report,
    make_topology,
)
from figfold.core.model import Role  # noqa: E402
from figfold.entry.probes import make_probe  # noqa: E402
from figfold.platform.client import PlatformClient  # noqa: E402
from figfold.wire.client import PeerClient  # noqa: E402
from figfold.wire.messages import Report  # noqa: E402
from figfold.wire.server import PeerServer, PeerServerSettings  # noqa: E402
from test.support import start_standin  # noqa: E402

CALLS = 150
EXCHANGES = 600
CONCURRENT_EXCHANGES = 16
TIMEOUT_S = 5.0
PLACES = (6, 28, 110)
ENTRIES_BY_PLACES = {6: 24, 28: 112, 110: 480}
DIGESTS = (0, 4, 24, 64)
HEAD_BYTES = (150, 1_500, 7_150)
# Numbers of open connections, each with a client, a listener and a server end.
CONNECTIONS = (24, 96, 192)


def call_slopes(seed):
    """Return every slope of this module."""
    platform = start_standin("platform", seed=seed)
    servers = [{"name": "s-1", "service": "s", "place": "p"}]
    backend = start_standin("backend", servers=servers, seed=seed)
    try:
        slopes = _store_slopes(platform)
        slopes.append(_probe_slope(backend))
    finally:
        backend.stop()
        platform.stop()
    return slopes + [_exchange_slope(), _connection_slope()]


def _store_slopes(platform):
    client = PlatformClient.from_config(platform.ready["url"], "bench", "")
    reads, unchanged = [], []
    for size in HEAD_BYTES:
        row = f"row{size}"
        client.put_row("bench", row, b"x" * size, if_absent=True).unwrap()
        reads.append((size, cost_us(CALLS, client.get_row, "bench", row)))
        known = client.get_row("bench", row).unwrap()
        unchanged.append((size, cost_us(CALLS, client.get_row, "bench", row, known)))
    etag = [client.put_row("bench", "seat", b"x" * 100, if_absent=True).unwrap()]

    def write():
        etag[0] = client.put_row("bench", "seat", b"x" * 100, if_match=etag[0]).unwrap()

    slopes = [
        Slope.from_points("call: read a row", "us", "bytes of the row", reads),
        Slope.from_points("call: read an unchanged row", "us", "bytes of the row", unchanged),
        Slope.from_points("call: write a seat row", "us", "calls", [(1, cost_us(CALLS, write))]),
    ]
    return slopes + _list_slopes(platform, client)


def _list_slopes(platform, client):
    times, unchanged, sizes = [], [], []
    for places in PLACES:
        items = _list_items(places)
        platform.control("PUT", "/instances", {"instances": items, "immediate": True})
        count = len(client.list_instances().unwrap())
        times.append((count, cost_us(10, client.list_instances)))
        known = client.read_listing().unwrap()
        unchanged.append((count, cost_us(CALLS, client.read_listing, known)))
        http = urllib3.PoolManager()
        sizes.append(
            (
                count,
                len(
                    http.request(
                        "GET", platform.ready["url"] + "/rows-get?table=instances&part="
                    ).data
                ),
            )
        )
    client.close()
    return [
        Slope.from_points("call: read the instance list", "us", "instances", times),
        Slope.from_points("call: read the unchanged list", "us", "instances", unchanged),
        Slope.from_points("call: instance list", "bytes", "instances", sizes),
    ]


def _list_items(places):
    items = []
    for one in make_instances(make_topology(places), ENTRIES_BY_PLACES[places]):
        item = {"name": one.name, "role": one.role.value, "place": one.place, "state": "live"}
        item["address"] = one.address
        if one.role is Role.ENTRY:
            item |= {"peer_address": one.peer_address, "admin_address": one.admin_address}
        else:
            item["service"] = one.service
        items.append(item)
    return items


def _probe_slope(backend):
    probe = make_probe()
    address = backend.ready["servers"][0]["address"]
    return Slope.from_points(
        "call: health probe", "us", "calls", [(1, cost_us(CALLS, probe, address))]
    )


def _exchange_slope():
    points = []
    for items in DIGESTS:
        message = Report(make_report("r1-p1-e1", "r1-p1"), make_known(items))
        points.append((items, _exchange_us(message)))
    return Slope.from_points("call: peer exchange, both ends", "us", "digest items", points)


def _exchange_us(message):
    server = _peer_server(message)
    client = PeerClient.from_config()
    pool = eventlet.GreenPool(CONCURRENT_EXCHANGES)
    costs = []
    for _ in range(3):
        started = time.process_time()
        for answered in pool.imap(
            lambda _: client.call(server.address, message, TIMEOUT_S), range(EXCHANGES)
        ):
            answered.unwrap()
        costs.append((time.process_time() - started) / EXCHANGES * US_PER_S)
    client.close()
    server.stop()
    return min(costs)


def _peer_server(message):
    server = PeerServer.from_config(PeerServerSettings("127.0.0.1"), lambda _: message)
    server.start()
    return server


def _connection_slope():
    """Return the cost of an exchange by the number of peers that exchanges alternate between."""
    message = Report(make_report("r1-p1-e1", "r1-p1"), make_known(4))
    points = []
    for count in CONNECTIONS:
        servers = [_peer_server(message) for _ in range(count)]
        client = PeerClient.from_config()
        pool = eventlet.GreenPool(count)

        def round_trip(servers=servers, client=client, pool=pool):
            for answered in pool.imap(
                lambda one: client.call(one.address, message, TIMEOUT_S), servers
            ):
                answered.unwrap()

        round_trip()
        points.append((count, cost_us(2, round_trip) / count))
        client.close()
        for server in servers:
            server.stop()
    return Slope.from_points("call: peer exchange, digest of 4", "us", "peers", points)


def main():
    """Print the slopes as a JSON list."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    print(json.dumps([slope.as_json() for slope in call_slopes(parser.parse_args().seed)]))


if __name__ == "__main__":
    main()
