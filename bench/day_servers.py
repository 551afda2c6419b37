"""Backend servers of a day with real processes, several in one process.

Reads its part of the plan from a file, follows it by the monotonic clock that all processes of the
machine share, and writes what its servers have seen to another file.
"""

import json
import random
import socket
import sys
import time
from collections import deque
from pathlib import Path

import eventlet
from attrs import define, field
from eventlet.semaphore import Semaphore

from bench.day_store import StoreCaller
from standins.http_socket import HttpSocket
from standins.process import listen, reset_connection

HEARTBEAT_S = 1.5
# Requests that a server keeps waiting for a slot.
QUEUE = 9
WARM_KEYS = 20


@define(eq=False)
class DayServer:
    """One backend server, which follows the faults of its plan.

    Attributes
    ----------
    plan : dict
        ``id``, ``service``, ``place``, ``address``, ``starts_s``, ``leaves_s`` (None if it stays),
        ``ends_s``, ``drains`` and ``faults``: a list of kind, start, end and share.
    """

    plan: dict
    work_s: float
    store: object
    random: random.Random
    record: object
    sequence: int = 0
    state: str = "ready"
    _running: int = 0
    _queued: int = 0
    _slots: Semaphore = field(factory=lambda: Semaphore(3))
    _listener: object = None
    _open: set = field(factory=set)
    _warm: deque = field(factory=lambda: deque(maxlen=WARM_KEYS))
    _born_ms: int = 0
    _has_left: bool = False

    def run(self):
        """Follow the plan."""
        _sleep_until(self.plan["starts_s"])
        self._born_ms = int(time.time() * 1000)
        while self._listener is None:
            try:
                self._listener = listen(self.plan["address"])
            except OSError:
                eventlet.sleep(0.05)
        accepting = eventlet.spawn(self._accept)
        beating = eventlet.spawn(self._beat)
        if self.plan["leaves_s"] is not None:
            _sleep_until(self.plan["leaves_s"])
            if self.plan["drains"]:
                self.state = "draining"
                self._put_row()
            elif self.plan["drains"] is False:
                beating.kill()
                if self.store.remove("servers", self.plan["id"]):
                    self._record_left()
            _sleep_until(self.plan["ends_s"])
            accepting.kill()
            beating.kill()
            self._listener.close()
            for sock, thread in list(self._open):
                thread.kill()
                reset_connection(sock)
            if self.plan["drains"]:
                self.store.remove("servers", self.plan["id"])

    def _beat(self):
        while True:
            self._put_row()
            eventlet.sleep(HEARTBEAT_S)

    def _put_row(self):
        self.sequence += 1
        cold_s = max(0.0, self.plan["starts_s"] + self.plan["cold_s"] - time.monotonic())
        row = {
            "address": self.plan["address"],
            "born": self._born_ms,
            "info": {
                "service": self.plan["service"],
                "version": "v1",
                "zone": self.plan["place"],
                "slots": 3,
            },
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingS": cold_s},
        }
        if self.store.put("servers", self.plan["id"], row) and self.state == "draining":
            self._record_left()

    def _record_left(self):
        """Record when the store has first accepted that the server leaves."""
        if not self._has_left:
            self._has_left = True
            self.record("left", server=self.plan["id"])

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock):
        entry = (sock, eventlet.getcurrent())
        self._open.add(entry)
        connection = HttpSocket(sock)
        late = [b""]
        try:
            while self._serve_request(connection, late):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self._open.discard(entry)
            sock.close()

    def _fault(self, *kinds):
        now_s = time.monotonic()
        for kind, from_s, until_s, share in self.plan["faults"]:
            if kind in kinds and from_s <= now_s < until_s and self.random.random() < share:
                return kind
        return ""

    def _serve_request(self, connection, late):
        request = connection.read_request()
        if request is None:
            return False
        headers = request.header_by_name
        request_id = headers.get("attempt-id", "")
        sock = connection.sock
        if headers.get("target-instance", self.plan["id"]) != self.plan["id"]:
            return _send(sock, "421 Misdirected Request", {"Instance-Id": self.plan["id"]})
        self.record("arrived", id=request_id, server=self.plan["id"], target=request.target)
        if late[0]:
            sock.sendall(late[0])
            late[0] = b""
        deadline_s = time.monotonic() + float(headers.get("deadline-ms", 30000)) / 1000
        refusal = {"Not-Executed": "1"}
        if self._fault("shed", "shed-bookings") or not self._acquire_slot(deadline_s):
            return _send(sock, "503 Service Unavailable", refusal)
        self._running += 1
        try:
            if _is_closed(sock):
                return False
            self.record(
                "run",
                id=request_id,
                server=self.plan["id"],
                service=self.plan["service"],
                entry=headers.get("x-entry", ""),
            )
            is_whole = self._work(connection, headers.get("affinity-key", ""), deadline_s)
        finally:
            self._running -= 1
            self._slots.release()
        if not is_whole:
            return False
        return self._answer(sock, request_id, late)

    def _acquire_slot(self, deadline_s):
        if self._slots.acquire(blocking=False):
            return True
        if self._queued >= QUEUE:
            return False
        self._queued += 1
        try:
            return self._slots.acquire(timeout=max(0.001, deadline_s - time.monotonic()))
        finally:
            self._queued -= 1

    def _work(self, connection, key, deadline_s):
        duration_s = self.work_s * self.random.uniform(0.8, 1.2)
        if key in self._warm:
            duration_s *= 0.3
        self._warm.append(key)
        duration_s *= 8.0 if self._fault("slow") else 1.0
        until_s = min(deadline_s, time.monotonic() + duration_s)
        while (left_s := until_s - time.monotonic()) > 0:
            eventlet.sleep(min(0.05, left_s))
            if _is_closed(connection.sock):
                return False
        return True

    def _answer(self, sock, request_id, late):
        fault = self._fault("lost", "extra", "extra-late", "refusal-late", "cut")
        if fault == "lost":
            reset_connection(sock)
            return False
        headers = {
            "Attempt-Id": request_id,
            "Response-Seal": f"s.{self.plan['id']}.{request_id}",
            "Instance-Load": f"{self._running},{self._queued},3,100",
            "Keep-Alive": "timeout=10",
        }
        if self.state == "draining":
            headers["Connection"] = "close"
        data = format_answer("200 OK", headers, b"x" * 2000)
        if fault == "cut":
            sock.sendall(data[: len(data) // 2])
            return False
        sock.sendall(data)
        if fault == "extra":
            sock.sendall(data)
        if fault == "extra-late":
            late[0] = data
        if fault == "refusal-late":
            late[0] = format_answer("503 Service Unavailable", {"Not-Executed": "1"}, b"")
        return self.state != "draining"


def _is_closed(sock):
    try:
        return sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def format_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    headers = headers | {"Content-Length": str(len(body))}
    text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status}\r\n{text}\r\n".encode() + body


def _send(sock, status, headers):
    sock.sendall(format_answer(status, headers, b""))
    return True


def _sleep_until(at_s):
    eventlet.sleep(max(0.0, at_s - time.monotonic()))


def main(plan_path, record_path):
    """Run the servers of a plan until its end."""
    plan = json.loads(Path(plan_path).read_text(encoding="utf-8"))
    with Path(record_path).open("w", encoding="utf-8") as output:

        def record(event, **fields):
            line = {"at_s": round(time.monotonic(), 4), "event": event} | fields
            output.write(json.dumps(line) + "\n")

        source = random.Random(plan["seed"])
        store = StoreCaller(plan["store"])
        for one in plan["servers"]:
            server = DayServer(one, plan["work_s"][one["service"]], store, source, record)
            eventlet.spawn_n(server.run)
        late_s = 0.0
        while time.monotonic() < plan["ends_s"]:
            began_s = time.monotonic()
            eventlet.sleep(0.05)
            late_s = max(late_s, time.monotonic() - began_s - 0.05)
        record("ended", late_s=round(late_s, 3))


if __name__ == "__main__":
    main(*sys.argv[1:])
