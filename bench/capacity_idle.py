"""Resource use of idle entries, time until a plan is in force, and the rate of look-ups."""

import re
import socket
import subprocess
import sys
import threading
import time
from datetime import datetime

from attrs import Factory, define
from result import UnwrapError

from bench.capacity_deployment import (
    CapacityDeployment,
    cpu_s,
    machine_busy_s,
    resident_bytes,
    socket_bytes,
)
from bench.capacity_fit import Slope
from figfold.core.plan import decode_head
from figfold.platform.client import PlatformClient
from test.support import ROOT

ENTRY_COUNTS = (12, 24, 48, 96)
START_S_PER_ENTRY = 0.15
IDLE_AFTER_APPLY_S = 6.0
WINDOW_S = 10.0
IN_FORCE_LIMIT_S = 30.0
STORE_LIMIT_S = 20.0
LOOK_UP_S = 4.0
LOOK_UP_CONNECTIONS = 4
KIB = 1024
MS_PER_S = 1000
PERCENT = 100
IN_FORCE_LINE = re.compile(r"^(\S+) INFO plan in force .*'version': (\d+)", re.MULTILINE)
IDLE_PROGRAM = "import figfold.entry.main, sys; print('ready', flush=True); sys.stdin.read()"
EMPTY_PROGRAM = "import sys; print('ready', flush=True); sys.stdin.read()"


@define
class IdlePoints:
    """Measured points by name and unit, and failures by number of entries."""

    points_by_name: dict = Factory(dict)
    failure_by_entries: dict = Factory(dict)

    def add(self, name, entries, value):
        """Add a point; ``name`` is a pair of name and unit."""
        self.points_by_name.setdefault(name, []).append((entries, value))

    def slopes(self):
        """Return a slope for each name."""
        return [
            Slope.from_points(name, unit, "entries", points)
            for (name, unit), points in self.points_by_name.items()
        ]


def measure_deployments(seed, counts=ENTRY_COUNTS):
    """Return the points of real deployments with the given numbers of entries.

    A deployment that the machine can't run is recorded as failed; its earlier points are kept.
    """
    found = IdlePoints()
    for name, program in (("bare Python", EMPTY_PROGRAM), ("imports only", IDLE_PROGRAM)):
        found.add((f"memory: process, {name}", "MB"), 0, _program_mb(program))
    for entries in counts:
        print(f"deployment of {entries} entries", file=sys.stderr, flush=True)
        deployment = CapacityDeployment(entries, seed)
        try:
            _measure(deployment, entries, found)
        except (RuntimeError, UnwrapError) as error:
            found.failure_by_entries[entries] = str(error)
        finally:
            deployment.stop()
    return found


def _program_mb(program):
    child = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", program],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    child.stdout.readline()
    size = resident_bytes(child.pid)
    child.stdin.close()
    child.wait()
    child.stdout.close()
    return size / KIB / KIB


def _measure(deployment, entries, found):
    deployment.start()
    # Entries that start together overload the store for a while.
    time.sleep(entries * START_S_PER_ENTRY)
    deployment.apply(deployment.write_sheet())
    time.sleep(IDLE_AFTER_APPLY_S)
    _measure_window(deployment, entries, found)
    _measure_apply(deployment, entries, found)
    _measure_look_ups(deployment, entries, found)


# Idle entries.


def _measure_window(deployment, entries, found):
    pids = list(deployment.pids().values())
    sampled_entry = next(iter(deployment.entry_by_name.values()))
    before = {pid: cpu_s(pid) for pid in pids}
    sockets_before = socket_bytes(sampled_entry.child.pid)
    counters_before = deployment.platform.control("GET", "/counters")
    started = time.monotonic()
    busy_before = machine_busy_s()
    time.sleep(WINDOW_S)
    seconds = time.monotonic() - started
    cores = (machine_busy_s() - busy_before) / seconds
    found.add(("idle: cores in use on the whole machine", "cores"), entries, cores)
    counters = deployment.platform.control("GET", "/counters")
    sockets = socket_bytes(sampled_entry.child.pid)
    spent = sum(cpu_s(pid) - before[pid] for pid in pids)
    found.add(("idle: processor", "% of a core"), entries, spent / entries / seconds * PERCENT)
    size = sum(resident_bytes(pid) for pid in pids) / entries / KIB / KIB
    found.add(("idle: resident memory", "MB"), entries, size)
    _add_bytes(deployment, sampled_entry, sockets_before, sockets, seconds, entries, found)
    _add_counters(counters_before, counters, seconds, entries, found)


def _add_bytes(deployment, sampled_entry, before, after, seconds, entries, found):
    platform = _port(deployment.platform.ready["address"])
    servers = {_port(one["address"]) for one in deployment.backend.ready["servers"]}
    sent_by_role = {"platform": 0, "backend servers": 0, "peers": 0}
    received_by_role = dict(sent_by_role)
    for ports, (sent, received) in after.items():
        first_sent, first_received = before.get(ports, (0, 0))
        role = "platform" if ports[1] == platform else "peers"
        role = "backend servers" if ports[1] in servers else role
        sent_by_role[role] += sent - first_sent
        received_by_role[role] += received - first_received
    for role in sent_by_role:
        rate = sent_by_role[role] / seconds / KIB
        found.add((f"idle: sent to {role}", "KiB/s"), entries, rate)
        rate = received_by_role[role] / seconds / KIB
        found.add((f"idle: received from {role}", "KiB/s"), entries, rate)


def _port(address):
    return int(address.rsplit(":", 1)[1])


def _add_counters(before, after, seconds, entries, found):
    for operation in ("reads", "writes"):
        for table in sorted(after[operation]):
            count = after[operation][table] - before[operation].get(table, 0)
            name = f"store: {operation} of {table}, all entries"
            found.add((name, "1/s"), entries, count / seconds)


# Plans.


def _measure_apply(deployment, entries, found):
    started = time.time()
    deployment.apply(deployment.write_sheet(shift=1))
    found.add(("plan: command until it returns", "s"), entries, time.time() - started)
    in_force_times = _in_force_times(deployment, 2)
    delay_s = max(in_force_times) - _accepted_at(deployment)
    found.add(("plan: accepted until last entry", "ms"), entries, delay_s * MS_PER_S)


def _accepted_at(deployment):
    url = deployment.platform.ready["url"]
    client = PlatformClient.from_config(url, "bench", "", STORE_LIMIT_S)
    row = client.get_row("plan", "head").unwrap()
    client.close()
    return decode_head(row.value).unwrap().accepted_at


def _in_force_times(deployment, version):
    limit = time.monotonic() + IN_FORCE_LIMIT_S
    while True:
        times = [
            _in_force_at(deployment.log_text(one), version) for one in deployment.entry_by_name
        ]
        if all(times):
            return times
        if time.monotonic() > limit:
            raise RuntimeError(f"{times.count(None)} entries did not take version {version}")
        time.sleep(0.2)


def _in_force_at(text, version):
    for moment, number in IN_FORCE_LINE.findall(text):
        if int(number) == version:
            return datetime.fromisoformat(moment).timestamp()
    return None


# Look-ups over HTTP.


def _measure_look_ups(deployment, entries, found):
    sampled_entry = next(iter(deployment.entry_by_name.values()))
    before = cpu_s(sampled_entry.child.pid)
    counts = [0] * LOOK_UP_CONNECTIONS
    limit = time.monotonic() + LOOK_UP_S
    threads = [
        threading.Thread(
            target=_send_look_ups, args=(sampled_entry.ready["address"], counts, n, limit)
        )
        for n in range(LOOK_UP_CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    spent = cpu_s(sampled_entry.child.pid) - before
    found.add(("look-up: answered by one entry", "1/s"), entries, sum(counts) / LOOK_UP_S)
    found.add(
        ("look-up: answered a second of processor", "1/s"), entries, sum(counts) / max(spent, 0.01)
    )


def _send_look_ups(address, counts, position, limit):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        while time.monotonic() < limit:
            path = f"/v1/lookup?service=service0&caller=c{position}-{counts[position]}&region=r1"
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            _read_answer(sock)
            counts[position] += 1


def _read_answer(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(data.decode("utf-8", "replace"))
    length = int(re.search(rb"content-length: (\d+)", head.lower()).group(1))
    while len(body) < length:
        body += sock.recv(65536)
