"""Decodes the store's tables: configuration and evacuations, backend servers, and entries."""

import json

from attrs import frozen
from result import Err

from figfold.core.codes import Code, Failure
from figfold.core.traffic.configuration import Configuration
from figfold.core.traffic.fleet import ServerRecord
from figfold.platform.decoding import decode_configuration, decode_server
from figfold.platform.rows import CONFIGURATION_KEY, EVACUATION_PREFIX


@frozen
class OperatorUpdate:
    """Result of decoding rows of the operator's table, whole or changed ones.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration, if its row was among them and is valid.
    evacuation_by_place : dict[str, bool]
        Whether a data centre is being evacuated, for each one that has a row among them.
    configuration_text : bytes
        The JSON text of the configuration, to be passed on to other entries.
    failures : tuple[Failure, ...]
        One for each row that is invalid.
    """

    configuration: Configuration | None
    configuration_text: bytes
    evacuation_by_place: dict
    failures: tuple = ()


@frozen
class ServerUpdate:
    """Result of decoding rows of the servers' table: servers to add or update, and to remove."""

    records: tuple[ServerRecord, ...]
    removed_ids: tuple[str, ...]
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
    for row in rows:
        if row.key == CONFIGURATION_KEY and not row.is_removed:
            read = decode_configuration(row.value)
            if read.is_err():
                failures.append(read.err())
            else:
                configuration = read.ok()
                text = json.dumps(row.value, separators=(",", ":")).encode()
        elif row.key.startswith(EVACUATION_PREFIX):
            evacuation_by_place[row.key[len(EVACUATION_PREFIX) :]] = not row.is_removed
    return OperatorUpdate(configuration, text, evacuation_by_place, tuple(failures))


def decode_configuration_text(text):
    """Return Ok(Configuration) from the text that another entry has passed on."""
    try:
        value = json.loads(text)
    except ValueError as error:
        return Err(Failure(Code.PEER_MALFORMED, f"the configuration is not valid JSON: {error}"))
    return decode_configuration(value)


def read_server_rows(rows, known_services=None):
    """Return the `ServerUpdate` for rows of the servers' table, in the store's order.

    A server whose row is invalid counts as removed.
    """
    record_by_id, removed, failures = {}, {}, []
    for row in rows:
        read = (
            None
            if row.is_removed
            else decode_server(row.key, row.value, known_services, row.version)
        )
        if read is None or read.is_err():
            record_by_id.pop(row.key, None)
            removed[row.key] = True
            if read is not None:
                failures.append(read.err())
        else:
            removed.pop(row.key, None)
            record_by_id[row.key] = read.ok()
    return ServerUpdate(tuple(record_by_id.values()), tuple(removed), tuple(failures))


def read_entry_rows(rows):
    """Return the registered entries; invalid rows are skipped."""
    entries = []
    for row in rows:
        value = row.value if isinstance(row.value, dict) else {}
        place, address = value.get("place"), value.get("peer_address")
        metrics = value.get("metrics_address", "")
        metrics = metrics if isinstance(metrics, str) else ""
        if isinstance(place, str) and isinstance(address, str) and place and address:
            entries.append(EntryRegistration(row.key, place, address, metrics))
    return tuple(entries)
