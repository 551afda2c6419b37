"""Decodes the store's tables: configuration and evacuations, backend servers, and entries."""

import json

from attrs import Factory, frozen
from result import Err

from figfold.core.addresses import parse_address
from figfold.core.codes import Code, Failure
from figfold.core.names import is_name
from figfold.core.traffic.configuration import Configuration
from figfold.core.traffic.fleet import ServerRecord
from figfold.platform.decoding import (
    FieldError,
    decode_configuration,
    decode_server,
    parse_json,
    replace_keys,
)
from figfold.platform.rows import CONFIGURATION_KEY, EVACUATION_PREFIX


@frozen
class OperatorUpdate:
    """Result of decoding rows of the operator's table, whole or changed ones.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration, if its row was among them and is valid.
    has_configuration : bool
        Whether the configuration's row was among them, valid or not.
    evacuation_by_place : dict[str, bool]
        Whether a data centre is being evacuated, for each one that has a row among them.
    version_by_place : dict[str, int]
        Versions of these rows.
    configuration_text : bytes
        The JSON text of the configuration, to be passed on to other entries; it holds digests in
        place of API keys.
    failures : tuple[Failure, ...]
        One for each row that is invalid.
    """

    configuration: Configuration | None
    configuration_text: bytes
    evacuation_by_place: dict
    failures: tuple = ()
    has_configuration: bool = False
    version_by_place: dict = Factory(dict)


@frozen
class ServerUpdate:
    """Result of decoding rows of the servers' table: servers to add or update, and to remove.

    Attributes
    ----------
    unreadable_ids : tuple[str, ...]
        Keys of the rows that are invalid and name no server to use.
    failures : tuple[Failure, ...]
        One for each of these rows.
    """

    records: tuple[ServerRecord, ...]
    removed_ids: tuple[str, ...]
    unreadable_ids: tuple[str, ...] = ()
    failures: tuple = ()


@frozen
class EntryRegistration:
    """Registration of an entry: its addresses for its peers and for the operators' command."""

    name: str
    place: str
    peer_address: str
    metrics_address: str = ""


def read_operator_rows(rows):
    """Return the `OperatorUpdate` for rows of the operator's table, in the store's order."""
    configuration, text, evacuation_by_place, failures = None, b"", {}, []
    version_by_place = {}
    has_configuration = False
    for row in rows:
        if row.key == CONFIGURATION_KEY and not row.is_removed:
            has_configuration = True
            read = decode_configuration(row.value)
            if read.is_err():
                failures.append(read.err())
            else:
                configuration = read.ok()
                failures += configuration.failures
                text = _text_without_keys(row, configuration)
        elif row.key.startswith(EVACUATION_PREFIX):
            place = row.key[len(EVACUATION_PREFIX) :]
            if is_name(place):
                evacuation_by_place[place] = not row.is_removed
                version_by_place[place] = row.version
            else:
                message = f"evacuation of {place[:60]!r}, which is not a name"
                failures.append(Failure(Code.STORE_BAD_ANSWER, message))
    return OperatorUpdate(
        configuration,
        text,
        evacuation_by_place,
        tuple(failures),
        has_configuration,
        version_by_place,
    )


def _text_without_keys(row, configuration):
    if not configuration.has_organisations:
        return row.data
    return json.dumps(replace_keys(row.value), separators=(",", ":")).encode()


def decode_configuration_text(text):
    """Return Ok(Configuration) from the text that another entry has passed on."""
    try:
        value = parse_json(text)
    except FieldError as error:
        return Err(Failure(Code.PEER_MALFORMED, f"invalid configuration: {error}"))
    return decode_configuration(value)


def read_server_rows(rows, known_services=None):
    """Return the `ServerUpdate` for rows of the servers' table, in the store's order."""
    latest_by_id = {row.key: row for row in rows}
    records, removed_ids, unreadable_ids, failures = [], [], [], []
    for server_id, row in latest_by_id.items():
        if row.is_removed:
            removed_ids.append(server_id)
            continue
        read = decode_server(server_id, row.value, known_services, row.version)
        if read.is_ok():
            records.append(read.ok())
        else:
            unreadable_ids.append(server_id)
            failures.append(read.err())
    return ServerUpdate(tuple(records), tuple(removed_ids), tuple(unreadable_ids), tuple(failures))


def read_entry_rows(rows):
    """Return the registered entries; invalid rows are skipped."""
    entries = []
    for row in rows:
        value = row.value if isinstance(row.value, dict) else {}
        place, address = value.get("place"), value.get("peer_address")
        metrics = value.get("metrics_address", "")
        metrics = metrics if isinstance(metrics, str) else ""
        if not isinstance(place, str) or not isinstance(address, str):
            continue
        if is_name(row.key) and is_name(place) and parse_address(address) is not None:
            entries.append(EntryRegistration(row.key, place, address, metrics))
    return tuple(entries)
