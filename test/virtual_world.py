"""Environment of simulated entries: callers, backend servers, faults and checks."""

from collections import Counter
from itertools import count

import eventlet
from attrs import Factory, define, field
from loguru import logger

from figfold.core.codes import Code, Outcome
from figfold.core.model import Instance, Role, State
from figfold.entry.metrics import Metrics
from figfold.entry.node import EntryDependencies, Node
from figfold.entry.request_types import CallerRequest
from test.virtual import VirtualHub
from test.virtual_connections import FakeConnections, FakePeers
from test.virtual_store import FakeStore

RESTART_S = 1.5  # How long a crashed backend server refuses connections.


@define
class FakeServer:
    """A backend server that runs and counts requests, with faults.

    ``fault`` applies to each request: ``reset_before`` and ``reset_after`` (connection reset before
    or after the run), ``short`` (truncated answer), ``silent_old`` (no answer on connections that
    were used before), ``refuse`` (connections are refused), ``shed``. A request whose target is
    `POISON` crashes the server: all requests in progress are reset, and new connections are refused
    for `RESTART_S`.
    """

    name: str
    service: str
    place: str
    slots: int
    seconds: float = 0.05
    fault: str = ""
    leaving: bool = False
    in_progress: int = 0
    max_in_progress: int = 0
    last_request_at_s: float = 0.0
    health: object = None
    down_until_s: float = 0.0
    crashes: list = Factory(list)
    run_by_id: dict = Factory(dict)

    def refuses(self, now):
        """Return whether new connections are refused now."""
        return self.fault == "refuse" or now < self.down_until_s


@define
class World:
    """The entries by name, and everything around them.

    Attributes
    ----------
    disconnected_pairs : set[frozenset[str]]
        Pairs of entries that can't reach each other.
    violations : list[tuple]
        Broken guarantees, each with its time.
    not_run_nonces, not_run_keys
        Requests whose outcome was reported as not run, to compare with the runs at the end.
    """

    hub: VirtualHub
    settings_of: object
    store: FakeStore = None
    node_by_name: dict = Factory(dict)
    process_by_name: dict = Factory(dict)
    server_by_name: dict = Factory(dict)
    runs_by_key: Counter = Factory(Counter)
    runs_by_nonce: Counter = Factory(Counter)
    disconnected_pairs: set = Factory(set)
    forwarded_requests: list = Factory(list)
    peer_delay_s: float = 0.001
    place_in_progress: Counter = Factory(Counter)
    violations: list = Factory(list)
    cap_of: object = lambda service, place: 10**9
    not_run_nonces: set = Factory(set)
    not_run_keys: list = Factory(list)
    sends_by_key: Counter = Factory(Counter)
    address_by_name: dict = Factory(dict)
    name_by_address: dict = Factory(dict)
    _incarnations: object = field(factory=lambda: count(1))
    _ids: object = field(factory=lambda: count(1))

    @classmethod
    def from_topology(cls, hub, topology, settings_of, service_s=0.05):
        """Create a world with all backend servers of a topology and no entries."""
        world = cls(hub, settings_of, FakeStore(hub))
        for service in topology.service_by_name.values():
            for place, number in service.endpoints_by_place.items():
                for index in range(number):
                    name = f"{service.name}-{place}-{index + 1}"
                    server = FakeServer(name, service.name, place, service.slots, service_s)
                    world.server_by_name[name] = server
                    world.publish_server(server)
        return world

    # Entries.

    def start_entry(self, name, place, clock_behind_s=0.0):
        """Start an entry, or a new process of it, on an instance whose clock may be behind."""
        process = f"{name}#{next(self._incarnations)}"
        started_ms = int((self.hub.now - clock_behind_s) * 1000) + 1
        return self.hub.run_as(process, self._start, process, name, place, started_ms)

    def _start(self, process, name, place, incarnation):
        address = self.address_of(name)
        addresses = dict.fromkeys(("address", "admin_address", "peer_address"), address)
        dependencies = EntryDependencies(
            store=self.store.client(name),
            peers=FakePeers(self, name),
            connections=FakeConnections(self, name, process),
            probe=self.probe,
            addresses=addresses,
            incarnation=incarnation,
        )
        node = Node.from_config(self.settings_of(name, place), logger, dependencies, Metrics())
        self.node_by_name[name] = node
        self.process_by_name[name] = process
        self.store.instance_by_name[name] = Instance(
            name, Role.ENTRY, place, State.LIVE, "", address, address, address
        )
        node.start()
        return node

    def kill(self, name):
        """End an entry's process at once."""
        self.hub.killed.add(self.process_by_name.pop(name))
        del self.node_by_name[name]
        for forwarded in [
            forwarded for forwarded in self.forwarded_requests if forwarded.receiver == name
        ]:
            forwarded.reset()

    def freeze(self, name, seconds):
        """Suspend an entry's process for a time, as SIGSTOP does."""
        self.hub.frozen_until[self.process_by_name[name]] = self.hub.now + seconds

    def is_reachable(self, one, other):
        """Return whether a message from one entry reaches the other now."""
        process = self.process_by_name.get(other)
        if process is None or self.hub.frozen_until.get(process, 0.0) > self.hub.now:
            return False
        return frozenset((one, other)) not in self.disconnected_pairs

    def address_of(self, name):
        """Return an address for a name, always the same one."""
        known = self.address_by_name.setdefault(name, f"10.0.0.{len(self.address_by_name)}:1")
        self.name_by_address[known] = name
        return known

    # Callers.

    def send(
        self,
        entry,
        service,
        method="GET",
        key="",
        body=b"",
        seconds=2.0,
        target="/short",
        first_use=False,
    ):
        """Send a request to an entry, check the result and return it."""
        node = self.node_by_name[entry]
        nonce = f"n{next(self._ids)}"
        request = CallerRequest(
            id=f"r{nonce}",
            service=service,
            method=method,
            target=target,
            headers=(("Figfold-Nonce", nonce),),
            body=body,
            deadline_s=self.hub.now + seconds,
            key=key,
            fingerprint=f"{service}{method}{target}{body}",
            first_use=first_use,
        )
        self.sends_by_key[key] += 1
        result = self.hub.run_as(self.process_by_name[entry], node.router.serve, request)
        self._check(result, request, nonce)
        return result

    def _check(self, result, request, nonce):
        if result.is_ok():
            answer = result.ok()
            replayed = any(name == "Figfold-Replayed" for name, _ in answer.headers)
            if answer.status == 200 and not replayed:
                if not answer.body.endswith(f" {nonce}".encode()):
                    self.violations.append((self.hub.now, "answer", nonce, answer.body))
            if ("Figfold-Outcome", Outcome.NOT_RUN.value) in answer.headers:
                # A refusal by the entry to which the request was forwarded.
                self.not_run_nonces.add(nonce)
            return
        if result.err().outcome is Outcome.NOT_RUN:
            self.not_run_nonces.add(nonce)
            # When a first use was sent again before it ended, its outcome covers only itself.
            repeated = request.first_use and self.sends_by_key[request.key] > 1
            reused = result.err().failure.code is Code.KEY_REUSED
            if request.key and not reused and not repeated:
                self.not_run_keys.append((request.key, self.runs_by_key[request.key]))

    def check_claims(self):
        """Compare the outcomes reported to callers with the runs at the servers."""
        for nonce in self.not_run_nonces:
            if self.runs_by_nonce[nonce]:
                self.violations.append((self.hub.now, "reported as not run, but ran", nonce))
        for key, runs in self.not_run_keys:
            if runs:
                self.violations.append((self.hub.now, "key reported as not run, but ran", key))
        for key, runs in self.runs_by_key.items():
            if runs > 1:
                self.violations.append((self.hub.now, "ran twice", key))

    def spawn_send(self, results, entry, *args, **kwargs):
        """Send in a green thread of the entry's process; the result is appended to a list."""

        def run():
            try:
                results.append((entry, self.send(entry, *args, **kwargs)))
            except Exception as error:
                self.violations.append((self.hub.now, "error", repr(error)))

        self.hub.run_as(self.process_by_name[entry], eventlet.spawn_n, run)

    # Backend servers.

    def publish_server(self, server):
        """Update the server in the platform's instance list."""
        state = State.LEAVING if server.leaving else State.LIVE
        self.store.instance_by_name[server.name] = Instance(
            server.name,
            Role.SERVER,
            server.place,
            state,
            server.service,
            self.address_of(server.name),
        )

    def probe(self, address):
        """Answer a health probe."""
        server = self.server_by_name[self.name_by_address[address]]
        if server.refuses(self.hub.now):
            return None
        if server.health is not None:
            return server.health
        return State.LEAVING if server.leaving else State.LIVE

    def begin_run(self, server, request, process):
        """Count a request as running at a server, and check slots and cap."""
        headers = dict(request[2])
        key = headers.get("Idempotency-Key", "")
        if key:
            self.runs_by_key[key] += 1
        self.runs_by_nonce[headers.get("Figfold-Nonce", "")] += 1
        server.in_progress += 1
        server.last_request_at_s = self.hub.now
        server.max_in_progress = max(server.max_in_progress, server.in_progress)
        counted = (server.service, server.place)
        self.place_in_progress[counted] += 1
        if server.in_progress > server.slots:
            self.violations.append((self.hub.now, "slots", server.name, server.in_progress))
        if self.place_in_progress[counted] > self.cap_of(*counted):
            self.violations.append((self.hub.now, "cap", counted, self.place_in_progress[counted]))

    def end_run(self, server, run_id):
        """Count the end of a run, unless a crash ended it already."""
        if server.run_by_id.pop(run_id, None) is not None:
            server.in_progress -= 1
            self.place_in_progress[server.service, server.place] -= 1

    def crash(self, server, body):
        """Crash a server: reset all requests in progress and refuse connections for `RESTART_S`."""
        server.crashes.append((self.hub.now, body))
        server.down_until_s = self.hub.now + RESTART_S
        for run_id, (process, end) in list(server.run_by_id.items()):
            self.end_run(server, run_id)
            if not end.ready():
                self.hub.run_as(process, end.send, "reset")
