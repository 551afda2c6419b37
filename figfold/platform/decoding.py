"""Decodes the values of the operator's rows and the backend servers' rows."""

import base64
import binascii
import json
import re
from collections import Counter

from attrs import evolve, frozen
from result import Err, Ok

from figfold.core.addresses import parse_address
from figfold.core.codes import Code, Failure
from figfold.core.names import is_name
from figfold.core.organisations.organisation import Organisation, key_digest, shared_keys
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
# Bounds of what the rest of the program and the messages between entries can hold.
MAX_INTEGER = 2**63 - 1
MAX_SLOTS = 2**16 - 1
MAX_NUMBER = 1e9
MAX_TEXT_CHARS = 2000
MAX_NESTING = 64
ORGANISATIONS = "tenants"
API_KEYS = "apiKeys"
# The same keys as entries pass them on to each other.
KEY_DIGESTS = "apiKeyDigests"
VERSION_PATTERN = re.compile("r[0-9]{1,18}")


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
            return None if self.data is None else parse_json(self.data)
        except FieldError:
            # Other programs write to these tables too; the code that decodes the value reports it.
            return None


class FieldError(ValueError):
    """A field is missing, of another type, or out of bounds."""


def parse_json(data):
    """Return the value of a JSON text.

    Raises
    ------
    FieldError
        If it is not valid, or nested deeper than `MAX_NESTING`.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not valid JSON: {error}") from error
    # A deeper value could be read here and fail elsewhere, where more of the stack is in use. Most
    # rows are heartbeats, which have too few brackets for that.
    opening = (b"{", b"[") if isinstance(data, bytes) else ("{", "[")
    if sum(data.count(one) for one in opening) <= MAX_NESTING:
        return value
    level = [value]
    for _ in range(MAX_NESTING):
        level = [inner for outer in level for inner in _inner_values(outer)]
        if not level:
            return value
    raise FieldError(f"nested more than {MAX_NESTING} deep")


def _inner_values(value):
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def decode_row(item):
    """Return Ok(StoredRow) from an item of the store's answer; invalid content becomes None."""
    try:
        table, key = _text(item, "table"), _text(item, "key")
        version = _integer(item, "ver", 0) if "ver" in item else 0
    except FieldError as error:
        return Err(Failure(Code.STORE_BAD_ANSWER, f"invalid item of an answer: {error}", REMEDY))
    is_removed = item.get("tombstone") is True
    data = None if is_removed else _decode_base64(item.get("value"))
    return Ok(StoredRow(table, key, data, version, is_removed))


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
        organisation_by_name, failures = _organisations(value)
        return Ok(
            Configuration(
                version=_version(value.get("version")),
                route_by_name=route_by_name,
                service_by_name=service_by_name,
                limits=_limits(value),
                organisation_by_name=organisation_by_name,
                has_organisations=value.get(ORGANISATIONS) is not None,
                failures=failures,
            )
        )
    except FieldError as error:
        message = f"invalid configuration: {error}"
        return Err(Failure(Code.STORE_BAD_ANSWER, message, REMEDY))


def decode_configuration_parts(value):
    """Return a configuration of the valid parts of a value, and a failure for each other part.

    Returns
    -------
    tuple[Configuration, tuple[Failure, ...]]
    """
    failures = []

    def decode(part, function, *arguments, default=None):
        try:
            return function(*arguments)
        except FieldError as error:
            failures.append(
                Failure(Code.CONFIGURATION_BAD_VALUE, str(error), REMEDY, field=part[:80])
            )
            return default

    def decode_all(kind, name, function):
        items = decode(name, _object, value, name, default={})
        decoded = {one: decode(f"{kind} {one}", function, one, item) for one, item in items.items()}
        return {one: item for one, item in decoded.items() if item is not None}

    organisation_by_name, found = decode(ORGANISATIONS, _organisations, value, default=({}, ()))
    configuration = Configuration(
        version=decode("version", lambda: _version(value.get("version")), default=0),
        route_by_name=decode_all("route", "routes", _route),
        service_by_name=decode_all("service", "services", _service),
        limits=decode("limits", _limits, value, default=CallerLimits()),
        organisation_by_name=organisation_by_name,
        has_organisations=value.get(ORGANISATIONS) is not None,
        failures=found,
    )
    failures += [evolve(one, code=Code.CONFIGURATION_BAD_VALUE) for one in found]
    return configuration, tuple(failures)


def find_repeated_names(data):
    """Return the paths of names that stand twice in one object of a valid JSON text.

    Whatever is in place of API keys is left out, as it may be a key.
    """
    return list(_repeated_names(json.loads(data, object_pairs_hook=tuple), ()))


def _repeated_names(value, path):
    """Yield the paths in a value whose objects are tuples of pairs."""
    if isinstance(value, list):
        for one in value:
            yield from _repeated_names(one, path)
    if not isinstance(value, tuple):
        return
    counts = Counter(name for name, _ in value)
    yield from (".".join((*path, name)) for name, count in counts.items() if count > 1)
    for name, item in value:
        if name != API_KEYS:
            yield from _repeated_names(item, (*path, name))


def replace_keys(value):
    """Return the value of a configuration row with digests in place of API keys."""
    organisations = value.get(ORGANISATIONS)
    if not isinstance(organisations, dict):
        return value
    replaced = {}
    for name, item in organisations.items():
        try:
            digests = sorted(_key_digests(item))
        except FieldError:
            # It is left out where it is read, and must not reach a peer with a key in it.
            replaced[name] = None
            continue
        other = {one: found for one, found in item.items() if one != API_KEYS}
        replaced[name] = other | {KEY_DIGESTS: digests}
    return value | {ORGANISATIONS: replaced}


def _organisations(value):
    """Return the valid organisations by name, and a failure for each invalid one or shared key."""
    if value.get(ORGANISATIONS) is None:
        return {}, ()
    organisation_by_name, failures = {}, []
    for name, item in _object(value, ORGANISATIONS).items():
        try:
            organisation_by_name[name] = _organisation(name, item)
        except FieldError as error:
            message = f"invalid organisation {name[:60]!r}: {error}"
            failures.append(Failure(Code.STORE_BAD_ANSWER, message, REMEDY))
    for _, names in shared_keys(organisation_by_name.values()):
        message = f"organisations {', '.join(names)} hold the same API key; it is not accepted"
        failures.append(Failure(Code.STORE_BAD_ANSWER, message, "give each its own key"))
    return organisation_by_name, tuple(failures)


def _organisation(name, item):
    return Organisation(
        name=_checked_name(name, "name"),
        key_digests=frozenset(_key_digests(item)),
        priority=_integer(item, "priority", 0) if item.get("priority") is not None else None,
        rate_per_s=_number(item, "ratePerS", 0.0) if item.get("ratePerS") else 0.0,
        burst=_number(item, "burst", 0.0) if item.get("burst") else 0.0,
        home_regions=_home_regions(item),
    )


def _key_digests(item):
    if not isinstance(item, dict):
        raise FieldError("it is not an object")
    digests = [key_digest(one) for one in _texts(item, API_KEYS)]
    return digests + _texts(item, KEY_DIGESTS)


def _texts(item, name):
    """Return a list of non-empty texts, whose contents no message may show."""
    found = item.get(name)
    if found is None:
        return []
    if not isinstance(found, list) or not all(isinstance(one, str) and one for one in found):
        raise FieldError(f"{name} is not a list of non-empty strings")
    if any(len(one) > MAX_TEXT_CHARS for one in found):
        raise FieldError(f"{name} has a text of more than {MAX_TEXT_CHARS} characters")
    return found


def _home_regions(item):
    homes = item.get("homeRegions") or []
    if not isinstance(homes, list) or not all(isinstance(one, str) for one in homes):
        raise FieldError("homeRegions is not a list of names")
    return frozenset(homes)


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
        sequence = _integer(status, "sequence", 0)
        service = _text(info, "service")
        if known_services is not None and service not in known_services:
            raise FieldError(f"unknown service {service[:40]!r}")
        record = ServerRecord(
            id=_checked_name(server_id, "id"),
            service=_checked_name(service, "service"),
            address=_address(value),
            place=_checked_name(_text(info, "zone"), "zone"),
            slots=_integer(info, "slots", 1, MAX_SLOTS),
            is_leaving=state == DRAINING,
            row_version=row_version,
            cold_remaining_s=_number(status, "coldRemainingS", 0.0),
            started_ms=_integer(value, "born", 0) if "born" in value else 0,
            software_version=_text(info, "version"),
            sequence=sequence,
        )
        return Ok(record)
    except FieldError as error:
        message = f"invalid row of server {server_id[:60]!r}: {error}"
        return Err(Failure(Code.STORE_BAD_ANSWER, message, REMEDY))


def _service(name, item):
    if not isinstance(item, dict):
        raise FieldError(f"service {name[:40]!r} is not an object")
    return ServiceRules(
        name=name,
        connection_limit=_integer(item, "maxConnections", 0) if "maxConnections" in item else 0,
        cold_start_s=_number(item, "coldStartS", 0.0) if "coldStartS" in item else 0.0,
        cold_requests_per_s=_number(item, "coldPerS", 0.0) if "coldPerS" in item else 1.0,
    )


def _route(name, item):
    kind = _text(item, "kind")
    timeout_s = _number(item, "timeoutS", 0.0)
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
        home_regions=_home_regions(item),
        allows_anonymous=item.get("allowAnonymous") is True,
    )


def _service_weights(item):
    split = item.get("split")
    if not split:
        return (ServiceWeight(_text(item, "service"), 1.0),)
    if not isinstance(split, list):
        raise FieldError("split is not a list")
    weights = tuple(
        ServiceWeight(_text(one, "service"), _number(one, "weight", 0.0)) for one in split
    )
    if not any(one.weight for one in weights):
        raise FieldError("split has no weight above zero")
    return weights


def _limits(configuration):
    item = _object(configuration, "limits") if configuration.get("limits") else {}
    defaults = CallerLimits()

    def limit(name, default):
        return _number(item, name, 0.0, MAX_INTEGER) if item.get(name) else default

    return CallerLimits(
        header_bytes=int(limit("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(limit("maxBodyBytes", defaults.body_bytes)),
        header_timeout_s=limit("headerTimeoutS", defaults.header_timeout_s),
        idle_timeout_s=limit("idleTimeoutS", defaults.idle_timeout_s),
    )


def _version(value):
    if not isinstance(value, str) or not VERSION_PATTERN.fullmatch(value):
        raise FieldError(f"version {str(value)[:40]!r} is not of the form r123")
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
    if len(found) > MAX_TEXT_CHARS:
        raise FieldError(f"{name} has more than {MAX_TEXT_CHARS} characters")
    try:
        found.encode()
    except UnicodeEncodeError as error:
        raise FieldError(f"{name} is not valid Unicode") from error
    return found


def _checked_name(text, field_name):
    if not is_name(text):
        raise FieldError(f"{field_name} {text[:40]!r} is not a name")
    return text


def _address(item):
    text = _text(item, "address")
    address = parse_address(text)
    if address is None:
        raise FieldError(f"address {text[:40]!r} is not an IP address with a port")
    return address


def _integer(item, name, low, high=MAX_INTEGER):
    found = item.get(name)
    if isinstance(found, bool) or not isinstance(found, int) or not low <= found <= high:
        raise FieldError(f"{name} is not an integer from {low} to {high}")
    return found


def _number(item, name, low, high=MAX_NUMBER):
    found = item.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise FieldError(f"{name} is not a number")
    # NaN fails this comparison too.
    if not low <= found <= high:
        raise FieldError(f"{name} is out of range")
    return float(found)
