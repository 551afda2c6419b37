"""A day of a deployment with real processes on loopback: entries, servers and callers.

The plan is drawn from a seed before the day begins, and all processes follow it by the clock that
they share. What callers, servers and the operator have seen is judged afterwards; the entries' logs
stay in the folder of the day.

    python -m bench.real_day --seed 1 --folder out/day-1 --busy 8 --events freeze,store,config
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import eventlet
from attrs import Factory, define, field

from bench.day_store import DayStore, StoreCaller
from bench.platform_deployment import HOST, Entry, _free_address
from test.support import ROOT

REGION_BY_PLACE = {
    "a1": "a",
    "a2": "a",
    "b1": "b",
    "b2": "b",
    "c1": "c",
    "c2": "c",
}
STARTS_S = 4.0
SERVER_COUNTS = {"calendar": 4, "booking": 2, "files": 2}
WORK_S = {"calendar": 0.41, "booking": 0.54, "files": 0.33}
COLD_S = 3.0
HOSTS = 3
CALLER_PROCESSES = 3
CALLERS_PER_PLACE = 12
RATE_PER_PLACE = 32.0
GRACE_S = 6.0
BUSY = "while True: pass"
KINDS = (
    {"name": "read", "prefix": "/read/", "kind": "safe", "method": "GET", "deadline_s": 2.5},
    {
        "name": "book",
        "prefix": "/book/",
        "kind": "non_idempotent",
        "method": "POST",
        "deadline_s": 3.0,
    },
    {"name": "file", "prefix": "/file/", "kind": "download", "method": "GET", "deadline_s": 2.0},
)
SERVICE_BY_KIND = {"read": "calendar", "book": "booking", "file": "files"}
TIMEOUT_BY_KIND = {"read": 1.2, "book": 1.5, "file": 30.0}
WEIGHT_BY_KIND = {"read": 5.7, "book": 2.1, "file": 0.74}
# Bounds of the platform's rules, in seconds.
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
MAX_VERSIONS = 25
STABLE_WINDOW_S = 3.0


@define
class Version:
    """A version of the configuration: when it was sent and accepted, and each route's services."""

    number: int
    sent_s: float
    accepted_s: float
    services_by_route: dict


@define(eq=False)
class RealDay:
    """One day.

    Attributes
    ----------
    disturbances : list[tuple[float, float, str, str]]
        Start, end, entry (empty for the store) and kind of each.
    """

    random: random.Random
    folder: Path
    length_s: float
    events: frozenset
    busy: int
    store: DayStore = None
    entry_by_name: dict = Factory(dict)
    versions: list = Factory(list)
    disturbances: list = Factory(list)
    evacuations: list = Factory(list)
    _operator: StoreCaller = None
    _routes: dict = Factory(dict)
    _address_by_name: dict = Factory(dict)
    _t0_s: float = 0.0
    _busy_children: list = Factory(list)
    _children: list = Factory(list)
    _stopping: set = Factory(set)
    _late_s: float = 0.0
    _threads: list = field(factory=list)

    def run(self):
        """Play the day."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store = DayStore(random.Random(self.random.random()))
        eventlet.spawn_n(self.store.expire_servers)
        self._operator = StoreCaller(self.store.open_port(""))
        for kind in KINDS:
            self._routes[kind["name"]] = self._route(kind, SERVICE_BY_KIND[kind["name"]])
        self._write_configuration()
        self._t0_s = time.monotonic() + STARTS_S
        servers = self._plan_servers()
        for number in range(HOSTS):
            self._start_child("servers", number, {"servers": servers[number::HOSTS]})
        for place in REGION_BY_PLACE:
            for number in (1, 2):
                self._start_entry(f"front-{place}-{number}", place)
        for entry in self.entry_by_name.values():
            entry.wait_ready()
        self._start_callers()
        for _ in range(self.busy):
            self._busy_children.append(subprocess.Popen([sys.executable, "-c", BUSY]))
        self._plan_events()
        end_s = self._t0_s + self.length_s
        while time.monotonic() < end_s + 1.5:
            began_s = time.monotonic()
            eventlet.sleep(0.02)
            self._late_s = max(self._late_s, time.monotonic() - began_s - 0.02)
        for child in self._children:
            child.wait(timeout=30)

    def stop(self):
        """End all processes of the day."""
        for child in (*self._busy_children, *self._children):
            child.kill()
            child.wait()
        for entry in self.entry_by_name.values():
            entry.child.send_signal(signal.SIGCONT)
            entry.kill()

    # Processes.

    def _start_child(self, kind, number, plan):
        plan_path = self.folder / f"{kind}-{number}.plan"
        plan |= {
            "seed": f"{self.random.random()}",
            "store": self.store.open_port(""),
            "starts_s": self._t0_s,
            "ends_s": self._t0_s + self.length_s + 1.0,
            "work_s": WORK_S,
        }
        plan_path.write_text(json.dumps(plan), encoding="utf-8")
        record_path = self.folder / f"{kind}-{number}.record"
        command = [sys.executable, "-W", "ignore", "-m", f"bench.day_{kind}"]
        command += [str(plan_path), str(record_path)]
        self._children.append(subprocess.Popen(command, cwd=ROOT))

    def _start_callers(self):
        callers = [
            (f"{place}.{number}", place)
            for place in REGION_BY_PLACE
            for number in range(CALLERS_PER_PLACE)
        ]
        entries = self.entry_by_name.values()
        kinds = [dict(one) | {"host": HOST, "weight": WEIGHT_BY_KIND[one["name"]]} for one in KINDS]
        plan = {
            "kinds": kinds,
            "per_s": RATE_PER_PLACE / CALLERS_PER_PLACE,
            "faults": self._caller_faults(),
            "lookups": [(one.address["lookup"], one.place) for one in entries],
            "region_by_place": REGION_BY_PLACE,
            "entry_by_address": {one.address["caller"]: one.name for one in entries},
        }
        for number in range(CALLER_PROCESSES):
            self._start_child(
                "callers", number, plan | {"callers": callers[number::CALLER_PROCESSES]}
            )

    def _start_entry(self, name, place):
        store_address = self._address_by_name.get((name, "store")) or self.store.open_port(name)
        self._address_by_name[name, "store"] = store_address
        known = self.entry_by_name.get(name)
        entry = DayEntry(name, place, store_address, self.folder, known)
        self.entry_by_name[name] = entry

    # Plan of the servers and callers.

    def _plan_servers(self):
        plans = []
        for service, count in SERVER_COUNTS.items():
            for place in REGION_BY_PLACE:
                for number in range(count):
                    plans.append(self._server_plan(f"{service}-{place}-{number}", service, place))
        staying = [one for one in plans]
        self.random.shuffle(staying)
        if "leave" in self.events:
            for _ in range(8):
                self._plan_leaving(staying.pop(), self.random.uniform(2.0, self.length_s - 6.0))
        if "reuse" in self.events:
            for _ in range(6):
                plans.append(self._plan_reuse(staying.pop()))
        if "release" in self.events:
            at_s = self.random.uniform(3.0, 8.0)
            for _ in range(6):
                old = staying.pop()
                new = self._server_plan(old["id"] + "-new", old["service"], old["place"])
                new["starts_s"] = self._t0_s + at_s
                new["cold_s"] = COLD_S
                plans.append(new)
                self._plan_leaving(old, at_s + 0.5)
                at_s += 0.9
        self._plan_server_faults(plans)
        return plans

    def _server_plan(self, server_id, service, place):
        return {
            "id": server_id,
            "service": service,
            "place": place,
            "address": _free_address(),
            "starts_s": self._t0_s - STARTS_S,
            "leaves_s": None,
            "ends_s": None,
            "drains": None,
            "cold_s": 0.0,
            "faults": [],
        }

    def _plan_leaving(self, plan, at_s):
        plan["leaves_s"] = self._t0_s + at_s
        plan["drains"] = self.random.random() < 0.7
        plan["ends_s"] = plan["leaves_s"] + DRAIN_S + self.random.uniform(0.5, 6.0)

    def _plan_reuse(self, plan):
        """Let a server crash, and one of another service start at its address."""
        at_s = self._t0_s + self.random.uniform(2.0, self.length_s - 6.0)
        plan["leaves_s"] = plan["ends_s"] = at_s
        plan["drains"] = None
        others = [one for one in SERVER_COUNTS if one != plan["service"]]
        new = self._server_plan(plan["id"] + "-reused", self.random.choice(others), plan["place"])
        return new | {"address": plan["address"], "starts_s": at_s + 2.1, "cold_s": COLD_S}

    def _plan_server_faults(self, plans):
        doses = {
            "lost": ("booking", 0.5, 0.05, 4.0),
            "extra": ("", 0.3, 0.018, 5.0),
            "extra-late": ("booking", 0.6, 0.03, 5.0),
            "refusal-late": ("booking", 0.6, 0.03, 5.0),
            # At the time of the late refusals, if there are any.
            "shed-bookings": ("booking", 1.0, 0.6, 8.0),
            "shed": ("calendar", 1.0, 0.55, 8.0),
            "slow": ("", 0.4, 1.0, 8.0),
            "cut": ("", 0.3, 0.018, 5.0),
        }
        from_s = self._t0_s
        for kind, (service, share, dose, for_s) in doses.items():
            if kind not in self.events:
                continue
            if kind != "shed-bookings" or "refusal-late" not in self.events:
                from_s = self._t0_s + self.random.uniform(2.0, max(3.0, self.length_s - for_s))
            for plan in plans:
                if service in plan["service"] and self.random.random() < share:
                    plan["faults"].append((kind, from_s, from_s + for_s, dose))

    def _caller_faults(self):
        doses = {"burst": (1.4, 5.0), "retry_abuse": (1.8, 4.0), "give_up": (1.3, 4.0)}
        faults = []
        for kind, (factor, for_s) in doses.items():
            if kind in self.events:
                from_s = self._t0_s + self.random.uniform(2.0, self.length_s - for_s)
                faults.append((kind, from_s, from_s + for_s, factor))
        return faults

    # The operator.

    def _route(self, kind, service, split=None):
        route = {
            "host": HOST,
            "prefix": kind["prefix"],
            "kind": kind["kind"],
            "timeoutS": TIMEOUT_BY_KIND[kind["name"]],
            "targetLatencyS": 0.3,
            "priority": 1,
            "maxAttempts": 2,
            "sticky": True,
            "homeRegions": [],
        }
        return route | ({"split": split} if split else {"service": service})

    def _write_configuration(self):
        number = self.versions[-1].number + self.random.randrange(1, 4) if self.versions else 1
        services = {
            name: {
                "healthPath": "/health",
                "maxConnections": 390,
                "coldStartS": 3.0,
                "coldPerS": 4.7,
            }
            for name in SERVER_COUNTS
        }
        value = {
            "version": f"r{number}",
            "routes": self._routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
        }
        services_by_route = {
            name: {one["service"] for one in route.get("split", [route])}
            for name, route in self._routes.items()
        }
        sent_s = time.monotonic()
        while not self._operator.put("op", "config", value):
            eventlet.sleep(0.1)
        self.versions.append(Version(number, sent_s, time.monotonic(), services_by_route))

    def _change_configuration(self, how=None):
        kind = KINDS[2]
        current = self._routes["file"]
        services = list(SERVER_COUNTS)
        how = how or self.random.choice(("route", "weights", "idle", "idle"))
        if how == "route":
            choice = self.random.choice([one for one in services if one != current.get("service")])
            self._routes["file"] = self._route(kind, choice)
        elif how == "weights":
            first, second = self.random.sample(services, 2)
            split = [{"service": first, "weight": 70}, {"service": second, "weight": 30}]
            self._routes["file"] = self._route(kind, "", split)
        else:
            name = f"idle-{self.random.randrange(100)}"
            self._routes[name] = self._route(KINDS[0] | {"prefix": f"/{name}/"}, "calendar")
        self._write_configuration()

    def _evacuate(self):
        place = self.random.choice(list(REGION_BY_PLACE))
        self._operator.put("op", f"evacuate/{place}", {})
        began_s = time.monotonic()
        eventlet.sleep(self.random.uniform(5.0, 9.0))
        self.evacuations.append((place, began_s, time.monotonic()))
        self._operator.remove("op", f"evacuate/{place}")

    # Disturbances.

    def _plan_events(self):
        for event, method, least, most in (
            ("config", self._change_configuration, 3, 7),
            ("evacuate", self._evacuate, 1, 2),
            ("kill", self._kill, 1, 4),
            ("term", self._terminate, 1, 5),
            ("freeze", self._freeze, 1, 4),
            ("slow-entry", self._slow_entry, 1, 2),
            ("herd", self._kill_many, 1, 1),
            ("starve", self._starve, 1, 1),
            ("store", self._disturb_store, 1, 3),
            ("store-node", self._refuse_entries, 1, 2),
            ("history", self._drop_history, 1, 2),
            ("silence", self._silence, 1, 1),
            ("lost-writes", self._lose_writes, 1, 1),
        ):
            if event not in self.events:
                continue
            for _ in range(self.random.randint(least, most)):
                at_s = self.random.uniform(1.0, self.length_s - 5.0)
                delay_s = self._t0_s + at_s - time.monotonic()
                eventlet.spawn_after(delay_s, method)

    def _note(self, from_s, until_s, entry, kind):
        self.disturbances.append((from_s, until_s, entry, kind))
        if "meet" in self.events and len(self.versions) < MAX_VERSIONS:
            eventlet.spawn_after(self.random.uniform(0.0, 0.5), self._change_configuration, "route")

    def _pick(self):
        running = sorted(set(self.entry_by_name) - self._stopping)
        if 2 * len(running) <= len(self.entry_by_name):
            return None
        readers = [one for one in running if one.endswith("1-1")]
        name = self.random.choice(readers if readers and self.random.random() < 0.5 else running)
        self._stopping.add(name)
        return name

    def _restart(self, name, down_s):
        entry = self.entry_by_name[name]
        began_s = time.monotonic()
        entry.kill()
        eventlet.sleep(down_s)
        self._start_entry(name, entry.place)
        self._note(began_s, time.monotonic() + 0.6, name, "kill")
        self._stopping.discard(name)

    def _kill(self):
        name = self._pick()
        if name:
            self._restart(name, self.random.choice((0.2, 1.0, 4.0)))

    def _kill_many(self):
        for _ in range(7):
            name = self._pick()
            if name:
                eventlet.spawn_n(self._restart, name, 0.7)

    def _terminate(self):
        name = self._pick()
        if not name:
            return
        entry = self.entry_by_name[name]
        began_s = time.monotonic()
        entry.terminate()
        while entry.child.poll() is None and time.monotonic() < began_s + GRACE_S:
            eventlet.sleep(0.05)
        self._note(began_s, time.monotonic(), name, "term")
        self._restart(name, 0.2)

    def _freeze(self):
        name = self._pick()
        if name:
            child = self.entry_by_name[name].child
            began_s = time.monotonic()
            child.send_signal(signal.SIGSTOP)
            eventlet.sleep(self.random.uniform(0.4, 5.0))
            child.send_signal(signal.SIGCONT)
            self._note(began_s, time.monotonic(), name, "freeze")
            self._stopping.discard(name)

    def _slow_entry(self):
        """Let an entry run for a fifth of the time."""
        name = self._pick()
        if name:
            child = self.entry_by_name[name].child
            began_s = time.monotonic()
            while time.monotonic() < began_s + 5.0:
                child.send_signal(signal.SIGSTOP)
                eventlet.sleep(0.08)
                child.send_signal(signal.SIGCONT)
                eventlet.sleep(0.02)
            self._note(began_s, time.monotonic(), name, "slow")
            self._stopping.discard(name)

    def _starve(self):
        """Let all entries run for parts of the time only, as on a machine that is too busy."""
        began_s = time.monotonic()
        threads = [eventlet.spawn(self._starve_entry, one) for one in sorted(self.entry_by_name)]
        for thread in threads:
            thread.wait()
        for name in self.entry_by_name:
            self._note(began_s, time.monotonic(), name, "starved")

    def _starve_entry(self, name):
        until_s = time.monotonic() + 10.0
        while time.monotonic() < until_s:
            child = self.entry_by_name[name].child
            child.send_signal(signal.SIGSTOP)
            eventlet.sleep(self.random.uniform(0.02, 0.6))
            child.send_signal(signal.SIGCONT)
            eventlet.sleep(self.random.uniform(0.02, 0.2))

    def _disturb_store(self):
        mode = self.random.choice(("busy", "reset", "silent", "slow"))
        began_s = time.monotonic()
        if mode == "slow":
            self.store.slow_s = 0.3
        else:
            self.store.mode_by_entry[""] = mode
        eventlet.sleep(self.random.uniform(0.5, 6.0))
        self.store.slow_s = 0.004
        self.store.mode_by_entry.pop("", None)
        self._note(began_s, time.monotonic(), "", mode)

    def _refuse_entries(self):
        mode = self.random.choice(("busy", "many", "reset", "silent"))
        names = [one for one in self.entry_by_name if self.random.random() < 0.35]
        began_s = time.monotonic()
        self.store.mode_by_entry |= dict.fromkeys(names, mode)
        eventlet.sleep(self.random.uniform(2.0, 9.0))
        for name in names:
            self.store.mode_by_entry.pop(name, None)
            self._note(began_s, time.monotonic(), name, f"store {mode}")

    def _drop_history(self):
        began_s = time.monotonic()
        self.store.is_mute = True
        eventlet.sleep(1.0)
        self.store.is_mute = False
        self.store.tables.drop_history()
        self._note(began_s, time.monotonic(), "", "history")

    def _silence(self):
        self.store.silence_connections(0.7)
        self._note(time.monotonic(), time.monotonic(), "", "silence")
        eventlet.sleep(self.random.uniform(0.0, 1.0))
        self._change_configuration("route")

    def _lose_writes(self):
        began_s = time.monotonic()
        self.store.lost_share, self.store.is_late = 0.3, True
        eventlet.sleep(4.0)
        self.store.lost_share = 0.0
        self._note(began_s, time.monotonic(), "", "lost writes")

    # Judgement.

    def slowest_version(self):
        """Return the longest time until a version was in force at an entry that stayed, and where.

        Returns
        -------
        tuple[float, str, int]
            Seconds, entry and version.
        """
        offset_s = time.time() - time.monotonic()
        slowest = (0.0, "", 0)
        for name, entry in self.entry_by_name.items():
            events = entry.events()
            taken = [one for one in events if one["event"] == "configuration-in-force"]
            started_s = max(one["time"] for one in events if one["event"] == "started") - offset_s
            for version in self.versions:
                at_s = [one["time"] - offset_s for one in taken if one["version"] >= version.number]
                later_s = [one for one in at_s if one >= started_s]
                if version.accepted_s > started_s + STABLE_WINDOW_S and later_s:
                    took_s = min(later_s) - version.accepted_s
                    slowest = max(slowest, (round(took_s, 2), name, version.number))
        return slowest

    def judge(self):
        """Return the broken rules, each with what is known of it, and counts."""
        records = [
            json.loads(line)
            for path in sorted(self.folder.glob("*.record"))
            for line in path.read_text(encoding="utf-8").splitlines()
        ]
        runs_by_id, counts = {}, Counter()
        request_by_id = {one["id"]: one for one in records if one["event"] == "request"}
        for one in records:
            if one["event"] == "run":
                runs_by_id.setdefault(one["id"], []).append(one)
            if one["event"] == "ended":
                counts["late_ms"] = max(counts["late_ms"], round(1000 * one["late_s"]))
        counts["own_late_ms"] = round(1000 * self._late_s)
        broken = []
        for request_id, request in request_by_id.items():
            runs = runs_by_id.get(request_id, [])
            counts[request["status"]] += 1
            if request["error"].startswith("foreign"):
                broken.append(("MIXED", request, runs))
            if request["kind"] == "non_idempotent":
                if len(runs) > 1:
                    broken.append(("TWICE", request, runs))
                if runs and request["status"] in (408, 421, 429, 503):
                    broken.append(("REFUSED", request, runs))
            if request["status"] == 0 and runs and not self.is_killed(request):
                broken.append(("LOST", request, runs))
            broken += self._judge_configuration(request, runs)
        broken += self._judge_leaving(records, request_by_id)
        return broken, counts

    def _judge_configuration(self, request, runs):
        sent_s = request["sent_s"]
        since = [one for one in self.versions if one.accepted_s + CONFIG_APPLY_S < sent_s]
        oldest = since[-1].number if since else self.versions[0].number
        allowed = set()
        for one in self.versions:
            if one.number >= oldest:
                allowed |= one.services_by_route.get(request["route"], set())
        wrong = [run for run in runs if run["service"] not in allowed]
        if wrong or request["status"] == 404:
            return [("CONFIG", request, wrong)]
        return []

    def _judge_leaving(self, records, request_by_id):
        left = {one["server"]: one["at_s"] for one in records if one["event"] == "left"}
        broken = []
        for one in records:
            from_s = left.get(one.get("server"), float("inf")) + DRAIN_S
            if one["event"] == "arrived" and one["at_s"] > from_s:
                request = request_by_id.get(one["id"])
                if request and request["sent_s"] > from_s:
                    broken.append(("DRAIN", request, [one]))
        return broken

    def is_killed(self, request):
        """Return whether the caller gave up, or the entry was killed while it had the request."""
        if "timed out" in request["error"]:
            return True
        return any(
            entry == request["entry"]
            and kind == "kill"
            and request["sent_s"] < from_s + 0.1
            and from_s < request["at_s"] + 0.1
            for from_s, _, entry, kind in self.disturbances
        )

    def near(self, request):
        """Return the disturbances of an entry and of the store shortly before a request."""
        at_s = request["sent_s"]
        return [
            f"{entry or 'store'} {kind} {from_s - at_s:+.2f}..{until_s - at_s:+.2f}"
            for from_s, until_s, entry, kind in self.disturbances
            if entry in ("", request["entry"]) and from_s < at_s + 1.0 and until_s > at_s - 10.0
        ]

    def is_excused(self, request):
        """Return whether the entry or the store was disturbed in the stable window before it."""
        at_s = request["sent_s"]
        return any(
            entry in ("", request["entry"])
            and from_s < at_s + 1.0
            and until_s > at_s - STABLE_WINDOW_S
            for from_s, until_s, entry, _ in self.disturbances
        )


class DayEntry(Entry):
    """An entry that keeps its addresses when it is started again."""

    def __init__(self, name, place, store_address, folder, former):
        self._former = former
        super().__init__(name, place, store_address, folder, REGION_BY_PLACE)

    def free_address(self, port):
        """Return the address that the former process had for a port, or a new one."""
        return self._former.address[port] if self._former else _free_address()


ALL_EVENTS = (
    "config,evacuate,kill,term,freeze,slow-entry,herd,store,store-node,history,silence,lost-writes,"
    "leave,reuse,release,lost,extra,extra-late,refusal-late,shed,shed-bookings,slow,cut,burst,"
    "retry_abuse,give_up"
)


def main():
    """Play one day and print what was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", default="1")
    parser.add_argument("--folder", required=True)
    parser.add_argument("--length", type=float, default=32.0)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--events", default=ALL_EVENTS)
    options = parser.parse_args()
    day = RealDay(
        random.Random(options.seed),
        Path(options.folder),
        options.length,
        frozenset(options.events.split(",")),
        options.busy,
    )
    try:
        day.run()
    finally:
        day.stop()
    broken, counts = day.judge()
    rules = Counter((rule, day.is_excused(request)) for rule, request, _ in broken)
    print(f"seed {options.seed}:", dict(counts), "slowest version:", *day.slowest_version())
    for (rule, is_excused), count in sorted(rules.items()):
        print(f"  {rule} {count}{' near a disturbance' if is_excused else ''}")
    for rule, request, runs in broken[:12]:
        at_s = request["sent_s"] - day._t0_s
        where = [(run["server"], round(run["at_s"] - day._t0_s, 2)) for run in runs]
        print(
            f"  {rule} {request['id']} at {at_s:.2f} {request['entry']} {request['status']}", where
        )
        print("    ", request["error"], day.near(request))
    print(
        "  t0",
        day._t0_s,
        "versions",
        [
            (one.number, round(one.accepted_s - day._t0_s, 2), one.services_by_route["file"])
            for one in day.versions
        ],
    )
    return 1 if any(not day.is_excused(request) for _, request, _ in broken) else 0


if __name__ == "__main__":
    sys.exit(main())
