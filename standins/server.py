"""One backend server of the stand-in: connections, slots, runs and faults."""

import json
import math
import random
import time

import eventlet
from eventlet import hubs

from standins.answers import build_response_body, path_kind
from standins.http_socket import BadRequestError, HttpSocket, format_response
from standins.process import address_of, listen, reset_connection, reset_on_close
from standins.record import LaggingValue, ServerRecord
from standins.server_faults import ServerFaults

DEFAULTS = {
    "name": "",
    "service": "",
    "place": "",
    "address": "127.0.0.1:0",
    "slots": 3,
    "connections": 360,
    "queue": 6,  # requests that may wait for a slot
    "queue_wait_ms": 200,  # longest wait for a slot
    "open_delay_ms": 1,  # delay before the first request of a connection is read
    "probe_delay_ms": 0,
    "report_lag_ms": 0,  # age of the values in responses to health and load probes
    "mean_ms": 8,  # mean duration of a short run
    "sigma": 0.3,  # standard deviation of the logarithm of the duration
    "long_factor": 50,
    "straggler_part": 0.0,
    "straggler_factor": 10,
    "cold_s": 0,  # how long a server is slower, counted from its first request
    "cold_factor": 4,  # initial slow-down of a cold server
    "poison_down_ms": 1000,  # how long a crashed server is down
}
FREEZE_CHECK_S = 0.02
START_RETRY_S = 0.1
IDEMPOTENCY_KEY = "idempotency-key"
NONCE = "figfold-nonce"
DEADLINE = "figfold-deadline-ms"
POISON = "figfold-poison"
SHED_LINE = "503 Service Unavailable"
SHED_HEADERS = (("Figfold-Shed", "1"),)


ANSWER_FAULTS = (
    "reset_after_run",
    "reset_mid_answer",
    "short_answer",
    "wrong_length",
    "random_bytes",
    "huge_header",
    "endless_body",
)
HUGE_HEADER = ("Padding", "x" * 1_000_000)
ENDLESS_CHUNK = b"x" * 65_536


class _RunFinishedError(Exception):
    """A run has finished and its sender still waits for the response."""


class _ConnectionResetError(Exception):
    """The connection has to be reset."""


class BackendServer:
    """One backend server."""

    def __init__(self, settings, run_record, seed):
        self.settings = DEFAULTS | settings
        self.record = ServerRecord(
            self.settings["name"], self.settings["service"], self.settings["place"]
        )
        self.faults = ServerFaults(seed, self.record.fault_hits)
        self.is_leaving = False
        self.sheds_when_leaving = False
        self.address = self.settings["address"]
        self._run_record = run_record
        self._random = random.Random(seed)
        self._slots = eventlet.semaphore.Semaphore(self.settings["slots"])
        self._queued = 0
        self._first_request_at = None
        lag_s = self.settings["report_lag_ms"] / 1000
        self._reported_in_progress = LaggingValue(0, lag_s)
        self._reported_state = LaggingValue("live", lag_s)
        self._thread_by_socket = {}
        self._silent_sockets = set()
        self._accept_thread = None
        self._listener = None

    @classmethod
    def from_config(cls, settings, run_record, seed):
        """Create a backend server that does not listen yet."""
        unknown = settings.keys() - DEFAULTS.keys()
        if unknown:
            raise ValueError(f"unknown settings {sorted(unknown)}")
        return cls(settings, run_record, seed)

    # Start, leaving and crashes.

    def start(self):
        """Listen; after a crash, on the same address as before."""
        self._first_request_at = None
        try:
            self._listener = listen(self.address)
        except OSError:
            # An outgoing connection of another process may use the port for a moment.
            eventlet.spawn_after(START_RETRY_S, self.start)
            return
        self.address = address_of(self._listener)
        self._accept_thread = eventlet.spawn(self._accept, self._listener)

    def start_leaving(self, sheds=False):
        """Set the server to leaving; with ``sheds``, it sheds all new requests."""
        self.is_leaving = True
        self.sheds_when_leaving = sheds
        self.record.leaving_since = time.time()
        self._reported_state.set("leaving")

    def stop_leaving(self):
        """Set the server to live again."""
        self.is_leaving = self.sheds_when_leaving = False
        self.record.leaving_since = 0.0
        self._reported_state.set("live")

    def silence_connections(self):
        """Never again answer requests on the connections that are open now."""
        self._silent_sockets.update(self._thread_by_socket)

    def crash(self, down_ms=None):
        """Reset all connections, stop listening and start again ``down_ms`` later."""
        if self._listener is None:
            return
        self.record.crashes += 1
        self._accept_thread.kill()
        self._listener.close()
        self._listener = None
        for sock, thread in list(self._thread_by_socket.items()):
            if thread is not eventlet.getcurrent():
                reset_on_close(sock)
                thread.kill()
                reset_connection(sock)
        down_ms = self.settings["poison_down_ms"] if down_ms is None else down_ms
        eventlet.spawn_after(down_ms / 1000, self.start)

    # Connections.

    def _accept(self, listener):
        while True:
            self._wait_while_frozen()
            sock, _address = listener.accept()
            if len(self._thread_by_socket) >= self.settings["connections"]:
                self.record.refused_connections += 1
                reset_connection(sock)
                continue
            self._thread_by_socket[sock] = eventlet.spawn(self._serve, sock)
            self.record.opened_connections += 1
            self._count_connections()

    def _count_connections(self):
        self.record.connections = len(self._thread_by_socket)
        self.record.max_connections = max(self.record.max_connections, self.record.connections)

    def _serve(self, sock):
        connection = HttpSocket(sock)
        try:
            eventlet.sleep(self.settings["open_delay_ms"] / 1000)
            while self._serve_request(connection):
                pass
        except BadRequestError:
            self.record.bad_requests += 1
        except _ConnectionResetError:
            reset_connection(sock)
        except OSError:
            pass
        finally:
            self._thread_by_socket.pop(sock, None)
            self._silent_sockets.discard(sock)
            self._count_connections()
            sock.close()

    def _serve_request(self, connection):
        if self.faults.next_fault("reset_before_head"):
            raise _ConnectionResetError
        if self.faults.next_fault("reset_mid_head"):
            connection.discard_byte()
            raise _ConnectionResetError
        request = connection.read_request()
        if request is None:
            return False
        self._wait_while_frozen()
        if connection.sock in self._silent_sockets:
            self._discard_input(connection)
            return False
        if self.faults.next_fault("reset_after_body"):
            raise _ConnectionResetError
        if path_kind(request.target) in ("health", "load"):
            self._answer_probe(connection, request)
        else:
            self._answer_request(connection, request)
        return not request.wants_close

    def _discard_input(self, connection):
        while True:
            try:
                if not connection.sock.recv(65536):
                    return
            except OSError:
                return

    def _wait_while_frozen(self):
        while self.faults.is_frozen:
            eventlet.sleep(FREEZE_CHECK_S)

    # Probes.

    def _answer_probe(self, connection, request):
        self.record.probes += 1
        eventlet.sleep(self.settings["probe_delay_ms"] / 1000)
        if path_kind(request.target) == "health":
            value = {"state": self._reported_state.visible()} | self.faults.health
        else:
            value = {
                "in_progress": self._reported_in_progress.visible(),
                "slots": self.settings["slots"],
            } | self.faults.load
        headers = (("Content-Type", "application/json"),)
        connection.sock.sendall(format_response("200 OK", headers, json.dumps(value).encode()))

    # Requests.

    def _answer_request(self, connection, request):
        self._run_record.request_received(self.record)
        self._reported_in_progress.set(self.record.in_progress)
        try:
            deadline_at = time.monotonic() + _deadline_s(request)
            if self._acquire_slot(deadline_at):
                try:
                    self._run(connection, request, deadline_at)
                finally:
                    self._slots.release()
            else:
                self.record.shed += 1
                connection.sock.sendall(format_response(SHED_LINE, SHED_HEADERS, b""))
        finally:
            self._run_record.request_ended(self.record)
            self._reported_in_progress.set(self.record.in_progress)

    def _acquire_slot(self, deadline_at):
        if self.is_leaving and self.sheds_when_leaving:
            return False
        if self._slots.acquire(blocking=False):
            return True
        if self._queued >= self.settings["queue"]:
            return False
        wait_s = min(self.settings["queue_wait_ms"] / 1000, deadline_at - time.monotonic())
        if wait_s <= 0:
            return False
        self._queued += 1
        try:
            return self._slots.acquire(timeout=wait_s)
        finally:
            self._queued -= 1

    def _run(self, connection, request, deadline_at):
        key = request.header_by_name.get(IDEMPOTENCY_KEY, "")
        nonce = request.header_by_name.get(NONCE, "")
        self._run_record.run_started(self.record, key, nonce)
        if POISON in request.header_by_name:
            self._run_record.crashes_by_nonce[nonce] += 1
            self.crash()
            raise _ConnectionResetError
        duration_s = self._run_duration_s(request)
        is_late = time.monotonic() + duration_s > deadline_at
        if is_late:
            duration_s = max(0.0, deadline_at - time.monotonic())
        started_at = time.monotonic()
        if not _wait_for_run(connection, duration_s) or is_late:
            self.record.cancelled += 1
            raise _ConnectionResetError
        self._wait_while_frozen()
        run_ms = (time.monotonic() - started_at) * 1000
        self._send(connection, request, f"{self.record.name}-{self.record.started}", run_ms)

    def _run_duration_s(self, request):
        mean_s = self.settings["mean_ms"] / 1000
        sigma = self.settings["sigma"]
        # The mean of a log-normal variable is exp(mu + sigma^2 / 2).
        seconds = self._random.lognormvariate(math.log(mean_s) - sigma * sigma / 2, sigma)
        if path_kind(request.target) == "long":
            seconds *= self.settings["long_factor"]
        if self._random.random() < self.settings["straggler_part"]:
            seconds *= self.settings["straggler_factor"]
        return seconds * self.faults.slow_factor * self._cold_factor()

    def _cold_factor(self):
        now = time.monotonic()
        if self._first_request_at is None:
            self._first_request_at = now
        cold_s = self.settings["cold_s"]
        age_s = now - self._first_request_at
        if age_s >= cold_s:
            return 1.0
        return 1 + (self.settings["cold_factor"] - 1) * (1 - age_s / cold_s)

    def _send(self, connection, request, run, run_ms):
        body = build_response_body(self.record.name, self.record.service, request, run)
        headers = [("Figfold-Run", run), ("Content-Type", "application/octet-stream")]
        headers.append(("Figfold-Run-Ms", f"{run_ms:.2f}"))
        if NONCE in request.header_by_name:
            headers.append(("Figfold-Nonce", request.header_by_name[NONCE]))
        data = format_response("200 OK", headers, body)
        if request.method == "HEAD":
            data = format_response("200 OK", headers, b"", len(body))
        try:
            self._send_intact_or_corrupted(connection, headers, body, data)
        except OSError:
            self.record.cut_off += 1
            raise
        self.record.completed += 1

    def _send_intact_or_corrupted(self, connection, headers, body, data):
        mode = self.faults.next_fault(*ANSWER_FAULTS)
        if not mode:
            connection.sock.sendall(data)
            return
        if mode == "endless_body":
            _send_endless_body(connection.sock)
        corrupted = {
            "reset_after_run": b"",
            "reset_mid_answer": data[: len(data) // 2],
            "short_answer": data[:-7],
            "wrong_length": format_response("200 OK", headers, body, len(body) + 7),
            "random_bytes": self._random.randbytes(len(data)),
            "huge_header": format_response("200 OK", (*headers, HUGE_HEADER), body),
        }
        connection.sock.sendall(corrupted[mode])
        if mode.startswith("reset"):
            raise _ConnectionResetError
        # The connection is closed in order, so that the response is incomplete but not reset.
        raise BadRequestError(mode)


def _send_endless_body(sock):
    """Send a body without a length until the peer closes the connection."""
    sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
    while True:
        sock.sendall(ENDLESS_CHUNK)


def _deadline_s(request):
    try:
        return float(request.header_by_name[DEADLINE]) / 1000
    except (KeyError, ValueError):
        return math.inf


def _wait_for_run(connection, duration_s):
    """Wait for the duration of a run; return False once the sender closes the connection."""
    until = time.monotonic() + duration_s
    try:
        hubs.trampoline(
            connection.sock, read=True, timeout=duration_s, timeout_exc=_RunFinishedError
        )
    except _RunFinishedError:
        return True
    if connection.is_closed_by_peer():
        return False
    # The sender has pipelined its next request; the run continues to its end.
    eventlet.sleep(max(0.0, until - time.monotonic()))
    return True
