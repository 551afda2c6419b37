"""Gateway entries in virtual time, which learn of backend servers from a fake store and peers."""

import json
from collections import Counter
from random import Random
from urllib.parse import parse_qsl, urlsplit

import eventlet
from attrs import Factory, define, evolve, frozen
from loguru import logger
from result import Err, Ok

from figfold.config.gateway_settings import GatewaySettings
from figfold.config.section_settings import PeerSettings
from figfold.core.codes import Code, Failure
from figfold.core.regions.balancer import STEP_S
from figfold.gateway.process import GatewayProcess
from figfold.platform.answers import Answer
from figfold.platform.rows import RowStore
from figfold.wire.codec import decode, encode, try_encode
from figfold.wire.messages import KnowledgeRequest, Report
from standins.rows import RowTables
from test.virtual import VirtualHub

SERVICE = "stock"
OWN_PLACE_DELAY_S = 0.0005
OWN_REGION_DELAY_S = 0.003
SILENT_DELAY_S = 600.0  # A message that is cut off does not arrive within any timeout.


@frozen
class ServerLeaving:
    """When the store accepted that a server leaves, or that it is gone."""

    server_id: str
    at_s: float


@define
class FakeStoreHttp:
    """Calls of the store by one entry, with the delays and cuts of its links."""

    fleet: object
    entry: str

    timeout_s = 1.0

    def send(self, operation, method, path, body=None, headers=None, timeout_s=None):
        """Send a call and return Ok(Answer), or a failure after the timeout."""
        timeout_s = timeout_s or self.timeout_s
        with eventlet.Timeout(timeout_s, False):
            return self._call(path, body)
        return Err(Failure(Code.STORE_TIMEOUT, f"{operation}: silent"))

    def _call(self, path, body):
        fleet = self.fleet
        eventlet.sleep(fleet.store_delay_s(self.entry))
        if fleet.refusal_by_entry.get(self.entry) == "busy":
            return Err(Failure(Code.STORE_ERROR, "busy"))
        url = urlsplit(path)
        status, value = fleet.tables.answer(url.path, dict(parse_qsl(url.query)), body)
        headers = {name.lower(): text for name, text in fleet.tables.header_by_name().items()}
        answer = Answer(status, headers, json.dumps(value).encode())
        eventlet.sleep(fleet.store_delay_s(self.entry))
        return Ok(answer)


@define
class FakePeerClient:
    """Peer client of one entry, which calls the handler of the other entry directly."""

    fleet: object
    entry: str

    def call(self, address, message, timeout_s):
        """Deliver a message and return Ok(reply), or a failure after the timeout."""
        with eventlet.Timeout(timeout_s, False):
            return self._call(self.fleet.entry_by_ip[address.partition(":")[0]], message)
        return Err(Failure(Code.PEER_TIMEOUT, "silent"))

    def _call(self, other, message):
        fleet = self.fleet
        if isinstance(message, KnowledgeRequest):
            fleet.row_requests_by_entry[other] += 1
        else:
            fleet.messages_by_entry[self.entry] += 1
            fleet.messages_by_entry[other] += 1
        if fleet.random.random() < fleet.loss:
            eventlet.sleep(SILENT_DELAY_S)
        eventlet.sleep(fleet.peer_delay_s(self.entry, other))
        process = fleet.process_by_entry.get(other)
        if process is None:
            return Err(Failure(Code.PEER_UNREACHABLE, "refused"))
        gateway = fleet.gateway_by_entry[other]
        received = decode(encode(message)).unwrap()
        if isinstance(message, KnowledgeRequest) and {self.entry, other} in fleet.slow_pairs:
            eventlet.sleep(SILENT_DELAY_S)
        answer = fleet.hub.run_as(process, gateway.peers.handle, received)
        for one in (message, answer):
            fleet.news_told += len(one.known_entries) if isinstance(one, Report) else 0
        reply = try_encode(answer)
        if reply.is_err():
            return reply
        if fleet.process_by_entry.get(other) != process:
            return Err(Failure(Code.PEER_UNREACHABLE, "reset"))
        eventlet.sleep(fleet.peer_delay_s(other, self.entry))
        return decode(reply.ok())


@define
class VirtualFleet:
    """Entries by name, the rows of the backend servers, and the faults between them.

    Attributes
    ----------
    region_delay_s : float
        One-way delay between regions.
    extra_delay_by_entry : dict[str, float]
        Added to the one-way delay of each message that an entry sends, in seconds.
    refusal_by_entry : dict[str, str]
        How the store treats an entry: ``busy`` (refused at once) or ``silent``.
    isolated : set[str]
        Entries whose messages to and from other entries do not arrive.
    loss : float
        Fraction of the calls between entries that are lost.
    messages_by_entry : Counter
        Calls that an entry has made or received, but for those about the store's rows.
    news_told : int
        Entries that reports have named, besides their senders.
    row_requests_by_entry : Counter
        Requests for the store's rows that an entry has received.
    slow_pairs : set[frozenset[str]]
        Pairs of entries whose replies with rows arrive too late, as on a full link; reports do not.
    changed_settings : dict[str, object]
        Settings of the entries that start, apart from the packaged defaults.
    """

    hub: VirtualHub
    region_by_place: dict
    region_delay_s: float
    store_region: str = ""
    tables: RowTables = Factory(RowTables)
    place_by_entry: dict = Factory(dict)
    entry_by_ip: dict = Factory(dict)
    gateway_by_entry: dict = Factory(dict)
    process_by_entry: dict = Factory(dict)
    extra_delay_by_entry: dict = Factory(dict)
    refusal_by_entry: dict = Factory(dict)
    isolated: set = Factory(set)
    slow_pairs: set = Factory(set)
    loss: float = 0.0
    messages_by_entry: Counter = Factory(Counter)
    row_requests_by_entry: Counter = Factory(Counter)
    news_told: int = 0
    random: Random = Factory(lambda: Random(1))
    changed_settings: dict = Factory(dict)
    leavings: list = Factory(list)
    _starts: int = 0
    _rows_by_server: Counter = Factory(Counter)

    @classmethod
    def from_places(
        cls,
        hub,
        region_by_place,
        region_delay_s,
        entries_per_place,
        servers_per_place,
        store_era=None,
    ):
        """Return a fleet whose entries have started and know all servers."""
        fleet = cls(hub, region_by_place, region_delay_s, next(iter(region_by_place.values())))
        fleet.tables.era, fleet.tables.clock = store_era, lambda: hub.now
        fleet.put_configuration(1)
        for place in region_by_place:
            for number in range(servers_per_place):
                fleet.put_server(f"{place}-s{number}", place)
        for place in region_by_place:
            for number in range(entries_per_place):
                fleet.start_entry(f"{place}-e{number}", place)
        eventlet.sleep(6.0)
        return fleet

    # Entries.

    def start_entry(self, name, place):
        """Start the process of an entry."""
        self._starts += 1
        process = f"{name}/{self._starts}"
        ip_by_entry = {one: ip for ip, one in self.entry_by_ip.items()}
        ip = ip_by_entry.get(name, f"10.1.{len(ip_by_entry) >> 8}.{len(ip_by_entry) & 255}")
        self.entry_by_ip[ip] = name
        settings = make_settings(name, place, ip, self.region_by_place)
        settings = evolve(settings, **self.changed_settings)
        self.place_by_entry[name] = place
        self.process_by_entry[name] = process
        self.hub.run_as(process, self._start, name, settings)

    def _start(self, name, settings):
        gateway = GatewayProcess.from_config(settings, logger.bind(entry=name), None)
        http = FakeStoreHttp(self, name)
        eras = gateway.store_reader.eras
        gateway.store_reader.store = RowStore(http, lambda code, operation: None, eras)
        gateway.peers.client = gateway.store_sync.client = FakePeerClient(self, name)
        gateway.quota_exchange.client = gateway.peers.client
        self.gateway_by_entry[name] = gateway
        gateway.store_sync.start()
        eventlet.spawn_n(gateway._register)
        gateway._start_loop("peers", settings.peers.interval_s, gateway.prober.start_round)
        gateway._start_loop("regions", STEP_S, gateway.request_runner.region_shares.update)

    def kill(self, name):
        """End the process of an entry at once."""
        self.hub.killed.add(self.process_by_entry.pop(name))

    def is_usable(self, entry, server_id):
        """Return whether the entry may send a request to the server now."""
        fleet = self.gateway_by_entry[entry].cluster.fleet
        ids = {server.record.id for server in fleet.usable_servers(SERVICE)}
        return server_id in ids and fleet.accepts_requests(server_id)

    def users_of(self, server_id):
        """Return the running entries that may send requests to a server now."""
        return [one for one in self.process_by_entry if self.is_usable(one, server_id)]

    def reader_of(self, region):
        """Return the entry that reads the store for a region."""
        entries = sorted(
            one
            for one in self.process_by_entry
            if self.region_by_place[self.place_by_entry[one]] == region
        )
        return entries[0]

    # Delays.

    def store_delay_s(self, entry):
        """Return the one-way delay between an entry and the store, in seconds."""
        if self.refusal_by_entry.get(entry) == "silent":
            return SILENT_DELAY_S
        region = self.region_by_place[self.place_by_entry[entry]]
        delay_s = OWN_REGION_DELAY_S if region == self.store_region else self.region_delay_s
        return delay_s + self.extra_delay_by_entry.get(entry, 0.0)

    def peer_delay_s(self, sender, receiver):
        """Return the delay of a message between two entries, in seconds."""
        if sender in self.isolated or receiver in self.isolated:
            return SILENT_DELAY_S
        places = self.place_by_entry[sender], self.place_by_entry[receiver]
        regions = {self.region_by_place[place] for place in places}
        delay_s = OWN_PLACE_DELAY_S if len(set(places)) == 1 else OWN_REGION_DELAY_S
        if len(regions) > 1:
            delay_s = self.region_delay_s
        return delay_s + self.extra_delay_by_entry.get(sender, 0.0)

    # Rows of the operator and of the backend servers.

    def put_configuration(self, version, route_count=1, organisations=None):
        """Write a configuration with that many routes, whose names are drawn.

        Parameters
        ----------
        organisations : dict or None
            Organisations by name, as the operator writes them.
        """
        names = Random(version)
        routes = {
            f"r-{number}": {
                "kind": "safe",
                "host": f"{names.getrandbits(20):x}.example",
                "prefix": f"/{names.getrandbits(40):x}/",
                "service": SERVICE,
                "timeoutS": 2.0,
                "targetLatencyS": 0.5,
            }
            for number in range(route_count)
        }
        configuration = {"version": f"r{version}", "routes": routes, "services": {SERVICE: {}}}
        if organisations is not None:
            configuration["tenants"] = organisations
        self.tables.put("op", "config", configuration)

    def put_server(self, server_id, place, state="ready"):
        """Write the next row of a server."""
        self.tables.put("servers", server_id, self._next_row(server_id, place, state))

    def put_server_late(self, server_id, place, delay_s):
        """Let the store perform the next heartbeat of a server only after a delay."""
        row = self._next_row(server_id, place, "ready")
        eventlet.spawn_after(delay_s, self.tables.put, "servers", server_id, row)

    def _next_row(self, server_id, place, state):
        self._rows_by_server[server_id] += 1
        return {
            "info": {"service": SERVICE, "zone": place, "slots": 3, "version": "1"},
            "status": {
                "state": state,
                "sequence": self._rows_by_server[server_id],
                "coldRemainingS": 0,
            },
            "address": "10.0.0.1:80",
            "born": 1,
        }

    def remove_server(self, server_id, drains_first=False):
        """Remove the row of a server that leaves, or mark it as draining."""
        if drains_first:
            self.put_server(server_id, server_id.rpartition("-")[0], "draining")
        else:
            self.tables.remove("servers", server_id)
        self.leavings.append(ServerLeaving(server_id, self.hub.now))


def make_settings(name, place, ip, region_by_place):
    """Return the settings of an entry, with the packaged defaults."""
    return GatewaySettings(
        name=name,
        place=place,
        caller_address=f"{ip}:1",
        ready_address=f"{ip}:2",
        lookup_address=f"{ip}:3",
        peer_address=f"{ip}:4",
        metrics_address=f"{ip}:5",
        store_address="127.0.0.1:1",
        store_timeout_s=1.0,
        server_read_interval_s=1.0,
        configuration_wait_s=3.0,
        stop_grace_s=6.0,
        memory_mb=300.0,
        lookup_ttl_s=2.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_slack=60.0,
        revocation_bound_s=0.0,
        hedge_ratio=0.0,
        limit_window_s=5.0,
        limit_overshoot=0.0,
        limit_slack=0.0,
        region_by_place=region_by_place,
        peers=PeerSettings(1.0, 3, 3.0, 1.0, ("127.0.0.0/8",)),
        log=None,
    )
