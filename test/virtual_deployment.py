"""A small deployment at three places in two regions, in virtual time."""

import tempfile
import unittest
from pathlib import Path

import eventlet

from figfold.config.settings import load_settings
from figfold.core.model import PlanRow
from figfold.core.plan import body_digest, decode_body, encode_body, encode_head, next_head
from test.virtual import run_virtual
from test.virtual_world import World

SHARES = {"r1-a": 4000, "r1-b": 3000, "r2-a": 3000}
ENTRIES = {f"{place}-{n}": place for place in ("r1-a", "r1-b", "r2-a") for n in (1, 2)}
FIRST_REGION_ENTRIES = {name: place for name, place in ENTRIES.items() if place != "r2-a"}
CAP = 6


def settings_text(places):
    """Return the shared settings of places; the first two letters of a name are its region."""
    endpoints = " ".join(f"{place}:2" for place in places)
    lines = ["[region r1]", "demand_percent = 60", "[region r2]", "demand_percent = 40"]
    for place in places:
        lines += [f"[place {place}]", f"region = {place[:2]}"]
    for service, deadline_ms in (("read", 2000), ("book", 4000)):
        lines += [f"[service {service}]", f"endpoints = {endpoints}"]
        lines.append(f"deadline_ms = {deadline_ms}")
    return "\n".join(lines) + "\n"


SETTINGS = settings_text(SHARES)


def make_settings(shared=SETTINGS):
    """Return a function that loads the settings of an entry from the shared text and its own."""
    folder = tempfile.TemporaryDirectory()

    def settings_of(name, place):
        path = Path(folder.name) / f"{name}.ini"
        own = f"[entry]\nname = {name}\nplace = {place}\n"
        own += "address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0\n"
        own += "[platform]\nurl = http://127.0.0.1:1\n"
        path.write_text(shared + own)
        loaded = load_settings(path)
        assert loaded.is_ok(), loaded
        return loaded.ok()

    return settings_of


class Deployment:
    """A simulated deployment: entries at some places, with a plan in force."""

    def __init__(self, hub, entries, settings=SETTINGS, share_by_place=SHARES, start_gap_s=0.0):
        self.hub = hub
        settings_of = make_settings(settings)
        self.topology = settings_of("any", next(iter(share_by_place))).topology
        self.world = World.from_topology(hub, self.topology, settings_of)
        self.head = None
        self.cap_history = []
        self.world.cap_of = self.cap_in_force
        self.accept(self.rows(share_by_place))
        for name, place in entries.items():
            self.world.start_entry(name, place)
            if start_gap_s:
                eventlet.sleep(start_gap_s)

    def rows(self, share_by_place, cap=CAP, emptying=()):
        """Return plan rows for both services."""
        return tuple(
            PlanRow(service, place, share, cap, place in emptying)
            for service in ("read", "book")
            for place, share in share_by_place.items()
        )

    def accept(self, rows, operator="ann"):
        """Write an accepted plan to the store, whatever the store's mode."""
        body = encode_body(rows, {"r1": 60.0, "r2": 40.0})
        self.head = next_head(self.head, body_digest(body), operator, self.hub.now)
        store = self.world.store
        store.object_by_name[f"plan-{body_digest(body)}"] = body
        store.row_by_name["plan/head"] = (
            encode_head(self.head),
            f'"h{self.head.version}"',
            self.hub.now,
        )
        self.record_caps(body)

    def record_caps(self, body):
        """Record the caps of a plan that is accepted now."""
        rows = decode_body(body).unwrap().rows
        cap_by_key = {(row.service, row.place): row.cap for row in rows}
        self.cap_history.append((self.hub.now, cap_by_key))

    def version_before(self, seconds):
        """Return the version of the plan that was current ``seconds`` ago."""
        return sum(at < self.hub.now - seconds for at, _ in self.cap_history)

    def cap_in_force(self, service, place):
        """Return the highest cap that may be in force; a new plan takes up to 5 s to spread."""
        caps = [cap[service, place] for at, cap in self.cap_history]
        recent = [
            cap[service, place]
            for (at, cap), until in zip(
                self.cap_history,
                [at for at, _ in self.cap_history[1:]] + [float("inf")],
                strict=True,
            )
            if until > self.hub.now - 5.0
        ]
        return max(recent or caps[-1:])

    def quota(self, service, place):
        """Return how many requests the entries of a place together may have in progress."""
        return sum(
            node.dispatcher.quota(service)
            for node in self.world.node_by_name.values()
            if node.settings.entry.place == place
        )

    def entries_at(self, place):
        """Return the names of the entries that run at a place; an empty place means all."""
        nodes = self.world.node_by_name
        names = list(self.world.process_by_name)
        return [name for name in names if place in ("", nodes[name].settings.entry.place)]

    def load(self, rate_per_s, service="read", seconds=None, method="GET", limit_s=2.0, place=""):
        """Send requests at a rate to all entries, or to those of a place; return the results."""
        results = []
        end = self.hub.now + seconds if seconds else float("inf")

        def run():
            sent = 0
            while self.hub.now < end:
                for name in self.entries_at(place):
                    sent += 1
                    key = f"load-{sent}" if method == "POST" else ""
                    self.world.spawn_send(results, name, service, method, key=key, seconds=limit_s)
                eventlet.sleep(1 / rate_per_s)

        eventlet.spawn_n(run)
        return results


class WorldTest(unittest.TestCase):
    """Base class of tests in a simulated deployment, which checks reported outcomes at the end."""

    def run_world(self, test, entries=ENTRIES, settings=SETTINGS):
        def run(hub):
            deployment = Deployment(hub, entries, settings)
            eventlet.sleep(8)
            test(deployment, deployment.world)
            deployment.world.check_claims()
            self.assertEqual([], deployment.world.violations)

        run_virtual(run)
