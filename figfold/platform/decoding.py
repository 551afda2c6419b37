"""Decodes the values of the operator's rows and the backend servers' rows."""

import base64
import binascii
import json
import math

from attrs import frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.traffic.configuration import (
    CallerLimits,
    Configuration,
    Repeatability,
    Route,
    ServiceRules,
    ServiceWeight,
)
from figfold.core.traffic.fleet import ServerRecord

# Requests of ``non_idempotent`` routes and of routes of unknown kind run at most once.
REPEATABLE_KINDS = frozenset({"safe", "download"})
BULK_KINDS = frozenset({"download"})
READY = "ready"
DRAINING = "draining"
REMEDY = "compare it with the platform's protocol"


@frozen
class StoredRow:
    """A row of the store, or the tombstone of a removed one.

    Attributes
    ----------
    data : bytes or None
        Content of the row; None if it was removed or its content is not valid Base64.
    """

    table: str
    key: str
    data: bytes | None
    version: int
    is_removed: bool = False

    @property
    def value(self):
        """The content parsed as JSON; None if it is missing or invalid."""
        try:
            return None if self.data is None else json.loads(self.data)
        except (ValueError, RecursionError):
            # Other programs write to these tables too; the code that decodes the value reports it.
            return None


class FieldError(ValueError):
    """A field is missing, of another type, or out of bounds."""


def decode_row(item):
    """Return a row from an item of the store's answer; invalid content becomes None.

    Raises
    ------
    FieldError
        If the item has no table or key.
    """
    table, key = _text(item, "table"), _text(item, "key")
    version = item.get("ver", 0)
    removed = item.get("tombstone") is True
    return StoredRow(
        table, key, None if removed else _decode_base64(item.get("value")), version, removed
    )


def _decode_base64(value):
    if not isinstance(value, str):
        return None
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        # Other programs write to these tables too; the code that decodes the value reports it.
        return None


def decode_configuration(value):
    """Return Ok(Configuration) from the value of the operator's configuration row."""
    try:
        service_by_name = {
            name: _service(name, item) for name, item in _object(value, "services").items()
        }
        route_by_name = {
            name: _route(name, item) for name, item in _object(value, "routes").items()
        }
        return Ok(
            Configuration(
                version=_version(value.get("version")),
                route_by_name=route_by_name,
                service_by_name=service_by_name,
                limits=_limits(value.get("limits") or {}),
            )
        )
    except FieldError as error:
        message = f"invalid configuration: {error}"
        return Err(Failure(Code.STORE_BAD_ANSWER, message, REMEDY))


def decode_server(server_id, value, known_services=None, row_version=0):
    """Return Ok(ServerRecord) from the value of a backend server's row.

    Parameters
    ----------
    known_services : collection of str or None
        Services that exist; a row with another one is invalid. None admits any.
    row_version : int
        Version of the store in which the row was written.
    """
    try:
        info, status = _object(value, "info"), _object(value, "status")
        state = _text(status, "state")
        if state not in (READY, DRAINING):
            raise FieldError(f"unknown state {state[:40]!r}")
        _integer(status, "sequence", 0)
        service = _text(info, "service")
        if known_services is not None and service not in known_services:
            raise FieldError(f"unknown service {service[:40]!r}")
        record = ServerRecord(
            id=server_id,
            service=service,
            address=_address(value),
            place=_text(info, "zone"),
            slots=_integer(info, "slots", 1),
            is_leaving=state == DRAINING,
            row_version=row_version,
            cold_remaining_s=_number(status, "coldRemainingS", 0.0),
            started_ms=_integer(value, "born", 0) if "born" in value else 0,
            software_version=_text(info, "version"),
        )
        return Ok(record)
    except FieldError as error:
        message = f"invalid row of server {server_id[:60]!r}: {error}"
        return Err(Failure(Code.STORE_BAD_ANSWER, message, REMEDY))


def _service(name, item):
    return ServiceRules(
        name=name,
        connection_limit=_integer(item, "maxConnections", 0) if "maxConnections" in item else 0,
        cold_start_s=_number(item, "coldStartS", 0.0) if "coldStartS" in item else 0.0,
        cold_requests_per_s=_number(item, "coldPerS", 0.0) if "coldPerS" in item else 1.0,
    )


def _route(name, item):
    kind = _text(item, "kind")
    timeout_s = _number(item, "timeoutS", 0.0)
    homes = item.get("homeRegions") or []
    if not isinstance(homes, list) or not all(isinstance(one, str) for one in homes):
        raise FieldError("homeRegions is not a list of names")
    return Route(
        name=name,
        host=_text(item, "host").lower(),
        prefix=_text(item, "prefix"),
        repeatability=(
            Repeatability.SAFE if kind in REPEATABLE_KINDS else Repeatability.AT_MOST_ONCE
        ),
        services=_service_weights(item),
        is_bulk=kind in BULK_KINDS,
        timeout_s=timeout_s,
        target_latency_s=_number(item, "targetLatencyS", 0.0) if "targetLatencyS" in item else 1.0,
        priority=_integer(item, "priority", 0) if "priority" in item else 0,
        max_attempts=_integer(item, "maxAttempts", 1) if "maxAttempts" in item else 1,
        is_sticky=item.get("sticky") is True,
        home_regions=frozenset(homes),
    )


def _service_weights(item):
    split = item.get("split")
    if not split:
        return (ServiceWeight(_text(item, "service"), 1.0),)
    if not isinstance(split, list):
        raise FieldError("split is not a list")
    return tuple(ServiceWeight(_text(one, "service"), _number(one, "weight", 0.0)) for one in split)


def _limits(item):
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.get("maxHeaderBytes") or defaults.header_bytes),
        body_bytes=int(item.get("maxBodyBytes") or defaults.body_bytes),
        header_timeout_s=float(item.get("headerTimeoutS") or defaults.header_timeout_s),
        idle_timeout_s=float(item.get("idleTimeoutS") or defaults.idle_timeout_s),
    )


def _version(value):
    if not isinstance(value, str) or not value.startswith("r") or not value[1:].isdigit():
        raise FieldError(f"version {value!r:.40} is not of the form r123")
    return int(value[1:])


def _object(value, name):
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, dict):
        raise FieldError(f"{name} is not an object")
    return found


def _text(item, name):
    found = item.get(name) if isinstance(item, dict) else None
    if not isinstance(found, str) or not found:
        raise FieldError(f"{name} is not a non-empty string")
    return found


def _address(item):
    text = _text(item, "address")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise FieldError(f"address {text[:40]!r} is not of the form host:port")
    return text


def _integer(item, name, low):
    found = item.get(name)
    if isinstance(found, bool) or not isinstance(found, int) or found < low:
        raise FieldError(f"{name} is not an integer of at least {low}")
    return found


def _number(item, name, low):
    found = item.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise FieldError(f"{name} is not a number")
    if not math.isfinite(found) or found < low:
        raise FieldError(f"{name} is out of range")
    return float(found)
