"""A backend server that implements the platform's published protocol, with slots and faults."""

import socket
import time
from collections import Counter, OrderedDict
from collections.abc import Callable

import eventlet
from attrs import define, field, frozen
from eventlet.semaphore import Semaphore

from standins.process import address_of, listen, reset_connection

HEAD_LIMIT_BYTES = 65536
CACHED_KEYS_LIMIT = 17


@frozen
class Notice:
    """What a response has stated about the server, in monotonic seconds.

    Attributes
    ----------
    kind : str
        ``leaving``, ``limit`` or ``pause``.
    value : float
        The limit per second, or the pause in seconds.
    """

    at_s: float
    request_id: str
    kind: str
    value: float = 0.0


@define(eq=False)
class Endpoint:
    """One backend server: runs requests in its slots, caches objects and records its runs.

    Attributes
    ----------
    fault : str
        Fault applied to requests: empty for none; ``reset`` resets the connection after the run;
        ``cut`` truncates a response without a length; ``cut-head`` ends within the head of a
        response; ``foreign`` sends the response of another attempt; ``shed`` refuses;
        ``shed-twice`` refuses once and writes the refusal again before the response to the next
        request on the connection; ``silent`` never answers; ``extra`` sends a second response;
        ``late-refusal`` sends a refusal without an id before the response to the next request on
        the connection; ``misdirected-twice`` names the request in its answer that another server
        was meant, and writes that answer again before the response to the next request.
    make_broken : callable or None
        ``(fields, body)``, returns the `BrokenAnswer` that is sent in place of a sound one; None
        for sound answers. Another fault goes before it.
    error_status : str
        Status line of the failure with which it answers requests that it has run; empty for none.
    registered_address : str
        Address in its row, if that is another one than its own.
    announces_leaving : bool
        Whether its answers state that it leaves, whatever its row says.
    limit_per_s : float or None
        Limit on the requests per second from all entries that its answers name, or None.
    pause_s : float
        Pause that its refusals ask for; 0 for none.
    queue_limit : int or None
        Waiting requests beyond which it refuses more, or None for no limit.
    cold_start_s : float
        For how long after its start the server reports itself as cold.
    runs : Counter
        Number of runs by request id.
    arrived_s_by_request : dict[str, float]
        When each request last arrived that was meant for this server, in monotonic seconds.
    notices : list[Notice]
        What its responses have stated.
    cancelled : int
        Requests whose connection was closed before the response was sent.
    """

    id: str
    service: str
    place: str
    cold_s: float = 0.06
    warm_s: float = 0.02
    slots: int = 3
    queue_limit: int | None = None
    cold_start_s: float = 0.0
    fault: str = ""
    make_broken: Callable | None = None
    error_status: str = ""
    registered_address: str = ""
    announces_leaving: bool = False
    limit_per_s: float | None = None
    pause_s: float = 0.0
    runs: Counter = field(factory=Counter)
    arrived_s_by_request: dict = field(factory=dict)
    heads: list = field(factory=list)
    notices: list = field(factory=list)
    cancelled: int = 0
    sequence: int = 0
    state: str = "ready"
    _started_s: float = 0.0
    _listener: object = None
    _free_slots: Semaphore = None
    _running: int = 0
    _waiting: int = 0
    _cached_keys: OrderedDict = field(factory=OrderedDict)
    # Connections on which a refusal is still to be written again.
    _refused: set = field(factory=set)
    # Connections on which an answer for another server is still to be written again.
    _misdirected: set = field(factory=set)

    def start(self):
        """Listen and serve in green threads."""
        self._started_s = time.monotonic()
        self._listener = listen()
        self._free_slots = Semaphore(self.slots)
        eventlet.spawn_n(self._accept)
        return self

    @property
    def address(self):
        """The address on which the server listens."""
        return address_of(self._listener)

    def row(self):
        """Return the value of the server's row in the store, with the next heartbeat number."""
        self.sequence += 1
        return {
            "address": self.registered_address or self.address,
            "born": 1,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.place,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemainingS": max(0.0, self._started_s + self.cold_start_s - time.monotonic()),
            },
        }

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        try:
            while self._serve_request(sock):
                pass
        except OSError:
            self.cancelled += 1
        finally:
            sock.close()

    def _serve_request(self, sock):
        data = b""
        while b"\r\n\r\n" not in data and len(data) < HEAD_LIMIT_BYTES:
            part = sock.recv(4096)
            if not part:
                return False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        headers = {name.lower(): value for name, value in headers.items()}
        missing_bytes = int(headers.get("content-length", 0)) - len(body)
        while missing_bytes > 0:
            part = sock.recv(missing_bytes)
            if not part:
                return False
            body, missing_bytes = body + part, missing_bytes - len(part)
        self.heads.append((lines[0], headers, body))
        return self._answer(sock, lines[0], headers, body)

    def _answer(self, sock, line, headers, body):
        request_id = headers.get("attempt-id", "")
        if headers.get("target-instance", self.id) != self.id:
            return self._redirect(sock, request_id)
        self.arrived_s_by_request[request_id] = time.monotonic()
        self._repeat_refusal(sock, request_id)
        is_full = self.queue_limit is not None and self._waiting >= self.queue_limit
        if self.fault in ("shed", "shed-twice") or is_full:
            return self._refuse(sock, request_id)
        self._waiting += 1
        with self._free_slots:
            self._waiting -= 1
            self._run(request_id, headers.get("affinity-key", ""))
            if _is_closed(sock):
                self.cancelled += 1
                return False
        answer = f"{self.id} {line} {len(body)}".encode()
        if self.make_broken is not None and not self.fault:
            return self._send_broken(sock, request_id, answer)
        response_headers = self._headers(request_id) | self._state_notices(request_id)
        if self.fault in ("cut-head", "reset", "cut"):
            self._break_off(sock, response_headers, answer)
            return False
        stays_open = _send(sock, self.error_status or "200 OK", response_headers, answer)
        if self.fault == "late-refusal":
            self._refused.add(sock)
        if self.fault == "extra":
            _send(sock, "200 OK", response_headers | {"Attempt-Id": "other"}, b"extra")
        return stays_open

    def _headers(self, request_id):
        return {
            "Attempt-Id": "other" if self.fault == "foreign" else request_id,
            "Response-Seal": f"seal-{self.id}",
            "Instance-Load": f"{self._running},{self._waiting},{self.slots},100",
        }

    def _send_broken(self, sock, request_id, answer):
        # It states no notices, since nobody is told what stands in it.
        headers = self._headers(request_id)
        fields = [f"{name}: {value}".encode() for name, value in headers.items()]
        broken = self.make_broken(fields, answer)
        sock.sendall(broken.content)
        return not broken.closes

    def _break_off(self, sock, headers, answer):
        if self.fault == "cut-head":
            sock.sendall(f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers['Attempt-Id']}\r\n".encode())
            sock.sendall(b"Response-Seal: x\r\nContent-Le")
            return
        if self.fault == "cut":
            # Without a Content-Length, the response ends where the connection is closed.
            text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            sock.sendall(f"HTTP/1.1 200 OK\r\n{text}\r\n".encode() + answer[:5])
            eventlet.sleep(0.05)
        reset_connection(sock)

    def _state_notices(self, request_id):
        """Record what a response states about the server, and return it as headers."""
        now_s = time.monotonic()
        headers = {}
        if self.announces_leaving:
            headers["Server-Leaving"] = "1"
            self.notices.append(Notice(now_s, request_id, "leaving"))
        if self.limit_per_s is not None:
            headers["Server-Limit"] = str(self.limit_per_s)
            self.notices.append(Notice(now_s, request_id, "limit", self.limit_per_s))
        return headers

    def _repeat_refusal(self, sock, request_id):
        """Write the latest refusal on the connection again, if the fault asks for that."""
        for connections, refuse in (
            (self._misdirected, self._redirect),
            (self._refused, self._refuse),
        ):
            if sock in connections:
                connections.discard(sock)
                refuse(sock, request_id)

    def _redirect(self, sock, request_id):
        headers = {"Instance-Id": self.id}
        if self.fault == "misdirected-twice":
            headers["Attempt-Id"] = request_id
            self._misdirected.add(sock)
        return _send(sock, "421 Misdirected Request", headers, b"")

    def _refuse(self, sock, request_id):
        headers = {"Not-Executed": "1"} | self._state_notices(request_id)
        if self.pause_s:
            headers["Retry-After"] = str(self.pause_s)
            self.notices.append(Notice(time.monotonic(), request_id, "pause", self.pause_s))
        if self.fault == "shed-twice":
            self.fault = ""
            self._refused.add(sock)
        return _send(sock, "503 Service Unavailable", headers, b"")

    def _run(self, request_id, key):
        self.runs[request_id] += 1
        self._running += 1
        try:
            eventlet.sleep(3600 if self.fault == "silent" else self._run_duration_s(key))
        finally:
            self._running -= 1

    def _run_duration_s(self, key):
        duration_s = self.warm_s if key in self._cached_keys else self.cold_s
        self._cached_keys[key] = True
        self._cached_keys.move_to_end(key)
        while len(self._cached_keys) > CACHED_KEYS_LIMIT:
            self._cached_keys.popitem(last=False)
        return duration_s


def _send(sock, status, headers, body):
    headers = headers | {"Content-Length": str(len(body))}
    text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    sock.sendall(f"HTTP/1.1 {status}\r\n{text}\r\n".encode() + body)
    return True


def _is_closed(sock):
    try:
        return sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
