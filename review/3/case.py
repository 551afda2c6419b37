"""A heartbeat whose answer was lost is performed seconds later, after its server began to leave."""

import sys
import threading
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    CaseError,
    Deployment,
    connect,
    is_disturbed,
    read_answer,
    request_bytes,
    run_case,
)

SERVERS = 6
LEAVING = 3
RUN_S = 0.2
CALLERS = 24
# Callers send nothing from so long before a server reports that it leaves until so long after it,
# so that no answer tells an entry of it before the store does.
QUIET_BEFORE_S = 1.0
QUIET_AFTER_S = 2.0
DEADLINE_MS = 3000
# Times after the heartbeat whose answer is lost, which may be performed 1 to 6 s later, in seconds.
DRAINING_AFTER_S = 3.2
PERFORMED_AFTER_S = 5.9
# From the first of two heartbeats to the next; the interval is about `heartbeatS`, 1.5 s.
BEAT_S = 1.3
# A server goes on for `drainS` after its report, and then for some seconds, and ends.
SERVES_ON_S = 6.0


def send_bookings(deployment, caller, is_running, is_busy, sent_s_by_id):
    """Send one booking after another on a connection that is kept."""
    entry = deployment.entries[caller % len(deployment.entries)]
    record = deployment.record
    try:
        with connect(entry.address_by_port["frontend"]) as sock:
            file = sock.makefile("rb")
            for number in count():
                while is_running.is_set() and not is_busy.wait(0.1):
                    pass
                if not is_running.is_set():
                    return
                request_id = f"c{caller}-{number}"
                headers = (f"Affinity-Key: {number % 24}",)
                data = request_bytes(request_id, "POST", "/book/1", headers, b"room", DEADLINE_MS)
                sent_s_by_id[request_id] = record.add("sent", id=request_id, entry=entry.name)
                sock.sendall(data)
                answer = read_answer(file)
                record.add("answered", id=request_id, status=answer and answer[0])
                if answer is None:
                    return
    except OSError as error:
        record.add("connection-failed", caller=caller, error=str(error))


def leave(deployment, server, is_busy):
    """Let a server report that it leaves; return when the store has accepted that."""
    store, record = deployment.store, deployment.record
    server.beats_by_itself = False
    late_row = server.row()
    began_s = record.add("heartbeat-without-answer", server=server.id, row=late_row)
    if not is_disturbed():
        store.put("servers", server.id, late_row)
    time.sleep(BEAT_S)
    store.put("servers", server.id, server.row())
    time.sleep(DRAINING_AFTER_S - BEAT_S - QUIET_BEFORE_S)
    is_busy.clear()
    time.sleep(QUIET_BEFORE_S)
    server.state = "draining"
    store.put("servers", server.id, server.row())
    left_s = record.add("draining-accepted", server=server.id)
    performed_s = began_s + PERFORMED_AFTER_S
    next_s = left_s + BEAT_S
    while record.now_s() < left_s + SERVES_ON_S:
        if record.now_s() >= left_s + QUIET_AFTER_S:
            is_busy.set()
        if record.now_s() >= next_s:
            row = server.row()
            store.put("servers", server.id, row)
            record.add("heartbeat", server=server.id, row=row)
            next_s += BEAT_S
        if is_disturbed() and record.now_s() >= performed_s:
            store.put("servers", server.id, late_row)
            record.add("heartbeat-performed-late", server=server.id, row=late_row)
            performed_s = float("inf")
        time.sleep(0.02)
    store.remove("servers", server.id)
    record.add("row-removed", server=server.id)
    return left_s


def play(deployment):
    """Play the case and return the requests that reached a server too late."""
    record = deployment.record
    book = {"kind": "non_idempotent", "service": "reserba", "prefix": "/book/", "sticky": True}
    deployment.configure(1, {"book": book | {"maxAttempts": 1, "timeoutS": 3.0}})
    zones = sorted(deployment.zones)
    for number in range(SERVERS):
        zone = zones[number % len(zones)]
        deployment.add_server(f"i-{number:04x}", "reserba", zone, lambda _method, _target: RUN_S)
    for zone in zones:
        deployment.add_entry(zone)
    for entry in deployment.entries:
        entry.wait_ready()
    is_running, is_busy, sent_s_by_id = threading.Event(), threading.Event(), {}
    is_running.set()
    is_busy.set()
    callers = [
        threading.Thread(
            target=send_bookings,
            args=(deployment, one, is_running, is_busy, sent_s_by_id),
            daemon=True,
        )
        for one in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(BOUNDS["stableWindowS"] + 1.0)
    late = []
    for server in deployment.servers[:LEAVING]:
        left_s = leave(deployment, server, is_busy)
        from_s = left_s + BOUNDS["drainS"]
        runs = [run for run in server.runs if run["began_s"] > from_s]
        late += [run["id"] for run in runs if sent_s_by_id[run["id"]] > from_s]
        time.sleep(BOUNDS["stableWindowS"])
    is_running.clear()
    for caller in callers:
        caller.join(DEADLINE_MS / 1000)
    if not deployment.runs():
        raise CaseError("no request reached a server")
    record.add("result", reached_a_server_too_late=late)
    return late


def main():
    """Play the case with a deployment of its own."""
    with Deployment(Path(__file__).resolve().parent) as deployment:
        return BROKEN if play(deployment) else HELD


run_case(main)
