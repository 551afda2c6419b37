"""Response bodies of the backend server stand-in.

Each body names its request and carries a digest, so that a caller can verify that the response is
complete and belongs to its own request.
"""

import hashlib
import json
import random
from functools import lru_cache

PATTERN_BYTES = 1 << 20
MAX_BULK_BYTES = 64 << 20
_PATTERN = random.Random(0).randbytes(PATTERN_BYTES)


def sha256(data):
    """Return the SHA-256 of bytes in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


@lru_cache(maxsize=256)
def bulk_payload(size):
    """Return ``size`` deterministic bytes and their SHA-256."""
    size = min(size, MAX_BULK_BYTES)
    data = (_PATTERN * (size // PATTERN_BYTES + 1))[:size]
    return data, sha256(data)


def path_kind(target):
    """Return the first segment of a path, which selects the response and the run time."""
    return target.split("?")[0].lstrip("/").split("/")[0]


def response_payload(request):
    """Return the payload that follows the identity line of a response, and its digest."""
    kind = path_kind(request.target)
    if kind == "bulk":
        number = request.target.split("?")[0].rstrip("/").rsplit("/", 1)[-1]
        return bulk_payload(int(number) if number.isdecimal() else 0)
    if kind == "echo":
        return request.body, sha256(request.body)
    return bulk_payload(0)


def build_response_body(server, service, request, run):
    """Return a response body: one JSON line that identifies the request, then the payload."""
    payload, payload_digest = response_payload(request)
    identity = {
        "server": server,
        "service": service,
        "path": request.target,
        "method": request.method,
        "key": request.header_by_name.get("idempotency-key", ""),
        "digest": sha256(request.body),
        "nonce": request.header_by_name.get("figfold-nonce", ""),
        "run": run,
        "payload_bytes": len(payload),
        "payload_digest": payload_digest,
    }
    return json.dumps(identity).encode() + b"\n" + payload


def find_body_error(body, expected):
    """Return what is wrong with a response body, or an empty string.

    Parameters
    ----------
    body : bytes
        The body as received.
    expected : dict
        Required values of fields of the identity line.
    """
    line, newline, payload = body.partition(b"\n")
    try:
        identity = json.loads(line)
    except ValueError:
        return "no identity line"
    if not newline:
        return "ends inside the identity line"
    for name, value in expected.items():
        if identity.get(name) != value:
            return f"{name} is {identity.get(name)!r} instead of {value!r}"
    if len(payload) != identity["payload_bytes"] or sha256(payload) != identity["payload_digest"]:
        return f"payload of {len(payload)} bytes differs"
    return ""
