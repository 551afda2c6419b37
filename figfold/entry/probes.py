"""Health probes of backend servers."""

import json

import eventlet
from urllib3.exceptions import HTTPError

from figfold.core.model import State
from figfold.entry.answer_connection import HEAD_LIMIT_BYTES, make_pool_manager

PROBE_TIMEOUT_S = 1.0
HEALTH_LIMIT_BYTES = 4096
CONNECTION_POOLS = 64


def make_probe():
    """Return a function from an address to the reported state, None if the probe fails."""
    http = make_pool_manager(HEAD_LIMIT_BYTES, num_pools=CONNECTION_POOLS, maxsize=1, retries=False)

    def probe(address):
        try:
            with eventlet.Timeout(PROBE_TIMEOUT_S):
                answer = http.request(
                    "GET",
                    f"http://{address}/health",
                    timeout=PROBE_TIMEOUT_S,
                    preload_content=False,
                )
                data = answer.read(HEALTH_LIMIT_BYTES)
                answer.release_conn()
            return State(json.loads(data)["state"])
        except (eventlet.Timeout, HTTPError, OSError, ValueError, KeyError, TypeError):
            return None

    return probe
