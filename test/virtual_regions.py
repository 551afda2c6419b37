"""Demand that differs between regions and over time, served by gateway entries in virtual time.

The entries are those of the daemon, with their reports; servers, links and callers are simulated.
`python -m test.virtual_regions PER_S SECONDS SEED` compares the setting on and off.
"""

import math
import sys
from collections import Counter
from random import Random

import eventlet
from attrs import Factory, define, frozen

from figfold.core.codes import Code
from figfold.core.regions.shares import distance
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.core.traffic.server_load import LoadReport
from figfold.entry.clock import now_s
from figfold.gateway.requests import GatewayRequest
from figfold.gateway.sender import AttemptResult
from figfold.platform.headers import AnswerHeaders
from test.virtual import run_virtual
from test.virtual_gateway import SERVICE, VirtualFleet

REGION_BY_PLACE = {"a1": "a", "b1": "b", "c1": "c"}
PHASE_BY_REGION = {"a": 0.0, "b": 0.33, "c": 0.67}
REGION_DELAY_S = 0.055
SLOTS = 3
QUEUE = 9
MEMORY = 16  # Objects that a server keeps warm.
COLD_S = 0.66
WARM_S = 0.2
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
SLOW_MACHINE_SHARE = 0.15
SLOW_MACHINE_FACTOR = 2.5
SLOW_MACHINE_PERIOD_S = 0.6
TARGET_S = 0.6
TIMEOUT_S = 3.0
LATE_WORTH = 0.2
WINDOW_S = 2.0
SAMPLE_S = 0.1


@define(eq=False)
class Server:
    """A simulated server with slots, a queue, and the objects that it keeps warm."""

    region: str
    slots: eventlet.Semaphore = Factory(lambda: eventlet.Semaphore(SLOTS))
    running: int = 0
    waiting: int = 0
    objects: dict = Factory(dict)
    machine_slowdown: float = 1.0
    fault_slowdown: float = 1.0

    def use_object(self, key):
        """Return whether the object was warm; it is the last to be forgotten now."""
        is_warm = self.objects.pop(key, None) is not None
        self.objects[key] = True
        while len(self.objects) > MEMORY:
            del self.objects[next(iter(self.objects))]
        return is_warm

    def report(self):
        """Return the load that an answer states."""
        return LoadReport(self.running, self.waiting, SLOTS, self.machine_slowdown)


@frozen
class Served:
    """One request of a caller, and how it ended.

    Attributes
    ----------
    duration_s : float or None
        Time until its answer; None if it got none.
    server_region : str
        Region of the server that answered.
    """

    at_s: float
    region: str
    duration_s: float | None
    server_region: str = ""
    is_warm: bool = False


@frozen
class _Answer:
    server_region: str
    is_warm: bool
    rest = None


@define
class SimulatedSender:
    """Takes the place of an entry's `Sender`: plays servers and links in virtual time."""

    world: object
    region: str

    def send(self, request, choice, _left_s, _service, _is_repeatable, _needs_fresh=False):
        """Send a request to a simulated server and return an `AttemptResult`."""
        started_s = now_s()
        server = self.world.server_by_id[choice.server_id]
        way_s = REGION_DELAY_S if server.region != self.region else 0.0005
        eventlet.sleep(way_s)
        if server.running + server.waiting >= SLOTS + QUEUE:
            head = _head(503, server)
            eventlet.sleep(way_s)
            took_s = now_s() - started_s
            return AttemptResult(AttemptOutcome.NOT_RUN, Code.SERVER_SHED, took_s, head=head)
        is_warm = self._run(server, request.key)
        head = _head(200, server)
        eventlet.sleep(way_s)
        answer = _Answer(server.region, is_warm)
        took_s = now_s() - started_s
        return AttemptResult(AttemptOutcome.ANSWERED, Code.OK, took_s, answer, head=head)

    def _run(self, server, key):
        server.waiting += 1
        try:
            server.slots.acquire()
        finally:
            server.waiting -= 1
        server.running += 1
        try:
            is_warm = server.use_object(key)
            run_s = WARM_S if is_warm else COLD_S
            if self.world.random.random() < STRAGGLER_SHARE:
                run_s *= STRAGGLER_FACTOR
            eventlet.sleep(run_s * server.machine_slowdown * server.fault_slowdown)
        finally:
            server.running -= 1
            server.slots.release()
        return is_warm


def _head(status, server):
    return AnswerHeaders(
        status,
        matches_request=True,
        is_not_run=status != 200,
        is_unproven_refusal=False,
        is_other_server=False,
        is_intact=True,
        load=server.report(),
    )


@define(eq=False)
class RegionWorld:
    """A deployment of three regions under load.

    Attributes
    ----------
    per_s_by_region : callable
        ``(region, seconds since the start) -> float``, requests per second of its callers.
    objects_per_region : int
    served : list[Served]
    samples : list[dict[str, Counter]]
        Mean shares in force of the entries of each region, each tenth of a second.
    """

    fleet: VirtualFleet
    server_by_id: dict
    per_s: object
    objects_per_region: int
    random: Random
    seed: int = 1
    served: list = Factory(list)
    samples: list = Factory(list)
    started_s: float = 0.0
    _requests: int = 0

    @classmethod
    def from_servers(
        cls, hub, servers_by_region, per_s, balancing, objects_per_region=60, entries=4, seed=1
    ):
        """Return a deployment whose entries have started, with that many entries in each region.

        Parameters
        ----------
        servers_by_region : dict[str, int]
        per_s : callable
        balancing : bool
            Whether the setting `region_balancing` is on.
        """
        fleet = VirtualFleet(hub, REGION_BY_PLACE, REGION_DELAY_S, "a")
        fleet.changed_settings = {"region_balancing": balancing}
        route = {
            "kind": "safe",
            "host": "h",
            "prefix": "/",
            "service": SERVICE,
            "timeoutS": TIMEOUT_S,
            "targetLatencyS": TARGET_S,
            "maxAttempts": 3,
            "sticky": True,
        }
        services = {SERVICE: {}}
        fleet.tables.put(
            "op", "config", {"version": "r1", "routes": {"r": route}, "services": services}
        )
        server_by_id = {}
        for place, region in REGION_BY_PLACE.items():
            for number in range(servers_by_region[region]):
                fleet.put_server(f"{place}-s{number}", place)
                server_by_id[f"{place}-s{number}"] = Server(region)
        for place in REGION_BY_PLACE:
            for number in range(entries):
                fleet.start_entry(f"{place}-e{number}", place)
        eventlet.sleep(3.0)
        world = cls(fleet, server_by_id, per_s, objects_per_region, Random(seed), seed)
        for name, gateway in fleet.gateway_by_entry.items():
            region = REGION_BY_PLACE[fleet.place_by_entry[name]]
            gateway.request_runner.sender = SimulatedSender(world, region)
        return world

    def play(self, seconds):
        """Let callers send requests for a time, and wait until all have ended."""
        self.started_s = now_s()
        eventlet.spawn_n(self._change_machines, seconds)
        eventlet.spawn_n(self._sample_shares, seconds)
        threads = [
            eventlet.spawn(self._send, one, seconds)
            for one in sorted(set(REGION_BY_PLACE.values()))
        ]
        for thread in threads:
            thread.wait()
        eventlet.sleep(TIMEOUT_S + 0.5)

    def _change_machines(self, seconds):
        while now_s() < self.started_s + seconds:
            for server in self.server_by_id.values():
                is_slow = self.random.random() < SLOW_MACHINE_SHARE
                server.machine_slowdown = SLOW_MACHINE_FACTOR if is_slow else 1.0
            eventlet.sleep(SLOW_MACHINE_PERIOD_S)

    def _sample_shares(self, seconds):
        while now_s() < self.started_s + seconds:
            sample = {region: Counter() for region in REGION_BY_PLACE.values()}
            count = Counter(
                REGION_BY_PLACE[self.fleet.place_by_entry[one]] for one in self.entries()
            )
            for name in self.entries():
                region = REGION_BY_PLACE[self.fleet.place_by_entry[name]]
                shares = self.fleet.gateway_by_entry[name].request_runner.region_shares
                balancer = shares.balancer
                in_force = dict(balancer.shares_in_force().get(SERVICE, ())) if balancer else {}
                sample[region].update({one: part / count[region] for one, part in in_force.items()})
            self.samples.append(sample)
            eventlet.sleep(SAMPLE_S)

    def entries(self):
        """Return the names of the entries that run."""
        return list(self.fleet.process_by_entry)

    def _send(self, region, seconds):
        while now_s() < self.started_s + seconds:
            per_s = self.per_s(region, now_s() - self.started_s)
            eventlet.sleep(self.random.expovariate(per_s))
            places = self.fleet.place_by_entry
            names = [one for one in self.fleet.process_by_entry if region == places[one][0]]
            if not names:
                continue
            name = self.random.choice(names)
            self.fleet.hub.run_as(
                self.fleet.process_by_entry[name], eventlet.spawn_n, self._serve, name, region
            )

    def _serve(self, name, region):
        self._requests += 1
        started_s = now_s()
        key = f"{self.seed}-{region}-{self.random.randrange(self.objects_per_region)}"
        request = GatewayRequest(
            request_id=str(self._requests),
            method="GET",
            target="/x",
            host="h",
            path="/x",
            headers=(),
            body=b"",
            arrived_s=started_s,
            caller_deadline_s=started_s + 2.0 * TIMEOUT_S,
            key=key,
            fingerprint=str(self._requests),
        )
        runner = self.fleet.gateway_by_entry[name].request_runner
        result = runner.serve(request, lambda _on_disconnect: lambda: None)
        at_s = started_s - self.started_s
        if result.is_err():
            self.served.append(Served(at_s, region, None))
            return
        answer = result.ok()
        duration_s = now_s() - started_s
        served = Served(at_s, region, duration_s, answer.server_region, answer.is_warm)
        self.served.append(served)

    # Figures.

    def worth(self, region="", after_s=0.0):
        """Return the mean worth of the requests: 1 in time, less if late, 0 without an answer."""
        ones = [one for one in self.served if region in ("", one.region) and one.at_s >= after_s]
        return sum(map(_worth, ones)) / len(ones)

    def refused(self, region="", after_s=0.0):
        """Return the part of the requests that got no answer."""
        ones = [one for one in self.served if region in ("", one.region) and one.at_s >= after_s]
        return sum(one.duration_s is None for one in ones) / len(ones)

    def warm(self, region=""):
        """Return the part of the answers that ran warm."""
        ones = [one for one in self.served if region in ("", one.region) and one.duration_s]
        return sum(one.is_warm for one in ones) / len(ones)

    def local(self, region, start_s=0.0, end_s=math.inf):
        """Return the part of a region's answers that came from its own servers."""
        ones = [
            one
            for one in self.served
            if one.region == region and start_s <= one.at_s < end_s and one.duration_s
        ]
        return sum(one.server_region == region for one in ones) / max(1, len(ones))

    def largest_shift(self, region):
        """Return the largest difference of a region's shares between windows that adjoin."""
        per_window = int(WINDOW_S / SAMPLE_S)
        shares = [sample[region] for sample in self.samples if sample[region]]
        windows = [
            sum(shares[start : start + per_window], Counter())
            for start in range(len(shares) - per_window)
        ]
        return max(
            distance(first, second) / per_window
            for first, second in zip(windows, windows[per_window:], strict=False)
        )

    def share(self, region, target):
        """Return the share in force at the end of a region's requests at another's servers."""
        return self.samples[-1][region][target]


def _worth(one):
    if one.duration_s is None:
        return 0.0
    return 1.0 if one.duration_s <= TARGET_S else LATE_WORTH


def wave(mean, phase, swing=0.55, period_s=36.0):
    """Return a function of the time for a periodic demand."""
    return lambda at_s: mean * (1.0 + swing * math.sin(2.0 * math.pi * (at_s / period_s + phase)))


def main(arguments):
    """Play waves out of phase with and without balancing; print worth and refusals by region."""
    mean_per_s, seconds, seed = float(arguments[0]), float(arguments[1]), int(arguments[2])
    for balancing in (False, True):
        run_virtual(
            lambda hub, balancing=balancing: _trial(hub, mean_per_s, seconds, seed, balancing)
        )


def _trial(hub, mean_per_s, seconds, seed, balancing):
    waves = {one: wave(mean_per_s, phase) for one, phase in PHASE_BY_REGION.items()}
    world = RegionWorld.from_servers(
        hub,
        {"a": 12, "b": 54, "c": 54},
        lambda region, at_s: waves[region](at_s),
        balancing,
        objects_per_region=200,
        entries=8,
        seed=seed,
    )
    world.play(seconds)
    figures = {one: (round(world.worth(one), 3), round(world.refused(one), 3)) for one in "abc"}
    print(f"balancing={balancing} worth={world.worth():.3f} refused={world.refused():.4f}", figures)


if __name__ == "__main__":
    main(sys.argv[1:])
