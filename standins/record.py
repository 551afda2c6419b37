"""Counters of requests and runs at the backend server stand-ins."""

import time
from collections import Counter, deque

from attrs import Factory, asdict, define


@define
class ServerRecord:
    """Counters of one backend server; times are Unix times in seconds.

    Attributes
    ----------
    received : int
        Requests received completely, without health and load probes.
    started, completed : int
        Runs that were started, and those whose response was sent completely.
    cancelled : int
        Runs stopped because the sender closed the connection or the deadline passed.
    cut_off : int
        Runs that finished but whose response could not be sent.
    received_when_leaving : int
        Requests received after the server was set to leaving.
    """

    name: str
    service: str
    place: str
    received: int = 0
    started: int = 0
    completed: int = 0
    shed: int = 0
    cancelled: int = 0
    cut_off: int = 0
    crashes: int = 0
    probes: int = 0
    bad_requests: int = 0
    connections: int = 0
    max_connections: int = 0
    opened_connections: int = 0
    refused_connections: int = 0
    in_progress: int = 0
    max_in_progress: int = 0
    last_new_request_at: float = 0.0
    leaving_since: float = 0.0
    received_when_leaving: int = 0
    fault_hits: dict[str, int] = Factory(dict)


@define
class RunRecord:
    """Counters of all backend servers of the process.

    Attributes
    ----------
    runs_by_key, runs_by_nonce : Counter
        Number of runs started, by Idempotency-Key and by the nonce of the caller.
    max_in_progress_by_place : dict[str, int]
        Highest number of requests in progress at once, by ``service/place``.
    """

    runs_by_key: Counter = Factory(Counter)
    runs_by_nonce: Counter = Factory(Counter)
    in_progress_by_place: Counter = Factory(Counter)
    max_in_progress_by_place: dict[str, int] = Factory(dict)
    crashes_by_nonce: Counter = Factory(Counter)

    def request_received(self, server):
        """Count a request as received and in progress at a backend server and its place."""
        server.received += 1
        server.last_new_request_at = time.time()
        if server.leaving_since:
            server.received_when_leaving += 1
        server.in_progress += 1
        server.max_in_progress = max(server.max_in_progress, server.in_progress)
        key = f"{server.service}/{server.place}"
        self.in_progress_by_place[key] += 1
        highest = self.max_in_progress_by_place.get(key, 0)
        self.max_in_progress_by_place[key] = max(highest, self.in_progress_by_place[key])

    def request_ended(self, server):
        """Count a request as no longer in progress."""
        server.in_progress -= 1
        self.in_progress_by_place[f"{server.service}/{server.place}"] -= 1

    def run_started(self, server, key, nonce):
        """Count the start of a run."""
        server.started += 1
        if key:
            self.runs_by_key[key] += 1
        if nonce:
            self.runs_by_nonce[nonce] += 1

    def clear_maxima(self, servers):
        """Reset the maxima of the places and of the given servers."""
        self.max_in_progress_by_place = dict(self.in_progress_by_place)
        for server in servers:
            server.max_in_progress = server.in_progress

    def as_counts(self, servers):
        """Return the counters without those by key and nonce, for frequent polling."""
        return {
            "in_progress_by_place": dict(self.in_progress_by_place),
            "max_in_progress_by_place": dict(self.max_in_progress_by_place),
            "servers": {server.name: asdict(server) for server in servers},
        }

    def as_json(self, servers):
        """Return all counters as JSON-compatible values."""
        return asdict(self) | {"servers": {server.name: asdict(server) for server in servers}}


class LaggingValue:
    """A value that readers see ``lag_s`` after it was set."""

    def __init__(self, value, lag_s):
        self.lag_s = lag_s
        self._values = deque([(0.0, value)])

    def set(self, value):
        """Set the value now."""
        self._drop_expired(time.monotonic())
        self._values.append((time.monotonic(), value))

    def visible(self):
        """Return the value as of ``lag_s`` ago."""
        self._drop_expired(time.monotonic())
        return self._values[0][1]

    def _drop_expired(self, now):
        while len(self._values) > 1 and self._values[1][0] <= now - self.lag_s:
            self._values.popleft()
